package peer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Sizes of frames.
const (
	// FrameMaxBytes bounds one frame.
	FrameMaxBytes = 2 << 20
	// ChunkBytes is how much of a body one frame carries.
	ChunkBytes = 32 << 10
	// BodyMaxBytes bounds the body of a request.
	BodyMaxBytes = 16 << 20
)

const bufferBytes = 2 << 10

// ErrProtocol tells that the other side sent a frame that has no place there.
var ErrProtocol = errors.New("peer: unexpected frame")

// Stream carries frames both ways. One goroutine may send while another receives.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newStream(conn net.Conn) *Stream {
	return &Stream{
		conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes),
	}
}

// Send writes the frames and flushes them.
func (s *Stream) Send(frames ...*peerpb.Frame) (err error) {
	defer errs.Annotate(&err, "peer: send")
	for _, f := range frames {
		if _, err = protodelim.MarshalTo(s.writer, f); err != nil {
			return err
		}
	}
	return s.writer.Flush()
}

// Receive reads the next frame.
func (s *Stream) Receive() (f *peerpb.Frame, err error) {
	f = &peerpb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: FrameMaxBytes}
	if err = options.UnmarshalFrom(s.reader, f); err != nil {
		return nil, err
	}
	if f.GetBody() == nil {
		return nil, fmt.Errorf("%w: empty or unknown", ErrProtocol)
	}
	return f, nil
}

// SendMessage writes messages of a protocol other than Frame and flushes them.
func (s *Stream) SendMessage(messages ...proto.Message) (err error) {
	defer errs.Annotate(&err, "peer: send")
	for _, m := range messages {
		if _, err = protodelim.MarshalTo(s.writer, m); err != nil {
			return err
		}
	}
	return s.writer.Flush()
}

// ReceiveMessage reads the next message of a protocol other than Frame.
func (s *Stream) ReceiveMessage(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: FrameMaxBytes}
	return options.UnmarshalFrom(s.reader, m)
}

// SetWriteDeadline bounds the following writes.
func (s *Stream) SetWriteDeadline(t time.Time) { _ = s.conn.SetWriteDeadline(t) }

// SetDeadline bounds the following calls; the zero time removes the bound.
func (s *Stream) SetDeadline(t time.Time) { _ = s.conn.SetDeadline(t) }

// Close ends the stream in both directions.
func (s *Stream) Close() { _ = s.conn.Close() }

// SendBody writes a body as chunks followed by end.
func (s *Stream) SendBody(body []byte, end *peerpb.End) (err error) {
	for len(body) > 0 {
		n := min(len(body), ChunkBytes)
		if err = s.Send(ChunkFrame(body[:n])); err != nil {
			return err
		}
		body = body[n:]
	}
	return s.Send(EndFrame(end))
}

// ReceiveBody reads chunks up to an End whose complete flag is set; a body of more than
// limit bytes or an incomplete one is an error.
func (s *Stream) ReceiveBody(size int64, limit int64) (body []byte, err error) {
	defer errs.Annotate(&err, "peer: receive body")
	if size < 0 || size > limit {
		return nil, fmt.Errorf("%w: body of %d bytes, at most %d are allowed", ErrProtocol, size, limit)
	}
	for {
		f, err := s.Receive()
		if err != nil {
			return nil, err
		}
		switch b := f.GetBody().(type) {
		case *peerpb.Frame_Chunk:
			body = append(body, b.Chunk.GetData()...)
			if int64(len(body)) > limit {
				return nil, fmt.Errorf("%w: body over %d bytes", ErrProtocol, limit)
			}
		case *peerpb.Frame_End:
			if !b.End.GetComplete() || int64(len(body)) != size {
				return nil, fmt.Errorf("%w: body ended after %d of %d bytes", ErrProtocol, len(body), size)
			}
			return body, nil
		default:
			return nil, fmt.Errorf("%w: %T in a body", ErrProtocol, b)
		}
	}
}
