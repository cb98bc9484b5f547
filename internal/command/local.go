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

// Sizes of the local system: those of the Verband.
const (
	localRunners     = 11
	localSlots       = 8
	localConnections = 64
	localMilliCPU    = 64_000
	localMemory      = 250 << 30
	localAccelerator = 2
	localGrant       = 5 * time.Second
	localMargin      = time.Second
	localSilence     = 10 * time.Minute
	localHeartbeat   = 500 * time.Millisecond
)

type localCommand struct {
	Once    bool   `long:"once" description:"run the example end to end, print what came out and exit"`
	Example string `long:"example" description:"whose document to run" choice:"verband" choice:"passline" default:"verband"`
	Logs    bool   `long:"logs" description:"write the processes' logs to standard error"`
	ctx     context.Context
	streams streams
}

// Execute runs the system in this process.
func (c *localCommand) Execute([]string) error {
	log, flush := c.logger()
	defer flush()
	raw, err := examples.Files.ReadFile(c.Example + ".json")
	if err != nil {
		return err
	}
	progress(c.streams.err, "starting %d machines …", localRunners)
	cluster, err := local.Start(c.ctx, localOptions(raw, log))
	progress(c.streams.err, "")
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if c.Once {
		return c.once(cluster)
	}
	return c.serve(cluster)
}

func localOptions(raw []byte, log *slog.Logger) local.Options {
	return local.Options{
		Document: raw, Runners: localRunners, Slots: localSlots, Connections: localConnections,
		Capacity:             driver.NewResources(localMilliCPU, localMemory, localAccelerator),
		EntriesPerDataCentre: 1, Grant: localGrant, Margin: localMargin, StoreSilence: localSilence,
		Heartbeat: localHeartbeat, Log: log,
	}
}

func (c *localCommand) logger() (*slog.Logger, func()) {
	if !c.Logs {
		return telemetry.NewLogger(io.Discard, slog.LevelError+1), func() {}
	}
	out := telemetry.NewLogWriter(os.Stderr)
	return telemetry.NewLogger(out, slog.LevelInfo), out.Flush
}

// serve prints the addresses and waits for the end.
func (c *localCommand) serve(cluster *local.Cluster) error {
	rows := [][]string{{"ENTRY", "CALLERS", "OPERATORS"}}
	for _, n := range cluster.Entries() {
		rows = append(rows, []string{n.ID, n.Callers, n.Operators})
	}
	if err := table(c.streams.out, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.streams.out, "\n%d runners of %s. Try:\n  jasminebay status --address %s %s\nEnd with Ctrl-C.\n",
		len(cluster.Machines()), cluster.Document().Services[0].Name, cluster.Entries()[0].Operators, cluster.Document().Environment)
	<-c.ctx.Done()
	return nil
}

// once runs the example and fails unless every check held.
func (c *localCommand) once(cluster *local.Cluster) error {
	results := local.Example(c.ctx, cluster, func(step string) { progress(c.streams.err, "%s …", step) })
	progress(c.streams.err, "")
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
	if err := table(c.streams.out, rows); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d checks failed", failed, len(results))
	}
	return nil
}
