package engine

import "time"

// Throughput is the number of processors that finite tasks use in practice. It can be far below the
// capacity of the runners, since best-effort tasks are throttled for the sake of latency-critical
// ones. Admission of best-effort jobs uses the throughput measured under a backlog, when the
// runners do all that they can.
const (
	throughputInterval = 250 * time.Millisecond
	// throughputWeight is the weight of a new sample in the moving average under a backlog.
	throughputWeight = 0.06
	// throughputGrowth is the factor by which the throughput grows per sample without a backlog,
	// when samples show the demand and not what the runners could do.
	throughputGrowth = 1.05
	// minThroughputShare bounds the throughput from below, as a share of the processors that
	// long-running tasks leave. Without it, refusing work would lower the throughput and cause
	// further refusals.
	minThroughputShare = 0.4
	// minBacklogShare is the demand of pending best-effort tasks, as a share of the processors in
	// use, above which there is a backlog: the runners are then assumed to do all that they can.
	minBacklogShare = 0.3
	// maxThroughput bounds the growth while there never is a backlog.
	maxThroughput = 1e12
)

// throughput is a moving average of the processors in use, in milli-CPU.
type throughput float64

// next returns the throughput after a sample of the processors in use.
func (t throughput) next(busy float64, backlog bool) throughput {
	switch {
	case !backlog:
		return throughput(min(max(float64(t), busy)*throughputGrowth, maxThroughput))
	case t == 0:
		return throughput(busy)
	}
	return t + throughput(throughputWeight*(busy-float64(t)))
}

// measureThroughput samples the processors that finite tasks use, once per throughputInterval.
func (e *Engine) measureThroughput(now time.Duration) {
	if now-e.lastRateSample < throughputInterval {
		return
	}
	e.lastRateSample = now
	busy, available := 0.0, 0.0
	for _, w := range e.sortedWorkers() {
		if e.isEvacuated(w) {
			continue
		}
		available += float64(w.info.GetMilliCpu())
		for _, r := range w.runs.list {
			switch {
			case r.task.step.latencyCritical():
				available -= latencyCriticalUtilization * float64(r.milliCPU)
			case r.task.step.def.GetLasting():
				available -= float64(r.milliCPU)
			}
			if !r.task.step.def.GetLasting() && r.phase == phaseRunning {
				busy += float64(r.milliCPU) * float64(r.pace) / fullPace
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
	if e.throughput > 0 || backlog {
		e.throughput = max(e.throughput.next(busy, backlog), throughput(minThroughputShare*available))
	}
}
