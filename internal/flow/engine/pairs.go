package engine

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Interference is learned for each pair of a latency-critical and a best-effort image. As in a
// queue, the tail latency of a latency-critical task is inversely proportional to the share of time
// that its server is idle. The headroom, which is the target divided by the tail latency, therefore
// falls linearly with the load of the task's own users and with the processors that each
// best-effort image uses on the same worker. The headroom is 1 when the tail latency is at the
// target, and higher when it is below. The base headroom and the coefficients of all images are
// estimated together by a Kalman filter of which only the variances are kept, not the covariances.
const (
	// priorInterference and priorInterferenceDeviation are the mean and standard deviation assumed
	// for a pair without measurements, in headroom per processor.
	priorInterference          = 0.03
	priorInterferenceDeviation = 0.04
	// interferenceDrift is the variance added to a pair per measurement.
	interferenceDrift = 1e-7
	// initialBaseHeadroom and initialBaseHeadroomDeviation are the mean and standard deviation
	// assumed for the base headroom, baseHeadroomDrift the variance added to it per second.
	initialBaseHeadroom          = 2.4
	initialBaseHeadroomDeviation = 0.7
	baseHeadroomDrift            = 0.35 * 0.35
	// minBaseHeadroom and maxBaseHeadroom bound the base headroom: deviations beyond them are
	// attributed to best-effort images.
	minBaseHeadroom = 1.15
	maxBaseHeadroom = 6.0
	// forecastShare is the share of the difference between the base headroom and its recent low
	// that is expected to last while a new task runs, which takes seconds. lowRecoveryPerSecond is
	// how fast the recent low rises again.
	forecastShare        = 0.4
	lowRecoveryPerSecond = 0.08
	// gaugeRelativeError is the relative error of a measured tail latency, gaugeRoundingMillis the
	// error that rounding to whole milliseconds adds.
	gaugeRelativeError  = 0.08
	gaugeRoundingMillis = 0.4
	// upperBoundDeviations is how many standard deviations above the estimate the upper bound of a
	// pair's interference lies.
	upperBoundDeviations = 0.3
)

// imagePair is a latency-critical image and a best-effort image that run on one worker.
type imagePair struct{ critical, bestEffort string }

// estimate is a value estimated by the Kalman filter.
type estimate struct{ value, variance float64 }

// baseHeadroom is the headroom that the tasks of a step have without best-effort tasks on their
// workers. The load of its users is spread over all tasks of the step, so they share one estimate.
type baseHeadroom struct {
	estimate
	updatedAt time.Duration
	// recentLow is the recent minimum of value. It rises by lowRecoveryPerSecond.
	recentLow float64
}

// forecast returns the base headroom that is expected while a new task runs.
func (b *baseHeadroom) forecast() float64 { return b.recentLow + forecastShare*(b.value-b.recentLow) }

// interferenceModel holds the estimated headroom that one processor of a best-effort image takes
// from a latency-critical image.
type interferenceModel map[imagePair]*estimate

// estimateOf returns the estimate of a pair, which is created if it is missing.
func (m interferenceModel) estimateOf(p imagePair) *estimate {
	e := m[p]
	if e == nil {
		e = &estimate{priorInterference, priorInterferenceDeviation * priorInterferenceDeviation}
		m[p] = e
	}
	return e
}

// upperBound returns the headroom that one processor of the pair's best-effort image takes, with a
// margin for the uncertainty of the estimate.
func (m interferenceModel) upperBound(p imagePair) float64 {
	e := m[p]
	if e == nil {
		return priorInterference + upperBoundDeviations*priorInterferenceDeviation
	}
	return max(0, e.value+upperBoundDeviations*math.Sqrt(e.variance))
}

// learn updates the base headroom and the interference of a latency-critical image with a measured
// tail latency. Tail and target are in milliseconds; processors holds the processors that each
// best-effort image used on the worker during the measurement.
func (m interferenceModel) learn(b *baseHeadroom, now time.Duration, critical string, tail, target float64, processors map[string]float64) {
	if b.variance == 0 {
		*b = baseHeadroom{estimate: estimate{initialBaseHeadroom, initialBaseHeadroomDeviation * initialBaseHeadroomDeviation}, updatedAt: now, recentLow: initialBaseHeadroom}
	}
	headroom := target / tail
	deviation := headroom * (gaugeRelativeError + gaugeRoundingMillis/tail)
	elapsed := (now - b.updatedAt).Seconds()
	b.variance += baseHeadroomDrift * elapsed
	b.recentLow += lowRecoveryPerSecond * elapsed
	b.updatedAt = now
	predicted := b.value
	innovationVariance := b.variance + deviation*deviation
	images := slices.Sorted(maps.Keys(processors))
	for _, image := range images {
		e, x := m.estimateOf(imagePair{critical, image}), processors[image]
		e.variance += interferenceDrift
		predicted -= e.value * x
		innovationVariance += e.variance * x * x
	}
	innovation := headroom - predicted
	b.update(1, innovationVariance, innovation)
	for _, image := range images {
		e := m.estimateOf(imagePair{critical, image})
		e.update(-processors[image], innovationVariance, innovation)
		e.value = max(0, e.value)
	}
	b.value = min(max(minBaseHeadroom, b.value), maxBaseHeadroom)
	b.recentLow = min(b.recentLow, b.value)
}

// update applies the measurement update of the Kalman filter to one coefficient.
func (e *estimate) update(coefficient, innovationVariance, innovation float64) {
	gain := e.variance * coefficient / innovationVariance
	e.value += gain * innovation
	e.variance -= gain * coefficient * e.variance
}
