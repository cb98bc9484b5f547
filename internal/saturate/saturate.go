package saturate

import (
	"math"
	"time"
)

// Longest is the longest duration, of either sign, that the functions return. Sums and small multiples
// of such durations do not overflow.
const Longest = 10 * 365 * 24 * time.Hour

// Millis returns a number of milliseconds as a duration.
func Millis(ms int64) time.Duration {
	const longest = int64(Longest / time.Millisecond)
	return time.Duration(min(max(ms, -longest), longest)) * time.Millisecond
}

// Of returns a multiple of a unit as a duration, 0 for one that is no number.
func Of(n float64, unit time.Duration) time.Duration {
	ns := n * float64(unit)
	if math.IsNaN(ns) {
		return 0
	}
	return time.Duration(min(max(ns, -float64(Longest)), float64(Longest)))
}
