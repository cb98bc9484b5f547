package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// goPoll watches the worker until ctx ends and then closes the returned channel.
func (a *Agent) goPoll(ctx context.Context) <-chan struct{} {
	return loop.Every(ctx, a.options.Heartbeat/2, func() { a.poll(ctx) })
}

// poll reads the worker's status, stops what no grant covers and renews the worker's lease.
func (a *Agent) poll(ctx context.Context) {
	began := time.Now()
	status, err := a.options.Worker.Status(ctx)
	if err != nil {
		a.log.Warn("worker gave no status", "error", err.Error())
		return
	}
	var due []*peerpb.TaskKey
	var until time.Time
	_ = a.loop.Do(func() {
		a.observe(began, status)
		due = a.overdue(time.Now())
		// A grant that was only read off the worker's lease is not this agent's to renew.
		if a.control.grant.span > 0 {
			until = a.control.grant.until
		}
	})
	for _, t := range due {
		a.log.Warn("grant was not renewed; stopping the task", "task", t.GetTask(), "attempt", t.GetAttempt())
		a.checkpoint(ctx, t.GetTask(), t.GetAttempt())
		a.stop(ctx, t.GetTask(), t.GetAttempt(), "the grant was not renewed")
	}
	if time.Now().Before(until) {
		a.renewLease(ctx, until)
	}
}

func (a *Agent) renewLease(ctx context.Context, until time.Time) {
	if err := a.options.Worker.Renew(ctx, until); err != nil {
		a.log.Warn("worker's lease was not renewed", "error", err.Error())
	}
}

// observe takes in the worker's status; it runs on the loop.
func (a *Agent) observe(began time.Time, status driver.WorkerStatus) {
	c := &a.control
	c.ledger.SetCapacity(status.Capacity.Minus(a.options.Reservation))
	held := make(map[string]bool, len(status.Tasks))
	running := 0
	for _, s := range status.Tasks {
		key := attemptKey(s.Task, s.Attempt)
		held[key] = true
		a.observeAttempt(key, s)
		if s.Phase == driver.TaskPhaseRunning {
			running++
		}
	}
	for key, t := range c.attempts {
		if t.phase == peerpb.Phase_PHASE_RUNNING && !held[key] && !t.confirmed.IsZero() && t.confirmed.Before(began) {
			a.end(t, driver.TaskPhaseFailed, t.checkpoint, "the worker lost the task")
		}
	}
	a.options.Metrics.TasksRunning.Set(float64(running))
	if c.rebuilding {
		a.log.Info("rebuilt the ledger from the worker", "attempts", len(status.Tasks), "free", c.ledger.Free().String())
		c.rebuilding = false
		a.signal()
	}
}

func (a *Agent) observeAttempt(key string, s driver.TaskStatus) {
	c := &a.control
	t := c.attempts[key]
	if t == nil {
		t = a.adopt(key, s)
	}
	if t.confirmed.IsZero() {
		t.confirmed = time.Now()
	}
	t.used, t.leaseUntil = s.Used, s.LeaseUntil
	if s.Checkpoint != "" {
		t.checkpoint = s.Checkpoint
	}
	if s.Phase != driver.TaskPhaseRunning {
		a.end(t, s.Phase, s.Checkpoint, s.Detail)
	}
}

// adopt takes over an attempt that an earlier process of this agent has started.
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
	// The epoch under which the attempt runs is the lowest that this agent may obey, and
	// the worker's lease is what is left of the grant.
	if s.Cell != "" && (c.grant.cell == "" || s.Epoch > c.grant.epoch) {
		c.grant = grant{cell: s.Cell, epoch: s.Epoch, until: s.LeaseUntil}
	}
	return t
}

// overdue lists the attempts that must be stopped because the grant is about to end; it
// runs on the loop.
func (a *Agent) overdue(now time.Time) (due []*peerpb.TaskKey) {
	g := a.control.grant
	if now.Before(g.stopAt()) {
		return nil
	}
	for _, t := range a.control.attempts {
		// A lease past this agent's grant was set by another agent of the same worker, who
		// holds a newer grant.
		covered := t.leaseUntil.After(g.until) && now.Before(t.leaseUntil)
		if t.phase == peerpb.Phase_PHASE_RUNNING && !t.confirmed.IsZero() && !covered {
			due = append(due, &peerpb.TaskKey{Task: t.task, Attempt: t.number})
		}
	}
	return due
}

// settle forgets attempts whose end the owner has made durable.
func (a *Agent) settle(ctx context.Context, keys []*peerpb.TaskKey) {
	for _, k := range keys {
		err := a.options.Worker.Remove(ctx, k.GetTask(), k.GetAttempt())
		if err != nil && !errors.Is(err, driver.ErrNotFound) {
			a.log.Warn("task was not removed", "task", k.GetTask(), "error", err.Error())
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

// throttle limits the listed attempts and frees the others.
func (a *Agent) throttle(ctx context.Context, keys []*peerpb.TaskKey) {
	listed := map[string]bool{}
	for _, k := range keys {
		listed[attemptKey(k.GetTask(), k.GetAttempt())] = true
	}
	var changed []attempt
	_ = a.loop.Do(func() {
		for key, t := range a.control.attempts {
			share := shareOf(listed[key])
			if t.phase == peerpb.Phase_PHASE_RUNNING && !t.confirmed.IsZero() && t.share != share {
				t.share = share
				changed = append(changed, *t)
			}
		}
	})
	for _, t := range changed {
		a.setShare(ctx, t.task, t.number, t.share)
	}
}

// setShare gives an attempt a share of its processors. One that the worker did not take is
// given again with the owner's next update.
func (a *Agent) setShare(ctx context.Context, task string, number uint32, share float64) {
	err := a.options.Worker.Throttle(ctx, task, number, share)
	if err == nil {
		return
	}
	a.log.Warn("task was not throttled", "task", task, "share", share, "error", err.Error())
	_ = a.loop.Do(func() {
		if t := a.control.attempts[attemptKey(task, number)]; t != nil {
			t.share = shareUnknown
		}
	})
}
