package engine

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// SetEvacuating sets the ids of the runners from which all tasks are moved and on which none are
// placed, in place of those set before.
func (e *Engine) SetEvacuating(runners []string) {
	e.evacuating = map[string]bool{}
	for _, id := range runners {
		e.evacuating[id] = true
	}
}

// RunCounts returns the number of runs on a runner, and how many of them may not be moved now
// because of the disruption budget of their step. It is not known while the runner may have runs that
// its agent has not listed to this owner.
func (e *Engine) RunCounts(runner string, now Timestamp) (runs, pinned int, known bool) {
	known = e.earlierLeasesEnded
	for _, w := range e.workers {
		if w.info.GetId() != runner {
			// Restored runs are on workers whose agent has not told yet of its runner.
			known = known && !slices.ContainsFunc(w.runs.list, func(r *run) bool { return r.incarnation.GetId() == runner })
			continue
		}
		for _, r := range w.runs.list {
			runs++
			if !r.withinDisruptionBudget(now.Monotonic) {
				pinned++
			}
		}
		return runs, pinned, w.synced || runs == 0 && now.Monotonic > w.leaseEnd
	}
	return 0, 0, known
}

// AllowTakeDown reports whether a VM may be taken down now with all runs on its runner. If so, their tasks count as
// unavailable from then on, so that no other decision spends the same budget. An order to take the VM
// down may be carried out late, so that they do for driver.MaxOrderDelay.
func (e *Engine) AllowTakeDown(runner string, now Timestamp) bool {
	if _, _, known := e.RunCounts(runner, now); !known {
		return false
	}
	var taken []*run
	for _, w := range e.workers {
		if w.info.GetId() != runner {
			continue
		}
		for _, r := range w.runs.list {
			if !r.withinDisruptionBudget(now.Monotonic) {
				for _, t := range taken {
					t.takeDownUntil = 0
				}
				return false
			}
			if !r.mayBeTakenDown(now.Monotonic) {
				taken = append(taken, r)
			}
			r.takeDownUntil = now.Monotonic + driver.MaxOrderDelay
		}
	}
	return true
}

// mayBeTakenDown reports whether the VM of a run may go down at any time.
func (r *run) mayBeTakenDown(now time.Duration) bool { return now < r.takeDownUntil }

// withinDisruptionBudget reports whether a run can be stopped without exceeding the disruption
// budget of its step, which is the number of tasks that may be unavailable at a time. A run that is not
// known to be idle counts as one that serves, and a task that is not known to serve as unavailable.
func (r *run) withinDisruptionBudget(now time.Duration) bool {
	s := r.task.step
	if !s.def.GetLasting() || s.def.GetMayMiss() == 0 || r.mayBeTakenDown(now) || r.isIdle() {
		return true
	}
	unavailable := uint32(0)
	for _, t := range s.tasks {
		if t != r.task && !t.available(now) {
			unavailable++
		}
	}
	return unavailable < s.def.GetMayMiss()
}

// isIdle reports whether the runner has shown that a run does not serve.
func (r *run) isIdle() bool {
	switch r.phase {
	case phaseSent:
		return false
	case phaseRunning:
		return r.progressPercent < fullPace && r.worker.synced
	}
	return true
}

// available reports whether a run of the task is ready to serve, which a long-running task
// reports as a progress of 100 percent. The last report must be recent, under the present token.
func (t *task) available(now time.Duration) bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.progressPercent >= fullPace && r.worker.synced && now-r.worker.reportedAt < maxReportAge && !r.mayBeTakenDown(now) {
			return true
		}
	}
	return false
}

// evacuate moves runs off runners that are draining or being evacuated: long-running tasks at
// once, within their disruption budget, and other tasks if they cannot finish in time.
func (e *Engine) evacuate(now time.Duration) {
	for _, w := range e.sortedWorkers() {
		draining, evacuating := w.info.GetDraining(), e.evacuating[w.info.GetId()]
		if !draining && !evacuating || !w.connected || !w.synced {
			continue
		}
		remaining := time.Duration(w.info.GetRemainingMillis())*time.Millisecond - (now - w.reportedAt)
		if !draining {
			remaining = 0
		}
		for _, r := range w.runs.list {
			// A draining runner ends its runs in any case, also those beyond the budget.
			if r.phase == phaseRunning && (draining || r.withinDisruptionBudget(now)) && e.shouldMove(r, remaining, now) {
				e.stopRun(r, now, "the runner is drained or evacuated")
			}
		}
	}
}

// shouldMove reports whether a run should be moved off a worker on which it has a limited time
// remaining. It needs another worker with room; a task that cannot finish in time but does not
// write checkpoints is moved only while little of its work is lost.
func (e *Engine) shouldMove(r *run, remaining, now time.Duration) bool {
	s := r.task.step
	if s.def.GetGang() {
		return false
	}
	if !s.def.GetLasting() && e.finishesThere(r, remaining, now) {
		return false
	}
	return e.fitsElsewhere(r, e.candidates(now), now)
}

// finishesThere reports whether a finite run ends within the time remaining, or would lose too much of its work
// if it was moved.
func (e *Engine) finishesThere(r *run, remaining, now time.Duration) bool {
	needed := e.expectedDuration(r) - (now - r.startedAt)
	if r.progressPercent > 0 {
		needed = time.Duration(float64(now-r.startedAt) * float64(fullPace-min(r.progressPercent, fullPace)) / float64(r.progressPercent))
	}
	return needed <= remaining || !r.task.step.def.GetCheckpoints() && r.progressPercent > moveMaxProgress
}
