package engine

import "time"

// The rate at which work gets done answers runners that can do less than they have, since
// tasks that fill are held back: admission counts on what was seen under a backlog.
const (
	rateInterval = 250 * time.Millisecond
	// rateWeight is the weight of one more sample under a backlog.
	rateWeight = 0.06
	// rateRise is how fast the rate rises while nothing waits.
	rateRise = 1.05
	// rateLeast is the least rate, as a share of what tasks that last leave, so that refusing
	// work can't lower the rate which has it refused.
	rateLeast = 0.4
	// rateBacklog is how much must wait, as a share of what is at work, for the runners to be
	// taken to do all that they can.
	rateBacklog = 0.3
	// rateMost bounds the rate where nothing was ever held back.
	rateMost = 1e12
)

// rate is a moving average of the processors at work, in thousandths.
type rate float64

func (r rate) next(atWork float64, backlog bool) rate {
	switch {
	case !backlog:
		return rate(min(max(float64(r), atWork)*rateRise, rateMost))
	case r == 0:
		return rate(atWork)
	}
	return r + rate(rateWeight*(atWork-float64(r)))
}

// measureRate samples the processors that tasks which end have at work.
func (e *Engine) measureRate(now time.Duration) {
	if now-e.lastRateSample < rateInterval {
		return
	}
	e.lastRateSample = now
	atWork, left := 0.0, 0.0
	for _, w := range e.sortedWorkers() {
		left += float64(w.info.GetMilliCpu())
		for _, r := range w.runs.list {
			switch {
			case r.task.step.latencyCritical():
				left -= latencyCriticalUtilization * float64(r.milliCPU)
			case r.task.step.def.GetLasting():
				left -= float64(r.milliCPU)
			}
			if !r.task.step.def.GetLasting() && r.phase == phaseRunning {
				atWork += float64(r.milliCPU) * float64(r.pace) / paceFull
			}
		}
	}
	waiting := 0.0
	for _, c := range e.claims(now) {
		if c.step.def.GetFills() {
			waiting += float64(c.step.waiting(now)) * float64(c.step.def.GetMilliCpu())
		}
	}
	backlog := waiting > rateBacklog*atWork
	if e.throughput > 0 || backlog {
		e.throughput = max(e.throughput.next(atWork, backlog), rate(rateLeast*left))
	}
}
