package engine

import "time"

// Suspicion of runners answers runners that fail, hold up or slow all that they start while
// their own word is good: after a few failures of different jobs in a row a runner gets no
// new tasks for a while, then one as a probe.
const (
	// suspectFailures is how many failures in a row, of suspectJobs jobs, set a runner aside.
	suspectFailures = 3
	suspectJobs     = 2
	asideFirst      = 2 * time.Second
	asideMost       = 15 * time.Second
)

// health is what the ends of runs say of a runner.
type health struct {
	failures   int
	jobs       map[string]bool
	asideUntil time.Duration
	aside      time.Duration
	// probing tells that one run decides whether the runner is used again.
	probing bool
}

func (h *health) failed(job string, now time.Duration) {
	h.failures++
	if h.jobs == nil {
		h.jobs = map[string]bool{}
	}
	h.jobs[job] = true
	if h.probing || h.failures >= suspectFailures && len(h.jobs) >= suspectJobs {
		h.setAside(now)
	}
}

func (h *health) setAside(now time.Duration) {
	h.aside = min(max(2*h.aside, asideFirst), asideMost)
	h.asideUntil = now + h.aside
	h.probing = true
	h.failures, h.jobs = 0, nil
}

func (h *health) worked() { *h = health{} }

// admits reports whether a runner with the given number of live runs may take another.
func (h *health) admits(now time.Duration, runs int) bool {
	return now >= h.asideUntil && (!h.probing || runs == 0)
}
