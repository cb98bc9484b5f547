package agent

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// TestOrdersOfAnEarlierLife checks that orders sent before the runner restarted do not acknowledge
// ends of its new incarnation, which numbers its ends from 1 again.
func TestOrdersOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	a := New(Options{Clock: func() time.Duration { return time.Hour }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	l := &link.Link{}
	a.state.link, a.state.runner = l, &flowpb.Runner{Id: "i-1", Born: 2000}
	a.state.token, a.state.acknowledgedEnd = 0, 0

	a.applyOrders(l, &flowpb.Orders{Token: 7, Runner: "i-1", Born: 1000, Settled: 87})
	is.Equal(a.state.token, uint64(0))
	is.Equal(a.state.acknowledgedEnd, uint64(0))

	a.applyOrders(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 0})
	is.Equal(a.state.token, uint64(8))
	a.applyOrders(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 3})
	is.Equal(a.state.acknowledgedEnd, uint64(3))

	// A synchronisation revokes the orders sent before it.
	a.state.link = nil
	a.requestToken(false)
	a.state.link = l
	a.applyOrders(l, &flowpb.Orders{Token: 8, Runner: "i-1", Born: 2000, Settled: 4})
	is.Equal(a.state.token, uint64(0))
}

// connectedAgent returns an agent with a token and a session, and the owner's end of that session.
// now is read as the agent's clock.
func connectedAgent(is *is.I, t *testing.T, now *time.Duration) (*Agent, *link.Link) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan *link.Link, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			close(accepted)
			return
		}
		owner, err := link.Accept(t.Context(), conn)
		if err != nil {
			close(accepted)
			return
		}
		owner.Send(link.Welcome(&flowpb.Welcome{}))
		accepted <- owner
	}()
	l, _, err := link.Dial(t.Context(), listener.Addr().String(), &flowpb.Hello{Node: "n"})
	is.NoErr(err)
	owner := <-accepted
	is.True(owner != nil)
	t.Cleanup(func() { l.Close(); owner.Close(); l.Wait(); owner.Wait() })
	metrics := telemetry.NewFlow(telemetry.NewMetrics())
	a := New(Options{Clock: func() time.Duration { return *now }, MaxLease: 10 * time.Second, Log: slog.New(slog.DiscardHandler), Metrics: metrics})
	a.state.link, a.state.runner, a.state.token = l, &flowpb.Runner{Id: "i-1", Born: 1000, MilliCpu: 4}, 7
	a.state.lastRunner = a.runnerID()
	return a, owner
}

func receive(is *is.I, l *link.Link) *flowpb.Frame {
	f, err := l.Receive()
	is.NoErr(err)
	return f
}

// TestReportsChanges checks that an agent reports each end at once and once, the runs in intervals,
// and the runner when it has changed.
func TestReportsChanges(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	a, owner := connectedAgent(is, t, &now)
	id := driver.RunnerID{ID: "i-1", StartedMillis: 1000}
	running := driver.ActiveRun{RunID: driver.RunID{Task: "j.0.0.0", Run: 1}, Percent: 10}
	ended := func(numbers ...uint64) (ends []driver.EndedRun) {
		for _, n := range numbers {
			ends = append(ends, driver.EndedRun{RunID: driver.RunID{Task: "j.0.0.1", Run: uint32(n)}, Number: n, Kind: driver.EndDone})
		}
		return ends
	}
	poll := func(ends ...uint64) {
		a.handlePoll(id, driver.HoldRequest{Token: 7}, driver.HoldReport{Runner: id, Running: []driver.ActiveRun{running}, Ended: ended(ends...)}, nil, 0)
	}
	poll()
	r := receive(is, owner).GetReport()
	is.True(r.GetListed())
	is.Equal(len(r.GetRunning()), 1)
	is.Equal(r.GetRunner().GetId(), "i-1")

	now += 10 * time.Millisecond
	poll(1)
	poll(1) // not acknowledged yet, and not reported again
	poll(1, 2)
	for n := uint64(1); n <= 2; n++ {
		r = receive(is, owner).GetReport()
		is.True(!r.GetListed())
		is.Equal(len(r.GetEnds()), 1)
		is.Equal(r.GetEnds()[0].GetNumber(), n)
		is.Equal(len(r.GetRunning()), 0)
		is.True(r.GetRunner() == nil)
	}

	now += listInterval
	poll(1, 2)
	r = receive(is, owner).GetReport()
	is.True(r.GetListed())
	is.Equal(len(r.GetRunning()), 1)
	is.Equal(len(r.GetEnds()), 2)
	is.True(r.GetRunner() == nil)
}

// stoppingRunner is a runner that answers stops alone.
type stoppingRunner struct{ driver.Runner }

func (stoppingRunner) Stop(context.Context, driver.RunnerID, driver.RunID, uint64) error { return nil }

// TestCrashWithStartUnderWay checks what an agent tells the owner about a runner that has restarted
// under its id while a start was under way: which runs it may yet start, and how long its lease may be.
func TestCrashWithStartUnderWay(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	a, owner := connectedAgent(is, t, &now)
	ctx, stop := context.WithCancel(t.Context())
	a.ctx, a.options.Runner = ctx, stoppingRunner{}
	done := loop.Go(ctx, a.loop.Run)
	t.Cleanup(func() {
		stop()
		<-done
		a.guards.Wait()
		a.calls.Wait()
	})
	// Checks stay out of f: one that fails would end the goroutine of the loop.
	onLoop := func(f func()) {
		is.NoErr(a.loop.Do(f))
		a.calls.Wait()
	}
	id := driver.RunnerID{ID: "i-1", StartedMillis: 1000}
	var order driver.HoldRequest
	onLoop(func() {
		a.state.unanswered[driver.RunID{Task: "j.0.0.0", Run: 3}] = now
		a.state.acknowledgedEnd = 87
		order, _, _ = a.nextPoll()
	})
	is.Equal(order.Acknowledged, uint64(87))

	reborn := driver.RunnerID{ID: "i-1", StartedMillis: 2000}
	onLoop(func() { a.handlePoll(id, order, driver.HoldReport{Runner: reborn}, nil, 0) })
	s := receive(is, owner).GetSync()
	is.Equal(s.GetRunner().GetBorn(), int64(2000))
	is.Equal(len(s.GetUnanswered()), 1)
	is.Equal(s.GetUnanswered()[0].GetRun(), uint32(3))
	is.Equal(s.GetLeaseMillis(), int64(10_000))

	// The new token is above that of the start, which this incarnation refuses from now on. The next one
	// does not know the token.
	var before, after int
	onLoop(func() {
		a.state.token = 8
		a.handlePoll(reborn, driver.HoldRequest{Token: 8}, driver.HoldReport{Runner: reborn}, nil, 0)
		before = len(a.state.unanswered)
		now += driver.MaxOrderDelay + 1
		a.handlePoll(reborn, driver.HoldRequest{Token: 8}, driver.HoldReport{Runner: reborn}, nil, 0)
		after = len(a.state.unanswered)
	})
	is.Equal(before, 1)
	is.Equal(after, 0)

	// An acknowledgement is not sent again once the runner has answered it.
	onLoop(func() {
		a.state.acknowledgedEnd = 1
		order, _, _ = a.nextPoll()
	})
	is.Equal(order.Acknowledged, uint64(1))
	onLoop(func() {
		a.handlePoll(reborn, order, driver.HoldReport{Runner: reborn}, nil, 0)
		order, _, _ = a.nextPoll()
	})
	is.Equal(order.Acknowledged, uint64(0))
}

// namedRunner is a runner that answers to its id alone.
type namedRunner struct {
	driver.Runner
	id string
}

func (r namedRunner) Hold(_ context.Context, at driver.RunnerID, _ driver.HoldRequest) (report driver.HoldReport, err error) {
	if at.ID != r.id {
		return report, driver.ErrWrongIncarnation
	}
	return report, driver.ErrFenced
}

// TestAnnouncementOfAnotherRunner checks that an announcement under an id to which the runner does not
// answer leaves the known runner. The owner would take its runs for lost and start them elsewhere,
// while they go on.
func TestAnnouncementOfAnotherRunner(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	a, _ := connectedAgent(is, t, &now)
	ctx, stop := context.WithCancel(t.Context())
	a.ctx, a.options.Runner = ctx, namedRunner{id: "i-1"}
	done := loop.Go(ctx, a.loop.Run)
	announce := func(id string, born int64) (known *flowpb.Runner) {
		a.SetRunner(&flowpb.Runner{Id: id, Born: born, MilliCpu: 4})
		is.NoErr(a.loop.Do(func() {}))
		a.calls.Wait()
		is.NoErr(a.loop.Do(func() { known = a.state.runner }))
		return known
	}
	is.Equal(announce("odd", 5).GetId(), "i-1")
	is.Equal(announce("i-1", 2000).GetBorn(), int64(2000))
	is.NoErr(a.loop.Do(func() { a.options.Runner = namedRunner{id: "i-2"} }))
	is.Equal(announce("i-2", 3000).GetId(), "i-2")
	stop()
	<-done
}

// eagerRunner answers each poll at once, and counts them.
type eagerRunner struct {
	driver.Runner
	polls atomic.Int64
}

func (r *eagerRunner) Hold(_ context.Context, at driver.RunnerID, _ driver.HoldRequest) (driver.HoldReport, error) {
	r.polls.Add(1)
	return driver.HoldReport{Runner: at, Clock: 1}, nil
}

// TestPollsAreSpaced checks that a runner which answers polls at once, such as one with an end in its list
// that can't be read and so is never acknowledged, is not polled without a pause.
func TestPollsAreSpaced(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	a, _ := connectedAgent(is, t, &now)
	runner := &eagerRunner{}
	a.options.Runner, a.state.tokenConfirmed = runner, true
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	done := loop.Go(ctx, a.loop.Run)
	a.pollRunner(ctx)
	<-done
	t.Logf("%d polls", runner.polls.Load())
	is.True(runner.polls.Load() > 1)
	is.True(runner.polls.Load() <= int64(300*time.Millisecond/pollRetryPause)+1)
}

// TestRunEndedAfterFirstPage guards against a run that is taken for lost, and started again, since its end was
// not among the first of many. The first list under a token is sent once it holds all ends.
func TestRunEndedAfterFirstPage(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	a, owner := connectedAgent(is, t, &now)
	id := driver.RunnerID{ID: "i-1", StartedMillis: 1000}
	for number, more := range []bool{true, true, false} {
		end := driver.EndedRun{RunID: driver.RunID{Task: "j.0.0.0", Run: 1}, Number: uint64(number + 1), Kind: driver.EndDone}
		a.handlePoll(id, driver.HoldRequest{Token: 7}, driver.HoldReport{Runner: id, Ended: []driver.EndedRun{end}, MoreEnded: more}, nil, 0)
		r := receive(is, owner).GetReport()
		is.Equal(r.GetListed(), !more)
		is.Equal(len(r.GetEnds()), 1)
	}
}

// TestNoLeaseBeforeFirstList guards against a runner whose lease ends while its first list waits for ends that
// the owner holds back: the agent reports them again, which the owner answers with a lease.
func TestNoLeaseBeforeFirstList(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	a, owner := connectedAgent(is, t, &now)
	id := driver.RunnerID{ID: "i-1", StartedMillis: 1000}
	ended := []driver.EndedRun{{RunID: driver.RunID{Task: "j.0.0.0", Run: 1}, Number: 1, Kind: driver.EndDone}}
	for range 3 {
		a.handlePoll(id, driver.HoldRequest{Token: 7}, driver.HoldReport{Runner: id, Ended: ended, MoreEnded: true}, nil, 0)
		r := receive(is, owner).GetReport()
		is.True(!r.GetListed())
		is.Equal(len(r.GetEnds()), 1)
		now += listInterval
	}
}
