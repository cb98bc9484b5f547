package cell

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	// lowPressureShare is the fraction of the throttle threshold below which throttles are lifted.
	lowPressureShare = 0.7
	lowPressureHold  = 5 * time.Second
	// throttleInterval is the least time between two throttles on a worker, so that reports show the
	// effect of the first before a second is decided.
	throttleInterval = 2 * time.Second
	evictionBurst    = 2.0
	// throttledCPUShare is the fraction of its processors that a throttled task keeps.
	throttledCPUShare = 0.25
	// interferenceMin is the latency inflation below which a task is neither throttled nor evicted,
	// as that would not make the services noticeably faster.
	interferenceMin = 0.03
	microsPerSecond = 1e6
)

// evictionBudget is a token bucket that limits the rate of evictions in a cell.
type evictionBudget struct {
	tokens float64
	at     time.Time
}

func (b *evictionBudget) take(now time.Time, perMinute float64) bool {
	if b.at.IsZero() {
		b.tokens = evictionBurst
	} else {
		b.tokens = min(evictionBurst, b.tokens+now.Sub(b.at).Minutes()*perMinute)
	}
	b.at = now
	if b.tokens < 1 || perMinute <= 0 {
		return false
	}
	b.tokens--
	return true
}

// pressure returns the highest ratio of tail latency to target among the worker's kinds of
// requests.
func (w *worker) pressure() (worst float64) {
	for _, p := range w.pressures {
		if p.GetTargetMicros() > 0 {
			worst = max(worst, float64(p.GetP99Micros())/float64(p.GetTargetMicros()))
		}
	}
	return worst
}

// learnInterference updates the interference model with the latencies of a worker's latest report.
func (o *Owner) learnInterference(w *worker, now time.Time) {
	for _, p := range w.pressures {
		o.control.model.Update(interfere.Observation{
			Kind: p.GetKind(), Samples: int(p.GetSamples()),
			Mean: float64(p.GetMeanMicros()) / microsPerSecond, Tail: float64(p.GetP99Micros()) / microsPerSecond,
		}, w.interferenceState)
	}
}

// observeProcessors records the processors that each class uses on the worker from now on.
func (w *worker) observeProcessors(now time.Time) {
	processors := map[string]float64{}
	for _, a := range w.assigned {
		if a.mayHaveRun {
			processors[a.class] += w.cores(a)
		}
	}
	w.interferenceState.RecordUsage(now, processors)
}

// caution returns how conservatively the interference of rarely observed classes is estimated: the
// square of the weight that the document gives to tail latency.
func (o *Owner) caution() float64 {
	d := o.options.Document()
	if d == nil {
		return 0
	}
	return d.Objective.TailLatency * d.Objective.TailLatency
}

// applyGuards protects services from the tasks on the same worker. Yielding workers are exempt
// unless they are being reclaimed.
func (o *Owner) applyGuards(now time.Time) {
	d := o.options.Document()
	o.reviewYieldingWorkers(now)
	for _, w := range o.control.workers {
		if d == nil || !d.Guards.Enabled || w.exemptFromGuards() {
			clear(w.throttled)
			w.evictPressureSince = time.Time{}
			continue
		}
		o.applyWorkerGuards(w, d.Guards, now)
	}
}

// applyWorkerGuards throttles tasks whose expected interference is too high, throttles further
// ones while measured latency is still too high, and evicts the most interfering task if the
// pressure stays above the eviction threshold for the configured time.
func (o *Owner) applyWorkerGuards(w *worker, g document.Guards, now time.Time) {
	o.throttleByModel(w, g.ThrottleAt)
	pressure := w.pressure()
	switch {
	case pressure >= g.ThrottleAt:
		w.lowPressureSince = time.Time{}
		o.throttleByLatency(w, pressure, now)
	case pressure < g.ThrottleAt*lowPressureShare:
		o.liftThrottle(w, g.ThrottleAt, now)
	}
	if pressure < g.EvictAt {
		w.evictPressureSince = time.Time{}
		return
	}
	if w.evictPressureSince.IsZero() {
		w.evictPressureSince = now
	}
	if now.Sub(w.evictPressureSince) >= g.Hold.D() && o.control.evictionBudget.take(now, g.EvictionsPerMinute) {
		o.evictMostInterfering(w, pressure, now)
	}
}

// wouldOverload reports whether a task with the given interference, even if throttled, would raise
// the worker's expected pressure to the given fraction of the throttle threshold.
func (o *Owner) wouldOverload(w *worker, inflation, share float64) bool {
	d := o.options.Document()
	if d == nil || !d.Guards.Enabled || inflation < interferenceMin {
		return false
	}
	return o.expectedPressureWith(w, inflation*throttledCPUShare) >= d.Guards.ThrottleAt*share
}

// expectedPressure returns the highest ratio of tail latency to target that the model predicts for
// the services on a worker.
func (o *Owner) expectedPressure(w *worker) float64 { return o.expectedPressureWith(w, 0) }

// expectedPressureWith is expectedPressure with additional latency inflation.
func (o *Owner) expectedPressureWith(w *worker, extra float64) (worst float64) {
	inflation := 1 + extra
	for _, a := range w.assigned {
		inflation += o.interference(w, a)
	}
	d := o.options.Document()
	if d == nil {
		return 0
	}
	for name := range w.services {
		service := d.Service(name)
		if service == nil {
			continue
		}
		for _, k := range service.Kinds {
			worst = max(worst, o.control.model.TailLatency(k.Name, w.interferenceState)/k.Target.D().Seconds()*inflation)
		}
	}
	return worst
}

// cores returns the number of processors that an assignment may use, which is less while it is
// throttled.
func (w *worker) cores(a *assignment) float64 {
	cores := float64(a.reserved.MilliCPU()) / 1000
	if w.throttled[a.task] {
		cores *= throttledCPUShare
	}
	return cores
}

// throttleByModel throttles tasks until the predicted pressure is below limit.
func (o *Owner) throttleByModel(w *worker, limit float64) {
	for expected := o.expectedPressure(w); expected >= limit; expected = o.expectedPressure(w) {
		a := o.mostInterfering(w, func(a *assignment) bool { return !w.throttled[a.task] })
		if a == nil {
			return
		}
		o.throttle(w, a, expected, "expected")
	}
}

// throttleAtStart throttles a task that is about to start if the predicted pressure would
// otherwise be too high.
func (o *Owner) throttleAtStart(w *worker, a *assignment) {
	d := o.options.Document()
	if d == nil || !d.Guards.Enabled || w.exemptFromGuards() || o.interference(w, a) < interferenceMin {
		return
	}
	if expected := o.expectedPressure(w); expected >= d.Guards.ThrottleAt {
		o.throttle(w, a, expected, "expected from the start")
	}
}

// throttleByLatency throttles one more task because the measured latency is too high despite the
// prediction.
func (o *Owner) throttleByLatency(w *worker, pressure float64, now time.Time) {
	if now.Before(w.nextThrottle) {
		return
	}
	a := o.mostInterfering(w, func(a *assignment) bool { return !w.throttled[a.task] })
	if a == nil {
		return
	}
	w.nextThrottle = now.Add(throttleInterval)
	o.throttle(w, a, pressure, "measured")
}

func (o *Owner) throttle(w *worker, a *assignment, pressure float64, reason string) {
	w.throttled[a.task] = true
	o.options.Metrics.GuardActions.WithLabelValues("throttle").Inc()
	o.log.Info("task throttled", "worker", w.Name, "task", a.task, "class", a.class, "pressure", pressure, "reason", reason)
}

// liftThrottle lifts one throttle after the pressure has been low for lowPressureHold, provided
// that the model predicts it to stay low.
func (o *Owner) liftThrottle(w *worker, limit float64, now time.Time) {
	if w.lowPressureSince.IsZero() {
		w.lowPressureSince = now
	}
	if len(w.throttled) == 0 || now.Sub(w.lowPressureSince) < lowPressureHold {
		return
	}
	w.lowPressureSince = now
	for task := range w.throttled {
		delete(w.throttled, task)
		if o.expectedPressure(w) >= limit*lowPressureShare {
			w.throttled[task] = true
			continue
		}
		o.options.Metrics.GuardActions.WithLabelValues("lift").Inc()
		o.log.Info("throttle lifted", "worker", w.Name, "task", task)
		return
	}
}

func (o *Owner) evictMostInterfering(w *worker, pressure float64, now time.Time) {
	a := o.mostInterfering(w, func(a *assignment) bool { return a.mayHaveRun && !a.evictRequested && !a.stopRequested })
	if a == nil {
		return
	}
	a.evictRequested = true
	w.evictPressureSince = now
	w.nextThrottle = now.Add(throttleInterval)
	o.options.Metrics.GuardActions.WithLabelValues("evict").Inc()
	o.log.Info("task evicted", "worker", w.Name, "task", a.task, "class", a.class, "pressure", pressure)
}

// interference returns the latency inflation that an assignment is expected to cause.
func (o *Owner) interference(w *worker, a *assignment) float64 {
	return o.control.model.UpperBound(a.class, o.caution()) * w.cores(a)
}

// mostInterfering returns the eligible assignment with the highest expected interference, or nil
// if none exceeds interferenceMin.
func (o *Owner) mostInterfering(w *worker, eligible func(*assignment) bool) (worst *assignment) {
	highest := interferenceMin
	for _, a := range w.assigned {
		h := o.interference(w, a)
		if eligible(a) && (h > highest || h == highest && (worst == nil || a.task < worst.task)) {
			worst, highest = a, h
		}
	}
	return worst
}
