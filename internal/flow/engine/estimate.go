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
	// biasMost bounds what one run may say.
	biasMost = 8.0
	// estimateLeast stands in for a duration that is not declared, in milliseconds.
	estimateLeast = 50
)

// estimates holds for each queue how many times as long as declared its tasks take.
type estimates map[string]float64

func (m estimates) observe(queue string, s *flowpb.Step, took time.Duration) {
	declared := max(s.GetEstimateMillis(), estimateLeast)
	ratio := min(float64(took.Milliseconds())/float64(declared), biasMost)
	bias, known := m[queue]
	if !known {
		bias = 1
	}
	m[queue] = bias + biasWeight*(ratio-bias)
}

// millis returns how long a task of the step is expected to take.
func (m estimates) millis(queue string, declared int64) float64 {
	bias, known := m[queue]
	if !known {
		bias = 1
	}
	return bias * float64(max(declared, estimateLeast))
}
