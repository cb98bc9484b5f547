package engine

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// refusalBackoff is how long a runner that refused a task for want of room gets no other.
	refusalBackoff = 300 * time.Millisecond
	// preemptInterval is how long a step that preempted waits before it does so again.
	preemptInterval = 500 * time.Millisecond
)

// candidate is a worker during one placement round.
type candidate struct {
	worker *worker
	free   driver.Resources
	// idleMilliCPU are the processors that tasks which fill may still use, in thousandths.
	idleMilliCPU    int64
	latencyCritical bool
	rack            string
}

// Place starts what waits where there is room, in order.
func (e *Engine) Place(now Moment) {
	if !e.stirred {
		return
	}
	e.stirred = false
	claims := e.pendingSteps(now.Steady)
	if len(claims) == 0 {
		return
	}
	candidates := e.candidates(now.Steady)
	for _, c := range claims {
		e.placeStep(c, candidates, now.Steady)
	}
}

func (e *Engine) candidates(now time.Duration) []*candidate {
	var candidates []*candidate
	for _, w := range e.sortedWorkers() {
		if !w.usable(now) || now < w.fullUntil || e.emptied[w.info.GetId()] || !w.health.admits(now, w.runs.len()) {
			continue
		}
		candidates = append(candidates, &candidate{worker: w, free: w.free(), idleMilliCPU: w.idle(), latencyCritical: w.serving(), rack: w.rack()})
	}
	return candidates
}

func (e *Engine) placeStep(c PendingStep, candidates []*candidate, now time.Duration) {
	s := c.step
	if s.def.GetGang() {
		e.placeGang(s, candidates, now)
		return
	}
	scored := e.scoreCandidates(s, candidates, "", now)
	noCandidate := false
	for _, t := range s.tasks {
		if !t.waits(now) {
			continue
		}
		best := e.bestCandidate(t, scored)
		if best == nil {
			noCandidate = true
			break
		}
		e.assign(t, best.candidate, t.lastRun+1, now)
		e.rescore(best, s, now)
	}
	if noCandidate && (c.Priority == 0 || c.LongRunning) {
		e.preempt(s, now)
	}
}

// scoredCandidate is what a seat is worth to the tasks of one step.
type scoredCandidate struct {
	candidate *candidate
	feasible  bool
	score     float64
}

// scoreCandidates lists what the seats of a rack, or of all racks, are worth to a step.
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

// rescore works out an offer, also anew after its seat has changed. A task that fills needs idle
// processors, and a seat on which tasks that serve don't hold it back, unless it has waited long.
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
		pace = e.expectedPace(c.candidate.worker, s)
		c.feasible = pace >= minBestEffortPace || now-s.longestWaitStart() > bestEffortMaxWait
	}
	if c.feasible {
		c.score = e.score(s, c.candidate, pace)
	}
}

// bestCandidate returns the offer that is worth most to a task, or nil.
func (e *Engine) bestCandidate(t *task, scored []scoredCandidate) *scoredCandidate {
	var best *scoredCandidate
	bestScore := 0.0
	for i := range scored {
		o := &scored[i]
		if !o.feasible {
			continue
		}
		score := o.score
		if t.avoided[o.candidate.worker.node] {
			score -= weightAvoided
		}
		if e.options.Policy.RandomPlacement {
			score = randomScore(t.name(), o.candidate.worker.node)
		}
		if best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best
}

// placeGang places all tasks of a gang or none.
func (e *Engine) placeGang(s *step, candidates []*candidate, now time.Duration) {
	lastRun := uint32(0)
	for _, t := range s.tasks {
		if !t.waits(now) {
			return
		}
		lastRun = max(lastRun, t.lastRun)
	}
	racks := []string{""}
	if s.def.GetSameRack() {
		racks = append(racksOf(candidates), "")
	}
	for _, rack := range racks {
		reserved := e.reserveGang(s, candidates, rack, now)
		if reserved == nil {
			continue
		}
		checkpoint := s.tasks[0].checkpoint
		for i, t := range s.tasks {
			t.checkpoint = checkpoint
			e.addRun(t, reserved[i], lastRun+1, now)
		}
		return
	}
}

// reserveGang reserves a seat for each task of a gang, or nothing.
func (e *Engine) reserveGang(s *step, candidates []*candidate, rack string, now time.Duration) []*candidate {
	var reserved []*candidate
	scored := e.scoreCandidates(s, candidates, rack, now)
	for _, t := range s.tasks {
		best := e.bestCandidate(t, scored)
		if best == nil {
			for _, c := range reserved {
				c.release(s)
			}
			return nil
		}
		best.candidate.reserve(s)
		e.rescore(best, s, now)
		reserved = append(reserved, best.candidate)
	}
	return reserved
}

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

func (c *candidate) reserve(s *step) {
	c.free = c.free.Minus(s.need())
	if s.def.GetFills() {
		c.idleMilliCPU -= s.def.GetMilliCpu()
	} else {
		c.idleMilliCPU -= s.need().MilliCPU()
	}
	c.latencyCritical = c.latencyCritical || s.serves()
}

func (c *candidate) release(s *step) {
	c.free = c.free.Plus(s.need())
	if s.def.GetFills() {
		c.idleMilliCPU += s.def.GetMilliCpu()
	} else {
		c.idleMilliCPU += s.need().MilliCPU()
	}
}

// feasible reports whether the rules let a task run on a seat and it has room.
func (e *Engine) feasible(s *step, c *candidate, now time.Duration) bool {
	w := c.worker
	if w.info.GetService() != s.job().queue.Service || !w.hasLabel(s.def.GetRequiresLabel()) || !s.need().Fits(c.free) {
		return false
	}
	if s.job().queue.Advised {
		if t, hasTicket := s.tickets[w.info.GetId()]; !hasTicket || now >= t.until {
			return false
		}
	}
	if limit := s.def.GetMaxPerRunner(); limit > 0 {
		running := uint32(0)
		for _, r := range w.runs.list {
			if r.task.step == s {
				running++
			}
		}
		if running >= limit {
			return false
		}
	}
	return true
}

const (
	// minBestEffortPace is the pace, in percent, that a task which fills must expect.
	minBestEffortPace = 50
	// bestEffortMaxWait is how long such a task waits before it takes any room.
	bestEffortMaxWait = 6000 * time.Millisecond
	// negligibleInterference is the headroom that a task may take and still count as one that disturbs
	// nobody.
	negligibleInterference = 0.2
)

// longestWaitStart returns since when the task of the step that has waited longest waits.
func (s *step) longestWaitStart() time.Duration {
	since := time.Duration(-1)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && (since < 0 || t.waitSince < since) {
			since = t.waitSince
		}
	}
	return since
}

// Weights of a placement. Tasks that fill harm tasks that serve beside them, so the two are
// kept apart while there is room; tasks that serve are packed by image.
const (
	weightInterference = 100.0
	weightColocated    = 10.0
	weightSameImage    = 100.0
	weightOtherImage   = 10.0
	weightNearRack     = 1000.0
	weightAvoided      = 500.0
	weightFit          = 1.0
)

// score tells what a seat is worth to a task of a step, which would run at a pace there.
func (e *Engine) score(s *step, c *candidate, pace int) float64 {
	capacity := float64(max(c.worker.info.GetMilliCpu(), 1))
	score := 0.0
	if near := s.def.GetNearRack(); near != "" && c.rack != near && !c.worker.hasLabel(near) {
		score -= weightNearRack
	}
	freeShare := float64(c.free.MilliCPU()) / capacity
	switch {
	case s.def.GetFills():
		if c.latencyCritical {
			score += e.scoreColocation(c.worker, s, pace)
		}
		score += weightFit * float64(c.idleMilliCPU) / capacity
	case s.serves():
		score += scoreLatencyCritical(c.worker, s.def.GetImage()) - weightFit*freeShare
	default:
		if c.latencyCritical {
			score += weightColocated
		}
		score += weightFit * freeShare
	}
	return score
}

// scoreLatencyCritical scores a task that serves: tasks of one image are packed together and apart from
// those of others, so that every filling image finds workers where it disturbs nobody.
func scoreLatencyCritical(w *worker, image string) (score float64) {
	otherImages := map[string]bool{}
	for _, r := range w.runs.list {
		switch {
		case !r.task.step.serves() || r.phase == phaseStopping:
		case r.task.step.def.GetImage() == image:
			score = weightSameImage
		default:
			otherImages[r.task.step.def.GetImage()] = true
		}
	}
	return score - weightOtherImage*float64(len(otherImages))
}

// scoreColocation scores a task that fills beside tasks that serve: those that disturb nobody
// are placed there first, which leaves other workers to the rest.
func (e *Engine) scoreColocation(w *worker, s *step, pace int) float64 {
	worst := e.maxInterference(w, s)
	if pace < fullPace || worst > negligibleInterference {
		return -weightInterference * (1 + worst - float64(pace)/fullPace)
	}
	return weightColocated
}

// assign reserves a seat for a run of a task.
func (e *Engine) assign(t *task, c *candidate, number uint32, now time.Duration) {
	c.reserve(t.step)
	e.addRun(t, c, number, now)
}

// addRun adds a run; it is sent once it is durable.
func (e *Engine) addRun(t *task, c *candidate, number uint32, now time.Duration) {
	s := t.step
	r := &run{task: t, number: number, need: s.need(), pace: 100, cpu: s.def.GetMilliCpu(), life: c.worker.info, checkpoint: t.checkpoint, advanced: now}
	t.lastRun = number
	t.runs = append(t.runs, r)
	c.worker.attach(r)
	e.mark(s.job())
	e.options.Log.Info("task placed", "task", t.name(), "run", number, "node", c.worker.node, "wait-ms", (now - t.waitSince).Milliseconds(), "resumes", t.checkpoint != "", "report-age-ms", (now - c.worker.reported).Milliseconds())
}

// preempt stops work of a lower priority where the least is lost, so that a task of the
// step finds room in a later round.
func (e *Engine) preempt(s *step, now time.Duration) {
	if now-s.preemptedAt < preemptInterval && s.preemptedAt > 0 {
		return
	}
	var victims []*run
	cost := 0.0
	for _, w := range e.sortedWorkers() {
		if !w.usable(now) || w.info.GetService() != s.job().queue.Service || !w.hasLabel(s.def.GetRequiresLabel()) {
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
		e.stop(r, now, "room for "+s.name())
	}
}

// victims returns runs of a lower priority that make room for a task of the step on a
// worker, and the work that would be lost.
func (e *Engine) victims(w *worker, s *step, now time.Duration) (victims []*run, cost float64) {
	free := w.free()
	for _, r := range w.runs.list {
		// What is on its way out makes room by itself.
		if r.phase == phaseStopping {
			free = free.Plus(r.need)
		}
	}
	if s.need().Fits(free) {
		return nil, 0
	}
	for {
		var next *run
		nextLoss := 0.0
		for _, r := range w.runs.list {
			if r.phase != phaseStarted || r.task.step.job().queue.Priority <= s.job().queue.Priority || r.task.step.def.GetLasting() || r.task.step.def.GetGang() || r.need.MilliCPU() == 0 || slices.Contains(victims, r) {
				continue
			}
			loss := float64(r.cpu) * float64((now - r.started).Milliseconds())
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
		free = free.Plus(next.need)
		if s.need().Fits(free) {
			return victims, cost
		}
	}
}
