package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Layout of a yamux header, as far as coalescingConn needs it.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxLengthOffset = 8
)

// coalescingConn holds a yamux data header back until the body that follows it is written, so
// that both leave in one packet. It is not safe for concurrent writes; yamux writes from a
// single goroutine.
type coalescingConn struct {
	net.Conn
	header  []byte
	buffers net.Buffers
	// received counts the bytes that were read.
	received atomic.Int64
}

// Read implements io.Reader.
func (c *coalescingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer. It reports a data header as written before it has been sent.
func (c *coalescingConn) Write(p []byte) (n int, err error) {
	if len(c.header) == 0 && isDataHeader(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	c.buffers = append(c.buffers[:0], c.header, p)
	written, err := c.buffers.WriteTo(c.Conn)
	n = max(0, int(written)-len(c.header))
	c.header = c.header[:0]
	return n, err
}

func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
