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
	// holdWait is how long the runner may hold an answer back for an end. A lease is
	// renewed about this often.
	holdWait = 500 * time.Millisecond
	// holdTimeout bounds a hold beyond its wait: an end is heard of this much late if the
	// answer to a hold is lost.
	holdTimeout = 150 * time.Millisecond
	holdRetry   = 20 * time.Millisecond
	// settleWait is how long to wait for the owner to settle ends before they are listed again.
	settleWait = 250 * time.Millisecond
	// refusedGone is how many refused connections in a row show that the runner is gone.
	refusedGone = 2
	// percentFull is the progress of a task that lasts and is at work.
	percentFull = 100
)

// hold asks the runner again and again what it holds, and extends its lease by the way.
func (a *Agent) hold(ctx context.Context) {
	for ctx.Err() == nil {
		var order driver.HoldRequest
		var at driver.RunnerID
		ready := false
		if a.loop.Do(func() { order, at, ready = a.nextHold() }) != nil {
			return
		}
		if !ready {
			a.await(ctx, holdWait)
			continue
		}
		began := a.options.Clock()
		callContext, cancel := context.WithTimeout(ctx, order.Wait+holdTimeout)
		report, err := a.options.Runner.Hold(callContext, at, order)
		cancel()
		unsettled := false
		if a.loop.Do(func() { unsettled = a.held(at, order, report, err, a.options.Clock()-began) }) != nil {
			return
		}
		switch {
		case err != nil:
			loop.Pause(ctx, holdRetry)
		case unsettled:
			a.await(ctx, settleWait)
		}
	}
}

// await waits for a nudge.
func (a *Agent) await(ctx context.Context, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-a.kick:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (a *Agent) nextHold() (order driver.HoldRequest, at driver.RunnerID, ready bool) {
	if a.c.runner == nil || a.c.token == 0 {
		return order, at, false
	}
	order = driver.HoldRequest{Token: a.c.token, Acknowledged: a.c.settled, LeaseEnd: a.lease(), Wait: holdWait}
	if !a.c.confirmed || order.LeaseEnd == 0 {
		order.Wait = 0
	}
	return order, a.at(), true
}

// held takes in the answer to a hold and reports whether ends in it are not settled yet.
func (a *Agent) held(at driver.RunnerID, order driver.HoldRequest, report driver.HoldReport, err error, took time.Duration) (unsettled bool) {
	if order.Token != a.c.token {
		return false
	}
	if err != nil {
		a.holdFailed(at, err, took)
		return false
	}
	a.c.refused = 0
	if report.Runner.StartedMillis != 0 && report.Runner.StartedMillis != a.c.runner.GetBorn() {
		a.options.Log.Info("runner has started anew under its id", "runner", at.ID, "born", report.Runner.StartedMillis)
		a.c.runner = withBorn(a.c.runner, report.Runner.StartedMillis)
		a.c.settled, a.c.listedEnd = 0, 0
		a.sync(false)
		return false
	}
	a.learnClock(report.Clock)
	first := !a.c.confirmed
	a.c.confirmed = true
	message := &flowpb.Report{Listed: true}
	a.c.busy = len(report.Ended) > 0
	for _, r := range report.Running {
		// A task that lasts reports its tail and full progress from its start on.
		a.c.busy = a.c.busy || r.Percent < percentFull
		message.Running = append(message.Running, &flowpb.Run{Task: r.Task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: int32(r.Percent), Gauge: r.Gauge})
	}
	for _, e := range report.Ended {
		if e.Number > a.c.listedEnd {
			a.c.listedEnd = e.Number
			a.options.Metrics.End(e.Kind.String())
		}
		message.Ends = append(message.Ends, &flowpb.End{Number: e.Number, Task: e.Task, Run: e.Run, Kind: uint32(e.Kind), Checkpoint: e.Checkpoint})
	}
	a.report(message)
	if first {
		a.options.Log.Info("runner has seen the token", "runner", at.ID, "token", order.Token, "running", len(report.Running), "ends", len(report.Ended))
	}
	return len(report.Ended) > 0 || first
}

func withBorn(r *flowpb.Runner, born int64) *flowpb.Runner {
	return &flowpb.Runner{
		Id: r.GetId(), Born: born, Service: r.GetService(), Zone: r.GetZone(), Labels: r.GetLabels(), MilliCpu: r.GetMilliCpu(),
		MemoryMb: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
	}
}

func (a *Agent) holdFailed(at driver.RunnerID, err error, took time.Duration) {
	a.options.Log.Info("runner did not list what it holds", "runner", at.ID, "error", err.Error(), "took-ms", took.Milliseconds())
	switch {
	case errors.Is(err, driver.ErrRunnerNotListening):
		a.c.refused++
		if a.c.refused < refusedGone {
			return
		}
	case errors.Is(err, driver.ErrWrongIncarnation):
	case errors.Is(err, driver.ErrFenced):
		a.doubt("the runner has seen a higher token")
		return
	default:
		return
	}
	// Nothing of this life runs any more; the next announcement brings the next life.
	a.options.Log.Warn("runner is gone", "runner", at.ID, "born", at.StartedMillis)
	a.c.refused = 0
	a.sync(true)
	a.c.runner = nil
}
