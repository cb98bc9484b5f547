package engine

import "time"

const (
	// gaugeWindow is the time that a runner's reading of a run describes.
	gaugeWindow = 500 * time.Millisecond
	// paceOrderDelay is how long an order takes to have its effect at the runner.
	paceOrderDelay = 130 * time.Millisecond
)

// usageHistory is the history of what filling images use on a worker, for readings that describe
// the time just past.
type usageHistory struct{ periods []usagePeriod }

type usagePeriod struct {
	from       time.Duration
	processors map[string]float64
}

// record adds what is used from now on.
func (u *usageHistory) record(now time.Duration, processors map[string]float64) {
	u.periods = append(u.periods, usagePeriod{now + paceOrderDelay, processors})
	expired := 0
	for expired+1 < len(u.periods) && now-u.periods[expired+1].from > gaugeWindow {
		expired++
	}
	u.periods = append(u.periods[:0], u.periods[expired:]...)
}

// average returns the processors in use over the span that ends now.
func (u *usageHistory) average(now time.Duration) map[string]float64 {
	begin := now - gaugeWindow
	sum := map[string]float64{}
	for i, s := range u.periods {
		end := now
		if i+1 < len(u.periods) {
			end = min(end, u.periods[i+1].from)
		}
		if length := end - max(s.from, begin); length > 0 {
			for image, x := range s.processors {
				sum[image] += x * float64(length) / float64(gaugeWindow)
			}
		}
	}
	return sum
}
