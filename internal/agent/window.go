package agent

import (
	"slices"
	"time"
)

const (
	maxWindowSamples = 256
	windowDuration   = 5 * time.Second
	// minWindowSamples is the number of samples below which a quantile is meaningless.
	minWindowSamples = 8
)

type latencySample struct {
	at      time.Time
	latency time.Duration
}

// latencyWindow keeps the latest latencies of each kind of request.
type latencyWindow struct {
	samples map[string][]latencySample
}

func newLatencyWindow() *latencyWindow { return &latencyWindow{samples: map[string][]latencySample{}} }

func (w *latencyWindow) add(now time.Time, kind string, latency time.Duration) {
	samples := append(w.samples[kind], latencySample{now, latency})
	if len(samples) > maxWindowSamples {
		samples = samples[len(samples)-maxWindowSamples:]
	}
	w.samples[kind] = samples
}

// latencySummary summarizes the latencies of a kind over the last windowDuration.
type latencySummary struct {
	mean  time.Duration
	p99   time.Duration
	count int
}

// summarize returns the summary of a kind; it has only the count if there are too few samples.
func (w *latencyWindow) summarize(now time.Time, kind string) latencySummary {
	var latencies []time.Duration
	var sum time.Duration
	for _, s := range w.samples[kind] {
		if now.Sub(s.at) <= windowDuration {
			latencies = append(latencies, s.latency)
			sum += s.latency
		}
	}
	count := len(latencies)
	if count < minWindowSamples {
		return latencySummary{count: count}
	}
	slices.Sort(latencies)
	return latencySummary{mean: sum / time.Duration(count), p99: latencies[count*99/100], count: count}
}
