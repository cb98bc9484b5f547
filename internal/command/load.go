package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/load"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

type loadCommand struct {
	Policies   string `long:"policy" description:"routing policies to compare, separated by commas" value-name:"NAMES"`
	Placements string `long:"placement" description:"placement policies to compare, separated by commas" value-name:"NAMES"`
	Guards     string `long:"guards" description:"guards to compare, of on, off, threshold" value-name:"NAMES"`
	Scales     string `long:"scale" description:"factors on the rate of requests to compare" value-name:"NUMBERS" default:"1"`
	NoJobs     bool   `long:"no-jobs" description:"run no jobs"`
	Output     string `long:"output" description:"form of the output" choice:"table" choice:"json" default:"table"`
	Logs       string `long:"logs" description:"file for the processes' logs" value-name:"FILE"`
	Callers    string `long:"callers" description:"entries of a running system, for callers; without, a system is started in this process" value-name:"URLS"`
	Operators  string `long:"operators" description:"entries of the running system, for operators" value-name:"URLS"`
	Args       struct {
		File string `positional-arg-name:"FILE" description:"load file, or the name of an example"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute runs a load file once for each variant and prints the results side by side.
func (c *loadCommand) Execute([]string) error {
	raw, err := c.readLoadFile()
	if err != nil {
		return usageError{err}
	}
	file, err := load.Parse(raw)
	if err != nil {
		return usageError{err}
	}
	if err := c.checkFlags(); err != nil {
		return usageError{err}
	}
	documentJSON, err := examples.Files.ReadFile(file.Document + ".json")
	if err != nil {
		return usageError{fmt.Errorf("$.document: %w", err)}
	}
	log, closeLog, err := c.openLog()
	if err != nil {
		return err
	}
	defer closeLog()
	rows := [][]string{load.Header()}
	var results []*load.Result
	for _, v := range c.variants() {
		showProgress(c.streams.err, "%s …", v.Name())
		result, err := c.runVariant(file, documentJSON, v, log)
		if err != nil {
			return err
		}
		results = append(results, result)
		rows = append(rows, result.Rows()...)
	}
	showProgress(c.streams.err, "")
	if c.Output == "json" {
		e := json.NewEncoder(c.streams.out)
		e.SetIndent("", "  ")
		return e.Encode(results)
	}
	return writeTable(c.streams.out, rows)
}

// checkFlags rejects flags that have no meaning for a running system.
func (c *loadCommand) checkFlags() error {
	if (c.Callers == "") != (c.Operators == "") {
		return errors.New("--callers and --operators must be given together")
	}
	if c.Callers != "" && c.Policies+c.Placements+c.Guards != "" {
		return errors.New("--policy, --placement and --guards are for a system that is started here; a running one has its document")
	}
	return nil
}

// runVariant runs the load against a system in this process, or against a running one if its
// addresses are given.
func (c *loadCommand) runVariant(f *load.File, raw []byte, v load.Variant, log *slog.Logger) (*load.Result, error) {
	if c.Callers == "" {
		return load.Run(c.ctx, f, raw, v, log)
	}
	d, err := document.Parse(raw)
	if err != nil {
		return nil, err
	}
	return load.RunRemote(c.ctx, f, d.Environment, v, load.Remote{Callers: splitList(c.Callers), Operators: splitList(c.Operators)})
}

// readLoadFile returns the example of that name, or the content of the file.
func (c *loadCommand) readLoadFile() ([]byte, error) {
	if raw, err := examples.Files.ReadFile(c.Args.File + ".json"); err == nil {
		return raw, nil
	}
	return readFile(c.streams.in, c.Args.File)
}

// openLog returns a logger to the file of --logs and a function that closes the file; without
// the flag the logger discards everything.
func (c *loadCommand) openLog() (*slog.Logger, func(), error) {
	if c.Logs == "" {
		return telemetry.NewLogger(io.Discard, slog.LevelError+1), func() {}, nil
	}
	f, err := os.Create(c.Logs)
	if err != nil {
		return nil, nil, usageError{err}
	}
	out := telemetry.NewLogWriter(f)
	return telemetry.NewLogger(out, slog.LevelInfo), func() {
		out.Flush()
		_ = f.Close()
	}, nil
}

// variants returns every combination of the policies, placements, guards and scales to compare.
func (c *loadCommand) variants() (variants []load.Variant) {
	for _, policy := range splitList(c.Policies) {
		for _, placement := range splitList(c.Placements) {
			for _, guards := range splitList(c.Guards) {
				for _, scale := range splitList(c.Scales) {
					v := load.Variant{Policy: policy, Placement: placement, Guards: guards, Quiet: c.NoJobs}
					_, _ = fmt.Sscan(scale, &v.Scale)
					variants = append(variants, v)
				}
			}
		}
	}
	return variants
}

// splitList splits a comma-separated list. An empty text gives one empty element, which stands for
// the default.
func splitList(text string) []string { return strings.Split(text, ",") }
