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
	// placementsPerRound bounds the time that one placement round takes on the loop.
	placementsPerRound = 256
	// lookahead is the number of tasks at the head of a team's queue that a round tries to place.
	lookahead = 8
)

// placeWaiting runs a placement round if anything has changed since the last one. It must run on
// the loop.
func (o *Owner) placeWaiting(now time.Time) {
	if !o.control.placementDue || o.control.queue.size == 0 || o.evacuated() {
		return
	}
	o.control.placementDue = false
	r := &round{owner: o, now: now, candidates: o.candidates(now), largest: o.largestCapacity(), quotaShares: map[string]float64{}, yieldTargets: o.yieldTargets(now)}
	for urgency := urgencies - 1; urgency >= 0; urgency-- {
		if urgency == urgentRank-1 {
			// Capacity vacated for an urgent task is not offered to less urgent ones.
			for i := range r.candidates {
				r.candidates[i].Free = r.candidates[i].Free.Minus(o.heldForOthers(r.candidates[i].Worker, "", now))
			}
		}
		r.placeLevel(o.control.queue.levels[urgency])
	}
	if r.placed >= placementsPerRound {
		o.control.placementDue = true
	}
}

func (o *Owner) candidates(now time.Time) []driver.Candidate {
	candidates := make([]driver.Candidate, 0, len(o.control.workers))
	for _, w := range o.control.workers {
		if !w.usable(now) {
			continue
		}
		classes := map[string]int{}
		for _, a := range w.assigned {
			classes[a.class]++
		}
		candidates = append(candidates, driver.Candidate{Worker: w.Name, Rack: w.Rack, Capacity: w.capacity, Free: w.free(), Classes: classes, LatencyCritical: w.runsLatencyCritical()})
	}
	slices.SortFunc(candidates, func(a, b driver.Candidate) int { return strings.Compare(a.Worker, b.Worker) })
	return candidates
}

func (o *Owner) largestCapacity() (largest driver.Resources) {
	for _, w := range o.control.workers {
		largest = largest.Max(w.capacity)
	}
	return largest
}

// assign records a placement. The start command is sent once the record is durable.
func (r *round) assign(jt *jobTask, p placement) {
	o := r.owner
	w := o.control.workers[r.candidates[p.candidate].Worker]
	a := &assignment{
		task: jt.task.GetId(), attempt: jt.task.GetAttempt() + 1, class: jt.task.GetClass(),
		reserved: p.need, checkpoint: jt.task.GetCheckpoint(), commandPending: true, incarnation: w.Incarnation,
		urgency: jt.job.GetUrgency(), placedAt: time.Now(),
	}
	if !o.record(placedRecord(&cellpb.Placed{Task: a.task, Attempt: a.attempt, Worker: w.Name, Reserved: resourcesMessage(p.need)}),
		func() { o.start(w, a, jt) }) {
		return
	}
	r.placed++
	w.assign(a)
	o.passHold(a.task, w.Name)
	o.throttleAtStart(w, a)
	o.addReserved(jt.job.GetTeam(), a.reserved)
	delete(r.quotaShares, jt.job.GetTeam())
	r.candidates[p.candidate].Classes[a.class]++
	o.options.Metrics.Placements.WithLabelValues("placed").Inc()
	o.log.Info("task placed", "task", a.task, "attempt", a.attempt, "job", jt.job.GetId(), "team", jt.job.GetTeam(),
		"candidates", len(r.candidates), "choice", w.Name, "policy", o.options.Placer.Name(), "need", p.need.String(),
		"harm", r.candidates[p.candidate].Interference, "reason", attemptReason(a))
}

func attemptReason(a *assignment) string {
	switch {
	case a.attempt == 1:
		return "first attempt"
	case a.checkpoint != "":
		return "resume from " + a.checkpoint
	}
	return "next attempt"
}

// start sends the start command of a placed attempt to its agent. It runs on the loop, after the
// commit.
func (o *Owner) start(w *worker, a *assignment, jt *jobTask) {
	if w.assigned[a.task] != a {
		return
	}
	if o.evacuated() {
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_NOT_STARTED, "", "the data centre is evacuated", time.Now())
		return
	}
	command := &peerpb.StartTask{
		Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt,
		Resources: a.reserved.Proto(), Checkpoint: a.checkpoint, Class: a.class,
		RunMillis: jt.task.GetRunMillis(), Idempotent: jt.task.GetIdempotent(), Throttled: w.throttled[a.task],
	}
	name := w.Name
	o.callAgent(func(ctx context.Context) func() {
		reply, err := o.options.Agents.Start(ctx, name, command)
		return func() { o.startReplied(w, a, reply, err) }
	})
}

func (o *Owner) startReplied(w *worker, a *assignment, reply *peerpb.TaskReply, err error) {
	a.commandPending = false
	if w.assigned[a.task] != a {
		return
	}
	switch {
	case err != nil:
		// The next reports of the agent show whether the attempt is running.
		o.log.Warn("start was not answered", "task", a.task, "worker", w.Name, "error", err.Error())
	case reply.GetAccepted():
		a.mayHaveRun = true
	case reply.GetReason() == peerpb.Reason_REASON_UNSPECIFIED:
	default:
		now := time.Now()
		w.backoffUntil = now.Add(refusalBackoff)
		if reply.GetReason() == peerpb.Reason_REASON_WORKER_FAILED {
			o.countFailure(w, "", now)
		}
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_NOT_STARTED, "", "refused: "+reply.GetReason().String(), now)
	}
}
