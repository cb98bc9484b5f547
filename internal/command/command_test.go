package command

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCommandLine runs the command lines in testdata and prints the exit status and what
// was written.
func TestCommandLine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out, errOut bytes.Buffer
			words := strings.Fields(d.Input)
			status := Run(words, strings.NewReader(""), &out, &errOut)
			return fmt.Sprintf("exit %d\n%s%s", status, head(out.String()), head(errOut.String()))
		})
	})
}

// head keeps the first lines of a long text.
func head(text string) string {
	lines := strings.SplitAfter(text, "\n")
	return strings.Join(lines[:min(len(lines), 12)], "")
}
