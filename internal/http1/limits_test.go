package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/intake"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// limited is a server with a budget, whose handler reserves the declared length of a body, reads it, and
// waits until it may answer.
type limited struct {
	is       *is.I
	address  string
	server   *Server
	budget   *intake.Budget
	handling chan error
	answers  chan struct{}
}

func newLimited(t *testing.T, kib int64, conns int) *limited {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s := &limited{is: is.New(t), budget: intake.NewBudget(kib<<10, conns), handling: make(chan error, 100), answers: make(chan struct{})}
	s.is.NoErr(err)
	s.address = l.Addr().String()
	m := telemetry.NewMetrics()
	s.server = New(Options{
		Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: answerWait, IdleTimeout: answerWait,
		Refuse: func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, Limits: &Limits{Budget: s.budget, Metrics: telemetry.NewIntake(m, s.budget.Usage)},
		Log: slog.New(slog.NewTextHandler(t.Output(), nil)), Metrics: telemetry.NewConnections(m),
	})
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.server.Stop(ctx, 0)
		s.is.NoErr(<-served)
	})
	return s
}

func (s *limited) handle(w http.ResponseWriter, r *http.Request) {
	err := intake.AccountOf(r.Context()).Reserve(r.ContentLength)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	s.handling <- err
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	<-s.answers
}

// post connects and sends a head that declares a body, and a part of it.
func (s *limited) post(length, sent int) *client {
	conn, err := net.Dial("tcp", s.address)
	s.is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: hub\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	s.is.NoErr(err)
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// TestReservationWithoutProgressGivesWay guards against clients that declare large bodies, send nothing, and keep
// others from being served. What gives way is refused with a response.
func TestReservationWithoutProgressGivesWay(t *testing.T) {
	s := newLimited(t, 1600, 0)
	var stalled []*client
	for range 3 {
		stalled = append(stalled, s.post(300<<10, 0))
	}
	time.Sleep(500 * time.Millisecond)
	c := s.post(300<<10, 300<<10)
	s.is.True(errors.Is(<-s.handling, intake.ErrFull))
	s.is.NoErr(<-s.handling)
	close(s.answers)
	s.is.Equal(c.answer(), "200 \n")
	refused := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(settlePause))
		if response, err := http.ReadResponse(c.reader, nil); err == nil {
			s.is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			refused++
		}
	}
	s.is.Equal(refused, 1)
}

// TestCompleteRequestsStay guards against a connection that is closed to free memory although its request was read
// completely. Newcomers are refused with a response instead, and a stop still answers what has arrived.
func TestCompleteRequestsStay(t *testing.T) {
	s := newLimited(t, 0, 3)
	var complete []*client
	for range 3 {
		complete = append(complete, s.post(10, 10))
		s.is.NoErr(<-s.handling)
	}
	time.Sleep(500 * time.Millisecond)
	s.is.Equal(s.post(10, 10).answer(), "503 , the last one\n")
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Stop(t.Context(), handlerTimeout) }()
	time.Sleep(settlePause)
	close(s.answers)
	for _, c := range complete {
		s.is.Equal(c.answer(), "200 \n")
	}
	s.is.NoErr(<-stopped)
}

// TestSilentConnectionGivesWay guards against connections without a request that keep new ones out.
func TestSilentConnectionGivesWay(t *testing.T) {
	s := newLimited(t, 0, 3)
	close(s.answers)
	for range 6 {
		conn, err := net.Dial("tcp", s.address)
		s.is.NoErr(err)
		defer conn.Close()
		time.Sleep(350 * time.Millisecond)
	}
	s.is.Equal(s.post(10, 10).answer(), "200 \n")
	_, conns := s.budget.Usage()
	s.is.True(conns <= 3)
}

// TestLongHeads checks that the head of the greatest legal size is served, and that a head is refused for which there
// is no memory.
func TestLongHeads(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: hub\r\n" + strings.Repeat("X-A: "+strings.Repeat("x", 1017)+"\r\n", 63)
	for kib, want := range map[int64]string{8 << 10: "200 \n", 400: "503 , the last one\n"} {
		s := newLimited(t, kib, 0)
		close(s.answers)
		c := s.post(0, 0)
		s.is.Equal(c.answer(), "200 \n")
		_, err := io.WriteString(c, head+"\r\n")
		s.is.NoErr(err)
		s.is.Equal(c.answer(), want)
	}
}

// TestResponseNotRead guards against clients that do not read their responses and hold them for good.
func TestResponseNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, accepted := net.Pipe()
		server := New(Options{Refuse: func(http.ResponseWriter) {}, Limits: &Limits{}})
		c := &conn{Conn: accepted, server: server, state: stateServing}
		began := time.Now()
		if _, err := c.Write(make([]byte, 3*writePiece)); err == nil || time.Since(began) != writeTimeout {
			t.Errorf("the write ends after %v with %v", time.Since(began), err)
		}
		_ = client.Close()
	})
}
