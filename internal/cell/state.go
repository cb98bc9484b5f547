package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
)

// State is the durable state of a cell. It is not safe for concurrent use.
type State struct {
	jobs  map[string]*cellpb.Job
	tasks map[string]*jobTask
}

// jobTask is a task together with its job.
type jobTask struct {
	job  *cellpb.Job
	task *cellpb.Task
}

// NewState returns an empty State.
func NewState() *State {
	return &State{jobs: map[string]*cellpb.Job{}, tasks: map[string]*jobTask{}}
}

// Apply applies a record. It returns an error and leaves the state unchanged if the record is not
// valid for the current state.
func (s *State) Apply(r *cellpb.Record) error {
	switch c := r.GetChange().(type) {
	case *cellpb.Record_JobAccepted:
		return s.accept(c.JobAccepted)
	case *cellpb.Record_Placed:
		return s.place(c.Placed)
	case *cellpb.Record_Ended:
		return s.end(c.Ended)
	case *cellpb.Record_JobCancelled:
		return s.cancel(c.JobCancelled)
	case *cellpb.Record_Settled:
		return s.settle(c.Settled)
	case *cellpb.Record_JobForgotten:
		return s.forget(c.JobForgotten.GetJob())
	case *cellpb.Record_Refused:
		return s.refuse(c.Refused)
	}
	return fmt.Errorf("cell: unknown record type %T", r.GetChange())
}

func (s *State) accept(job *cellpb.Job) error {
	if s.jobs[job.GetId()] != nil {
		return fmt.Errorf("cell: job %s already exists", job.GetId())
	}
	job = proto.CloneOf(job)
	s.jobs[job.GetId()] = job
	for _, t := range job.GetTasks() {
		if t.GetPhase() == cellpb.Phase_PHASE_UNSPECIFIED {
			t.Phase = cellpb.Phase_PHASE_WAITING
		}
		s.tasks[t.GetId()] = &jobTask{job: job, task: t}
	}
	return nil
}

func (s *State) place(p *cellpb.Placed) error {
	jt := s.tasks[p.GetTask()]
	if jt == nil || jt.task.GetPhase() != cellpb.Phase_PHASE_WAITING || p.GetAttempt() != jt.task.GetAttempt()+1 {
		return fmt.Errorf("cell: attempt %d of task %s cannot be placed: not the next attempt of a waiting task", p.GetAttempt(), p.GetTask())
	}
	jt.task.Phase = cellpb.Phase_PHASE_RUNNING
	jt.task.Attempt = p.GetAttempt()
	jt.task.Worker = p.GetWorker()
	jt.task.Reserved = p.GetReserved()
	return nil
}

func (s *State) end(r *cellpb.Ended) error {
	jt := s.tasks[r.GetTask()]
	if jt == nil || !canEnd(jt.task, r) {
		return fmt.Errorf("cell: attempt %d of task %s cannot end as %v: not the latest attempt, or already ended", r.GetAttempt(), r.GetTask(), r.GetEnding())
	}
	t := jt.task
	if r.GetCheckpoint() != "" {
		t.Checkpoint = r.GetCheckpoint()
	}
	t.Detail = r.GetDetail()
	t.Phase = phaseAfter(jt, r)
	switch r.GetEnding() {
	case cellpb.Ending_ENDING_EVICTED:
		t.Evictions++
	case cellpb.Ending_ENDING_FAILED:
		t.Failures++
	}
	if terminal(t.GetPhase()) {
		t.EndedUnixMillis = r.GetUnixMillis()
	}
	return nil
}

// canEnd reports whether the record may end the latest attempt of the task. An attempt that was
// counted as lost can still be reported as ended, as long as no further attempt has been placed.
func canEnd(t *cellpb.Task, r *cellpb.Ended) bool {
	if r.GetAttempt() != t.GetAttempt() {
		return false
	}
	switch t.GetPhase() {
	case cellpb.Phase_PHASE_RUNNING:
		return true
	case cellpb.Phase_PHASE_UNKNOWN:
		return r.GetEnding() != cellpb.Ending_ENDING_LOST
	case cellpb.Phase_PHASE_WAITING:
		return r.GetEnding() == cellpb.Ending_ENDING_FINISHED
	}
	return false
}

func phaseAfter(jt *jobTask, r *cellpb.Ended) cellpb.Phase {
	t := jt.task
	retryPhase := cellpb.Phase_PHASE_WAITING
	if jt.job.GetCancelled() {
		retryPhase = cellpb.Phase_PHASE_CANCELLED
	}
	switch r.GetEnding() {
	case cellpb.Ending_ENDING_FINISHED:
		return cellpb.Phase_PHASE_FINISHED
	case cellpb.Ending_ENDING_NOT_STARTED:
		return retryPhase
	case cellpb.Ending_ENDING_FAILED:
		if !t.GetIdempotent() || t.GetFailures()+1 >= t.GetMaxAttempts() {
			return cellpb.Phase_PHASE_FAILED
		}
		return retryPhase
	case cellpb.Ending_ENDING_EVICTED:
		if !t.GetIdempotent() && r.GetCheckpoint() == "" && retryPhase == cellpb.Phase_PHASE_WAITING {
			return cellpb.Phase_PHASE_UNKNOWN
		}
		return retryPhase
	case cellpb.Ending_ENDING_LOST:
		if !t.GetIdempotent() {
			return cellpb.Phase_PHASE_UNKNOWN
		}
		return retryPhase
	}
	return t.GetPhase()
}

func (s *State) cancel(r *cellpb.JobKey) error {
	job := s.jobs[r.GetJob()]
	if job == nil {
		return fmt.Errorf("cell: job %s does not exist", r.GetJob())
	}
	job.Cancelled = true
	for _, t := range job.GetTasks() {
		if t.GetPhase() == cellpb.Phase_PHASE_WAITING {
			t.Phase = cellpb.Phase_PHASE_CANCELLED
			t.EndedUnixMillis = r.GetUnixMillis()
		}
	}
	return nil
}

func (s *State) settle(r *cellpb.Settled) error {
	jt := s.tasks[r.GetTask()]
	if jt == nil || jt.task.GetPhase() != cellpb.Phase_PHASE_UNKNOWN {
		return fmt.Errorf("cell: the outcome of task %s is not open", r.GetTask())
	}
	switch {
	case r.GetFinished():
		jt.task.Phase = cellpb.Phase_PHASE_FINISHED
	case jt.job.GetCancelled():
		jt.task.Phase = cellpb.Phase_PHASE_CANCELLED
	default:
		jt.task.Phase = cellpb.Phase_PHASE_WAITING
	}
	jt.task.Detail = "settled by an operator"
	jt.task.EndedUnixMillis = r.GetUnixMillis()
	return nil
}

func (s *State) refuse(r *cellpb.Refused) error {
	jt := s.tasks[r.GetTask()]
	if jt == nil || jt.task.GetPhase() != cellpb.Phase_PHASE_WAITING {
		return fmt.Errorf("cell: task %s is not waiting", r.GetTask())
	}
	jt.task.Phase = cellpb.Phase_PHASE_INFEASIBLE
	jt.task.Detail = r.GetDetail()
	jt.task.EndedUnixMillis = r.GetUnixMillis()
	return nil
}

func (s *State) forget(id string) error {
	job := s.jobs[id]
	if job == nil || !JobDone(job) {
		return fmt.Errorf("cell: job %s cannot be forgotten: unknown or not ended", id)
	}
	for _, t := range job.GetTasks() {
		delete(s.tasks, t.GetId())
	}
	delete(s.jobs, id)
	return nil
}

// Job returns a copy of a job, or nil if it does not exist.
func (s *State) Job(id string) *cellpb.Job {
	if s.jobs[id] == nil {
		return nil
	}
	return proto.CloneOf(s.jobs[id])
}

// Snapshot returns records that rebuild the state, sorted by job id.
func (s *State) Snapshot() []*cellpb.Record {
	records := make([]*cellpb.Record, 0, len(s.jobs))
	for _, job := range s.jobs {
		records = append(records, acceptedRecord(proto.CloneOf(job)))
	}
	slices.SortFunc(records, func(a, b *cellpb.Record) int {
		return strings.Compare(a.GetJobAccepted().GetId(), b.GetJobAccepted().GetId())
	})
	return records
}

// JobDone reports whether every task of a job has reached a terminal phase.
func JobDone(job *cellpb.Job) bool {
	for _, t := range job.GetTasks() {
		if !terminal(t.GetPhase()) {
			return false
		}
	}
	return true
}

func terminal(p cellpb.Phase) bool {
	switch p {
	case cellpb.Phase_PHASE_FINISHED, cellpb.Phase_PHASE_FAILED, cellpb.Phase_PHASE_CANCELLED, cellpb.Phase_PHASE_INFEASIBLE:
		return true
	}
	return false
}

func resourcesOf(r *cellpb.Resources) driver.Resources {
	return driver.NewResources(r.GetMilliCpu(), r.GetMemoryBytes(), r.GetAccelerators())
}

func acceptedRecord(job *cellpb.Job) *cellpb.Record {
	return &cellpb.Record{Change: &cellpb.Record_JobAccepted{JobAccepted: job}}
}

func placedRecord(p *cellpb.Placed) *cellpb.Record {
	return &cellpb.Record{Change: &cellpb.Record_Placed{Placed: p}}
}

func endedRecord(e *cellpb.Ended) *cellpb.Record {
	return &cellpb.Record{Change: &cellpb.Record_Ended{Ended: e}}
}

func cancelledRecord(job string, at time.Time) *cellpb.Record {
	return &cellpb.Record{Change: &cellpb.Record_JobCancelled{JobCancelled: &cellpb.JobKey{Job: job, UnixMillis: at.UnixMilli()}}}
}

func forgottenRecord(job string) *cellpb.Record {
	return &cellpb.Record{Change: &cellpb.Record_JobForgotten{JobForgotten: &cellpb.JobKey{Job: job}}}
}

func settledRecord(task string, finished bool, at time.Time) *cellpb.Record {
	return &cellpb.Record{Change: &cellpb.Record_Settled{Settled: &cellpb.Settled{Task: task, Finished: finished, UnixMillis: at.UnixMilli()}}}
}

func refusedRecord(task, detail string, at time.Time) *cellpb.Record {
	return &cellpb.Record{Change: &cellpb.Record_Refused{Refused: &cellpb.Refused{Task: task, Detail: detail, UnixMillis: at.UnixMilli()}}}
}
