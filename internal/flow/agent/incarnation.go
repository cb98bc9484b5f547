package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// A runner may restart under its id. Requests that were meant for one incarnation then reach the next,
// which has seen no token and takes a deadline by the clock before for the longest lease that it accepts.
// The owner counts with the leases that it granted, so the agent ends what the next incarnation took
// from such a request, also while it does not reach the owner.

const (
	// maxClockDrift is how much slower than the agent's clock a runner's clock may run, as a fraction.
	maxClockDrift = 0.02
	// clockSlack is how far, besides the drift, a reading of the runner's clock may lie before the time that
	// the readings so far lead to. Readings are whole milliseconds.
	clockSlack = 20 * time.Millisecond
	// leaseStopTime is how long before the end of the granted lease the agent begins to stop the runs
	// on a runner whose own lease may be longer. It covers guardInterval, the calls and the time that a
	// stop takes.
	leaseStopTime = time.Second
	guardInterval = 100 * time.Millisecond
)

// errOtherIncarnation is the result of a start that another incarnation of the runner has answered.
var errOtherIncarnation = errors.New("agent: another incarnation has taken the start")

// beginIncarnation resets what counts anew with each incarnation of the runner. If it has the id of
// the one before, it may have carried out requests that were meant for that one, or yet do so. Their
// leases are times on another clock, so that the runner may have taken them for the longest that it
// accepts.
func (a *Agent) beginIncarnation(id string) {
	a.state.acknowledgedEnd, a.state.confirmedEnd, a.state.lastCountedEnd, a.state.clockReadAt = 0, 0, 0, 0
	if id == a.state.lastRunnerID {
		a.state.foreignLeaseEnd = a.options.Clock() + a.options.MaxLease
		for run := range a.state.unanswered {
			a.withdrawStart(run)
		}
		a.guardLease()
	}
	a.state.lastRunnerID = id
}

// isOtherIncarnation reports whether a reading of the runner's clock, taken after sentAt, is from another
// incarnation than the readings before. The clock of an incarnation starts anew.
func (a *Agent) isOtherIncarnation(reading driver.RunnerTime, sentAt time.Duration) bool {
	if a.state.clockReadAt == 0 {
		return false
	}
	drift := time.Duration(float64(sentAt-a.state.clockReadAt) * maxClockDrift)
	return time.Duration(reading) < sentAt+a.state.clockOffset-max(0, drift)-clockSlack
}

// withdrawStart stops a run that the present incarnation of the runner may have taken, or may yet take,
// from a start that was meant for the one before. The stop is repeated until it is answered: the
// runner refuses the start from then on.
func (a *Agent) withdrawStart(id driver.RunID) {
	client, runner, token := a.options.Runner, a.runnerID(), a.state.highestToken
	a.calls.Go(func() {
		for began := a.options.Clock(); a.ctx.Err() == nil && a.options.Clock()-began < driver.MaxOrderDelay; loop.Pause(a.ctx, unhealthyRetryPause) {
			ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
			err := client.Stop(ctx, runner, id, token)
			cancel()
			if isUndecided(err) {
				continue
			}
			a.options.Log.Info("start of an earlier incarnation withdrawn", "task", id.Task, "run", id.Run, "runner", runner.ID, "token", token, "error", errs.Text(err))
			return
		}
	})
}

// isUndecided reports whether an order may be sent again after a result: the runner did not answer, or
// was unhealthy.
func isUndecided(err error) bool {
	return errors.Is(err, driver.ErrRunnerIndeterminate) || errors.Is(err, driver.ErrUnhealthy) || errors.Is(err, driver.ErrRunnerNotListening)
}

// guardLease sees to it that the runs on the runner end with the lease that the owner granted, while the
// runner may hold a longer one.
func (a *Agent) guardLease() {
	if a.state.guardingLease {
		return
	}
	a.state.guardingLease = true
	a.guards.Go(func() {
		for guarding := true; guarding; {
			loop.Pause(a.ctx, guardInterval)
			var runner driver.RunnerID
			token, due := uint64(0), false
			if a.loop.Do(func() {
				if due = a.leaseRunsOut(); due {
					runner, token = a.runnerID(), a.state.highestToken
				}
				guarding = a.options.Clock() < a.state.foreignLeaseEnd
				a.state.guardingLease = guarding
			}) != nil {
				return
			}
			if due {
				a.stopListedRuns(runner, token)
			}
		}
	})
}

// leaseRunsOut reports whether the runner may hold a longer lease than the owner granted, which is about to
// end.
func (a *Agent) leaseRunsOut() bool {
	return a.state.runner != nil && a.state.leaseEnd < a.state.foreignLeaseEnd && a.options.Clock() > a.state.leaseEnd-leaseStopTime
}

// stopListedRuns stops all runs on a runner. Those without an answer are found again by the next call.
func (a *Agent) stopListedRuns(runner driver.RunnerID, token uint64) {
	ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
	report, err := a.options.Runner.Hold(ctx, runner, driver.HoldRequest{Token: token})
	cancel()
	if err != nil {
		a.options.Log.Info("runs are not stopped at the end of the lease", "runner", runner.ID, "token", token, "error", err.Error())
		return
	}
	for _, r := range report.Running {
		ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
		err := a.options.Runner.Stop(ctx, runner, r.RunID, token)
		cancel()
		a.options.Log.Warn("run stopped, as the lease that the owner granted ends", "task", r.Task, "run", r.Run, "runner", runner.ID, "token", token, "error", errs.Text(err))
	}
}
