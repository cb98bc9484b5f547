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

// summary describes the latencies of a kind over windowSpan.
type summary struct {
	mean  time.Duration
	p99   time.Duration
	count int
}

// summarize returns a summary without quantiles if there are too few samples.
func (w *window) summarize(now time.Time, kind string) summary {
	var latencies []time.Duration
	var sum time.Duration
	for _, s := range w.kinds[kind] {
		if now.Sub(s.at) <= windowSpan {
			latencies = append(latencies, s.latency)
			sum += s.latency
		}
	}
	count := len(latencies)
	if count < windowMinimum {
		return summary{count: count}
	}
	slices.Sort(latencies)
	return summary{mean: sum / time.Duration(count), p99: latencies[count*99/100], count: count}
}
