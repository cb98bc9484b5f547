package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer"
)

const (
	// DialTimeout bounds a connection attempt. The VMs are milliseconds apart.
	DialTimeout = 350 * time.Millisecond
	// HelloTimeout bounds the handshake.
	HelloTimeout = time.Second
	// writeTimeout bounds a write. It ends a link whose other side does not read.
	writeTimeout = 2 * time.Second
	// outboxCapacity bounds the frames that wait to be sent. A link with a full outbox is closed.
	outboxCapacity = 4096
)

// Link is a connection to another process. Send is safe for concurrent use.
type Link struct {
	session    *peer.Session
	stream     *peer.Stream
	outbox     chan *flowpb.Frame
	ended      chan struct{}
	once       sync.Once
	writerDone <-chan struct{}
	hello      *flowpb.Hello
}

// Dial connects to the owner at address, sends hello and returns the answer to it. It fails if ctx
// ends first.
func Dial(ctx context.Context, address string, hello *flowpb.Hello) (l *Link, welcome *flowpb.Welcome, err error) {
	defer errs.Annotate(&err, "link: dial %s", address)
	session, err := peer.Connect(ctx, address, DialTimeout)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, session.Close)
	defer stop()
	stream, err := session.OpenStream()
	if err != nil {
		session.Close()
		return nil, nil, err
	}
	stream.SetDeadline(time.Now().Add(HelloTimeout))
	frame := &flowpb.Frame{}
	if err = stream.SendMessage(&flowpb.Frame{Body: &flowpb.Frame_Hello{Hello: hello}}); err == nil {
		err = stream.ReceiveMessage(frame)
	}
	if err != nil {
		session.Close()
		return nil, nil, err
	}
	stream.SetDeadline(time.Time{})
	return newLink(ctx, session, stream, hello), frame.GetWelcome(), nil
}

// Accept reads the hello of the process that opened the connection. The caller must answer it with
// a Welcome frame. It fails if ctx ends first.
func Accept(ctx context.Context, conn net.Conn) (l *Link, err error) {
	defer errs.Annotate(&err, "link: accept")
	session, err := peer.ServerSession(conn)
	if err != nil {
		return nil, err
	}
	timer := time.AfterFunc(HelloTimeout, session.Close)
	defer timer.Stop()
	stop := context.AfterFunc(ctx, session.Close)
	defer stop()
	stream, err := session.AcceptStream()
	if err != nil {
		session.Close()
		return nil, err
	}
	frame := &flowpb.Frame{}
	if err = stream.ReceiveMessage(frame); err != nil || frame.GetHello() == nil {
		session.Close()
		return nil, peer.ErrProtocol
	}
	return newLink(ctx, session, stream, frame.GetHello()), nil
}

func newLink(ctx context.Context, session *peer.Session, stream *peer.Stream, hello *flowpb.Hello) *Link {
	l := &Link{session: session, stream: stream, outbox: make(chan *flowpb.Frame, outboxCapacity), ended: make(chan struct{}), hello: hello}
	l.writerDone = loop.Go(ctx, l.write)
	return l
}

// write sends queued frames, in batches if several are waiting.
func (l *Link) write(ctx context.Context) {
	defer l.Close()
	for {
		select {
		case f := <-l.outbox:
			l.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := l.stream.SendMessage(l.batch(f)...); err != nil {
				return
			}
		case <-l.ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Send queues a frame. It closes the link if the outbox is full.
func (l *Link) Send(f *flowpb.Frame) {
	select {
	case l.outbox <- f:
	case <-l.ended:
	default:
		l.Close()
	}
}

// Receive waits for the next frame.
func (l *Link) Receive() (*flowpb.Frame, error) {
	f := &flowpb.Frame{}
	if err := l.stream.ReceiveMessage(f); err != nil {
		return nil, err
	}
	return f, nil
}

// Hello returns the hello of the dialling side.
func (l *Link) Hello() *flowpb.Hello { return l.hello }

// Ended returns a channel that is closed when the link ends.
func (l *Link) Ended() <-chan struct{} { return l.ended }

// Close closes the link. Further calls have no effect.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.ended)
		l.session.Close()
	})
}

// Wait blocks until the goroutine that writes to the link has ended.
func (l *Link) Wait() { <-l.writerDone }
