package engine

import "time"

const (
	// gaugeSpan is the time that a runner's reading of a run describes.
	gaugeSpan = 500 * time.Millisecond
	// gaugeLag is how long an order takes to have its effect at the runner.
	gaugeLag = 130 * time.Millisecond
)

// usage is the history of what filling images use on a worker, for readings that describe
// the time just past.
type usage struct{ steps []usageStep }

type usageStep struct {
	from       time.Duration
	processors map[string]float64
}

// note adds what is used from now on.
func (u *usage) note(now time.Duration, processors map[string]float64) {
	u.steps = append(u.steps, usageStep{now + gaugeLag, processors})
	old := 0
	for old+1 < len(u.steps) && now-u.steps[old+1].from > gaugeSpan {
		old++
	}
	u.steps = append(u.steps[:0], u.steps[old:]...)
}

// average returns the processors in use over the span that ends now.
func (u *usage) average(now time.Duration) map[string]float64 {
	begin := now - gaugeSpan
	sum := map[string]float64{}
	for i, s := range u.steps {
		end := now
		if i+1 < len(u.steps) {
			end = min(end, u.steps[i+1].from)
		}
		if length := end - max(s.from, begin); length > 0 {
			for image, x := range s.processors {
				sum[image] += x * float64(length) / float64(gaugeSpan)
			}
		}
	}
	return sum
}
