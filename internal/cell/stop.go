package cell

import (
	"context"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// chase repeats the stops that have not been confirmed.
func (o *Owner) chase(w *worker, now time.Time) {
	for _, a := range w.assigned {
		if (a.stop || a.evict) && !a.calling && !w.lost && now.After(a.retryAt) {
			o.stopAttempt(w, a, a.evict && !a.stop)
		}
	}
}

func (o *Owner) drainWorker(w *worker) {
	for _, a := range w.assigned {
		a.evict = true
	}
}

// stopAttempt asks the agent to stop an attempt; the answer proves how it ended.
func (o *Owner) stopAttempt(w *worker, a *assignment, checkpoint bool) {
	if a.calling {
		return
	}
	a.calling = true
	command := &peerpb.StopTask{Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt, Checkpoint: checkpoint}
	name := w.Name
	o.call(func(ctx context.Context) func() {
		reply, err := o.options.Agents.Stop(ctx, name, command)
		return func() { o.stopped(w, a, reply, err) }
	})
}

func (o *Owner) stopped(w *worker, a *assignment, reply *peerpb.TaskReply, err error) {
	now := time.Now()
	a.calling = false
	a.retryAt = now.Add(stopRetry)
	if err != nil || !reply.GetAccepted() || w.assigned[a.task] != a {
		return
	}
	switch {
	case reply.GetState() != nil && reply.GetState().GetPhase() != peerpb.Phase_PHASE_RUNNING:
		s := reply.GetState()
		o.endAttempt(w, a.task, a.attempt, endingOf(s), o.resumeFrom(s), s.GetDetail(), now)
	case reply.GetReason() == peerpb.Reason_REASON_NOT_FOUND && (a.confirmed || a.incarnation != w.Incarnation):
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_LOST, a.checkpoint, "the worker does not hold it any more", now)
	case reply.GetReason() == peerpb.Reason_REASON_NOT_FOUND:
		o.endAttempt(w, a.task, a.attempt, cellpb.Ending_ENDING_NOT_STARTED, "", "the start was lost", now)
	}
}

// stopStray stops an attempt that this owner has not placed on the worker.
func (o *Owner) stopStray(w *worker, a *assignment) {
	command := &peerpb.StopTask{Cell: o.options.Cell, Epoch: o.epoch, Term: w.term, Task: a.task, Attempt: a.attempt}
	name := w.Name
	o.call(func(ctx context.Context) func() {
		_, err := o.options.Agents.Stop(ctx, name, command)
		return func() {
			if err != nil {
				o.log.Warn("stray attempt was not stopped", "worker", name, "task", a.task, "error", err.Error())
			}
		}
	})
}
