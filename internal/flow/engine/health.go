package engine

import "time"

// Ejection covers runners that fail, stall or slow down all their tasks while their reports look
// healthy. After consecutive failures of tasks of different jobs, a runner gets no new tasks for a
// while, then one at a time as a probe. Failures of steps that fail wherever they run do not count
// (see attribution.go).
const (
	// ejectFailures is the number of consecutive failures, of at least ejectJobs jobs, after which
	// a runner is ejected. A job that fails everywhere must not eject the runners that it ran on.
	ejectFailures = 3
	ejectJobs     = 2
	// minEjectionTime is the duration of a first ejection. It doubles with each further one up to
	// maxEjectionTime, which is short because long-running tasks may wait for the room on the runner
	// after it has recovered.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = 4 * time.Second
	// probeTime is how long a run on a probed runner has to go on before the runner may be given
	// another. It is not longer than an ejection, so that the runs from before do not count as probes.
	probeTime = minEjectionTime
)

// health tracks the failures of runs on a runner and its ejections.
type health struct {
	// failed holds the runs that have failed since one succeeded or the runner was ejected.
	failed       []evidence
	ejectedUntil time.Duration
	ejectionTime time.Duration
	// probing is set until a run succeeds after an ejection. Meanwhile the runner gets one task at a
	// time as a probe, and a failure ejects it again.
	probing bool
	// grounds are the runs that led to the ejections since a run succeeded. reported is set if one of these
	// ejections rests on something else, such as what the runner says of itself.
	grounds  []evidence
	reported bool
}

// recordFailure records a failed run of a step. It ejects the runner if too many count against it, and
// then returns true.
func (h *health) recordFailure(s *step, now time.Duration) (ejected bool) {
	v := evidence{step: s}
	h.failed = appendEvidence(h.failed, v)
	if h.probing && v.weighs() || incriminates(h.failed) {
		return h.eject(now, h.failed)
	}
	return false
}

// eject bars the runner from new tasks for a time that doubles with each ejection. It has no effect
// while the runner is ejected, since the runs that fail or stall then were placed before, and then
// returns false.
func (h *health) eject(now time.Duration, grounds []evidence) bool {
	if now < h.ejectedUntil {
		return false
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now + h.ejectionTime
	h.probing, h.failed = true, nil
	h.reported = h.reported || len(grounds) == 0
	for _, v := range grounds {
		h.grounds = appendEvidence(h.grounds, v)
	}
	return true
}

// reconsider withdraws the ejections if their grounds do not suffice any more, and then returns true. The
// runs still count if their steps turn out to do well.
func (h *health) reconsider() (withdrawn bool) {
	if !h.probing || h.reported || incriminates(h.grounds) {
		return false
	}
	*h = health{failed: h.grounds}
	return true
}

// recordSuccess resets the health, which also ends probing.
func (h *health) recordSuccess() { *h = health{} }

// admits reports whether a runner with the given live runs may be given another. While the runner is
// probed, it may not if one of them has just begun or is being stopped. Those that go on do not count,
// since long-running tasks never end by themselves, nor do those that fail wherever they run, which show
// nothing about the runner.
func (h *health) admits(now time.Duration, runs []*run) bool {
	if now < h.ejectedUntil {
		return false
	}
	if !h.probing {
		return true
	}
	for _, r := range runs {
		if (r.phase != phaseRunning || now-r.startedAt < probeTime) && !r.task.step.atFault() {
			return false
		}
	}
	return true
}

// observeProgress takes a long-running task that was started as a probe, and has gone on, for a
// success once it is ready to serve.
func (h *health) observeProgress(r *run, now time.Duration) {
	if h.probing && r.task.step.def.GetLasting() && r.startedAt >= h.ejectedUntil && r.progressPercent >= fullPace && now-r.startedAt >= probeTime {
		h.recordSuccess()
	}
}
