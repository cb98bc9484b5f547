// Package interfere estimates how much each class of batch task slows the services that run
// on the same worker.
//
// The model predicts the mean latency of a kind of request as the product of the kind's base
// latency, the worker's latency factor and 1 + Σ interference(class) × processors(class),
// summed over the classes that run on the worker. A Kalman filter estimates all of these
// jointly; it keeps the variances and drops the covariances.
//
// A latency report describes the past few seconds and overlaps with the report before it.
// Processor usage is therefore averaged over the same window, and each report is weighted by
// the share of its window that the previous one did not cover.
package interfere

import (
	"math"
	"time"
)

const (
	// reportWindow is the period that a latency report describes.
	reportWindow = 5 * time.Second
	// priorInterferenceDev is the standard deviation of the interference of a class without
	// observations, as relative latency increase per processor.
	priorInterferenceDev = 0.3
	// priorBaseLatencyDev and priorLatencyFactorDev are the relative standard deviations of a kind's
	// base latency and of a worker's latency factor before any observation.
	priorBaseLatencyDev   = 0.5
	priorLatencyFactorDev = 0.2
	// processNoisePerSecond is the variance that each estimate gains per second, since the true values
	// change over time.
	processNoisePerSecond = 0.05 * 0.05 / 60
	// maxInnovation clamps an innovation to this many standard deviations, so that outliers
	// have a bounded effect.
	maxInnovation = 3.0
	// tailRatioWeight is the weight of a new report in the moving average of the tail ratio.
	tailRatioWeight = 0.02
	// minCorrection is the smallest factor applied to a latency estimate in one update; it
	// keeps the estimate positive.
	minCorrection = 0.1
)

// estimate is a scalar state of the Kalman filter.
type estimate struct {
	value         float64
	variance      float64
	priorVariance float64
	updated       time.Time
}

func newEstimate(now time.Time, value, deviation float64) *estimate {
	return &estimate{value: value, variance: deviation * deviation, priorVariance: deviation * deviation, updated: now}
}

// advance adds the process noise since the last update; the variance never exceeds the prior.
func (e *estimate) advance(now time.Time) {
	e.variance = min(e.priorVariance, e.variance+processNoisePerSecond*max(0, now.Sub(e.updated).Seconds()))
	e.updated = now
}

// correct reduces the variance after an observation and returns the Kalman gain. slope is the
// derivative of the predicted observation with respect to the value, and innovationVariance
// the variance of the observation minus its prediction.
func (e *estimate) correct(slope, innovationVariance float64) float64 {
	gain := e.variance * slope / innovationVariance
	e.variance -= gain * slope * e.variance
	return gain
}

// kind holds the estimates for one kind of request.
type kind struct {
	// base is the mean latency without interference, in seconds; its variance is relative.
	base *estimate
	// tailRatio is the ratio of the p99 latency to the mean.
	tailRatio float64
}

// Model estimates the interference of classes; it is not safe for concurrent use.
type Model struct {
	interference map[string]*estimate
	kinds        map[string]*kind
}

// New returns a Model without observations.
func New() *Model {
	return &Model{interference: map[string]*estimate{}, kinds: map[string]*kind{}}
}

// Observation is an agent's report of the latency of a kind of request, in seconds.
type Observation struct {
	Kind    string
	Mean    float64
	Tail    float64
	Samples int
}

// Update corrects the estimates with the latency of a kind of request on a worker.
func (m *Model) Update(o Observation, w *Worker) {
	if o.Samples <= 0 || o.Mean <= 0 {
		return
	}
	weight := w.uncoveredShare(o.Kind)
	if weight <= 0 {
		return
	}
	processors := w.averageUsage()
	predicted := 1.0
	innovationVariance := 1 / (weight * float64(o.Samples))
	for class, x := range processors {
		e := m.advanced(w.updated, class)
		predicted += e.value * x
		innovationVariance += e.variance * x * x
	}
	k := m.kinds[o.Kind]
	if k == nil {
		k = &kind{base: newEstimate(w.updated, o.Mean/predicted, priorBaseLatencyDev), tailRatio: o.Tail / o.Mean}
		m.kinds[o.Kind] = k
	}
	k.base.advance(w.updated)
	innovationVariance += (k.base.variance + w.latencyFactor.variance) * predicted * predicted
	innovation := o.Mean/(k.base.value*w.latencyFactor.value) - predicted
	limit := maxInnovation * math.Sqrt(innovationVariance)
	innovation = min(max(innovation, -limit), limit)
	k.base.value *= max(minCorrection, 1+k.base.correct(predicted, innovationVariance)*innovation)
	w.latencyFactor.value *= max(minCorrection, 1+w.latencyFactor.correct(predicted, innovationVariance)*innovation)
	for class, x := range processors {
		e := m.interference[class]
		e.value = max(0, e.value+e.correct(x, innovationVariance)*innovation)
	}
	k.tailRatio += tailRatioWeight * (o.Tail/o.Mean - k.tailRatio)
}

// advanced returns the estimate for a class, advanced to now and created if it is missing.
func (m *Model) advanced(now time.Time, class string) *estimate {
	e := m.interference[class]
	if e == nil {
		e = newEstimate(now, 0, priorInterferenceDev)
		m.interference[class] = e
	}
	e.advance(now)
	return e
}

// Interference returns the expected relative latency increase per processor used by class.
func (m *Model) Interference(class string) float64 { return m.UpperBound(class, 0) }

// UpperBound returns Interference plus the given number of standard deviations.
func (m *Model) UpperBound(class string, deviations float64) float64 {
	e := m.interference[class]
	if e == nil {
		return deviations * priorInterferenceDev
	}
	return e.value + deviations*math.Sqrt(e.variance)
}

// TailLatency returns the p99 latency in seconds of a kind of request on w without
// interference, or 0 if the kind has not been observed.
func (m *Model) TailLatency(kind string, w *Worker) float64 {
	k := m.kinds[kind]
	if k == nil {
		return 0
	}
	return k.base.value * k.tailRatio * w.latencyFactor.value
}
