package command

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

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

// endedVariable is set in the process that TestSignalAfterEnd starts from its own program.
const endedVariable = "JASMINEBAY_TEST_SIGNAL_AFTER_END"

// TestSignalAfterEnd guards against a process whose exit status is that of a signal, because it came when
// the command had ended.
func TestSignalAfterEnd(t *testing.T) {
	if os.Getenv(endedVariable) != "" {
		Run([]string{"version"}, strings.NewReader(""), io.Discard, io.Discard)
		_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		// The signal is delivered to any thread.
		time.Sleep(50 * time.Millisecond)
		return
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestSignalAfterEnd$")
	cmd.Env = append(os.Environ(), endedVariable+"=1")
	if err := cmd.Run(); err != nil {
		t.Error(err)
	}
}
