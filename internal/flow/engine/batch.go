package engine

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Reply is the answer to a client's call.
type Reply struct {
	Call       uint64
	Status     flowpb.Status
	RetryAfter time.Duration
	State      string
	Pending    int64
	Detail     string
}

// Effects are the actions that the caller has to carry out: orders to send, by node, and replies
// to calls.
type Effects struct {
	Orders  map[string]*flowpb.Orders
	Replies []Reply
}

// Batch is a set of changes that is stored in one commit, with the effects that follow once it
// is durable.
type Batch struct {
	changes []Change
	// entriesLeft is how many entries of a transaction the batch may still take.
	entriesLeft int
	// runs are the planned runs to send once the batch is durable.
	runs     []*run
	outcomes []outcomeUpdate
	// acknowledged holds, by worker, the last end of a run to acknowledge.
	acknowledged map[*worker]acknowledgement
}

// acknowledgement is the number of an end among those of one incarnation of a runner.
type acknowledgement struct {
	number      uint64
	incarnation *flowpb.Runner
}

// outcomeUpdate is the outcome of a job that a batch makes durable, and the calls that wait for
// it.
type outcomeUpdate struct {
	job     *job
	outcome flowpb.Outcome
	calls   []uint64
}

// Changes returns the changes to store.
func (b *Batch) Changes() []Change { return b.changes }

// BatchLimits bounds a batch.
type BatchLimits struct {
	// Entries is how many entries of a transaction are left for states, deletions and inbox items.
	Entries int
	// RecordBytes is the size of records after which no further job is added.
	RecordBytes int
}

// TakeBatch returns the changes that are due to be stored, as many as fit, or nil if there are none.
// The jobs of recordsDue, if they are open, get full records in it.
func (e *Engine) TakeBatch(limits BatchLimits, recordsDue []string) *Batch {
	if !e.Dirty() {
		return nil
	}
	due := e.recordsDue(recordsDue)
	b := &Batch{entriesLeft: limits.Entries, acknowledged: map[*worker]acknowledgement{}}
	e.batchesInFlight++
	jobs, bytes := e.dirtyJobs, 0
	e.dirtyJobs = nil
	for i, j := range jobs {
		if i >= due && bytes > limits.RecordBytes {
			e.dirtyJobs = append(e.dirtyJobs, jobs[i:]...)
			break
		}
		bytes += b.addJob(j, i < due)
		if j.dirty {
			e.dirtyJobs = append(e.dirtyJobs, j)
		}
	}
	e.deletedJobs = b.addEach(e.deletedJobs, func(id string) Change { return Change{ID: id, Delete: true} })
	e.staleInboxItems = b.addEach(e.staleInboxItems, func(name string) Change { return Change{InboxItems: []string{name}} })
	if len(e.dirtyJobs) == 0 {
		// The effects of all ends processed so far are in this batch or an earlier one.
		for _, w := range e.workers {
			if number := e.acknowledgeable(w); number > w.acknowledgedEnd {
				b.acknowledged[w] = acknowledgement{number: number, incarnation: w.info}
			}
		}
	}
	return b
}

// recordsDue moves the jobs with the given ids, which need full records, to the front of the dirty
// jobs. It returns how many there are.
func (e *Engine) recordsDue(ids []string) int {
	var due []*job
	for _, id := range ids {
		if j := e.jobs[id]; j != nil {
			j.recordDue, j.dirty = true, true
			due = append(due, j)
		}
	}
	if len(due) > 0 {
		rest := slices.DeleteFunc(e.dirtyJobs, func(j *job) bool { return slices.Contains(due, j) })
		e.dirtyJobs = append(due, rest...)
	}
	return len(due)
}

// addJob adds the changes of a job and returns the size of its record. The job stays dirty if there is
// no room for its state. The progress of its tasks can be stored without the state, unless the store
// does not hold the job yet. recordDue is set if the job's last full record is about to be overwritten.
func (b *Batch) addJob(j *job, recordDue bool) (recordBytes int) {
	c := Change{ID: j.id(), InboxItems: j.inboxItems, SeparateRecord: j.separateRecord}
	if j.stateDue() || j.separateRecord {
		c.State = j.summary()
	}
	if c.entries() <= b.entriesLeft {
		b.entriesLeft -= c.entries()
		b.addState(j, &c)
	} else {
		c = Change{ID: j.id()}
	}
	isStateStored := !j.stateDue()
	switch {
	case j.open() && (j.durable || isStateStored), recordDue && !isStateStored:
		c.Record = j.takeRecord()
		j.batched = true
		b.addPlannedRuns(j)
	case isStateStored:
		j.batched = true
	}
	if c.Record != nil || c.entries() > 0 {
		b.changes = append(b.changes, c)
	}
	return proto.Size(c.Record)
}

// addEach adds a change of one entry for each item, as many as there is room for, and returns the items
// that are left.
func (b *Batch) addEach(items []string, change func(string) Change) (left []string) {
	count := min(b.entriesLeft, len(items))
	for _, item := range items[:count] {
		b.changes = append(b.changes, change(item))
	}
	b.entriesLeft -= count
	return slices.Clone(items[count:])
}

// addState marks the state of a job as part of the batch, with the calls that are answered once it is
// durable.
func (b *Batch) addState(j *job, c *Change) {
	if c.State != nil {
		j.storedState = stateOf(c.State)
	}
	b.outcomes = append(b.outcomes, outcomeUpdate{job: j, outcome: j.outcome, calls: append(j.pendingSubmits, j.pendingCancels...)})
	j.dirty, j.pendingSubmits, j.pendingCancels, j.inboxItems, j.separateRecord = false, nil, nil, nil, false
}

// addPlannedRuns adds the planned runs of a job whose record is in the batch.
func (b *Batch) addPlannedRuns(j *job) {
	j.eachRun(func(r *run) {
		if r.phase == phasePlanned && !r.batched {
			r.batched = true
			b.runs = append(b.runs, r)
		}
	})
}

// Committed applies the effects of a batch that has been stored: it answers calls, sends starts
// and acknowledges ends.
func (e *Engine) Committed(b *Batch, now Timestamp) {
	e.batchesInFlight--
	for _, u := range b.outcomes {
		u.job.durable = true
		u.job.durableOutcome = u.outcome
		for _, call := range u.calls {
			e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: u.job.state()})
		}
	}
	for _, r := range b.runs {
		switch {
		case r.worker.runs.get(r.id) != r || r.phase != phasePlanned:
		case !e.evacuationsKnown(now.Monotonic) || e.isEvacuated(r.worker):
			// The commit may have taken long.
			e.withdraw(r, now.Monotonic, "its data centre may be evacuated")
		default:
			e.sendStart(r, now.Monotonic)
		}
	}
	for w, a := range b.acknowledged {
		// The ends of the next incarnation are numbered from 1 again.
		if sameIncarnation(w.info, a.incarnation) {
			e.acknowledge(w, a.number)
		}
	}
}

// sendStart sends the start of a run that is durable.
func (e *Engine) sendStart(r *run, now time.Duration) {
	r.phase, r.sentAt, r.progressedAt = phaseSent, now, now
	w := r.worker
	if !w.connected || !w.synced {
		// The next synchronisation shows that the run was never started, and it is marked lost.
		return
	}
	s := r.task.step
	start := &flowpb.Start{Task: r.task.name(), Run: r.number, Spec: s.job().def.GetSpec(), Checkpoint: r.checkpoint}
	if t, known := s.tickets[w.info.GetId()]; known {
		start.Ticket = t.value
	}
	o := e.ordersFor(w)
	o.Starts = append(o.Starts, start)
}

// acknowledge tells the runner that the effects of its ends up to a number are durable, and that no
// other copy of their tasks can start any more.
func (e *Engine) acknowledge(w *worker, number uint64) {
	if number > w.acknowledgedEnd {
		w.acknowledgedEnd = number
		e.ordersFor(w)
	}
}

// ordersFor returns the orders that are sent next to a worker, with current token,
// acknowledgement and last report.
func (e *Engine) ordersFor(w *worker) *flowpb.Orders {
	o := e.effects.Orders[w.node]
	if o == nil {
		o = &flowpb.Orders{}
		e.effects.Orders[w.node] = o
	}
	o.Token, o.Settled, o.Runner, o.Born = w.token, w.acknowledgedEnd, w.info.GetId(), w.info.GetBorn()
	if o.GetGrantMillis() == 0 {
		// A grant counts from the report that it answers, not from a later one.
		o.Report = w.reportSequence
	}
	return o
}

func (e *Engine) reply(r Reply) { e.effects.Replies = append(e.effects.Replies, r) }

// TakeEffects returns the effects to carry out since the last call.
func (e *Engine) TakeEffects() Effects {
	out := e.effects
	e.effects = Effects{Orders: map[string]*flowpb.Orders{}}
	return out
}
