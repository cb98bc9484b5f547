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
	changes []Change
	runs    []*run
	shown   []shown
	settled map[*worker]uint64
}

type shown struct {
	job     *job
	outcome flowpb.Outcome
	replies []uint64
}

// Changes returns what has to be stored.
func (b *Batch) Changes() []Change { return b.changes }

// Take returns what has to be stored now, at most limit jobs, or nil.
func (e *Engine) Take(limit int) *Batch {
	if !e.Dirty() {
		return nil
	}
	b := &Batch{settled: map[*worker]uint64{}}
	e.inFlight++
	taken := e.dirty[:min(limit, len(e.dirty))]
	for _, j := range taken {
		c := Change{ID: j.id(), Progress: j.progress(), Taken: j.inboxItems}
		j.inboxItems = nil
		if !j.durable {
			c.Job = j.def
		}
		b.changes = append(b.changes, c)
		b.shown = append(b.shown, shown{job: j, outcome: j.outcome, replies: append(j.pendingSubmits, j.pendingCancels...)})
		j.dirty, j.batched, j.pendingSubmits, j.pendingCancels = false, true, nil, nil
		j.live(func(r *run) {
			if r.phase == phasePlanned && !r.batched {
				r.batched = true
				b.runs = append(b.runs, r)
			}
		})
	}
	e.dirty = slices.Clone(e.dirty[len(taken):])
	room := min(limit-len(taken), len(e.deleted))
	for _, id := range e.deleted[:room] {
		b.changes = append(b.changes, Change{ID: id, Forget: true})
	}
	e.deleted = slices.Clone(e.deleted[room:])
	room = min(limit-len(b.changes), len(e.stale))
	for _, name := range e.stale[:room] {
		b.changes = append(b.changes, Change{Taken: []string{name}})
	}
	e.stale = slices.Clone(e.stale[room:])
	if len(e.dirty) == 0 {
		// Every end that was taken so far is in this batch or an earlier one.
		for _, w := range e.workers {
			if w.taken > w.settled {
				b.settled[w] = w.taken
			}
		}
	}
	return b
}

// Committed carries on after a batch has been stored.
func (e *Engine) Committed(b *Batch, now Timestamp) {
	e.inFlight--
	for _, s := range b.shown {
		s.job.durable = true
		s.job.durableOutcome = s.outcome
		for _, call := range s.replies {
			e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: s.job.state()})
		}
	}
	for _, r := range b.runs {
		if r.worker.runs.get(r.id) == r && r.phase == phasePlanned {
			e.send(r, now.Monotonic)
		}
	}
	for w, n := range b.settled {
		e.settle(w, n)
	}
}

// send orders a durable run to start.
func (e *Engine) send(r *run, now time.Duration) {
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
	o := e.orders(w)
	o.Starts = append(o.Starts, start)
}

func (e *Engine) settle(w *worker, number uint64) {
	if number > w.settled {
		w.settled = number
		e.orders(w)
	}
}

// orders returns the orders to a worker that are carried out next.
func (e *Engine) orders(w *worker) *flowpb.Orders {
	o := e.out.Orders[w.node]
	if o == nil {
		o = &flowpb.Orders{}
		e.out.Orders[w.node] = o
	}
	o.Token, o.Settled, o.Runner, o.Born = w.token, w.settled, w.info.GetId(), w.info.GetBorn()
	return o
}

func (e *Engine) reply(r Reply) { e.out.Replies = append(e.out.Replies, r) }

// Effects returns what has to be carried out now.
func (e *Engine) Effects() Effects {
	out := e.out
	e.out = Effects{Orders: map[string]*flowpb.Orders{}}
	return out
}
