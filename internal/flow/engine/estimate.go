package engine

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Declared durations are far off one by one, and biased queue by queue; the bias is learned
// from the runs that end done.
const (
	// biasWeight is the weight of one more run in the moving average of the bias.
	biasWeight = 0.05
	// maxDurationRatio bounds what one run may say.
	maxDurationRatio = 8.0
	// minEstimateMillis stands in for a duration that is not declared, in milliseconds.
	minEstimateMillis = 50
)

// durationBiases holds for each queue how many times as long as declared its tasks take.
type durationBiases map[string]float64

func (m durationBiases) observe(queue string, s *flowpb.Step, took time.Duration) {
	declared := max(s.GetEstimateMillis(), minEstimateMillis)
	ratio := min(float64(took.Milliseconds())/float64(declared), maxDurationRatio)
	bias, known := m[queue]
	if !known {
		bias = 1
	}
	m[queue] = bias + biasWeight*(ratio-bias)
}

// expectedMillis returns how long a task of the step is expected to take.
func (m durationBiases) expectedMillis(queue string, declared int64) float64 {
	bias, known := m[queue]
	if !known {
		bias = 1
	}
	return bias * float64(max(declared, minEstimateMillis))
}
