package cell

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Report takes in an agent's heartbeat and returns the answer, or nil if this owner must
// not speak for the cell any more.
func (o *Owner) Report(info WorkerInfo, r *peerpb.Report) (update *peerpb.Update) {
	_ = o.loop.Do(func() { update = o.report(info, r, time.Now()) })
	return update
}

func (o *Owner) report(info WorkerInfo, r *peerpb.Report, now time.Time) *peerpb.Update {
	if o.c.stopped || now.Sub(o.c.confirmed) > o.options.StoreSilence || r.GetEpoch() > o.epoch && r.GetCell() == o.options.Cell {
		return nil
	}
	w := o.workerNamed(info.Name)
	if w.Incarnation != info.Incarnation {
		o.log.Info("worker reports", "worker", info.Name, "incarnation", info.Incarnation)
	}
	w.WorkerInfo = info
	w.lost = false
	w.seen = now
	w.draining, w.rebuilding = r.GetDraining(), r.GetRebuilding()
	w.observeServing(r.GetUpstreams())
	if r.GetCapacity() != nil {
		w.capacity = driver.ResourcesFromProto(r.GetCapacity())
	}
	if r.GetFree() != nil && !w.rebuilding {
		o.reconcile(w, r.GetTasks(), now)
		w.pressures = r.GetPressures()
		w.observeUse(now)
		o.learn(w, now)
	}
	if w.draining {
		o.drainWorker(w)
	}
	o.c.dirty = true
	w.grantEnd = now.Add(o.options.Grant + o.options.Margin)
	return o.update(w, r)
}

func (o *Owner) update(w *worker, r *peerpb.Report) *peerpb.Update {
	u := &peerpb.Update{
		Sequence: r.GetSequence(), Cell: o.options.Cell, Epoch: o.epoch, Term: w.term,
		GrantMillis: o.options.Grant.Milliseconds(), Yielding: w.yielding,
	}
	for _, k := range w.settled {
		u.Settled = append(u.Settled, k)
	}
	for task := range w.throttled {
		if a := w.assigned[task]; a != nil {
			u.Throttled = append(u.Throttled, &peerpb.TaskKey{Task: task, Attempt: a.attempt})
		}
	}
	return u
}

// reconcile compares what the agent holds with what this owner has placed there.
func (o *Owner) reconcile(w *worker, tasks []*peerpb.TaskState, now time.Time) {
	listed := map[string]bool{}
	for _, t := range tasks {
		listed[attemptKey(t.GetTask(), t.GetAttempt())] = true
		if t.GetPhase() == peerpb.Phase_PHASE_RUNNING {
			o.observeRunning(w, t)
		} else {
			o.observeEnded(w, t, now)
		}
	}
	for key := range w.settled {
		if !listed[key] {
			delete(w.settled, key)
		}
	}
	for _, a := range w.assigned {
		if listed[attemptKey(a.task, a.attempt)] || a.calling {
			a.absent = 0
			continue
		}
		if a.absent++; a.absent >= absences {
			o.stopAttempt(w, a, false)
		}
	}
}

func (o *Owner) observeRunning(w *worker, t *peerpb.TaskState) {
	a := w.assigned[t.GetTask()]
	if a == nil || a.attempt != t.GetAttempt() {
		// The worker runs an attempt that is not its own any more.
		stray := &assignment{task: t.GetTask(), attempt: t.GetAttempt()}
		o.log.Warn("stray attempt", "worker", w.Name, "task", t.GetTask(), "attempt", t.GetAttempt())
		o.stopStray(w, stray)
		return
	}
	a.confirmed = true
	a.used = driver.ResourcesFromProto(t.GetUsed())
	if t.GetCheckpoint() != "" {
		a.checkpoint = t.GetCheckpoint()
	}
	o.c.sizes.observe(a.class, a.reserved, a.used)
}

// observeEnded records how an attempt ended, or has the agent forget it if that is known.
func (o *Owner) observeEnded(w *worker, t *peerpb.TaskState, now time.Time) {
	key := attemptKey(t.GetTask(), t.GetAttempt())
	if w.ending[key] || w.settled[key] != nil {
		return
	}
	o.endAttempt(w, t.GetTask(), t.GetAttempt(), endingOf(t), o.resumeFrom(t), t.GetDetail(), now)
	if !w.ending[key] {
		w.settled[key] = &peerpb.TaskKey{Task: t.GetTask(), Attempt: t.GetAttempt()}
	}
}

// resumeFrom returns the checkpoint that a next attempt may start from. A task that runs at
// most once has none unless it was stopped right at it, as the work since would be repeated.
func (o *Owner) resumeFrom(t *peerpb.TaskState) string {
	e := o.c.state.tasks[t.GetTask()]
	if t.GetExact() || e == nil || e.task.GetIdempotent() {
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

// endAttempt records the end of an attempt and gives back what it held.
func (o *Owner) endAttempt(w *worker, task string, attempt uint32, ending cellpb.Ending, checkpoint, detail string, now time.Time) {
	e := o.c.state.tasks[task]
	if e == nil || e.task.GetWorker() != w.Name {
		return
	}
	key := attemptKey(task, attempt)
	applied := o.record(endedRecord(&cellpb.Ended{
		Task: task, Attempt: attempt, Ending: ending, Checkpoint: checkpoint, Detail: detail, UnixMillis: now.UnixMilli(),
	}), func() {
		delete(w.ending, key)
		w.settled[key] = &peerpb.TaskKey{Task: task, Attempt: attempt}
	})
	if !applied {
		return
	}
	w.ending[key] = true
	if a := w.assigned[task]; a != nil && a.attempt == attempt {
		o.removeUse(e.job.GetTeam(), a.reserved)
		w.unassign(task)
	}
	o.judge(w, ending, now)
	o.options.Metrics.TaskEndings.WithLabelValues(ending.String()).Inc()
	o.log.Info("attempt ended", "task", task, "attempt", attempt, "worker", w.Name, "ending", ending.String(), "phase", e.task.GetPhase().String(), "checkpoint", e.task.GetCheckpoint(), "detail", detail)
	if e.task.GetPhase() == cellpb.Phase_PHASE_WAITING {
		o.c.queue.push(e.job.GetUrgency(), e.job.GetTeam(), task, true)
	}
	o.c.dirty = true
}

// judge sets a worker aside that fails everything it starts.
func (o *Owner) judge(w *worker, ending cellpb.Ending, now time.Time) {
	switch ending {
	case cellpb.Ending_ENDING_FINISHED:
		w.failures, w.asides = 0, 0
	case cellpb.Ending_ENDING_FAILED:
		o.blame(w, now)
	}
}

func (o *Owner) blame(w *worker, now time.Time) {
	w.failures++
	if w.failures < asideFailures {
		return
	}
	delay := min(asideMin<<min(w.asides, 8), asideMax)
	// One more failure after the return is enough to set it aside again.
	w.failures = asideFailures - 1
	w.asides++
	w.asideUntil = now.Add(delay)
	o.log.Warn("worker set aside: it fails what it starts", "worker", w.Name, "seconds", delay.Seconds())
}

// loseWorker counts a worker's attempts as ended: its grant has run out by any clock.
func (o *Owner) loseWorker(w *worker, now time.Time) {
	w.lost = true
	w.term++
	if len(w.assigned) > 0 || !w.seen.IsZero() {
		o.log.Warn("worker lost: its grant has ended", "worker", w.Name, "tasks", len(w.assigned), "silent-seconds", now.Sub(w.seen).Seconds())
	}
	for _, a := range w.assigned {
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_LOST, a.checkpoint, "the worker fell silent", now)
	}
	if len(w.assigned) == 0 && len(w.ending) == 0 && len(w.settled) == 0 && now.Sub(w.seen) > o.options.Retention {
		delete(o.c.workers, w.Name)
	}
}
