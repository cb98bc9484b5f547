package cell

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
)

const (
	sweepInterval = 5 * time.Second
	sweepMax      = 100
)

// Errors of calls on jobs.
var (
	// ErrBusy tells that the cell takes no more jobs now; nothing was accepted.
	ErrBusy = errors.New("cell: too much is waiting")
	// ErrNotOwner tells that this owner has the cell no more; nothing was changed.
	ErrNotOwner = errors.New("cell: given up")
	// ErrNotDurable tells that a job was withdrawn before it became durable.
	ErrNotDurable = errors.New("cell: not durable in time; withdrawn")
	// ErrIndeterminate tells that it is not known yet whether a change became durable.
	ErrIndeterminate = errors.New("cell: not known yet whether the change is durable")
	// ErrNotFound tells that the cell does not know the job or the task.
	ErrNotFound = errors.New("cell: no such job")
	// ErrOutcomeKnown tells that the fate of the task is not open.
	ErrOutcomeKnown = errors.New("cell: the fate of the task is not open")
)

// submission is a job that waits for its commit.
type submission struct {
	job   *cellpb.Job
	taken bool
	done  chan struct{}
}

// Submit makes a job durable. The same job submitted twice is one job.
func (o *Owner) Submit(ctx context.Context, job *cellpb.Job) error {
	s := &submission{job: job, done: make(chan struct{})}
	var err error
	if stopped := o.loop.Do(func() { err = o.enqueue(s) }); stopped != nil {
		return ErrNotOwner
	}
	if err != nil {
		return err
	}
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
	case <-o.loop.Done():
	}
	return o.withdraw(s)
}

func (o *Owner) enqueue(s *submission) error {
	if o.c.stopped {
		return ErrNotOwner
	}
	if o.c.queue.size+len(s.job.GetTasks()) > WaitingTasksMax {
		return ErrBusy
	}
	if len(o.c.submits) >= submitsMax && !o.displace(s) {
		return ErrBusy
	}
	o.c.submits = append(o.c.submits, s)
	o.wake()
	return nil
}

// displace makes room for a job by dropping the newest one of a lower urgency; its caller
// is told when its time is up, as for any job that did not become durable.
func (o *Owner) displace(s *submission) bool {
	for i := len(o.c.submits) - 1; i >= 0; i-- {
		if o.c.submits[i].job.GetUrgency() < s.job.GetUrgency() {
			o.c.submits = slices.Delete(o.c.submits, i, i+1)
			return true
		}
	}
	return false
}

func (o *Owner) withdraw(s *submission) error {
	taken := true
	err := o.loop.Do(func() {
		taken = s.taken
		o.c.submits = slices.DeleteFunc(o.c.submits, func(other *submission) bool { return other == s })
	})
	if err != nil || taken {
		return ErrIndeterminate
	}
	return ErrNotDurable
}

// admitSubmits moves the waiting jobs into the next batch, urgent ones first; it runs on
// the loop.
func (o *Owner) admitSubmits() {
	submits := o.c.submits
	o.c.submits = nil
	slices.SortStableFunc(submits, func(a, b *submission) int { return int(b.job.GetUrgency() - a.job.GetUrgency()) })
	for _, s := range submits {
		s.taken = true
		if o.c.state.jobs[s.job.GetId()] != nil {
			o.durable(func() { close(s.done) })
			continue
		}
		o.record(acceptedRecord(s.job), func() { o.accepted(s) })
	}
}

// accepted queues a durable job's tasks.
func (o *Owner) accepted(s *submission) {
	close(s.done)
	job := o.c.state.jobs[s.job.GetId()]
	if job == nil {
		return
	}
	for _, t := range job.GetTasks() {
		if t.GetPhase() == cellpb.Phase_PHASE_WAITING {
			o.c.queue.push(job.GetUrgency(), job.GetTeam(), t.GetId(), false)
		}
	}
	o.c.dirty = true
	o.log.Info("job accepted", "job", job.GetId(), "team", job.GetTeam(), "tasks", len(job.GetTasks()), "urgency", job.GetUrgency())
	o.place(time.Now())
}

// Cancel makes the cancellation of a job durable and stops what it runs.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	return o.change(ctx, func(done func()) error {
		job := o.c.state.jobs[id]
		if job == nil {
			return ErrNotFound
		}
		if job.GetCancelled() || JobDone(job) {
			o.durable(done)
			return nil
		}
		o.record(cancelledRecord(id, time.Now()), func() {
			done()
			o.stopJob(id)
		})
		o.log.Info("job cancelled", "job", id)
		return nil
	})
}

// stopJob stops the attempts of a cancelled job; it runs on the loop.
func (o *Owner) stopJob(id string) {
	job := o.c.state.jobs[id]
	if job == nil {
		return
	}
	for _, t := range job.GetTasks() {
		w := o.c.workers[t.GetWorker()]
		if t.GetPhase() != cellpb.Phase_PHASE_RUNNING || w == nil {
			continue
		}
		if a := w.assigned[t.GetId()]; a != nil {
			a.stop = true
			o.stopAttempt(w, a, false)
		}
	}
}

// Settle records an operator's verdict on a task whose fate is unknown.
func (o *Owner) Settle(ctx context.Context, task string, finished bool) error {
	return o.change(ctx, func(done func()) error {
		e := o.c.state.tasks[task]
		if e == nil {
			return ErrNotFound
		}
		if !o.record(settledRecord(task, finished, time.Now()), done) {
			return ErrOutcomeKnown
		}
		if e.task.GetPhase() == cellpb.Phase_PHASE_WAITING {
			o.c.queue.push(e.job.GetUrgency(), e.job.GetTeam(), task, true)
			o.c.dirty = true
		}
		o.log.Info("task settled by an operator", "task", task, "finished", finished)
		return nil
	})
}

// change runs f on the loop and waits until f's done has been called, which is when the
// change is durable.
func (o *Owner) change(ctx context.Context, f func(done func()) error) error {
	durable := make(chan struct{})
	var err error
	if stopped := o.loop.Do(func() {
		if o.c.stopped {
			err = ErrNotOwner
			return
		}
		err = f(func() { close(durable) })
	}); stopped != nil {
		return ErrNotOwner
	}
	if err != nil {
		return err
	}
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
	case <-o.loop.Done():
	}
	return ErrIndeterminate
}

// durable calls f once all that is recorded so far is durable.
func (o *Owner) durable(f func()) {
	o.c.effects = append(o.c.effects, f)
	o.wake()
}

// Job returns a copy of a job.
func (o *Owner) Job(id string) (job *cellpb.Job, err error) {
	if o.loop.Do(func() { job = o.c.state.Job(id) }) != nil {
		return nil, ErrNotOwner
	}
	if job == nil {
		return nil, ErrNotFound
	}
	return job, nil
}

// Jobs returns copies of at most limit jobs, newest first.
func (o *Owner) Jobs(limit int) (jobs []*cellpb.Job) {
	_ = o.loop.Do(func() {
		for _, job := range o.c.state.jobs {
			jobs = append(jobs, job)
		}
		slices.SortFunc(jobs, func(a, b *cellpb.Job) int {
			if a.GetAcceptedUnixMillis() != b.GetAcceptedUnixMillis() {
				return int(b.GetAcceptedUnixMillis() - a.GetAcceptedUnixMillis())
			}
			return strings.Compare(a.GetId(), b.GetId())
		})
		jobs = jobs[:min(len(jobs), limit)]
		for i := range jobs {
			jobs[i] = proto.CloneOf(jobs[i])
		}
	})
	return jobs
}

// sweepJobs forgets jobs that have ended long ago; it runs on the loop.
func (o *Owner) sweepJobs(now time.Time) {
	if now.Sub(o.c.sweptAt) < sweepInterval {
		return
	}
	o.c.sweptAt = now
	for task, until := range o.c.preempted {
		if now.After(until) {
			delete(o.c.preempted, task)
		}
	}
	swept := 0
	for id, job := range o.c.state.jobs {
		if swept < sweepMax && JobDone(job) && now.Sub(endOf(job)) > o.options.Retention {
			o.record(forgottenRecord(id), nil)
			swept++
		}
	}
}

func endOf(job *cellpb.Job) time.Time {
	end := job.GetAcceptedUnixMillis()
	for _, t := range job.GetTasks() {
		end = max(end, t.GetEndedUnixMillis())
	}
	return time.UnixMilli(end)
}
