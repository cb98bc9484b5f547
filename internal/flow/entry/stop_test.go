package entry

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/locate"
	"github.com/jasminebay/jasminebay/internal/flow/owner"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// testGrace is the shortest grace time of the known deployments. An entry is to be gone by 0.9 of
	// it, and serves calls for 0.6 of it and a second after Leave.
	testGrace    = 6 * time.Second
	testDrain    = 6 * testGrace / 10
	testShutdown = time.Second
	testGoneBy   = 9 * testGrace / 10
)

// idleListener accepts no connections until it is closed.
type idleListener struct {
	closed chan struct{}
	once   sync.Once
}

func (l *idleListener) Accept() (net.Conn, error) { <-l.closed; return nil, net.ErrClosed }
func (l *idleListener) Addr() net.Addr            { return &net.TCPAddr{} }
func (l *idleListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// newTestNode returns a node on the paused clock, and its follower, which has yet to run.
func newTestNode(store *fakeStore) (*Node, *locate.Follower) {
	return newLoggingNode(store, slog.DiscardHandler)
}

func newLoggingNode(store *fakeStore, handler slog.Handler) (*Node, *locate.Follower) {
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) + time.Second }
	log := slog.New(handler)
	follower := locate.New(locate.Options{Cell: "c", Store: store, Clock: clock, WatchWait: 500 * time.Millisecond, Log: log})
	n := New(Options{
		Cell: "c", Identity: owner.Identity{Node: "n", Incarnation: 1, Address: "127.0.0.1:1"}, Zone: "a", CPUShare: 0.8,
		Store: store, Clock: clock, Follower: follower, Lease: 5 * time.Second, Retention: time.Minute, Log: log,
		Metrics: telemetry.NewFlow(telemetry.NewMetrics()),
	})
	return n, follower
}

// stage is how far a node has come on its way to the cell.
type stage struct {
	// troubled are the calls of the store that are in trouble from the start. The others are from one
	// second on.
	troubled func(method, key string) bool
	// reached reports whether the node has come so far and no further.
	reached func(n *Node, store *fakeStore) bool
}

// stages are the stages in which a node may be told to end.
var stages = map[string]stage{
	"finding": {func(string, string) bool { return true }, func(n *Node, _ *fakeStore) bool {
		_, known, _ := n.options.Follower.Record()
		return !known
	}},
	"deciding": {func(method, _ string) bool { return method == "get" }, func(n *Node, store *fakeStore) bool {
		_, known, _ := n.options.Follower.Record()
		return known && !n.takingOver
	}},
	"acquiring": {func(method, _ string) bool { return method == "commit" }, func(n *Node, store *fakeStore) bool {
		return n.takingOver && len(store.items) == 0
	}},
	"loading": {func(method, key string) bool { return method == "list" && key == "c/" }, func(n *Node, store *fakeStore) bool {
		return n.takingOver && len(store.items) > 0
	}},
	"owning": {func(string, string) bool { return false }, func(n *Node, _ *fakeStore) bool { return n.localOwner != nil }},
}

// TestStoreTroubleKeepsStoppingEntryAlive guards against an entry that waits for the store when it
// should end, in each stage of its way to the cell.
func TestStoreTroubleKeepsStoppingEntryAlive(t *testing.T) {
	troubles := map[string]fault{"silent": {silent: true}, "refuses": {refused: true}, "slow": {delay: 400 * time.Millisecond}, "very-slow": {delay: 950 * time.Millisecond}}
	for trouble, f := range troubles {
		for name, s := range stages {
			t.Run(name+"/"+trouble, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStop(t, f, s) })
			})
		}
	}
}

func testStop(t *testing.T, f fault, s stage) {
	is := is.New(t)
	store := newFakeStore()
	began := time.Now()
	store.setFault(func(method, key string) fault {
		if s.troubled(method, key) || time.Since(began) > time.Second {
			return f
		}
		return fault{}
	})
	n, follower := newTestNode(store)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	followed := loop.Go(ctx, follower.Run)
	ran := loop.Go(ctx, n.Run)
	served := loop.Go(ctx, func(ctx context.Context) { n.Serve(ctx, &idleListener{closed: make(chan struct{})}) })
	time.Sleep(1500 * time.Millisecond)
	synctest.Wait()
	if f.silent {
		is.True(s.reached(n, store)) // another stage
	}

	told := time.Now()
	n.Leave()
	is.Equal(time.Since(told), time.Duration(0)) // Leave waited for something
	time.Sleep(testDrain + testShutdown)
	stop()
	<-ran
	<-served
	<-followed
	is.True(time.Since(told) < testGoneBy) // alive after 0.9 of the grace time
	is.Equal(n.localOwner, nil)
}

// TestAwaitOwnerSpinsAfterEnd guards against sessions that use up the processor while the cell is
// being loaded and the process should end.
func TestAwaitOwnerSpinsAfterEnd(t *testing.T) {
	is := is.New(t)
	n, _ := newTestNode(newFakeStore())
	n.setTakingOver(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	is.Equal(n.awaitOwner(ctx), nil)
	is.True(time.Since(began) < testGoneBy-testDrain-testShutdown) // still waiting for the cell
}

// TestHandshakesCutByStopFloodLog guards against a line for each peer in the last moment of a process,
// beside which the line that says what it waited for is lost.
func TestHandshakesCutByStopFloodLog(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	n, _ := newLoggingNode(newFakeStore(), slog.NewTextHandler(&lines, nil))
	peer, conn := net.Pipe()
	defer peer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.serve(ctx, conn)
	is.Equal(lines.String(), "")
}
