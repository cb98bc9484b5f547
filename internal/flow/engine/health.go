package engine

import "time"

// Suspicion of runners answers runners that fail, hold up or slow all that they start while
// their own word is good: after a few failures of different jobs in a row a runner gets no
// new tasks for a while, then one as a probe.
const (
	// ejectFailures is how many failures in a row, of suspectJobs jobs, set a runner aside.
	ejectFailures = 3
	ejectJobs     = 2
	minEjection   = 2 * time.Second
	maxEjection   = 15 * time.Second
)

// health is what the ends of runs say of a runner.
type health struct {
	failures     int
	failedJobs   map[string]bool
	ejectedUntil time.Duration
	ejection     time.Duration
	// probing tells that one run decides whether the runner is used again.
	probing bool
}

func (h *health) recordFailure(job string, now time.Duration) {
	h.failures++
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if h.probing || h.failures >= ejectFailures && len(h.failedJobs) >= ejectJobs {
		h.eject(now)
	}
}

func (h *health) eject(now time.Duration) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now + h.ejection
	h.probing = true
	h.failures, h.failedJobs = 0, nil
}

func (h *health) recordSuccess() { *h = health{} }

// admits reports whether a runner with the given number of live runs may take another.
func (h *health) admits(now time.Duration, runs int) bool {
	return now >= h.ejectedUntil && (!h.probing || runs == 0)
}
