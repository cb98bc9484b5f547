package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// urgentRank is the urgency whose tasks may take the room of patient ones.
	urgentRank  = urgencies - 1
	patientRank = 0
	// preemptPause is how long a task that is being made room for asks for no more.
	preemptPause = 2 * time.Second
)

// hold is room on a worker that is kept for an urgent task while others make room for it.
type hold struct {
	worker string
	need   driver.Resources
	until  time.Time
}

// heldOn returns the room of a worker that is kept for tasks other than the given one.
// Holds of tasks that no longer wait, or that have lasted too long, are dropped.
func (o *Owner) heldOn(worker, task string, now time.Time) (held driver.Resources) {
	for name, h := range o.c.holds {
		e := o.c.state.tasks[name]
		if e == nil || e.task.GetPhase() != cellpb.Phase_PHASE_WAITING || now.After(h.until) {
			delete(o.c.holds, name)
			continue
		}
		if h.worker == worker && name != task {
			held = held.Plus(h.need)
		}
	}
	return held
}

// preempt evicts patient tasks so that an urgent one finds room, on the worker where the
// fewest need go. The room is taken in a later round, once the tasks have ended.
func (o *Owner) preempt(task string, need driver.Resources, now time.Time) {
	if now.Before(o.c.preempted[task]) {
		return
	}
	var victims []*assignment
	chosen := ""
	for _, w := range o.c.workers {
		if !w.usable(now) {
			continue
		}
		if v := w.victims(need, w.free().Minus(o.heldOn(w.Name, task, now))); v != nil && (victims == nil || len(v) < len(victims) || len(v) == len(victims) && w.Name < chosen) {
			victims, chosen = v, w.Name
		}
	}
	if victims == nil {
		return
	}
	o.c.preempted[task] = now.Add(preemptPause)
	o.c.holds[task] = hold{worker: chosen, need: need, until: now.Add(preemptPause)}
	for _, a := range victims {
		a.evict = true
		o.options.Metrics.GuardActions.WithLabelValues("preempt").Inc()
		o.log.Info("task evicted", "worker", chosen, "task", a.task, "class", a.class, "reason", "room for urgent "+task)
	}
	o.chase(o.c.workers[chosen], now)
}

// victims returns the patient tasks that must go for need to fit beside free, the largest first, or
// nil if that is not enough.
func (w *worker) victims(need, free driver.Resources) (victims []*assignment) {
	var patient []*assignment
	for _, a := range w.assigned {
		if a.urgency == patientRank && a.confirmed && !a.evict && !a.stop {
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
