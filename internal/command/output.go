package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jasminebay/jasminebay/pkg/client"
)

const headerTimeout = 5 * time.Second

// remote holds the flags of commands that call an entry.
type remote struct {
	Address string `long:"address" env:"JASMINEBAY_ADDRESS" description:"URL of an entry's operator address" value-name:"URL" default:"http://127.0.0.1:7081"`
	Output  string `long:"output" description:"form of the output" choice:"table" choice:"json" default:"table"`
}

func (r *remote) client() *client.Client { return client.New(client.Options{Address: r.Address}) }

// print writes v as JSON or rows as a table whose first row is the head.
func (r *remote) print(out io.Writer, v any, rows [][]string) error {
	if r.Output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	return table(out, rows)
}

func table(out io.Writer, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// terminal reports whether w is a terminal, where progress may be shown.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progress shows a line that replaces itself at a terminal, and nothing elsewhere.
func progress(w io.Writer, format string, args ...any) {
	if terminal(w) {
		_, _ = fmt.Fprintf(w, "\r\033[K"+format, args...)
	}
}

// readFile reads a file, or standard input for "-".
func readFile(in io.Reader, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError{err}
	}
	return data, nil
}
