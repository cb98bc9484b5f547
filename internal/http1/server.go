package http1

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Options configures a Server.
type Options struct {
	Handler http.Handler
	// ReadHeaderTimeout limits how long a client may take to send the headers of a request, and
	// IdleTimeout how long a connection may be idle.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// MaxHeaderBytes limits the headers of a request. If it is 0, that of net/http applies.
	MaxHeaderBytes int
	Log            *slog.Logger
	Metrics        *telemetry.Connections
}

// Server serves HTTP/1.1 and tracks the request on each connection. It is safe for concurrent use.
type Server struct {
	options Options
	http    *http.Server
	mu      sync.Mutex
	// stopsAt is when the server began to stop, or zero.
	stopsAt time.Time
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{options: o}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: o.ReadHeaderTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ConnState: setConnState, ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

func setConnState(c net.Conn, to http.ConnState) {
	if to == http.StateIdle {
		c.(*conn).setState(stateIdle)
	}
}

// Serve accepts connections until the server stops, when it returns nil, or until accepting fails.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(listener{l, s}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	c.setState(stateServing)
	s.options.Handler.ServeHTTP(w, r)
	c.setState(stateAnswered)
}

// Announce tells clients with each response that the connection will be closed.
func (s *Server) Announce() {
	s.mu.Lock()
	s.stopsAt = time.Now()
	s.mu.Unlock()
	s.http.SetKeepAlivesEnabled(false)
}

// Stop closes the listener and each connection once its request is answered, and closes all others
// when ctx ends.
func (s *Server) Stop(ctx context.Context) (err error) {
	if err = s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	return err
}

// recordClose counts a connection that is closed, and logs a request that is left without an answer.
func (s *Server) recordClose(c *conn, how closing) {
	state, by := how.state.String(), "server"
	if how.arrived {
		state = "unread"
	}
	if how.byClient {
		by = "client"
	}
	s.options.Metrics.RecordClosed(state, by)
	if !how.cut {
		return
	}
	s.mu.Lock()
	stopsAt := s.stopsAt
	s.mu.Unlock()
	stopping := int64(0)
	if !stopsAt.IsZero() {
		stopping = time.Since(stopsAt).Milliseconds()
	}
	s.options.Log.Warn("connection closed before its request was answered", "client", c.RemoteAddr().String(), "state", state,
		"read-ms-ago", time.Since(how.lastReadAt).Milliseconds(), "stopping-ms", stopping)
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, server: l.server, lastReadAt: time.Now()}, nil
}
