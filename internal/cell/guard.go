package cell

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	// calmShare is the share of the throttle threshold below which throttles are lifted.
	calmShare = 0.7
	calmHold  = 5 * time.Second
	// throttleDelay is the least time between two throttles on one worker, so that the
	// first shows in the reports before the second is decided.
	throttleDelay = 2 * time.Second
	budgetBurst   = 2.0
	// throttleShare is the share of its processors that a throttled task keeps.
	throttleShare = 0.25
	// harmMin is the inflation below which a task is left alone: to throttle or evict it
	// would not make the services faster.
	harmMin         = 0.03
	microsPerSecond = 1e6
)

// budget bounds the evictions of a cell over time.
type budget struct {
	tokens float64
	at     time.Time
}

func (b *budget) take(now time.Time, perMinute float64) bool {
	if b.at.IsZero() {
		b.tokens = budgetBurst
	} else {
		b.tokens = min(budgetBurst, b.tokens+now.Sub(b.at).Minutes()*perMinute)
	}
	b.at = now
	if b.tokens < 1 || perMinute <= 0 {
		return false
	}
	b.tokens--
	return true
}

// pressure returns the largest ratio of a kind's latency to its target.
func (w *worker) pressure() (worst float64) {
	for _, p := range w.pressures {
		if p.GetTargetMicros() > 0 {
			worst = max(worst, float64(p.GetP99Micros())/float64(p.GetTargetMicros()))
		}
	}
	return worst
}

// learn attributes the latencies of a report to the classes that ran beside the services.
func (o *Owner) learn(w *worker, now time.Time) {
	for _, p := range w.pressures {
		o.c.model.Update(interfere.Observation{
			Kind: p.GetKind(), Samples: int(p.GetSamples()),
			Mean: float64(p.GetMeanMicros()) / microsPerSecond, Tail: float64(p.GetP99Micros()) / microsPerSecond,
		}, w.beside)
	}
}

// observeUse notes what runs on a worker from now on.
func (w *worker) observeUse(now time.Time) {
	processors := map[string]float64{}
	for _, a := range w.assigned {
		if a.confirmed {
			processors[a.class] += w.cores(a)
		}
	}
	w.beside.RecordUsage(now, processors)
}

// caution is how little is dared with classes that were seen seldom: the square of the
// weight of tail latency.
func (o *Owner) caution() float64 {
	d := o.options.Document()
	if d == nil {
		return 0
	}
	return d.Objective.TailLatency * d.Objective.TailLatency
}

// guard protects services from the tasks beside them, except on workers that yield.
func (o *Owner) guard(now time.Time) {
	d := o.options.Document()
	o.reviewYields(now)
	for _, w := range o.c.workers {
		if d == nil || !d.Guards.Enabled || w.given() {
			clear(w.throttled)
			w.pressedAt = time.Time{}
			continue
		}
		o.guardWorker(w, d.Guards, now)
	}
}

// guardWorker throttles what is expected to harm too much, throttles more if the services
// are still too slow, and evicts what harms most if that was not enough for long.
func (o *Owner) guardWorker(w *worker, g document.Guards, now time.Time) {
	o.throttleExpected(w, g.ThrottleAt)
	pressure := w.pressure()
	switch {
	case pressure >= g.ThrottleAt:
		w.calmAt = time.Time{}
		o.throttleMeasured(w, pressure, now)
	case pressure < g.ThrottleAt*calmShare:
		o.calm(w, g.ThrottleAt, now)
	}
	if pressure < g.EvictAt {
		w.pressedAt = time.Time{}
		return
	}
	if w.pressedAt.IsZero() {
		w.pressedAt = now
	}
	if now.Sub(w.pressedAt) >= g.Hold.D() && o.c.budget.take(now, g.EvictionsPerMinute) {
		o.evict(w, pressure, now)
	}
}

// blocks reports whether a task that adds the given inflation would, throttled, bring a
// worker's services past a share of the throttle threshold.
func (o *Owner) blocks(w *worker, inflation, share float64) bool {
	d := o.options.Document()
	if d == nil || !d.Guards.Enabled || inflation < harmMin {
		return false
	}
	return o.expectedWith(w, inflation*throttleShare) >= d.Guards.ThrottleAt*share
}

// expected returns the ratio of latency to target that the model expects on a worker for
// the kind of request that is closest to its target.
func (o *Owner) expected(w *worker) float64 { return o.expectedWith(w, 0) }

// expectedWith is expected with a further inflation.
func (o *Owner) expectedWith(w *worker, further float64) (worst float64) {
	inflation := 1 + further
	for _, a := range w.assigned {
		inflation += o.harm(w, a)
	}
	d := o.options.Document()
	if d == nil {
		return 0
	}
	for name := range w.serving {
		service := d.Service(name)
		if service == nil {
			continue
		}
		for _, k := range service.Kinds {
			worst = max(worst, o.c.model.TailLatency(k.Name, w.beside)/k.Target.D().Seconds()*inflation)
		}
	}
	return worst
}

// cores returns the processors that an assignment uses.
func (w *worker) cores(a *assignment) float64 {
	cores := float64(a.reserved.MilliCPU()) / 1000
	if w.throttled[a.task] {
		cores *= throttleShare
	}
	return cores
}

// throttleExpected throttles until the model expects the services to be fast enough.
func (o *Owner) throttleExpected(w *worker, limit float64) {
	for expected := o.expected(w); expected >= limit; expected = o.expected(w) {
		a := o.worst(w, func(a *assignment) bool { return !w.throttled[a.task] })
		if a == nil {
			return
		}
		o.throttle(w, a, expected, "expected")
	}
}

// throttleNew throttles a task that is about to start if the model expects the services
// to be too slow otherwise.
func (o *Owner) throttleNew(w *worker, a *assignment) {
	d := o.options.Document()
	if d == nil || !d.Guards.Enabled || w.given() || o.harm(w, a) < harmMin {
		return
	}
	if expected := o.expected(w); expected >= d.Guards.ThrottleAt {
		o.throttle(w, a, expected, "expected from the start")
	}
}

// throttleMeasured throttles one task because the services are too slow all the same.
func (o *Owner) throttleMeasured(w *worker, pressure float64, now time.Time) {
	if now.Before(w.guardUntil) {
		return
	}
	a := o.worst(w, func(a *assignment) bool { return !w.throttled[a.task] })
	if a == nil {
		return
	}
	w.guardUntil = now.Add(throttleDelay)
	o.throttle(w, a, pressure, "measured")
}

func (o *Owner) throttle(w *worker, a *assignment, pressure float64, reason string) {
	w.throttled[a.task] = true
	o.options.Metrics.GuardActions.WithLabelValues("throttle").Inc()
	o.log.Info("task throttled", "worker", w.Name, "task", a.task, "class", a.class, "pressure", pressure, "reason", reason)
}

// calm lifts one throttle after the worker has been calm for a while, if the model expects
// it to stay so.
func (o *Owner) calm(w *worker, limit float64, now time.Time) {
	if w.calmAt.IsZero() {
		w.calmAt = now
	}
	if len(w.throttled) == 0 || now.Sub(w.calmAt) < calmHold {
		return
	}
	w.calmAt = now
	for task := range w.throttled {
		delete(w.throttled, task)
		if o.expected(w) >= limit*calmShare {
			w.throttled[task] = true
			continue
		}
		o.options.Metrics.GuardActions.WithLabelValues("lift").Inc()
		o.log.Info("throttle lifted", "worker", w.Name, "task", task)
		return
	}
}

func (o *Owner) evict(w *worker, pressure float64, now time.Time) {
	a := o.worst(w, func(a *assignment) bool { return a.confirmed && !a.evict && !a.stop })
	if a == nil {
		return
	}
	a.evict = true
	w.pressedAt = now
	w.guardUntil = now.Add(throttleDelay)
	o.options.Metrics.GuardActions.WithLabelValues("evict").Inc()
	o.log.Info("task evicted", "worker", w.Name, "task", a.task, "class", a.class, "pressure", pressure)
}

// harm returns the inflation that an assignment is expected to cause.
func (o *Owner) harm(w *worker, a *assignment) float64 {
	return o.c.model.UpperBound(a.class, o.caution()) * w.cores(a)
}

// worst returns the assignment that is expected to harm the services most, or nil if none
// that is eligible harms them noticeably.
func (o *Owner) worst(w *worker, eligible func(*assignment) bool) (worst *assignment) {
	highest := harmMin
	for _, a := range w.assigned {
		h := o.harm(w, a)
		if eligible(a) && (h > highest || h == highest && (worst == nil || a.task < worst.task)) {
			worst, highest = a, h
		}
	}
	return worst
}
