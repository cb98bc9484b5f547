// Package interfere learns how much each class of batch task slows the services beside it.
//
// The mean latency of a kind of request is taken to be its undisturbed latency, times the
// worker's own factor, times one plus the sum over the classes of their harm by the
// processors that they use. All of these are estimated together by a Kalman filter of which
// only the variances are kept. Reports lag and overlap, so the processors are averaged over
// the time that a report describes, and a report weighs as much as it brings that is new.
package interfere

import (
	"math"
	"time"
)

const (
	// span is the time that a report describes.
	span = 5 * time.Second
	// unseenHarm is the standard deviation of the harm of a class that was never seen, as
	// inflation per processor.
	unseenHarm = 0.3
	// unseenBase and unseenSpeed are the relative ones of a kind's latency and a worker's factor.
	unseenBase  = 0.5
	unseenSpeed = 0.2
	// drift is the variance that each estimate gains per second, as what is estimated moves.
	drift = 0.05 * 0.05 / 60
	// outlier bounds a surprise to this many standard deviations.
	outlier = 3.0
	// tailWeight is the weight of a report in the ratio of tail to mean latency.
	tailWeight = 0.02
	// scaleMin keeps an estimate of a latency positive.
	scaleMin = 0.1
)

// estimate is a value with its variance.
type estimate struct {
	value    float64
	variance float64
	prior    float64
	at       time.Time
}

func newEstimate(now time.Time, value, deviation float64) *estimate {
	return &estimate{value: value, variance: deviation * deviation, prior: deviation * deviation, at: now}
}

// age lets the variance grow with the time since the last use, at most to what it was first.
func (e *estimate) age(now time.Time) {
	e.variance = min(e.prior, e.variance+drift*max(0, now.Sub(e.at).Seconds()))
	e.at = now
}

// correct shrinks the variance by an observation of a given slope and total variance, and
// returns the weight of its surprise.
func (e *estimate) correct(slope, total float64) float64 {
	gain := e.variance * slope / total
	e.variance -= gain * slope * e.variance
	return gain
}

// kind is what is known of a kind of request.
type kind struct {
	// base is the undisturbed mean latency in seconds, with a relative variance.
	base *estimate
	// tail is the ratio of the p99 to the mean.
	tail float64
}

// Model is what is known of the classes' harm; it is not safe for concurrent use.
type Model struct {
	harm  map[string]*estimate
	kinds map[string]*kind
}

// New returns a Model that knows nothing.
func New() *Model {
	return &Model{harm: map[string]*estimate{}, kinds: map[string]*kind{}}
}

// Observation is an agent's word on the latency of a kind of request, in seconds.
type Observation struct {
	Kind    string
	Mean    float64
	Tail    float64
	Samples int
}

// Update takes in the latency of a kind of request on a worker.
func (m *Model) Update(o Observation, w *Worker) {
	if o.Samples <= 0 || o.Mean <= 0 {
		return
	}
	news := w.news(o.Kind)
	if news <= 0 {
		return
	}
	processors := w.average()
	predicted := 1.0
	total := 1 / (news * float64(o.Samples))
	for class, x := range processors {
		h := m.class(w.at, class)
		predicted += h.value * x
		total += h.variance * x * x
	}
	k := m.kinds[o.Kind]
	if k == nil {
		k = &kind{base: newEstimate(w.at, o.Mean/predicted, unseenBase), tail: o.Tail / o.Mean}
		m.kinds[o.Kind] = k
	}
	k.base.age(w.at)
	total += (k.base.variance + w.speed.variance) * predicted * predicted
	surprise := o.Mean/(k.base.value*w.speed.value) - predicted
	bound := outlier * math.Sqrt(total)
	surprise = min(max(surprise, -bound), bound)
	k.base.value *= max(scaleMin, 1+k.base.correct(predicted, total)*surprise)
	w.speed.value *= max(scaleMin, 1+w.speed.correct(predicted, total)*surprise)
	for class, x := range processors {
		h := m.harm[class]
		h.value = max(0, h.value+h.correct(x, total)*surprise)
	}
	k.tail += tailWeight * (o.Tail/o.Mean - k.tail)
}

func (m *Model) class(now time.Time, name string) *estimate {
	h := m.harm[name]
	if h == nil {
		h = newEstimate(now, 0, unseenHarm)
		m.harm[name] = h
	}
	h.age(now)
	return h
}

// Interference returns the inflation that one processor's worth of class is expected to cause.
func (m *Model) Interference(class string) float64 { return m.UpperBound(class, 0) }

// UpperBound returns Harm with a margin for what is not known for sure; caution in [0, 1] scales
// the margin.
func (m *Model) UpperBound(class string, caution float64) float64 {
	h := m.harm[class]
	if h == nil {
		return caution * unseenHarm
	}
	return h.value + caution*math.Sqrt(h.variance)
}

// TailLatency returns the p99 latency of a kind of request on an undisturbed worker in seconds, 0
// if it is unknown.
func (m *Model) TailLatency(kind string, w *Worker) float64 {
	k := m.kinds[kind]
	if k == nil {
		return 0
	}
	return k.base.value * k.tail * w.speed.value
}
