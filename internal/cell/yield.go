package cell

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// yieldBusyShareMax is the largest fraction of slots that may be busy on a service's remaining
	// workers for one more worker to yield.
	yieldBusyShareMax = 0.5
	// reclaimBusyShare is the fraction of busy slots above which a yielding worker is reclaimed.
	reclaimBusyShare = 0.7
	// yieldInterval is the least time between two changes to yielding workers, so that reports show
	// the effect of the first before the second.
	yieldInterval = time.Second
	// yieldHoldTime is how long a worker keeps yielding after its tasks have stopped interfering.
	yieldHoldTime = 5 * time.Second
	// busySlotsWeight is the weight of a new report in the moving average of a worker's busy slots.
	busySlotsWeight = 0.2
)

// serviceUsage is the slots of a service on one worker, and how many of them are busy.
type serviceUsage struct {
	// slots does not include upstreams that are starting or draining.
	slots float64
	busy  float64
}

// serviceLoad is the total load of a service in the cell.
type serviceLoad struct {
	// slots counts only workers that do not yield.
	slots float64
	busy  float64
	// yieldingBusy is the part of busy that is on yielding workers.
	yieldingBusy float64
}

// updateServices updates the worker's services from the upstreams of a report.
func (w *worker) updateServices(upstreams []*peerpb.UpstreamState) {
	firstReport := w.services == nil
	reported := make(map[string]serviceUsage, len(upstreams))
	w.yieldAnnounced = false
	for _, u := range upstreams {
		s := reported[u.GetService()]
		if u.GetReady() && !u.GetDraining() {
			s.slots += float64(u.GetSlots())
		}
		s.busy += float64(u.GetInFlight() + u.GetQueued())
		reported[u.GetService()] = s
		w.yieldAnnounced = w.yieldAnnounced || u.GetYielding()
	}
	for service, s := range reported {
		previous := w.services[service].busy
		s.busy = previous + busySlotsWeight*(s.busy-previous)
		reported[service] = s
	}
	w.services = reported
	if firstReport && w.yieldAnnounced {
		// A previous owner made the worker yield.
		w.yielding = true
	}
}

// runsLatencyCritical reports whether latency-critical services run on the worker.
func (w *worker) runsLatencyCritical() bool { return len(w.services) > 0 }

// serviceLoads returns the load of each service over all workers with a recent report.
func (o *Owner) serviceLoads(now time.Time) map[string]serviceLoad {
	loads := map[string]serviceLoad{}
	for _, w := range o.control.workers {
		if w.lost || now.Sub(w.lastReport) > reportAgeMax {
			continue
		}
		for service, s := range w.services {
			l := loads[service]
			l.busy += s.busy
			if w.yielding {
				l.yieldingBusy += s.busy
			} else {
				l.slots += s.slots
			}
			loads[service] = l
		}
	}
	return loads
}

// canYield reports whether the remaining workers can take the load of all services of w without
// exceeding yieldBusyShareMax.
func canYield(w *worker, loads map[string]serviceLoad) bool {
	if w.yielding || !w.runsLatencyCritical() {
		return false
	}
	for service, s := range w.services {
		remaining := loads[service].slots - s.slots
		if remaining <= 0 || loads[service].busy > yieldBusyShareMax*remaining {
			return false
		}
	}
	return true
}

// yieldTargets holds the workers for tasks that would slow services down.
type yieldTargets struct {
	// yielding is set if some worker already yields, though it may have no room at present.
	yielding bool
	// eligible lists the workers that may yield.
	eligible []*worker
}

// canHost reports whether a task can be placed on a yielding worker, now or later.
func (y yieldTargets) canHost(need driver.Resources) bool {
	return y.yielding || slices.ContainsFunc(y.eligible, func(w *worker) bool { return need.Fits(w.free()) })
}

func (o *Owner) yieldTargets(now time.Time) (y yieldTargets) {
	if d := o.options.Document(); d == nil || !d.Guards.Enabled {
		return y
	}
	loads := o.serviceLoads(now)
	for _, w := range o.control.workers {
		if !w.usable(now) {
			continue
		}
		y.yielding = y.yielding || w.yielding
		if canYield(w, loads) {
			y.eligible = append(y.eligible, w)
		}
	}
	return y
}

// yieldWorkerFor makes a worker yield to a task that would slow down the services of every
// candidate. Entries then route requests to other workers, and guards do not throttle the worker's
// tasks.
func (o *Owner) yieldWorkerFor(need driver.Resources, y yieldTargets, now time.Time) {
	if now.Sub(o.control.lastYieldChange) < yieldInterval {
		return
	}
	var chosen *worker
	for _, w := range y.eligible {
		if !need.Fits(w.free()) {
			continue
		}
		if chosen == nil || w.busySlots() < chosen.busySlots() || w.busySlots() == chosen.busySlots() && w.Name < chosen.Name {
			chosen = w
		}
	}
	if chosen == nil {
		return
	}
	o.control.lastYieldChange = now
	chosen.yielding, chosen.lastInterference = true, now
	o.options.Metrics.GuardActions.WithLabelValues("yield").Inc()
	o.log.Info("worker yields to tasks", "worker", chosen.Name, "busy-slots", chosen.busySlots())
}

func (w *worker) busySlots() (sum float64) {
	for _, s := range w.services {
		sum += s.busy
	}
	return sum
}

// reviewYieldingWorkers ends the yielding of workers that their services need, or whose tasks no
// longer interfere. If the tasks still interfere, a needed worker is put under guards first;
// entries then send it requests only when all other upstreams are full, until its tasks are no
// longer expected to interfere.
func (o *Owner) reviewYieldingWorkers(now time.Time) {
	d := o.options.Document()
	loads := o.serviceLoads(now)
	for _, w := range o.control.workers {
		switch {
		case !w.yielding:
		case d == nil || !d.Guards.Enabled || w.lost:
			o.reclaimWorker(w, "guards are off or the worker is lost")
		case o.expectedPressure(w) >= d.Guards.ThrottleAt:
			w.lastInterference = now
			o.reviewReclaim(w, loads, now)
		case w.reclaiming:
			o.reclaimWorker(w, "its services need it")
		case now.Sub(w.lastInterference) >= yieldHoldTime:
			o.reclaimWorker(w, "its tasks do not interfere")
		}
	}
}

// reviewReclaim starts or cancels the reclaiming of a worker whose tasks interfere.
func (o *Owner) reviewReclaim(w *worker, loads map[string]serviceLoad, now time.Time) {
	share := maxBusyShare(w, loads)
	switch {
	case w.reclaiming && share <= yieldBusyShareMax:
		w.reclaiming = false
	case !w.reclaiming && share > reclaimBusyShare && now.Sub(o.control.lastYieldChange) >= yieldInterval:
		o.control.lastYieldChange = now
		w.reclaiming = true
		o.log.Info("services need a yielding worker back", "worker", w.Name, "tasks", len(w.assigned), "busy-share", share)
	}
}

// maxBusyShare returns the highest fraction of busy slots, on workers that do not yield, among the
// services of w.
func maxBusyShare(w *worker, loads map[string]serviceLoad) (share float64) {
	for service := range w.services {
		l := loads[service]
		if l.slots <= 0 {
			return 1
		}
		share = max(share, (l.busy-l.yieldingBusy)/l.slots)
	}
	return share
}

func (o *Owner) reclaimWorker(w *worker, reason string) {
	w.yielding, w.reclaiming = false, false
	o.options.Metrics.GuardActions.WithLabelValues("reclaim").Inc()
	o.log.Info("worker reclaimed for its services", "worker", w.Name, "tasks", len(w.assigned), "reason", reason)
}

// exemptFromGuards reports whether guards leave the worker's tasks alone.
func (w *worker) exemptFromGuards() bool { return w.yielding && !w.reclaiming }
