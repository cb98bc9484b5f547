// Package interfere learns how much each class of batch task slows the services beside it.
//
// A report of a service's latency beside a mix of classes moves the weights of those
// classes towards what would explain it (normalised least mean squares). Reports lag, so
// the mix is averaged over the time that a report describes.
package interfere

import (
	"math"
	"time"
)

const (
	learningRate = 0.2
	// span is the time that a report describes.
	span = 5 * time.Second
	// unseenHarm is the inflation per processor that is expected of a class that was never
	// seen, for a caution of 1.
	unseenHarm = 0.3
	// baselineDrift is how fast a kind's undisturbed latency may grow, per report.
	baselineDrift = 0.002
	mixMinimum    = 1e-3
)

// Model is what is known of the classes' harm; it is not safe for concurrent use.
type Model struct {
	harm      map[string]float64
	seen      map[string]float64
	baselines map[string]float64
}

// New returns a Model that knows nothing.
func New() *Model {
	return &Model{harm: map[string]float64{}, seen: map[string]float64{}, baselines: map[string]float64{}}
}

// Mix is the decayed average of the processors that each class uses on one worker.
type Mix struct {
	average map[string]float64
	at      time.Time
}

// NewMix returns an empty Mix.
func NewMix() *Mix { return &Mix{average: map[string]float64{}} }

// Observe moves the average towards the processors in use at now.
func (m *Mix) Observe(now time.Time, processors map[string]float64) {
	weight := 1.0
	if !m.at.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(m.at))/float64(span))
	}
	m.at = now
	for class := range processors {
		if _, known := m.average[class]; !known {
			m.average[class] = 0
		}
	}
	for class, old := range m.average {
		m.average[class] = old + weight*(processors[class]-old)
		if m.average[class] < mixMinimum {
			delete(m.average, class)
		}
	}
}

// Learn takes in the latency of a kind of request, in seconds, beside mix.
func (m *Model) Learn(kind string, latency float64, mix *Mix) {
	inflation := m.inflation(kind, latency, len(mix.average) == 0)
	predicted, norm := 0.0, 1.0
	for class, x := range mix.average {
		predicted += m.harm[class] * x
		norm += x * x
	}
	for class, x := range mix.average {
		m.harm[class] = max(0, m.harm[class]+learningRate*(inflation-predicted)*x/norm)
		m.seen[class]++
	}
}

// inflation returns how much slower than undisturbed the kind is, 0 for not at all.
func (m *Model) inflation(kind string, latency float64, quiet bool) float64 {
	base, known := m.baselines[kind]
	switch {
	case !known || latency < base:
		base = latency
	case quiet:
		base += learningRate * (latency - base)
	default:
		base *= 1 + baselineDrift
	}
	m.baselines[kind] = base
	if base <= 0 {
		return 0
	}
	return max(0, latency/base-1)
}

// Harm returns the inflation that one processor's worth of class is expected to cause.
func (m *Model) Harm(class string) float64 { return m.harm[class] }

// Bound returns Harm with a margin for classes that were seen seldom; caution in [0, 1]
// scales the margin.
func (m *Model) Bound(class string, caution float64) float64 {
	return m.harm[class] + caution*unseenHarm/math.Sqrt(1+m.seen[class])
}

// Baseline returns the undisturbed latency of a kind of request in seconds, 0 if unknown.
func (m *Model) Baseline(kind string) float64 { return m.baselines[kind] }
