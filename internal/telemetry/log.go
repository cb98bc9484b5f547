package telemetry

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	logBufferBytes   = 64 << 10
	logFlushInterval = 100 * time.Millisecond
)

// LogWriter buffers log lines and writes them out at least every logFlushInterval while Run is
// active. It is safe for concurrent use. Lines of the last interval are lost if the process is
// killed.
type LogWriter struct {
	mu     sync.Mutex
	buffer *bufio.Writer
}

// NewLogWriter returns a LogWriter that writes to w.
func NewLogWriter(w io.Writer) *LogWriter {
	return &LogWriter{buffer: bufio.NewWriterSize(w, logBufferBytes)}
}

// Write implements io.Writer.
func (l *LogWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// Flush writes out the buffered lines.
func (l *LogWriter) Flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.buffer.Flush()
}

// Run starts to flush every logFlushInterval until ctx ends, and closes the returned channel
// after a last flush.
func (l *LogWriter) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer l.Flush()
		t := time.NewTicker(logFlushInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				l.Flush()
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}

// NewLogger returns a logger that writes JSON lines at level and above to w.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
