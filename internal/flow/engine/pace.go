package engine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Pacing answers tasks that fill and disturb tasks that serve beside them, by amounts that
// differ by pair of images and change within seconds. Of the room that each serving task
// has below its target, the filling images that disturb least get theirs first; a tail at
// its target stops those that disturb it at all, and one far beyond it stops the rest.
const (
	paceInterval = 500 * time.Millisecond
	// paceHeadroom is the headroom that tasks which serve are left with.
	paceHeadroom = 1.15
	// paceOver is the headroom at which all that disturb are stopped, paceFar that at which
	// even those are that are taken to disturb nobody.
	paceOver = 1.06
	paceFar  = 0.85
	// paceStep is the least change of a pace that is worth an order, in percent.
	paceStep = 8
	// paceFirst is the pace, in percent, of a task that starts beside tasks which it may
	// disturb, and paceRise what it may gain in one interval.
	paceFirst = 60
	paceRise  = 30
	// releaseAfter is how long a task that fills is held back before it is stopped, and
	// releaseProgress how far, in percent, one that does not checkpoint may have come.
	releaseAfter    = 600 * time.Millisecond
	releaseProgress = 30
	// paceFull is the pace of a task that is not held back, in percent.
	paceFull = 100
)

// Served is a task that serves, as pacing sees it.
type Served struct {
	Image string
	// Base is its headroom without tasks that fill.
	Base float64
	// Ahead is what Base is expected to be in the next seconds.
	Ahead float64
	// Headroom is what was last measured, 0 if nothing was.
	Headroom float64
}

// Filling is the use of processors by one filling image on a worker.
type Filling struct {
	Image      string
	Processors float64
}

// Paces returns the pace of each filling image, in percent, in the order given.
func Paces(served []Served, fillings []Filling, harm func(serving, filling string) float64) []int {
	paces := make([]int, len(fillings))
	left := make([]float64, len(served))
	for i, s := range served {
		if s.Headroom > 0 && s.Headroom <= paceFar {
			return paces
		}
		left[i] = s.Base - paceHeadroom
	}
	order := make([]int, len(fillings))
	worst := make([]float64, len(fillings))
	// taken holds what each filling image takes from each serving task, one after the other.
	taken := make([]float64, len(fillings)*len(served))
	for i, f := range fillings {
		order[i] = i
		for k, s := range served {
			h := harm(s.Image, f.Image)
			worst[i] = max(worst[i], h)
			taken[i*len(served)+k] = h * f.Processors
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worst[a], worst[b]) })
	for _, i := range order {
		adds := taken[i*len(served) : (i+1)*len(served)]
		share := 1.0
		for k, s := range served {
			switch {
			case s.Headroom > 0 && s.Headroom <= paceOver && adds[k] > harmLight/2:
				share = 0
			case adds[k] > harmLight/2:
				share = min(share, max(0, left[k])/adds[k])
			}
		}
		for k := range served {
			left[k] -= adds[k] * share
		}
		paces[i] = int(math.Round(share * paceFull))
	}
	return paces
}

// pace learns from the newest readings and adjusts the pace of tasks that fill.
func (e *Engine) pace(now time.Duration) {
	if e.options.Policy.NoPacing || now-e.lastPacing < paceInterval {
		return
	}
	e.lastPacing = now
	for _, w := range e.sortedWorkers() {
		if w.connected && w.synced {
			e.paceWorker(w, now)
			e.release(w, now)
		}
	}
}

// release stops tasks that fill and have been held back for a while, if they lose little by
// it: they wait for a worker where they may work, and leave their room to others.
func (e *Engine) release(w *worker, now time.Duration) {
	for _, r := range w.runs.list {
		s := r.task.step
		if !s.def.GetFills() || r.phase != phaseRunning || r.pace >= fillPaceLeast || now-r.throttledSince < releaseAfter {
			continue
		}
		if s.def.GetCheckpoints() || r.progressPercent <= releaseProgress {
			e.stopRun(r, now, "held back by tasks that serve")
		}
	}
}

// learnPairs takes in the tails on a worker.
func (e *Engine) learnPairs(w *worker, now time.Duration) {
	var processors map[string]float64
	for _, r := range w.runs.list {
		if !r.atWork() || r.gauge <= 0 || r.gaugeAt == r.learnedGaugeAt {
			continue
		}
		if processors == nil {
			processors = w.usage.average(now)
		}
		r.learnedGaugeAt = r.gaugeAt
		e.interference.learn(&r.task.step.baseline, now, r.task.step.def.GetImage(), float64(r.gauge), float64(r.task.step.def.GetTargetMillis()), processors)
	}
}

// atWork reports whether a run serves its users now.
func (r *run) atWork() bool {
	return r.task.step.latencyCritical() && r.phase == phaseRunning && r.progressPercent >= paceFull
}

// fillingProcessors returns the processors that each filling image uses, as far as the
// worker has them to spare.
func (w *worker) fillingProcessors() map[string]float64 {
	used := map[string]float64{}
	total := 0.0
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() && r.phase == phaseRunning {
			x := float64(r.milliCPU) / 1000 * float64(r.pace) / paceFull
			used[r.task.step.def.GetImage()] += x
			total += x
		}
	}
	if spare := float64(w.bestEffortCapacity()) / 1000; total > spare && spare > 0 {
		for image := range used {
			used[image] *= spare / total
		}
	}
	return used
}

// served lists the tasks that serve on a worker.
func (w *worker) served() (served []Served) {
	for _, r := range w.runs.list {
		if !r.task.step.latencyCritical() || r.phase == phaseStopping {
			continue
		}
		s := Served{Image: r.task.step.def.GetImage(), Base: baseFirst, Ahead: baseFirst}
		if b := r.task.step.baseline; b.variance > 0 {
			s.Base, s.Ahead = b.value, b.ahead()
		}
		if r.atWork() {
			s.Headroom = float64(r.task.step.def.GetTargetMillis()) / float64(max(r.gauge, 1))
		}
		served = append(served, s)
	}
	return served
}

// fillings lists the filling images on a worker, at full pace and within its spare processors.
func (w *worker) fillings() (fillings []Filling) {
	byImage := map[string]float64{}
	total := 0.0
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() && r.phase != phaseStopping {
			byImage[r.task.step.def.GetImage()] += float64(r.milliCPU) / 1000
			total += float64(r.milliCPU) / 1000
		}
	}
	scale := 1.0
	if spare := max(0, float64(w.bestEffortCapacity())/1000); total > spare {
		scale = spare / total
	}
	for image, x := range byImage {
		fillings = append(fillings, Filling{Image: image, Processors: x * scale})
	}
	slices.SortFunc(fillings, func(a, b Filling) int { return cmp.Compare(a.Image, b.Image) })
	return fillings
}

func (e *Engine) harm(serving, filling string) float64 {
	return e.interference.bound(pair{serving, filling})
}

func (e *Engine) paceWorker(w *worker, now time.Duration) {
	if e.options.Policy.NoPacing {
		return
	}
	fillings := w.fillings()
	if len(fillings) == 0 {
		if len(w.usage.steps) > 0 {
			w.usage.note(now, nil)
		}
		return
	}
	defer func() { w.usage.note(now, w.fillingProcessors()) }()
	paces := map[string]int{}
	for i, p := range Paces(w.served(), fillings, e.harm) {
		paces[fillings[i].Image] = p
	}
	serving := w.hasLatencyCritical()
	for _, r := range w.runs.list {
		if !r.task.step.def.GetFills() || r.phase != phaseRunning {
			continue
		}
		next := paces[r.task.step.def.GetImage()]
		if serving && e.worstHarm(w, r.task.step) > harmLight {
			next = r.ramp(next, now)
		}
		if next == r.pace || next > r.pace && next < paceFull && next-r.pace < paceStep {
			continue
		}
		r.pacedAt = now
		if next < fillPaceLeast && r.pace >= fillPaceLeast {
			r.throttledSince = w.reportedAt
		}
		r.pace = next
		o := e.ordersFor(w)
		o.Paces = append(o.Paces, &flowpb.Pace{Task: r.task.name(), Run: r.number, Percent: int32(next)})
	}
}

// ramp bounds how fast a pace rises, so that what it does to others is seen in time.
func (r *run) ramp(next int, now time.Duration) int {
	switch {
	case r.pacedAt == 0:
		return min(next, paceFirst)
	case next > r.pace && now-r.pacedAt < paceInterval:
		return r.pace
	}
	return min(next, r.pace+paceRise)
}

// worstHarm returns the most headroom that a task takes from one that serves on a worker.
func (e *Engine) worstHarm(w *worker, s *step) (worst float64) {
	for _, served := range w.served() {
		worst = max(worst, e.harm(served.Image, s.def.GetImage())*float64(s.def.GetMilliCpu())/1000)
	}
	return worst
}

// expectedPace returns the pace that one more task of a filling image would get on a worker.
func (e *Engine) expectedPace(w *worker, s *step) int {
	served := w.served()
	if len(served) == 0 || e.options.Policy.NoPacing {
		return paceFull
	}
	for i := range served {
		served[i].Base = served[i].Ahead
	}
	fillings := append(w.fillings(), Filling{Image: s.def.GetImage(), Processors: float64(s.def.GetMilliCpu()) / 1000})
	paces := Paces(served, fillings, e.harm)
	return paces[len(paces)-1]
}
