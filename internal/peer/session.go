package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Version is the version of the protocol between the processes.
const Version = 1

// Timeouts of a session.
const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 3 * time.Second
	refusalLinger    = time.Second
	writeTimeout     = 3 * time.Second
	streamTimeout    = 10 * time.Second
)

// Roles of a process.
const (
	RoleAgent = "agent"
	RoleEntry = "entry"
)

const (
	acceptBacklog     = 2048
	streamWindowBytes = 256 << 10
)

// Session is a connection to another process; it is safe for concurrent use.
type Session struct {
	mux  *yamux.Session
	conn net.Conn
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// Heartbeats of our own find a dead session; yamux would add a second mechanism.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.StreamOpenTimeout = streamTimeout
	c.StreamCloseTimeout = streamTimeout
	c.LogOutput = io.Discard
	return c
}

// Dial connects to the process at address, introduces hello and returns what the other
// side answers. The returned stream is the control stream.
func Dial(ctx context.Context, address string, hello *peerpb.Hello) (s *Session, control *Stream, welcome *peerpb.Welcome, err error) {
	defer errs.Annotate(&err, "peer: dial %s", address)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, nil, err
	}
	mux, err := yamux.Client(&joined{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, nil, err
	}
	s = &Session{mux: mux, conn: conn}
	control, welcome, err = s.introduce(hello)
	if err != nil {
		s.Close()
		return nil, nil, nil, err
	}
	return s, control, welcome, nil
}

// Connect opens a session to the process at address without an introduction.
func Connect(ctx context.Context, address string, timeout time.Duration) (s *Session, err error) {
	defer errs.Annotate(&err, "peer: connect to %s", address)
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(&joined{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Session{mux: mux, conn: conn}, nil
}

// Serve takes a connection from a process that used Connect.
func Serve(conn net.Conn) (s *Session, err error) {
	defer errs.Annotate(&err, "peer: serve")
	mux, err := yamux.Server(&joined{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Session{mux: mux, conn: conn}, nil
}

func (s *Session) introduce(hello *peerpb.Hello) (*Stream, *peerpb.Welcome, error) {
	control, err := s.Open()
	if err != nil {
		return nil, nil, err
	}
	control.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := control.Send(helloFrame(hello)); err != nil {
		return nil, nil, err
	}
	f, err := control.Receive()
	if err != nil {
		return nil, nil, err
	}
	welcome := f.GetWelcome()
	if welcome == nil {
		return nil, nil, fmt.Errorf("%w: %T in place of a welcome", ErrProtocol, f.GetBody())
	}
	if welcome.GetError() != "" {
		return nil, nil, fmt.Errorf("peer: refused: %s", welcome.GetError())
	}
	control.SetDeadline(time.Time{})
	return control, welcome, nil
}

// Accept takes a connection from a dialling process of the same system and reads its
// Hello. The caller answers on the control stream by Welcome.
func Accept(conn net.Conn, system string) (s *Session, control *Stream, hello *peerpb.Hello, err error) {
	defer errs.Annotate(&err, "peer: accept")
	mux, err := yamux.Server(&joined{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, nil, err
	}
	s = &Session{mux: mux, conn: conn}
	control, hello, err = s.greet(system)
	if err != nil {
		s.Close()
		return nil, nil, nil, err
	}
	return s, control, hello, nil
}

func (s *Session) greet(system string) (*Stream, *peerpb.Hello, error) {
	timer := time.AfterFunc(handshakeTimeout, s.Close)
	defer timer.Stop()
	control, err := s.Next()
	if err != nil {
		return nil, nil, err
	}
	control.SetDeadline(time.Now().Add(handshakeTimeout))
	f, err := control.Receive()
	if err != nil {
		return nil, nil, err
	}
	hello := f.GetHello()
	if hello == nil {
		return nil, nil, fmt.Errorf("%w: %T in place of a hello", ErrProtocol, f.GetBody())
	}
	if text := unwelcome(hello, system); text != "" {
		_ = control.Send(welcomeFrame(&peerpb.Welcome{Version: Version, Error: text}))
		// The dialling side closes once it has read why; closing first could lose the reason.
		control.SetDeadline(time.Now().Add(refusalLinger))
		_, _ = control.Receive()
		return nil, nil, errors.New("peer: " + text)
	}
	control.SetDeadline(time.Time{})
	return control, hello, nil
}

// unwelcome tells why a Hello is refused, or returns "".
func unwelcome(hello *peerpb.Hello, system string) string {
	switch {
	case hello.GetVersion() != Version:
		return fmt.Sprintf("protocol version %d, this side speaks %d", hello.GetVersion(), Version)
	case hello.GetSystem() != system:
		return fmt.Sprintf("a process of system %q, this side is of %q", hello.GetSystem(), system)
	case hello.GetId() == "" || hello.GetRole() != RoleAgent && hello.GetRole() != RoleEntry:
		return fmt.Sprintf("hello with id %q and role %q", hello.GetId(), hello.GetRole())
	}
	return ""
}

// SendWelcome answers a Hello on the control stream.
func (s *Stream) SendWelcome(w *peerpb.Welcome) error {
	w.Version = Version
	return s.Send(welcomeFrame(w))
}

// Open opens a stream.
func (s *Session) Open() (*Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return newStream(conn), nil
}

// Next waits for a stream that the other side opens.
func (s *Session) Next() (*Stream, error) {
	conn, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	return newStream(conn), nil
}

// Call opens a stream, sends one frame and returns the one that answers it.
func (s *Session) Call(ctx context.Context, frame *peerpb.Frame) (answer *peerpb.Frame, err error) {
	defer errs.Annotate(&err, "peer: call")
	if err = ctx.Err(); err != nil {
		return nil, err
	}
	stream, err := s.Open()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	if err = stream.Send(frame); err != nil {
		return nil, err
	}
	return stream.Receive()
}

// Close ends the session and all its streams.
func (s *Session) Close() {
	_ = s.conn.Close()
	_ = s.mux.Close()
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }
