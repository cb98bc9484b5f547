package engine

import "time"

// Long-running tasks have to run whenever there is capacity, but on a full fleet the room for one may
// lie in pieces: between finite tasks that end and are followed by others at once, or on workers of
// which none has enough.
const (
	// maxHeldDivisor bounds the share of the workers that are held for long-running steps.
	maxHeldDivisor = 10
	// moveInterval is the minimum time between two moves on behalf of one step. A stop takes most of
	// it.
	moveInterval = 500 * time.Millisecond
)

// holdRoom keeps other steps off the workers on which pending tasks of a long-running step fit once
// finite tasks there have ended. On a full fleet smaller tasks would otherwise take each gap before it
// is large enough. At most a share of 1/maxHeldDivisor of the workers is held.
func (e *Engine) holdRoom(s *step, candidates []*candidate, now time.Duration) {
	held := 0
	for _, c := range candidates {
		if c.heldFor != nil {
			held++
		}
	}
	for range min(s.countPending(now), max(1, len(candidates)/maxHeldDivisor)-held) {
		roomiest := e.roomiest(s, candidates, now)
		if roomiest == nil {
			e.moveForRoom(s, candidates, now)
			return
		}
		roomiest.heldFor = s
	}
}

// roomiest returns the candidate with the most free processors, of those that are not held and where a task of
// the step fits once the finite tasks have ended, or nil.
func (e *Engine) roomiest(s *step, candidates []*candidate, now time.Duration) (roomiest *candidate) {
	for _, c := range candidates {
		if c.heldFor != nil || !e.eligible(s, c.worker, now) || !s.resources().Fits(c.free.Plus(c.worker.finiteReservations())) {
			continue
		}
		if roomiest == nil || c.free.MilliCPU() > roomiest.free.MilliCPU() {
			roomiest = c
		}
	}
	return roomiest
}

// moveForRoom stops a long-running task, within its disruption budget, so that a task of the step fits in
// its place. It chooses the smallest for which another worker has room. Without it, the loss of a few
// workers of a full fleet can leave room in pieces that are each too small.
func (e *Engine) moveForRoom(s *step, candidates []*candidate, now time.Duration) {
	if now-s.movedForAt < moveInterval && s.movedForAt > 0 || e.awaitsReports(now) {
		return
	}
	var from *candidate
	var smallest *run
	for _, c := range candidates {
		if c.heldFor != nil || !e.eligible(s, c.worker, now) {
			continue
		}
		room := c.free.Plus(c.worker.finiteReservations())
		for _, r := range c.worker.runs.list {
			if r.phase != phaseRunning || !r.task.step.def.GetLasting() || r.task.step.def.GetGang() || r.task.step == s || !s.resources().Fits(room.Plus(r.reserved)) {
				continue
			}
			if smallest != nil && r.reserved.MilliCPU() >= smallest.reserved.MilliCPU() || !r.withinDisruptionBudget(now) || !e.fitsElsewhere(r, candidates, now) {
				continue
			}
			from, smallest = c, r
		}
	}
	if smallest == nil {
		return
	}
	s.movedForAt, from.heldFor = now, s
	smallest.task.avoid(smallest.worker)
	e.stopRun(smallest, now, "moved to make room for "+s.name())
}

// fitsElsewhere reports whether the task of a run can be placed on another of the candidates.
func (e *Engine) fitsElsewhere(r *run, candidates []*candidate, now time.Duration) bool {
	for _, c := range candidates {
		if c.worker != r.worker && e.feasible(r.task.step, c, now) {
			return true
		}
	}
	return false
}
