package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// acceptTimeout bounds an Accept of a stopping server for a connection that waited. Its client may
	// have closed it meanwhile.
	acceptTimeout = 10 * time.Millisecond
	// firstRequestTimeout is how long a stopping server waits for the first request of a connection. A
	// client opens one to send a request at once.
	firstRequestTimeout = 250 * time.Millisecond
	// maxLastAccepts is how many connections a server still serves that come once it is to close its
	// listener. More of them wait only if it is short of processor time, which the requests before them need.
	maxLastAccepts = 8
)

// ErrStopped is the cause with which the contexts of requests end that a stopping server no longer
// waits for.
var ErrStopped = errors.New("http1: the server stops")

// Options configures a Server.
type Options struct {
	Handler http.Handler
	// ReadHeaderTimeout limits how long a client may take to send the headers of a request, and
	// IdleTimeout how long a connection may be idle.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// MaxHeaderBytes limits the headers of a request. If it is 0, that of net/http applies.
	MaxHeaderBytes int
	// Refuse writes the response to a request that is not read, since it was sent while a server that
	// stops closed its idle connection. It must say that the request was not run.
	Refuse func(http.ResponseWriter)
	// Limits bounds what connections hold, or is nil. With it, heads are limited even if MaxHeaderBytes is 0.
	Limits  *Limits
	Log     *slog.Logger
	Metrics *telemetry.Connections
}

// Server serves HTTP/1.1 and stops without closing a connection on which a request has arrived. It is
// safe for concurrent use.
type Server struct {
	options Options
	http    *http.Server
	// refusal is the response that Options.Refuse writes.
	refusal []byte
	// requests is the parent of the contexts of all requests.
	requests    context.Context
	endRequests context.CancelCauseFunc
	mu          sync.Mutex
	conns       map[*conn]struct{}
	listeners   map[*listener]struct{}
	// changed is closed and replaced when a connection or a listener is removed.
	changed chan struct{}
	// announcedAt is when Announce was called, or zero.
	announcedAt time.Time
	// refusing counts connections outside the budget.
	refusing int
	// stopping is set once connections without a request are closed, and aborting once all are.
	stopping, aborting bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// New returns a Server.
func New(o Options) *Server {
	if o.Limits != nil && o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultMaxHeadBytes
	}
	s := &Server{options: o, refusal: render(o.Refuse), conns: map[*conn]struct{}{}, listeners: map[*listener]struct{}{}, changed: make(chan struct{})}
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: o.ReadHeaderTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ConnState:   setConnState,
		BaseContext: func(net.Listener) context.Context { return s.requests },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// render returns the bytes of the response that refuse writes.
func render(refuse func(http.ResponseWriter)) []byte {
	w := recorder{header: http.Header{}}
	refuse(&w)
	response := http.Response{StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true, ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body)}
	var raw bytes.Buffer
	_ = response.Write(&raw)
	return raw.Bytes()
}

// recorder is an http.ResponseWriter that keeps the response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *recorder) Write(p []byte) (int, error) { return w.body.Write(p) }

func setConnState(c net.Conn, to http.ConnState) {
	if to == http.StateIdle {
		c.(*conn).setState(stateIdle)
	}
}

// Serve accepts connections until the server stops, when it returns nil, or until accepting fails.
func (s *Server) Serve(accepting net.Listener) (err error) {
	defer errs.Annotate(&err, "http1: serve %s", accepting.Addr())
	l := &listener{Listener: accepting, server: s}
	if s.options.Limits != nil {
		limitReceiveBuffers(accepting)
	}
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.listeners, l)
		s.notify()
	}()
	err = s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && s.stoppingFor() > 0 {
		return nil
	}
	return err
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	c.setState(stateServing)
	counted, ok := c.admit(r)
	if s.stoppingFor() > 0 || !ok {
		w.Header().Set("Connection", "close")
	}
	if ok {
		s.options.Handler.ServeHTTP(w, counted)
	} else {
		s.options.Refuse(w)
	}
	c.setState(stateAnswered)
}

// Announce says with the response to each request that comes from now on that its connection will be
// closed, so that the client sends no other request on it. All requests are still served.
func (s *Server) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcedAt.IsZero() {
		s.announcedAt = time.Now()
	}
}

// stoppingFor returns how long ago Announce was called, or 0 if it was not.
func (s *Server) stoppingFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcedAt.IsZero() {
		return 0
	}
	return max(time.Since(s.announcedAt), 1)
}

// Stop closes each connection without a request and the listeners, and returns once all requests are
// answered. When ctx ends before, it refuses what still waits to be accepted, and ends the contexts of
// the requests that are still served, which gives their handlers answerTimeout to answer them. It returns
// an error if some are not answered even then.
func (s *Server) Stop(ctx context.Context, answerTimeout time.Duration) (err error) {
	defer errs.Annotate(&err, "http1: stop")
	s.Announce()
	s.closeWaiting()
	listeners := s.closeEmptyListeners()
	if !s.waitClosed(ctx) {
		s.endRequests(ErrStopped)
		answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		defer cancel()
		if !s.waitClosed(answerCtx) {
			err = s.unansweredError()
		}
	}
	s.endRequests(ErrStopped)
	for _, l := range listeners {
		_ = l.Close()
	}
	s.mu.Lock()
	s.aborting = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	// Close waits for the goroutine that reads from its connection, so that they are closed all at once.
	var closed sync.WaitGroup
	for _, c := range conns {
		closed.Go(func() { _ = c.Close() })
	}
	closed.Wait()
	_ = s.http.Close()
	return err
}

// Close closes all connections and listeners at once.
func (s *Server) Close() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return s.Stop(ctx, 0)
}

// unansweredError returns an error if requests are still served.
func (s *Server) unansweredError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.hasRequest() {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return fmt.Errorf("%d connections closed with a request in progress", n)
}

// abortsAll reports whether all connections are closed at once, with their requests.
func (s *Server) abortsAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborting
}

// closeEmptyListeners has each listener closed once no connection waits to be accepted, since those that
// wait are reset with the requests that they carry.
func (s *Server) closeEmptyListeners() []*listener {
	s.mu.Lock()
	listeners := slices.Collect(maps.Keys(s.listeners))
	s.mu.Unlock()
	for _, l := range listeners {
		l.closeEmpty()
	}
	return listeners
}

// closeWaiting closes all connections, present and future, while they wait for a request.
func (s *Server) closeWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c := range s.conns {
		c.closeWaiting()
	}
}

// waitClosed waits until all listeners and connections are closed, and reports false if ctx ends
// before.
func (s *Server) waitClosed(ctx context.Context) bool {
	return s.wait(ctx, func() bool { return len(s.conns)+len(s.listeners) == 0 })
}

// wait waits until a condition holds that is checked under mu, and reports false if ctx ends before.
func (s *Server) wait(ctx context.Context, holds func() bool) bool {
	for {
		s.mu.Lock()
		done, changed := holds(), s.changed
		s.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.stopping {
		c.closeWaiting()
	}
}

// refuseNewConn closes a connection outside the budget with a refusal, if there are not many.
func (s *Server) refuseNewConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing >= maxRefusing {
		_ = c.Conn.Close()
		return
	}
	s.refusing++
	s.conns[c] = struct{}{}
	go func() {
		c.closeWaiting()
		c.refuseFirst()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusing--
	}()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.notify()
}

// notify wakes waitClosed. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordClose counts a connection that was closed, and logs a request that is left without an answer.
func (s *Server) recordClose(c *conn, r closeReport) {
	s.options.Metrics.RecordClosed(r.outcome(), r.by())
	if r.cut {
		s.options.Log.Warn("connection closed before its request was answered", "client", c.RemoteAddr().String(), "state", r.outcome(),
			"read-ms-ago", time.Since(r.lastReadAt).Milliseconds(), "stopping-ms", s.stoppingFor().Milliseconds())
	}
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	// closing is set once the listener is to be closed when no connection waits to be accepted.
	closing atomic.Bool
	// lastAccepts counts the connections that were accepted after that. It belongs to Accept.
	lastAccepts int
}

// Accept implements net.Listener. The goroutine that accepts connections closes the listener as well:
// while it waits, or has yet to notice that another one has closed it, the port stays open and
// connections come in that are reset. It does not wait once the listener is to be closed, since clients
// that come back at once would have filled the queue again whenever it gets processor time.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.closing.Load() {
			if !acceptable(l.Listener) {
				_ = l.Listener.Close()
				return nil, net.ErrClosed
			}
			l.setDeadline(time.Now().Add(acceptTimeout))
		}
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil:
			now := time.Now()
			c := &conn{Conn: accepted, server: l.server, acceptedAt: now, lastReadAt: now}
			if limits := l.server.options.Limits; limits != nil && !c.open(limits, l.closing.Load) {
				l.server.refuseNewConn(c)
				continue
			}
			l.server.add(c)
			if l.closing.Load() {
				l.lastAccepts++
			}
			if l.lastAccepts <= maxLastAccepts && l.server.requests.Err() == nil {
				return c, nil
			}
			// The goroutine is one of the connection, which Stop waits for.
			go c.refuseFirst()
		case !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
}

// closeEmpty has the listener closed as soon as no connection waits to be accepted.
func (l *listener) closeEmpty() {
	l.closing.Store(true)
	if !l.setDeadline(longAgo) {
		_ = l.Close()
	}
}

// setDeadline sets until when Accept waits, and reports false if the listener has no deadlines.
func (l *listener) setDeadline(t time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(t) == nil
}
