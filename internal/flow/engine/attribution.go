package engine

import (
	"slices"
	"time"
)

// A run that fails is evidence against its runner or against its own step. A step whose runs fail
// wherever they start says nothing about its runners, and a runner that completes other work meanwhile
// is not at fault.
const (
	// incriminatingNodes is the number of nodes on which a step has to fail to be at fault itself.
	incriminatingNodes = 2
	// minDoingWell is the least time for which a run has to go on to show that its step does well. It
	// covers the delay of reports.
	minDoingWell = 250 * time.Millisecond
	// maxEvidence bounds the evidence that is kept against a runner.
	maxEvidence = 16
)

// failureRecord records where runs of a step have failed since the step last did well.
type failureRecord struct {
	// count is the number of failures, the last of which was at lastAt by node.
	count  int
	lastAt map[string]time.Duration
	// longest is the longest time that one of these runs took to fail.
	longest time.Duration
	// contradicted is set if a runner has completed other work after a run of the step had failed there.
	contradicted bool
}

func (f *failureRecord) add(node string, age, now time.Duration) {
	if f.lastAt == nil {
		f.lastAt = map[string]time.Duration{}
	}
	f.count++
	f.lastAt[node] = now
	f.longest = max(f.longest, age)
}

// contradict records that a runner has completed a run of another step that began at startedAt.
func (f *failureRecord) contradict(node string, startedAt time.Duration) {
	if at, failed := f.lastAt[node]; failed && startedAt >= at {
		f.contradicted = true
	}
}

func (f *failureRecord) empty() bool { return f.count == 0 }

// everywhere reports whether the step itself is at fault, as far as is known.
func (f *failureRecord) everywhere() bool {
	return len(f.lastAt) >= incriminatingNodes || f.contradicted && f.count > 1
}

// evidence is a failed run of a step. It counts against its runner, unless the step is at fault.
type evidence struct {
	step *step
}

// weighs reports whether the evidence counts against the runner.
func (v evidence) weighs() bool { return !v.step.failures.everywhere() }

// incriminates reports whether evidence suffices to eject a runner: enough failures, of several jobs.
func incriminates(list []evidence) bool {
	failed := 0
	jobs := map[string]bool{}
	for _, v := range list {
		if v.weighs() {
			failed++
			jobs[v.step.job().id()] = true
		}
	}
	return failed >= ejectFailures && len(jobs) >= ejectJobs
}

// appendEvidence appends to a list that is bounded. Evidence that does not count makes room first.
func appendEvidence(list []evidence, v evidence) []evidence {
	if len(list) >= maxEvidence {
		i := max(0, slices.IndexFunc(list, func(v evidence) bool { return !v.weighs() }))
		list = slices.Delete(list, i, i+1)
	}
	return append(list, v)
}

// retryDelay returns how long a task waits for its next start after a number of failures in a row.
func retryDelay(failures int) time.Duration {
	delay := failureRetryDelay
	for ; failures > 1 && delay < maxFailureRetryDelay; failures-- {
		delay *= 2
	}
	return min(delay, maxFailureRetryDelay)
}

// yields reports whether the next start of a task comes after that of all other work, since the task
// keeps failing. It does not wait longer than maxYieldTime, so that it is also started where the fleet is full.
func (t *task) yields(now time.Duration) bool {
	return t.failuresInRow >= ejectFailures && now-t.failedAt < maxYieldTime
}

// recordFailure records a failed run against its task, its step and its runner.
func (e *Engine) recordFailure(r *run, now time.Duration) {
	t, s, w := r.task, r.task.step, r.worker
	t.failuresInRow++
	t.failedAt, t.notBefore = now, now+retryDelay(t.failuresInRow)
	t.avoid(w)
	wasEverywhere := s.failures.everywhere()
	s.failures.add(w.node, now-r.startedAt, now)
	if w.health.recordFailure(s, now) {
		e.logEjection(w, "runs failed")
	}
	if !wasEverywhere && s.failures.everywhere() {
		e.withdrawEjections(s, now)
	}
}

// recordSuccess records a completed run. The failures of other work that it contradicts count against
// their steps from now on.
func (e *Engine) recordSuccess(r *run, now time.Duration) {
	s, w := r.task.step, r.worker
	s.failures = failureRecord{}
	for _, v := range slices.Concat(w.health.failed, w.health.grounds) {
		if v.step != s {
			v.step.failures.contradict(w.node, r.startedAt)
		}
	}
	w.health.recordSuccess()
}

// observeRun notices from a report on a live run that its step does well.
func (e *Engine) observeRun(r *run, now time.Duration) {
	t, s := r.task, r.task.step
	age := now - r.startedAt
	if !s.failures.empty() && age > max(2*s.failures.longest, minDoingWell) {
		s.failures = failureRecord{}
	}
	if t.failuresInRow > 0 && s.def.GetLasting() && r.progressPercent >= fullPace && age >= probeTime {
		t.failuresInRow = 0
	}
}

// withdrawEjections ends the ejections that rest on the runs of a step which turns out to be at fault
// itself.
func (e *Engine) withdrawEjections(s *step, now time.Duration) {
	f := &s.failures
	e.options.Log.Warn("step fails wherever it runs", "step", s.name(), "failures", f.count, "nodes", len(f.lastAt), "runners-do-other-work", f.contradicted)
	for _, w := range e.sortedWorkers() {
		if w.health.reconsider(now) {
			e.options.Log.Info("ejection of a runner withdrawn", "node", w.node, "step", s.name())
		}
	}
}

// logEjection logs that a runner has just been ejected, with the jobs whose runs led to it.
func (e *Engine) logEjection(w *worker, reason string) {
	var jobs []string
	for _, v := range w.health.grounds {
		if id := v.step.job().id(); v.weighs() && !slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
	}
	e.options.Log.Warn("runner ejected", "node", w.node, "reason", reason, "jobs", jobs, "for-ms", w.health.ejectionTime.Milliseconds())
}
