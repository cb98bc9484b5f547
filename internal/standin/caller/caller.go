// Package caller is a stand-in for callers that keep their connections open. It uses connections
// directly, without a pool that repeats requests, so that it sees how each try ended.
package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jasminebay/jasminebay/internal/loop"
)

// Outcome is how a try ended.
type Outcome string

// The outcomes of a try.
const (
	Answered Outcome = "answered"
	// Refused means that no connection was made.
	Refused Outcome = "refused"
	// ClosedIdle means that the server closed the connection while no request was under way.
	ClosedIdle Outcome = "closed-idle"
	// Unsent means that the connection ended before the whole request was sent.
	Unsent Outcome = "unsent"
	// Cut means that the connection ended before any byte of the response, and CutInside before its
	// last one. The whole request had been sent.
	Cut       Outcome = "cut"
	CutInside Outcome = "cut-inside"
	// TimedOut means that the response was not complete within the caller's timeout.
	TimedOut Outcome = "timed-out"
)

// Try is one request, or one attempt to connect.
type Try struct {
	Outcome Outcome
	// Sent is when the last byte of the request was sent.
	Sent  time.Time
	Ended time.Time
	// Number counts the requests on the connection, from 1.
	Number int
}

// Caller sends requests to one server over one connection at a time, which it keeps open as long as
// the server does.
type Caller struct {
	Address string
	// Request returns the bytes of the next request.
	Request func() []byte
	// Report is called at the end of each try.
	Report func(Try)
	// MaxPause limits the random pause between requests. A quarter of them follow without any.
	MaxPause time.Duration
	Timeout  time.Duration
	Random   *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	number int
}

const (
	// connectPause separates attempts to connect.
	connectPause = 50 * time.Millisecond
	// maxSplitPause limits the pause inside a request that is sent in two parts.
	maxSplitPause = 60 * time.Millisecond
	// One request of splitOdds is sent in two parts, and one of reconnectOdds on a new connection.
	splitOdds     = 8
	reconnectOdds = 16
)

// Run sends requests until ctx ends. The try that is then under way is completed.
func (c *Caller) Run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			loop.Pause(ctx, connectPause)
			continue
		}
		if !c.rest() {
			c.end(Try{Outcome: ClosedIdle})
			continue
		}
		t := c.try()
		c.end(t)
		if t.Outcome != Answered {
			continue
		}
		if c.Random.IntN(reconnectOdds) == 0 {
			c.close()
		}
		if c.conn == nil {
			loop.Pause(ctx, c.nextPause())
		}
	}
}

func (c *Caller) nextPause() time.Duration {
	if c.Random.IntN(4) == 0 {
		return 0
	}
	return time.Duration(c.Random.Int64N(int64(c.MaxPause)))
}

func (c *Caller) connect() bool {
	conn, err := net.DialTimeout("tcp", c.Address, c.Timeout)
	if err != nil {
		c.end(Try{Outcome: Refused})
		return false
	}
	c.conn, c.reader, c.number = conn, bufio.NewReader(conn), 0
	return true
}

func (c *Caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// end reports a try. A connection on which a try has failed is closed.
func (c *Caller) end(t Try) {
	t.Ended, t.Number = time.Now(), c.number
	if t.Outcome != Answered {
		c.close()
	}
	c.Report(t)
}

// rest waits before the next request and reports whether the connection is still open then.
func (c *Caller) rest() bool {
	pause := c.nextPause()
	if c.number == 0 || pause == 0 {
		return true
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(pause))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// try sends a request and reads its response.
func (c *Caller) try() Try {
	c.number++
	raw := c.Request()
	_ = c.conn.SetDeadline(time.Now().Add(c.Timeout))
	if c.Random.IntN(splitOdds) == 0 {
		half := c.Random.IntN(len(raw))
		if _, err := c.conn.Write(raw[:half]); err != nil {
			return Try{Outcome: Unsent}
		}
		time.Sleep(time.Duration(c.Random.Int64N(int64(maxSplitPause))))
		raw = raw[half:]
	}
	if _, err := c.conn.Write(raw); err != nil {
		return Try{Outcome: Unsent}
	}
	t := Try{Sent: time.Now()}
	if _, err := c.reader.Peek(1); err != nil {
		t.Outcome = failure(err, Cut)
		return t
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		t.Outcome = failure(err, CutInside)
		return t
	}
	t.Outcome = Answered
	if response.Close {
		c.close()
	}
	return t
}

func failure(err error, cut Outcome) Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return TimedOut
	}
	return cut
}
