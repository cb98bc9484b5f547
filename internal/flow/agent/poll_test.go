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

// TestNewTokenWaitsForPoll guards against a new token, and with it the lease, that waits for the end of a poll
// under the token before. A connection to the owner may last no longer than that.
func TestNewTokenWaitsForPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began, l := time.Now(), &reportTimes{}
		a := New(Options{
			Clock: func() time.Duration { return time.Hour + time.Since(began) }, MaxLease: 10 * time.Second, Runner: idleRunner{},
			Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewFlow(telemetry.NewMetrics()),
		})
		a.state.link, a.state.runner, a.state.lastRunnerID = l, &flowpb.Runner{Id: "i-1", Born: 1000}, "i-1"
		ctx, stop := context.WithCancel(t.Context())
		loopDone, pollDone := loop.Go(ctx, a.loop.Run), loop.Go(ctx, a.pollRunner)
		grant := func(token uint64) {
			a.loop.Post(func() {
				a.applyOrders(l, &flowpb.Orders{Token: token, Runner: "i-1", Born: 1000, Report: a.state.sequence, GrantMillis: 5000})
			})
		}
		grant(7)
		time.Sleep(20 * time.Millisecond)
		grant(7)
		time.Sleep(pollWait + pollWait/2)
		granted := time.Now()
		grant(8)
		time.Sleep(pollWait / 10)
		is.True(l.reported[len(l.reported)-1].Compare(granted) >= 0) // the report under the new token waits for the old poll
		stop()
		<-pollDone
		<-loopDone
	})
}
