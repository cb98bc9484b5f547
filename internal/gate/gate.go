// Package gate controls the admission of requests to one upstream. It never lets more
// requests run than the upstream has slots, and queues a bounded number of others by urgency
// and deadline.
package gate

import (
	"math"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// QueuePerSlot is the number of requests that may wait per slot.
	QueuePerSlot = 16
	// minAnnouncements is how many announcements the gate needs before it is ready, and how
	// many in a row must omit an orphan before its slot is freed.
	minAnnouncements = 2
	// maxDeliveryDelay is the time within which a request that was still in a socket buffer
	// reaches the upstream. The first announcements must span it before the gate is ready, and
	// announcements count against an orphan only once it has passed.
	maxDeliveryDelay = time.Second
	// latencyWeight is the weight of a new sample in the moving averages of the latency.
	latencyWeight = 0.1
	// serviceTimesNeeded is how many mean service times must be left before the deadline when
	// a request starts, so that few requests start that can't finish in time.
	serviceTimesNeeded = 2
	// overloadDelay is how long the queue must stay non-empty before the gate counts as
	// overloaded, since a burst passes sooner, and how long it must stay empty to recover.
	overloadDelay = time.Second
	// minWaitShare is the share of its target latency that a request may always wait.
	minWaitShare = 0.25
)

// Verdict is the gate's decision on a request.
type Verdict struct {
	Admitted   bool
	Reason     peerpb.Reason
	RetryAfter time.Duration
}

// Request is a request for admission. Notify is called once, on the goroutine that owns the
// gate, and must not block.
type Request struct {
	ID       string
	Kind     string
	Urgency  int
	Deadline time.Time
	// Target is the latency that the caller wants; 0 means no target.
	Target time.Duration
	// Waited is how long the caller has waited already.
	Waited time.Duration
	Notify func(Verdict)
}

// orphan is a request that may still occupy a slot although this process does not track its
// end: it was abandoned, or belongs to a previous process.
type orphan struct {
	since time.Time
	// omitted counts the announcements that did not list the request.
	omitted int
	// listed reports whether the upstream is known to have received the request, so that the
	// first announcement without it proves its end.
	listed bool
}

// activeRequest is a request of this process that occupies a slot.
type activeRequest struct {
	started time.Time
	kind    string
	listed  bool
}

// Gate controls admission to one upstream; it is not safe for concurrent use.
type Gate struct {
	slots    int
	queue    []*Request
	active   map[string]*activeRequest
	orphans  map[string]*orphan
	draining bool
	// firstAnnounced, lastAnnounced and announcements describe the unbroken series of
	// announcements up to now.
	firstAnnounced time.Time
	lastAnnounced  time.Time
	announcements  int
	latency        time.Duration
	// overloaded reports whether requests have been queued for so long that queueing only
	// makes them late. Requests that would exceed their target are then refused, so that
	// those that are served are served in time.
	overloaded bool
	// queueChanged is when queueing last changed; queueing reports whether the queue was
	// non-empty at the last update.
	queueChanged time.Time
	queueing     bool
	// serviceTimes is the mean service time of each kind of request.
	serviceTimes map[string]time.Duration
}

// New returns a Gate that admits nothing until the upstream has announced itself twice.
func New() *Gate {
	return &Gate{active: map[string]*activeRequest{}, orphans: map[string]*orphan{}, serviceTimes: map[string]time.Duration{}}
}

// Ready reports whether the gate knows which requests the upstream runs, including those of
// a previous process.
func (g *Gate) Ready(now time.Time) bool {
	return g.Present(now) && g.announcements >= minAnnouncements && g.lastAnnounced.Sub(g.firstAnnounced) >= maxDeliveryDelay
}

// Present reports whether the upstream has announced itself within driver.AnnouncementTTL.
func (g *Gate) Present(now time.Time) bool {
	return g.announcements > 0 && now.Sub(g.lastAnnounced) < driver.AnnouncementTTL
}

// Draining reports whether the upstream or the agent is shutting down.
func (g *Gate) Draining() bool { return g.draining }

// Drain refuses all queued requests and those submitted from now on.
func (g *Gate) Drain() {
	g.draining = true
	for _, r := range g.queue {
		r.Notify(Verdict{Reason: peerpb.Reason_REASON_DRAINING})
	}
	g.queue = nil
}

// InFlight returns the number of slots that are or may be occupied.
func (g *Gate) InFlight() int { return len(g.active) + len(g.orphans) }

// Active returns the number of requests that this process has in flight.
func (g *Gate) Active() int { return len(g.active) }

// Queued returns the number of requests in the queue.
func (g *Gate) Queued() int { return len(g.queue) }

// Slots returns the number of slots of the upstream.
func (g *Gate) Slots() int { return g.slots }

// Latency returns the moving average of the time that a request occupies a slot.
func (g *Gate) Latency() time.Duration { return g.latency }

// Announce updates the gate from an announcement of the upstream; running holds the ids of the
// requests that the upstream is processing.
func (g *Gate) Announce(now time.Time, slots int, draining bool, running []string) {
	if !g.Present(now) {
		g.firstAnnounced, g.announcements = now, 0
	}
	g.lastAnnounced = now
	g.announcements++
	g.slots = slots
	g.reconcile(now, running)
	if draining && !g.draining {
		g.Drain()
	}
	g.draining = draining
	g.admit(now)
}

// reconcile compares the gate's requests with those that the upstream lists, and frees the
// slots of orphans that are proved to have ended.
func (g *Gate) reconcile(now time.Time, running []string) {
	listed := make(map[string]bool, len(running))
	for _, id := range running {
		listed[id] = true
		switch a := g.active[id]; {
		case a != nil:
			a.listed = true
		case g.orphans[id] == nil:
			g.orphans[id] = &orphan{since: now, listed: true}
		default:
			g.orphans[id].listed = true
		}
	}
	for id, o := range g.orphans {
		switch {
		case listed[id]:
			o.omitted = 0
		case o.listed:
			o.omitted = minAnnouncements
		case now.Sub(o.since) < maxDeliveryDelay:
		default:
			o.omitted++
		}
		if o.omitted >= minAnnouncements {
			delete(g.orphans, id)
		}
	}
}

// Submit requests admission for r. The verdict is passed to r.Notify, at once or later.
func (g *Gate) Submit(now time.Time, r *Request) {
	g.updateOverload(now)
	if reason := g.refusal(now, r); reason != peerpb.Reason_REASON_UNSPECIFIED {
		r.Notify(Verdict{Reason: reason, RetryAfter: g.retryAfter()})
		return
	}
	if len(g.queue) >= g.slots*QueuePerSlot && !g.displace(r) {
		r.Notify(Verdict{Reason: peerpb.Reason_REASON_FULL, RetryAfter: g.retryAfter()})
		return
	}
	at, _ := slices.BinarySearchFunc(g.queue, r, compare)
	g.queue = slices.Insert(g.queue, at, r)
	g.admit(now)
}

// refusal returns the reason to refuse r at once, or REASON_UNSPECIFIED.
func (g *Gate) refusal(now time.Time, r *Request) peerpb.Reason {
	switch {
	case !g.Present(now):
		return peerpb.Reason_REASON_NO_UPSTREAM
	case g.draining:
		return peerpb.Reason_REASON_DRAINING
	case !g.Ready(now):
		return peerpb.Reason_REASON_REBUILDING
	case !now.Before(r.Deadline):
		return peerpb.Reason_REASON_EXPIRED
	case g.InFlight() < g.slots:
	case now.Add(g.estimatedWait(r) + g.requiredTime(r)).After(r.Deadline):
		return peerpb.Reason_REASON_FULL
	case g.overloaded && r.Waited+g.estimatedWait(r) > g.maxWait(r):
		return peerpb.Reason_REASON_SHED
	}
	return peerpb.Reason_REASON_UNSPECIFIED
}

// estimatedWait estimates how long r would wait in the queue.
func (g *Gate) estimatedWait(r *Request) time.Duration {
	ahead, _ := slices.BinarySearchFunc(g.queue, r, compare)
	return g.latency * time.Duration(ahead+1) / time.Duration(max(g.slots, 1))
}

// updateOverload updates the overload state from the length of the queue.
func (g *Gate) updateOverload(now time.Time) {
	if queueing := len(g.queue) > 0; queueing != g.queueing {
		g.queueing, g.queueChanged = queueing, now
	}
	if now.Sub(g.queueChanged) >= overloadDelay {
		g.overloaded = g.queueing
	}
}

// maxWait returns how long r may wait and still be answered within its target.
func (g *Gate) maxWait(r *Request) time.Duration {
	if r.Target <= 0 {
		return math.MaxInt64
	}
	return max(r.Target-g.requiredTime(r), time.Duration(minWaitShare*float64(r.Target)))
}

// requiredTime returns the time that r should have left when it starts.
func (g *Gate) requiredTime(r *Request) time.Duration {
	return serviceTimesNeeded * g.serviceTimes[r.Kind]
}

// retryAfter estimates when the present queue will have been served.
func (g *Gate) retryAfter() time.Duration {
	return g.latency * time.Duration(len(g.queue)+1) / time.Duration(max(g.slots, 1))
}

// displace sheds the last request of the queue if r is more urgent, and reports whether it
// did.
func (g *Gate) displace(r *Request) bool {
	if len(g.queue) == 0 {
		return false
	}
	last := g.queue[len(g.queue)-1]
	if last.Urgency >= r.Urgency {
		return false
	}
	g.queue = g.queue[:len(g.queue)-1]
	last.Notify(Verdict{Reason: peerpb.Reason_REASON_SHED, RetryAfter: g.retryAfter()})
	return true
}

// Cancel refuses a queued request and reports whether it was still in the queue.
func (g *Gate) Cancel(id string) bool {
	for i, r := range g.queue {
		if r.ID == id {
			g.queue = slices.Delete(g.queue, i, i+1)
			r.Notify(Verdict{Reason: peerpb.Reason_REASON_CANCELLED})
			return true
		}
	}
	return false
}

// Release frees the slot of a request that is known to have ended at the upstream.
func (g *Gate) Release(now time.Time, id string) {
	a := g.active[id]
	if a == nil {
		return
	}
	delete(g.active, id)
	sample := now.Sub(a.started)
	g.latency = movingAverage(g.latency, sample)
	g.serviceTimes[a.kind] = movingAverage(g.serviceTimes[a.kind], sample)
	g.admit(now)
}

// movingAverage returns the exponential moving average after a sample; the first sample
// becomes the average.
func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}

// Abandon stops tracking a request that the upstream may still be running. Its slot stays
// occupied until the upstream no longer lists it.
func (g *Gate) Abandon(now time.Time, id string) {
	a := g.active[id]
	if a == nil {
		return
	}
	delete(g.active, id)
	g.orphans[id] = &orphan{since: now, listed: a.listed}
}

// Expire refuses queued requests whose deadline has passed, or all of them if the upstream no
// longer announces itself.
func (g *Gate) Expire(now time.Time) {
	present := g.Present(now)
	g.queue = slices.DeleteFunc(g.queue, func(r *Request) bool {
		switch {
		case !present:
			r.Notify(Verdict{Reason: peerpb.Reason_REASON_NO_UPSTREAM})
		case !now.Before(r.Deadline):
			r.Notify(Verdict{Reason: peerpb.Reason_REASON_EXPIRED})
		default:
			return false
		}
		return true
	})
}

// admit starts queued requests while slots are free.
func (g *Gate) admit(now time.Time) {
	if !g.Ready(now) {
		return
	}
	for len(g.queue) > 0 && g.InFlight() < g.slots {
		r := g.queue[0]
		g.queue = g.queue[1:]
		if g.tooLate(now, r) {
			r.Notify(Verdict{Reason: peerpb.Reason_REASON_EXPIRED})
			continue
		}
		g.active[r.ID] = &activeRequest{started: now, kind: r.Kind}
		r.Notify(Verdict{Admitted: true})
	}
	g.updateOverload(now)
}

// tooLate reports whether r should be refused instead of started: its deadline has passed, or
// it is not expected to finish in time while others wait. A request with none behind it is
// started all the same, so that the latency of an upstream that has become slow is still
// measured.
func (g *Gate) tooLate(now time.Time, r *Request) bool {
	if !now.Before(r.Deadline) {
		return true
	}
	return len(g.queue) > 0 && now.Add(g.requiredTime(r)).After(r.Deadline)
}

// compare orders requests by urgency, then by deadline; requests that are equal in both keep
// their order of arrival.
func compare(a, b *Request) int {
	if a.Urgency != b.Urgency {
		return b.Urgency - a.Urgency
	}
	if a.Deadline.After(b.Deadline) {
		return 1
	}
	return -1
}
