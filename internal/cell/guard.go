package cell

import (
	"time"
)

const (
	// calmShare is the share of the throttle threshold below which throttles are lifted.
	calmShare = 0.7
	calmHold  = 5 * time.Second
	// throttleDelay is the least time between two throttles on one worker, so that the
	// first shows in the reports before the second is decided.
	throttleDelay = 2 * time.Second
	budgetBurst   = 2.0
	throttleCores = 0.25
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
	processors := map[string]float64{}
	for _, a := range w.assigned {
		cores := float64(a.reserved.MilliCPU()) / 1000
		if w.throttled[a.task] {
			cores *= throttleCores
		}
		processors[a.class] += cores
	}
	w.mix.Observe(now, processors)
	for _, p := range w.pressures {
		o.c.model.Learn(p.GetKind(), time.Duration(p.GetP99Micros()*int64(time.Microsecond)).Seconds(), w.mix)
	}
}

// guard protects services from the tasks beside them: it throttles first and evicts what
// harms most if that was not enough for long.
func (o *Owner) guard(now time.Time) {
	d := o.options.Document()
	for _, w := range o.c.workers {
		if d == nil || !d.Guards.Enabled {
			clear(w.throttled)
			continue
		}
		pressure := w.pressure()
		switch {
		case pressure >= d.Guards.ThrottleAt:
			w.calmAt = time.Time{}
			o.throttle(w, pressure, now)
		case pressure < d.Guards.ThrottleAt*calmShare:
			o.calm(w, now)
		}
		if pressure < d.Guards.EvictAt {
			w.pressedAt = time.Time{}
			continue
		}
		if w.pressedAt.IsZero() {
			w.pressedAt = now
		}
		if now.Sub(w.pressedAt) >= d.Guards.Hold.D() && o.c.budget.take(now, d.Guards.EvictionsPerMinute) {
			o.evict(w, pressure, now)
		}
	}
}

func (o *Owner) throttle(w *worker, pressure float64, now time.Time) {
	a := o.worst(w, func(a *assignment) bool { return !w.throttled[a.task] })
	if a == nil || now.Before(w.guardUntil) {
		return
	}
	w.throttled[a.task] = true
	w.guardUntil = now.Add(throttleDelay)
	o.options.Metrics.Guards.WithLabelValues("throttle").Inc()
	o.log.Info("task throttled", "worker", w.Name, "task", a.task, "class", a.class, "pressure", pressure)
}

// calm lifts one throttle after the worker has been calm for a while.
func (o *Owner) calm(w *worker, now time.Time) {
	if w.calmAt.IsZero() {
		w.calmAt = now
	}
	if len(w.throttled) == 0 || now.Sub(w.calmAt) < calmHold {
		return
	}
	w.calmAt = now
	for task := range w.throttled {
		delete(w.throttled, task)
		o.options.Metrics.Guards.WithLabelValues("lift").Inc()
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
	o.options.Metrics.Guards.WithLabelValues("evict").Inc()
	o.log.Info("task evicted", "worker", w.Name, "task", a.task, "class", a.class, "pressure", pressure)
}

// worst returns the assignment that is expected to harm the services most.
func (o *Owner) worst(w *worker, eligible func(*assignment) bool) (worst *assignment) {
	harm := -1.0
	for _, a := range w.assigned {
		h := o.c.model.Harm(a.class) * float64(a.reserved.MilliCPU())
		if eligible(a) && (h > harm || h == harm && a.task < worst.task) {
			worst, harm = a, h
		}
	}
	return worst
}
