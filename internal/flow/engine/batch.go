package engine

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Reply answers a call.
type Reply struct {
	Call       uint64
	Status     flowpb.Status
	RetryAfter time.Duration
	State      string
	Pending    int64
	Detail     string
}

// Effects are what the caller has to carry out: orders by node, and replies.
type Effects struct {
	Orders  map[string]*flowpb.Orders
	Replies []Reply
}

// Batch is a set of changes that is stored at once, and what follows from it.
type Batch struct {
	changes      []Change
	runs         []*run
	outcomes     []outcomeUpdate
	acknowledged map[*worker]uint64
}

type outcomeUpdate struct {
	job     *job
	outcome flowpb.Outcome
	calls   []uint64
}

// Changes returns what has to be stored.
func (b *Batch) Changes() []Change { return b.changes }

// TakeBatch returns what has to be stored now, at most limit jobs, or nil.
func (e *Engine) TakeBatch(limit int) *Batch {
	if !e.Dirty() {
		return nil
	}
	b := &Batch{acknowledged: map[*worker]uint64{}}
	e.batchesInFlight++
	taken := e.dirtyJobs[:min(limit, len(e.dirtyJobs))]
	for _, j := range taken {
		c := Change{ID: j.id(), Progress: j.progress(), InboxItems: j.inboxItems}
		j.inboxItems = nil
		if !j.durable {
			c.Job = j.def
		}
		b.changes = append(b.changes, c)
		b.outcomes = append(b.outcomes, outcomeUpdate{job: j, outcome: j.outcome, calls: append(j.pendingSubmits, j.pendingCancels...)})
		j.dirty, j.batched, j.pendingSubmits, j.pendingCancels = false, true, nil, nil
		j.eachRun(func(r *run) {
			if r.phase == phasePlanned && !r.batched {
				r.batched = true
				b.runs = append(b.runs, r)
			}
		})
	}
	e.dirtyJobs = slices.Clone(e.dirtyJobs[len(taken):])
	room := min(limit-len(taken), len(e.deletedJobs))
	for _, id := range e.deletedJobs[:room] {
		b.changes = append(b.changes, Change{ID: id, Delete: true})
	}
	e.deletedJobs = slices.Clone(e.deletedJobs[room:])
	room = min(limit-len(b.changes), len(e.staleInboxItems))
	for _, name := range e.staleInboxItems[:room] {
		b.changes = append(b.changes, Change{InboxItems: []string{name}})
	}
	e.staleInboxItems = slices.Clone(e.staleInboxItems[room:])
	if len(e.dirtyJobs) == 0 {
		// Every end that was taken so far is in this batch or an earlier one.
		for _, w := range e.workers {
			if w.processedEnd > w.acknowledgedEnd {
				b.acknowledged[w] = w.processedEnd
			}
		}
	}
	return b
}

// Committed carries on after a batch has been stored.
func (e *Engine) Committed(b *Batch, now Timestamp) {
	e.batchesInFlight--
	for _, s := range b.outcomes {
		s.job.durable = true
		s.job.durableOutcome = s.outcome
		for _, call := range s.calls {
			e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: s.job.state()})
		}
	}
	for _, r := range b.runs {
		if r.worker.runs.get(r.id) == r && r.phase == phasePlanned {
			e.sendStart(r, now.Monotonic)
		}
	}
	for w, n := range b.acknowledged {
		e.acknowledge(w, n)
	}
}

// sendStart orders a durable run to start.
func (e *Engine) sendStart(r *run, now time.Duration) {
	r.phase, r.sentAt, r.progressedAt = phaseSent, now, now
	w := r.worker
	if !w.connected || !w.synced {
		// The synchronisation that follows settles that it never started.
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

func (e *Engine) acknowledge(w *worker, number uint64) {
	if number > w.acknowledgedEnd {
		w.acknowledgedEnd = number
		e.ordersFor(w)
	}
}

// ordersFor returns the ordersFor to a worker that are carried out next.
func (e *Engine) ordersFor(w *worker) *flowpb.Orders {
	o := e.effects.Orders[w.node]
	if o == nil {
		o = &flowpb.Orders{}
		e.effects.Orders[w.node] = o
	}
	o.Token, o.Settled, o.Runner, o.Born = w.token, w.acknowledgedEnd, w.info.GetId(), w.info.GetBorn()
	return o
}

func (e *Engine) reply(r Reply) { e.effects.Replies = append(e.effects.Replies, r) }

// TakeEffects returns what has to be carried out now.
func (e *Engine) TakeEffects() Effects {
	out := e.effects
	e.effects = Effects{Orders: map[string]*flowpb.Orders{}}
	return out
}
