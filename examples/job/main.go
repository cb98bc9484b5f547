// Command job submits a job with four tasks of the kind plate-render to a running system, such as
// 'jasminebay local', waits until the job is no longer active, and prints its state.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

func main() {
	address := flag.String("address", "http://127.0.0.1:7081", "URL of an entry's operator address")
	flag.Parse()
	if err := run(client.New(client.Options{Address: *address})); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c *client.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	// The idempotency key makes it safe to run this command again: it returns the same job.
	job, err := c.Submit(ctx, client.JobSpec{
		Team: "press-room", Name: "autumn-napkins",
		Tasks: []client.TaskSpec{{Kind: "plate-render", Count: 4, MilliCPU: 2000, MemoryBytes: 1 << 30, Run: document.Duration(2 * time.Second)}},
	}, "autumn-napkins-1")
	for err == nil && job.State == client.JobStateActive {
		time.Sleep(200 * time.Millisecond)
		job, err = c.Job(ctx, job.ID)
	}
	if err != nil {
		return err
	}
	fmt.Println(job.ID, job.State, job.Counts)
	return nil
}
