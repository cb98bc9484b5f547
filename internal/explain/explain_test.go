package explain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestExplain runs the script in testdata. The input of each case is a set of logs, each introduced
// by a line "== NAME".
func TestExplain(t *testing.T) {
	datadriven.RunTest(t, "testdata/explain", func(t *testing.T, d *datadriven.TestData) string {
		var id string
		d.ScanArgs(t, "id", &id)
		var sources []Source
		for _, part := range strings.Split("\n"+d.Input, "\n== ")[1:] {
			name, text, _ := strings.Cut(part, "\n")
			sources = append(sources, Source{Name: name, Reader: strings.NewReader(text)})
		}
		s, err := Read(id, sources)
		if err != nil {
			return err.Error() + "\n"
		}
		var b strings.Builder
		for _, row := range s.Rows() {
			fmt.Fprintln(&b, strings.Join(row, " | "))
		}
		fmt.Fprintf(&b, "skipped %d\n", s.Skipped())
		return b.String()
	})
}

// TestTooLong checks that a line beyond maxLineBytes is an error that names the log.
func TestTooLong(t *testing.T) {
	_, err := Read("x", []Source{{Name: "a", Reader: strings.NewReader(strings.Repeat("x", maxLineBytes+1))}})
	if err == nil || !strings.Contains(err.Error(), "log a") {
		t.Fatal(err)
	}
}
