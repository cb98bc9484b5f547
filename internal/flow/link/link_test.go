package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
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
