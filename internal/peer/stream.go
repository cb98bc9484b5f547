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

const (
	// FrameMaxBytes is the largest frame that is accepted.
	FrameMaxBytes = 2 << 20
	// ChunkBytes is the largest part of a body that is sent in one frame.
	ChunkBytes = 32 << 10
	// BodyMaxBytes is the largest request body.
	BodyMaxBytes = 16 << 20
)

const bufferBytes = 2 << 10

// ErrProtocol is returned when the other side sends a frame that the protocol does not allow
// at that point.
var ErrProtocol = errors.New("peer: unexpected frame")

// Stream carries frames in both directions. One goroutine may send while another receives.
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

// SendMessage writes messages of a type other than peerpb.Frame and flushes them.
func (s *Stream) SendMessage(messages ...proto.Message) (err error) {
	defer errs.Annotate(&err, "peer: send")
	for _, m := range messages {
		if _, err = protodelim.MarshalTo(s.writer, m); err != nil {
			return err
		}
	}
	return s.writer.Flush()
}

// ReceiveMessage reads the next message into m, which may be of a type other than
// peerpb.Frame.
func (s *Stream) ReceiveMessage(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: FrameMaxBytes}
	return options.UnmarshalFrom(s.reader, m)
}

// SetWriteDeadline sets the deadline of following writes; the zero time removes it.
func (s *Stream) SetWriteDeadline(t time.Time) { _ = s.conn.SetWriteDeadline(t) }

// SetDeadline sets the deadline of following reads and writes; the zero time removes it.
func (s *Stream) SetDeadline(t time.Time) { _ = s.conn.SetDeadline(t) }

// Close closes the stream in both directions.
func (s *Stream) Close() { _ = s.conn.Close() }

// SendBody writes body in chunks, followed by end.
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

// ReceiveBody reads a body of size bytes in chunks up to its End frame. It fails if size or
// the body exceeds limit, if the End is not marked complete, or if the length is not size.
func (s *Stream) ReceiveBody(size int64, limit int64) (body []byte, err error) {
	defer errs.Annotate(&err, "peer: receive body")
	if size < 0 || size > limit {
		return nil, fmt.Errorf("%w: body of %d bytes announced, at most %d allowed", ErrProtocol, size, limit)
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
				return nil, fmt.Errorf("%w: body over the limit of %d bytes", ErrProtocol, limit)
			}
		case *peerpb.Frame_End:
			if !b.End.GetComplete() || int64(len(body)) != size {
				return nil, fmt.Errorf("%w: body ended incomplete after %d of %d bytes", ErrProtocol, len(body), size)
			}
			return body, nil
		default:
			return nil, fmt.Errorf("%w: %T within a body", ErrProtocol, b)
		}
	}
}
