package cell

import (
	"slices"
	"strings"
	"time"
)

// maxEvacuating is the number of attempts that a cell stops at a time to empty an evacuated data centre.
// Each of them writes a checkpoint: without a limit a cell of some hundreds of workers would write
// thousands of them in the same moment, and its commands to agents would time out.
const maxEvacuating = 64

// evacuated reports whether the cell's data centre is evacuated.
func (o *Owner) evacuated() bool { return o.options.Document().Evacuated(o.options.DataCentre) }

// evacuate evicts the attempts of the cell while its data centre is evacuated, a few at a time. Their
// tasks wait in the cell until the data centre is taken back. It runs on the loop.
func (o *Owner) evacuate(now time.Time) {
	if !o.evacuated() {
		o.endEvacuation(now)
		return
	}
	left, stopping := 0, 0
	var running []*assignment
	for _, w := range o.control.workers {
		left += len(w.assigned)
		if w.lost {
			continue
		}
		for _, a := range w.assigned {
			switch {
			case (a.evictRequested || a.stopRequested) && a.nextStop.IsZero():
				stopping++
			case a.evictRequested || a.stopRequested:
				// The agent has answered without an end, or not at all; others need not wait for it.
			case a.mayHaveRun:
				running = append(running, a)
			}
		}
	}
	if o.control.evacuatedSince.IsZero() {
		o.control.evacuatedSince, o.control.emptied = now, false
		o.log.Info("evacuating the cell", "attempts", left, "waiting", o.control.queue.size)
	}
	o.options.Metrics.EvacuatedTasks.WithLabelValues(o.options.Cell).Set(float64(left))
	if left == 0 && !o.control.emptied {
		o.control.emptied = true
		o.log.Info("cell is empty", "seconds", now.Sub(o.control.evacuatedSince).Seconds(), "waiting", o.control.queue.size)
	}
	// The order by name spreads the attempts of one moment over the workers.
	slices.SortFunc(running, func(a, b *assignment) int { return strings.Compare(a.task, b.task) })
	for _, a := range running[:min(len(running), max(0, maxEvacuating-stopping))] {
		a.evictRequested = true
		o.options.Metrics.GuardActions.WithLabelValues("evacuate").Inc()
		o.log.Info("task evicted", "task", a.task, "class", a.class, "reason", "the data centre is evacuated")
	}
}

// endEvacuation lets the cell start tasks again after its data centre was taken back.
func (o *Owner) endEvacuation(now time.Time) {
	if o.control.evacuatedSince.IsZero() {
		return
	}
	o.log.Info("evacuation of the cell has ended", "seconds", now.Sub(o.control.evacuatedSince).Seconds(), "waiting", o.control.queue.size)
	o.control.evacuatedSince = time.Time{}
	o.control.placementDue = true
	o.options.Metrics.EvacuatedTasks.DeleteLabelValues(o.options.Cell)
}
