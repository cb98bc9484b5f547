package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the lines that wait to be written. Further lines are dropped, so
	// that a consumer that does not read the log never blocks the control path.
	maxPendingBytes = 512 << 10
	// linesPerSecond limits the lines with the same message below level warn, and
	// warningsPerSecond those at level warn and above, which report failures.
	linesPerSecond    = 60
	warningsPerSecond = 200
	droppedMessage    = "log lines dropped"
	// finalFlushTimeout bounds the wait for the last write when the process ends, within what is left
	// of its grace period.
	finalFlushTimeout = 300 * time.Millisecond
)

// BoundedWriter buffers log lines in memory and writes them to another writer from a goroutine
// of its own. Write never blocks; it drops lines that exceed the buffer.
type BoundedWriter struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
}

// NewBoundedWriter returns a BoundedWriter that writes to out once Run is called.
func NewBoundedWriter(out io.Writer) *BoundedWriter { return &BoundedWriter{out: out} }

// Write implements io.Writer. A line that does not fit into the buffer is dropped and counted.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(p) > maxPendingBytes {
		b.dropped++
		return len(p), nil
	}
	b.pending = append(b.pending, p...)
	return len(p), nil
}

// Run starts to write out buffered lines at an interval until ctx ends. It closes the returned
// channel after a last write, or finalFlushTimeout after the end of ctx if the consumer does not read.
func (b *BoundedWriter) Run(ctx context.Context) <-chan struct{} {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		defer b.flush()
		t := time.NewTicker(logFlushInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.flush()
			case <-ctx.Done():
				return
			}
		}
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		// Any write may block for as long as the consumer does not read, not only the last one.
		select {
		case <-flushed:
		case <-time.After(finalFlushTimeout):
		}
	}()
	return done
}

func (b *BoundedWriter) flush() {
	b.mu.Lock()
	lines := b.pending
	b.pending = b.spare[:0]
	b.mu.Unlock()
	if len(lines) > 0 {
		// An error cannot be reported, as the log itself has failed.
		_, _ = b.out.Write(lines)
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}

// TakeDropped returns how many lines have been dropped since the last call.
func (b *BoundedWriter) TakeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}

// rateLimitHandler limits how many lines with the same message are written per second, and logs
// how many it dropped.
type rateLimitHandler struct {
	slog.Handler
	limiter *rateLimiter
}

// rateLimiter counts the lines of the current second by message. It is shared by the handlers
// that WithAttrs and WithGroup derive.
type rateLimiter struct {
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	dropped map[string]int
	writer  *BoundedWriter
}

// NewRateLimitedLogger returns a logger that writes JSON lines at level and above to w, with a
// rate limit for each message. It also logs how many lines w has dropped.
func NewRateLimitedLogger(w *BoundedWriter, level slog.Level) *slog.Logger {
	inner := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(&rateLimitHandler{Handler: inner, limiter: &rateLimiter{counts: map[string]int{}, dropped: map[string]int{}, writer: w}})
}

// Handle implements slog.Handler.
func (h *rateLimitHandler) Handle(ctx context.Context, r slog.Record) error {
	allowed, dropped := h.limiter.allow(r)
	for message, n := range dropped {
		line := slog.NewRecord(r.Time, slog.LevelWarn, droppedMessage, 0)
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
func (h *rateLimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitHandler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *rateLimitHandler) WithGroup(name string) slog.Handler {
	return &rateLimitHandler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}

// allow reports whether r is within the rate limit. With the first record of a new second it
// also returns how many lines have been dropped until then, by message.
func (l *rateLimiter) allow(r slog.Record) (allowed bool, dropped map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := r.Time.Unix(); second != l.second {
		l.second = second
		clear(l.counts)
		if n := l.writer.TakeDropped(); n > 0 {
			l.dropped["a full buffer"] = n
		}
		if len(l.dropped) > 0 {
			dropped, l.dropped = l.dropped, map[string]int{}
		}
	}
	limit := linesPerSecond
	if r.Level >= slog.LevelWarn {
		limit = warningsPerSecond
	}
	l.counts[r.Message]++
	if l.counts[r.Message] > limit {
		l.dropped[r.Message]++
		return false, dropped
	}
	return true, dropped
}
