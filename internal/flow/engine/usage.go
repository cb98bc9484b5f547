package engine

import "time"

const (
	// gaugeWindow is the length of time that a runner's measurement of a run covers.
	gaugeWindow = 500 * time.Millisecond
	// paceOrderDelay is the time until a changed pace takes effect at the runner.
	paceOrderDelay = 130 * time.Millisecond
)

// usageHistory records the processors that best-effort images used on a worker, so that a
// measurement can be matched with the use during the time that it covers.
type usageHistory struct{ periods []usagePeriod }

// usagePeriod is a time of constant use, which lasts until the next period.
type usagePeriod struct {
	from       time.Duration
	processors map[string]float64
}

// record adds the use from now on and drops periods older than gaugeWindow.
func (u *usageHistory) record(now time.Duration, processors map[string]float64) {
	u.periods = append(u.periods, usagePeriod{now + paceOrderDelay, processors})
	expired := 0
	for expired+1 < len(u.periods) && now-u.periods[expired+1].from > gaugeWindow {
		expired++
	}
	u.periods = append(u.periods[:0], u.periods[expired:]...)
}

// average returns the mean processor use of each image over the gaugeWindow that ends now.
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
