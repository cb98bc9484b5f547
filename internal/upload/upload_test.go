package upload

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	bodyTimeout = 200 * time.Millisecond
	maxBody     = 100
)

// exchange sends text to a server whose handler reads the body and then works for a while. It returns how
// the handler read the body and whether its context ended while it worked.
func exchange(t *testing.T, text string, work time.Duration) (read, worked error) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	type result struct{ read, worked error }
	results := make(chan result, 1)
	s := http1.New(http1.Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _, err := Read(w, r, maxBody, bodyTimeout)
			select {
			case <-time.After(work):
			case <-r.Context().Done():
			}
			results <- result{err, r.Context().Err()}
		}),
		Refuse: func(http.ResponseWriter) {}, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewConnections(telemetry.NewMetrics()),
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	select {
	case r := <-results:
		read, worked = r.read, r.worked
	case <-time.After(10 * bodyTimeout):
		t.Error("the handler still waits for the body")
	}
	_ = conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.NoErr(s.Stop(ctx, time.Second))
	<-served
	return read, worked
}

// TestSilentSender guards against a handler that waits for the rest of a body whose sender has gone silent.
func TestSilentSender(t *testing.T) {
	read, _ := exchange(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf", 0)
	if !errors.Is(read, os.ErrDeadlineExceeded) {
		t.Errorf("the body is read with %v, want %v", read, os.ErrDeadlineExceeded)
	}
}

// TestWorkOutlastsTimeout checks that a request whose body has arrived is served beyond the time for it.
func TestWorkOutlastsTimeout(t *testing.T) {
	read, worked := exchange(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", 3*bodyTimeout)
	if read != nil || worked != nil {
		t.Errorf("the body is read with %v and the context ends with %v", read, worked)
	}
}
