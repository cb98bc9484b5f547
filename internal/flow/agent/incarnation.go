package agent

import (
	"context"
	"errors"
	"maps"
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
	// watchInterval is how often watchIncarnation calls the runner, and watchTimeout bounds a call. Until the
	// next incarnation of a runner gets the first of them, it carries out any late start. A call without an
	// answer costs a connection: slowWatchInterval is for a runner that is polled as well, and the interval
	// grows up to it by a quarter with each call that fails.
	watchInterval     = 20 * time.Millisecond
	slowWatchInterval = 100 * time.Millisecond
	watchTimeout      = 3 * watchInterval
)

// errOtherIncarnation is the result of a start that another incarnation of the runner has answered, or would.
var errOtherIncarnation = errors.New("agent: the runner is another incarnation")

// beginIncarnation resets what counts anew with each incarnation of the runner.
func (a *Agent) beginIncarnation() {
	a.state.acknowledgedEnd, a.state.confirmedEnd, a.state.lastCountedEnd, a.state.clockReadAt = 0, 0, 0, 0
	before := a.state.lastRunner
	a.state.lastRunner = a.runnerID()
	if before.ID == a.state.lastRunner.ID {
		a.withdrawStarts()
	}
}

// withdrawStarts takes back what the last runner may have carried out, or may yet carry out, of requests that
// were meant for its incarnation before. Their leases are times on another clock, so that it may have taken
// them for the longest that it accepts.
func (a *Agent) withdrawStarts() {
	a.state.foreignLeaseEnd = a.options.Clock() + a.options.MaxLease
	for run := range a.state.unanswered {
		a.withdrawStart(run, a.nextToken())
	}
	a.guardLease()
}

// beginRestarted begins an incarnation that has answered a call before it was announced. One that follows on
// a runner that was gone is offered to the owner with its announcement, as it may be of another kind.
func (a *Agent) beginRestarted(startedMillis int64) {
	a.options.Log.Info("runner restarted under the same id", "runner", a.state.lastRunner.ID, "born", startedMillis)
	if a.state.runner == nil {
		a.state.lastRunner.StartedMillis = startedMillis
		a.withdrawStarts()
		return
	}
	a.state.runner = withStartTime(a.state.runner, startedMillis)
	if a.state.leaving {
		a.state.runner = withAgentLeaving(a.state.runner)
	}
	a.beginIncarnation()
	a.requestToken(false)
}

// nextToken returns a token that shuts out all orders so far and none to come: the owner issues higher
// ones, and a runner accepts equal ones.
func (a *Agent) nextToken() uint64 { return a.state.highestToken + 1 }

// validToken returns the current token, or one in its place while the agent has none, or has that of an owner
// which another has replaced. Orders under the last one must have no effect then.
func (a *Agent) validToken() uint64 {
	if a.state.token >= a.state.highestToken && a.state.token != 0 {
		return a.state.token
	}
	return a.nextToken()
}

// watchIncarnation calls the runner at short intervals, also while it is gone or the owner is not reached, as
// long as a start without an answer may be carried out late. The runner's next incarnation thus learns of a
// token, and the agent of that incarnation, soon after it listens.
func (a *Agent) watchIncarnation() {
	if a.state.watching {
		return
	}
	a.state.watching, a.state.watchInterval = true, watchInterval
	a.guards.Go(func() {
		var pause time.Duration
		for {
			loop.Pause(a.ctx, pause)
			var id driver.RunnerID
			var token uint64
			watching := false
			if a.loop.Do(func() {
				id, token, watching = a.nextWatch()
				pause = a.watchPause()
			}) != nil || !watching {
				return
			}
			a.calls.Go(func() { a.watchOnce(id, token) })
		}
	})
}

// watchOnce calls the runner once. Calls overlap, so that one without an answer does not delay the next.
func (a *Agent) watchOnce(id driver.RunnerID, token uint64) {
	ctx, cancel := context.WithTimeout(a.ctx, watchTimeout)
	report, err := a.options.Runner.Hold(ctx, id, driver.HoldRequest{Token: token})
	cancel()
	a.loop.Post(func() {
		if err != nil {
			a.state.watchInterval = min(a.state.watchInterval*5/4, slowWatchInterval)
			return
		}
		a.state.watchInterval = watchInterval
		a.handleWatch(id, report.Runner.StartedMillis)
	})
}

// checkIncarnation returns an error unless the runner is still the given incarnation. One that began while a
// start got no answer would take a longer lease from its repetition than the owner grants, and a run that is
// done before it is stopped would count, though the owner, if it is not reached, has started another.
func (a *Agent) checkIncarnation(ctx context.Context, id driver.RunnerID, token uint64) (err error) {
	report, err := a.options.Runner.Hold(ctx, id, driver.HoldRequest{Token: token})
	if err != nil {
		return err
	}
	if born := report.Runner.StartedMillis; born != 0 && born != id.StartedMillis {
		a.loop.Post(func() { a.handleWatch(id, born) })
		return errOtherIncarnation
	}
	return nil
}

// nextWatch returns the next call of watchIncarnation, or false if no start may be carried out late any more.
func (a *Agent) nextWatch() (id driver.RunnerID, token uint64, watching bool) {
	a.forgetUnanswered()
	a.state.watching = len(a.state.unanswered) > 0
	if !a.state.watching {
		return id, 0, false
	}
	return a.state.lastRunner, a.validToken(), true
}

// watchPause returns the pause before the next call of watchIncarnation.
func (a *Agent) watchPause() time.Duration {
	if a.state.token != 0 {
		return slowWatchInterval
	}
	return a.state.watchInterval
}

// handleWatch begins another incarnation if the runner says that it is one.
func (a *Agent) handleWatch(id driver.RunnerID, startedMillis int64) {
	if startedMillis != 0 && startedMillis != id.StartedMillis && id == a.state.lastRunner {
		a.beginRestarted(startedMillis)
	}
}

// forgetUnanswered forgets the starts that can't be carried out late any more.
func (a *Agent) forgetUnanswered() {
	now := a.options.Clock()
	maps.DeleteFunc(a.state.unanswered, func(_ driver.RunID, sentAt time.Duration) bool { return now-sentAt > driver.MaxOrderDelay })
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
func (a *Agent) withdrawStart(id driver.RunID, token uint64) {
	client, runner := a.options.Runner, a.state.lastRunner
	a.calls.Go(func() {
		for began := a.options.Clock(); a.ctx.Err() == nil && a.options.Clock()-began < driver.MaxOrderDelay; loop.Pause(a.ctx, unhealthyRetryPause) {
			ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
			err := client.Stop(ctx, runner, id, token)
			cancel()
			if isUndecided(err) {
				continue
			}
			if errors.Is(err, driver.ErrFenced) && a.replaceToken(&token) {
				continue
			}
			a.options.Log.Info("start of an earlier incarnation withdrawn", "task", id.Task, "run", id.Run, "runner", runner.ID, "token", token, "error", errs.Text(err))
			return
		}
	})
}

// replaceToken sets a token that the runner has refused to the present one. It reports whether that is
// higher.
func (a *Agent) replaceToken(token *uint64) (higher bool) {
	_ = a.loop.Do(func() {
		higher = a.validToken() > *token
		*token = max(*token, a.validToken())
	})
	return higher
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
					runner, token = a.runnerID(), a.validToken()
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
