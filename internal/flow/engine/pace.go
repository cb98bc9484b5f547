package engine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Pacing slows down best-effort tasks that interfere with latency-critical tasks on the same
// worker. The interference differs by pair of images and changes within seconds. The spare headroom
// of each latency-critical task is given first to the best-effort images that interfere least. When
// the tail latency reaches the target, the images that interfere with the task are stopped; when it
// is far above the target, all best-effort tasks on the worker are.
const (
	paceInterval = 500 * time.Millisecond
	// reservedHeadroom is the headroom that pacing leaves to latency-critical tasks.
	reservedHeadroom = 1.15
	// stopInterferingHeadroom is the measured headroom at or below which all images with more than
	// negligible interference are stopped; at stopAllHeadroom all best-effort images are.
	stopInterferingHeadroom = 1.06
	stopAllHeadroom         = 0.85
	// minPaceChange is the smallest increase of a pace, in percent, that is sent to the runner,
	// except for an increase to fullPace.
	minPaceChange = 8
	// initialPace is the pace, in percent, at which a task starts on a worker with latency-critical
	// tasks that it may interfere with. maxPaceRise is the largest increase per paceInterval,
	// in percent.
	initialPace = 60
	maxPaceRise = 30
	// keepBestEffortPace is the pace, in percent, below which a best-effort task counts as throttled.
	keepBestEffortPace = 80
	// throttledStopDelay is how long a task may be throttled before it is stopped. A task without
	// checkpoints is only stopped up to throttledStopMaxProgress, in percent.
	throttledStopDelay       = 600 * time.Millisecond
	throttledStopMaxProgress = 30
	// fullPace is the pace, in percent, of a task that is not throttled.
	fullPace = 100
	// paceRepeatInterval is how often a pace is sent again until driver.MaxOrderDelay after its change. A
	// runner does not report paces. One that got no answer may be lost, or be carried out after newer ones.
	paceRepeatInterval = 2 * time.Second
)

// LatencyCriticalTask is the state of a latency-critical task that pacing uses. Headroom is the
// target divided by the tail latency.
type LatencyCriticalTask struct {
	Image string
	// BaseHeadroom is the estimated headroom without best-effort tasks on the worker.
	BaseHeadroom float64
	// ForecastHeadroom is the BaseHeadroom that is expected for the next seconds.
	ForecastHeadroom float64
	// MeasuredHeadroom is the last measurement, or 0 if there is none.
	MeasuredHeadroom float64
}

// BestEffortUse is the number of processors that one best-effort image uses on a worker.
type BestEffortUse struct {
	Image      string
	Processors float64
}

// Paces returns the pace of each best-effort image, in percent, in the order of bestEffort. The
// function interference returns the headroom of a latency-critical image that one processor of a
// best-effort image takes. An image that takes at most half of negligibleInterference from a task
// is not slowed down to protect that task.
func Paces(critical []LatencyCriticalTask, bestEffort []BestEffortUse, interference func(latencyCritical, bestEffort string) float64) []int {
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
	// consumed holds the headroom that each best-effort image takes from each latency-critical task
	// at full pace, in rows by best-effort image.
	consumed := make([]float64, len(bestEffort)*len(critical))
	for i, b := range bestEffort {
		order[i] = i
		for k, s := range critical {
			h := interference(s.Image, b.Image)
			worst[i] = max(worst[i], h)
			consumed[i*len(critical)+k] = h * b.Processors
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

// adjustPaces sets the paces of best-effort tasks on all workers and stops those that have been
// throttled for too long, once per paceInterval.
func (e *Engine) adjustPaces(now time.Duration) {
	if e.options.Policy.NoPacing || now-e.lastPacing < paceInterval {
		return
	}
	e.lastPacing = now
	for _, w := range e.sortedWorkers() {
		if w.connected && w.synced {
			e.paceWorker(w, now)
			e.stopThrottled(w, now)
		}
	}
}

// stopThrottled stops best-effort tasks that have run below keepBestEffortPace for
// throttledStopDelay and lose little work by it. They then wait for a worker where they can run
// faster, and their resources become free for other tasks.
func (e *Engine) stopThrottled(w *worker, now time.Duration) {
	for _, r := range w.runs.list {
		s := r.task.step
		if !s.def.GetFills() || r.phase != phaseRunning || r.pace >= keepBestEffortPace || now-r.throttledSince < throttledStopDelay {
			continue
		}
		if s.def.GetCheckpoints() || r.progressPercent <= throttledStopMaxProgress {
			e.stopRun(r, now, "paced down for latency-critical tasks")
		}
	}
}

// learnInterference updates the interference model with the new tail latencies measured on a
// worker.
func (e *Engine) learnInterference(w *worker, now time.Duration) {
	var processors map[string]float64
	for _, r := range w.runs.list {
		if !r.serving() || r.gauge <= 0 || r.gaugeAt == r.learnedGaugeAt {
			continue
		}
		if processors == nil {
			processors = w.usage.average(now)
		}
		r.learnedGaugeAt = r.gaugeAt
		e.interference.learn(&r.task.step.baseline, now, r.task.step.def.GetImage(), float64(r.gauge), float64(r.task.step.def.GetTargetMillis()), processors)
	}
}

// serving reports whether a run is latency-critical and ready, so that its latency is meaningful.
func (r *run) serving() bool {
	return r.task.step.latencyCritical() && r.phase == phaseRunning && r.progressPercent >= fullPace
}

// bestEffortProcessors returns the processors that each best-effort image uses at its current pace,
// scaled down in proportion if their sum exceeds the spare processors of the worker.
func (w *worker) bestEffortProcessors() map[string]float64 {
	used := map[string]float64{}
	total := 0.0
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() && r.phase == phaseRunning {
			x := float64(r.milliCPU) / 1000 * float64(r.pace) / fullPace
			used[r.task.step.def.GetImage()] += x
			total += x
		}
	}
	if available := float64(w.bestEffortCapacity()) / 1000; total > available && available > 0 {
		for image := range used {
			used[image] *= available / total
		}
	}
	return used
}

// latencyCriticalTasks returns the latency-critical tasks on a worker, except those being stopped.
func (w *worker) latencyCriticalTasks() (tasks []LatencyCriticalTask) {
	for _, r := range w.runs.list {
		if !r.task.step.latencyCritical() || r.phase == phaseStopping {
			continue
		}
		s := LatencyCriticalTask{Image: r.task.step.def.GetImage(), BaseHeadroom: initialBaseHeadroom, ForecastHeadroom: initialBaseHeadroom}
		if b := r.task.step.baseline; b.variance > 0 {
			s.BaseHeadroom, s.ForecastHeadroom = b.value, b.forecast()
		}
		if r.serving() {
			s.MeasuredHeadroom = float64(r.task.step.def.GetTargetMillis()) / float64(max(r.gauge, 1))
		}
		tasks = append(tasks, s)
	}
	return tasks
}

// bestEffortUses returns the processors that each best-effort image on a worker would use at full
// pace, scaled down in proportion if their sum exceeds the spare processors. The result is sorted
// by image.
func (w *worker) bestEffortUses() (uses []BestEffortUse) {
	byImage := map[string]float64{}
	total := 0.0
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() && r.phase != phaseStopping {
			byImage[r.task.step.def.GetImage()] += float64(r.milliCPU) / 1000
			total += float64(r.milliCPU) / 1000
		}
	}
	scale := 1.0
	if available := max(0, float64(w.bestEffortCapacity())/1000); total > available {
		scale = available / total
	}
	for image, x := range byImage {
		uses = append(uses, BestEffortUse{Image: image, Processors: x * scale})
	}
	slices.SortFunc(uses, func(a, b BestEffortUse) int { return cmp.Compare(a.Image, b.Image) })
	return uses
}

// interferenceBound returns an upper bound of the headroom of a latency-critical image that one
// processor of a best-effort image takes.
func (e *Engine) interferenceBound(critical, bestEffort string) float64 {
	return e.interference.upperBound(imagePair{critical, bestEffort})
}

// paceWorker sets the paces of the best-effort tasks on a worker and records their processor use.
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
	for i, p := range Paces(w.latencyCriticalTasks(), uses, e.interferenceBound) {
		paces[uses[i].Image] = p
	}
	critical := w.hasLatencyCritical()
	for _, r := range w.runs.list {
		if !r.task.step.def.GetFills() || r.phase != phaseRunning {
			continue
		}
		pace := paces[r.task.step.def.GetImage()]
		if critical && e.maxInterference(w, r.task.step) > negligibleInterference {
			pace = r.limitRise(pace, now)
		}
		if pace == r.pace || pace > r.pace && pace < fullPace && pace-r.pace < minPaceChange {
			if now < r.repeatPaceUntil && now-r.paceSentAt >= paceRepeatInterval {
				e.sendPace(r, now)
			}
			continue
		}
		r.pacedAt, r.repeatPaceUntil = now, now+driver.MaxOrderDelay
		if pace < keepBestEffortPace && r.pace >= keepBestEffortPace {
			r.throttledSince = w.reportedAt
		}
		r.pace = pace
		e.sendPace(r, now)
	}
}

// sendPace sends the pace of a run to its runner.
func (e *Engine) sendPace(r *run, now time.Duration) {
	r.paceSentAt = now
	o := e.ordersFor(r.worker)
	o.Paces = append(o.Paces, &flowpb.Pace{Task: r.task.name(), Run: r.number, Percent: int32(r.pace)})
}

// limitRise limits how fast the pace of a run rises, so that its interference is measured before
// the pace rises further.
func (r *run) limitRise(pace int, now time.Duration) int {
	switch {
	case r.pacedAt == 0:
		return min(pace, initialPace)
	case pace > r.pace && now-r.pacedAt < paceInterval:
		return r.pace
	}
	return min(pace, r.pace+maxPaceRise)
}

// maxInterference returns the largest headroom that a task of the step would take from any
// latency-critical task on a worker.
func (e *Engine) maxInterference(w *worker, s *step) (highest float64) {
	for _, task := range w.latencyCriticalTasks() {
		highest = max(highest, e.interferenceBound(task.Image, s.def.GetImage())*float64(s.def.GetMilliCpu())/1000)
	}
	return highest
}

// bestEffortTask is what a task of a best-effort step has in common with others that interfere alike.
type bestEffortTask struct {
	image    string
	milliCPU int64
}

// colocation is what one more task of a best-effort step can expect beside the tasks on a worker: its
// pace, in percent, and the largest headroom that it would take from a latency-critical task.
type colocation struct {
	pace         int
	interference float64
}

// colocation returns what a task of a best-effort step can expect on a worker. It is computed anew
// once the worker has listed its runs again or has others, since a placement round asks for each
// pending step and worker.
func (e *Engine) colocation(w *worker, s *step) colocation {
	key := bestEffortTask{image: s.def.GetImage(), milliCPU: s.def.GetMilliCpu()}
	c, cached := w.colocations[key]
	if !cached {
		c = colocation{pace: e.expectedPace(w, s), interference: e.maxInterference(w, s)}
		w.colocations[key] = c
	}
	return c
}

// expectedPace returns the pace, in percent, that one more task of a best-effort step would get on
// a worker. It uses the forecast headroom, since the task runs for seconds.
func (e *Engine) expectedPace(w *worker, s *step) int {
	tasks := w.latencyCriticalTasks()
	if len(tasks) == 0 || e.options.Policy.NoPacing {
		return fullPace
	}
	for i := range tasks {
		tasks[i].BaseHeadroom = tasks[i].ForecastHeadroom
	}
	uses := append(w.bestEffortUses(), BestEffortUse{Image: s.def.GetImage(), Processors: float64(s.def.GetMilliCpu()) / 1000})
	paces := Paces(tasks, uses, e.interferenceBound)
	return paces[len(paces)-1]
}
