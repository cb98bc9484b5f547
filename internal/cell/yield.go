package cell

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// yieldShare is the largest share of the slots of a service's other workers that may be
	// busy for one more worker to yield.
	yieldShare = 0.5
	// reclaimShare is the share above which a yielding worker is reclaimed.
	reclaimShare = 0.7
	// yieldInterval is the least time between two workers that yield or are reclaimed, so
	// that the first shows in the reports.
	yieldInterval = time.Second
	// yieldHold is how long a worker yields after its tasks have ceased to harm.
	yieldHold = 5 * time.Second
	// busyWeight is the weight of a report in a worker's average of busy slots.
	busyWeight = 0.2
)

// serving is what a worker says of a service that it serves.
type serving struct {
	// slots are 0 while the upstream is starting or leaving.
	slots float64
	busy  float64
}

// serviceLoad sums the serving workers of a service.
type serviceLoad struct {
	// slots are those of workers that do not yield.
	slots float64
	busy  float64
	// leftBusy is the part of busy on workers that yield.
	leftBusy float64
}

// observeServing takes in the upstreams of a report.
func (w *worker) observeServing(upstreams []*peerpb.UpstreamState) {
	first := w.serving == nil
	reported := make(map[string]serving, len(upstreams))
	w.yielded = false
	for _, u := range upstreams {
		s := reported[u.GetService()]
		if u.GetReady() && !u.GetDraining() {
			s.slots += float64(u.GetSlots())
		}
		s.busy += float64(u.GetInFlight() + u.GetQueued())
		reported[u.GetService()] = s
		w.yielded = w.yielded || u.GetYielding()
	}
	for service, s := range reported {
		old := w.serving[service].busy
		s.busy = old + busyWeight*(s.busy-old)
		reported[service] = s
	}
	w.serving = reported
	if first && w.yielded {
		// An earlier owner has had it yield.
		w.yielding = true
	}
}

// serves reports whether latency-critical services run on the worker.
func (w *worker) serves() bool { return len(w.serving) > 0 }

// serviceLoads sums what the workers of the cell say of each service.
func (o *Owner) serviceLoads(now time.Time) map[string]serviceLoad {
	loads := map[string]serviceLoad{}
	for _, w := range o.c.workers {
		if w.lost || now.Sub(w.seen) > silentAfter {
			continue
		}
		for service, s := range w.serving {
			l := loads[service]
			l.busy += s.busy
			if w.yielding {
				l.leftBusy += s.busy
			} else {
				l.slots += s.slots
			}
			loads[service] = l
		}
	}
	return loads
}

// mayYield reports whether the other workers can serve all that a worker serves.
func mayYield(w *worker, loads map[string]serviceLoad) bool {
	if w.yielding || !w.serves() {
		return false
	}
	for service, s := range w.serving {
		rest := loads[service].slots - s.slots
		if rest <= 0 || loads[service].busy > yieldShare*rest {
			return false
		}
	}
	return true
}

// yielders tells where tasks that slow services may go.
type yielders struct {
	// given tells that there is a worker that yields, though it may be full for now.
	given bool
	// candidates are the workers that may yield.
	candidates []*worker
}

// room reports whether a task finds room on a worker that yields, now or later.
func (y yielders) room(need driver.Resources) bool {
	return y.given || slices.ContainsFunc(y.candidates, func(w *worker) bool { return need.Fits(w.free()) })
}

func (o *Owner) yielders(now time.Time) (y yielders) {
	if d := o.options.Document(); d == nil || !d.Guards.Enabled {
		return y
	}
	loads := o.serviceLoads(now)
	for _, w := range o.c.workers {
		if !w.usable(now) {
			continue
		}
		y.given = y.given || w.yielding
		if mayYield(w, loads) {
			y.candidates = append(y.candidates, w)
		}
	}
	return y
}

// yieldFor has a worker yield to a task that would slow the services everywhere: entries
// send requests elsewhere, and the guards leave the worker's tasks alone.
func (o *Owner) yieldFor(need driver.Resources, y yielders, now time.Time) {
	if now.Sub(o.c.yieldAt) < yieldInterval {
		return
	}
	var chosen *worker
	for _, w := range y.candidates {
		if !need.Fits(w.free()) {
			continue
		}
		if chosen == nil || w.busy() < chosen.busy() || w.busy() == chosen.busy() && w.Name < chosen.Name {
			chosen = w
		}
	}
	if chosen == nil {
		return
	}
	o.c.yieldAt = now
	chosen.yielding, chosen.harmedAt = true, now
	o.options.Metrics.GuardActions.WithLabelValues("yield").Inc()
	o.log.Info("worker yields to tasks", "worker", chosen.Name, "busy-slots", chosen.busy())
}

func (w *worker) busy() (sum float64) {
	for _, s := range w.serving {
		sum += s.busy
	}
	return sum
}

// reviewYields gives workers back to their services if those need them, or if their tasks do
// no harm any more. One that is needed is guarded first: entries send requests there only
// when all others are full, until its tasks are expected to harm no more.
func (o *Owner) reviewYields(now time.Time) {
	d := o.options.Document()
	loads := o.serviceLoads(now)
	for _, w := range o.c.workers {
		switch {
		case !w.yielding:
		case d == nil || !d.Guards.Enabled || w.lost:
			o.reclaim(w, "guards are off or the worker is lost")
		case o.expected(w) >= d.Guards.ThrottleAt:
			w.harmedAt = now
			o.reviewNeed(w, loads, now)
		case w.reclaiming:
			o.reclaim(w, "its services need it")
		case now.Sub(w.harmedAt) >= yieldHold:
			o.reclaim(w, "its tasks do no harm")
		}
	}
}

// reviewNeed starts or ends the reclaiming of a worker whose tasks harm.
func (o *Owner) reviewNeed(w *worker, loads map[string]serviceLoad, now time.Time) {
	share := busiest(w, loads)
	switch {
	case w.reclaiming && share <= yieldShare:
		w.reclaiming = false
	case !w.reclaiming && share > reclaimShare && now.Sub(o.c.yieldAt) >= yieldInterval:
		o.c.yieldAt = now
		w.reclaiming = true
		o.log.Info("services need a worker that yields", "worker", w.Name, "tasks", len(w.assigned), "busy-share", share)
	}
}

// busiest returns the largest share of busy slots, on the workers that do not yield, of the
// services that w serves.
func busiest(w *worker, loads map[string]serviceLoad) (share float64) {
	for service := range w.serving {
		l := loads[service]
		if l.slots <= 0 {
			return 1
		}
		share = max(share, (l.busy-l.leftBusy)/l.slots)
	}
	return share
}

func (o *Owner) reclaim(w *worker, reason string) {
	w.yielding, w.reclaiming = false, false
	o.options.Metrics.GuardActions.WithLabelValues("reclaim").Inc()
	o.log.Info("worker reclaimed for its services", "worker", w.Name, "tasks", len(w.assigned), "reason", reason)
}

// given reports whether the worker's tasks are left alone for now.
func (w *worker) given() bool { return w.yielding && !w.reclaiming }
