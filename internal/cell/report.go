package cell

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Report handles an agent's heartbeat and returns the reply. It returns nil if this owner can no
// longer renew grants: it has stopped, has not confirmed its epoch within StoreSilence, or the
// agent knows a newer epoch.
func (o *Owner) Report(info WorkerInfo, r *peerpb.Report) (update *peerpb.Update) {
	_ = o.loop.Do(func() { update = o.report(info, r, time.Now()) })
	return update
}

func (o *Owner) report(info WorkerInfo, r *peerpb.Report, now time.Time) *peerpb.Update {
	if o.control.stopped || now.Sub(o.control.confirmedAt) > o.options.StoreSilence || r.GetEpoch() > o.epoch && r.GetCell() == o.options.Cell {
		return nil
	}
	w := o.ensureWorker(info.Name)
	if w.Incarnation != info.Incarnation {
		o.log.Info("first report of worker incarnation", "worker", info.Name, "incarnation", info.Incarnation)
	}
	w.WorkerInfo = info
	w.lost = false
	w.lastReport = now
	w.draining, w.rebuilding = r.GetDraining(), r.GetRebuilding()
	w.updateServices(r.GetUpstreams())
	if r.GetCapacity() != nil {
		w.capacity = driver.ResourcesFromProto(r.GetCapacity())
	}
	if r.GetFree() != nil && !w.rebuilding {
		o.reconcile(w, r.GetTasks(), now)
		w.pressures = r.GetPressures()
		w.observeProcessors(now)
		o.learnInterference(w, now)
	}
	if w.draining {
		o.evictAll(w)
	}
	o.control.placementDue = true
	w.grantEnd = now.Add(o.options.Grant + o.options.Margin)
	return o.newUpdate(w, r)
}

func (o *Owner) newUpdate(w *worker, r *peerpb.Report) *peerpb.Update {
	u := &peerpb.Update{
		Sequence: r.GetSequence(), Cell: o.options.Cell, Epoch: o.epoch, Term: w.term,
		GrantMillis: o.options.Grant.Milliseconds(), Yielding: w.yielding,
	}
	for _, k := range w.toAcknowledge {
		u.Settled = append(u.Settled, k)
	}
	for task := range w.throttled {
		if a := w.assigned[task]; a != nil {
			u.Throttled = append(u.Throttled, &peerpb.TaskKey{Task: task, Attempt: a.attempt})
		}
	}
	return u
}

// reconcile compares the attempts that the agent reports with those placed on its worker.
func (o *Owner) reconcile(w *worker, tasks []*peerpb.TaskState, now time.Time) {
	reported := map[string]bool{}
	for _, t := range tasks {
		reported[attemptKey(t.GetTask(), t.GetAttempt())] = true
		if t.GetPhase() == peerpb.Phase_PHASE_RUNNING {
			o.observeRunning(w, t)
		} else {
			o.observeEnded(w, t, now)
		}
	}
	for key := range w.toAcknowledge {
		if !reported[key] {
			delete(w.toAcknowledge, key)
		}
	}
	for _, a := range w.assigned {
		if reported[attemptKey(a.task, a.attempt)] || a.commandPending {
			a.absentReports = 0
			continue
		}
		if a.absentReports++; a.absentReports >= absentReportsMin {
			o.stopAttempt(w, a, false)
		}
	}
}

func (o *Owner) observeRunning(w *worker, t *peerpb.TaskState) {
	a := w.assigned[t.GetTask()]
	if a == nil || a.attempt != t.GetAttempt() {
		// The attempt has been superseded, or its task is no longer assigned to this worker.
		stray := &assignment{task: t.GetTask(), attempt: t.GetAttempt()}
		o.log.Warn("stray attempt", "worker", w.Name, "task", t.GetTask(), "attempt", t.GetAttempt())
		o.stopStray(w, stray)
		return
	}
	a.mayHaveRun = true
	a.used = driver.ResourcesFromProto(t.GetUsed())
	if t.GetCheckpoint() != "" {
		a.checkpoint = t.GetCheckpoint()
	}
	o.control.overuse.observe(a.class, a.reserved, a.used)
}

// observeEnded records how an attempt ended, or acknowledges the end if it is already recorded.
func (o *Owner) observeEnded(w *worker, t *peerpb.TaskState, now time.Time) {
	key := attemptKey(t.GetTask(), t.GetAttempt())
	if w.pendingEnds[key] || w.toAcknowledge[key] != nil {
		return
	}
	o.endAttempt(w, t.GetTask(), t.GetAttempt(), endingOf(t), o.resumeCheckpoint(t), t.GetDetail(), now)
	if !w.pendingEnds[key] {
		w.toAcknowledge[key] = &peerpb.TaskKey{Task: t.GetTask(), Attempt: t.GetAttempt()}
	}
}

// resumeCheckpoint returns the checkpoint from which a next attempt may start. An at-most-once
// task has one only if it was stopped exactly at the checkpoint; otherwise the next attempt would
// repeat the work done since.
func (o *Owner) resumeCheckpoint(t *peerpb.TaskState) string {
	jt := o.control.state.tasks[t.GetTask()]
	if t.GetExact() || jt == nil || jt.task.GetIdempotent() {
		return t.GetCheckpoint()
	}
	return ""
}

func endingOf(t *peerpb.TaskState) cellpb.Ending {
	switch t.GetPhase() {
	case peerpb.Phase_PHASE_FINISHED:
		return cellpb.Ending_ENDING_FINISHED
	case peerpb.Phase_PHASE_FAILED:
		return cellpb.Ending_ENDING_FAILED
	}
	return cellpb.Ending_ENDING_EVICTED
}

// endAttempt records the end of an attempt and releases its reservation.
func (o *Owner) endAttempt(w *worker, task string, attempt uint32, ending cellpb.Ending, checkpoint, detail string, now time.Time) {
	jt := o.control.state.tasks[task]
	if jt == nil || jt.task.GetWorker() != w.Name {
		return
	}
	key := attemptKey(task, attempt)
	applied := o.record(endedRecord(&cellpb.Ended{
		Task: task, Attempt: attempt, Ending: ending, Checkpoint: checkpoint, Detail: detail, UnixMillis: now.UnixMilli(),
	}), func() {
		delete(w.pendingEnds, key)
		w.toAcknowledge[key] = &peerpb.TaskKey{Task: task, Attempt: attempt}
	})
	if !applied {
		return
	}
	w.pendingEnds[key] = true
	began := time.Time{}
	if a := w.assigned[task]; a != nil && a.attempt == attempt {
		began = a.placedAt
		o.removeReserved(jt.job.GetTeam(), a.reserved)
		w.unassign(task)
	}
	o.updateWorkerHealth(w, jt.job.GetId(), ending, began, now)
	o.options.Metrics.TaskEndings.WithLabelValues(ending.String()).Inc()
	o.log.Info("attempt ended", "task", task, "attempt", attempt, "worker", w.Name, "ending", ending.String(), "phase", jt.task.GetPhase().String(), "checkpoint", jt.task.GetCheckpoint(), "detail", detail)
	if jt.task.GetPhase() == cellpb.Phase_PHASE_WAITING {
		// What fails wherever it runs waits behind the work that has not had its turn.
		o.control.queue.push(jt.job.GetUrgency(), jt.job.GetTeam(), task, !o.atFault(jt.job.GetId(), now))
	}
	o.control.placementDue = true
}

// markLost ends all attempts on a worker whose grant has expired by any clock, so that they cannot
// be running.
func (o *Owner) markLost(w *worker, now time.Time) {
	w.lost = true
	w.term++
	if len(w.assigned) > 0 || !w.lastReport.IsZero() {
		o.log.Warn("worker lost: its grant has ended", "worker", w.Name, "tasks", len(w.assigned), "silent-seconds", now.Sub(w.lastReport).Seconds())
	}
	for _, a := range w.assigned {
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_LOST, a.checkpoint, "the worker fell silent", now)
	}
	if len(w.assigned) == 0 && len(w.pendingEnds) == 0 && len(w.toAcknowledge) == 0 && now.Sub(w.lastReport) > o.options.Retention {
		delete(o.control.workers, w.Name)
	}
}
