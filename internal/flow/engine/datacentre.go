package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/saturate"
)

// Operators evacuate a data centre: within a bound, no process may start a task there, and what runs there moves
// elsewhere while others have room. When they take it back, all its runners are cold at the same time.
const (
	// evacuationMargin is the part of the bound that is left for the last attempt of a start, which is sent up to
	// 0.15 s after it was checked, for the processor time of owner and agent, and for the drift of clocks.
	evacuationMargin = 500 * time.Millisecond
	// minEvacuationsValid lets an owner place tasks whose list of evacuations, read every second, is answered
	// late, whatever the bound.
	minEvacuationsValid = 1500 * time.Millisecond
	// evacuationInterval is how often runs in evacuated data centres are considered. A stop and the placement
	// of the task take about as long.
	evacuationInterval = 250 * time.Millisecond
	// coldReportDelay is how long it takes until a runner has reported that it is cold, and until then it counts as
	// cold. It sends a heartbeat about every second, and its agent a report every half.
	coldReportDelay = 2 * time.Second
	// evacuationReason is the reason for which runs are stopped in an evacuated data centre.
	evacuationReason = "the data centre is evacuated"
)

// dataCentres holds which data centres are evacuated.
type dataCentres struct {
	evacuated map[string]bool
	// takenBack holds the data centres that were evacuated and have cold runners, with the time since when they
	// are taken back.
	takenBack map[string]time.Duration
	// known is set once the evacuated data centres have been confirmed, last at confirmedAt.
	known       bool
	confirmedAt time.Duration
	// unknownReported is set while the log says that nothing is placed.
	unknownReported bool
	// consideredAt is when the runs in evacuated data centres were last considered.
	consideredAt time.Duration
}

// SetEvacuatedDataCentres sets the data centres in which nothing is started, in place of those set before. The set was
// complete at confirmedAt.
func (e *Engine) SetEvacuatedDataCentres(names []string, confirmedAt time.Duration, now Timestamp) {
	d := &e.dataCentres
	before := d.evacuated
	d.evacuated = map[string]bool{}
	for _, name := range names {
		d.evacuated[name] = true
	}
	d.known, d.confirmedAt = true, max(d.confirmedAt, confirmedAt)
	if d.unknownReported && e.evacuationsKnown(now.Monotonic) {
		d.unknownReported = false
		e.options.Log.Info("evacuations known again", "evacuated", len(names))
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !d.evacuated[name] {
			if d.takenBack == nil {
				d.takenBack = map[string]time.Duration{}
			}
			d.takenBack[name] = now.Monotonic
			e.options.Log.Info("data centre taken back", "data-centre", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.evacuated)) {
		if !before[name] {
			delete(d.takenBack, name)
			runners, runs := e.withdrawStarts(name, now.Monotonic)
			e.options.Log.Info("data centre evacuated", "data-centre", name, "runners", runners, "runs", runs)
			// Runs there are considered at the next tick.
			d.consideredAt = 0
		}
	}
	e.placementDue = true
}

// evacuationsKnown reports whether tasks may be placed. If the set has not been confirmed for so long that a start could
// come after the bound, any data centre may have been evacuated in the meantime.
func (e *Engine) evacuationsKnown(now time.Duration) bool {
	if e.options.EvacuationBound == 0 {
		return true
	}
	return e.dataCentres.known && now-e.dataCentres.confirmedAt <= max(e.options.EvacuationBound-driver.MaxStartAge-evacuationMargin, minEvacuationsValid)
}

// isEvacuated reports whether the worker is in an evacuated data centre.
func (e *Engine) isEvacuated(w *worker) bool {
	return len(e.dataCentres.evacuated) > 0 && e.dataCentres.evacuated[w.info.GetZone()]
}

// InEvacuatedDataCentre reports whether a runner is in an evacuated data centre.
func (e *Engine) InEvacuatedDataCentre(runner string) bool {
	for _, w := range e.workers {
		if w.info.GetId() == runner {
			return e.isEvacuated(w)
		}
	}
	return false
}

// withdrawStarts gives up the runs of a data centre whose runners have not shown that they have started. It returns how
// many runners and runs there are.
func (e *Engine) withdrawStarts(name string, now time.Duration) (runners, runs int) {
	for _, w := range e.sortedWorkers() {
		if w.info.GetZone() != name {
			continue
		}
		runners++
		runs += w.runs.len()
		for _, r := range w.runs.list {
			// The next list of a runner that is not synchronised shows which runs have started, and all orders
			// before it are void.
			if r.phase == phasePlanned || r.phase == phaseSent && w.synced {
				e.withdraw(r, now, evacuationReason)
			}
		}
	}
	return runners, runs
}

// withdraw gives up a run that has not started, and with it its gang.
func (e *Engine) withdraw(r *run, now time.Duration, reason string) {
	if r.worker.runs.get(r.id) != r {
		// It went with another member of its gang.
		return
	}
	if r.phase == phasePlanned {
		e.options.Log.Info("start withdrawn", "node", r.worker.node, "task", r.task.name(), "run", r.number, "reason", reason)
	}
	e.stopRun(r, now, reason)
	e.stopGang(r, now)
}

// evacuateDataCentres moves runs out of evacuated data centres to where there is room, once per evacuationInterval:
// first long-running tasks, within their disruption budget, and then finite ones that do not end soon. The room of tasks
// that wait is left to them.
func (e *Engine) evacuateDataCentres(now time.Duration) {
	d := &e.dataCentres
	if !e.evacuationsKnown(now) && !d.unknownReported {
		d.unknownReported = true
		e.options.Log.Warn("evacuations unknown; placing nothing", "confirmed", d.known, "age-ms", (now - d.confirmedAt).Milliseconds())
	}
	e.forgetWarmDataCentres(now)
	if len(d.evacuated) == 0 || d.consideredAt > 0 && now-d.consideredAt < evacuationInterval {
		return
	}
	d.consideredAt = now
	candidates := e.candidates(now)
	if len(candidates) == 0 {
		return
	}
	pending := e.pendingSteps(now)
	withoutRoom := map[*step]bool{}
	for _, longRunning := range []bool{true, false} {
		for _, p := range pending {
			if p.LongRunning == longRunning {
				e.reservePending(p.step, candidates, now)
			}
		}
		e.eachEvacuatedRun(longRunning, func(r *run) {
			if r.phase == phaseStopping && r.stopReason == evacuationReason && e.wanted(r) && !r.task.step.def.GetGang() {
				e.reserve(r.task, candidates, now)
			}
		})
		e.eachEvacuatedRun(longRunning, func(r *run) {
			if s := r.task.step; r.phase == phaseRunning && e.wanted(r) && !withoutRoom[s] {
				withoutRoom[s] = !e.moveElsewhere(r, candidates, now)
			}
		})
	}
}

// eachEvacuatedRun calls f for each run of a long-running or a finite task in an evacuated data centre whose runner takes
// orders and does not end its runs itself.
func (e *Engine) eachEvacuatedRun(longRunning bool, f func(*run)) {
	for _, w := range e.sortedWorkers() {
		if !e.isEvacuated(w) || !w.connected || !w.synced || w.info.GetDraining() {
			continue
		}
		for _, r := range w.runs.list {
			if r.task.step.def.GetLasting() == longRunning {
				f(r)
			}
		}
	}
}

// reservePending reserves the room that the pending tasks of a step are about to take.
func (e *Engine) reservePending(s *step, candidates []*candidate, now time.Duration) {
	if s.def.GetGang() {
		e.reserveGang(s, candidates, "", now)
		return
	}
	scored := e.scoreCandidates(s, candidates, "", now)
	for _, t := range s.tasks {
		if !t.pending(now) {
			continue
		}
		best := e.bestCandidate(t, scored)
		if best == nil {
			return
		}
		best.candidate.reserve(s)
		e.rescore(best, s, now)
	}
}

// reserve reserves room for another run of a task, and reports whether there is any. A best-effort task stays rather
// than wait for a worker on which it may run at its pace.
func (e *Engine) reserve(t *task, candidates []*candidate, now time.Duration) bool {
	best := e.bestCandidate(t, e.scoreCandidates(t.step, candidates, "", now))
	if best == nil || t.step.def.GetFills() && e.colocation(best.candidate.worker, t.step).pace < minBestEffortPace {
		return false
	}
	best.candidate.reserve(t.step)
	return true
}

// moveElsewhere stops a run in an evacuated data centre if its task has room elsewhere, which it reserves. A gang moves
// as a whole. It reports whether there is room, or none was looked for.
func (e *Engine) moveElsewhere(r *run, candidates []*candidate, now time.Duration) (room bool) {
	s := r.task.step
	switch {
	case s.def.GetGang():
		if e.mayMoveGang(r, now) && e.reserveForGang(r, candidates, now) {
			e.stopRun(r, now, evacuationReason)
			e.stopGang(r, now)
		}
	case s.def.GetLasting() && !r.withinDisruptionBudget(now), !s.def.GetLasting() && e.finishesThere(r, e.options.EvacuationBound, now):
	case e.hasCopyElsewhere(r), e.reserve(r.task, candidates, now):
		e.stopRun(r, now, evacuationReason)
	default:
		return false
	}
	return true
}

// hasCopyElsewhere reports whether another copy of a run's task goes on outside the evacuated data centres.
func (e *Engine) hasCopyElsewhere(r *run) bool {
	return slices.ContainsFunc(r.task.runs, func(other *run) bool {
		return other != r && other.phase == phaseRunning && !e.isEvacuated(other.worker)
	})
}

// mayMoveGang reports whether all members of a run's gang run, and may be stopped at once.
func (e *Engine) mayMoveGang(r *run, now time.Duration) bool {
	s := r.task.step
	if s.def.GetLasting() && s.def.GetMayMiss() > 0 && int(s.def.GetMayMiss()) < len(s.tasks) {
		return false
	}
	for _, t := range s.tasks {
		if len(t.runs) != 1 || t.runs[0].phase != phaseRunning || t.runs[0].number != r.number {
			return false
		}
		if !s.def.GetLasting() && e.finishesThere(t.runs[0], e.options.EvacuationBound, now) {
			return false
		}
	}
	return true
}

// reserveForGang reserves room for all members of a run's gang, and reports whether there is enough. What the members
// hold elsewhere becomes free.
func (e *Engine) reserveForGang(r *run, candidates []*candidate, now time.Duration) bool {
	s := r.task.step
	credit := func(change func(a, b driver.Resources) driver.Resources) {
		for _, c := range candidates {
			for _, member := range c.worker.runs.list {
				if member.task.step == s {
					c.free = change(c.free, member.reserved)
				}
			}
		}
	}
	credit(driver.Resources.Plus)
	if e.reserveGang(s, candidates, "", now) != nil {
		return true
	}
	credit(driver.Resources.Minus)
	return false
}

// holdForEvacuated keeps finite tasks off the workers on which long-running tasks of evacuated data centres fit once
// finite tasks there have ended. On a full fleet nothing would ever become free for them. It shares the bound of holdRoom.
func (e *Engine) holdForEvacuated(candidates []*candidate, now time.Duration) {
	if len(e.dataCentres.evacuated) == 0 {
		return
	}
	left := max(1, len(candidates)/maxHeldDivisor)
	for _, c := range candidates {
		if c.heldFor != nil {
			left--
		}
	}
	e.eachEvacuatedRun(true, func(r *run) {
		s := r.task.step
		if left <= 0 || r.phase != phaseRunning && r.phase != phaseStopping || s.def.GetGang() || !e.wanted(r) || r.phase == phaseRunning && !r.withinDisruptionBudget(now) {
			return
		}
		if c := e.roomiest(s, candidates, now); c != nil {
			c.heldFor = s
			left--
		}
	})
}

// offeredShare returns the share of a worker's capacity that is offered to tasks. In a data centre that is taken back, it
// rises to the whole as the cold time of the runner ends.
func (e *Engine) offeredShare(w *worker, now time.Duration) float64 {
	since, takenBack := e.dataCentres.takenBack[w.info.GetZone()]
	if !takenBack {
		return 1
	}
	elapsed := now - since
	left := max(w.coldLeft(now), coldReportDelay-elapsed)
	if left <= 0 {
		return 1
	}
	return float64(elapsed) / float64(elapsed+left)
}

// coldLeft returns how much longer the runner is cold, by its last report.
func (w *worker) coldLeft(now time.Duration) time.Duration {
	return max(0, saturate.Millis(w.info.GetColdLeftMillis())-(now-w.reportedAt))
}

// withholdWhileCold leaves a candidate only the share of its capacity that is offered.
func (e *Engine) withholdWhileCold(c *candidate, now time.Duration) {
	share := e.offeredShare(c.worker, now)
	if share >= 1 {
		return
	}
	c.cold = true
	withheld := int64((1 - share) * float64(c.worker.info.GetMilliCpu()))
	c.free = c.free.Minus(driver.NewResources(withheld, 0, 0))
	c.idleMilliCPU -= withheld
}

// forgetWarmDataCentres forgets data centres that were taken back once none of their runners is cold any more.
func (e *Engine) forgetWarmDataCentres(now time.Duration) {
	for name, since := range e.dataCentres.takenBack {
		isCold := now-since < coldReportDelay
		for _, w := range e.workers {
			isCold = isCold || w.info.GetZone() == name && w.coldLeft(now) > 0
		}
		if !isCold {
			delete(e.dataCentres.takenBack, name)
		}
	}
}
