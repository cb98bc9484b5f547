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

	"github.com/jasminebay/jasminebay/internal/intake"
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

// waiting reports whether the connection waits for a request.
func (s connState) waiting() bool { return s == stateNew || s == stateIdle }

// lingerTimeout is how long a connection that is closed with a refusal waits for its client to close it as
// well.
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
	// waitSet is set once the HTTP server has set the read deadline with which it waits for another request.
	waitSet bool
	// closesWaiting is set if the connection is to be closed while it waits for a request.
	closesWaiting bool
	// lastReadAt is when bytes were last read, or when the connection was accepted.
	lastReadAt time.Time
	// peerClosed is set once the client has closed the connection or reading has failed.
	peerClosed bool
	closed     bool
	// holding is what the connection holds of the server's budget, or nil if the server has none.
	holding *intake.Holding
	// evicted is set once the connection is to be closed to free memory, and refused if it is closed
	// since there was none for its request.
	evicted, refused bool
	// uncounted is set while intake.RequestBytes are not counted for the request.
	uncounted bool
}

// Read implements net.Conn. A read deadline that passes while the connection waits for a request
// does not end the connection if a request has arrived, which the process was too slow to read.
func (c *conn) Read(p []byte) (n int, err error) {
	for {
		if c.wasRefused() {
			return 0, errRefused
		}
		n, err = c.Conn.Read(p)
		switch {
		case n > 0:
			c.received()
			if !c.countHead(n) {
				return 0, c.refuseHead()
			}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.mu.Lock()
			c.peerClosed = err != nil
			c.mu.Unlock()
		case c.extendDeadline():
			continue
		case c.isToClose():
			return 0, io.EOF
		default:
			if state, evicted := c.wasEvicted(); evicted && state == stateReading {
				return 0, c.refuseHead()
			} else if evicted {
				return 0, intake.ErrFull
			}
		}
		return n, err
	}
}

// received records that bytes of a request were read.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReadAt = time.Now()
	if c.state.waiting() {
		c.leaveWaiting(stateReading)
		c.begin()
	}
}

// leaveWaiting enters a state with a request, and restores the read deadline. The caller holds mu.
func (c *conn) leaveWaiting(to connState) {
	if c.closesWaiting {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.state = to
}

// extendDeadline sets a new read deadline in place of one that has passed, if a request has arrived
// for which the connection waited, and reports whether it has.
func (c *conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.waiting() || !unread(c.Conn) {
		return false
	}
	c.deadline = time.Time{}
	if timeout := c.server.options.ReadHeaderTimeout; timeout > 0 {
		c.deadline = time.Now().Add(timeout)
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	c.begin()
	return true
}

// isToClose reports whether the connection waits for a request and the server stops.
func (c *conn) isToClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesWaiting && c.state.waiting()
}

// hasRequest reports whether a request has begun that is not answered.
func (c *conn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == stateReading || c.state == stateServing
}

// closeWaiting closes the connection if it waits for a request, now or later. It wakes the read that
// waits, which decides.
func (c *conn) closeWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesWaiting = true
	if c.state.waiting() && !c.closed {
		_ = c.Conn.SetReadDeadline(c.waitDeadline())
	}
}

// waitDeadline returns until when a connection that is to be closed waits for a request.
func (c *conn) waitDeadline() time.Time {
	if c.state == stateNew && !c.evicted {
		return c.acceptedAt.Add(firstRequestTimeout)
	}
	return longAgo
}

// SetReadDeadline implements net.Conn. The HTTP server sets a deadline each time before it waits for a
// request, which must not replace the one that closes the connection. It sets another one once it has
// a request, which may have been read together with the one before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.state == stateIdle {
		if c.waitSet {
			c.begin()
		}
		c.waitSet = true
	}
	if c.evicted || c.closesWaiting && c.state.waiting() {
		t = c.waitDeadline()
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. Outside of a handler, it is the HTTP server that answers a request which
// it could not read.
func (c *conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	if c.state.waiting() || c.state == stateReading {
		c.leaveWaiting(stateAnswered)
	}
	c.mu.Unlock()
	if c.server.options.Limits == nil {
		return c.Conn.Write(p)
	}
	for len(p) > 0 && err == nil {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		var written int
		written, err = c.Conn.Write(p[:min(len(p), writePiece)])
		n, p = n+written, p[written:]
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

// Close implements net.Conn. It reports what became of a request.
func (c *conn) Close() error {
	c.mu.Lock()
	first, refuses := !c.closed, (c.refused || c.closesWaiting && c.state.waiting()) && !c.peerClosed
	report := closeReport{state: c.state, refused: c.refused, byClient: c.peerClosed, lastReadAt: c.lastReadAt}
	c.closed = true
	c.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	switch {
	case refuses && !c.server.abortsAll():
		report.crossed = c.refuse()
	case !report.byClient:
		report.unread = report.state.waiting() && unread(c.Conn)
		report.cut = report.unread || report.state == stateReading || report.state == stateServing
	}
	err := c.Conn.Close()
	if c.holding != nil {
		c.holding.Close()
	}
	c.server.recordClose(c, report)
	c.server.remove(c)
	return err
}

// refuse sends a refusal and the end of the stream, and waits until the client closes the connection.
// It reports whether the client has sent a request that was not read, which takes the refusal for its
// answer. Clients without a request drop the connection (RFC 9112, section 9.2).
func (c *conn) refuse() (crossed bool) {
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.Conn.Write(c.server.refusal); err != nil || c.CloseWrite() != nil || c.evictedUnused() {
		return false
	}
	n, _ := io.Copy(io.Discard, c.Conn)
	return n > 0
}

// refuseFirst waits for the first bytes of a request and closes the connection with a refusal, without
// the cost of reading the request.
func (c *conn) refuseFirst() {
	var first [1]byte
	if n, err := c.Conn.Read(first[:]); n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.peerClosed = true
		c.mu.Unlock()
	}
	_ = c.Close()
}

func (c *conn) setState(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.waiting() && !s.waiting() {
		c.leaveWaiting(s)
		return
	}
	c.state, c.waitSet = s, false
	if s == stateIdle && c.holding != nil {
		c.holding.Idle(time.Now())
	}
}

// closeReport tells what became of the request on a connection that was closed.
type closeReport struct {
	state connState
	// refused is set if there was no memory for the head of the request.
	refused bool
	// crossed is set if a request was refused that came while the connection was closed.
	crossed bool
	// unread is set if bytes have arrived that were neither read nor refused.
	unread bool
	// cut is set if a request that has arrived is left without an answer.
	cut bool
	// byClient is set if the client has closed the connection before.
	byClient   bool
	lastReadAt time.Time
}

// outcome returns what the report tells, for logs and metrics.
func (r closeReport) outcome() string {
	switch {
	case r.refused:
		return "refused"
	case r.crossed:
		return "crossed"
	case r.unread:
		return "unread"
	}
	return r.state.String()
}

// by returns who closed the connection first.
func (r closeReport) by() string {
	if r.byClient {
		return "client"
	}
	return "server"
}

// unread reports whether a connection has bytes that were not read. It reports false for connections
// without a file descriptor.
func unread(c net.Conn) (found bool) {
	control(c, func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return found
}

// acceptable reports whether a connection waits to be accepted by a listener.
func acceptable(l net.Listener) (found bool) {
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
