package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jasminebay/jasminebay/internal/intake"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// receiveBufferBytes limits what the kernel receives for a connection that is not read. The kernel
	// doubles it and counts its own structures.
	receiveBufferBytes = 16 << 10
	// defaultMaxHeadBytes is what clients inside the limits send at most.
	defaultMaxHeadBytes = 64 << 10
	// headFactor is how many bytes are counted for a byte of a request's head, which is parsed into strings.
	headFactor = 2
	// writeTimeout is how long a client may take to read writePiece bytes of a response.
	writeTimeout = 10 * time.Second
	writePiece   = 64 << 10
	// roomTimeout is how long a request waits for what the connections hold that are closed for it.
	roomTimeout = time.Second
	// maxWaiting bounds the small and the large requests that wait, since each looks at all connections
	// whenever one gives something back.
	maxWaiting = 32
	// acceptCheck is how often an Accept that waits for a descriptor looks whether the server stops.
	acceptCheck = 10 * time.Millisecond
	// maxRefusing bounds the connections outside the budget that are closed with a refusal. More are
	// closed without one.
	maxRefusing = 64
)

// Limits bounds what the connections of one or more servers hold.
type Limits struct {
	Budget  *intake.Budget
	Metrics *telemetry.Intake
	// waitingSmall and waitingLarge count the requests that wait for what others give back.
	waitingSmall, waitingLarge atomic.Int64
}

// limitReceiveBuffers has the kernel limit what it receives for each connection of a listener.
func limitReceiveBuffers(l net.Listener) {
	control(l, func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) })
}

// open counts the connection, and reports false if there is no room for it. It waits shortly for a
// connection that is closed in its favour, unless stop reports true.
func (c *conn) open(l *Limits, stop func() bool) bool {
	for deadline := time.Now().Add(roomTimeout); ; {
		c.mu.Lock()
		holding, d := l.Budget.Open(time.Now(), c.evict)
		c.holding = holding
		c.mu.Unlock()
		evict(d)
		if d.Granted {
			return true
		}
		if d.Wait == nil || stop() || time.Now().After(deadline) {
			c.recordRefusal("connection", intake.ConnBytes)
			return false
		}
		select {
		case <-d.Wait:
		case <-time.After(acceptCheck):
		}
	}
}

// evict closes the connections that a decision selects.
func evict(d intake.Decision) {
	for _, c := range d.Selected {
		c.Evict()
	}
}

// evict closes the connection since another one needs what it holds, unless a request has arrived on it
// meanwhile. It wakes the read that waits, which decides.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.holding.Selected() {
		return
	}
	c.evicted, c.closesWaiting = true, true
	_ = c.Conn.SetReadDeadline(longAgo)
	l := c.server.options.Limits
	l.Metrics.RecordRefusal("closed")
	c.server.options.Log.Info("connection closed to free memory", "client", c.RemoteAddr().String(), "state", c.state.String())
}

// begin enters stateReading. The caller holds mu.
func (c *conn) begin() {
	c.state = stateReading
	if c.holding != nil {
		c.holding.Begin(time.Now())
		c.evicted, c.uncounted = false, true
	}
}

// countHead counts bytes of a request's head, and reports false if the request has to be refused.
func (c *conn) countHead(n int) bool {
	if c.holding == nil {
		return true
	}
	c.mu.Lock()
	bytes := int64(0)
	if c.uncounted {
		c.uncounted = false
		bytes = intake.RequestBytes
	}
	if c.state == stateReading {
		bytes += headFactor * int64(n)
	}
	c.mu.Unlock()
	c.holding.Progress(time.Now())
	return bytes == 0 || c.reserve("head", bytes) == nil
}

// Reserve implements intake.Account.
func (c *conn) Reserve(bytes int64) error { return c.reserve("body", bytes) }

func (c *conn) reserve(what string, bytes int64) error {
	d := c.holding.Take(time.Now(), bytes)
	evict(d)
	if !d.Granted && d.Wait != nil {
		d = c.waitForRoom(bytes, d)
	}
	if !d.Granted {
		c.recordRefusal(what, bytes)
		return intake.ErrFull
	}
	return nil
}

// waitForRoom asks again each time that something is given back, for a short while.
func (c *conn) waitForRoom(bytes int64, d intake.Decision) intake.Decision {
	l := c.server.options.Limits
	waiting := &l.waitingLarge
	if d.Small {
		waiting = &l.waitingSmall
	}
	defer waiting.Add(-1)
	if waiting.Add(1) > maxWaiting {
		return d
	}
	timeout := time.After(roomTimeout)
	for !d.Granted && d.Wait != nil {
		select {
		case <-d.Wait:
			d = c.holding.Take(time.Now(), bytes)
			evict(d)
		case <-timeout:
			return d
		}
	}
	return d
}

func (c *conn) recordRefusal(reason string, bytes int64) {
	c.server.options.Limits.Metrics.RecordRefusal(reason)
	c.server.options.Log.Info("request refused for lack of memory", "client", c.RemoteAddr().String(), "reason", reason, "bytes", bytes)
}

// Release implements intake.Account.
func (c *conn) Release(bytes int64) { c.holding.Give(time.Now(), bytes) }

// wasEvicted reports whether the connection was closed in the middle of a request, and in which state.
func (c *conn) wasEvicted() (state connState, evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.evicted && !c.state.waiting()
}

// errRefused is an error on which the HTTP server closes a connection without a response of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: intake.ErrFull}

// evictedUnused reports whether the connection is closed to free memory and has not carried a request. Many such
// connections may come at once, so that nothing waits for their clients.
func (c *conn) evictedUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted && c.state == stateNew
}

// refuseHead has the connection closed with a refusal, since there is no memory for the head of its
// request.
func (c *conn) refuseHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = true
	c.holding.Idle(time.Now())
	return errRefused
}

// wasRefused reports whether the head of a request was refused. All reads fail then: the HTTP server takes the
// part of a line before an error for a line and reads on.
func (c *conn) wasRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// countedBody is the body of a request on a connection with a holding.
type countedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.holding.Complete() {
		err = intake.ErrFull
	}
	return n, err
}

// admit counts a request whose head was read, and reports whether it can be served.
func (c *conn) admit(r *http.Request) (counted *http.Request, ok bool) {
	if c.holding == nil {
		return r, true
	}
	if !c.countHead(0) {
		return r, false
	}
	if r.Body == nil || r.Body == http.NoBody {
		return r, c.holding.Complete()
	}
	r = r.WithContext(intake.WithAccount(r.Context(), c))
	r.Body = countedBody{r.Body, c}
	return r, true
}
