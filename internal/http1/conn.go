package http1

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connState says how far the server is with the request on a connection.
type connState int

const (
	// stateNew and stateIdle wait for the first request and for another one.
	stateNew connState = iota
	stateIdle
	// stateReading has received a part of a request.
	stateReading
	stateServing
	// stateAnswered has left its handler. The end of the response may not have been sent yet.
	stateAnswered
)

func (s connState) String() string {
	return [...]string{"new", "idle", "reading", "serving", "answered"}[s]
}

// waits reports whether no part of a request has been read that is not answered.
func (s connState) waits() bool { return s == stateNew || s == stateIdle }

// conn is an accepted connection. It tracks its request, since the HTTP server tells only what its
// own goroutine has seen.
type conn struct {
	net.Conn
	server *Server
	mu     sync.Mutex
	state  connState
	// lastReadAt is when bytes were last read, or when the connection was accepted.
	lastReadAt time.Time
	// ended is set once the client has closed the connection or reading has failed.
	ended  bool
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.lastReadAt = time.Now()
		if c.state.waits() {
			c.state = stateReading
		}
	}
	if err != nil && !isTimeout(err) {
		c.ended = true
	}
	return n, err
}

// CloseWrite sends the end of the stream to the client, which lets it read the response before the
// connection is closed.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It reports a request that is left without an answer.
func (c *conn) Close() error {
	c.mu.Lock()
	state, lastReadAt, first := c.state, c.lastReadAt, !c.closed
	arrived := state.waits() && !c.ended && readable(c.Conn)
	cut := !c.ended && (arrived || state == stateReading || state == stateServing)
	byClient := c.ended
	c.closed = true
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.server.recordClose(c, closing{state: state, arrived: arrived, cut: cut, byClient: byClient, lastReadAt: lastReadAt})
	}
	return err
}

func (c *conn) setState(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

// closing describes a connection that is being closed.
type closing struct {
	state connState
	// arrived is set if bytes have arrived that were not read.
	arrived bool
	// cut is set if a request is left without an answer.
	cut bool
	// byClient is set if the client has closed the connection before.
	byClient   bool
	lastReadAt time.Time
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// readable reports whether a connection has bytes, or the end of the stream, that were not read, or
// whether a listener has a connection that was not accepted. It reports false for types that have no
// file descriptor.
func readable(of any) (found bool) {
	s, ok := of.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		found = err == nil && n > 0
	})
	return found && err == nil
}
