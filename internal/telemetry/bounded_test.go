package telemetry

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is a log consumer whose writes block until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// TestUnreadLogKeepsProcessAlive guards against a process that never ends because nobody reads its log.
func TestUnreadLogKeepsProcessAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		defer close(out.release)
		w := NewBoundedWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		done := w.Run(ctx)
		NewRateLimitedLogger(w, slog.LevelInfo).Info("stopping")
		time.Sleep(2 * logFlushInterval)
		cancel()
		select {
		case <-done:
		case <-time.After(500 * time.Millisecond):
			is.Fail() // still waiting for the log half a second after the end
		}
	})
}

// TestBoundedLog checks that logging never blocks while nobody reads the log, and that dropped
// lines are counted, by message for the rate limit and together for the full buffer.
func TestBoundedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		w := NewBoundedWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		done := w.Run(ctx)
		log := NewRateLimitedLogger(w, slog.LevelInfo)
		for range linesPerSecond + 40 {
			log.Info("task placed")
		}
		for range 12_000 {
			log.Warn(strings.Repeat("x", 100))
			time.Sleep(time.Second / warningsPerSecond)
		}
		close(out.release)
		time.Sleep(2 * time.Second)
		log.Info("after")
		cancel()
		<-done
		text := out.String()
		is.Equal(strings.Count(text, `"msg":"task placed"`), linesPerSecond)
		is.True(strings.Contains(text, `"of":"task placed","lines":40`))
		is.True(strings.Contains(text, `"of":"a full buffer"`))
		is.True(strings.Contains(text, `"msg":"after"`))
	})
}
