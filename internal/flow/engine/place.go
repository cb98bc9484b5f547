package engine

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// refusalBackoff is how long no task is placed on a runner after it refused one for lack of
	// resources.
	refusalBackoff = 300 * time.Millisecond
	// preemptInterval is the minimum time between two preemptions on behalf of one step.
	preemptInterval = 500 * time.Millisecond
)

// candidate is a worker considered during a placement round, with the resources that it has left
// after the placements made so far in that round.
type candidate struct {
	worker *worker
	free   driver.Resources
	// idleMilliCPU is what best-effort tasks may still use of the processors.
	idleMilliCPU int64
	// latencyCritical is set if the worker has a latency-critical task.
	latencyCritical bool
	rack            string
	// cold is set while the runner gets only a share of its capacity after an evacuation.
	cold bool
	// heldFor is the long-running step for which the room on the worker is held, or nil.
	heldFor *step
	// placed is the number of tasks placed in this round.
	placed int
	// reserved counts the tasks of each step for which room is reserved and that have no run yet, reservedRuns
	// those of all steps.
	reserved     map[*step]int
	reservedRuns int
}

// Place assigns pending tasks to workers with enough free resources, in the order of the policy.
func (e *Engine) Place(now Timestamp) {
	if !e.placementDue || !e.evacuationsKnown(now.Monotonic) {
		return
	}
	e.placementDue = false
	steps := e.pendingSteps(now.Monotonic)
	if len(steps) == 0 {
		return
	}
	candidates := e.candidates(now.Monotonic)
	held := false
	var postponed []PendingStep
	for _, p := range steps {
		if !p.LongRunning && !held {
			held = true
			e.holdForEvacuated(candidates, now.Monotonic)
		}
		if e.placeStep(p, candidates, now.Monotonic) {
			postponed = append(postponed, p)
		}
	}
	for _, p := range postponed {
		e.placePostponed(p, candidates, now.Monotonic)
	}
}

// candidates returns the workers that may be given tasks now. It leaves out workers that are not
// usable, that are ejected or to be emptied, those of evacuated data centres, and those that have just refused a task.
func (e *Engine) candidates(now time.Duration) []*candidate {
	if !e.evacuationsKnown(now) {
		return nil
	}
	var candidates []*candidate
	for _, w := range e.sortedWorkers() {
		if !w.schedulable(now) || now < w.fullUntil || e.evacuating[w.info.GetId()] || e.isEvacuated(w) || !w.health.admits(now, w.runs.list) {
			continue
		}
		c := &candidate{worker: w, free: w.free(), idleMilliCPU: w.bestEffortAvailable(), latencyCritical: w.hasLatencyCritical(), rack: w.rack()}
		e.withholdWhileCold(c, now)
		candidates = append(candidates, c)
	}
	return candidates
}

// Limits on tasks that need little or nothing, of which any number would fit.
const (
	// maxWorkerRuns bounds the runs on a worker. Their starts, with specifications of 4,000 bytes, must
	// fit a frame, since the agent ends its session at a larger one.
	maxWorkerRuns = 400
	// maxLiveRuns bounds the runs of a job. Its full record, which lists them, must fit a value.
	maxLiveRuns = 8_000
)

// placeStep places the pending tasks of a step until no candidate fits any more. Only steps of the
// highest priority and long-running steps preempt others. What is left to placePostponed are tasks that
// keep failing, and those of a step that has failed for which a probed runner may have room: a probe that
// fails by its own fault would keep the runner from all others. It reports whether there are any.
func (e *Engine) placeStep(p PendingStep, candidates []*candidate, now time.Duration) (postponed bool) {
	s := p.step
	offered := candidates
	if !s.failures.empty() {
		offered = slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool { return c.worker.health.probing })
	}
	fits, deferred := e.placeTasks(s, offered, false, now)
	if fits || len(offered) < len(candidates) {
		return deferred || !fits
	}
	e.makeRoom(p, now)
	if p.LongRunning && !s.def.GetGang() {
		e.holdRoom(s, candidates, now)
	}
	return false
}

// placePostponed places the tasks of a step that placeStep has left over, once all others had their turn.
func (e *Engine) placePostponed(p PendingStep, candidates []*candidate, now time.Duration) {
	if fits, _ := e.placeTasks(p.step, candidates, false, now); !fits {
		e.makeRoom(p, now)
	}
	e.placeTasks(p.step, candidates, true, now)
}

// makeRoom preempts others on behalf of a step of the highest priority or a long-running one.
func (e *Engine) makeRoom(p PendingStep, now time.Duration) {
	if (p.Priority == 0 || p.LongRunning) && !p.step.def.GetGang() {
		e.preempt(p.step, now)
	}
}

// placeTasks places the pending tasks of a step, either those that are deferred or those that are
// not, until one fits on no candidate. It reports whether all fitted, and whether there are tasks of the
// other kind.
func (e *Engine) placeTasks(s *step, candidates []*candidate, deferred bool, now time.Duration) (fits, others bool) {
	if s.def.GetGang() {
		if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.isDeferred(now) }) != deferred {
			return true, true
		}
		return e.placeGang(s, candidates, now), false
	}
	scored := e.scoreCandidates(s, candidates, "", now)
	fits = true
	for _, t := range s.tasks {
		if !t.pending(now) {
			continue
		}
		if t.isDeferred(now) != deferred {
			others = true
			continue
		}
		if s.job().liveRuns >= maxLiveRuns {
			return true, false
		}
		best := e.bestCandidate(t, scored)
		if best == nil {
			fits = false
			break
		}
		e.assign(t, best.candidate, t.lastRun+1, now)
		e.rescore(best, s, now)
	}
	return fits, others
}

// scoredCandidate is a candidate with its score for the tasks of one step.
type scoredCandidate struct {
	candidate *candidate
	feasible  bool
	score     float64
}

// scoreCandidates returns the feasible candidates for a step with their scores. A rack other than
// "" restricts them to that rack.
func (e *Engine) scoreCandidates(s *step, candidates []*candidate, rack string, now time.Duration) []scoredCandidate {
	scored := make([]scoredCandidate, 0, len(candidates))
	for _, c := range candidates {
		if rack != "" && c.rack != rack {
			continue
		}
		sc := scoredCandidate{candidate: c}
		e.rescore(&sc, s, now)
		if sc.feasible {
			scored = append(scored, sc)
		}
	}
	return scored
}

// rescore computes the feasibility and score of a candidate, also again after a placement has
// changed its free resources. A best-effort task needs idle processors and a worker where it can
// expect at least minBestEffortPace, unless it has waited longer than bestEffortMaxWait.
func (e *Engine) rescore(c *scoredCandidate, s *step, now time.Duration) {
	if c.feasible = e.feasible(s, c.candidate, now); !c.feasible {
		return
	}
	pace := fullPace
	if s.def.GetFills() {
		if c.candidate.idleMilliCPU < s.def.GetMilliCpu() {
			c.feasible = false
			return
		}
		pace = e.colocation(c.candidate.worker, s).pace
		c.feasible = acceptsPace(pace, now-s.longestWaitStart())
	}
	if c.feasible {
		c.score = e.score(s, c.candidate, pace)
	}
}

// bestCandidate returns the feasible candidate with the highest score for a task, or nil. Nodes
// that the task avoids get a lower score.
func (e *Engine) bestCandidate(t *task, scored []scoredCandidate) *scoredCandidate {
	var best *scoredCandidate
	bestScore := 0.0
	for i := range scored {
		c := &scored[i]
		if !c.feasible {
			continue
		}
		score := c.score
		if t.avoids(c.candidate.worker) {
			score -= weightAvoided
		}
		if e.options.Policy.RandomPlacement {
			score = randomScore(t.name(), c.candidate.worker.node)
		}
		if best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// placeGang places all tasks of a gang or none. If the step asks for one rack, each rack is tried
// first, then all racks together. The first that needs the fewest nodes which the gang avoids is taken. All
// runs of a gang have the same number and start from the same checkpoint. It reports whether it has placed
// them, or could not since some are not pending.
func (e *Engine) placeGang(s *step, candidates []*candidate, now time.Duration) (fits bool) {
	lastRun := uint32(0)
	for _, t := range s.tasks {
		if !t.pending(now) {
			return true
		}
		lastRun = max(lastRun, t.lastRun)
	}
	racks := []string{""}
	if s.def.GetSameRack() {
		racks = append(racksOf(candidates), "")
	}
	var reserved []*candidate
	best, fewest := "", len(s.tasks)+1
	for _, rack := range racks {
		if reserved = e.reserveGang(s, candidates, rack, now); reserved == nil {
			continue
		}
		avoided := s.countAvoided(reserved)
		if avoided == 0 {
			break
		}
		if avoided < fewest {
			best, fewest = rack, avoided
		}
		s.releaseAll(reserved)
		reserved = nil
	}
	if reserved == nil && fewest <= len(s.tasks) {
		reserved = e.reserveGang(s, candidates, best, now)
	}
	if reserved == nil {
		return false
	}
	checkpoint := s.tasks[0].checkpoint
	for i, c := range reserved {
		s.tasks[i].checkpoint = checkpoint
		e.addRun(s.tasks[i], c, lastRun+1, now)
	}
	return true
}

// countAvoided returns how many tasks of a gang are reserved on candidates that they avoid.
func (s *step) countAvoided(reserved []*candidate) (n int) {
	for i, c := range reserved {
		if s.tasks[i].avoids(c.worker) {
			n++
		}
	}
	return n
}

// releaseAll undoes the reservations of tasks of the step.
func (s *step) releaseAll(reserved []*candidate) {
	for _, c := range reserved {
		c.release(s)
	}
}

// reserveGang reserves resources for each task of a gang and returns the candidate of each. If some
// task fits nowhere, it reserves nothing and returns nil.
func (e *Engine) reserveGang(s *step, candidates []*candidate, rack string, now time.Duration) []*candidate {
	var reserved []*candidate
	scored := e.scoreCandidates(s, candidates, rack, now)
	for _, t := range s.tasks {
		best := e.bestCandidate(t, scored)
		if best == nil {
			s.releaseAll(reserved)
			return nil
		}
		best.candidate.reserve(s)
		e.rescore(best, s, now)
		reserved = append(reserved, best.candidate)
	}
	return reserved
}

// racksOf returns the racks of the candidates, each once and in the order of the candidates.
func racksOf(candidates []*candidate) (racks []string) {
	seen := map[string]bool{}
	for _, c := range candidates {
		if !seen[c.rack] {
			seen[c.rack] = true
			racks = append(racks, c.rack)
		}
	}
	return racks
}

// reserve deducts the resources of one task of the step from those left on the candidate.
func (c *candidate) reserve(s *step) {
	c.placed++
	if c.reserved == nil {
		c.reserved = map[*step]int{}
	}
	c.reserved[s]++
	c.reservedRuns++
	c.free = c.free.Minus(s.resources())
	if s.def.GetFills() {
		c.idleMilliCPU -= s.def.GetMilliCpu()
	} else {
		c.idleMilliCPU -= s.resources().MilliCPU()
	}
	c.latencyCritical = c.latencyCritical || s.latencyCritical()
}

// release undoes reserve, except for the latencyCritical flag.
func (c *candidate) release(s *step) {
	c.placed--
	c.reserved[s]--
	c.reservedRuns--
	c.free = c.free.Plus(s.resources())
	if s.def.GetFills() {
		c.idleMilliCPU += s.def.GetMilliCpu()
	} else {
		c.idleMilliCPU += s.resources().MilliCPU()
	}
}

// feasible reports whether a task of the step may run on a candidate and fits in its free
// resources, which may be held for another step. Best-effort tasks take nothing that is held. A runner
// that is probed gets one task, or those of one gang, which can't be parted.
func (e *Engine) feasible(s *step, c *candidate, now time.Duration) bool {
	probed := c.worker.health.probing && c.placed > 0 && !(s.def.GetGang() && c.reserved[s] == c.placed)
	if probed || c.worker.runs.len()+c.reservedRuns >= maxWorkerRuns {
		return false
	}
	return (c.heldFor == nil || c.heldFor == s || s.def.GetFills()) && s.resources().Fits(c.free) && e.eligible(s, c.worker, now) && s.allowsAnother(c.worker, c.reserved[s])
}

// suits reports whether a worker has the service and the label that the step requires.
func (s *step) suits(w *worker) bool {
	return w.info.GetService() == s.job().queue.Service && w.hasLabel(s.def.GetRequiresLabel())
}

// eligible reports whether a task of the step may run on a worker if there is room. It checks the
// service, the required label, the ticket of the admission service and the limit of tasks per runner.
func (e *Engine) eligible(s *step, w *worker, now time.Duration) bool {
	if !s.suits(w) {
		return false
	}
	if s.job().queue.Advised && !s.hasTicket(w, now) {
		return false
	}
	return s.allowsAnother(w, 0)
}

// allowsAnother reports whether the limit of tasks per runner allows another task of the step on a worker, on which room is
// reserved for some.
func (s *step) allowsAnother(w *worker, reserved int) bool {
	limit := int(s.def.GetMaxPerRunner())
	return limit == 0 || w.countRuns(s)+reserved < limit
}

// countRuns returns the number of live runs of a step.
func (w *worker) countRuns(s *step) (n int) {
	for _, r := range w.runs.list {
		if r.task.step == s {
			n++
		}
	}
	return n
}

const (
	// minBestEffortPace is the minimum pace, in percent, at which a best-effort task is placed. It is
	// well above keepBestEffortPace, since the pace that a task gets is lower than expected as often as
	// higher.
	minBestEffortPace = 90
	// bestEffortMaxWait is how long a best-effort task waits before it is placed at any pace.
	bestEffortMaxWait = 6000 * time.Millisecond
	// negligibleInterference is the reduction of headroom below which a task is treated as causing
	// no interference.
	negligibleInterference = 0.2
)

// acceptsPace reports whether a best-effort task is placed where it can expect a pace, in percent,
// after it has waited. A task that is throttled takes the room of others and slows down
// latency-critical tasks until it is stopped, so that it rather waits while the fleet is full.
func acceptsPace(pace int, waited time.Duration) bool {
	return pace >= minBestEffortPace || waited > bestEffortMaxWait
}

// longestWaitStart returns when the task that has waited longest began to wait, or -1 if no task of
// the step waits.
func (s *step) longestWaitStart() time.Duration {
	since := time.Duration(-1)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && (since < 0 || t.waitingSince < since) {
			since = t.waitingSince
		}
	}
	return since
}

// Weights of the placement score. Best-effort tasks interfere with latency-critical tasks on the
// same worker, so the two are kept apart while other workers have room. Latency-critical tasks are
// packed by image.
const (
	weightInterference = 100.0
	weightColocated    = 10.0
	weightSameImage    = 100.0
	weightOtherImage   = 10.0
	weightNearRack     = 1000.0
	weightAvoided      = 500.0
	// weightCold outweighs packing by image and most interference, since a cold runner slows down all its tasks.
	weightCold = 400.0
	weightFit  = 1.0
)

// score rates a candidate for a task of the step that would run there at the given pace, in
// percent. Higher is better.
func (e *Engine) score(s *step, c *candidate, pace int) float64 {
	capacity := float64(max(c.worker.info.GetMilliCpu(), 1))
	score := 0.0
	if near := s.def.GetNearRack(); near != "" && c.rack != near && !c.worker.hasLabel(near) {
		score -= weightNearRack
	}
	if c.cold {
		score -= weightCold
	}
	freeShare := float64(c.free.MilliCPU()) / capacity
	switch {
	case s.def.GetFills():
		if c.latencyCritical {
			score += e.scoreColocation(c.worker, s, pace)
		}
		score += weightFit * float64(c.idleMilliCPU) / capacity
	case s.latencyCritical():
		score += scoreLatencyCritical(c.worker, s.def.GetImage()) - weightFit*freeShare
	default:
		if c.latencyCritical {
			score += weightColocated
		}
		score += weightFit * freeShare
	}
	return score
}

// scoreLatencyCritical rates a worker for a latency-critical task. Tasks of one image are packed
// together and kept apart from those of other images, so that each best-effort image finds workers
// where it causes no interference.
func scoreLatencyCritical(w *worker, image string) (score float64) {
	otherImages := map[string]bool{}
	for _, r := range w.runs.list {
		switch {
		case !r.task.step.latencyCritical() || r.phase == phaseStopping:
		case r.task.step.def.GetImage() == image:
			score = weightSameImage
		default:
			otherImages[r.task.step.def.GetImage()] = true
		}
	}
	return score - weightOtherImage*float64(len(otherImages))
}

// scoreColocation rates a worker with latency-critical tasks for a best-effort task. Tasks that
// cause no interference prefer such workers, which leaves workers without latency-critical tasks to
// the others.
func (e *Engine) scoreColocation(w *worker, s *step, pace int) float64 {
	interference := e.colocation(w, s).interference
	if pace < fullPace || interference > negligibleInterference {
		return -weightInterference * (1 + interference - float64(pace)/fullPace)
	}
	return weightColocated
}

// assign reserves resources of a candidate for a new run of a task and adds the run.
func (e *Engine) assign(t *task, c *candidate, number uint32, now time.Duration) {
	c.reserve(t.step)
	e.addRun(t, c, number, now)
}

// addRun adds a run on a candidate whose resources are already reserved. The start is sent once the
// run is durable.
func (e *Engine) addRun(t *task, c *candidate, number uint32, now time.Duration) {
	s := t.step
	r := &run{task: t, number: number, reserved: s.resources(), pace: 100, milliCPU: s.def.GetMilliCpu(), incarnation: c.worker.info, foreignLease: now < c.worker.foreignLeaseEnd, checkpoint: t.checkpoint, progressedAt: now}
	t.lastRun = number
	t.runs = append(t.runs, r)
	s.job().liveRuns++
	c.worker.attach(r)
	c.reserved[s]--
	c.reservedRuns--
	e.markDirty(s.job())
	e.options.Log.Info("task placed", "task", t.name(), "run", number, "node", c.worker.node, "wait-ms", (now - t.waitingSince).Milliseconds(), "resumes", t.checkpoint != "", "report-age-ms", (now - c.worker.reportedAt).Milliseconds())
}

// preempt stops runs of lower priority on the worker where the least work is lost, so that a task
// of the step can be placed there in a later round. None is stopped while others may have room that a
// new owner doesn't know of yet.
func (e *Engine) preempt(s *step, now time.Duration) {
	if now-s.preemptedAt < preemptInterval && s.preemptedAt > 0 || e.awaitsReports(now) || !e.evacuationsKnown(now) {
		return
	}
	var victims []*run
	cost := 0.0
	for _, w := range e.sortedWorkers() {
		if !w.schedulable(now) || e.isEvacuated(w) || e.offeredShare(w, now) < 1 || !e.eligible(s, w, now) {
			continue
		}
		if v, c := e.victims(w, s, now); v != nil && (victims == nil || c < cost) {
			victims, cost = v, c
		}
	}
	if victims == nil {
		return
	}
	s.preemptedAt = now
	for _, r := range victims {
		e.stopRun(r, now, "preempted by "+s.name())
	}
}

// victims returns the runs of lower priority to be stopped so that a task of the step fits on a
// worker, and the cost of the work that would be lost. It returns nil if the task fits once the
// runs that are already being stopped have ended, or if no set of runs makes enough room.
// Long-running tasks and gangs are never preempted. A run with checkpoints counts for a quarter,
// since it resumes from the last one.
func (e *Engine) victims(w *worker, s *step, now time.Duration) (victims []*run, cost float64) {
	free := w.free()
	for _, r := range w.runs.list {
		// The resources of a run that is being stopped become free without preemption.
		if r.phase == phaseStopping {
			free = free.Plus(r.reserved)
		}
	}
	if s.resources().Fits(free) {
		return nil, 0
	}
	for {
		var next *run
		nextLoss := 0.0
		for _, r := range w.runs.list {
			if r.phase != phaseRunning || r.task.step.job().queue.Priority <= s.job().queue.Priority || r.task.step.def.GetLasting() || r.task.step.def.GetGang() || r.reserved.MilliCPU() == 0 || slices.Contains(victims, r) {
				continue
			}
			loss := float64(r.milliCPU) * float64((now - r.startedAt).Milliseconds())
			if r.task.step.def.GetCheckpoints() {
				loss /= 4
			}
			if next == nil || loss < nextLoss {
				next, nextLoss = r, loss
			}
		}
		if next == nil {
			return nil, 0
		}
		victims, cost = append(victims, next), cost+nextLoss
		free = free.Plus(next.reserved)
		if s.resources().Fits(free) {
			return victims, cost
		}
	}
}
