package interfere

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestModelTellsClassesApart runs two classes side by side, of which only one inflates the
// latency, and checks that noisy reports are attributed to that class.
func TestModelTellsClassesApart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	m := New()
	w := NewWorker()
	now := time.Unix(1_000_000, 0)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		w.RecordUsage(now, nil)
		m.Update(Observation{Kind: "read", Mean: 0.04, Tail: 0.1, Samples: 50}, w)
	}
	for range 600 {
		processors := map[string]float64{"scan": float64(random.IntN(12)), "watch": float64(random.IntN(12))}
		for range 40 {
			now = now.Add(500 * time.Millisecond)
			w.RecordUsage(now, processors)
		}
		latency := 0.04 * (1 + 0.2*processors["scan"]) * (0.95 + 0.1*random.Float64())
		m.Update(Observation{Kind: "read", Mean: latency, Tail: 2.5 * latency, Samples: 50}, w)
	}
	is.True(m.Interference("scan") > 0.14 && m.Interference("scan") < 0.28) // true value: 0.2
	is.True(m.Interference("watch") < 0.06)                                 // true value: 0
	is.True(m.UpperBound("scan", 1) < m.Interference("scan")+0.05)          // many observations: small margin
	is.True(m.UpperBound("new", 1) > 0.2)                                   // no observations: assumed to interfere
	is.Equal(m.UpperBound("new", 0), 0.0)
}

// TestUnseenClassStaysDoubtfulUntilItsHarmCanShow guards against trusting a class too early:
// the first reports after it starts still describe mostly the time before it, so they must
// not shrink its margin.
func TestUnseenClassStaysDoubtfulUntilItsHarmCanShow(t *testing.T) {
	is := is.New(t)
	m := New()
	now := time.Unix(1_000_000, 0)
	workers := make([]*Worker, 11)
	for i := range workers {
		workers[i] = NewWorker()
	}
	report := func(latency, processors float64) {
		now = now.Add(500 * time.Millisecond)
		for _, w := range workers {
			w.RecordUsage(now, map[string]float64{"scan": processors})
			m.Update(Observation{Kind: "read", Mean: latency, Tail: 2.5 * latency, Samples: 90}, w)
		}
	}
	for range 20 {
		report(0.04, 0)
	}
	report(0.04, 3)
	is.True(m.UpperBound("scan", 1) > 0.25) // a report that hardly covers the class must not shrink the margin
	for k := range 10 {
		report(0.04*(1+0.75*float64(k+1)/10), 3) // the class runs in a growing part of the report window
	}
	for range 10 {
		report(0.04*1.75, 3)
	}
	is.True(m.Interference("scan") > 0.2 && m.Interference("scan") < 0.3) // true value: 0.25
	is.True(m.UpperBound("scan", 1) < 0.35)
}

// TestSlowWorkerIsNotTheClasses checks that the latency of a worker that is slow by itself is
// attributed to the worker and not to the class that runs on all workers.
func TestSlowWorkerIsNotTheClasses(t *testing.T) {
	is := is.New(t)
	m := New()
	now := time.Unix(1_000_000, 0)
	workers := make([]*Worker, 11)
	for i := range workers {
		workers[i] = NewWorker()
	}
	for range 400 {
		now = now.Add(500 * time.Millisecond)
		for i, w := range workers {
			w.RecordUsage(now, map[string]float64{"watch": 1})
			latency := 0.04
			if i == 0 {
				latency = 0.08
			}
			m.Update(Observation{Kind: "read", Mean: latency, Tail: 2.5 * latency, Samples: 90}, w)
		}
	}
	is.True(m.Interference("watch") < 0.15)
	is.True(m.TailLatency("read", workers[0]) > 1.6*m.TailLatency("read", workers[1]))
}

func TestWorkerForgets(t *testing.T) {
	is := is.New(t)
	w := NewWorker()
	now := time.Unix(1_000_000, 0)
	w.RecordUsage(now, map[string]float64{"scan": 8})
	w.RecordUsage(now.Add(reportWindow/2), nil)
	w.RecordUsage(now.Add(reportWindow), nil)
	is.Equal(w.averageUsage()["scan"], 4.0)
	w.RecordUsage(now.Add(time.Hour), nil)
	is.Equal(w.averageUsage()["scan"], 0.0)
}
