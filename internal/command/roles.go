package command

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jasminebay/jasminebay/internal/app"
	"github.com/jasminebay/jasminebay/internal/entry"
	"github.com/jasminebay/jasminebay/internal/intake"
	"github.com/jasminebay/jasminebay/internal/settings"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// agentMemoryLimit is the soft limit, in bytes, on the memory of an agent, below the 128 MB
	// that an agent may use on a node.
	agentMemoryLimit = 100 << 20
	// platformMemoryLimit is the soft limit, in bytes, on the memory of a program on the
	// platform, below the memory of its VM.
	platformMemoryLimit = 90 << 20
	// agentStopTimeout bounds how long an agent that has ended answers the requests that have arrived.
	agentStopTimeout = 500 * time.Millisecond
)

type entryCommand struct {
	settings.Entry
	ctx     context.Context
	streams streams
}

// Execute runs an entry until SIGINT or SIGTERM.
func (c *entryCommand) Execute([]string) (err error) {
	if err = c.Check(); err != nil {
		return err
	}
	var l entry.Listeners
	if l, err = listen(&c.Entry); err != nil {
		return err
	}
	limitMemory(c.MemoryLimit, 0)
	log, flush := newLogger(c.Level())
	defer flush()
	return app.NewEntry(&c.Entry, log).Run(c.ctx, l)
}

// limitMemory sets the soft limit of the Go runtime for a memory limit, or the usual one without a limit. It
// sets none if that is 0.
func limitMemory(limit, usual int64) {
	if limit > 0 {
		usual = intake.SoftLimit(limit)
	}
	if usual > 0 {
		debug.SetMemoryLimit(usual)
	}
}

// newLogger returns a logger to standard error and a function that writes out what is buffered.
func newLogger(level slog.Level) (*slog.Logger, func()) {
	out := telemetry.NewLogWriter(os.Stderr)
	ctx, stop := context.WithCancel(context.Background())
	flushed := out.Run(ctx)
	return telemetry.NewLogger(out, level), func() {
		stop()
		<-flushed
	}
}

// listen opens the three listeners of an entry.
func listen(s *settings.Entry) (l entry.Listeners, err error) {
	if l.Callers, err = net.Listen("tcp", s.Callers); err != nil {
		return l, fmt.Errorf("--callers: %w", err)
	}
	if l.Operators, err = net.Listen("tcp", s.Operators); err != nil {
		return l, fmt.Errorf("--operators: %w", err)
	}
	if l.Peers, err = net.Listen("tcp", s.Listen); err != nil {
		return l, fmt.Errorf("--listen: %w", err)
	}
	return l, nil
}

type agentCommand struct {
	settings.Agent
	ctx     context.Context
	streams streams
}

// Execute runs an agent until SIGINT or SIGTERM.
func (c *agentCommand) Execute([]string) (err error) {
	if err = c.Check(); err != nil {
		return err
	}
	limitMemory(c.MemoryLimit, agentMemoryLimit)
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	log, flush := newLogger(c.Level())
	defer flush()
	a := app.NewAgent(&c.Agent, log)
	server := a.NewServer()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	err = a.Run(c.ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), agentStopTimeout)
	defer cancel()
	if stopErr := server.Stop(stopCtx, agentStopTimeout); stopErr != nil {
		log.Warn("requests cut off at the stop", "error", stopErr.Error())
	}
	<-served
	return err
}

// platformCommand runs one of the programs on the operators' platform.
type platformCommand struct {
	LogLevel string `long:"log-level" env:"JASMINEBAY_LOG_LEVEL" default:"info" description:"least level of log lines: debug, info, warn or error"`
	run      func(context.Context, *slog.Logger) error
	ctx      context.Context
}

// Execute runs the program until SIGINT or SIGTERM.
func (c *platformCommand) Execute([]string) (err error) {
	// SIGHUP would end the process until the program handles it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	var level slog.Level
	if err = level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return usageError{fmt.Errorf("--log-level: %w", err)}
	}
	debug.SetMemoryLimit(platformMemoryLimit)
	out := telemetry.NewBoundedWriter(os.Stdout)
	ctx, stop := context.WithCancel(context.Background())
	flushed := out.Run(ctx)
	defer func() {
		stop()
		<-flushed
	}()
	return c.run(c.ctx, telemetry.NewRateLimitedLogger(out, level))
}

type versionCommand struct{ streams streams }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(c.streams.out, "jasminebay", version)
	return err
}
