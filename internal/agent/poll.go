package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// startPolling polls the worker until ctx ends, and then closes the returned channel.
func (a *Agent) startPolling(ctx context.Context) <-chan struct{} {
	return loop.Every(ctx, a.options.Heartbeat/2, func() { a.poll(ctx) })
}

// poll reads the worker's status, stops the attempts that the grant no longer covers, and renews the
// worker's lease.
func (a *Agent) poll(ctx context.Context) {
	requested := time.Now()
	status, err := a.options.Worker.Status(ctx)
	if err != nil {
		a.log.Warn("worker status could not be read", "error", err.Error())
		return
	}
	var uncovered []*peerpb.TaskKey
	var until time.Time
	_ = a.loop.Do(func() {
		a.applyStatus(requested, status)
		uncovered = a.uncoveredAttempts(time.Now())
		// A grant taken over from the worker's lease must not renew that lease.
		if a.control.grant.duration > 0 {
			until = a.control.grant.until
		}
	})
	for _, t := range uncovered {
		a.log.Warn("grant not renewed in time; stopping the task", "task", t.GetTask(), "attempt", t.GetAttempt())
		a.checkpointAttempt(ctx, t.GetTask(), t.GetAttempt())
		a.stopAttempt(ctx, t.GetTask(), t.GetAttempt(), "the grant was not renewed")
	}
	if time.Now().Before(until) {
		a.renewLease(ctx, until)
	}
}

// renewLease extends the lease of the worker's attempts to the end of the grant.
func (a *Agent) renewLease(ctx context.Context, until time.Time) {
	if err := a.options.Worker.Renew(ctx, until); err != nil {
		a.log.Warn("worker's lease could not be renewed", "error", err.Error())
	}
}

// applyStatus updates the capacity and the attempts from the worker's status, which was read
// at requested or later; it runs on the loop.
func (a *Agent) applyStatus(requested time.Time, status driver.WorkerStatus) {
	c := &a.control
	c.ledger.SetCapacity(status.Capacity.Minus(a.options.Reservation))
	held := make(map[string]bool, len(status.Tasks))
	running := 0
	for _, s := range status.Tasks {
		key := attemptKey(s.Task, s.Attempt)
		held[key] = true
		a.applyAttemptStatus(key, s)
		if s.Phase == driver.TaskPhaseRunning {
			running++
		}
	}
	for key, t := range c.attempts {
		if t.phase == peerpb.Phase_PHASE_RUNNING && !held[key] && !t.confirmedAt.IsZero() && t.confirmedAt.Before(requested) {
			a.endAttempt(t, driver.TaskPhaseFailed, t.checkpoint, "the worker lost the task")
		}
	}
	a.options.Metrics.TasksRunning.Set(float64(running))
	if c.rebuilding {
		a.log.Info("rebuilt the ledger from the worker", "attempts", len(status.Tasks), "free", c.ledger.Free().String())
		c.rebuilding = false
		a.notifyChanged()
	}
}

// applyAttemptStatus updates one attempt from the worker's status; it runs on the loop.
func (a *Agent) applyAttemptStatus(key string, s driver.TaskStatus) {
	c := &a.control
	t := c.attempts[key]
	if t == nil {
		t = a.adopt(key, s)
	}
	if t.confirmedAt.IsZero() {
		t.confirmedAt = time.Now()
	}
	t.used, t.leaseUntil = s.Used, s.LeaseUntil
	if s.Checkpoint != "" {
		t.checkpoint = s.Checkpoint
	}
	if s.Phase != driver.TaskPhaseRunning {
		a.endAttempt(t, s.Phase, s.Checkpoint, s.Detail)
	}
}

// adopt adds an attempt that an earlier process of this agent started; it runs on the loop.
func (a *Agent) adopt(key string, s driver.TaskStatus) *attempt {
	c := &a.control
	t := &attempt{
		task: s.Task, number: s.Attempt, class: s.Class, reserved: s.Reserved,
		phase: peerpb.Phase_PHASE_RUNNING, checkpoint: s.Checkpoint, share: shareUnknown,
	}
	c.attempts[key] = t
	if s.Phase == driver.TaskPhaseRunning {
		c.ledger.Restore(key, s.Reserved)
	}
	// Commands from an epoch older than the attempt's must be refused, and the worker's lease is the
	// rest of the grant.
	if s.Cell != "" && (c.grant.cell == "" || s.Epoch > c.grant.epoch) {
		c.grant = grant{cell: s.Cell, epoch: s.Epoch, until: s.LeaseUntil}
	}
	return t
}

// uncoveredAttempts returns the attempts to stop because the grant is about to end; it runs on the
// loop.
func (a *Agent) uncoveredAttempts(now time.Time) (uncovered []*peerpb.TaskKey) {
	g := a.control.grant
	if now.Before(g.stopAt()) {
		return nil
	}
	for _, t := range a.control.attempts {
		// A lease that ends after this agent's grant was set by another agent of the same worker,
		// which has a newer grant.
		covered := t.leaseUntil.After(g.until) && now.Before(t.leaseUntil)
		if t.phase == peerpb.Phase_PHASE_RUNNING && !t.confirmedAt.IsZero() && !covered {
			uncovered = append(uncovered, &peerpb.TaskKey{Task: t.task, Attempt: t.number})
		}
	}
	return uncovered
}

// removeAcknowledged removes attempts whose end the owner has acknowledged as durable.
func (a *Agent) removeAcknowledged(ctx context.Context, keys []*peerpb.TaskKey) {
	for _, k := range keys {
		err := a.options.Worker.Remove(ctx, k.GetTask(), k.GetAttempt())
		if err != nil && !errors.Is(err, driver.ErrNotFound) {
			a.log.Warn("task could not be removed", "task", k.GetTask(), "error", err.Error())
			continue
		}
		_ = a.loop.Do(func() {
			key := attemptKey(k.GetTask(), k.GetAttempt())
			if t := a.control.attempts[key]; t != nil && t.phase != peerpb.Phase_PHASE_RUNNING {
				delete(a.control.attempts, key)
				a.control.tombstones[key] = time.Now()
			}
		})
	}
}

// applyThrottles throttles the listed attempts and gives the others their full share.
func (a *Agent) applyThrottles(ctx context.Context, keys []*peerpb.TaskKey) {
	listed := map[string]bool{}
	for _, k := range keys {
		listed[attemptKey(k.GetTask(), k.GetAttempt())] = true
	}
	var changed []attempt
	_ = a.loop.Do(func() {
		for key, t := range a.control.attempts {
			share := processorShare(listed[key])
			if t.phase == peerpb.Phase_PHASE_RUNNING && !t.confirmedAt.IsZero() && t.share != share {
				t.share = share
				changed = append(changed, *t)
			}
		}
	})
	for _, t := range changed {
		a.setShare(ctx, t.task, t.number, t.share)
	}
}

// setShare sets the share of its processors that an attempt may use. After a failure the share is
// set again with the owner's next update.
func (a *Agent) setShare(ctx context.Context, task string, number uint32, share float64) {
	err := a.options.Worker.Throttle(ctx, task, number, share)
	if err == nil {
		return
	}
	a.log.Warn("task could not be throttled", "task", task, "share", share, "error", err.Error())
	_ = a.loop.Do(func() {
		if t := a.control.attempts[attemptKey(task, number)]; t != nil {
			t.share = shareUnknown
		}
	})
}
