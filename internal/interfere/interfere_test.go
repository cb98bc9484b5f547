package interfere

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestModelTellsClassesApart reports latencies that one class inflates and another does
// not, with noise, and asks what the model has learned.
func TestModelTellsClassesApart(t *testing.T) {
	is := is.New(t)
	seed := rand.New(rand.NewPCG(1, 2))
	m := New()
	w := NewWorker()
	now := time.Unix(1_000_000, 0)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		w.RecordUsage(now, nil)
		m.Update(Observation{Kind: "read", Mean: 0.04, Tail: 0.1, Samples: 50}, w)
	}
	for range 600 {
		processors := map[string]float64{"scan": float64(seed.IntN(12)), "watch": float64(seed.IntN(12))}
		for range 40 {
			now = now.Add(500 * time.Millisecond)
			w.RecordUsage(now, processors)
		}
		latency := 0.04 * (1 + 0.2*processors["scan"]) * (0.95 + 0.1*seed.Float64())
		m.Update(Observation{Kind: "read", Mean: latency, Tail: 2.5 * latency, Samples: 50}, w)
	}
	is.True(m.Interference("scan") > 0.14 && m.Interference("scan") < 0.28) // 0.2 is the truth
	is.True(m.Interference("watch") < 0.06)                                 // 0 is the truth
	is.True(m.UpperBound("scan", 1) < m.Interference("scan")+0.05)          // seen often: little margin
	is.True(m.UpperBound("new", 1) > 0.2)                                   // never seen: expected to harm
	is.Equal(m.UpperBound("new", 0), 0.0)
}

// TestUnseenClassStaysDoubtfulUntilItsHarmCanShow asks what is dared with a class that has
// just begun, while the reports still describe the time before it.
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
	is.True(m.UpperBound("scan", 1) > 0.25) // one report that it can't show in proves little
	for k := range 10 {
		report(0.04*(1+0.75*float64(k+1)/10), 3) // each report describes more of the time with it
	}
	for range 10 {
		report(0.04*1.75, 3)
	}
	is.True(m.Interference("scan") > 0.2 && m.Interference("scan") < 0.3) // 0.25 is the truth
	is.True(m.UpperBound("scan", 1) < 0.35)
}

// TestSlowWorkerIsNotTheClasses reports one worker that is slow by itself.
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
	w.RecordUsage(now.Add(span/2), nil)
	w.RecordUsage(now.Add(span), nil)
	is.Equal(w.average()["scan"], 4.0)
	w.RecordUsage(now.Add(time.Hour), nil)
	is.Equal(w.average()["scan"], 0.0)
}
