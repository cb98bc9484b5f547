package cell

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// placementsPerRound bounds the work of one tick.
	placementsPerRound = 256
	// lookahead is how far into a team's queue a round looks for a task that fits.
	lookahead = 8
)

// place assigns waiting tasks to workers; it runs on the loop.
func (o *Owner) place(now time.Time) {
	if !o.c.dirty || o.c.queue.size == 0 {
		return
	}
	o.c.dirty = false
	r := &round{owner: o, now: now, seats: o.seats(now), largest: o.largest(), shares: map[string]float64{}, yielders: o.yielders(now)}
	for urgency := urgencies - 1; urgency >= 0; urgency-- {
		if urgency == urgentRank-1 {
			// What was vacated for an urgent task is not offered to work that is less urgent.
			for i := range r.seats {
				r.seats[i].Free = r.seats[i].Free.Minus(o.heldOn(r.seats[i].Worker, "", now))
			}
		}
		r.level(o.c.queue.levels[urgency])
	}
	if r.placed >= placementsPerRound {
		o.c.dirty = true
	}
}

func (o *Owner) seats(now time.Time) []driver.Candidate {
	seats := make([]driver.Candidate, 0, len(o.c.workers))
	for _, w := range o.c.workers {
		if !w.usable(now) {
			continue
		}
		classes := map[string]int{}
		for _, a := range w.assigned {
			classes[a.class]++
		}
		seats = append(seats, driver.Candidate{Worker: w.Name, Rack: w.Rack, Capacity: w.capacity, Free: w.free(), Classes: classes, LatencyCritical: w.serves()})
	}
	slices.SortFunc(seats, func(a, b driver.Candidate) int { return strings.Compare(a.Worker, b.Worker) })
	return seats
}

func (o *Owner) largest() (largest driver.Resources) {
	for _, w := range o.c.workers {
		largest = largest.Max(w.capacity)
	}
	return largest
}

// commit records a placement; the attempt starts once that is durable.
func (r *round) commit(g *entry, c choice) {
	o := r.owner
	w := o.c.workers[r.seats[c.seat].Worker]
	a := &assignment{
		task: g.task.GetId(), attempt: g.task.GetAttempt() + 1, class: g.task.GetClass(),
		reserved: c.need, checkpoint: g.task.GetCheckpoint(), calling: true, incarnation: w.Incarnation,
		urgency: g.job.GetUrgency(),
	}
	if !o.record(placedRecord(&cellpb.Placed{Task: a.task, Attempt: a.attempt, Worker: w.Name, Reserved: toRecord(c.need)}),
		func() { o.start(w, a, g) }) {
		return
	}
	r.placed++
	w.assign(a)
	o.throttleNew(w, a)
	o.addUse(g.job.GetTeam(), a.reserved)
	delete(r.shares, g.job.GetTeam())
	r.seats[c.seat].Classes[a.class]++
	o.options.Metrics.Placements.WithLabelValues("placed").Inc()
	o.log.Info("task placed", "task", a.task, "attempt", a.attempt, "job", g.job.GetId(), "team", g.job.GetTeam(),
		"candidates", len(r.seats), "choice", w.Name, "policy", o.options.Placer.Name(), "need", c.need.String(),
		"harm", r.seats[c.seat].Interference, "reason", reasonOf(a))
}

func reasonOf(a *assignment) string {
	switch {
	case a.attempt == 1:
		return "first attempt"
	case a.checkpoint != "":
		return "resume from " + a.checkpoint
	}
	return "next attempt"
}

// start sends a placed attempt to its worker; it runs on the loop after the commit.
func (o *Owner) start(w *worker, a *assignment, g *entry) {
	if w.assigned[a.task] != a {
		return
	}
	command := &peerpb.StartTask{
		Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt,
		Resources: a.reserved.Proto(), Checkpoint: a.checkpoint, Class: a.class,
		RunMillis: g.task.GetRunMillis(), Idempotent: g.task.GetIdempotent(), Throttled: w.throttled[a.task],
	}
	name := w.Name
	o.call(func(ctx context.Context) func() {
		reply, err := o.options.Agents.Start(ctx, name, command)
		return func() { o.startReplied(w, a, reply, err) }
	})
}

func (o *Owner) startReplied(w *worker, a *assignment, reply *peerpb.TaskReply, err error) {
	a.calling = false
	if w.assigned[a.task] != a {
		return
	}
	switch {
	case err != nil:
		// Whether it runs is settled by the agent's next reports.
		o.log.Warn("start was not answered", "task", a.task, "worker", w.Name, "error", err.Error())
	case reply.GetAccepted():
		a.confirmed = true
	case reply.GetReason() == peerpb.Reason_REASON_UNSPECIFIED:
	default:
		now := time.Now()
		w.coolUntil = now.Add(coolDown)
		if reply.GetReason() == peerpb.Reason_REASON_WORKER_FAILED {
			o.blame(w, now)
		}
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_NOT_STARTED, "", "refused: "+reply.GetReason().String(), now)
	}
}
