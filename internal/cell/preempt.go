package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// urgentRank is the urgency whose tasks may preempt patient ones.
	urgentRank  = urgencies - 1
	patientRank = 0
	// preemptInterval is the least time between two preemptions for the same task, and how long the
	// vacated capacity is held for it.
	preemptInterval = 2 * time.Second
)

// capacityHold is capacity on a worker that is held for an urgent task while the evicted tasks
// end.
type capacityHold struct {
	worker string
	need   driver.Resources
	until  time.Time
}

// heldForOthers returns the capacity of a worker that is held for tasks other than the given one.
// It drops holds that have expired or whose task no longer waits.
func (o *Owner) heldForOthers(worker, task string, now time.Time) (held driver.Resources) {
	for name, h := range o.control.holds {
		jt := o.control.state.tasks[name]
		if jt == nil || jt.task.GetPhase() != cellpb.Phase_PHASE_WAITING || now.After(h.until) {
			delete(o.control.holds, name)
			continue
		}
		if h.worker == worker && name != task {
			held = held.Plus(h.need)
		}
	}
	return held
}

// passHold ends the hold of a task that was placed on a worker. If that room was held for another
// waiting task, that one gets the hold instead.
func (o *Owner) passHold(task, worker string) {
	own, ok := o.control.holds[task]
	if !ok {
		return
	}
	delete(o.control.holds, task)
	if own.worker == worker {
		return
	}
	for _, other := range slices.Sorted(maps.Keys(o.control.holds)) {
		if h := o.control.holds[other]; h.worker == worker && h.need.Fits(own.need) {
			h.worker, h.until = own.worker, own.until
			o.control.holds[other] = h
			return
		}
	}
}

// preempt evicts patient tasks to make room for an urgent one, on the worker where the fewest
// evictions suffice; none are needed where enough tasks are being stopped already. The urgent task
// is placed in a later round, once the evicted tasks have ended.
func (o *Owner) preempt(task string, need driver.Resources, now time.Time) {
	if now.Before(o.control.nextPreempt[task]) {
		return
	}
	var victims []*assignment
	chosen := ""
	for _, w := range o.control.workers {
		if !w.usable(now) {
			continue
		}
		free := w.free().Minus(o.heldForOthers(w.Name, task, now))
		var v []*assignment
		if need.Fits(free) {
			continue
		}
		if !need.Fits(free.Plus(w.vacating())) {
			if v = w.victims(need, free); v == nil {
				continue
			}
		}
		if chosen == "" || len(v) < len(victims) || len(v) == len(victims) && w.Name < chosen {
			victims, chosen = v, w.Name
		}
	}
	if chosen == "" {
		return
	}
	o.control.nextPreempt[task] = now.Add(preemptInterval)
	o.control.holds[task] = capacityHold{worker: chosen, need: need, until: now.Add(preemptInterval)}
	for _, a := range victims {
		a.evictRequested = true
		o.options.Metrics.GuardActions.WithLabelValues("preempt").Inc()
		o.log.Info("task evicted", "worker", chosen, "task", a.task, "class", a.class, "reason", "room for urgent task "+task)
	}
	o.retryStops(o.control.workers[chosen], now)
}

// vacating returns what is reserved for tasks that are being stopped. A task whose stop the agent has
// answered without an end does not count, as it may keep its room.
func (w *worker) vacating() (sum driver.Resources) {
	for _, a := range w.assigned {
		if (a.evictRequested || a.stopRequested) && a.nextStop.IsZero() {
			sum = sum.Plus(a.reserved)
		}
	}
	return sum
}

// victims returns the patient tasks to evict, largest first, so that need fits in addition to
// free. It returns nil if evicting all of them would not suffice, or if none needs to be evicted.
func (w *worker) victims(need, free driver.Resources) (victims []*assignment) {
	var patient []*assignment
	for _, a := range w.assigned {
		if a.urgency == patientRank && a.mayHaveRun && !a.evictRequested && !a.stopRequested {
			patient = append(patient, a)
		}
	}
	slices.SortFunc(patient, func(a, b *assignment) int {
		return cmp.Or(cmp.Compare(b.reserved.MilliCPU(), a.reserved.MilliCPU()), cmp.Compare(a.task, b.task))
	})
	for _, a := range patient {
		if need.Fits(free) {
			break
		}
		free = free.Plus(a.reserved)
		victims = append(victims, a)
	}
	if !need.Fits(free) || len(victims) == 0 {
		return nil
	}
	return victims
}
