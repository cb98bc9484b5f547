package cell

import (
	"context"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Limits on workers that fail what they start.
const (
	asideFailures = 3
	asideMin      = 20 * time.Second
	asideMax      = 10 * time.Minute
	coolDown      = time.Second
	stopRetry     = 500 * time.Millisecond
	// absences is how many full reports must miss an attempt before the agent is asked.
	absences = 2
)

// WorkerInfo is what an agent says of itself when it opens a session.
type WorkerInfo struct {
	Name        string
	Rack        string
	Incarnation uint64
}

// worker is a worker as its cell's owner sees it.
type worker struct {
	WorkerInfo
	capacity driver.Resources
	reserved driver.Resources
	seen     time.Time
	// grantEnd is when the worker runs nothing any more, unless it reports before.
	grantEnd   time.Time
	term       uint64
	lost       bool
	draining   bool
	rebuilding bool
	coolUntil  time.Time
	guardUntil time.Time
	failures   int
	asides     int
	asideUntil time.Time
	assigned   map[string]*assignment
	settled    map[string]*peerpb.TaskKey
	ending     map[string]bool
	pressures  []*peerpb.Pressure
	beside     *interfere.Worker
	throttled  map[string]bool
	pressedAt  time.Time
	calmAt     time.Time
	// serving is what the worker's upstreams serve, by service; nil before the first report.
	serving map[string]serving
	// yielding tells that the worker is to yield to tasks, and yielded that its agent has
	// told the entries so.
	yielding bool
	yielded  bool
	// reclaiming tells that services need a worker that yields, so that its tasks are
	// guarded and no more of those that harm are placed there.
	reclaiming bool
	// harmedAt is when the tasks of a yielding worker were last expected to harm.
	harmedAt time.Time
}

// assignment is an attempt that a worker runs or is about to run.
type assignment struct {
	task       string
	attempt    uint32
	class      string
	urgency    int32
	reserved   driver.Resources
	checkpoint string
	// calling tells that a command for the attempt is on its way.
	calling bool
	// incarnation is that of the agent when the attempt was placed.
	incarnation uint64
	// confirmed tells that the attempt may have run.
	confirmed bool
	absent    int
	// stop and evict tell that the attempt is to end.
	stop  bool
	evict bool
	// retryAt is when a stop that was not confirmed is sent again.
	retryAt time.Time
	used    driver.Resources
}

func (o *Owner) workerNamed(name string) *worker {
	w := o.c.workers[name]
	if w == nil {
		w = &worker{
			WorkerInfo: WorkerInfo{Name: name}, term: 1,
			assigned: map[string]*assignment{}, settled: map[string]*peerpb.TaskKey{},
			ending: map[string]bool{}, throttled: map[string]bool{}, beside: interfere.NewWorker(),
		}
		o.c.workers[name] = w
	}
	return w
}

func (w *worker) assign(a *assignment) {
	w.assigned[a.task] = a
	w.reserved = w.reserved.Plus(a.reserved)
}

func (w *worker) unassign(task string) {
	if a := w.assigned[task]; a != nil {
		delete(w.assigned, task)
		delete(w.throttled, task)
		w.reserved = w.reserved.Minus(a.reserved)
	}
}

func (w *worker) free() driver.Resources { return w.capacity.Minus(w.reserved) }

// usable reports whether tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return !w.lost && !w.draining && !w.rebuilding && now.Sub(w.seen) < silentAfter &&
		now.After(w.coolUntil) && now.After(w.asideUntil)
}

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
		w.capacity = driver.ResourcesOf(r.GetCapacity())
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
	a.used = driver.ResourcesOf(t.GetUsed())
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

// chase repeats the stops that have not been confirmed.
func (o *Owner) chase(w *worker, now time.Time) {
	for _, a := range w.assigned {
		if (a.stop || a.evict) && !a.calling && !w.lost && now.After(a.retryAt) {
			o.stopAttempt(w, a, a.evict && !a.stop)
		}
	}
}

func (o *Owner) drainWorker(w *worker) {
	for _, a := range w.assigned {
		a.evict = true
	}
}

// stopAttempt asks the agent to stop an attempt; the answer proves how it ended.
func (o *Owner) stopAttempt(w *worker, a *assignment, checkpoint bool) {
	if a.calling {
		return
	}
	a.calling = true
	command := &peerpb.StopTask{Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt, Checkpoint: checkpoint}
	name := w.Name
	o.call(func(ctx context.Context) func() {
		reply, err := o.options.Agents.Stop(ctx, name, command)
		return func() { o.stopped(w, a, reply, err) }
	})
}

func (o *Owner) stopped(w *worker, a *assignment, reply *peerpb.TaskReply, err error) {
	now := time.Now()
	a.calling = false
	a.retryAt = now.Add(stopRetry)
	if err != nil || !reply.GetAccepted() || w.assigned[a.task] != a {
		return
	}
	switch {
	case reply.GetState() != nil && reply.GetState().GetPhase() != peerpb.Phase_PHASE_RUNNING:
		s := reply.GetState()
		o.endAttempt(w, a.task, a.attempt, endingOf(s), o.resumeFrom(s), s.GetDetail(), now)
	case reply.GetReason() == peerpb.Reason_REASON_NOT_FOUND && (a.confirmed || a.incarnation != w.Incarnation):
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_LOST, a.checkpoint, "the worker does not hold it any more", now)
	case reply.GetReason() == peerpb.Reason_REASON_NOT_FOUND:
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_NOT_STARTED, "", "the start was lost", now)
	}
}

// stopStray stops an attempt that this owner has not placed on the worker.
func (o *Owner) stopStray(w *worker, a *assignment) {
	command := &peerpb.StopTask{Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt}
	name := w.Name
	o.call(func(ctx context.Context) func() {
		_, err := o.options.Agents.Stop(ctx, name, command)
		return func() {
			if err != nil {
				o.log.Warn("stray attempt was not stopped", "worker", name, "task", a.task, "error", err.Error())
			}
		}
	})
}
