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

// State is the durable state of a cell; it is not safe for concurrent use.
type State struct {
	jobs  map[string]*cellpb.Job
	tasks map[string]*entry
}

// entry is a task with the job that it belongs to.
type entry struct {
	job  *cellpb.Job
	task *cellpb.Task
}

// NewState returns an empty State.
func NewState() *State {
	return &State{jobs: map[string]*cellpb.Job{}, tasks: map[string]*entry{}}
}

// Apply changes the state by one record. An error tells that the record does not follow
// from the state, and then nothing has changed.
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
	return fmt.Errorf("cell: unknown record %T", r.GetChange())
}

func (s *State) accept(job *cellpb.Job) error {
	if s.jobs[job.GetId()] != nil {
		return fmt.Errorf("cell: job %s exists", job.GetId())
	}
	job = proto.CloneOf(job)
	s.jobs[job.GetId()] = job
	for _, t := range job.GetTasks() {
		if t.GetPhase() == cellpb.Phase_PHASE_UNSPECIFIED {
			t.Phase = cellpb.Phase_PHASE_WAITING
		}
		s.tasks[t.GetId()] = &entry{job: job, task: t}
	}
	return nil
}

func (s *State) place(p *cellpb.Placed) error {
	e := s.tasks[p.GetTask()]
	if e == nil || e.task.GetPhase() != cellpb.Phase_PHASE_WAITING || p.GetAttempt() != e.task.GetAttempt()+1 {
		return fmt.Errorf("cell: attempt %d of task %s can't be placed", p.GetAttempt(), p.GetTask())
	}
	e.task.Phase = cellpb.Phase_PHASE_RUNNING
	e.task.Attempt = p.GetAttempt()
	e.task.Worker = p.GetWorker()
	e.task.Reserved = p.GetReserved()
	return nil
}

func (s *State) end(r *cellpb.Ended) error {
	e := s.tasks[r.GetTask()]
	if e == nil || !endable(e.task, r) {
		return fmt.Errorf("cell: attempt %d of task %s can't end as %v", r.GetAttempt(), r.GetTask(), r.GetEnding())
	}
	t := e.task
	if r.GetCheckpoint() != "" {
		t.Checkpoint = r.GetCheckpoint()
	}
	t.Detail = r.GetDetail()
	t.Phase = phaseAfter(e, r)
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

// endable reports whether the record speaks of the newest attempt while its end is open.
// An attempt that was counted as lost may still prove how it ended, until the next one
// is placed.
func endable(t *cellpb.Task, r *cellpb.Ended) bool {
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

func phaseAfter(e *entry, r *cellpb.Ended) cellpb.Phase {
	t := e.task
	again := cellpb.Phase_PHASE_WAITING
	if e.job.GetCancelled() {
		again = cellpb.Phase_PHASE_CANCELLED
	}
	switch r.GetEnding() {
	case cellpb.Ending_ENDING_FINISHED:
		return cellpb.Phase_PHASE_FINISHED
	case cellpb.Ending_ENDING_NOT_STARTED:
		return again
	case cellpb.Ending_ENDING_FAILED:
		if !t.GetIdempotent() || t.GetFailures()+1 >= t.GetMaxAttempts() {
			return cellpb.Phase_PHASE_FAILED
		}
		return again
	case cellpb.Ending_ENDING_EVICTED:
		if !t.GetIdempotent() && r.GetCheckpoint() == "" && again == cellpb.Phase_PHASE_WAITING {
			return cellpb.Phase_PHASE_UNKNOWN
		}
		return again
	case cellpb.Ending_ENDING_LOST:
		if !t.GetIdempotent() {
			return cellpb.Phase_PHASE_UNKNOWN
		}
		return again
	}
	return t.GetPhase()
}

func (s *State) cancel(r *cellpb.JobKey) error {
	job := s.jobs[r.GetJob()]
	if job == nil {
		return fmt.Errorf("cell: no job %s", r.GetJob())
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
	e := s.tasks[r.GetTask()]
	if e == nil || e.task.GetPhase() != cellpb.Phase_PHASE_UNKNOWN {
		return fmt.Errorf("cell: the fate of task %s is not open", r.GetTask())
	}
	switch {
	case r.GetFinished():
		e.task.Phase = cellpb.Phase_PHASE_FINISHED
	case e.job.GetCancelled():
		e.task.Phase = cellpb.Phase_PHASE_CANCELLED
	default:
		e.task.Phase = cellpb.Phase_PHASE_WAITING
	}
	e.task.Detail = "settled by an operator"
	e.task.EndedUnixMillis = r.GetUnixMillis()
	return nil
}

func (s *State) refuse(r *cellpb.Refused) error {
	e := s.tasks[r.GetTask()]
	if e == nil || e.task.GetPhase() != cellpb.Phase_PHASE_WAITING {
		return fmt.Errorf("cell: task %s is not waiting", r.GetTask())
	}
	e.task.Phase = cellpb.Phase_PHASE_INFEASIBLE
	e.task.Detail = r.GetDetail()
	e.task.EndedUnixMillis = r.GetUnixMillis()
	return nil
}

func (s *State) forget(id string) error {
	job := s.jobs[id]
	if job == nil || !JobDone(job) {
		return fmt.Errorf("cell: job %s can't be forgotten", id)
	}
	for _, t := range job.GetTasks() {
		delete(s.tasks, t.GetId())
	}
	delete(s.jobs, id)
	return nil
}

// Job returns a copy of a job, or nil.
func (s *State) Job(id string) *cellpb.Job {
	if s.jobs[id] == nil {
		return nil
	}
	return proto.CloneOf(s.jobs[id])
}

// Snapshot returns records that rebuild the state, in order of the jobs' ids.
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

func resources(r *cellpb.Resources) driver.Resources {
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
