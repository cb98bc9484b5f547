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
	// tombstoneRetention is longer than any command may be in transit.
	tombstoneRetention = 15 * time.Minute
	workerRetryDelay   = 100 * time.Millisecond
)

// Share of its processors that an attempt may use.
const (
	// shareUnknown is that of an attempt that an earlier process of this agent started, or whose
	// share could not be set.
	shareUnknown   = 0.0
	shareThrottled = 0.25
	shareFull      = 1.0
)

func processorShare(throttled bool) float64 {
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
	// confirmedAt is when the worker first confirmed that it has the attempt; zero before.
	confirmedAt time.Time
	// share is the share of its processors that was last set.
	share float64
	// leaseUntil is when the worker stops the attempt on its own.
	leaseUntil time.Time
	// exact reports whether the attempt was checkpointed right before its stop, so that no progress
	// is lost.
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

// serveStart starts an attempt if the grant covers it and it fits.
func (a *Agent) serveStart(ctx context.Context, stream *peer.Stream, s *peerpb.StartTask) {
	defer stream.Close()
	var reply *peerpb.TaskReply
	var until time.Time
	if a.loop.Do(func() { reply, until = a.acceptStart(s) }) != nil {
		return
	}
	if reply == nil {
		reply = a.runAttempt(ctx, s, until)
	}
	a.log.Info("start command answered", "task", s.GetTask(), "attempt", s.GetAttempt(), "accepted", reply.GetAccepted(), "reason", reply.GetReason().String())
	_ = stream.Send(peer.TaskReplyFrame(reply))
}

// acceptStart reserves the resources of an attempt; it runs on the loop. It returns nil and the end
// of the grant if the attempt is to be started, or the reply if it is not.
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
		// The owner takes a refusal as proof that the attempt never runs, so a copy of the command
		// that is still in transit must be refused as well.
		c.tombstones[key] = time.Now()
		return &peerpb.TaskReply{Reason: reason, Free: c.ledger.Free().Proto()}, time.Time{}
	}
	c.attempts[key] = &attempt{
		task: s.GetTask(), number: s.GetAttempt(), class: s.GetClass(), reserved: need,
		phase: peerpb.Phase_PHASE_RUNNING, checkpoint: s.GetCheckpoint(), share: processorShare(s.GetThrottled()),
	}
	return nil, c.grant.until
}

// startRefusal returns the reason to refuse a start, or REASON_UNSPECIFIED; it runs on the loop.
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

// runAttempt starts the attempt on the worker, and retries until the outcome is known.
func (a *Agent) runAttempt(ctx context.Context, s *peerpb.StartTask, until time.Time) *peerpb.TaskReply {
	spec := driver.TaskSpec{
		Task: s.GetTask(), Attempt: s.GetAttempt(), Class: s.GetClass(), Resources: driver.ResourcesFromProto(s.GetResources()),
		Checkpoint: s.GetCheckpoint(), RunTime: time.Duration(s.GetRunMillis()) * time.Millisecond,
		LeaseUntil: until, Cell: s.GetCell(), Epoch: s.GetEpoch(),
	}
	key := attemptKey(s.GetTask(), s.GetAttempt())
	for unanswered := false; ; unanswered = true {
		// Run is idempotent by task and attempt number, so it can be retried.
		err := a.options.Worker.Run(ctx, spec)
		if unanswered && errors.Is(err, driver.ErrWorkerRefused) {
			// The call before may still start the attempt. A stop tells whether it has, or keeps it from it.
			if _, err = a.options.Worker.Stop(ctx, s.GetTask(), s.GetAttempt()); errors.Is(err, driver.ErrNotFound) {
				err = driver.ErrWorkerRefused
			}
		}
		switch {
		case err == nil:
			if s.GetThrottled() {
				a.setShare(ctx, s.GetTask(), s.GetAttempt(), shareThrottled)
			}
			return a.confirmStart(key)
		case errors.Is(err, driver.ErrWorkerRefused):
			a.log.Warn("worker refused the task", "task", s.GetTask(), "error", err.Error())
			return a.discardAttempt(key)
		case ctx.Err() != nil:
			return &peerpb.TaskReply{Reason: peerpb.Reason_REASON_UNSPECIFIED}
		}
		time.Sleep(workerRetryDelay)
	}
}

// confirmStart records that the worker has started an attempt, and returns the reply.
func (a *Agent) confirmStart(key string) *peerpb.TaskReply {
	reply := &peerpb.TaskReply{Accepted: true}
	_ = a.loop.Do(func() {
		if t := a.control.attempts[key]; t != nil {
			t.confirmedAt = time.Now()
			reply.State = t.state()
		}
		reply.Free = a.control.ledger.Free().Proto()
	})
	return reply
}

// discardAttempt removes an attempt that the worker refused, and returns the reply.
func (a *Agent) discardAttempt(key string) *peerpb.TaskReply {
	reply := &peerpb.TaskReply{Reason: peerpb.Reason_REASON_WORKER_FAILED}
	_ = a.loop.Do(func() {
		a.control.ledger.Release(key)
		delete(a.control.attempts, key)
		a.control.tombstones[key] = time.Now()
		reply.Free = a.control.ledger.Free().Proto()
	})
	return reply
}

// serveStop stops an attempt, after a checkpoint if requested, and replies once it has ended.
func (a *Agent) serveStop(ctx context.Context, stream *peer.Stream, s *peerpb.StopTask) {
	defer stream.Close()
	key := attemptKey(s.GetTask(), s.GetAttempt())
	var refusal *peerpb.TaskReply
	if a.loop.Do(func() { refusal = a.acceptStop(s, key) }) != nil {
		return
	}
	if refusal != nil && refusal.GetReason() == peerpb.Reason_REASON_NOT_FOUND {
		refusal.Accepted = a.stopAttempt(ctx, s.GetTask(), s.GetAttempt(), "")
	}
	if refusal != nil {
		_ = stream.Send(peer.TaskReplyFrame(refusal))
		return
	}
	if s.GetCheckpoint() && !a.checkpointAttempt(ctx, s.GetTask(), s.GetAttempt()) {
		_ = stream.Send(peer.TaskReplyFrame(&peerpb.TaskReply{}))
		return
	}
	reply := &peerpb.TaskReply{Accepted: a.stopAttempt(ctx, s.GetTask(), s.GetAttempt(), "stopped by the owner")}
	_ = a.loop.Do(func() {
		if t := a.control.attempts[key]; t != nil {
			reply.State = t.state()
		}
		reply.Free = a.control.ledger.Free().Proto()
	})
	_ = stream.Send(peer.TaskReplyFrame(reply))
}

// acceptStop returns nil if there is an attempt to stop, or else the reply; it runs on the loop. An
// unknown attempt gets a tombstone, so that it can't start any more.
func (a *Agent) acceptStop(s *peerpb.StopTask, key string) *peerpb.TaskReply {
	c := &a.control
	if c.rebuilding || c.grant.supersedes(s.GetCell(), s.GetEpoch(), s.GetTerm()) {
		return &peerpb.TaskReply{Reason: peerpb.Reason_REASON_STALE_EPOCH}
	}
	t := c.attempts[key]
	if t == nil {
		c.tombstones[key] = time.Now()
		return &peerpb.TaskReply{Accepted: true, Reason: peerpb.Reason_REASON_NOT_FOUND}
	}
	if t.confirmedAt.IsZero() {
		// The worker may be about to start the attempt; the owner retries the stop.
		return &peerpb.TaskReply{}
	}
	return nil
}

// checkpointAttempt saves the progress of an attempt right before its stop, and reports whether that
// succeeded.
func (a *Agent) checkpointAttempt(ctx context.Context, task string, number uint32) bool {
	name, err := a.options.Worker.Checkpoint(ctx, task, number)
	if err != nil {
		a.log.Warn("checkpoint failed", "task", task, "error", err.Error())
		return false
	}
	_ = a.loop.Do(func() {
		if t := a.control.attempts[attemptKey(task, number)]; t != nil {
			t.checkpoint, t.exact = name, true
		}
	})
	return true
}

// stopAttempt stops an attempt on the worker, and reports whether it is certain that the attempt has
// ended.
func (a *Agent) stopAttempt(ctx context.Context, task string, number uint32, detail string) bool {
	status, err := a.options.Worker.Stop(ctx, task, number)
	if err != nil && !errors.Is(err, driver.ErrNotFound) {
		a.log.Warn("task could not be stopped", "task", task, "error", err.Error())
		_ = a.loop.Do(func() {
			// The attempt continues past its checkpoint.
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
			a.endAttempt(t, driver.TaskPhaseStopped, t.checkpoint, "the worker does not hold it")
			return
		}
		if status.Detail == "" {
			status.Detail = detail
		}
		a.endAttempt(t, status.Phase, status.Checkpoint, status.Detail)
	})
	return true
}

// endAttempt records the end of an attempt and releases its reservation; it runs on the loop.
func (a *Agent) endAttempt(t *attempt, phase driver.TaskPhase, checkpoint, detail string) {
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
	a.notifyChanged()
}
