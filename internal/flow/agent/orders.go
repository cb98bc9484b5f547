package agent

import (
	"context"
	"errors"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// call runs f beside the loop until it is answered, a few times at most, and then after on
// the loop.
func (a *Agent) call(f func(ctx context.Context) error, after func(error)) {
	a.calls.Go(func() {
		a.starts <- struct{}{}
		var err error
		for range orderTries {
			ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
			err = f(ctx)
			cancel()
			if !errors.Is(err, driver.ErrRunnerIndeterminate) {
				break
			}
		}
		<-a.starts
		a.loop.Post(func() { after(err) })
	})
}

// start passes a start on, unless the runner is leaving or the lease is over.
func (a *Agent) start(s *flowpb.Start) {
	token, at := a.c.token, a.at()
	answer := func(outcome flowpb.StartOutcome) {
		a.c.results = append(a.c.results, &flowpb.StartResult{Task: s.GetTask(), Run: s.GetRun(), Outcome: outcome})
		a.report(&flowpb.Report{})
	}
	if a.c.runner.GetDraining() {
		answer(flowpb.StartOutcome_START_OUTCOME_DRAINING)
		return
	}
	order := driver.StartRequest{
		RunID: driver.RunID{Task: s.GetTask(), Run: s.GetRun()}, Spec: s.GetSpec(), Checkpoint: s.GetCheckpoint(),
		Ticket: s.GetTicket(), Token: token, LeaseEnd: a.lease(),
	}
	if !a.c.confirmed || order.LeaseEnd == 0 {
		answer(flowpb.StartOutcome_START_OUTCOME_REFUSED)
		return
	}
	began := a.options.Clock()
	var clock driver.RunnerTime
	a.call(func(ctx context.Context) (err error) {
		clock, err = a.options.Runner.Start(ctx, at, order)
		return err
	}, func(err error) {
		outcome := outcomeOf(err)
		took := a.options.Clock() - began
		a.options.Metrics.Start(outcome.String(), took)
		if err != nil {
			a.options.Log.Info("start not taken", "task", order.Task, "run", order.Run, "runner", at.ID, "outcome", outcome.String(), "error", err.Error(), "took-ms", took.Milliseconds())
		}
		if a.c.token != token {
			// The synchronisation under way settles it.
			return
		}
		if clock > 0 {
			a.learnClock(clock)
		}
		if outcome == flowpb.StartOutcome_START_OUTCOME_DOUBT {
			a.doubt("a start was not settled")
			return
		}
		answer(outcome)
	})
}

// outcomeOf tells what the answer to a start proves.
func outcomeOf(err error) flowpb.StartOutcome {
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
	// A run that is superseded may have been started by an earlier copy of the order.
	return flowpb.StartOutcome_START_OUTCOME_DOUBT
}

func (a *Agent) stop(id driver.RunID) {
	token, at := a.c.token, a.at()
	a.call(func(ctx context.Context) error { return a.options.Runner.Stop(ctx, at, id, token) }, func(err error) {
		if err != nil {
			a.options.Log.Info("stop not taken", "task", id.Task, "run", id.Run, "runner", at.ID, "error", err.Error())
		}
	})
}

func (a *Agent) pace(id driver.RunID, percent int) {
	token, at := a.c.token, a.at()
	a.call(func(ctx context.Context) error { return a.options.Runner.Pace(ctx, at, id, percent, token) }, func(err error) {
		if err != nil {
			a.options.Log.Info("pace not taken", "task", id.Task, "run", id.Run, "percent", percent, "error", err.Error())
		}
	})
}
