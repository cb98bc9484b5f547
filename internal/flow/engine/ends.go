package engine

import (
	"math"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/saturate"
)

// Connect records that a session with a node's agent has opened.
func (e *Engine) Connect(node string) {
	w := e.worker(node)
	w.connected, w.synced, w.token = true, false, 0
}

// Disconnect records that the session with a node's agent has ended. The runs on the node stay
// assigned until their lease expires.
func (e *Engine) Disconnect(node string, now Timestamp) {
	w := e.worker(node)
	w.connected, w.synced = false, false
	e.options.Log.Warn("agent disconnected", "node", node, "runs", w.runs.len(), "lease-left-ms", (w.leaseEnd - now.Monotonic).Milliseconds())
	e.removeIfUnused(w)
	e.placementDue = true
}

// Sync issues a new token to a runner. Once the runner has seen it, orders under earlier tokens
// have no effect.
func (e *Engine) Sync(node string, s *flowpb.Sync, now Timestamp) {
	w := e.worker(node)
	e.lastToken++
	w.token, w.synced, w.resyncSentAt = e.lastToken, false, now.Monotonic
	w.connected = true
	info := s.GetRunner()
	if held := saturate.Millis(s.GetLeaseMillis()); held > 0 {
		w.expectForeignLease(now.Monotonic, held)
	}
	if w.hasOtherIncarnation(info) {
		// An agent that restarted as well does not know of the incarnation before.
		w.expectForeignLease(now.Monotonic, e.options.MaxLease)
	}
	if !sameIncarnation(w.info, info) {
		w.acknowledgedEnd, w.processedEnd, w.heldEnds, w.orphanRuns, w.health = 0, 0, nil, map[driver.RunID]time.Duration{}, health{}
		w.noLeaseUntil = 0
		for _, r := range w.runs.list {
			// The new incarnation may carry out a start that was sent to the one before.
			r.confirmed = false
		}
	}
	w.info = info
	unanswered := map[driver.RunID]bool{}
	for _, key := range s.GetUnanswered() {
		unanswered[driver.RunID{Task: key.GetTask(), Run: key.GetRun()}] = true
	}
	for _, r := range w.runs.list {
		switch {
		case r.incarnation.GetId() != info.GetId(), s.GetGone() && (r.confirmed || r.phase == phasePlanned) && !unanswered[r.id]:
			e.markLost(r, now.Monotonic, "runner is gone")
		case r.phase == phasePlanned && !sameIncarnation(r.incarnation, info):
			e.markLost(r, now.Monotonic, "runner has restarted")
		}
		// A start that was under way when the runner ended or restarted may have been carried out by the
		// new incarnation, though an agent that restarted doesn't know of it. The first list under the new
		// token shows whether it was.
	}
	e.options.Log.Info("runner synchronised", "node", node, "runner", info.GetId(), "born", info.GetBorn(), "gone", s.GetGone(), "token", w.token, "draining", info.GetDraining())
	if !s.GetGone() {
		e.ordersFor(w)
	}
}

// Report applies the report of an agent and grants a lease in return.
func (e *Engine) Report(node string, report *flowpb.Report, now Timestamp) {
	w := e.workers[node]
	if w == nil || report.GetToken() != w.token || w.token == 0 {
		e.options.Log.Info("ignoring report under a stale token", "node", node, "token", report.GetToken())
		return
	}
	if info := report.GetRunner(); info != nil {
		if w.info.GetDraining() != info.GetDraining() {
			e.options.Log.Info("runner state changed", "node", node, "runner", info.GetId(), "draining", info.GetDraining())
			e.placementDue = true
		}
		w.info = info
	}
	w.reportedAt, w.reportSequence = now.Monotonic, report.GetSequence()
	for _, result := range report.GetResults() {
		e.handleStartResult(w, result, now.Monotonic)
	}
	if report.GetListed() {
		e.reconcile(w, report, now)
		e.learnInterference(w, now.Monotonic)
		e.paceWorker(w, now.Monotonic)
		clear(w.colocations)
		e.grantLease(w, now.Monotonic)
	} else {
		e.handleEnds(w, report, now)
		e.acknowledgeStored(w)
		if !w.synced && len(report.GetEnds()) > 0 {
			// A part of many ends, which the first list waits for. The runs go on meanwhile.
			e.grantLease(w, now.Monotonic)
		}
	}
}

// grantLease grants the runner a lease that counts from when it sent its last report. The lease
// never exceeds the time for which this process certainly owns the cell.
func (e *Engine) grantLease(w *worker, now time.Duration) {
	length := min(e.options.Lease, e.grantUntil-now)
	if length <= 0 || now < w.noLeaseUntil {
		return
	}
	w.noLeaseUntil = 0
	w.grantedUntil = now + length
	w.leaseEnd = max(w.leaseEnd, leaseExpiry(now, length, e.options.Lease))
	o := e.ordersFor(w)
	o.Report, o.GrantMillis = w.reportSequence, length.Milliseconds()
}

// reconcile compares the runs and ends that the runner lists with the runs assigned to it.
func (e *Engine) reconcile(w *worker, report *flowpb.Report, now Timestamp) {
	seen := map[driver.RunID]bool{}
	for _, reported := range report.GetRunning() {
		id := driver.RunID{Task: reported.GetTask(), Run: reported.GetRun()}
		seen[id] = true
		if r := w.runs.get(id); r != nil {
			r.incarnation = w.info
			if isForeign := now.Monotonic < w.foreignLeaseEnd; r.foreignLease != isForeign {
				// A new owner has to know.
				r.foreignLease = isForeign
				e.markDirty(r.task.step.job())
			}
			e.updateProgress(r, reported, now.Monotonic)
		} else if _, known := w.orphanRuns[id]; !known {
			w.orphanRuns[id] = 0
			e.options.Log.Warn("runner lists a run that is not assigned to it", "node", w.node, "task", id.Task, "run", id.Run)
		}
	}
	e.handleEnds(w, report, now)
	for id := range w.orphanRuns {
		if !seen[id] {
			delete(w.orphanRuns, id)
			e.placementDue = true
		}
	}
	if !w.synced {
		w.synced = true
		for _, r := range w.runs.list {
			switch {
			case r.phase == phasePlanned || !r.batched:
			case !seen[r.id]:
				e.markLost(r, now.Monotonic, "not listed by the runner")
			case r.phase == phaseStopping:
				// The agent gave up the stop with the token before.
				e.sendStop(r, now.Monotonic)
			}
		}
		e.placementDue = true
	}
	e.acknowledgeStored(w)
}

// handleEnds applies the ends in a report that were not applied before.
func (e *Engine) handleEnds(w *worker, report *flowpb.Report, now Timestamp) {
	for _, end := range report.GetEnds() {
		if end.GetNumber() > w.processedEnd {
			w.processedEnd = end.GetNumber()
			e.handleEnd(w, end, now)
		}
	}
}

// acknowledgeStored acknowledges the ends of a worker if nothing waits to be stored.
func (e *Engine) acknowledgeStored(w *worker) {
	if !e.Dirty() && e.batchesInFlight == 0 {
		e.acknowledge(w, e.acknowledgeable(w))
	}
}

// updateProgress applies the state of a live run as its runner reports it.
func (e *Engine) updateProgress(r *run, reported *flowpb.Run, now time.Duration) {
	e.markRunning(r, now)
	if reported.GetCheckpoint() != "" {
		r.task.checkpoint = reported.GetCheckpoint()
	}
	if int(reported.GetPercent()) != r.progressPercent {
		r.progressPercent, r.progressedAt = int(reported.GetPercent()), now
	}
	r.gauge, r.gaugeAt = reported.GetGauge(), now
	r.worker.health.observeProgress(r, now)
	e.observeRun(r, now)
}

// markRunning records that a run has started, and stops it if it is no longer wanted.
func (e *Engine) markRunning(r *run, now time.Duration) {
	r.confirmed = true
	if r.phase != phaseSent {
		return
	}
	r.phase, r.startedAt, r.progressedAt = phaseRunning, now, now
	j := r.task.step.job()
	if !j.begun {
		j.begun = true
	}
	if !e.wanted(r) {
		e.stopRun(r, now, "no longer wanted")
	}
}

// wanted reports whether a run may continue. The runs of a gang that is done may, since its
// members end by themselves.
func (e *Engine) wanted(r *run) bool {
	if r.task.done {
		return r.task.step.def.GetGang()
	}
	return r.task.step.job().open()
}

// handleStartResult applies the answer of a runner to a start. A run that was refused is removed,
// and its task is placed again.
func (e *Engine) handleStartResult(w *worker, result *flowpb.StartResult, now time.Duration) {
	r := w.runs.get(driver.RunID{Task: result.GetTask(), Run: result.GetRun()})
	if r == nil || r.phase == phasePlanned {
		return
	}
	switch result.GetOutcome() {
	case flowpb.StartOutcome_START_OUTCOME_STARTED:
		e.markRunning(r, now)
		return
	case flowpb.StartOutcome_START_OUTCOME_DOUBT:
		// It is indeterminate whether the run started. The agent synchronises next, and the
		// runner then lists the run or not.
		return
	case flowpb.StartOutcome_START_OUTCOME_NO_ROOM:
		w.fullUntil = now + refusalBackoff
	case flowpb.StartOutcome_START_OUTCOME_UNHEALTHY:
		w.health.eject(now, nil)
	case flowpb.StartOutcome_START_OUTCOME_TICKET:
		delete(r.task.step.tickets, w.info.GetId())
		if !r.task.step.job().queue.Advised {
			// The configuration that tells of the tickets is on its way.
			r.task.notBefore = now + unadvisedRetryDelay
		}
	}
	e.options.Log.Info("start refused", "node", w.node, "task", r.task.name(), "run", r.number, "reason", result.GetOutcome().String())
	e.detach(r, now)
	e.stopGang(r, now)
}

// detach removes a run that has ended or never started. Its task waits for another run unless it
// is done.
func (e *Engine) detach(r *run, now time.Duration) {
	r.worker.detach(r)
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i:i], t.runs[i+1:]...)
			t.step.job().liveRuns--
			break
		}
	}
	t.waitingSince = now
	e.markDirty(t.step.job())
	e.removeIfUnused(r.worker)
}

// markLost removes a run that cannot be live any more, although its end was not reported.
func (e *Engine) markLost(r *run, now time.Duration, reason string) {
	e.options.Log.Info("run lost", "node", r.worker.node, "task", r.task.name(), "run", r.number, "reason", reason)
	e.detach(r, now)
	e.stopGang(r, now)
}

// handleEnd applies the end of a run that a runner reports.
func (e *Engine) handleEnd(w *worker, end *flowpb.End, now Timestamp) {
	r := w.runs.get(driver.RunID{Task: end.GetTask(), Run: end.GetRun()})
	kind := driver.EndKind(min(end.GetKind(), math.MaxUint8))
	if r == nil {
		if kind == driver.EndDone {
			e.handleOrphanDone(w, end, now)
			return
		}
		e.options.Log.Info("ignoring end of a run that is not assigned", "node", w.node, "task", end.GetTask(), "run", end.GetRun(), "kind", kind.String())
		return
	}
	t, j := r.task, r.task.step.job()
	e.markRunning(r, now.Monotonic)
	e.detach(r, now.Monotonic)
	if end.GetCheckpoint() != "" {
		t.checkpoint = end.GetCheckpoint()
	}
	e.options.Log.Debug("run ended", "node", w.node, "task", t.name(), "run", r.number, "kind", kind.String())
	switch {
	case kind == driver.EndDone && !t.step.def.GetLasting():
		e.recordSuccess(r, now.Monotonic)
		if !t.step.def.GetFills() || r.pace == fullPace {
			w.speed.observe(float64(now.Monotonic-r.startedAt) / float64(e.expectedDuration(r)))
			e.estimates.observe(j.queue.Name, t.step.def, now.Monotonic-r.startedAt)
		}
		e.completeTask(t, now)
		e.holdEnd(w, end.GetNumber(), t)
	case kind == driver.EndFailed:
		e.handleFailure(r, now)
	default:
		e.stopGang(r, now.Monotonic)
	}
}

// handleOrphanDone applies the end of a completed run that is not assigned any more, since its runner was
// not heard of until its lease had ended. The task is done all the same. A gang is not, since
// the end of a member that was given up does not show which members were there.
func (e *Engine) handleOrphanDone(w *worker, end *flowpb.End, now Timestamp) {
	j, t := e.findTask(end.GetTask())
	if t != nil && !t.done && j.open() && end.GetRun() <= t.lastRun && !t.step.def.GetGang() && !t.step.def.GetLasting() {
		e.options.Log.Info("run that is not assigned has completed its task", "node", w.node, "task", t.name(), "run", end.GetRun())
		e.completeTask(t, now)
	} else {
		e.options.Log.Info("ignoring end of a run that is not assigned", "node", w.node, "task", end.GetTask(), "run", end.GetRun(), "kind", driver.EndDone.String())
	}
	if t != nil && end.GetRun() < t.lastRun && now.Monotonic < w.foreignLeaseEnd && !t.step.def.GetSpeculative() {
		e.letLeaseEnd(w, end.GetNumber())
	}
	e.holdOrphanEnd(w, end.GetNumber(), j, t)
}

// completeTask marks a task as done, or all tasks of its step if it is a gang, and stops other
// copies of it. It advances the occurrence once the step is done.
func (e *Engine) completeTask(t *task, now Timestamp) {
	done := []*task{t}
	if t.step.def.GetGang() {
		done = t.step.tasks
	}
	for _, d := range done {
		if !d.done {
			d.done, d.checkpoint = true, ""
			d.step.remaining--
		}
		for _, r := range d.runs {
			if !t.step.def.GetGang() {
				e.stopRun(r, now.Monotonic, "another copy has finished")
			}
		}
	}
	s := t.step
	e.markDirty(s.job())
	if s.remaining > 0 {
		return
	}
	s.occurrence.advance(now.Monotonic)
	if s.occurrence.done {
		e.completeJobIfDone(s.job(), now)
	}
}

// completeJobIfDone closes the job once all its occurrences are done.
func (e *Engine) completeJobIfDone(j *job, now Timestamp) {
	if j.nextOccurrence < j.occurrenceCount() || !j.open() {
		return
	}
	for _, o := range j.occurrences {
		if !o.done {
			return
		}
	}
	e.closeJob(j, flowpb.Outcome_OUTCOME_COMPLETED, now, "all tasks are done")
}

// countFailure counts a failed run of a task and returns its failures, or those of its gang. A run of a
// gang fails once, however many of its members do and in whichever reports, also to the next owner, their
// ends come.
func (t *task) countFailure(run uint32) (failures uint32) {
	if !t.step.def.GetGang() {
		t.failures++
		return t.failures
	}
	// Earlier versions counted the failures of each member. The gang has failed at least that often.
	for _, member := range t.step.tasks {
		failures = max(failures, member.failures)
	}
	if first := t.step.tasks[0]; run > first.lastFailedRun {
		failures++
		first.failures, first.lastFailedRun = failures, run
	}
	return failures
}

// handleFailure counts a failed run, and fails the job once a task or gang has reached the
// queue's attempt limit. Long-running tasks are retried without limit.
func (e *Engine) handleFailure(r *run, now Timestamp) {
	t, j := r.task, r.task.step.job()
	failures := t.countFailure(r.number)
	e.recordFailure(r, now.Monotonic)
	e.options.Log.Info("run failed", "node", r.worker.node, "task", t.name(), "run", r.number, "failures", failures, "allowed", j.queue.MaxAttempts)
	if !t.step.def.GetLasting() && j.queue.MaxAttempts > 0 && int(failures) >= j.queue.MaxAttempts {
		e.closeJob(j, flowpb.Outcome_OUTCOME_FAILED, now, "task "+t.name()+" has reached its attempt limit")
		return
	}
	e.stopGang(r, now.Monotonic)
}

// stopGang stops the other runs of a gang after one of its members has ended.
func (e *Engine) stopGang(r *run, now time.Duration) {
	if !r.task.step.def.GetGang() {
		return
	}
	for _, t := range r.task.step.tasks {
		for _, other := range t.runs {
			if other.number == r.number && other.phase != phaseStopping {
				e.stopRun(other, now, "another member of the gang has ended")
			}
		}
	}
}

// closeJob sets the outcome of an open job and stops its runs.
func (e *Engine) closeJob(j *job, outcome flowpb.Outcome, now Timestamp, reason string) {
	if !j.open() {
		return
	}
	j.outcome, j.endedUnixMillis = outcome, now.UnixMillis
	delete(e.openJobs, j.id())
	e.options.Log.Info("job ends", "job", j.id(), "queue", j.queue.Name, "outcome", outcome.String(), "reason", reason, "age-ms", (now.Monotonic - j.arrivedAt).Milliseconds())
	j.eachRun(func(r *run) {
		if !r.task.done || !e.wanted(r) {
			e.stopRun(r, now.Monotonic, reason)
		}
	})
	e.markDirty(j)
}

// stopRun stops a run. A run that was never sent is removed at once.
func (e *Engine) stopRun(r *run, now time.Duration, reason string) {
	if r.phase == phasePlanned {
		e.detach(r, now)
		return
	}
	if r.phase != phaseStopping {
		r.phase, r.stopReason = phaseStopping, reason
		clear(r.worker.colocations)
		e.options.Log.Info("stopping run", "node", r.worker.node, "task", r.task.name(), "run", r.number, "reason", reason)
	}
	e.sendStop(r, now)
}

// sendStop sends the stop of a run if its runner can be reached; checkWorker repeats it.
func (e *Engine) sendStop(r *run, now time.Duration) {
	r.stopSentAt = now
	if r.worker.connected && r.worker.synced {
		o := e.ordersFor(r.worker)
		o.Stops = append(o.Stops, &flowpb.Stop{Task: r.task.name(), Run: r.number})
	}
}
