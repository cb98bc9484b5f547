package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// rawServer answers each connection with the given bytes and closes it. It returns its URL.
func rawServer(t *testing.T, response string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(response))
			_ = conn.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestAnswers checks for responses that end in different ways whether the upstream may have run
// the request and whether the response is complete.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name, response string
		// sent is whether the upstream may have run the request, complete whether the response is
		// complete.
		sent, complete bool
	}{
		{"whole with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true},
		{"whole in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, true},
		{"no answer", "", true, false},
		{"cut in the head", "HTTP/1.1 200 OK\r\nConte", true, false},
		{"cut before the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true, false},
		{"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", true, false},
		{"cut between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, false},
		{"ended by closing", "HTTP/1.1 200 OK\r\n\r\nok", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, err := New().Do(t.Context(), rawServer(t, c.response), driver.Request{ID: "r", Path: "/"})
			is.Equal(!errors.Is(err, driver.ErrNotSent), c.sent)
			if err != nil {
				is.True(!c.complete)
				return
			}
			_, err = io.ReadAll(response.Body)
			is.Equal(err == nil, c.complete)
			is.NoErr(response.Body.Close())
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = New().Do(t.Context(), "http://"+address, driver.Request{ID: "r", Path: "/"})
	is.True(errors.Is(err, driver.ErrNotSent))
}

func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	open, peak := 0, 0
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch s {
		case http.StateNew:
			open++
		case http.StateClosed:
			open--
		}
		peak = max(peak, open)
	}
	server.Start()
	defer server.Close()
	c := New()
	c.Limit(server.URL, 3)
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() {
			if response, err := c.Do(context.Background(), server.URL, driver.Request{ID: "r", Path: "/"}); err == nil {
				_ = response.Body.Close()
			}
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	is.True(peak <= 3)
}
