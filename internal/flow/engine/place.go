package engine

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// fullPause is how long a runner that refused a task for want of room gets no other.
	fullPause = 300 * time.Millisecond
	// preemptPause is how long a step that preempted waits before it does so again.
	preemptPause = 500 * time.Millisecond
)

// seat is a worker during one placement round.
type seat struct {
	worker *worker
	free   driver.Resources
	// idle are the processors that tasks which fill may still use, in thousandths.
	idle    int64
	serving bool
	rack    string
}

// Place starts what waits where there is room, in order.
func (e *Engine) Place(now Timestamp) {
	if !e.placementDue {
		return
	}
	e.placementDue = false
	claims := e.claims(now.Monotonic)
	if len(claims) == 0 {
		return
	}
	seats := e.seats(now.Monotonic)
	for _, c := range claims {
		e.placeStep(c, seats, now.Monotonic)
	}
}

func (e *Engine) seats(now time.Duration) []*seat {
	var seats []*seat
	for _, w := range e.sortedWorkers() {
		if !w.schedulable(now) || now < w.fullUntil || e.evacuating[w.info.GetId()] || !w.health.admits(now, w.runs.len()) {
			continue
		}
		seats = append(seats, &seat{worker: w, free: w.free(), idle: w.bestEffortAvailable(), serving: w.hasLatencyCritical(), rack: w.rack()})
	}
	return seats
}

func (e *Engine) placeStep(c Claim, seats []*seat, now time.Duration) {
	s := c.step
	if s.def.GetGang() {
		e.placeGang(s, seats, now)
		return
	}
	offers := e.offers(s, seats, "", now)
	short := false
	for _, t := range s.tasks {
		if !t.pending(now) {
			continue
		}
		best := e.bestOffer(t, offers)
		if best == nil {
			short = true
			break
		}
		e.plan(t, best.seat, t.lastRun+1, now)
		e.refresh(best, s, now)
	}
	if short && (c.Priority == 0 || c.Lasting) {
		e.preempt(s, now)
	}
}

// offer is what a seat is worth to the tasks of one step.
type offer struct {
	seat    *seat
	allowed bool
	score   float64
}

// offers lists what the seats of a rack, or of all racks, are worth to a step.
func (e *Engine) offers(s *step, seats []*seat, rack string, now time.Duration) []offer {
	offers := make([]offer, 0, len(seats))
	for _, p := range seats {
		if rack != "" && p.rack != rack {
			continue
		}
		o := offer{seat: p}
		e.refresh(&o, s, now)
		if o.allowed {
			offers = append(offers, o)
		}
	}
	return offers
}

// refresh works out an offer, also anew after its seat has changed. A task that fills needs idle
// processors, and a seat on which tasks that serve don't hold it back, unless it has waited long.
func (e *Engine) refresh(o *offer, s *step, now time.Duration) {
	if o.allowed = e.placeable(s, o.seat, now); !o.allowed {
		return
	}
	pace := paceFull
	if s.def.GetFills() {
		if o.seat.idle < s.def.GetMilliCpu() {
			o.allowed = false
			return
		}
		pace = e.expectedPace(o.seat.worker, s)
		o.allowed = pace >= fillPaceLeast || now-s.waitSince() > fillPatience
	}
	if o.allowed {
		o.score = e.score(s, o.seat, pace)
	}
}

// bestOffer returns the offer that is worth most to a task, or nil.
func (e *Engine) bestOffer(t *task, offers []offer) *offer {
	var best *offer
	bestScore := 0.0
	for i := range offers {
		o := &offers[i]
		if !o.allowed {
			continue
		}
		score := o.score
		if t.avoidedNodes[o.seat.worker.node] {
			score -= weightAvoided
		}
		if e.options.Policy.RandomPlacement {
			score = chance(t.name(), o.seat.worker.node)
		}
		if best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best
}

// placeGang places all tasks of a gang or none.
func (e *Engine) placeGang(s *step, seats []*seat, now time.Duration) {
	number := uint32(0)
	for _, t := range s.tasks {
		if !t.pending(now) {
			return
		}
		number = max(number, t.lastRun)
	}
	racks := []string{""}
	if s.def.GetSameRack() {
		racks = append(racksOf(seats), "")
	}
	for _, rack := range racks {
		chosen := e.gangSeats(s, seats, rack, now)
		if chosen == nil {
			continue
		}
		checkpoint := s.tasks[0].checkpoint
		for i, t := range s.tasks {
			t.checkpoint = checkpoint
			e.planned(t, chosen[i], number+1, now)
		}
		return
	}
}

// gangSeats reserves a seat for each task of a gang, or nothing.
func (e *Engine) gangSeats(s *step, seats []*seat, rack string, now time.Duration) []*seat {
	var chosen []*seat
	offers := e.offers(s, seats, rack, now)
	for _, t := range s.tasks {
		best := e.bestOffer(t, offers)
		if best == nil {
			for _, c := range chosen {
				c.give(s)
			}
			return nil
		}
		best.seat.take(s)
		e.refresh(best, s, now)
		chosen = append(chosen, best.seat)
	}
	return chosen
}

func racksOf(seats []*seat) (racks []string) {
	known := map[string]bool{}
	for _, s := range seats {
		if !known[s.rack] {
			known[s.rack] = true
			racks = append(racks, s.rack)
		}
	}
	return racks
}

func (p *seat) take(s *step) {
	p.free = p.free.Minus(s.resources())
	if s.def.GetFills() {
		p.idle -= s.def.GetMilliCpu()
	} else {
		p.idle -= s.resources().MilliCPU()
	}
	p.serving = p.serving || s.latencyCritical()
}

func (p *seat) give(s *step) {
	p.free = p.free.Plus(s.resources())
	if s.def.GetFills() {
		p.idle += s.def.GetMilliCpu()
	} else {
		p.idle += s.resources().MilliCPU()
	}
}

// placeable reports whether the rules let a task run on a seat and it has room.
func (e *Engine) placeable(s *step, p *seat, now time.Duration) bool {
	w := p.worker
	if w.info.GetService() != s.job().queue.Service || !w.hasLabel(s.def.GetRequiresLabel()) || !s.resources().Fits(p.free) {
		return false
	}
	if s.job().queue.Advised {
		if t, ticketed := s.tickets[w.info.GetId()]; !ticketed || now >= t.expiresAt {
			return false
		}
	}
	if most := s.def.GetMaxPerRunner(); most > 0 {
		same := uint32(0)
		for _, r := range w.runs.list {
			if r.task.step == s {
				same++
			}
		}
		if same >= most {
			return false
		}
	}
	return true
}

const (
	// fillPaceLeast is the pace, in percent, that a task which fills must expect.
	fillPaceLeast = 50
	// fillPatience is how long such a task waits before it takes any room.
	fillPatience = 6000 * time.Millisecond
	// harmLight is the headroom that a task may take and still count as one that disturbs
	// nobody.
	harmLight = 0.2
)

// waitSince returns since when the task of the step that has waited longest waits.
func (s *step) waitSince() time.Duration {
	since := time.Duration(-1)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && (since < 0 || t.waitingSince < since) {
			since = t.waitingSince
		}
	}
	return since
}

// Weights of a placement. Tasks that fill harm tasks that serve beside them, so the two are
// kept apart while there is room; tasks that serve are packed by image.
const (
	weightApart   = 100.0
	weightBeside  = 10.0
	weightSame    = 100.0
	weightMixed   = 10.0
	weightRack    = 1000.0
	weightAvoided = 500.0
	weightFit     = 1.0
)

// score tells what a seat is worth to a task of a step, which would run at a pace there.
func (e *Engine) score(s *step, p *seat, pace int) float64 {
	capacity := float64(max(p.worker.info.GetMilliCpu(), 1))
	score := 0.0
	if near := s.def.GetNearRack(); near != "" && p.rack != near && !p.worker.hasLabel(near) {
		score -= weightRack
	}
	free := float64(p.free.MilliCPU()) / capacity
	switch {
	case s.def.GetFills():
		if p.serving {
			score += e.scoreBeside(p.worker, s, pace)
		}
		score += weightFit * float64(p.idle) / capacity
	case s.latencyCritical():
		score += scoreServing(p.worker, s.def.GetImage()) - weightFit*free
	default:
		if p.serving {
			score += weightBeside
		}
		score += weightFit * free
	}
	return score
}

// scoreServing scores a task that serves: tasks of one image are packed together and apart from
// those of others, so that every filling image finds workers where it disturbs nobody.
func scoreServing(w *worker, image string) (score float64) {
	others := map[string]bool{}
	for _, r := range w.runs.list {
		switch {
		case !r.task.step.latencyCritical() || r.phase == phaseStopping:
		case r.task.step.def.GetImage() == image:
			score = weightSame
		default:
			others[r.task.step.def.GetImage()] = true
		}
	}
	return score - weightMixed*float64(len(others))
}

// scoreBeside scores a task that fills beside tasks that serve: those that disturb nobody
// are placed there first, which leaves other workers to the rest.
func (e *Engine) scoreBeside(w *worker, s *step, pace int) float64 {
	worst := e.worstHarm(w, s)
	if pace < paceFull || worst > harmLight {
		return -weightApart * (1 + worst - float64(pace)/paceFull)
	}
	return weightBeside
}

// plan reserves a seat for a run of a task.
func (e *Engine) plan(t *task, p *seat, number uint32, now time.Duration) {
	p.take(t.step)
	e.planned(t, p, number, now)
}

// planned adds a run; it is sent once it is durable.
func (e *Engine) planned(t *task, p *seat, number uint32, now time.Duration) {
	s := t.step
	r := &run{task: t, number: number, reserved: s.resources(), pace: 100, milliCPU: s.def.GetMilliCpu(), incarnation: p.worker.info, checkpoint: t.checkpoint, progressedAt: now}
	t.lastRun = number
	t.runs = append(t.runs, r)
	p.worker.attach(r)
	e.markDirty(s.job())
	e.options.Log.Info("task placed", "task", t.name(), "run", number, "node", p.worker.node, "wait-ms", (now - t.waitingSince).Milliseconds(), "resumes", t.checkpoint != "", "report-age-ms", (now - p.worker.reportedAt).Milliseconds())
}

// preempt stops work of a lower priority where the least is lost, so that a task of the
// step finds room in a later round.
func (e *Engine) preempt(s *step, now time.Duration) {
	if now-s.preemptedAt < preemptPause && s.preemptedAt > 0 {
		return
	}
	var victims []*run
	cost := 0.0
	for _, w := range e.sortedWorkers() {
		if !w.schedulable(now) || w.info.GetService() != s.job().queue.Service || !w.hasLabel(s.def.GetRequiresLabel()) {
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
		e.stopRun(r, now, "room for "+s.name())
	}
}

// victims returns runs of a lower priority that make room for a task of the step on a
// worker, and the work that would be lost.
func (e *Engine) victims(w *worker, s *step, now time.Duration) (victims []*run, cost float64) {
	free := w.free()
	for _, r := range w.runs.list {
		// What is on its way out makes room by itself.
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
