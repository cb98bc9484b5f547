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

// stuckWriter is a reader of the log that does not read until it is let go.
type stuckWriter struct {
	bytes.Buffer
	let chan struct{}
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.let
	return s.Buffer.Write(p)
}

// TestBoundedLog checks that a log which nobody reads never blocks, and that what is left
// out is told, by message and for a full buffer.
func TestBoundedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuckWriter{let: make(chan struct{})}
		w := NewBoundedWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		done := w.Run(ctx)
		log := NewBoundedLogger(w, slog.LevelInfo)
		for range linesPerSecond + 40 {
			log.Info("task placed")
		}
		for range 12_000 {
			log.Warn(strings.Repeat("x", 100))
			time.Sleep(time.Second / warningsPerSecond)
		}
		close(out.let)
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
