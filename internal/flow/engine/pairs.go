package engine

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Interference is learned pair by pair. The tail of a serving task grows as that of a queue
// does, with one over the share of time that its server is idle; so its target over its tail
// falls in proportion to the load of its own users and to the processors of each filling
// image beside it. That ratio is called headroom here: it is 1 at the target, and higher the
// better. All slopes are estimated together by a Kalman filter of which only the variances
// are kept.
const (
	// priorInterference and pairDeviation are what is expected of a pair that was never seen, as
	// headroom that one processor takes.
	priorInterference          = 0.03
	priorInterferenceDeviation = 0.04
	// interferenceDrift is the variance that a pair gains per reading.
	interferenceDrift = 1e-7
	// initialBaseHeadroom and baseFirstDeviation are what is expected of a task without any filling
	// task beside it, baseDrift the variance that this gains in a second.
	initialBaseHeadroom          = 2.4
	initialBaseHeadroomDeviation = 0.7
	baseHeadroomDrift            = 0.35 * 0.35
	// minBaseHeadroom and baseMost bound the base: what is beyond is put down to what fills.
	minBaseHeadroom = 1.15
	maxBaseHeadroom = 6.0
	// forecastShare is how much of a base above its low is counted on for a new task, which lasts
	// for seconds; lowRise is how fast a low is forgotten, in a second.
	forecastShare        = 0.4
	lowRecoveryPerSecond = 0.08
	// gaugeRelativeError is the relative error of a reading of a tail, readingMillis what
	// rounding to whole milliseconds adds.
	gaugeRelativeError  = 0.08
	gaugeRoundingMillis = 0.4
	// upperBoundDeviations is how many deviations are added to what a pair is expected to do.
	upperBoundDeviations = 0.3
)

// imagePair is a serving and a filling image.
type imagePair struct{ critical, bestEffort string }

type estimate struct{ value, variance float64 }

// baseHeadroom is the headroom of the tasks of a step without any filling task beside them. The load
// of their users is that of all tasks of the step.
type baseHeadroom struct {
	estimate
	updatedAt time.Duration
	// recentLow is what it fell to lately; it is forgotten slowly.
	recentLow float64
}

// forecast returns what the base is expected to be while a new task runs.
func (b *baseHeadroom) forecast() float64 { return b.recentLow + forecastShare*(b.value-b.recentLow) }

// interferenceModel is what is known of the interferenceModel of images.
type interferenceModel map[imagePair]*estimate

func (m interferenceModel) estimateOf(p imagePair) *estimate {
	e := m[p]
	if e == nil {
		e = &estimate{priorInterference, priorInterferenceDeviation * priorInterferenceDeviation}
		m[p] = e
	}
	return e
}

// upperBound returns the headroom that one processor of the pair's filling image may take, with
// a margin for what is not known for sure.
func (m interferenceModel) upperBound(p imagePair) float64 {
	e := m[p]
	if e == nil {
		return priorInterference + upperBoundDeviations*priorInterferenceDeviation
	}
	return max(0, e.value+upperBoundDeviations*math.Sqrt(e.variance))
}

// learn takes in a tail and its target in milliseconds, measured beside processors in use by
// filling images, and improves the estimate of the base.
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

func (e *estimate) update(coefficient, innovationVariance, innovation float64) {
	gain := e.variance * coefficient / innovationVariance
	e.value += gain * innovation
	e.variance -= gain * coefficient * e.variance
}
