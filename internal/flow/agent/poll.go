package agent

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
)

const (
	// pollWait is how long the runner may delay its answer to a poll until a run ends. A lease is
	// renewed about this often.
	pollWait = 500 * time.Millisecond
	// pollSlack is how much longer than its wait a poll may take. If an answer is lost, an end is
	// reported late by this much.
	pollSlack      = 150 * time.Millisecond
	pollRetryPause = 20 * time.Millisecond
	// listInterval is the longest time between lists of all runs. The answers to polls in between,
	// which return early because runs have ended, are reported without those that go on.
	listInterval = 400 * time.Millisecond
	// acknowledgeWait is how long to wait for the owner to acknowledge ends before the next poll, which
	// does not wait for further ends while there are any.
	acknowledgeWait = 120 * time.Millisecond
	// goneAfterRefused is how many refused connections in a row show that the runner no longer
	// runs.
	goneAfterRefused = 2
	// fullPercent is the progress of a long-running task that is at work.
	fullPercent = 100
)

// pollRunner polls the runner for the runs that it holds. Each poll also extends the runner's
// lease.
func (a *Agent) pollRunner(ctx context.Context) {
	for ctx.Err() == nil {
		var order driver.HoldRequest
		var id driver.RunnerID
		ready := false
		pollCtx, endPoll := context.WithCancel(ctx)
		if a.loop.Do(func() { order, id, ready = a.nextPoll(); a.state.endPoll = endPoll }) != nil {
			endPoll()
			return
		}
		if !ready {
			endPoll()
			a.awaitWake(ctx, pollWait)
			continue
		}
		began := a.options.Clock()
		callCtx, cancel := context.WithTimeout(pollCtx, order.Wait+pollSlack)
		report, err := a.options.Runner.Hold(callCtx, id, order)
		superseded := pollCtx.Err() != nil
		cancel()
		endPoll()
		unacknowledged := false
		if a.loop.Do(func() { unacknowledged = a.handlePoll(id, order, report, err, a.options.Clock()-began) }) != nil {
			return
		}
		switch {
		case superseded:
		case err != nil:
			loop.Pause(ctx, pollRetryPause)
		case unacknowledged:
			a.awaitWake(ctx, acknowledgeWait)
		case a.options.Clock()-began < pollRetryPause:
			// The runner had nothing to wait for, or has an end that can't be read.
			a.awaitWake(ctx, pollRetryPause)
		}
	}
}

// awaitWake waits for a call of wake.
func (a *Agent) awaitWake(ctx context.Context, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-a.wakePoll:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (a *Agent) nextPoll() (order driver.HoldRequest, id driver.RunnerID, ready bool) {
	if a.state.runner == nil || a.state.token == 0 {
		return order, id, false
	}
	order = driver.HoldRequest{Token: a.state.token, LeaseEnd: a.runnerLeaseEnd(), Wait: pollWait}
	if a.state.acknowledgedEnd > a.state.confirmedEnd {
		// The request may reach the next incarnation of the runner, which would forget its own ends
		// up to this number.
		order.Acknowledged = a.state.acknowledgedEnd
	}
	if !a.state.tokenConfirmed || order.LeaseEnd == 0 || a.state.pollFailed {
		order.Wait = 0
	}
	return order, a.runnerID(), true
}

// handlePoll processes the answer to a poll. It reports whether the owner has yet to acknowledge
// ends in it or the runner's acceptance of the token.
func (a *Agent) handlePoll(id driver.RunnerID, order driver.HoldRequest, report driver.HoldReport, err error, took time.Duration) (unacknowledged bool) {
	if order.Token != a.state.token {
		return false
	}
	// A poll that waits may have been cut off, which one that doesn't is less likely to be.
	a.state.pollFailed = err != nil
	if err != nil {
		a.handlePollError(id, err, took)
		return false
	}
	a.state.connectionsRefused = 0
	if report.Runner.StartedMillis != 0 && report.Runner.StartedMillis != a.state.runner.GetBorn() {
		a.beginRestarted(report.Runner.StartedMillis)
		return false
	}
	a.updateClockOffset(report.Clock)
	a.state.confirmedEnd = max(a.state.confirmedEnd, order.Acknowledged)
	newlyConfirmed := !a.state.tokenConfirmed
	a.state.tokenConfirmed = true
	now := a.options.Clock()
	a.forgetUnanswered()
	a.state.firstListDue = a.state.firstListDue || newlyConfirmed
	// A full report has all runs and ends, also those that were reported before.
	full := newlyConfirmed || now-a.state.listedAt >= listInterval || a.state.firstListDue && !report.MoreEnded
	message := &flowpb.Report{Listed: full}
	if a.state.firstListDue && report.MoreEnded {
		// The owner takes a run that is not in the first list for lost, so that it needs all ends.
		message.Listed = false
	}
	if message.GetListed() {
		a.state.firstListDue = false
	}
	if full {
		a.state.listedAt = now
	}
	a.state.busy = len(report.Ended) > 0
	for _, r := range report.Running {
		// A long-running task reports its tail latency as the gauge, and full progress from its
		// start on.
		a.state.busy = a.state.busy || r.Percent < fullPercent
		if !message.GetListed() {
			continue
		}
		message.Running = append(message.Running, &flowpb.Run{Task: r.Task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: int32(r.Percent), Gauge: r.Gauge})
	}
	for _, e := range report.Ended {
		if e.Number > a.state.lastCountedEnd {
			a.state.lastCountedEnd = e.Number
			a.options.Metrics.RecordEnd(e.Kind.String())
		}
		if e.Number <= a.state.reportedEnd && !full {
			continue
		}
		a.state.reportedEnd = max(a.state.reportedEnd, e.Number)
		message.Ends = append(message.Ends, &flowpb.End{Number: e.Number, Task: e.Task, Run: e.Run, Kind: uint32(e.Kind), Checkpoint: e.Checkpoint})
	}
	if message.GetListed() || len(message.GetEnds()) > 0 {
		a.sendReport(message)
	}
	if newlyConfirmed {
		a.options.Log.Info("runner accepted the token", "runner", id.ID, "token", order.Token, "running", len(report.Running), "ends", len(report.Ended))
	}
	return len(report.Ended) > 0 || newlyConfirmed
}

// withStartTime returns a copy of r for the incarnation that was started at startedMillis and has not announced itself.
func withStartTime(r *flowpb.Runner, startedMillis int64) *flowpb.Runner {
	return &flowpb.Runner{
		Id: r.GetId(), Born: startedMillis, Service: r.GetService(), Zone: r.GetZone(), Labels: r.GetLabels(), MilliCpu: r.GetMilliCpu(),
		MemoryMb: r.GetMemoryMb(), Accelerators: r.GetAccelerators(), Unannounced: true,
	}
}

func (a *Agent) handlePollError(id driver.RunnerID, err error, took time.Duration) {
	a.options.Log.Info("polling the runner failed", "runner", id.ID, "error", err.Error(), "took-ms", took.Milliseconds())
	switch {
	case errors.Is(err, driver.ErrRunnerNotListening):
		a.state.connectionsRefused++
		if a.state.connectionsRefused < goneAfterRefused {
			return
		}
	case errors.Is(err, driver.ErrWrongIncarnation):
	case errors.Is(err, driver.ErrFenced):
		a.resync("the runner has accepted a higher token")
		return
	default:
		return
	}
	// No run of this incarnation is left. The next announcement starts another incarnation.
	a.options.Log.Warn("runner gone", "runner", id.ID, "born", id.StartedMillis)
	a.state.connectionsRefused = 0
	a.requestToken(true)
	a.state.runner = nil
}
