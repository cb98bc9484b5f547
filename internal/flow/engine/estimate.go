package engine

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Declared durations are inaccurate for single tasks and biased for whole queues. The bias of each
// queue is learned from the runs that complete.
const (
	// biasWeight is the weight of a new run in the moving average of the bias.
	biasWeight = 0.05
	// maxDurationRatio bounds the ratio of actual to declared duration of one run, to limit the
	// effect of outliers.
	maxDurationRatio = 8.0
	// minEstimateMillis is the minimum declared duration. It also stands in for one that is
	// missing.
	minEstimateMillis = 50
	// maxEstimateMillis bounds the declared duration, so that sums along a path do not overflow.
	maxEstimateMillis = 1e10
)

// estimateMillis returns the declared duration of a task, in milliseconds.
func estimateMillis(s *flowpb.Step) int64 {
	return min(max(0, s.GetEstimateMillis()), maxEstimateMillis)
}

// durationBiases maps each queue to the mean ratio of actual to declared duration of its tasks.
type durationBiases map[string]float64

// observe updates the bias of a queue with the duration of a completed run.
func (m durationBiases) observe(queue string, s *flowpb.Step, took time.Duration) {
	declared := max(estimateMillis(s), minEstimateMillis)
	ratio := min(float64(took.Milliseconds())/float64(declared), maxDurationRatio)
	bias, known := m[queue]
	if !known {
		bias = 1
	}
	m[queue] = bias + biasWeight*(ratio-bias)
}

// expectedMillis returns the declared duration corrected by the bias of the queue, in milliseconds.
func (m durationBiases) expectedMillis(queue string, declared int64) float64 {
	bias, known := m[queue]
	if !known {
		bias = 1
	}
	return bias * float64(max(declared, minEstimateMillis))
}
