package agent

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
)

// TestOrdersOfAnEarlierLife checks that orders sent before the runner restarted do not acknowledge
// ends of its new incarnation, which numbers its ends from 1 again.
func TestOrdersOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	a := New(Options{Clock: func() time.Duration { return time.Hour }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	l := &link.Link{}
	a.state.link, a.state.runner = l, &flowpb.Runner{Id: "i-1", Born: 2000}
	a.state.token, a.state.acknowledgedEnd = 0, 0

	a.applyOrders(l, &flowpb.Orders{Token: 7, Runner: "i-1", Born: 1000, Settled: 87})
	is.Equal(a.state.token, uint64(0))
	is.Equal(a.state.acknowledgedEnd, uint64(0))

	a.applyOrders(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 0})
	is.Equal(a.state.token, uint64(8))
	a.applyOrders(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 3})
	is.Equal(a.state.acknowledgedEnd, uint64(3))

	// A synchronisation revokes the orders sent before it.
	a.state.link = nil
	a.requestToken(false)
	a.state.link = l
	a.applyOrders(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 4})
	is.Equal(a.state.token, uint64(0))
}
