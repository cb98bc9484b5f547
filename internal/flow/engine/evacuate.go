package engine

import "time"

// SetEvacuating has tasks moved off the runners with these ids, and no new ones placed there.
func (e *Engine) SetEvacuating(runners []string) {
	e.evacuating = map[string]bool{}
	for _, id := range runners {
		e.evacuating[id] = true
	}
}

// Occupancy returns how many tasks run on a runner, and how many of them may not be moved
// off now since too many of their step are away.
func (e *Engine) Occupancy(runner string) (runs, held int) {
	for _, w := range e.workers {
		if w.info.GetId() != runner {
			continue
		}
		for _, r := range w.runs.list {
			runs++
			if !r.withinDisruptionBudget() {
				held++
			}
		}
	}
	return runs, held
}

// withinDisruptionBudget reports whether our stopping a run would keep its step's disruption budget.
func (r *run) withinDisruptionBudget() bool {
	s := r.task.step
	if !s.def.GetLasting() || s.def.GetMayMiss() == 0 || r.phase != phaseRunning || r.progressPercent < fullPace {
		return true
	}
	away := uint32(0)
	for _, t := range s.tasks {
		if t != r.task && !t.available() {
			away++
		}
	}
	return away < s.def.GetMayMiss()
}

func (t *task) available() bool {
	for _, r := range t.runs {
		if r.phase == phaseRunning && r.progressPercent >= fullPace {
			return true
		}
	}
	return false
}

// evacuate moves work off runners that leave or are to be emptied: what lasts at once, within
// its budget, the rest if it would not be done in the time that is left.
func (e *Engine) evacuate(now time.Duration) {
	for _, w := range e.sortedWorkers() {
		draining, emptied := w.info.GetDraining(), e.evacuating[w.info.GetId()]
		if !draining && !emptied || !w.connected || !w.synced {
			continue
		}
		left := time.Duration(w.info.GetRemainingMillis())*time.Millisecond - (now - w.reportedAt)
		if !draining {
			left = 0
		}
		for _, r := range w.runs.list {
			// A runner that leaves ends what is on it, whatever the budget.
			if r.phase == phaseRunning && (draining || r.withinDisruptionBudget()) && e.shouldMove(r, left, now) {
				e.stopRun(r, now, "the runner is to be empty")
			}
		}
	}
}

// shouldMove reports whether a run should go on elsewhere, with that much time left here.
func (e *Engine) shouldMove(r *run, left, now time.Duration) bool {
	s := r.task.step
	if s.def.GetGang() {
		return false
	}
	rest := e.expectedDuration(r) - (now - r.startedAt)
	if r.progressPercent > 0 {
		rest = time.Duration(float64(now-r.startedAt) * float64(fullPace-min(r.progressPercent, fullPace)) / float64(r.progressPercent))
	}
	if !s.def.GetLasting() && (rest <= left || !s.def.GetCheckpoints() && r.progressPercent > moveMaxProgress) {
		return false
	}
	for _, p := range e.candidates(now) {
		if p.worker != r.worker && e.feasible(s, p, now) {
			return true
		}
	}
	return false
}
