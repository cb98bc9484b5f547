package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jasminebay/jasminebay/pkg/client"
)

// clientFlags holds the flags of commands that call the operator API of an entry.
type clientFlags struct {
	Address string `long:"address" env:"JASMINEBAY_ADDRESS" description:"URL of an entry's operator address" value-name:"URL" default:"http://127.0.0.1:7081"`
	Output  string `long:"output" description:"form of the output" choice:"table" choice:"json" default:"table"`
}

func (f *clientFlags) client() *client.Client { return client.New(client.Options{Address: f.Address}) }

// printResult writes v as JSON or rows as a table, as --output says. The first row holds the
// headings.
func (f *clientFlags) printResult(out io.Writer, v any, rows [][]string) error {
	if f.Output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	return writeTable(out, rows)
}

// writeTable writes rows with aligned columns.
func writeTable(out io.Writer, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// isTerminal reports whether w is a character device, where progress can be shown.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// showProgress replaces the current line at a terminal and writes nothing elsewhere.
func showProgress(w io.Writer, format string, args ...any) {
	if isTerminal(w) {
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
