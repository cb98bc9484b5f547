package command

import (
	"fmt"
	"io"
	"os"

	"github.com/jasminebay/jasminebay/internal/explain"
)

type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of a job, step or task"`
		Files []string `positional-arg-name:"FILE" description:"logs, - for standard input" required:"1"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// Execute prints the log lines that concern an id, in order of time.
func (c *explainCommand) Execute([]string) error {
	var sources []explain.Source
	for _, name := range c.Args.Files {
		var in io.Reader = c.streams.in
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return usageError{err}
			}
			defer func() { _ = f.Close() }()
			in = f
		}
		sources = append(sources, explain.Source{Name: name, Reader: in})
	}
	timeline, err := explain.Read(c.Args.ID, sources)
	if err != nil {
		return err
	}
	if timeline.Skipped() > 0 {
		_, _ = fmt.Fprintf(c.streams.err, "jasminebay: skipped %d lines that are not structured log lines\n", timeline.Skipped())
	}
	if len(timeline.Lines()) == 0 {
		return fmt.Errorf("no log line names %s", c.Args.ID)
	}
	return writeTable(c.streams.out, timeline.Rows())
}
