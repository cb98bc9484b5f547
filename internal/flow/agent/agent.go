package agent

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/flow/locate"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/steady"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// retryPause is the longest pause between attempts to connect to the owner.
	retryPause = 120 * time.Millisecond
	// reportHistory is how many reports have their send time kept, from which the grants that
	// answer them count.
	reportHistory = 64
	// orderTimeout bounds one attempt to send an order to the runner, which is on the same VM and
	// answers in milliseconds.
	orderTimeout = 150 * time.Millisecond
	// maxOrderAttempts bounds the attempts to send an order that gets no answer. All orders are
	// idempotent: a duplicate that is carried out late finds that the run is there or has ended, or
	// that its lease has expired.
	maxOrderAttempts = 3
	// minStartLease is the shortest remaining lease with which a start is sent.
	minStartLease = 100 * time.Millisecond
	// maxStartDelay is how long a start may wait in the agent before its first attempt or the next. The
	// owner then places the task elsewhere, and what it has decided since can't be far behind.
	maxStartDelay = 500 * time.Millisecond
	// maxDoubtDelay is how long a start in doubt waits for others before the agent synchronises, the
	// time of all attempts of one start.
	maxDoubtDelay = maxOrderAttempts * orderTimeout
	// unhealthyRetryPause is the pause before a stop that an unhealthy runner refused is sent again.
	unhealthyRetryPause = 50 * time.Millisecond
	// maxParallelOrders bounds the orders in flight to the runner.
	maxParallelOrders = 4
	// minResyncInterval keeps indeterminate starts in quick succession from requesting a token
	// each.
	minResyncInterval = 200 * time.Millisecond
	// leavePollInterval is how often Leave checks whether tasks still run.
	leavePollInterval = 50 * time.Millisecond
)

// Options configures an Agent.
type Options struct {
	Node        string
	Incarnation uint64
	Zone        string
	Follower    *locate.Follower
	Runner      driver.Runner
	// MaxLease is the longest lease that the runner accepts.
	MaxLease time.Duration
	Clock    steady.Clock
	Log      *slog.Logger
	Metrics  *telemetry.Flow
}

// Agent connects the runner on its VM to the owner of the cell. It is safe for concurrent use.
type Agent struct {
	options  Options
	loop     *loop.Loop
	wakePoll chan struct{}
	// calls tracks the goroutines that call the runner or wait to synchronise.
	calls sync.WaitGroup
	// guards tracks guardLease and watchIncarnation, which may begin calls.
	guards sync.WaitGroup
	ctx    context.Context
	state  loopState
}

// ownerLink sends frames to the owner; *link.Link implements it.
type ownerLink interface {
	Send(f *flowpb.Frame)
}

// loopState is accessed only by the goroutine of the loop.
type loopState struct {
	// link is nil while there is no session with the owner.
	link ownerLink
	// runner is the runner's last announcement, or nil if there is none.
	runner *flowpb.Runner
	token  uint64
	// revokedToken is the highest token that a synchronisation has revoked.
	revokedToken uint64
	// highestToken is the highest token that any owner has issued for the runner.
	highestToken uint64
	// tokenConfirmed is set when the runner has accepted the token.
	tokenConfirmed bool
	// reportedRunner is what the last report under the token said of the runner.
	reportedRunner *flowpb.Runner
	// reportedEnd is the number of the last end that was reported under the token.
	reportedEnd uint64
	// firstListDue is set until all runs and ends have been reported under the token.
	firstListDue bool
	// listedAt is when all runs on the runner were last reported.
	listedAt        time.Duration
	sequence        uint64
	reportSentAt    [reportHistory]time.Duration
	acknowledgedEnd uint64
	// confirmedEnd is the last acknowledgement that the runner has confirmed.
	confirmedEnd   uint64
	lastCountedEnd uint64
	// unanswered holds the starts of which an attempt got no answer so far, with the time of the last
	// attempt. The runner refuses them once it has seen a higher token, but its next incarnation has seen
	// none.
	unanswered map[driver.RunID]time.Duration
	// watching is set while watchIncarnation runs, with watchInterval between its calls if the agent has no token.
	watching      bool
	watchInterval time.Duration
	// lastRunner is the last incarnation of a runner that the agent knew of, which may be gone. foreignLeaseEnd
	// bounds, on this VM's steady clock, a lease that the runner has taken from a request to its incarnation
	// before.
	lastRunner      driver.RunnerID
	foreignLeaseEnd time.Duration
	// guardingLease is set while guardLease runs.
	guardingLease bool
	// leaseEnd is the end of the lease that the owner granted, on this VM's steady clock.
	leaseEnd time.Duration
	// clockOffset converts times on this VM's steady clock to the runner's clock. It may be too low
	// but never too high, so that a converted lease never ends late.
	clockOffset time.Duration
	clockReadAt time.Duration
	results     []*flowpb.StartResult
	orders      orderQueue
	lastResync  time.Duration
	// doubtToken is the last token under which a start was in doubt, since doubtSince.
	doubtToken uint64
	doubtSince time.Duration
	// endPoll ends the poll in progress, if there is one. pollFailed is set if the last one got no answer.
	endPoll    context.CancelFunc
	pollFailed bool
	// resyncDue is the token that a synchronisation replaces once minResyncInterval has passed, or 0.
	resyncDue          uint64
	connectionsRefused int
	// leaving is set once the agent shuts down. busy is set while tasks run that are not
	// long-running, or ends are not acknowledged.
	leaving bool
	busy    bool
}

// New returns an Agent. Run must be called next.
func New(o Options) *Agent {
	return &Agent{
		options: o, loop: loop.New(), wakePoll: make(chan struct{}, 1),
		state: loopState{unanswered: map[driver.RunID]time.Duration{}, orders: newOrderQueue()},
	}
}

// Run serves the runner until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	loopDone := loop.Go(ctx, a.loop.Run)
	pollDone := loop.Go(ctx, a.pollRunner)
	for ctx.Err() == nil {
		a.session(ctx)
	}
	<-pollDone
	<-loopDone
	a.guards.Wait()
	a.calls.Wait()
}

// session connects to the owner and serves the session until it ends.
func (a *Agent) session(ctx context.Context) {
	record, _, changed := a.options.Follower.Record()
	if record == nil || record.GetReleased() {
		a.options.Follower.Doubt(record)
		waitChange(ctx, changed, retryPause)
		return
	}
	l, welcome, err := link.Dial(ctx, record.GetAddress(), &flowpb.Hello{Node: a.options.Node, Agent: true, Incarnation: a.options.Incarnation, Zone: a.options.Zone})
	if err != nil || welcome.GetError() != "" {
		if err == nil {
			l.Close()
			a.options.Follower.Learn(welcome.GetOwner())
		}
		a.options.Follower.Doubt(record)
		waitChange(ctx, changed, retryPause)
		return
	}
	a.options.Log.Info("connected to the owner", "owner", record.GetNode(), "epoch", welcome.GetEpoch())
	a.loop.Post(func() {
		// A new owner issues tokens of its own, all higher than those of the owner before it.
		a.state.link, a.state.token, a.state.revokedToken, a.state.tokenConfirmed, a.state.results = l, 0, 0, false, nil
		a.requestToken(false)
	})
	done := make(chan struct{})
	closerDone := loop.Go(ctx, func(ctx context.Context) {
		select {
		case <-changed:
		case <-done:
		case <-ctx.Done():
		}
		l.Close()
	})
	for {
		f, err := l.Receive()
		if err != nil {
			break
		}
		if o := f.GetOrders(); o != nil {
			a.loop.Post(func() { a.applyOrders(l, o) })
		}
	}
	close(done)
	<-closerDone
	l.Wait()
	a.loop.Post(func() {
		if a.state.link == l {
			a.state.link, a.state.token, a.state.tokenConfirmed = nil, 0, false
		}
	})
	if ctx.Err() == nil {
		a.options.Log.Warn("connection to the owner lost", "owner", record.GetNode(), "epoch", record.GetEpoch(), "silent", l.Silent())
	}
}

func waitChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// SetRunner applies an announcement of the runner. Under another id than before it applies only if the
// runner does not deny that id: the owner takes the runs of the id before for lost.
func (a *Agent) SetRunner(r *flowpb.Runner) {
	a.loop.Post(func() {
		if before := a.state.runner; before != nil && before.GetId() == r.GetId() {
			a.applyRunner(r)
			return
		}
		a.calls.Go(func() {
			ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
			// The runner does nothing under a token of 0, unless it has seen none.
			_, err := a.options.Runner.Hold(ctx, driver.RunnerID{ID: r.GetId(), StartedMillis: r.GetBorn()}, driver.HoldRequest{})
			cancel()
			a.loop.Post(func() {
				if errors.Is(err, driver.ErrWrongIncarnation) {
					a.options.Log.Warn("announcement of another runner ignored", "runner", r.GetId(), "current", a.state.runner.GetId())
					return
				}
				a.applyRunner(r)
			})
		})
	})
}

// applyRunner applies an announcement of the runner. It requests a new token if the runner or its
// incarnation has changed.
func (a *Agent) applyRunner(r *flowpb.Runner) {
	before := a.state.runner
	if a.state.leaving {
		r = withAgentLeaving(r)
	}
	a.state.runner = r
	switch {
	case before == nil || before.GetId() != r.GetId() || before.GetBorn() != r.GetBorn():
		a.options.Log.Info("runner announced", "runner", r.GetId(), "born", r.GetBorn(), "service", r.GetService(), "cpu", r.GetMilliCpu(), "memory-mb", r.GetMemoryMb())
		a.beginIncarnation()
		a.requestToken(false)
	case before.GetUnannounced(), before.GetDraining() != r.GetDraining():
		a.options.Log.Info("runner state changed", "runner", r.GetId(), "born", r.GetBorn(), "cpu", r.GetMilliCpu(), "memory-mb", r.GetMemoryMb(), "draining", r.GetDraining(), "remaining-ms", r.GetRemainingMillis())
		if a.state.tokenConfirmed {
			a.sendReport(&flowpb.Report{})
		}
	}
}

// Leave tells the owner to place no more tasks here. It waits until ctx ends or all runs have
// ended, except those of long-running tasks.
func (a *Agent) Leave(ctx context.Context) {
	_ = a.loop.Do(func() {
		a.state.leaving = true
		if a.state.runner != nil {
			a.state.runner = withAgentLeaving(a.state.runner)
		}
		a.sendReport(&flowpb.Report{})
	})
	for ctx.Err() == nil {
		busy := true
		if a.loop.Do(func() { busy = a.state.busy }) != nil || !busy {
			return
		}
		loop.Pause(ctx, leavePollInterval)
	}
}

func withAgentLeaving(r *flowpb.Runner) *flowpb.Runner {
	leaving := proto.CloneOf(r)
	leaving.AgentLeaving = true
	return leaving
}

// requestToken revokes the current token and requests a new one. gone is set if the
// runner no longer runs.
func (a *Agent) requestToken(gone bool) {
	a.state.revokedToken = max(a.state.revokedToken, a.state.token)
	a.state.token, a.state.tokenConfirmed, a.state.results = 0, false, nil
	a.state.reportedRunner, a.state.reportedEnd = nil, 0
	if a.state.link == nil || a.state.runner == nil {
		return
	}
	s := &flowpb.Sync{Runner: a.state.runner, Gone: gone, LeaseMillis: max(0, a.state.foreignLeaseEnd-a.options.Clock()).Milliseconds()}
	for id := range a.state.unanswered {
		s.Unanswered = append(s.Unanswered, &flowpb.RunKey{Task: id.Task, Run: id.Run})
	}
	a.state.link.Send(link.Sync(s))
}

// resync requests a new token, so that the owner determines whether an indeterminate start took
// effect. Within minResyncInterval of the last one it waits, unless a new token comes meanwhile.
func (a *Agent) resync(reason string) {
	token := a.state.token
	if token == 0 || a.state.resyncDue == token {
		return
	}
	now := a.options.Clock()
	if wait := a.state.lastResync + minResyncInterval - now; wait > 0 && a.state.lastResync > 0 {
		a.state.resyncDue = token
		a.calls.Go(func() {
			loop.Pause(a.ctx, wait)
			a.loop.Post(func() {
				if a.state.token == token {
					a.state.resyncDue = 0
					a.resync(reason)
				}
			})
		})
		return
	}
	a.state.lastResync = now
	a.options.Log.Info("requesting a new token", "reason", reason)
	a.requestToken(false)
}

// sendReport sends a report under the current token.
func (a *Agent) sendReport(r *flowpb.Report) {
	if a.state.link == nil || a.state.token == 0 {
		return
	}
	a.state.sequence++
	a.state.reportSentAt[a.state.sequence%reportHistory] = a.options.Clock()
	r.Token, r.Sequence = a.state.token, a.state.sequence
	if !proto.Equal(a.state.reportedRunner, a.state.runner) {
		r.Runner, a.state.reportedRunner = a.state.runner, a.state.runner
	}
	r.Results, a.state.results = a.state.results, nil
	a.state.link.Send(link.Report(r))
}

// applyOrders carries out the owner's orders, unless they are for another incarnation of the runner
// or under a revoked token.
func (a *Agent) applyOrders(l ownerLink, o *flowpb.Orders) {
	if a.state.link != l || a.state.runner == nil {
		return
	}
	if o.GetResync() {
		a.resync("requested by the owner")
		return
	}
	if o.GetRunner() != a.state.runner.GetId() || o.GetBorn() != a.state.runner.GetBorn() {
		a.options.Log.Info("orders for another incarnation ignored", "runner", o.GetRunner(), "born", o.GetBorn(), "current", a.state.runner.GetBorn())
		return
	}
	if o.GetToken() != a.state.token {
		if o.GetToken() <= a.state.revokedToken {
			a.options.Log.Info("orders under a revoked token ignored", "token", o.GetToken(), "current", a.state.token)
			return
		}
		a.state.revokedToken = max(a.state.revokedToken, a.state.token)
		a.state.token, a.state.tokenConfirmed, a.state.results = o.GetToken(), false, nil
		a.state.highestToken = max(a.state.highestToken, o.GetToken())
		if a.state.endPoll != nil {
			// The poll in progress, under the token before, may wait long for a run to end.
			a.state.endPoll()
		}
	}
	if o.GetGrantMillis() > 0 && o.GetReport() > 0 && a.state.sequence-o.GetReport() < reportHistory {
		end := a.state.reportSentAt[o.GetReport()%reportHistory] + time.Duration(o.GetGrantMillis())*time.Millisecond
		a.state.leaseEnd = max(a.state.leaseEnd, end)
	}
	a.state.acknowledgedEnd = max(a.state.acknowledgedEnd, o.GetSettled())
	a.wake()
	for _, s := range o.GetStarts() {
		a.addStart(s, a.heardAt(o))
	}
	for _, s := range o.GetStops() {
		a.addStop(driver.RunID{Task: s.GetTask(), Run: s.GetRun()})
	}
	for _, p := range o.GetPaces() {
		a.addPace(driver.RunID{Task: p.GetTask(), Run: p.GetRun()}, int(p.GetPercent()))
	}
}

// heardAt returns when the agent sent the report that the owner had last heard as it sent the orders, so
// that their age is known though clocks differ. It is 0 if the report is too old.
func (a *Agent) heardAt(o *flowpb.Orders) time.Duration {
	switch {
	case o.GetReport() == 0:
		// An owner of an earlier release names no report.
		return a.options.Clock()
	case a.state.sequence-o.GetReport() >= reportHistory:
		return 0
	}
	return a.state.reportSentAt[o.GetReport()%reportHistory]
}

// wake wakes the goroutine that polls the runner.
func (a *Agent) wake() {
	select {
	case a.wakePoll <- struct{}{}:
	default:
	}
}

func (a *Agent) runnerID() driver.RunnerID {
	return driver.RunnerID{ID: a.state.runner.GetId(), StartedMillis: a.state.runner.GetBorn()}
}

// runnerLeaseEnd returns the end of the lease on the runner's clock, or 0 if the remaining lease is
// too short or the clock offset is unknown.
func (a *Agent) runnerLeaseEnd() driver.RunnerTime {
	if a.state.clockReadAt == 0 || a.state.leaseEnd-a.options.Clock() < minStartLease {
		return 0
	}
	return driver.RunnerTime(a.state.leaseEnd + a.state.clockOffset)
}

// updateClockOffset takes a reading of the runner's clock. The reading was made before now, so that
// the offset is never too high.
func (a *Agent) updateClockOffset(t driver.RunnerTime) {
	now := a.options.Clock()
	a.state.clockOffset, a.state.clockReadAt = time.Duration(t)-now, now
}
