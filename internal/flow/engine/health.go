package engine

import "time"

// Ejection covers runners that fail, stall or slow down all their tasks while their reports look
// healthy. After consecutive failures of tasks of different jobs, a runner gets no new tasks for a
// while, then a single one as a probe.
const (
	// ejectFailures is the number of consecutive failures, of at least ejectJobs jobs, after which
	// a runner is ejected. A job that fails everywhere must not eject the runners that it ran on.
	ejectFailures = 3
	ejectJobs     = 2
	// minEjectionTime is the duration of a first ejection. It doubles with each further one up to
	// maxEjectionTime.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = 15 * time.Second
)

// health tracks the failures of runs on a runner and its ejections.
type health struct {
	failures     int
	failedJobs   map[string]bool
	ejectedUntil time.Duration
	ejectionTime time.Duration
	// probing is set until a run succeeds after an ejection. Meanwhile the runner gets one run at a
	// time, and a failure ejects it again.
	probing bool
}

// recordFailure counts a failed run of a job and ejects the runner if there were too many.
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

// eject bars the runner from new tasks for a time that doubles with each ejection.
func (h *health) eject(now time.Duration) {
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now + h.ejectionTime
	h.probing = true
	h.failures, h.failedJobs = 0, nil
}

// recordSuccess resets the health, which also ends probing.
func (h *health) recordSuccess() { *h = health{} }

// admits reports whether a runner with the given number of live runs may be given another.
func (h *health) admits(now time.Duration, runs int) bool {
	return now >= h.ejectedUntil && (!h.probing || runs == 0)
}
