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
	for range failuresToEject - 1 {
		is.Equal(h.recordResult(now, false, false, true), time.Duration(0))
	}
	is.Equal(h.recordResult(now, false, false, true), minEjection) // the fifth failure in a row
	is.True(!h.available(now))
	now = now.Add(minEjection + time.Millisecond)
	is.True(h.available(now))
	is.Equal(begin(h, now), "probe")
	is.Equal(begin(h, now), "refused") // one probe at a time
	is.True(!h.available(now))         // no other request while the probe is in flight
	h.recordNeutral(false)
	h.recordResult(now, true, false, true)
	is.Equal(begin(h, now), "refused")                              // a request sent before the ejection does not end the probe
	is.Equal(h.recordResult(now, false, true, true), 2*minEjection) // the time doubles
	is.Equal(begin(h, now), "refused")                              // also for a request that chose the upstream during the probe
	now = now.Add(2*minEjection + time.Millisecond)
	is.Equal(begin(h, now), "probe")
	is.Equal(h.recordResult(now, true, true, true), time.Duration(0))
	is.True(h.available(now))
	is.Equal(begin(h, now), "allowed")
	is.True(h.weight(now) < 0.2) // slow start
	is.Equal(h.weight(now.Add(slowStartDuration)), 1.0)
}

// begin returns the result of health.begin as text.
func begin(h *health, now time.Time) string {
	switch allowed, probe := h.begin(now); {
	case probe:
		return "probe"
	case allowed:
		return "allowed"
	}
	return "refused"
}

func TestHealthWithoutRoomToEject(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	h := &health{}
	for range 3 * failureRateWindow {
		is.Equal(h.recordResult(now, false, false, false), time.Duration(0))
	}
	is.True(h.available(now))
}

func TestHealthOfOneThatMostlyFails(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	h := &health{}
	ejected := false
	for i := range 3 * failureRateWindow {
		ejected = h.recordResult(now, i%3 == 0, false, true) > 0 || ejected
	}
	is.True(ejected)
	h = &health{}
	for i := range 3 * failureRateWindow {
		is.Equal(h.recordResult(now, i%3 != 0, false, true), time.Duration(0)) // a third of failures is not enough
	}
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := &retryBudget{}
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
	is.True(saved <= maxSavedRetries)
}

func TestTargetEstimate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	target := NewTarget("a", "dc", "s", 1, nil)
	is.True(!target.available(now)) // no state yet
	target.Update(now, &peerpb.UpstreamState{Slots: 8, InFlight: 3, Ready: true}, true)
	is.True(target.available(now))
	target.inFlight.Add(2)
	is.Equal(target.estimatedInFlight(), int64(5)) // 3 reported, 2 sent since
	target.Update(now, &peerpb.UpstreamState{Slots: 8, InFlight: 4, Ready: true}, false)
	target.inFlight.Add(-1)
	is.Equal(target.estimatedInFlight(), int64(3))
	is.True(!target.available(now.Add(maxStateAge))) // the state is stale
	target.Update(now, &peerpb.UpstreamState{Slots: 8, Ready: true, Draining: true}, true)
	is.True(!target.available(now))
}

// TestYieldingTargets checks that targets that yield to tasks are chosen only if they are
// included explicitly.
func TestYieldingTargets(t *testing.T) {
	is := is.New(t)
	targets := map[string]*Target{}
	table := &Table{Services: map[string][]*Target{}}
	for _, name := range []string{"a", "b"} {
		targets[name] = NewTarget(name, "dc", "s", 1, nil)
		table.Services["s"] = append(table.Services["s"], targets[name])
	}
	observe := func(name string, inFlight int32, yielding bool) {
		targets[name].Update(time.Now(), &peerpb.UpstreamState{Slots: 8, InFlight: inFlight, Ready: true, Yielding: yielding}, true)
	}
	d := &dispatch{Router: New(Options{}), request: &Request{Service: "s"}, service: &serviceState{picker: pick.New("two-choices", 1)}}
	d.Publish(table)
	observe("a", 0, true)
	observe("b", 6, false)
	for range 50 {
		target, _ := d.choose(false)
		is.Equal(target.Agent(), "b")
	}
	target, _ := d.choose(true)
	is.Equal(target.Agent(), "a") // the less loaded one if yielding ones are included
	observe("b", 6, true)
	target, _ = d.choose(false)
	is.True(target == nil)
}

func TestPoliciesPickWithinBounds(t *testing.T) {
	is := is.New(t)
	candidates := []driver.UpstreamSnapshot{
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
