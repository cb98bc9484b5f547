package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// tombstoneRetention outlasts any command that may still be on its way.
	tombstoneRetention = 15 * time.Minute
	workerRetryDelay   = 100 * time.Millisecond
)

// The shares of its processors that an attempt is given.
const (
	// shareUnknown is that of an attempt which an earlier process of this agent has started.
	shareUnknown   = 0.0
	shareThrottled = 0.25
	shareFull      = 1.0
)

func shareOf(throttled bool) float64 {
	if throttled {
		return shareThrottled
	}
	return shareFull
}

// attempt is one attempt of a task on this worker.
type attempt struct {
	task       string
	number     uint32
	class      string
	reserved   driver.Resources
	phase      peerpb.Phase
	checkpoint string
	detail     string
	used       driver.Resources
	// confirmed is when the worker was first known to hold the attempt; zero before.
	confirmed time.Time
	// share is the share of its processors that the attempt was last given.
	share float64
	// leaseUntil is when the worker stops the attempt by itself.
	leaseUntil time.Time
	// exact tells that the attempt is being stopped, or was, right at its checkpoint.
	exact bool
}

func attemptKey(task string, number uint32) string { return fmt.Sprintf("%s#%d", task, number) }

func (t *attempt) key() string { return attemptKey(t.task, t.number) }

func (t *attempt) state() *peerpb.TaskState {
	return &peerpb.TaskState{
		Task: t.task, Attempt: t.number, Phase: t.phase, Checkpoint: t.checkpoint,
		Detail: t.detail, Used: t.used.Proto(), Exact: t.phase == peerpb.Phase_PHASE_STOPPED && t.exact,
	}
}

// serveStart runs an attempt if the grant covers it and it fits.
func (a *Agent) serveStart(ctx context.Context, stream *peer.Stream, s *peerpb.StartTask) {
	defer stream.Close()
	var reply *peerpb.TaskReply
	var until time.Time
	if a.loop.Do(func() { reply, until = a.acceptStart(s) }) != nil {
		return
	}
	if reply == nil {
		reply = a.start(ctx, s, until)
	}
	a.log.Info("start answered", "task", s.GetTask(), "attempt", s.GetAttempt(), "accepted", reply.GetAccepted(), "reason", reply.GetReason().String())
	_ = stream.Send(peer.TaskReplyFrame(reply))
}

// acceptStart reserves what the attempt needs; it runs on the loop. It returns nil if the
// attempt is to be started, or the reply if it is not.
func (a *Agent) acceptStart(s *peerpb.StartTask) (*peerpb.TaskReply, time.Time) {
	c := &a.control
	key := attemptKey(s.GetTask(), s.GetAttempt())
	if t := c.attempts[key]; t != nil {
		return &peerpb.TaskReply{Accepted: true, State: t.state(), Free: c.ledger.Free().Proto()}, time.Time{}
	}
	need := driver.ResourcesFromProto(s.GetResources())
	reason := a.startRefusal(s, key)
	if reason == peerpb.Reason_REASON_UNSPECIFIED && !c.ledger.Reserve(key, need) {
		reason = peerpb.Reason_REASON_FULL
	}
	if reason != peerpb.Reason_REASON_UNSPECIFIED {
		// A refusal proves that the attempt never runs, so a copy of the command that is
		// still on its way must be refused as well.
		c.tombstones[key] = time.Now()
		return &peerpb.TaskReply{Reason: reason, Free: c.ledger.Free().Proto()}, time.Time{}
	}
	c.attempts[key] = &attempt{
		task: s.GetTask(), number: s.GetAttempt(), class: s.GetClass(), reserved: need,
		phase: peerpb.Phase_PHASE_RUNNING, checkpoint: s.GetCheckpoint(), share: shareOf(s.GetThrottled()),
	}
	return nil, c.grant.until
}

func (a *Agent) startRefusal(s *peerpb.StartTask, key string) peerpb.Reason {
	c := &a.control
	switch {
	case c.rebuilding:
		return peerpb.Reason_REASON_REBUILDING
	case !c.grant.covers(time.Now(), s.GetCell(), s.GetEpoch(), s.GetTerm()):
		return peerpb.Reason_REASON_STALE_EPOCH
	case c.draining:
		return peerpb.Reason_REASON_DRAINING
	}
	if _, stopped := c.tombstones[key]; stopped {
		return peerpb.Reason_REASON_CANCELLED
	}
	for _, t := range c.attempts {
		if t.task == s.GetTask() && t.number != s.GetAttempt() && t.phase == peerpb.Phase_PHASE_RUNNING {
			return peerpb.Reason_REASON_DUPLICATE
		}
	}
	return peerpb.Reason_REASON_UNSPECIFIED
}

// start asks the worker to run the attempt until the answer is definite.
func (a *Agent) start(ctx context.Context, s *peerpb.StartTask, until time.Time) *peerpb.TaskReply {
	spec := driver.TaskSpec{
		Task: s.GetTask(), Attempt: s.GetAttempt(), Class: s.GetClass(), Resources: driver.ResourcesFromProto(s.GetResources()),
		Checkpoint: s.GetCheckpoint(), RunTime: time.Duration(s.GetRunMillis()) * time.Millisecond,
		LeaseUntil: until, Cell: s.GetCell(), Epoch: s.GetEpoch(),
	}
	key := attemptKey(s.GetTask(), s.GetAttempt())
	for {
		// The worker knows the attempt by its number, so that a second call runs nothing twice.
		err := a.options.Worker.Run(ctx, spec)
		switch {
		case err == nil:
			if s.GetThrottled() {
				a.setShare(ctx, s.GetTask(), s.GetAttempt(), shareThrottled)
			}
			return a.started(key)
		case errors.Is(err, driver.ErrWorkerRefused):
			a.log.Warn("worker refused the task", "task", s.GetTask(), "error", err.Error())
			return a.notStarted(key)
		case ctx.Err() != nil:
			return &peerpb.TaskReply{Reason: peerpb.Reason_REASON_UNSPECIFIED}
		}
		time.Sleep(workerRetryDelay)
	}
}

func (a *Agent) started(key string) *peerpb.TaskReply {
	reply := &peerpb.TaskReply{Accepted: true}
	_ = a.loop.Do(func() {
		if t := a.control.attempts[key]; t != nil {
			t.confirmed = time.Now()
			reply.State = t.state()
		}
		reply.Free = a.control.ledger.Free().Proto()
	})
	return reply
}

func (a *Agent) notStarted(key string) *peerpb.TaskReply {
	reply := &peerpb.TaskReply{Reason: peerpb.Reason_REASON_WORKER_FAILED}
	_ = a.loop.Do(func() {
		a.control.ledger.Release(key)
		delete(a.control.attempts, key)
		a.control.tombstones[key] = time.Now()
		reply.Free = a.control.ledger.Free().Proto()
	})
	return reply
}

// serveStop stops an attempt, after a checkpoint if asked, and answers once it has ended.
func (a *Agent) serveStop(ctx context.Context, stream *peer.Stream, s *peerpb.StopTask) {
	defer stream.Close()
	key := attemptKey(s.GetTask(), s.GetAttempt())
	var refusal *peerpb.TaskReply
	if a.loop.Do(func() { refusal = a.acceptStop(s, key) }) != nil {
		return
	}
	if refusal != nil && refusal.GetReason() == peerpb.Reason_REASON_NOT_FOUND {
		refusal.Accepted = a.stop(ctx, s.GetTask(), s.GetAttempt(), "")
	}
	if refusal != nil {
		_ = stream.Send(peer.TaskReplyFrame(refusal))
		return
	}
	if s.GetCheckpoint() && !a.checkpoint(ctx, s.GetTask(), s.GetAttempt()) {
		_ = stream.Send(peer.TaskReplyFrame(&peerpb.TaskReply{}))
		return
	}
	reply := &peerpb.TaskReply{Accepted: a.stop(ctx, s.GetTask(), s.GetAttempt(), "stopped by the owner")}
	_ = a.loop.Do(func() {
		if t := a.control.attempts[key]; t != nil {
			reply.State = t.state()
		}
		reply.Free = a.control.ledger.Free().Proto()
	})
	_ = stream.Send(peer.TaskReplyFrame(reply))
}

// acceptStop notes that the attempt must not start any more; it runs on the loop. It
// returns nil if there is an attempt to stop, or the reply if there is none.
func (a *Agent) acceptStop(s *peerpb.StopTask, key string) *peerpb.TaskReply {
	c := &a.control
	if c.rebuilding || c.grant.outdates(s.GetCell(), s.GetEpoch(), s.GetTerm()) {
		return &peerpb.TaskReply{Reason: peerpb.Reason_REASON_STALE_EPOCH}
	}
	t := c.attempts[key]
	if t == nil {
		c.tombstones[key] = time.Now()
		return &peerpb.TaskReply{Accepted: true, Reason: peerpb.Reason_REASON_NOT_FOUND}
	}
	if t.confirmed.IsZero() {
		// The worker may be about to start it; the owner asks again.
		return &peerpb.TaskReply{}
	}
	return nil
}

// checkpoint saves the progress of an attempt that is to be stopped next, and reports
// whether that succeeded.
func (a *Agent) checkpoint(ctx context.Context, task string, number uint32) bool {
	name, err := a.options.Worker.Checkpoint(ctx, task, number)
	if err != nil {
		a.log.Warn("no checkpoint was made", "task", task, "error", err.Error())
		return false
	}
	_ = a.loop.Do(func() {
		if t := a.control.attempts[attemptKey(task, number)]; t != nil {
			t.checkpoint, t.exact = name, true
		}
	})
	return true
}

// stop ends an attempt at the worker and reports whether its end is certain.
func (a *Agent) stop(ctx context.Context, task string, number uint32, detail string) bool {
	status, err := a.options.Worker.Stop(ctx, task, number)
	if err != nil && !errors.Is(err, driver.ErrNotFound) {
		a.log.Warn("task was not stopped", "task", task, "error", err.Error())
		_ = a.loop.Do(func() {
			// It runs on past its checkpoint.
			if t := a.control.attempts[attemptKey(task, number)]; t != nil && t.phase == peerpb.Phase_PHASE_RUNNING {
				t.exact = false
			}
		})
		return false
	}
	_ = a.loop.Do(func() {
		t := a.control.attempts[attemptKey(task, number)]
		if t == nil || t.phase != peerpb.Phase_PHASE_RUNNING {
			return
		}
		if errors.Is(err, driver.ErrNotFound) {
			t.exact = false
			a.end(t, driver.TaskPhaseStopped, t.checkpoint, "the worker does not hold it")
			return
		}
		if status.Detail == "" {
			status.Detail = detail
		}
		a.end(t, status.Phase, status.Checkpoint, status.Detail)
	})
	return true
}

// end records that an attempt has ended and gives back what it held; it runs on the loop.
func (a *Agent) end(t *attempt, phase driver.TaskPhase, checkpoint, detail string) {
	if t.phase != peerpb.Phase_PHASE_RUNNING {
		return
	}
	switch phase {
	case driver.TaskPhaseFinished:
		t.phase = peerpb.Phase_PHASE_FINISHED
	case driver.TaskPhaseFailed:
		t.phase = peerpb.Phase_PHASE_FAILED
	default:
		t.phase = peerpb.Phase_PHASE_STOPPED
	}
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	t.detail = detail
	a.control.ledger.Release(t.key())
	a.log.Info("task ended", "task", t.task, "attempt", t.number, "phase", t.phase.String(), "checkpoint", t.checkpoint, "detail", detail)
	a.signal()
}
