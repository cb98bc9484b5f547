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

// TestOrdersOfAnEarlierLife checks that orders which were on their way when the runner began
// a new life settle nothing of it: its ends are numbered anew.
func TestOrdersOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	a := New(Options{Clock: func() time.Duration { return time.Hour }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	l := &link.Link{}
	a.c.link, a.c.runner = l, &flowpb.Runner{Id: "i-1", Born: 2000}
	a.c.token, a.c.settled = 0, 0

	a.obey(l, &flowpb.Orders{Token: 7, Runner: "i-1", Born: 1000, Settled: 87})
	is.Equal(a.c.token, uint64(0))
	is.Equal(a.c.settled, uint64(0))

	a.obey(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 0})
	is.Equal(a.c.token, uint64(8))
	a.obey(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 3})
	is.Equal(a.c.settled, uint64(3))

	// A synchronisation voids what was ordered before it.
	a.c.link = nil
	a.sync(false)
	a.c.link = l
	a.obey(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 4})
	is.Equal(a.c.token, uint64(0))
}
