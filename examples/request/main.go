// Command request sends a request of the kind proof-check to a running system, such as
// 'jasminebay local', and prints the upstream's response.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/jasminebay/jasminebay/pkg/client"
)

func main() {
	address := flag.String("address", "http://127.0.0.1:7080", "URL of an entry's caller address")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := client.New(client.Options{Address: *address}).Do(ctx, client.Request{
		Service: "servietten-hub", Kind: "proof-check", Body: []byte("a napkin with a motif"),
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("%s answered %s with %d: %s\n", answer.Upstream, answer.RequestID, answer.Status, answer.Body)
}
