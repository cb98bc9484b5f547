package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

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
	// tickInterval is how often a link looks at what it has sent and received. It sends an empty frame
	// if there was nothing to send since the last tick.
	tickInterval = 350 * time.Millisecond
	// maxSilentTicks is after how many ticks without a received byte a link ends. Ticks are counted in
	// place of time, as a process that got no processor time, or whose VM was suspended, has not
	// received what arrived meanwhile. The other side sends at every other tick at least.
	maxSilentTicks = 4
	// outboxCapacity bounds the frames that wait to be sent. A link with a full outbox is closed.
	outboxCapacity = 4096
)

// Link is a connection to another process. It ends if the other side is silent. Send is safe for
// concurrent use.
type Link struct {
	session    *peer.Session
	stream     *peer.Stream
	outbox     chan *flowpb.Frame
	ended      chan struct{}
	once       sync.Once
	silent     atomic.Bool
	writerDone <-chan struct{}
	hello      *flowpb.Hello
}

// ticksBegan is the origin of the ticks of all links, which coincide so that a process with many links
// is woken once.
var ticksBegan = time.Now()

// untilTick returns the time until the next tick.
func untilTick() time.Duration { return tickInterval - time.Since(ticksBegan)%tickInterval }

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
	return newLink(ctx, session, stream, hello, true), frame.GetWelcome(), nil
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
	return newLink(ctx, session, stream, frame.GetHello(), false), nil
}

// newLink returns the link of a stream on which hello was exchanged. answered is set if the answer to it was,
// too; until then the side that dialled has a time-out of its own.
func newLink(ctx context.Context, session *peer.Session, stream *peer.Stream, hello *flowpb.Hello, answered bool) *Link {
	l := &Link{session: session, stream: stream, outbox: make(chan *flowpb.Frame, outboxCapacity), ended: make(chan struct{}), hello: hello}
	l.writerDone = loop.Go(ctx, func(ctx context.Context) { l.write(ctx, answered) })
	return l
}

// write sends queued frames, in batches if several are waiting, until the link ends or the other side
// is silent. The ticks begin with the answer to the hello.
func (l *Link) write(ctx context.Context, answered bool) {
	defer l.Close()
	tick := time.NewTimer(untilTick())
	defer tick.Stop()
	sent, silence := false, silenceCounter{received: l.session.Received()}
	for {
		select {
		case f := <-l.outbox:
			if l.send(l.batch(f)) != nil {
				return
			}
			sent, answered = true, true
		case <-tick.C:
			tick.Reset(untilTick())
			if !answered {
				continue
			}
			if silence.count(l.session.Received()) >= maxSilentTicks {
				l.silent.Store(true)
				return
			}
			if !sent && l.send([]proto.Message{&flowpb.Frame{}}) != nil {
				return
			}
			sent = false
		case <-l.ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// silenceCounter counts the ticks in a row in which nothing was received.
type silenceCounter struct {
	// received is how many bytes had been received at the last tick.
	received int64
	ticks    int
}

// count returns how many ticks have passed without a byte, given how many bytes were received so far.
func (c *silenceCounter) count(received int64) (ticks int) {
	c.ticks++
	if received != c.received {
		c.received, c.ticks = received, 0
	}
	return c.ticks
}

// send sends frames at once.
func (l *Link) send(frames []proto.Message) error {
	l.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	return l.stream.SendMessage(frames...)
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

// Receive waits for the next frame that is not empty. It fails once the link has ended, at the latest
// when nothing was received for maxSilentTicks.
func (l *Link) Receive() (*flowpb.Frame, error) {
	f := &flowpb.Frame{}
	for f.GetBody() == nil {
		if err := l.stream.ReceiveMessage(f); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Silent reports whether the link has ended because nothing was received.
func (l *Link) Silent() bool { return l.silent.Load() }

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
