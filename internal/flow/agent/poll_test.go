package agent

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// idleRunner has nothing to tell: it answers a poll at the end of its wait.
type idleRunner struct{ driver.Runner }

func (idleRunner) Hold(ctx context.Context, at driver.RunnerID, order driver.HoldRequest) (r driver.HoldReport, err error) {
	select {
	case <-time.After(order.Wait):
		return driver.HoldReport{Runner: at, Clock: 1}, nil
	case <-ctx.Done():
		return r, driver.ErrIndeterminate
	}
}

// reportTimes keeps when reports were sent.
type reportTimes struct{ reported []time.Time }

func (l *reportTimes) Send(f *flowpb.Frame) {
	if f.GetReport() != nil {
		l.reported = append(l.reported, time.Now())
	}
}

// flappingRunner is behind a connection that goes silent again and again: it answers only polls that don't wait.
type flappingRunner struct{ driver.Runner }

func (flappingRunner) Hold(ctx context.Context, at driver.RunnerID, order driver.HoldRequest) (r driver.HoldReport, err error) {
	if order.Wait > 0 {
		<-ctx.Done()
		return r, driver.ErrIndeterminate
	}
	return driver.HoldReport{Runner: at, Clock: 1}, nil
}

// pollingAgent returns an agent that polls a runner, and what it reports to the owner.
func pollingAgent(runner driver.Runner) (*Agent, *reportTimes) {
	began, l := time.Now(), &reportTimes{}
	a := New(Options{
		Clock: func() time.Duration { return time.Hour + time.Since(began) }, MaxLease: 10 * time.Second, Runner: runner,
		Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewFlow(telemetry.NewMetrics()),
	})
	a.state.link, a.state.runner = l, &flowpb.Runner{Id: "i-1", Born: 1000}
	a.state.lastRunner = a.runnerID()
	return a, l
}

// grant gives the agent orders with a token and a lease.
func (l *reportTimes) grant(a *Agent, token uint64) {
	a.loop.Post(func() {
		a.applyOrders(l, &flowpb.Orders{Token: token, Runner: "i-1", Born: 1000, Report: a.state.sequence, GrantMillis: 5000})
	})
}

// TestPollsThatWaitGetNoAnswer guards against leases that end and runs' ends that are never reported, since
// connections to the runner last for less than a poll waits.
func TestPollsThatWaitGetNoAnswer(t *testing.T) {
	// maxGap is how long the owner may hear nothing. A lease is 5 s.
	const maxGap = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		a, l := pollingAgent(flappingRunner{})
		ctx, stop := context.WithCancel(t.Context())
		loopDone, pollDone := loop.Go(ctx, a.loop.Run), loop.Go(ctx, a.pollRunner)
		l.grant(a, 7)
		time.Sleep(20 * time.Millisecond)
		l.grant(a, 7)
		time.Sleep(4 * time.Second)
		stop()
		<-pollDone
		<-loopDone
		longest, last := time.Duration(0), began
		for _, at := range append(l.reported, time.Now()) {
			longest, last = max(longest, at.Sub(last)), at
		}
		t.Logf("%d reports, at most %v apart", len(l.reported), longest)
		is.True(longest < maxGap) // the runner would answer a poll that doesn't wait
	})
}

// TestNewTokenWaitsForPoll guards against a new token, and with it the lease, that waits for the end of a poll
// under the token before. A connection to the owner may last no longer than that.
func TestNewTokenWaitsForPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, l := pollingAgent(idleRunner{})
		ctx, stop := context.WithCancel(t.Context())
		loopDone, pollDone := loop.Go(ctx, a.loop.Run), loop.Go(ctx, a.pollRunner)
		l.grant(a, 7)
		time.Sleep(20 * time.Millisecond)
		l.grant(a, 7)
		time.Sleep(pollWait + pollWait/2)
		granted := time.Now()
		l.grant(a, 8)
		time.Sleep(pollWait / 10)
		synctest.Wait()
		is.True(l.reported[len(l.reported)-1].Compare(granted) >= 0) // the report under the new token waits for the old poll
		stop()
		<-pollDone
		<-loopDone
	})
}
