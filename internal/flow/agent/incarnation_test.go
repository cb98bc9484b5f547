package agent

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// offers keeps the runners for which an agent asks the owner for a token, and those that it reports.
type offers struct{ runners []*flowpb.Runner }

func (l *offers) Send(f *flowpb.Frame) {
	if s := f.GetSync(); s != nil {
		l.runners = append(l.runners, s.GetRunner())
	}
	if r := f.GetReport().GetRunner(); r != nil {
		l.runners = append(l.runners, r)
	}
}

// offered calls f on the loop of an agent that runs, and returns the runners that it then offers to the owner.
func offered(t *testing.T, f func(a *Agent)) []*flowpb.Runner {
	l := &offers{}
	synctest.Test(t, func(t *testing.T) {
		a, _ := pollingAgent(idleRunner{})
		a.state.link = l
		ctx, stop := context.WithCancel(t.Context())
		a.ctx = ctx
		done := loop.Go(ctx, a.loop.Run)
		_ = a.loop.Do(func() { f(a) })
		stop()
		<-done
		a.guards.Wait()
		a.calls.Wait()
	})
	return l.runners
}

// TestRestartedRunnerTakesFormerKind guards against a runner that is offered to the owner with the room and the
// labels of a life before the last, since its last restart was noticed before its heartbeat.
func TestRestartedRunnerTakesFormerKind(t *testing.T) {
	is := is.New(t)
	runners := offered(t, func(a *Agent) {
		a.state.runner = &flowpb.Runner{Id: "i-1", Born: 1000, MilliCpu: 4, Labels: []string{"a"}}
		a.state.lastRunner = a.runnerID()
		restart := func(from, to int64) {
			a.state.token = 7
			a.handlePoll(driver.RunnerID{ID: "i-1", StartedMillis: from}, driver.HoldRequest{Token: 7}, driver.HoldReport{Runner: driver.RunnerID{ID: "i-1", StartedMillis: to}}, nil, 0)
		}
		restart(1000, 2000)
		a.applyRunner(&flowpb.Runner{Id: "i-1", Born: 2000, MilliCpu: 2, Labels: []string{"b"}})
		restart(2000, 3000)
	})
	is.Equal(len(runners), 2)
	r := runners[1]
	is.Equal(r.GetBorn(), int64(3000))
	is.Equal(r.GetMilliCpu(), int64(2)) // as the heartbeat of the life before said
	is.Equal(r.GetLabels(), []string{"b"})
	is.True(r.GetUnannounced()) // it may be of another kind, and gets no task before it has said so
}

// TestAnnouncedRunnerIsReported guards against a restarted runner that gets no tasks though it has said what it is.
func TestAnnouncedRunnerIsReported(t *testing.T) {
	is := is.New(t)
	runners := offered(t, func(a *Agent) {
		a.state.runner = &flowpb.Runner{Id: "i-1", Born: 1000, MilliCpu: 4}
		a.state.lastRunner = a.runnerID()
		a.beginRestarted(2000)
		a.state.token, a.state.tokenConfirmed = 8, true
		a.sendReport(&flowpb.Report{})
		a.applyRunner(&flowpb.Runner{Id: "i-1", Born: 2000, MilliCpu: 2})
	})
	is.Equal(len(runners), 3) // the request for a token, and two reports
	is.True(runners[0].GetUnannounced())
	is.True(!runners[2].GetUnannounced())
	is.Equal(runners[2].GetMilliCpu(), int64(2))
}

// TestLostRunnerIsOfferedUnannounced guards against a runner that is offered to the owner with the kind of its life
// before, after the agent has found it gone and before it has said what it is.
func TestLostRunnerIsOfferedUnannounced(t *testing.T) {
	runners := offered(t, func(a *Agent) {
		a.state.runner, a.state.token = nil, 0
		a.handleWatch(driver.RunnerID{ID: "i-1", StartedMillis: 1000}, 2000)
	})
	for _, r := range runners {
		t.Errorf("the owner is offered %v, which no life has announced", r)
	}
}
