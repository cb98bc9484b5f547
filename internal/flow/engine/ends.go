package engine

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Connect notes that a session with a node's agent has opened.
func (e *Engine) Connect(node string) {
	w := e.worker(node)
	w.connected, w.synced, w.token = true, false, 0
}

// Disconnect notes that the session with a node's agent has ended.
func (e *Engine) Disconnect(node string, now Timestamp) {
	w := e.worker(node)
	w.connected, w.synced = false, false
	e.options.Log.Warn("agent disconnected", "node", node, "runs", w.runs.len(), "lease-left-ms", (w.leaseEnd - now.Monotonic).Milliseconds())
	e.removeIfUnused(w)
	e.placementDue = true
}

// Sync gives a runner a new token. Orders under earlier tokens have no effect from the
// moment at which the runner has seen it.
func (e *Engine) Sync(node string, s *flowpb.Sync, now Timestamp) {
	w := e.worker(node)
	e.lastToken++
	w.token, w.synced, w.resyncSentAt = e.lastToken, false, now.Monotonic
	w.connected = true
	info := s.GetRunner()
	if !sameIncarnation(w.info, info) {
		w.acknowledgedEnd, w.processedEnd, w.orphanRuns, w.health = 0, 0, map[driver.RunID]time.Duration{}, health{}
	}
	w.info = info
	for _, r := range w.runs.list {
		if s.GetGone() || !sameIncarnation(r.incarnation, info) {
			e.markLost(r, now.Monotonic, "runner is gone")
		}
	}
	e.options.Log.Info("runner synchronises", "node", node, "runner", info.GetId(), "born", info.GetBorn(), "gone", s.GetGone(), "token", w.token, "draining", info.GetDraining())
	if !s.GetGone() {
		e.ordersFor(w)
	}
}

// Report takes in what an agent reports and grants a lease in return.
func (e *Engine) Report(node string, report *flowpb.Report, now Timestamp) {
	w := e.workers[node]
	if w == nil || report.GetToken() != w.token || w.token == 0 {
		e.options.Log.Info("report under an old token passed over", "node", node, "token", report.GetToken())
		return
	}
	if w.info.GetDraining() != report.GetRunner().GetDraining() {
		e.options.Log.Info("runner changes state", "node", node, "runner", report.GetRunner().GetId(), "draining", report.GetRunner().GetDraining())
		e.placementDue = true
	}
	w.reportedAt, w.reportSequence, w.info = now.Monotonic, report.GetSequence(), report.GetRunner()
	for _, result := range report.GetResults() {
		e.handleStartResult(w, result, now.Monotonic)
	}
	if report.GetListed() {
		e.reconcile(w, report, now)
		e.learnInterference(w, now.Monotonic)
		e.paceWorker(w, now.Monotonic)
	}
	e.grantLease(w, now.Monotonic)
}

// grantLease lets the runner's tasks run on for a lease from the sending of the last report.
func (e *Engine) grantLease(w *worker, now time.Duration) {
	length := min(e.options.Lease, e.grantUntil-now)
	if length <= 0 || !w.synced {
		return
	}
	w.leaseEnd = max(w.leaseEnd, leaseExpiry(now, length))
	o := e.ordersFor(w)
	o.Report, o.GrantMillis = w.reportSequence, length.Milliseconds()
}

// reconcile reconciles what the runner holds with what is assigned to it.
func (e *Engine) reconcile(w *worker, report *flowpb.Report, now Timestamp) {
	seen := map[driver.RunID]bool{}
	for _, held := range report.GetRunning() {
		id := driver.RunID{Task: held.GetTask(), Run: held.GetRun()}
		seen[id] = true
		if r := w.runs.get(id); r != nil {
			e.updateProgress(r, held, now.Monotonic)
		} else if _, known := w.orphanRuns[id]; !known {
			w.orphanRuns[id] = 0
			e.options.Log.Warn("runner holds a run that is not assigned to it", "node", w.node, "task", id.Task, "run", id.Run)
		}
	}
	for _, end := range report.GetEnds() {
		if end.GetNumber() > w.processedEnd {
			w.processedEnd = end.GetNumber()
			e.handleEnd(w, end, now)
		}
	}
	for id := range w.orphanRuns {
		if !seen[id] {
			delete(w.orphanRuns, id)
			e.placementDue = true
		}
	}
	if !w.synced {
		w.synced = true
		for _, r := range w.runs.list {
			if !seen[r.id] && r.batched && r.phase != phasePlanned {
				e.markLost(r, now.Monotonic, "not on the runner")
			}
		}
		e.placementDue = true
	}
	if !e.Dirty() && e.batchesInFlight == 0 {
		w.acknowledgedEnd = w.processedEnd
	}
}

// updateProgress takes in the progress of a live run.
func (e *Engine) updateProgress(r *run, held *flowpb.Run, now time.Duration) {
	if r.phase == phaseSent {
		e.markRunning(r, now)
	}
	if held.GetCheckpoint() != "" {
		r.task.checkpoint = held.GetCheckpoint()
	}
	if int(held.GetPercent()) != r.progressPercent {
		r.progressPercent, r.progressedAt = int(held.GetPercent()), now
	}
	r.gauge, r.gaugeAt = held.GetGauge(), now
}

// markRunning notes that a run is at work.
func (e *Engine) markRunning(r *run, now time.Duration) {
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

// wanted reports whether a run may go on. The members of a gang that is done end by
// themselves.
func (e *Engine) wanted(r *run) bool {
	if r.task.done {
		return r.task.step.def.GetGang()
	}
	return r.task.step.job().open()
}

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
		// The agent synchronises next, which settles it.
		return
	case flowpb.StartOutcome_START_OUTCOME_NO_ROOM:
		w.fullUntil = now + refusalBackoff
	case flowpb.StartOutcome_START_OUTCOME_UNHEALTHY:
		w.health.eject(now)
	case flowpb.StartOutcome_START_OUTCOME_TICKET:
		delete(r.task.step.tickets, w.info.GetId())
	}
	e.options.Log.Info("start refused", "node", w.node, "task", r.task.name(), "run", r.number, "reason", result.GetOutcome().String())
	e.detach(r, now)
}

// detach removes a run that has ended or never started; its task waits again unless done.
func (e *Engine) detach(r *run, now time.Duration) {
	r.worker.runs.remove(r)
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i:i], t.runs[i+1:]...)
			break
		}
	}
	t.waitingSince = now
	e.markDirty(t.step.job())
	e.removeIfUnused(r.worker)
}

// markLost ends a run that can't be at work any more without word of how it ended.
func (e *Engine) markLost(r *run, now time.Duration, reason string) {
	e.options.Log.Info("run lost", "node", r.worker.node, "task", r.task.name(), "run", r.number, "reason", reason)
	e.detach(r, now)
	e.stopGang(r, now)
}

// handleEnd applies the handleEnd of a run that a runner lists.
func (e *Engine) handleEnd(w *worker, end *flowpb.End, now Timestamp) {
	r := w.runs.get(driver.RunID{Task: end.GetTask(), Run: end.GetRun()})
	kind := driver.EndKind(end.GetKind())
	if r == nil {
		e.options.Log.Info("end of a run that is not assigned", "node", w.node, "task", end.GetTask(), "run", end.GetRun(), "kind", kind.String())
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
		w.health.recordSuccess()
		if !t.step.def.GetFills() || r.pace == fullPace {
			w.speed.observe(float64(now.Monotonic-r.startedAt) / float64(e.expectedDuration(r)))
			e.estimates.observe(j.queue.Name, t.step.def, now.Monotonic-r.startedAt)
		}
		e.completeTask(t, now)
	case kind == driver.EndFailed:
		e.handleFailure(r, now)
	default:
		e.stopGang(r, now.Monotonic)
	}
}

// completeTask marks a task as done, and what follows from it.
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

// handleFailure counts an attempt that handleFailure and gives the job up if there were too many.
func (e *Engine) handleFailure(r *run, now Timestamp) {
	t, j := r.task, r.task.step.job()
	t.failures++
	t.notBefore = now.Monotonic + failureRetryDelay
	t.avoid(r.worker)
	r.worker.health.recordFailure(j.id(), now.Monotonic)
	failures := t.failures
	if t.step.def.GetGang() {
		failures = 0
		for _, member := range t.step.tasks {
			failures += member.failures
		}
	}
	e.options.Log.Info("run failed", "node", r.worker.node, "task", t.name(), "run", r.number, "failures", failures, "allowed", j.queue.MaxAttempts)
	if !t.step.def.GetLasting() && j.queue.MaxAttempts > 0 && int(failures) >= j.queue.MaxAttempts {
		e.closeJob(j, flowpb.Outcome_OUTCOME_FAILED, now, "task "+t.name()+" has failed too often")
		return
	}
	e.stopGang(r, now.Monotonic)
}

// stopGang stops the other members of a gang of which one has ended.
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

// closeJob ends a job and stops what it runs.
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

// stopRun ends a run that is no longer wanted; one that was never sent is dropped.
func (e *Engine) stopRun(r *run, now time.Duration, reason string) {
	if r.phase == phasePlanned {
		e.detach(r, now)
		return
	}
	if r.phase != phaseStopping {
		r.phase, r.stopReason = phaseStopping, reason
		e.options.Log.Info("run is to stop", "node", r.worker.node, "task", r.task.name(), "run", r.number, "reason", reason)
	}
	e.sendStop(r, now)
}

func (e *Engine) sendStop(r *run, now time.Duration) {
	r.stopSentAt = now
	if r.worker.connected && r.worker.synced {
		o := e.ordersFor(r.worker)
		o.Stops = append(o.Stops, &flowpb.Stop{Task: r.task.name(), Run: r.number})
	}
}
