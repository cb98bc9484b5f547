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
	sweepJobsMax  = 100
)

// Errors of operations on jobs.
var (
	// ErrBusy is returned when the cell is at its limit of waiting jobs or tasks; nothing was
	// accepted.
	ErrBusy = errors.New("cell: too much is waiting")
	// ErrNotOwner is returned when this owner no longer owns the cell; nothing was changed.
	ErrNotOwner = errors.New("cell: owner has given up the cell")
	// ErrNotDurable is returned when a job was withdrawn before it became durable.
	ErrNotDurable = errors.New("cell: not durable in time; withdrawn")
	// ErrIndeterminate is returned when it is not known whether a change became durable.
	ErrIndeterminate = errors.New("cell: not known yet whether the change is durable")
	// ErrNotFound is returned for a job or task that the cell does not know.
	ErrNotFound = errors.New("cell: no such job or task")
	// ErrOutcomeKnown is returned when a task to be settled does not have an unknown outcome.
	ErrOutcomeKnown = errors.New("cell: the outcome of the task is not open")
)

// submission is a job that waits to be committed.
type submission struct {
	job     *cellpb.Job
	inBatch bool
	done    chan struct{}
}

// Submit makes a job durable. It is idempotent: submitting a job again does not create a second
// one.
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
	if o.control.stopped {
		return ErrNotOwner
	}
	if o.control.state.jobs[s.job.GetId()] != nil {
		// The job was accepted before, which the limits don't change.
		s.inBatch = true
		o.afterDurable(func() { close(s.done) })
		return nil
	}
	if o.control.queue.size+len(s.job.GetTasks()) > WaitingTasksMax || len(o.control.submissions) >= submissionsMax && !o.displace(s) {
		if o.mayBeAccepted(s.job.GetId()) {
			return ErrIndeterminate
		}
		return ErrBusy
	}
	o.control.submissions = append(o.control.submissions, s)
	o.signalCommit()
	return nil
}

// displace drops the newest submission of lower urgency to make room for a job. The caller of the
// dropped one gets ErrNotDurable when its context ends, like that of any job that was not
// committed in time.
func (o *Owner) displace(s *submission) bool {
	for i := len(o.control.submissions) - 1; i >= 0; i-- {
		if o.control.submissions[i].job.GetUrgency() < s.job.GetUrgency() {
			o.control.submissions = slices.Delete(o.control.submissions, i, i+1)
			return true
		}
	}
	return false
}

// withdraw removes a submission that was not committed in time. The job may be accepted all the same, by
// another submission of it.
func (o *Owner) withdraw(s *submission) error {
	mayBeAccepted := true
	err := o.loop.Do(func() {
		o.control.submissions = slices.DeleteFunc(o.control.submissions, func(other *submission) bool { return other == s })
		mayBeAccepted = s.inBatch || o.mayBeAccepted(s.job.GetId())
	})
	if err != nil || mayBeAccepted {
		return ErrIndeterminate
	}
	return ErrNotDurable
}

// mayBeAccepted reports whether a job has been accepted or a submission of it waits. It runs on the loop.
func (o *Owner) mayBeAccepted(job string) bool {
	return o.control.state.jobs[job] != nil || slices.ContainsFunc(o.control.submissions, func(s *submission) bool { return s.job.GetId() == job })
}

// admitSubmissions moves the submissions into the next batch, most urgent first. It runs on the
// loop.
func (o *Owner) admitSubmissions() {
	submissions := o.control.submissions
	o.control.submissions = nil
	slices.SortStableFunc(submissions, func(a, b *submission) int { return int(b.job.GetUrgency() - a.job.GetUrgency()) })
	for _, s := range submissions {
		s.inBatch = true
		if o.control.state.jobs[s.job.GetId()] != nil {
			o.afterDurable(func() { close(s.done) })
			continue
		}
		o.record(acceptedRecord(s.job), func() { o.submissionDurable(s) })
	}
}

// submissionDurable queues the tasks of a job that has become durable.
func (o *Owner) submissionDurable(s *submission) {
	close(s.done)
	job := o.control.state.jobs[s.job.GetId()]
	if job == nil {
		return
	}
	for _, t := range job.GetTasks() {
		if t.GetPhase() == cellpb.Phase_PHASE_WAITING {
			o.control.queue.push(job.GetUrgency(), job.GetTeam(), t.GetId(), false)
		}
	}
	o.control.placementDue = true
	o.log.Info("job accepted", "job", job.GetId(), "team", job.GetTeam(), "tasks", len(job.GetTasks()), "urgency", job.GetUrgency())
	o.placeWaiting(time.Now())
}

// Cancel makes the cancellation of a job durable and then stops its running tasks.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	return o.awaitChange(ctx, func(done func()) error {
		job := o.control.state.jobs[id]
		if job == nil {
			return ErrNotFound
		}
		if job.GetCancelled() || JobDone(job) {
			o.afterDurable(done)
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

// stopJob stops the attempts of a cancelled job. It runs on the loop.
func (o *Owner) stopJob(id string) {
	job := o.control.state.jobs[id]
	if job == nil {
		return
	}
	for _, t := range job.GetTasks() {
		w := o.control.workers[t.GetWorker()]
		if t.GetPhase() != cellpb.Phase_PHASE_RUNNING || w == nil {
			continue
		}
		if a := w.assigned[t.GetId()]; a != nil {
			a.stopRequested = true
			o.stopAttempt(w, a, false)
		}
	}
}

// Settle records an operator's decision on a task whose outcome is unknown.
func (o *Owner) Settle(ctx context.Context, task string, finished bool) error {
	return o.awaitChange(ctx, func(done func()) error {
		jt := o.control.state.tasks[task]
		if jt == nil {
			return ErrNotFound
		}
		if !o.record(settledRecord(task, finished, time.Now()), done) {
			return ErrOutcomeKnown
		}
		if jt.task.GetPhase() == cellpb.Phase_PHASE_WAITING {
			o.control.queue.push(jt.job.GetUrgency(), jt.job.GetTeam(), task, true)
			o.control.placementDue = true
		}
		o.log.Info("task settled by an operator", "task", task, "finished", finished)
		return nil
	})
}

// awaitChange runs f on the loop and waits until f's argument has been called, which happens once
// the change is durable.
func (o *Owner) awaitChange(ctx context.Context, f func(done func()) error) error {
	durable := make(chan struct{})
	var err error
	if stopped := o.loop.Do(func() {
		if o.control.stopped {
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

// afterDurable calls f once everything recorded so far is durable.
func (o *Owner) afterDurable(f func()) {
	o.control.onDurable = append(o.control.onDurable, f)
	o.signalCommit()
}

// Job returns a copy of a job.
func (o *Owner) Job(id string) (job *cellpb.Job, err error) {
	if o.loop.Do(func() { job = o.control.state.Job(id) }) != nil {
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
		for _, job := range o.control.state.jobs {
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

// sweepJobs removes jobs whose retention has expired. It runs on the loop.
func (o *Owner) sweepJobs(now time.Time) {
	if now.Sub(o.control.lastSweep) < sweepInterval {
		return
	}
	o.control.lastSweep = now
	for task, until := range o.control.nextPreempt {
		if now.After(until) {
			delete(o.control.nextPreempt, task)
		}
	}
	o.forgetFailures()
	removed := 0
	for id, job := range o.control.state.jobs {
		if removed < sweepJobsMax && JobDone(job) && now.Sub(endTime(job)) > o.options.Retention {
			o.record(forgottenRecord(id), nil)
			removed++
		}
	}
}

func endTime(job *cellpb.Job) time.Time {
	end := job.GetAcceptedUnixMillis()
	for _, t := range job.GetTasks() {
		end = max(end, t.GetEndedUnixMillis())
	}
	return time.UnixMilli(end)
}
