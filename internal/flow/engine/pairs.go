package engine

import "math"

// Interference is learned pair by pair: how much one processor of a filling image adds to
// the tail latency of a serving image, as a share of its target. The tail of a serving task
// is taken to be a base of its own, which moves with its load within seconds, plus what the
// images beside it add. All are estimated together by a Kalman filter of which only the
// variances are kept.
const (
	// pairPrior and pairDeviation are what is expected of a pair that was never seen: at
	// 64 processors it triples the tail of a task that is at a quarter of its target.
	pairPrior     = 0.008
	pairDeviation = 0.012
	// pairDrift is the variance that a pair gains per reading.
	pairDrift = 1e-8
	// baseDeviation is how much a base may move between two readings, as a share of the target.
	baseDeviation = 0.03
	baseFirst     = 0.3
	// baseMost bounds a base: a tail beyond it is put down to what fills beside it.
	baseMost = 0.75
	// readingDeviation is the error of one reading of a tail.
	readingDeviation = 0.05
	// pairCaution is how many deviations are added to what a pair is expected to do.
	pairCaution = 0.7
)

// pair is a serving and a filling image.
type pair struct{ serving, filling string }

type estimate struct{ value, variance float64 }

// pairs is what is known of the pairs of images.
type pairs map[pair]*estimate

func (m pairs) of(p pair) *estimate {
	e := m[p]
	if e == nil {
		e = &estimate{pairPrior, pairDeviation * pairDeviation}
		m[p] = e
	}
	return e
}

// bound returns the share of the target that one processor of the pair's filling image may
// add, with a margin for what is not known for sure.
func (m pairs) bound(p pair) float64 {
	e := m[p]
	if e == nil {
		return pairPrior + pairCaution*pairDeviation
	}
	return max(0, e.value+pairCaution*math.Sqrt(e.variance))
}

// learn takes in a reading of a tail, as a share of its target, beside processors in use by
// filling images, and returns the estimate of the base.
func (m pairs) learn(base *estimate, serving string, share float64, processors map[string]float64) {
	if base.variance == 0 {
		*base = estimate{baseFirst, baseFirst * baseFirst}
	}
	base.variance += baseDeviation * baseDeviation
	predicted := base.value
	total := base.variance + readingDeviation*readingDeviation
	for filling, x := range processors {
		e := m.of(pair{serving, filling})
		e.variance += pairDrift
		predicted += e.value * x
		total += e.variance * x * x
	}
	surprise := share - predicted
	base.correct(1, total, surprise)
	for filling, x := range processors {
		e := m.of(pair{serving, filling})
		e.correct(x, total, surprise)
		e.value = max(0, e.value)
	}
	base.value = min(max(0, base.value), baseMost)
}

func (e *estimate) correct(slope, total, surprise float64) {
	gain := e.variance * slope / total
	e.value += gain * surprise
	e.variance -= gain * slope * e.variance
}
