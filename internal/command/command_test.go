package command

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCommandLine runs the command lines in testdata and compares the exit status and the first
// lines of the output.
func TestCommandLine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out, errOut bytes.Buffer
			args := strings.Fields(d.Input)
			status := Run(args, strings.NewReader(""), &out, &errOut)
			return fmt.Sprintf("exit %d\n%s%s", status, firstLines(out.String()), firstLines(errOut.String()))
		})
	})
}

// firstLines returns at most the first 12 lines of text.
func firstLines(text string) string {
	lines := strings.SplitAfter(text, "\n")
	return strings.Join(lines[:min(len(lines), 12)], "")
}
