// Package gate admits requests to one upstream: it never lets more than the upstream's
// slots be taken, and keeps a short queue by urgency and deadline in front of them.
package gate

import (
	"math"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Defaults of a Gate.
const (
	// QueuePerSlot is the number of requests that may wait for each slot.
	QueuePerSlot = 16
	// announcementsNeeded is how many announcements must agree before a slot counts as free
	// although this process does not know how its request ended.
	announcementsNeeded = 2
	// settleTime is how far apart those announcements must be, so that a request that was
	// still in a socket has reached the upstream in between.
	settleTime = time.Second
	// latencyWeight is the weight of a new sample in the latency average.
	latencyWeight = 0.1
	// timeNeeded is how many average service times must be left before the deadline, so that
	// few requests begin that can't end in time.
	timeNeeded = 2
	// overloadAfter is how long requests must wait without a pause for the gate to count as
	// overloaded, as a burst passes sooner, and how long none must wait for it to end.
	overloadAfter = time.Second
	// waitShare is the share of its target that a request may always wait.
	waitShare = 0.25
)

// Verdict is the gate's decision on a request.
type Verdict struct {
	Admitted   bool
	Reason     peerpb.Reason
	RetryAfter time.Duration
}

// Request is a request that asks for admission. Notify is called once, on the goroutine
// that owns the gate, and must not block.
type Request struct {
	ID       string
	Kind     string
	Urgency  int
	Deadline time.Time
	// Target is the time in which the caller wants the answer; 0 means any.
	Target time.Duration
	// Waited is how long the caller has waited already.
	Waited time.Duration
	Notify func(Verdict)
}

// absence is a slot that is taken by a request whose end this process has not seen.
type absence struct {
	since   time.Time
	missing int
	// listed tells that the upstream is known to have received the request, so that the
	// first announcement without it proves its end.
	listed bool
}

// holding is a slot that is taken by a request of this process.
type holding struct {
	began  time.Time
	kind   string
	listed bool
}

// Gate guards one upstream; it is not safe for concurrent use.
type Gate struct {
	slots     int
	queue     []*Request
	held      map[string]*holding
	lost      map[string]*absence
	draining  bool
	announced time.Time
	first     time.Time
	count     int
	latency   time.Duration
	// overloaded tells that requests have been waiting for so long that the queue only makes
	// them late: then few wait, so that those that are served are served in time.
	overloaded bool
	// turned is when the queue last became empty or ceased to be so, as waiting tells.
	turned  time.Time
	waiting bool
	kinds   map[string]time.Duration
}

// New returns a Gate that admits nothing until the upstream has announced itself twice.
func New() *Gate {
	return &Gate{held: map[string]*holding{}, lost: map[string]*absence{}, kinds: map[string]time.Duration{}}
}

// Ready reports whether the gate knows what the upstream runs.
func (g *Gate) Ready(now time.Time) bool {
	return g.Present(now) && g.count >= announcementsNeeded && g.announced.Sub(g.first) >= settleTime
}

// Present reports whether the upstream has announced itself lately.
func (g *Gate) Present(now time.Time) bool {
	return g.count > 0 && now.Sub(g.announced) < driver.AnnouncementTTL
}

// Draining reports whether the upstream or the agent is leaving.
func (g *Gate) Draining() bool { return g.draining }

// Drain refuses new requests from now on; queued ones are refused at once.
func (g *Gate) Drain() {
	g.draining = true
	for _, t := range g.queue {
		t.Notify(Verdict{Reason: peerpb.Reason_REASON_DRAINING})
	}
	g.queue = nil
}

// InFlight returns the number of slots that are or may be taken.
func (g *Gate) InFlight() int { return len(g.held) + len(g.lost) }

// Active returns the number of requests that this process has in flight.
func (g *Gate) Active() int { return len(g.held) }

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int { return len(g.queue) }

// Slots returns the upstream's slots.
func (g *Gate) Slots() int { return g.slots }

// Latency returns the decayed average time that a request holds a slot.
func (g *Gate) Latency() time.Duration { return g.latency }

// Announce takes in what the upstream says of itself.
func (g *Gate) Announce(now time.Time, slots int, draining bool, running []string) {
	if !g.Present(now) {
		g.first, g.count = now, 0
	}
	g.announced = now
	g.count++
	g.slots = slots
	g.reconcile(now, running)
	if draining && !g.draining {
		g.Drain()
	}
	g.draining = draining
	g.admit(now)
}

func (g *Gate) reconcile(now time.Time, running []string) {
	listed := make(map[string]bool, len(running))
	for _, id := range running {
		listed[id] = true
		switch h := g.held[id]; {
		case h != nil:
			h.listed = true
		case g.lost[id] == nil:
			g.lost[id] = &absence{since: now, listed: true}
		default:
			g.lost[id].listed = true
		}
	}
	for id, a := range g.lost {
		switch {
		case listed[id]:
			a.missing = 0
		case a.listed:
			a.missing = announcementsNeeded
		case now.Sub(a.since) < settleTime:
		default:
			a.missing++
		}
		if a.missing >= announcementsNeeded {
			delete(g.lost, id)
		}
	}
}

// Submit asks for admission of a request; its verdict reaches t.Notify now or later.
func (g *Gate) Submit(now time.Time, t *Request) {
	g.track(now)
	if reason := g.refusal(now, t); reason != peerpb.Reason_REASON_UNSPECIFIED {
		t.Notify(Verdict{Reason: reason, RetryAfter: g.retryAfter()})
		return
	}
	if len(g.queue) >= g.slots*QueuePerSlot && !g.displace(t) {
		t.Notify(Verdict{Reason: peerpb.Reason_REASON_FULL, RetryAfter: g.retryAfter()})
		return
	}
	at, _ := slices.BinarySearchFunc(g.queue, t, order)
	g.queue = slices.Insert(g.queue, at, t)
	g.admit(now)
}

func (g *Gate) refusal(now time.Time, t *Request) peerpb.Reason {
	switch {
	case !g.Present(now):
		return peerpb.Reason_REASON_NO_UPSTREAM
	case g.draining:
		return peerpb.Reason_REASON_DRAINING
	case !g.Ready(now):
		return peerpb.Reason_REASON_REBUILDING
	case !now.Before(t.Deadline):
		return peerpb.Reason_REASON_EXPIRED
	case g.InFlight() < g.slots:
	case now.Add(g.wait(t) + g.needed(t)).After(t.Deadline):
		return peerpb.Reason_REASON_FULL
	case g.overloaded && t.Waited+g.wait(t) > g.patience(t):
		return peerpb.Reason_REASON_SHED
	}
	return peerpb.Reason_REASON_UNSPECIFIED
}

// wait estimates how long t would wait.
func (g *Gate) wait(t *Request) time.Duration {
	ahead, _ := slices.BinarySearchFunc(g.queue, t, order)
	return g.latency * time.Duration(ahead+1) / time.Duration(max(g.slots, 1))
}

// track notes whether requests wait, and for how long that has been so.
func (g *Gate) track(now time.Time) {
	if waiting := len(g.queue) > 0; waiting != g.waiting {
		g.waiting, g.turned = waiting, now
	}
	if now.Sub(g.turned) >= overloadAfter {
		g.overloaded = g.waiting
	}
}

// patience returns how long t may wait and still be answered within its target.
func (g *Gate) patience(t *Request) time.Duration {
	if t.Target <= 0 {
		return math.MaxInt64
	}
	return max(t.Target-g.needed(t), time.Duration(waitShare*float64(t.Target)))
}

// needed returns the time that t should have left when it begins.
func (g *Gate) needed(t *Request) time.Duration { return timeNeeded * g.kinds[t.Kind] }

func (g *Gate) retryAfter() time.Duration {
	return g.latency * time.Duration(len(g.queue)+1) / time.Duration(max(g.slots, 1))
}

// displace drops the last request of the queue if t goes before it by urgency.
func (g *Gate) displace(t *Request) bool {
	if len(g.queue) == 0 {
		return false
	}
	last := g.queue[len(g.queue)-1]
	if last.Urgency >= t.Urgency {
		return false
	}
	g.queue = g.queue[:len(g.queue)-1]
	last.Notify(Verdict{Reason: peerpb.Reason_REASON_SHED, RetryAfter: g.retryAfter()})
	return true
}

// Cancel refuses a request that waits and reports whether it was still there.
func (g *Gate) Cancel(id string) bool {
	for i, t := range g.queue {
		if t.ID == id {
			g.queue = slices.Delete(g.queue, i, i+1)
			t.Notify(Verdict{Reason: peerpb.Reason_REASON_CANCELLED})
			return true
		}
	}
	return false
}

// Release frees the slot of a request that is known to have ended at the upstream.
func (g *Gate) Release(now time.Time, id string) {
	h := g.held[id]
	if h == nil {
		return
	}
	delete(g.held, id)
	sample := now.Sub(h.began)
	g.latency = average(g.latency, sample)
	g.kinds[h.kind] = average(g.kinds[h.kind], sample)
	g.admit(now)
}

// average moves a decayed average towards a sample; the first sample is the average.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}

// Abandon ends a request that the upstream may still be running: its slot stays taken
// until the upstream no longer lists it.
func (g *Gate) Abandon(now time.Time, id string) {
	h := g.held[id]
	if h == nil {
		return
	}
	delete(g.held, id)
	g.lost[id] = &absence{since: now, listed: h.listed}
}

// Expire refuses waiting requests whose deadline has passed, and all of them if the
// upstream has fallen silent.
func (g *Gate) Expire(now time.Time) {
	present := g.Present(now)
	g.queue = slices.DeleteFunc(g.queue, func(t *Request) bool {
		switch {
		case !present:
			t.Notify(Verdict{Reason: peerpb.Reason_REASON_NO_UPSTREAM})
		case !now.Before(t.Deadline):
			t.Notify(Verdict{Reason: peerpb.Reason_REASON_EXPIRED})
		default:
			return false
		}
		return true
	})
}

func (g *Gate) admit(now time.Time) {
	if !g.Ready(now) {
		return
	}
	for len(g.queue) > 0 && g.InFlight() < g.slots {
		t := g.queue[0]
		g.queue = g.queue[1:]
		if g.late(now, t) {
			t.Notify(Verdict{Reason: peerpb.Reason_REASON_EXPIRED})
			continue
		}
		g.held[t.ID] = &holding{began: now, kind: t.Kind}
		t.Notify(Verdict{Admitted: true})
	}
	g.track(now)
}

// late reports whether a request that has waited should give way: its deadline has passed,
// or others wait and it can't be expected to end in time. One that nobody waits behind
// begins all the same, so that an upstream that has become slow is still measured.
func (g *Gate) late(now time.Time, t *Request) bool {
	if !now.Before(t.Deadline) {
		return true
	}
	return len(g.queue) > 0 && now.Add(g.needed(t)).After(t.Deadline)
}

// order sorts by urgency, then by deadline; equals keep their order of arrival.
func order(a, b *Request) int {
	if a.Urgency != b.Urgency {
		return b.Urgency - a.Urgency
	}
	if a.Deadline.After(b.Deadline) {
		return 1
	}
	return -1
}
