package peer

import (
	"encoding/binary"
	"net"
)

// The layout of a yamux header, of which only the parts that join needs are named.
const (
	muxHeaderBytes  = 12
	muxTypeAt       = 1
	muxTypeData     = 0
	muxLengthOffset = 8
)

// joined is a connection that writes a yamux data header together with the body that
// follows it, in one packet. The multiplexer writes from one goroutine.
type joined struct {
	net.Conn
	header  []byte
	buffers net.Buffers
}

// Write implements io.Writer.
func (j *joined) Write(p []byte) (n int, err error) {
	if len(j.header) == 0 && isDataHeader(p) {
		j.header = append(j.header, p...)
		return len(p), nil
	}
	if len(j.header) == 0 {
		return j.Conn.Write(p)
	}
	j.buffers = append(j.buffers[:0], j.header, p)
	written, err := j.buffers.WriteTo(j.Conn)
	n = max(0, int(written)-len(j.header))
	j.header = j.header[:0]
	return n, err
}

func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeAt] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
