package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// boundedBytes is how much of the log waits to be written; beyond it lines are left out,
	// so that a reader who does not read never holds up a decision.
	boundedBytes = 512 << 10
	// linesPerSecond is how many lines with the same message are written in a second; those
	// about failures come with a level of at least warn and have a budget of their own.
	linesPerSecond     = 60
	warningsPerSecond  = 200
	leftOutMessage     = "log lines were left out"
	boundedWriteBudget = time.Second
)

// BoundedWriter buffers log lines and writes them from a goroutine of its own; it never
// blocks its callers and leaves out what does not fit.
type BoundedWriter struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	leftOut int
}

// NewBoundedWriter returns a BoundedWriter over out.
func NewBoundedWriter(out io.Writer) *BoundedWriter { return &BoundedWriter{out: out} }

// Write implements io.Writer; a line that does not fit is left out.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting)+len(p) > boundedBytes {
		b.leftOut++
		return len(p), nil
	}
	b.waiting = append(b.waiting, p...)
	return len(p), nil
}

// Run writes what waits until ctx ends and closes the returned channel after a last write,
// for which a reader that does not read is given a second.
func (b *BoundedWriter) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(logFlushInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.flush()
			case <-ctx.Done():
				last := make(chan struct{})
				go func() {
					defer close(last)
					b.flush()
				}()
				select {
				case <-last:
				case <-time.After(boundedWriteBudget):
				}
				return
			}
		}
	}()
	return done
}

func (b *BoundedWriter) flush() {
	b.mu.Lock()
	lines := b.waiting
	b.waiting = b.spare[:0]
	b.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report an error of the log itself.
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}

// LeftOut returns how many lines did not fit, and forgets them.
func (b *BoundedWriter) LeftOut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.leftOut
	b.leftOut = 0
	return n
}

// budgetHandler bounds how many lines with one message are written in a second, and tells
// in a line of its own how many were left out.
type budgetHandler struct {
	slog.Handler
	budgets *budgets
}

// budgets counts the lines of the current second.
type budgets struct {
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	leftOut map[string]int
	writer  *BoundedWriter
}

// NewBoundedLogger returns a logger that writes JSON lines at level and above, within a
// budget for each message.
func NewBoundedLogger(w *BoundedWriter, level slog.Level) *slog.Logger {
	inner := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(&budgetHandler{Handler: inner, budgets: &budgets{counts: map[string]int{}, leftOut: map[string]int{}, writer: w}})
}

// Handle implements slog.Handler.
func (h *budgetHandler) Handle(ctx context.Context, r slog.Record) error {
	allowed, leftOut := h.budgets.take(r)
	for message, n := range leftOut {
		line := slog.NewRecord(r.Time, slog.LevelWarn, leftOutMessage, 0)
		line.AddAttrs(slog.String("of", message), slog.Int("lines", n))
		if err := h.Handler.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *budgetHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &budgetHandler{Handler: h.Handler.WithAttrs(attrs), budgets: h.budgets}
}

// WithGroup implements slog.Handler.
func (h *budgetHandler) WithGroup(name string) slog.Handler {
	return &budgetHandler{Handler: h.Handler.WithGroup(name), budgets: h.budgets}
}

// take tells whether a line is within its budget, and at the turn of a second how many
// lines of the second before were left out.
func (b *budgets) take(r slog.Record) (allowed bool, leftOut map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := r.Time.Unix(); second != b.second {
		b.second = second
		clear(b.counts)
		if n := b.writer.LeftOut(); n > 0 {
			b.leftOut["a full buffer"] = n
		}
		if len(b.leftOut) > 0 {
			leftOut, b.leftOut = b.leftOut, map[string]int{}
		}
	}
	most := linesPerSecond
	if r.Level >= slog.LevelWarn {
		most = warningsPerSecond
	}
	b.counts[r.Message]++
	if b.counts[r.Message] > most {
		b.leftOut[r.Message]++
		return false, leftOut
	}
	return true, leftOut
}
