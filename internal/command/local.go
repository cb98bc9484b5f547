package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/local"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Sizes of the local system, which are those of the Verband example.
const (
	localRunners      = 11
	localSlots        = 8
	localConnections  = 64
	localMilliCPU     = 64_000
	localMemoryBytes  = 250 << 30
	localAccelerators = 2
	localGrant        = 5 * time.Second
	localMargin       = time.Second
	localStoreSilence = 10 * time.Minute
	localHeartbeat    = 500 * time.Millisecond
)

type localCommand struct {
	Once    bool   `long:"once" description:"run the example end to end, print what came out and exit"`
	Example string `long:"example" description:"whose document to run" choice:"verband" choice:"passline" default:"verband"`
	Logs    bool   `long:"logs" description:"write the processes' logs to standard error"`
	ctx     context.Context
	streams streams
}

// Execute runs the system in this process, until SIGINT or SIGTERM or, with --once, until
// the example has ended.
func (c *localCommand) Execute([]string) error {
	log, flush := c.newLogger()
	defer flush()
	raw, err := examples.Files.ReadFile(c.Example + ".json")
	if err != nil {
		return err
	}
	showProgress(c.streams.err, "starting %d machines …", localRunners)
	cluster, err := local.Start(c.ctx, localOptions(raw, log))
	showProgress(c.streams.err, "")
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if c.Once {
		return c.runExample(cluster)
	}
	return c.serve(cluster)
}

// localOptions returns the options of a cluster that runs the document raw.
func localOptions(raw []byte, log *slog.Logger) local.Options {
	return local.Options{
		Document: raw, Runners: localRunners, Slots: localSlots, Connections: localConnections,
		Capacity:             driver.NewResources(localMilliCPU, localMemoryBytes, localAccelerators),
		EntriesPerDataCentre: 1, Grant: localGrant, Margin: localMargin, StoreSilence: localStoreSilence,
		Heartbeat: localHeartbeat, Log: log,
	}
}

// newLogger returns a logger to standard error, or one that discards everything without --logs,
// and a function that writes out what is buffered.
func (c *localCommand) newLogger() (*slog.Logger, func()) {
	if !c.Logs {
		return telemetry.NewLogger(io.Discard, slog.LevelError+1), func() {}
	}
	out := telemetry.NewLogWriter(os.Stderr)
	return telemetry.NewLogger(out, slog.LevelInfo), out.Flush
}

// serve prints the addresses of the entries and waits for SIGINT or SIGTERM.
func (c *localCommand) serve(cluster *local.Cluster) error {
	rows := [][]string{{"ENTRY", "CALLERS", "OPERATORS"}}
	for _, n := range cluster.Entries() {
		rows = append(rows, []string{n.ID, n.Callers, n.Operators})
	}
	if err := writeTable(c.streams.out, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.streams.out, "\n%d runners of %s. Try:\n  jasminebay status --address %s %s\nEnd with Ctrl-C.\n",
		len(cluster.Machines()), cluster.Document().Services[0].Name, cluster.Entries()[0].Operators, cluster.Document().Environment)
	<-c.ctx.Done()
	return nil
}

// runExample runs the example, prints its checks and returns an error unless all of them passed.
func (c *localCommand) runExample(cluster *local.Cluster) error {
	results := local.Example(c.ctx, cluster, func(step string) { showProgress(c.streams.err, "%s …", step) })
	showProgress(c.streams.err, "")
	rows := [][]string{{"CHECK", "RESULT", "MEASURED"}}
	failed := 0
	for _, r := range results {
		verdict := "held"
		if !r.Passed {
			verdict = "FAILED"
			failed++
		}
		rows = append(rows, []string{r.Check, verdict, r.Measured})
	}
	if err := writeTable(c.streams.out, rows); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d checks failed", failed, len(results))
	}
	return nil
}
