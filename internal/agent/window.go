package agent

import (
	"slices"
	"time"
)

const (
	windowSamples = 256
	windowSpan    = 5 * time.Second
	// windowMinimum is the number of samples below which a quantile says nothing.
	windowMinimum = 8
)

type sample struct {
	at      time.Time
	latency time.Duration
}

// window keeps the newest latencies of each kind of request.
type window struct {
	kinds map[string][]sample
}

func newWindow() *window { return &window{kinds: map[string][]sample{}} }

func (w *window) add(now time.Time, kind string, latency time.Duration) {
	samples := append(w.kinds[kind], sample{now, latency})
	if len(samples) > windowSamples {
		samples = samples[len(samples)-windowSamples:]
	}
	w.kinds[kind] = samples
}

// quantile returns the p99 of a kind over windowSpan and the number of samples behind it.
func (w *window) quantile(now time.Time, kind string) (p99 time.Duration, count int) {
	var latencies []time.Duration
	for _, s := range w.kinds[kind] {
		if now.Sub(s.at) <= windowSpan {
			latencies = append(latencies, s.latency)
		}
	}
	if len(latencies) < windowMinimum {
		return 0, len(latencies)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100], len(latencies)
}
