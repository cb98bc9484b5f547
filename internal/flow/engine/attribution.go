package engine

import (
	"slices"
	"time"
)

// A run that fails or stalls is evidence against its runner or against its own step. A step whose runs
// fail wherever they start says nothing about its runners, and a runner that completes other work
// meanwhile is not at fault. Runs also count as stalled if their step takes far longer than declared.
const (
	// incriminatingNodes is the number of nodes on which a step has to fail to be at fault itself.
	incriminatingNodes = 2
	// outlastMargin is how much longer than those that failed a run has to go on to show that its step does
	// well. It covers the delay of reports.
	outlastMargin = 500 * time.Millisecond
	// maxEvidence bounds the evidence that is kept against a runner.
	maxEvidence = 16
)

// failureRecord records where runs of a step have failed, or stalled, since the step last did well.
type failureRecord struct {
	// count is the number of failures, the last of which was at lastAt by node.
	count  int
	lastAt map[string]time.Duration
	// longest is the longest time that one of these runs took to fail.
	longest time.Duration
	// unanimous is set once runs have failed on several nodes and none goes on elsewhere.
	unanimous bool
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
	return f.unanimous || f.contradicted && f.count > 1
}

// evidence is a failed or stalled run of a step. It counts against its runner, unless the step is at
// fault.
type evidence struct {
	step    *step
	stalled bool
}

// record returns the failures, or the stalls, of the step.
func (v evidence) record() *failureRecord {
	if v.stalled {
		return &v.step.stalls
	}
	return &v.step.failures
}

// weighs reports whether the evidence counts against the runner.
func (v evidence) weighs() bool { return !v.record().everywhere() }

// incriminates reports whether evidence suffices to eject a runner: enough failures, of several jobs, or
// enough stalls.
func incriminates(list []evidence) bool {
	failed, stalled := 0, 0
	jobs := map[string]bool{}
	for _, v := range list {
		switch {
		case !v.weighs():
		case v.stalled:
			stalled++
		default:
			failed++
			jobs[v.step.job().id()] = true
		}
	}
	return stalled >= ejectStalledRuns || failed >= ejectFailures && len(jobs) >= ejectJobs
}

// atFault reports whether runs of the step fail or stall wherever they start.
func (s *step) atFault() bool { return s.failures.everywhere() || s.stalls.everywhere() }

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

// isDeferred reports whether the next start of a task comes after that of all other work, since the task
// keeps failing. It does not wait longer than maxDeferral, so that it is also started where the fleet is full.
func (t *task) isDeferred(now time.Duration) bool {
	return t.failuresInRow >= ejectFailures && now-t.failedAt < maxDeferral
}

// recordFailure records a failed run against its task, its step and its runner.
func (e *Engine) recordFailure(r *run, now time.Duration) {
	t, s, w := r.task, r.task.step, r.worker
	t.failuresInRow++
	t.failedAt, t.notBefore = now, now+retryDelay(t.failuresInRow)
	t.avoid(w)
	wasEverywhere := s.failures.everywhere()
	e.addToRecord(evidence{step: s}, r, now)
	if w.health.recordFailure(s, now) {
		e.logEjection(w, "runs failed")
	}
	if !wasEverywhere && s.failures.everywhere() {
		e.withdrawEjections(evidence{step: s}, now)
	}
}

// addToRecord adds a failed or stalled run to the record of its step.
func (e *Engine) addToRecord(v evidence, r *run, now time.Duration) {
	f := v.record()
	f.add(r.worker.node, now-r.startedAt, now)
	f.unanimous = f.unanimous || len(f.lastAt) >= incriminatingNodes && !e.goesOnElsewhere(v, now)
}

// goesOnElsewhere reports whether a run of the step goes on where none has failed or stalled, and did not
// just begin.
func (e *Engine) goesOnElsewhere(v evidence, now time.Duration) bool {
	f := v.record()
	for _, t := range v.step.tasks {
		for _, r := range t.runs {
			if _, failed := f.lastAt[r.worker.node]; failed || r.phase != phaseRunning {
				continue
			}
			if v.stalled && e.moves(r) || !v.stalled && 2*(now-r.startedAt) >= f.longest {
				return true
			}
		}
	}
	return false
}

// moves reports whether a run has reported progress of late.
func (e *Engine) moves(r *run) bool {
	return r.progressPercent > 0 && r.worker.reportedAt-r.progressedAt <= e.stallTimeout(r)
}

// outlasted reports whether a run of the given age has gone on for clearly longer than those that failed.
func (f *failureRecord) outlasted(age time.Duration) bool {
	return age > f.longest+outlastMargin
}

// recordStall records a run that has stalled against its task and its step. The next runs of a step that
// stalls wherever it runs may report no progress for longer, since its duration was declared too short.
func (e *Engine) recordStall(r *run, now time.Duration) evidence {
	t, s, w := r.task, r.task.step, r.worker
	v := evidence{step: s, stalled: true}
	t.avoid(w)
	wasEverywhere := s.stalls.everywhere()
	e.addToRecord(v, r, now)
	if !s.stalls.everywhere() {
		return v
	}
	if !wasEverywhere {
		e.withdrawEjections(v, now)
	}
	if r.startedAt >= s.patienceRaisedAt && s.patience < maxStallPatience {
		s.patience, s.patienceRaisedAt = s.patience+1, now
		e.options.Log.Info("runs of a step may report no progress for longer", "step", s.name(), "times", 1<<s.patience)
	}
	return v
}

// recordSuccess records a completed run. The failures of other work that it contradicts count against
// their steps from now on.
func (e *Engine) recordSuccess(r *run, now time.Duration) {
	s, w := r.task.step, r.worker
	s.failures, s.stalls = failureRecord{}, failureRecord{}
	for _, v := range slices.Concat(w.health.failed, w.health.grounds) {
		if v.step != s {
			v.record().contradict(w.node, r.startedAt)
		}
	}
	w.health.recordSuccess()
}

// observeRun notices from a report on a live run that its step does well.
func (e *Engine) observeRun(r *run, now time.Duration) {
	t, s := r.task, r.task.step
	age := now - r.startedAt
	if !s.failures.empty() && s.failures.outlasted(age) {
		s.failures = failureRecord{}
	}
	if !s.stalls.empty() && r.progressPercent > 0 && r.progressedAt == now {
		s.stalls = failureRecord{}
	}
	if t.failuresInRow > 0 && s.def.GetLasting() && r.progressPercent >= fullPace && age >= probeTime {
		t.failuresInRow = 0
	}
}

// withdrawEjections ends the ejections that rest on the runs of a step which turns out to be at fault
// itself.
func (e *Engine) withdrawEjections(v evidence, now time.Duration) {
	f, step := v.record(), v.step.name()
	e.options.Log.Warn("step fails wherever it runs", "step", step, "stalled", v.stalled, "failures", f.count, "nodes", len(f.lastAt), "runners-do-other-work", f.contradicted)
	for _, w := range e.sortedWorkers() {
		if w.health.reconsider() {
			e.options.Log.Info("ejection of a runner withdrawn", "node", w.node, "step", step)
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
