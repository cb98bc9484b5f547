package engine

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/saturate"
)

// Limits on the size of a job, so that one job cannot exhaust an owner's memory.
const (
	MaxSteps = 1_000
	// maxTasks bounds the tasks of one occurrence, and those of all occurrences that are open.
	maxTasks       = 20_000
	maxOccurrences = 10_000
	// maxOpenOccurrences bounds those that are open at a time. Each of their steps is placed by itself.
	maxOpenOccurrences = 1_000
	// maxAllTasks bounds the tasks of all occurrences.
	maxAllTasks = 1_000_000
	// maxJobBytes bounds the job itself, which is stored in one value with its progress.
	maxJobBytes = 256 << 10
)

// Limits on what a task may need and when an occurrence may be due, so that sums do not overflow. No
// runner has as much, and no job waits as long.
const (
	maxMilliCPU     = 1e9
	maxMemoryMB     = 1 << 40
	maxAccelerators = 1e6
	maxUnixMillis   = 1e15
)

// ErrInvalid is returned for malformed jobs.
var ErrInvalid = errors.New("engine: invalid job")

// Validate returns an error that wraps ErrInvalid if a job is malformed or beyond the limits on new
// jobs.
func Validate(def *flowpb.Job) error {
	if err := validateSteps(def); err != nil {
		return err
	}
	tasks := 0
	for i, s := range def.GetSteps() {
		tasks += int(s.GetCount())
		if s.GetMilliCpu() > maxMilliCPU || s.GetMemoryMb() > maxMemoryMB || s.GetAccelerators() > maxAccelerators {
			return fmt.Errorf("%w: step %d needs more than any runner has", ErrInvalid, i)
		}
	}
	if n := int(def.GetOccurrences()); n > maxOccurrences || n*tasks > maxAllTasks {
		return fmt.Errorf("%w: %d occurrences of %d tasks, want at most %d and %d tasks in all", ErrInvalid, n, tasks, maxOccurrences, maxAllTasks)
	}
	if start := def.GetStartUnixMillis(); start < -maxUnixMillis || start > maxUnixMillis || def.GetIntervalMillis() > maxUnixMillis {
		return fmt.Errorf("%w: start or interval is out of range", ErrInvalid)
	}
	if size := proto.Size(def); size > maxJobBytes {
		return fmt.Errorf("%w: %d bytes, want at most %d", ErrInvalid, size, maxJobBytes)
	}
	return nil
}

// validateSteps returns an error that wraps ErrInvalid if the steps of a job are malformed. Jobs that
// are stored must pass no more than this, since they were accepted under earlier limits.
func validateSteps(def *flowpb.Job) error {
	if len(def.GetSteps()) == 0 || len(def.GetSteps()) > MaxSteps {
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalid, len(def.GetSteps()), MaxSteps)
	}
	tasks := 0
	for i, s := range def.GetSteps() {
		if s.GetCount() == 0 || s.GetMilliCpu() < 0 || s.GetMemoryMb() < 0 || s.GetAccelerators() < 0 {
			return fmt.Errorf("%w: step %d has no tasks or negative needs", ErrInvalid, i)
		}
		tasks += int(min(s.GetCount(), maxTasks+1))
		for _, a := range s.GetAfter() {
			if int(a) >= i {
				return fmt.Errorf("%w: step %d waits for step %d, which is not an earlier one", ErrInvalid, i, a)
			}
		}
	}
	if tasks > maxTasks {
		return fmt.Errorf("%w: more than %d tasks", ErrInvalid, maxTasks)
	}
	if def.GetOccurrences() > 0 && def.GetIntervalMillis() < 0 {
		return fmt.Errorf("%w: negative interval", ErrInvalid)
	}
	return nil
}

// mayBegin reports whether another occurrence may be open beside those that are.
func (j *job) mayBegin() bool {
	occurrences, tasks := 0, 0
	for _, o := range j.occurrences {
		if !o.done {
			occurrences++
			tasks += o.taskCount()
		}
	}
	return occurrences == 0 || occurrences < maxOpenOccurrences && tasks+tasks/occurrences <= maxTasks
}

func (o *occurrence) taskCount() (n int) {
	for _, s := range o.steps {
		n += len(s.tasks)
	}
	return n
}

// isDue reports whether the job is recurring and its next occurrence is due.
func (j *job) isDue(now Timestamp) bool {
	return j.def.GetOccurrences() > 0 && j.nextOccurrence < j.occurrenceCount() && now.UnixMillis >= j.dueUnixMillis(j.nextOccurrence)
}

func newOccurrence(j *job, number int, now time.Duration) *occurrence {
	o := &occurrence{job: j, number: number, startedAt: now}
	for i, def := range j.def.GetSteps() {
		s := &step{occurrence: o, def: def, number: i, remaining: int(def.GetCount())}
		for index := range int(def.GetCount()) {
			s.tasks = append(s.tasks, &task{step: s, index: index, waitingSince: now})
		}
		o.steps = append(o.steps, s)
	}
	o.computeCriticalPaths()
	return o
}

// countFromDue makes the objective of a recurring job's occurrence count from the time at which it was due.
func (o *occurrence) countFromDue(now Timestamp) {
	if o.job.def.GetOccurrences() > 0 {
		o.startedAt = now.Monotonic - saturate.Millis(max(0, now.UnixMillis-o.job.dueUnixMillis(o.number)))
	}
}

// computeCriticalPaths sets the critical path of each step from the declared durations. Steps
// depend on earlier ones only, so that one pass from the last step to the first is enough.
func (o *occurrence) computeCriticalPaths() {
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.criticalPathMillis = max(s.criticalPathMillis, 0) + estimateMillis(s.def)
		for _, a := range s.def.GetAfter() {
			predecessor := o.steps[a]
			predecessor.criticalPathMillis = max(predecessor.criticalPathMillis, s.criticalPathMillis)
		}
	}
}

// criticalPathMillis returns the declared duration of the occurrence's critical path.
func (o *occurrence) criticalPathMillis() (longest int64) {
	for _, s := range o.steps {
		longest = max(longest, s.criticalPathMillis)
	}
	return longest
}

// advance marks the steps whose predecessors are done as ready, and the occurrence as done once
// all its steps are.
func (o *occurrence) advance(now time.Duration) {
	unfinished := false
	for _, s := range o.steps {
		unfinished = unfinished || s.remaining > 0
		if s.ready || s.remaining == 0 {
			continue
		}
		ready := true
		for _, a := range s.def.GetAfter() {
			ready = ready && o.steps[a].remaining == 0
		}
		if ready {
			s.ready, s.readyAt = true, now
			for _, t := range s.tasks {
				t.waitingSince = now
			}
		}
	}
	o.done = !unfinished
}

// eachRun calls f for each live run of the job; f may remove the run.
func (j *job) eachRun(f func(*run)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for i := len(t.runs) - 1; i >= 0; i-- {
					f(t.runs[i])
				}
			}
		}
	}
}

// progress returns the durable state of the job.
func (j *job) progress() *flowpb.Progress {
	p := j.summary()
	if !j.open() {
		return p
	}
	for _, o := range j.occurrences {
		record := &flowpb.Occurrence{Number: uint32(o.number), Done: o.done}
		if !o.done {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					record.Tasks = append(record.Tasks, t.progress())
				}
			}
		}
		p.Occurrences = append(p.Occurrences, record)
	}
	return p
}

// progress returns the durable state of the task, which it takes for recorded.
func (t *task) progress() *flowpb.TaskProgress {
	p := &flowpb.TaskProgress{Done: t.done, Run: t.lastRun, Failures: t.failures, LastFailedRun: t.lastFailedRun}
	t.recorded = p
	if t.done {
		return p
	}
	p.Checkpoint = t.checkpoint
	for _, r := range t.runs {
		p.Assignments = append(p.Assignments, &flowpb.Assignment{Run: r.number, Node: r.worker.node, Runner: r.incarnation.GetId(), Born: r.incarnation.GetBorn(), ForeignLease: r.foreignLease})
	}
	return p
}

// changed reports whether the task differs from what was last recorded of it.
func (t *task) changed() bool {
	p := t.recorded
	if p == nil || t.done != p.GetDone() || t.lastRun != p.GetRun() || t.failures != p.GetFailures() || t.lastFailedRun != p.GetLastFailedRun() {
		return true
	}
	if t.done {
		return false
	}
	if t.checkpoint != p.GetCheckpoint() || len(t.runs) != len(p.GetAssignments()) {
		return true
	}
	for i, a := range p.GetAssignments() {
		r := t.runs[i]
		if r.number != a.GetRun() || r.worker.node != a.GetNode() || r.incarnation.GetId() != a.GetRunner() || r.incarnation.GetBorn() != a.GetBorn() || r.foreignLease != a.GetForeignLease() {
			return true
		}
	}
	return false
}

// restore rebuilds a job from its stored records, and calls assign for each assignment of a run.
func restore(def *flowpb.Job, p *flowpb.Progress, now Timestamp, assign func(*task, *flowpb.Assignment)) (j *job, err error) {
	if err = validateSteps(def); err != nil {
		return nil, err
	}
	j = &job{def: def, queue: queueFromTerms(def.GetQueue(), def.GetTerms()), outcome: p.GetOutcome(), durableOutcome: p.GetOutcome(), endedUnixMillis: p.GetEndedUnixMillis(), durable: true, begun: p.GetBegun(), arrivedAt: now.Monotonic}
	for _, record := range p.GetOccurrences() {
		o := newOccurrence(j, int(record.GetNumber()), now.Monotonic)
		o.countFromDue(now)
		if err = o.restore(record, assign); err != nil {
			return nil, err
		}
		o.advance(now.Monotonic)
		j.occurrences = append(j.occurrences, o)
		j.recordedDone = append(j.recordedDone, record.GetDone())
		j.nextOccurrence = max(j.nextOccurrence, o.number+1)
	}
	return j, nil
}

func (o *occurrence) restore(record *flowpb.Occurrence, assign func(*task, *flowpb.Assignment)) error {
	records := record.GetTasks()
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if record.GetDone() {
				t.done = true
				s.remaining--
				continue
			}
			if len(records) == 0 {
				return fmt.Errorf("engine: stored progress of job %s has fewer tasks than its steps", o.job.id())
			}
			p := records[0]
			records = records[1:]
			t.recorded = p
			t.lastRun, t.failures, t.lastFailedRun, t.checkpoint = p.GetRun(), p.GetFailures(), p.GetLastFailedRun(), p.GetCheckpoint()
			if p.GetDone() {
				t.done = true
				s.remaining--
				continue
			}
			for _, a := range p.GetAssignments() {
				assign(t, a)
			}
		}
	}
	return nil
}

// Change is a durable change of one job.
type Change struct {
	ID string
	// Record is nil if the progress of the tasks has not changed, or need not be stored any more.
	Record *flowpb.JobRecord
	// State is the job's progress without its tasks. It is nil if it has not changed.
	State *flowpb.Progress
	// Delete is set if the job's state is to be deleted.
	Delete bool
	// InboxItems are items of the cell's write-ahead inbox to delete together with this change.
	InboxItems []string
	// SeparateRecord is set if the job is stored in records of its own, as earlier versions did, which
	// this change replaces.
	SeparateRecord bool
}

// entries returns how many entries of a transaction the change takes apart from its record, which
// shares an entry with those of other jobs.
func (c *Change) entries() int {
	n := len(c.InboxItems)
	if c.State != nil || c.Delete {
		n++
	}
	if c.SeparateRecord {
		n += 2
	}
	return n
}

// summary returns the durable state of the job without its tasks.
func (j *job) summary() *flowpb.Progress {
	return &flowpb.Progress{Outcome: j.outcome, EndedUnixMillis: j.endedUnixMillis, Begun: j.begun}
}

// takeRecord returns a record of what has changed since the last one, or nil if nothing has.
func (j *job) takeRecord() *flowpb.JobRecord {
	r := &flowpb.JobRecord{Id: j.id()}
	full := j.recordDue || len(j.recordedDone) != len(j.occurrences)
	for i, o := range j.occurrences {
		full = full || j.recordedDone[i] != o.done
	}
	if full {
		j.recordDue, j.recordedDone = false, nil
		for _, o := range j.occurrences {
			j.recordedDone = append(j.recordedDone, o.done)
		}
		r.Job, r.Progress = j.def, j.progress()
		return r
	}
	for _, o := range j.occurrences {
		if o.done {
			continue
		}
		index := uint32(0)
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.changed() {
					r.Tasks = append(r.Tasks, &flowpb.TaskChange{Occurrence: uint32(o.number), Task: index, Progress: t.progress()})
				}
				index++
			}
		}
	}
	if len(r.Tasks) == 0 {
		return nil
	}
	return r
}
