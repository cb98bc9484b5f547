package engine

import "time"

// The rate at which work gets done answers runners that can do less than they have, since
// tasks that fill are held back: admission counts on what was seen under a backlog.
const (
	throughputInterval = 250 * time.Millisecond
	// throughputWeight is the weight of one more sample under a backlog.
	throughputWeight = 0.06
	// throughputGrowth is how fast the rate rises while nothing waits.
	throughputGrowth = 1.05
	// minThroughputShare is the least rate, as a share of what tasks that last leave, so that refusing
	// work can't lower the rate which has it refused.
	minThroughputShare = 0.4
	// minBacklogShare is how much must wait, as a share of what is at work, for the runners to be
	// taken to do all that they can.
	minBacklogShare = 0.3
	// maxThroughput bounds the rate where nothing was ever held back.
	maxThroughput = 1e12
)

// throughput is a moving average of the processors at work, in thousandths.
type throughput float64

func (t throughput) next(busy float64, backlog bool) throughput {
	switch {
	case !backlog:
		return throughput(min(max(float64(t), busy)*throughputGrowth, maxThroughput))
	case t == 0:
		return throughput(busy)
	}
	return t + throughput(throughputWeight*(busy-float64(t)))
}

// measureThroughput samples the processors that tasks which end have at work.
func (e *Engine) measureThroughput(now time.Duration) {
	if now-e.rated < throughputInterval {
		return
	}
	e.rated = now
	busy, available := 0.0, 0.0
	for _, w := range e.sortedWorkers() {
		available += float64(w.info.GetMilliCpu())
		for _, r := range w.runs.list {
			switch {
			case r.task.step.serves():
				available -= servingUse * float64(r.cpu)
			case r.task.step.def.GetLasting():
				available -= float64(r.cpu)
			}
			if !r.task.step.def.GetLasting() && r.phase == phaseStarted {
				busy += float64(r.cpu) * float64(r.pace) / fullPace
			}
		}
	}
	demand := 0.0
	for _, p := range e.pendingSteps(now) {
		if p.step.def.GetFills() {
			demand += float64(p.step.countPending(now)) * float64(p.step.def.GetMilliCpu())
		}
	}
	backlog := demand > minBacklogShare*busy
	if e.rate > 0 || backlog {
		e.rate = max(e.rate.next(busy, backlog), throughput(minThroughputShare*available))
	}
}
