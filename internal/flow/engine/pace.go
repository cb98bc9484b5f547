package engine

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Pacing answers tasks that fill and disturb a task that serves beside them, by amounts that
// differ by pair and change within seconds: the tail latency of the worst-off task that
// serves decides for all tasks that fill on its worker. The pace falls by large steps and
// rises by small ones, and a tail well below the target is needed before it rises.
const (
	paceInterval = 500 * time.Millisecond
	// paceHigh and paceLow are the shares of the target between which the pace is kept.
	paceHigh = 0.8
	paceLow  = 0.55
	paceCut  = 0.4
	// paceFloor is the pace, in percent, below which tasks that fill stand still.
	paceFloor = 10
	paceRise  = 10
)

// NextPace returns the pace, in percent, that follows from a tail latency and its target.
func NextPace(pace int, tail, target int64) int {
	if target <= 0 || tail <= 0 {
		return pace
	}
	share := float64(tail) / float64(target)
	switch {
	case share >= 1:
		return 0
	case share > paceHigh:
		pace = int(float64(pace) * paceCut)
		if pace < paceFloor {
			return 0
		}
		return pace
	case share < paceLow:
		return min(100, pace+paceRise)
	}
	return pace
}

// pace adjusts the pace of tasks that fill on each worker.
func (e *Engine) pace(now time.Duration) {
	if now-e.paced < paceInterval {
		return
	}
	e.paced = now
	for _, w := range e.sortedWorkers() {
		if !w.connected || !w.synced {
			continue
		}
		e.paceWorker(w, now)
	}
}

func (e *Engine) paceWorker(w *worker, now time.Duration) {
	next := 100
	for _, r := range w.runs {
		switch {
		case !r.task.step.serves():
		case r.phase == phaseStarted && r.percent >= 100:
			next = min(next, NextPace(w.pace, r.gauge, r.task.step.def.GetTargetMillis()))
		default:
			// It is not at work yet, and says nothing.
			next = min(next, w.pace)
		}
	}
	if next != w.pace {
		e.options.Log.Debug("pace changes", "node", w.node, "from", w.pace, "to", next)
	}
	w.pace = next
	for _, r := range w.runs {
		if r.task.step.def.GetFills() && r.phase == phaseStarted && r.pace != w.pace && now-r.pacedAt >= paceInterval {
			r.pace, r.pacedAt = w.pace, now
			o := e.orders(w)
			o.Paces = append(o.Paces, &flowpb.Pace{Task: r.task.name(), Run: r.number, Percent: int32(w.pace)})
		}
	}
}
