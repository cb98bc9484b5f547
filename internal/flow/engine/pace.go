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
	// reservedHeadroom is the headroom that tasks which serve are left with.
	reservedHeadroom = 1.15
	// stopInterferingHeadroom is the headroom at which all that disturb are stopped, paceFar that at which
	// even those are that are taken to disturb nobody.
	stopInterferingHeadroom = 1.06
	stopAllHeadroom         = 0.85
	// minPaceChange is the least change of a pace that is worth an order, in percent.
	minPaceChange = 8
	// initialPace is the pace, in percent, of a task that starts beside tasks which it may
	// disturb, and paceRise what it may gain in one interval.
	initialPace = 60
	maxPaceRise = 30
	// throttledStopDelay is how long a task that fills is held back before it is stopped, and
	// releaseProgress how far, in percent, one that does not checkpoint may have come.
	throttledStopDelay       = 600 * time.Millisecond
	throttledStopMaxProgress = 30
	// fullPace is the pace of a task that is not held back, in percent.
	fullPace = 100
)

// LatencyCriticalTask is a task that serves, as pacing sees it.
type LatencyCriticalTask struct {
	Image string
	// BaseHeadroom is its headroom without tasks that fill.
	BaseHeadroom float64
	// ForecastHeadroom is what Base is expected to be in the next seconds.
	ForecastHeadroom float64
	// MeasuredHeadroom is what was last measured, 0 if nothing was.
	MeasuredHeadroom float64
}

// BestEffortUse is the use of processors by one filling image on a worker.
type BestEffortUse struct {
	Image      string
	Processors float64
}

// Paces returns the pace of each filling image, in percent, in the order given.
func Paces(critical []LatencyCriticalTask, bestEffort []BestEffortUse, interference func(serving, filling string) float64) []int {
	paces := make([]int, len(bestEffort))
	spare := make([]float64, len(critical))
	for i, s := range critical {
		if s.MeasuredHeadroom > 0 && s.MeasuredHeadroom <= stopAllHeadroom {
			return paces
		}
		spare[i] = s.BaseHeadroom - reservedHeadroom
	}
	order := make([]int, len(bestEffort))
	worst := make([]float64, len(bestEffort))
	// consumed holds what each filling image takes from each serving task, one after the other.
	consumed := make([]float64, len(bestEffort)*len(critical))
	for i, f := range bestEffort {
		order[i] = i
		for k, s := range critical {
			h := interference(s.Image, f.Image)
			worst[i] = max(worst[i], h)
			consumed[i*len(critical)+k] = h * f.Processors
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worst[a], worst[b]) })
	for _, i := range order {
		need := consumed[i*len(critical) : (i+1)*len(critical)]
		share := 1.0
		for k, s := range critical {
			switch {
			case s.MeasuredHeadroom > 0 && s.MeasuredHeadroom <= stopInterferingHeadroom && need[k] > negligibleInterference/2:
				share = 0
			case need[k] > negligibleInterference/2:
				share = min(share, max(0, spare[k])/need[k])
			}
		}
		for k := range critical {
			spare[k] -= need[k] * share
		}
		paces[i] = int(math.Round(share * fullPace))
	}
	return paces
}

// adjustPaces learns from the newest readings and adjusts the adjustPaces of tasks that fill.
func (e *Engine) adjustPaces(now time.Duration) {
	if e.options.Policy.NoPacing || now-e.paced < paceInterval {
		return
	}
	e.paced = now
	for _, w := range e.sortedWorkers() {
		if w.connected && w.synced {
			e.paceWorker(w, now)
			e.stopThrottled(w, now)
		}
	}
}

// stopThrottled stops tasks that fill and have been held back for a while, if they lose little by
// it: they wait for a worker where they may work, and leave their room to others.
func (e *Engine) stopThrottled(w *worker, now time.Duration) {
	for _, r := range w.runs.list {
		s := r.task.step
		if !s.def.GetFills() || r.phase != phaseStarted || r.pace >= minBestEffortPace || now-r.heldAt < throttledStopDelay {
			continue
		}
		if s.def.GetCheckpoints() || r.percent <= throttledStopMaxProgress {
			e.stop(r, now, "held back by tasks that serve")
		}
	}
}

// learnInterference takes in the tails on a worker.
func (e *Engine) learnInterference(w *worker, now time.Duration) {
	var processors map[string]float64
	for _, r := range w.runs.list {
		if !r.serving() || r.gauge <= 0 || r.gaugeAt == r.learnedAt {
			continue
		}
		if processors == nil {
			processors = w.usage.average(now)
		}
		r.learnedAt = r.gaugeAt
		e.pairs.learn(&r.task.step.base, now, r.task.step.def.GetImage(), float64(r.gauge), float64(r.task.step.def.GetTargetMillis()), processors)
	}
}

// serving reports whether a run serves its users now.
func (r *run) serving() bool {
	return r.task.step.serves() && r.phase == phaseStarted && r.percent >= fullPace
}

// bestEffortProcessors returns the processors that each filling image uses, as far as the
// worker has them to spare.
func (w *worker) bestEffortProcessors() map[string]float64 {
	used := map[string]float64{}
	total := 0.0
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() && r.phase == phaseStarted {
			x := float64(r.cpu) / 1000 * float64(r.pace) / fullPace
			used[r.task.step.def.GetImage()] += x
			total += x
		}
	}
	if available := float64(w.spare()) / 1000; total > available && available > 0 {
		for image := range used {
			used[image] *= available / total
		}
	}
	return used
}

// latencyCriticalTasks lists the latencyCriticalTasks that serve on a worker.
func (w *worker) latencyCriticalTasks() (tasks []LatencyCriticalTask) {
	for _, r := range w.runs.list {
		if !r.task.step.serves() || r.phase == phaseStopping {
			continue
		}
		s := LatencyCriticalTask{Image: r.task.step.def.GetImage(), BaseHeadroom: initialBaseHeadroom, ForecastHeadroom: initialBaseHeadroom}
		if b := r.task.step.base; b.variance > 0 {
			s.BaseHeadroom, s.ForecastHeadroom = b.value, b.forecast()
		}
		if r.serving() {
			s.MeasuredHeadroom = float64(r.task.step.def.GetTargetMillis()) / float64(max(r.gauge, 1))
		}
		tasks = append(tasks, s)
	}
	return tasks
}

// bestEffortUses lists the filling images on a worker, at full pace and within its spare processors.
func (w *worker) bestEffortUses() (uses []BestEffortUse) {
	byImage := map[string]float64{}
	total := 0.0
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() && r.phase != phaseStopping {
			byImage[r.task.step.def.GetImage()] += float64(r.cpu) / 1000
			total += float64(r.cpu) / 1000
		}
	}
	scale := 1.0
	if available := max(0, float64(w.spare())/1000); total > available {
		scale = available / total
	}
	for image, x := range byImage {
		uses = append(uses, BestEffortUse{Image: image, Processors: x * scale})
	}
	slices.SortFunc(uses, func(a, b BestEffortUse) int { return cmp.Compare(a.Image, b.Image) })
	return uses
}

func (e *Engine) interference(critical, bestEffort string) float64 {
	return e.pairs.upperBound(imagePair{critical, bestEffort})
}

func (e *Engine) paceWorker(w *worker, now time.Duration) {
	if e.options.Policy.NoPacing {
		return
	}
	uses := w.bestEffortUses()
	if len(uses) == 0 {
		if len(w.usage.periods) > 0 {
			w.usage.record(now, nil)
		}
		return
	}
	defer func() { w.usage.record(now, w.bestEffortProcessors()) }()
	paces := map[string]int{}
	for i, p := range Paces(w.latencyCriticalTasks(), uses, e.interference) {
		paces[uses[i].Image] = p
	}
	critical := w.serving()
	for _, r := range w.runs.list {
		if !r.task.step.def.GetFills() || r.phase != phaseStarted {
			continue
		}
		pace := paces[r.task.step.def.GetImage()]
		if critical && e.maxInterference(w, r.task.step) > negligibleInterference {
			pace = r.limitRise(pace, now)
		}
		if pace == r.pace || pace > r.pace && pace < fullPace && pace-r.pace < minPaceChange {
			continue
		}
		r.pacedAt = now
		if pace < minBestEffortPace && r.pace >= minBestEffortPace {
			r.heldAt = w.reported
		}
		r.pace = pace
		o := e.orders(w)
		o.Paces = append(o.Paces, &flowpb.Pace{Task: r.task.name(), Run: r.number, Percent: int32(pace)})
	}
}

// limitRise bounds how fast a pace rises, so that what it does to others is seen in time.
func (r *run) limitRise(pace int, now time.Duration) int {
	switch {
	case r.pacedAt == 0:
		return min(pace, initialPace)
	case pace > r.pace && now-r.pacedAt < paceInterval:
		return r.pace
	}
	return min(pace, r.pace+maxPaceRise)
}

// maxInterference returns the most headroom that a task takes from one that serves on a worker.
func (e *Engine) maxInterference(w *worker, s *step) (most float64) {
	for _, task := range w.latencyCriticalTasks() {
		most = max(most, e.interference(task.Image, s.def.GetImage())*float64(s.def.GetMilliCpu())/1000)
	}
	return most
}

// expectedPace returns the pace that one more task of a filling image would get on a worker.
func (e *Engine) expectedPace(w *worker, s *step) int {
	tasks := w.latencyCriticalTasks()
	if len(tasks) == 0 || e.options.Policy.NoPacing {
		return fullPace
	}
	for i := range tasks {
		tasks[i].BaseHeadroom = tasks[i].ForecastHeadroom
	}
	uses := append(w.bestEffortUses(), BestEffortUse{Image: s.def.GetImage(), Processors: float64(s.def.GetMilliCpu()) / 1000})
	paces := Paces(tasks, uses, e.interference)
	return paces[len(paces)-1]
}
