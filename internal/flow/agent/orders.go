package agent

import (
	"context"
	"errors"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// sendOrder sends an order from a goroutine of its own, retries it a few times while the runner
// does not answer, and then calls done on the loop. answered is set if each attempt was answered.
func (a *Agent) sendOrder(order func(ctx context.Context) error, done func(err error, answered bool)) {
	a.orders.Go(func() {
		a.orderSlots <- struct{}{}
		var err error
		answered := true
		for range maxOrderAttempts {
			ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
			err = order(ctx)
			cancel()
			if !errors.Is(err, driver.ErrRunnerIndeterminate) {
				break
			}
			answered = false
		}
		<-a.orderSlots
		a.loop.Post(func() { done(err, answered) })
	})
}

// start sends a start to the runner, unless the runner is draining or the lease has expired.
func (a *Agent) start(s *flowpb.Start) {
	token, runner := a.state.token, a.runnerID()
	reportOutcome := func(outcome flowpb.StartOutcome) {
		a.state.results = append(a.state.results, &flowpb.StartResult{Task: s.GetTask(), Run: s.GetRun(), Outcome: outcome})
		a.sendReport(&flowpb.Report{})
	}
	if a.state.runner.GetDraining() {
		reportOutcome(flowpb.StartOutcome_START_OUTCOME_DRAINING)
		return
	}
	order := driver.StartRequest{
		RunID: driver.RunID{Task: s.GetTask(), Run: s.GetRun()}, Spec: s.GetSpec(), Checkpoint: s.GetCheckpoint(),
		Ticket: s.GetTicket(), Token: token, LeaseEnd: a.runnerLeaseEnd(),
	}
	if !a.state.tokenConfirmed || order.LeaseEnd == 0 {
		reportOutcome(flowpb.StartOutcome_START_OUTCOME_REFUSED)
		return
	}
	began := a.options.Clock()
	a.state.unanswered[order.RunID] = token
	var clock driver.RunnerTime
	a.sendOrder(func(ctx context.Context) (err error) {
		clock, err = a.options.Runner.Start(ctx, runner, order)
		return err
	}, func(err error, answered bool) {
		if answered {
			delete(a.state.unanswered, order.RunID)
		}
		outcome := startOutcome(err)
		took := a.options.Clock() - began
		a.options.Metrics.RecordStart(outcome.String(), took)
		if err != nil {
			a.options.Log.Info("start failed", "task", order.Task, "run", order.Run, "runner", runner.ID, "outcome", outcome.String(), "error", err.Error(), "took-ms", took.Milliseconds())
		}
		if a.state.token != token {
			// The synchronisation in progress determines the outcome.
			return
		}
		if clock > 0 {
			a.updateClockOffset(clock)
		}
		if outcome == flowpb.StartOutcome_START_OUTCOME_DOUBT {
			a.resync("the outcome of a start is indeterminate")
			return
		}
		reportOutcome(outcome)
	})
}

// startOutcome returns what the answer to a start proves.
func startOutcome(err error) flowpb.StartOutcome {
	switch {
	case err == nil:
		return flowpb.StartOutcome_START_OUTCOME_STARTED
	case errors.Is(err, driver.ErrNoRoom):
		return flowpb.StartOutcome_START_OUTCOME_NO_ROOM
	case errors.Is(err, driver.ErrUnhealthy):
		return flowpb.StartOutcome_START_OUTCOME_UNHEALTHY
	case errors.Is(err, driver.ErrTicketRefused):
		return flowpb.StartOutcome_START_OUTCOME_TICKET
	case errors.Is(err, driver.ErrLeaseExpired), errors.Is(err, driver.ErrInvalidRequest):
		return flowpb.StartOutcome_START_OUTCOME_REFUSED
	}
	// A run reported as superseded may have been started by an earlier copy of the order.
	return flowpb.StartOutcome_START_OUTCOME_DOUBT
}

func (a *Agent) stop(id driver.RunID) {
	token, runner := a.state.token, a.runnerID()
	a.sendOrder(func(ctx context.Context) error { return a.options.Runner.Stop(ctx, runner, id, token) }, func(err error, _ bool) {
		if err != nil {
			a.options.Log.Info("stop failed", "task", id.Task, "run", id.Run, "runner", runner.ID, "error", err.Error())
		}
	})
}

func (a *Agent) setPace(id driver.RunID, percent int) {
	token, runner := a.state.token, a.runnerID()
	a.sendOrder(func(ctx context.Context) error { return a.options.Runner.Pace(ctx, runner, id, percent, token) }, func(err error, _ bool) {
		if err != nil {
			a.options.Log.Info("setting the pace failed", "task", id.Task, "run", id.Run, "percent", percent, "error", err.Error())
		}
	})
}
