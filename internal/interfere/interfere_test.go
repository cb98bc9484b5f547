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
	mix := NewMix()
	now := time.Unix(1_000_000, 0)
	for range 20 {
		m.Learn("read", 0.1, mix)
	}
	for range 600 {
		processors := map[string]float64{"scan": float64(seed.IntN(12)), "watch": float64(seed.IntN(12))}
		for range 40 {
			now = now.Add(500 * time.Millisecond)
			mix.Observe(now, processors)
		}
		latency := 0.1 * (1 + 0.2*processors["scan"]) * (0.95 + 0.1*seed.Float64())
		m.Learn("read", latency, mix)
	}
	is.True(m.Harm("scan") > 0.14 && m.Harm("scan") < 0.28) // 0.2 is the truth
	is.True(m.Harm("watch") < 0.06)                         // 0 is the truth
	is.True(m.Bound("scan", 1) < m.Harm("scan")+0.05)       // seen often: little margin
	is.True(m.Bound("new", 1) > 0.2)                        // never seen: expected to harm
	is.Equal(m.Bound("new", 0), 0.0)
}

func TestMixForgets(t *testing.T) {
	is := is.New(t)
	mix := NewMix()
	now := time.Unix(1_000_000, 0)
	mix.Observe(now, map[string]float64{"scan": 8})
	is.Equal(mix.average["scan"], 8.0)
	mix.Observe(now.Add(span), nil)
	is.True(mix.average["scan"] > 2 && mix.average["scan"] < 4)
	mix.Observe(now.Add(time.Hour), nil)
	is.Equal(len(mix.average), 0)
}
