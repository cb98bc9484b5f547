package agent

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/gate"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// windowBytes is how much of a response an agent can send before the entry has read any of it.
const windowBytes = 256 << 10

// endlessUpstream answers each request with a body that ends only with the request. It closes full
// once more of the body has been read than an agent can send.
type endlessUpstream struct {
	read atomic.Int64
	full chan struct{}
}

func (u *endlessUpstream) Do(ctx context.Context, _ string, _ driver.Request) (driver.Response, error) {
	return driver.Response{Status: 200, Body: endlessBody{ctx, u}}, nil
}

func (*endlessUpstream) Limit(string, int) {}

type endlessBody struct {
	ctx      context.Context
	upstream *endlessUpstream
}

func (b endlessBody) Read(p []byte) (int, error) {
	if n := b.upstream.read.Add(int64(len(p))); n >= windowBytes && n-int64(len(p)) < windowBytes {
		close(b.upstream.full)
	}
	return len(p), b.ctx.Err()
}

func (endlessBody) Close() error { return nil }

// TestSlotOfCallerThatLeavesUnread checks that a request ends when its entry closes the stream while
// the agent waits for the entry to read more of the response.
func TestSlotOfCallerThatLeavesUnread(t *testing.T) {
	is := is.New(t)
	u := &endlessUpstream{full: make(chan struct{})}
	a := New(Options{ID: "agent", Upstream: u, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()})
	go a.loop.Run(t.Context())
	open := gate.New()
	open.Announce(time.Now().Add(-time.Second), 1, false, nil)
	open.Announce(time.Now(), 1, false, nil)
	a.control.upstreams["s"] = &upstream{service: "s", gate: open, latencies: newLatencyWindow()}

	entryConn, agentConn := net.Pipe()
	config := yamux.DefaultConfig()
	config.StreamCloseTimeout = 0 // the entry never resets a stream
	entry, err := yamux.Client(entryConn, config)
	is.NoErr(err)
	defer func() { _ = entry.Close() }()
	session, err := peer.ServerSession(agentConn)
	is.NoErr(err)
	defer session.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		if stream, err := session.AcceptStream(); err == nil {
			a.serveStream(t.Context(), stream)
		}
	}()
	stream, err := entry.OpenStream()
	is.NoErr(err)
	head := &peerpb.RequestHead{Id: "r", Service: "s", Idempotent: true, TimeoutMicros: time.Hour.Microseconds(), Incarnation: a.Incarnation()}
	for _, f := range []*peerpb.Frame{peer.RequestFrame(head), peer.EndFrame(&peerpb.End{Complete: true})} {
		_, err = protodelim.MarshalTo(stream, f)
		is.NoErr(err)
	}
	var first peerpb.Frame
	is.NoErr(protodelim.UnmarshalFrom(bufio.NewReaderSize(stream, 16), &first))
	is.Equal(first.GetResponseHead().GetStatus(), int32(200))
	<-u.full
	is.NoErr(stream.Close())
	select {
	case <-served:
	case <-time.After(time.Minute):
		t.Fatal("the agent still waits for the entry to read")
	}
	is.NoErr(a.loop.Do(func() { is.Equal(open.Active(), 0) }))
}
