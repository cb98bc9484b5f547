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

// Version is the protocol version. Accept refuses a Hello of any other version.
const Version = 1

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 3 * time.Second
	// refusalLinger is how long a refused session stays open for the other side to read the
	// reason.
	refusalLinger = time.Second
	writeTimeout  = 3 * time.Second
	streamTimeout = 10 * time.Second
)

// Roles that a process states in its Hello.
const (
	RoleAgent = "agent"
	RoleEntry = "entry"
)

const (
	streamAcceptBacklog = 2048
	streamWindowBytes   = 256 << 10
)

// Session is a multiplexed connection to another process. It is safe for concurrent use.
type Session struct {
	mux  *yamux.Session
	conn *coalescingConn
}

// newSession starts a session as the side that start stands for. It closes conn if that fails.
func newSession(conn net.Conn, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*Session, error) {
	counted := &coalescingConn{Conn: conn}
	mux, err := start(counted, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Session{mux: mux, conn: counted}, nil
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = streamAcceptBacklog
	// Those who use a session notice that it is silent, by their heartbeats or by Received. A keep-alive
	// of yamux waits for its answer by the clock, so that a process that was held up itself would end
	// its sessions.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.StreamOpenTimeout = streamTimeout
	c.StreamCloseTimeout = streamTimeout
	c.LogOutput = io.Discard
	return c
}

// Dial connects to the process at address, sends hello on a new control stream and returns
// the other side's Welcome. It fails if the other side refuses the session.
func Dial(ctx context.Context, address string, hello *peerpb.Hello) (s *Session, control *Stream, welcome *peerpb.Welcome, err error) {
	defer errs.Annotate(&err, "peer: dial %s", address)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, nil, err
	}
	if s, err = newSession(conn, yamux.Client); err != nil {
		return nil, nil, nil, err
	}
	control, welcome, err = s.clientHandshake(hello)
	if err != nil {
		s.Close()
		return nil, nil, nil, err
	}
	return s, control, welcome, nil
}

// Connect opens a session to the process at address without a handshake. The other side must
// call ServerSession.
func Connect(ctx context.Context, address string, timeout time.Duration) (s *Session, err error) {
	defer errs.Annotate(&err, "peer: connect to %s", address)
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newSession(conn, yamux.Client)
}

// ServerSession turns an accepted connection from a process that called Connect into a
// session. It closes conn if that fails.
func ServerSession(conn net.Conn) (s *Session, err error) {
	defer errs.Annotate(&err, "peer: start server session")
	return newSession(conn, yamux.Server)
}

func (s *Session) clientHandshake(hello *peerpb.Hello) (*Stream, *peerpb.Welcome, error) {
	control, err := s.OpenStream()
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
		return nil, nil, fmt.Errorf("%w: %T instead of a welcome", ErrProtocol, f.GetBody())
	}
	if welcome.GetError() != "" {
		return nil, nil, fmt.Errorf("peer: session refused: %s", welcome.GetError())
	}
	control.SetDeadline(time.Time{})
	return control, welcome, nil
}

// Accept turns an accepted connection from a process that called Dial into a session and
// returns the Hello of that process. A process of another system, or with an invalid Hello,
// is refused. The caller must reply on the control stream with SendWelcome.
func Accept(conn net.Conn, system string) (s *Session, control *Stream, hello *peerpb.Hello, err error) {
	defer errs.Annotate(&err, "peer: accept")
	if s, err = newSession(conn, yamux.Server); err != nil {
		return nil, nil, nil, err
	}
	control, hello, err = s.serverHandshake(system)
	if err != nil {
		s.Close()
		return nil, nil, nil, err
	}
	return s, control, hello, nil
}

func (s *Session) serverHandshake(system string) (*Stream, *peerpb.Hello, error) {
	timer := time.AfterFunc(handshakeTimeout, s.Close)
	defer timer.Stop()
	control, err := s.AcceptStream()
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
	if text := rejectionReason(hello, system); text != "" {
		_ = control.Send(welcomeFrame(&peerpb.Welcome{Version: Version, Error: text}))
		// The dialling side closes the session once it has read the reason. Closing it here
		// at once could discard the reason before it is read.
		control.SetDeadline(time.Now().Add(refusalLinger))
		_, _ = control.Receive()
		return nil, nil, errors.New("peer: " + text)
	}
	control.SetDeadline(time.Time{})
	return control, hello, nil
}

// rejectionReason returns why hello must be refused, or "" if it is acceptable.
func rejectionReason(hello *peerpb.Hello, system string) string {
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

// SendWelcome replies to a Hello on the control stream. It sets w.Version.
func (s *Stream) SendWelcome(w *peerpb.Welcome) error {
	w.Version = Version
	return s.Send(welcomeFrame(w))
}

// OpenStream opens a stream to the other side.
func (s *Session) OpenStream() (*Stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return newStream(conn), nil
}

// AcceptStream waits until the other side opens a stream, and returns it.
func (s *Session) AcceptStream() (*Stream, error) {
	conn, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	return newStream(conn), nil
}

// Call sends a frame on a new stream and returns the frame that the other side replies with.
// It closes the stream when ctx ends.
func (s *Session) Call(ctx context.Context, frame *peerpb.Frame) (reply *peerpb.Frame, err error) {
	defer errs.Annotate(&err, "peer: call")
	if err = ctx.Err(); err != nil {
		return nil, err
	}
	stream, err := s.OpenStream()
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

// Received returns how many bytes the session has received so far.
func (s *Session) Received() int64 { return s.conn.received.Load() }

// Close closes the session and all its streams.
func (s *Session) Close() {
	_ = s.conn.Close()
	_ = s.mux.Close()
}

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }
