package http1

import (
	"errors"
	"io"
	"net"
	"os"
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

// waiting reports whether no part of a request has been read that is not answered.
func (s connState) waiting() bool { return s == stateNew || s == stateIdle }

// lingerTimeout is how long a closed connection waits for its client to close it as well.
const lingerTimeout = 300 * time.Millisecond

// longAgo is a read deadline that wakes a read which waits.
var longAgo = time.Unix(1, 0)

// conn is an accepted connection. It tracks its request, since the HTTP server takes a connection for
// idle until its goroutine has read the request, and closes it with a request that has arrived.
type conn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time
	mu         sync.Mutex
	state      connState
	// deadline is the read deadline that the HTTP server has set.
	deadline time.Time
	// ending is set if the connection is to be closed while it waits for a request.
	ending bool
	// lastReadAt is when bytes were last read, or when the connection was accepted.
	lastReadAt time.Time
	// ended is set once the client has closed the connection or reading has failed.
	ended  bool
	closed bool
}

// Read implements net.Conn. A read deadline that passes while the connection waits for a request
// does not end the connection if a request has arrived, which the process was too slow to read.
func (c *conn) Read(p []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(p)
		switch {
		case n > 0:
			c.requestReceived()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.mu.Lock()
			c.ended = err != nil
			c.mu.Unlock()
		case c.requestArrived():
			continue
		case c.endsNow():
			return 0, io.EOF
		}
		return n, err
	}
}

// requestReceived records that bytes of a request were read.
func (c *conn) requestReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReadAt = time.Now()
	if c.state.waiting() {
		c.startRequest(stateReading)
	}
}

// startRequest leaves a state that waits for a request, and restores the read deadline. The caller
// holds mu.
func (c *conn) startRequest(to connState) {
	if c.ending {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.state = to
}

// requestArrived reports whether a connection whose read deadline has passed has a request to be read.
// If so, it sets a new deadline.
func (c *conn) requestArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.waiting() || !arrived(c.Conn) {
		return false
	}
	if timeout := c.server.options.ReadHeaderTimeout; timeout > 0 {
		c.deadline = time.Now().Add(timeout)
	} else {
		c.deadline = time.Time{}
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	c.state = stateReading
	return true
}

// endsNow reports whether the connection is to be closed, since the server stops and no request has
// arrived.
func (c *conn) endsNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.state.waiting()
}

// end closes the connection if it waits for a request, now or later.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.state.waiting() {
		_ = c.Conn.SetReadDeadline(c.endDeadline())
	}
}

// endDeadline returns until when an ending connection waits for a request.
func (c *conn) endDeadline() time.Time {
	if c.state == stateNew {
		return c.acceptedAt.Add(firstRequestTimeout)
	}
	return longAgo
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending && c.state.waiting() {
		t = c.endDeadline()
	}
	return c.Conn.SetReadDeadline(t)
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
	how := closing{state: c.state, byClient: c.ended, lastReadAt: c.lastReadAt}
	if !c.ended && !c.closed {
		how.arrived = c.state.waiting() && arrived(c.Conn)
		how.cut = how.arrived || c.state == stateReading || c.state == stateServing
	}
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	if how.state.waiting() && !how.byClient && !how.arrived && !c.server.closesAll() {
		how.crossed = c.linger()
	}
	err := c.Conn.Close()
	c.server.recordClose(c, how)
	c.server.remove(c)
	return err
}

// linger sends a refusal and the end of the stream, and waits until the client closes the connection.
// It reports whether the client has sent a request meanwhile, which takes the refusal for its answer.
// Clients without a request drop the connection (RFC 9112, section 9.2).
func (c *conn) linger() (crossed bool) {
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Conn.Write(c.server.refusal); err != nil || c.CloseWrite() != nil {
		return false
	}
	n, _ := io.Copy(io.Discard, c.Conn)
	return n > 0
}

func (c *conn) setState(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.waiting() && !s.waiting() {
		c.startRequest(s)
		return
	}
	c.state = s
}

// closing describes a connection that is being closed.
type closing struct {
	state connState
	// arrived is set if bytes have arrived that were not read.
	arrived bool
	// crossed is set if the client has sent a request before it saw the end of the stream.
	crossed bool
	// cut is set if a request that has reached this process is left without an answer.
	cut bool
	// byClient is set if the client has closed the connection before.
	byClient   bool
	lastReadAt time.Time
}

// arrived reports whether a connection has bytes that were not read. It reports false for connections
// without a file descriptor.
func arrived(c net.Conn) (found bool) {
	control(c, func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return found
}

// readable reports whether a connection waits to be accepted by a listener.
func readable(l net.Listener) (found bool) {
	control(l, func(fd int) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		found = err == nil && n > 0
	})
	return found
}

// control calls f with the file descriptor of a connection or a listener, if it has one.
func control(of any, f func(fd int)) {
	s, ok := of.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}
