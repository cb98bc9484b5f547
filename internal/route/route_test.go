package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/pick"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

func TestHealth(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	h := &health{}
	for range ejectRun - 1 {
		is.True(!h.ended(now, false))
	}
	is.True(h.ended(now, false)) // the fifth failure in a row
	is.Equal(h.eject(now), ejectMin)
	is.True(!h.available(now))
	now = now.Add(ejectMin + time.Millisecond)
	is.True(h.available(now))
	is.True(h.begin())
	is.True(!h.begin())        // one probe at a time
	is.True(!h.available(now)) // nobody else while it is under way
	is.True(h.ended(now, false))
	is.Equal(h.eject(now), 2*ejectMin) // longer each time
	now = now.Add(2*ejectMin + time.Millisecond)
	is.True(h.begin())
	is.True(!h.ended(now, true))
	is.True(h.available(now))
	is.True(h.weight(now) < 0.2) // comes back slowly
	is.Equal(h.weight(now.Add(slowStart)), 1.0)
}

func TestHealthOfOneThatMostlyFails(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	h := &health{}
	ejected := false
	for i := range 3 * ejectWindow {
		ejected = ejected || h.ended(now, i%3 == 0)
	}
	is.True(ejected)
	h = &health{}
	for i := range 3 * ejectWindow {
		is.True(!h.ended(now, i%3 != 0)) // a third of failures is not enough
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := &budget{}
	is.True(!b.withdraw())
	retries := 0
	for range 1000 {
		b.deposit(0.1)
		if b.withdraw() {
			retries++
		}
	}
	is.True(retries <= 100) // a tenth of the requests
	for range 10_000 {
		b.deposit(0.1)
	}
	saved := 0
	for b.withdraw() {
		saved++
	}
	is.True(saved <= budgetBurst)
}

func TestTargetEstimate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	target := NewTarget("a", "dc", "s", 1, nil)
	is.True(!target.available(now)) // nothing is known of it yet
	target.Observe(now, &peerpb.UpstreamState{Slots: 8, InFlight: 3, Ready: true}, true)
	is.True(target.available(now))
	target.inFlight.Add(2)
	is.Equal(target.estimate(), int64(5)) // what was reported and what was sent since
	target.Observe(now, &peerpb.UpstreamState{Slots: 8, InFlight: 4, Ready: true}, false)
	target.inFlight.Add(-1)
	is.Equal(target.estimate(), int64(3))
	is.True(!target.available(now.Add(silentAfter))) // silence counts as leaving
	target.Observe(now, &peerpb.UpstreamState{Slots: 8, Ready: true, Draining: true}, true)
	is.True(!target.available(now))
}

func TestPoliciesPickWithinBounds(t *testing.T) {
	is := is.New(t)
	candidates := []driver.Candidate{
		{Agent: "busy", Slots: 8, InFlight: 8, Queued: 8, Reported: 16, Latency: time.Second, Weight: 1},
		{Agent: "idle", Slots: 8, Latency: time.Millisecond, Weight: 1},
	}
	for _, name := range []string{"random", "round-robin", "least-loaded", "threshold-neighbour", "two-choices"} {
		p := pick.New(name, 1)
		is.Equal(p.Name(), name)
		idle := 0
		for range 100 {
			if p.Pick(candidates) == 1 {
				idle++
			}
		}
		if name != "random" && name != "round-robin" {
			is.Equal(idle, 100)
		}
		is.Equal(p.Pick(candidates[:1]), 0)
	}
}
