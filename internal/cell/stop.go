package cell

import (
	"context"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// retryStops sends the requested stops of a worker's attempts, again if they have not been
// confirmed.
func (o *Owner) retryStops(w *worker, now time.Time) {
	for _, a := range w.assigned {
		if (a.stopRequested || a.evictRequested) && !a.commandPending && !w.lost && now.After(a.nextStop) {
			o.stopAttempt(w, a, a.evictRequested && !a.stopRequested)
		}
	}
}

func (o *Owner) evictAll(w *worker) {
	for _, a := range w.assigned {
		a.evictRequested = true
	}
}

// stopAttempt sends a stop command to the agent, whose reply shows how the attempt ended.
func (o *Owner) stopAttempt(w *worker, a *assignment, checkpoint bool) {
	if a.commandPending {
		return
	}
	a.commandPending = true
	command := &peerpb.StopTask{Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt, Checkpoint: checkpoint}
	name := w.Name
	o.callAgent(func(ctx context.Context) func() {
		reply, err := o.options.Agents.Stop(ctx, name, command)
		return func() { o.stopReplied(w, a, reply, err) }
	})
}

func (o *Owner) stopReplied(w *worker, a *assignment, reply *peerpb.TaskReply, err error) {
	now := time.Now()
	a.commandPending = false
	a.nextStop = now.Add(stopRetryInterval)
	if err != nil || !reply.GetAccepted() || w.assigned[a.task] != a {
		return
	}
	switch {
	case reply.GetState() != nil && reply.GetState().GetPhase() != peerpb.Phase_PHASE_RUNNING:
		s := reply.GetState()
		o.endAttempt(w, a.task, a.attempt, endingOf(s), o.resumeCheckpoint(s), s.GetDetail(), now)
	case reply.GetReason() == peerpb.Reason_REASON_NOT_FOUND && (a.mayHaveRun || a.incarnation != w.Incarnation):
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_LOST, a.checkpoint, "the worker does not hold it any more", now)
	case reply.GetReason() == peerpb.Reason_REASON_NOT_FOUND:
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_NOT_STARTED, "", "the start was lost", now)
	}
}

// stopStray stops an attempt that is not assigned to the worker on which it runs.
func (o *Owner) stopStray(w *worker, a *assignment) {
	command := &peerpb.StopTask{Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt}
	name := w.Name
	o.callAgent(func(ctx context.Context) func() {
		_, err := o.options.Agents.Stop(ctx, name, command)
		return func() {
			if err != nil {
				o.log.Warn("stray attempt was not stopped", "worker", name, "task", a.task, "error", err.Error())
			}
		}
	})
}
