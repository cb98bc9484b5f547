package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
)

// maxEndDelay is how long after the end of its context a handshake may take to return. An entry that
// stops has 0.8 s left after its calls.
const maxEndDelay = 300 * time.Millisecond

// delayAfterCancel returns how long handshake takes to return after its context is cancelled, which
// happens once it has begun. The handshake must fail.
func delayAfterCancel(t *testing.T, handshake func(ctx context.Context) error) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error)
	go func() { failed <- handshake(ctx) }()
	time.Sleep(50 * time.Millisecond)
	cancel()
	began := time.Now()
	is.New(t).True(<-failed != nil)
	return time.Since(began)
}

// TestDialToSilentOwnerOutlivesContext guards against a process that waits for a silent owner when it
// should end.
func TestDialToSilentOwnerOutlivesContext(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	// The system accepts connections; nothing answers on them.
	defer l.Close()
	took := delayAfterCancel(t, func(ctx context.Context) error {
		_, _, err := Dial(ctx, l.Addr().String(), &flowpb.Hello{Node: "n"})
		return err
	})
	is.True(took < maxEndDelay) // still waiting for the welcome
}

// TestAcceptOfSilentPeerOutlivesContext guards against a process that waits for a silent peer when it
// should end.
func TestAcceptOfSilentPeerOutlivesContext(t *testing.T) {
	is := is.New(t)
	peer, conn := net.Pipe()
	defer peer.Close()
	took := delayAfterCancel(t, func(ctx context.Context) error {
		_, err := Accept(ctx, conn)
		return err
	})
	is.True(took < maxEndDelay) // still waiting for the hello
}

// maxSilence is how long a link may stay open once nothing is received on it. Jobs may have nothing
// running for 3 s (RULES.md, LOST), of which a second is left for the next link.
const maxSilence = 2 * time.Second

// connect returns both ends of a link whose connection goes through a relay.
func connect(is *is.I, t *testing.T) (dialled, accepted *Link, r *relay.Relay) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	r, err = relay.New(listener.Addr().String(), relay.Mode{})
	is.NoErr(err)
	t.Cleanup(r.Close)
	ends := make(chan *Link, 1)
	go func() {
		defer close(ends)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if l, err := Accept(t.Context(), conn); err == nil {
			l.Send(Welcome(&flowpb.Welcome{}))
			ends <- l
		}
	}()
	dialled, _, err = Dial(t.Context(), r.Address(), &flowpb.Hello{Node: "n"})
	is.NoErr(err)
	accepted = <-ends
	is.True(accepted != nil)
	t.Cleanup(func() {
		dialled.Close()
		accepted.Close()
		dialled.Wait()
		accepted.Wait()
	})
	for _, l := range []*Link{dialled, accepted} {
		go func() {
			for {
				if _, err := l.Receive(); err != nil {
					return
				}
			}
		}()
	}
	return dialled, accepted, r
}

// hasEnded reports whether a link ends within a time.
func hasEnded(l *Link, within time.Duration) bool {
	select {
	case <-l.Ended():
		return true
	case <-time.After(within):
		return false
	}
}

// TestSilentLinkEnds guards against an agent that waits for orders on a connection that has gone silent
// without a reset, and an owner that takes the agent for connected. Each end has to notice by itself,
// also if only one direction is silent, since the other end's close may not arrive.
func TestSilentLinkEnds(t *testing.T) {
	for name, mode := range map[string]relay.Mode{
		"both-directions": {StallToServer: true, StallFromServer: true},
		"to-owner":        {StallToServer: true},
		"from-owner":      {StallFromServer: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			dialled, accepted, r := connect(is, t)
			r.Set(mode)
			if mode.StallFromServer {
				is.True(hasEnded(dialled, maxSilence)) // the end that dialled waits for a silent one
			}
			if mode.StallToServer {
				is.True(hasEnded(accepted, maxSilence)) // the end that accepted waits for a silent one
			}
		})
	}
}

// TestIdleLinkStays checks that a link on which neither end has anything to send stays open.
func TestIdleLinkStays(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dialled, accepted, _ := connect(is, t)
	is.True(!hasEnded(dialled, 2*maxSilence))
	is.True(!hasEnded(accepted, 0))
}
