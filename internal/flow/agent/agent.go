package agent

import (
	"context"
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
	// redialPause bounds how often the owner is dialled.
	redialPause = 120 * time.Millisecond
	// sentReports is how many reports are remembered for the grants that answer them.
	sentReports = 64
	// orderTimeout bounds one try of an order to the runner, which is on the same VM and
	// answers in milliseconds.
	orderTimeout = 150 * time.Millisecond
	// orderTries is how often an order is sent that gets no answer: all are idempotent, and a
	// copy that is carried out late finds the run there, ended or its lease over.
	orderTries = 3
	// leaseLeast is the shortest lease with which a start is worth sending.
	leaseLeast = 100 * time.Millisecond
	// parallelStarts bounds the starts that are under way at the runner at once.
	parallelStarts = 4
	// doubtPause keeps doubts in quick succession from asking for a token each.
	doubtPause = 200 * time.Millisecond
	// leavePoll is how often a leaving agent looks whether it may go.
	leavePoll = 50 * time.Millisecond
)

// Options configures an Agent.
type Options struct {
	Node        string
	Incarnation uint64
	Zone        string
	Follower    *locate.Follower
	Runner      driver.Runner
	Clock       steady.Clock
	Log         *slog.Logger
	Metrics     *telemetry.Flow
}

// Agent stands between the owner of the cell and the runner beside it; it is safe for
// concurrent use.
type Agent struct {
	options Options
	loop    *loop.Loop
	kick    chan struct{}
	starts  chan struct{}
	// calls are orders to the runner that are under way.
	calls sync.WaitGroup
	ctx   context.Context
	c     control
}

// control is what only the loop's goroutine touches.
type control struct {
	link *link.Link
	// runner is what the runner says of itself; nil if there is none.
	runner *flowpb.Runner
	token  uint64
	// voided is the highest token that a synchronisation has voided.
	voided uint64
	// confirmed tells that the runner has seen the token.
	confirmed bool
	sequence  uint64
	sent      [sentReports]time.Duration
	settled   uint64
	listedEnd uint64
	// leaseEnd is when the lease that the owner granted ends, on this VM's steady clock.
	leaseEnd time.Duration
	// offset leads from this VM's steady clock to the runner's; it never runs ahead.
	offset   time.Duration
	offsetAt time.Duration
	results  []*flowpb.StartResult
	doubtAt  time.Duration
	refused  int
	// leaving tells that the agent is about to end, busy that tasks which end still run.
	leaving bool
	busy    bool
}

// New returns an Agent; Run must be called next.
func New(o Options) *Agent {
	return &Agent{options: o, loop: loop.New(), kick: make(chan struct{}, 1), starts: make(chan struct{}, parallelStarts)}
}

// Run serves until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	loopEnd := loop.Go(ctx, a.loop.Run)
	holdEnd := loop.Go(ctx, a.hold)
	for ctx.Err() == nil {
		a.session(ctx)
	}
	<-holdEnd
	<-loopEnd
	a.calls.Wait()
}

// session keeps a session with the owner for as long as it lasts.
func (a *Agent) session(ctx context.Context) {
	record, _, changed := a.options.Follower.Record()
	if record == nil || record.GetReleased() {
		wait(ctx, changed, redialPause)
		return
	}
	l, welcome, err := link.Dial(ctx, record.GetAddress(), &flowpb.Hello{Node: a.options.Node, Agent: true, Incarnation: a.options.Incarnation, Zone: a.options.Zone})
	if err != nil || welcome.GetError() != "" {
		if err == nil {
			l.Close()
		}
		wait(ctx, changed, redialPause)
		return
	}
	a.options.Log.Info("owner reached", "owner", record.GetNode(), "epoch", welcome.GetEpoch())
	a.loop.Post(func() {
		// A new owner's tokens begin anew, above those of the owner before it.
		a.c.link, a.c.token, a.c.voided, a.c.confirmed, a.c.results = l, 0, 0, false, nil
		a.sync(false)
	})
	done := make(chan struct{})
	closer := loop.Go(ctx, func(ctx context.Context) {
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
			a.loop.Post(func() { a.obey(l, o) })
		}
	}
	close(done)
	<-closer
	l.Wait()
	a.loop.Post(func() {
		if a.c.link == l {
			a.c.link, a.c.token, a.c.confirmed = nil, 0, false
		}
	})
	if ctx.Err() == nil {
		a.options.Log.Warn("owner lost", "owner", record.GetNode(), "epoch", record.GetEpoch())
	}
}

func wait(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// SetRunner takes in what the runner says of itself.
func (a *Agent) SetRunner(r *flowpb.Runner) {
	a.loop.Post(func() {
		before := a.c.runner
		if a.c.leaving {
			r = leavingRunner(r)
		}
		a.c.runner = r
		switch {
		case before == nil || before.GetId() != r.GetId() || before.GetBorn() != r.GetBorn():
			a.options.Log.Info("runner announces itself", "runner", r.GetId(), "born", r.GetBorn(), "service", r.GetService(), "cpu", r.GetMilliCpu(), "memory-mb", r.GetMemoryMb())
			a.c.settled, a.c.listedEnd, a.c.offsetAt = 0, 0, 0
			a.sync(false)
		case before.GetDraining() != r.GetDraining():
			a.options.Log.Info("runner changes state", "runner", r.GetId(), "draining", r.GetDraining(), "remaining-ms", r.GetRemainingMillis())
			if a.c.confirmed {
				a.report(&flowpb.Report{})
			}
		}
	})
}

// Leave tells the owner to place nothing more here, and waits until what runs has ended, but
// for tasks that last, or until ctx ends.
func (a *Agent) Leave(ctx context.Context) {
	_ = a.loop.Do(func() {
		a.c.leaving = true
		if a.c.runner != nil {
			a.c.runner = leavingRunner(a.c.runner)
		}
		a.report(&flowpb.Report{})
	})
	for ctx.Err() == nil {
		busy := true
		if a.loop.Do(func() { busy = a.c.busy }) != nil || !busy {
			return
		}
		loop.Pause(ctx, leavePoll)
	}
}

func leavingRunner(r *flowpb.Runner) *flowpb.Runner {
	leaving := proto.CloneOf(r)
	leaving.AgentLeaving = true
	return leaving
}

// sync asks the owner for a new token; gone tells that the runner runs no more.
func (a *Agent) sync(gone bool) {
	a.c.voided = max(a.c.voided, a.c.token)
	a.c.token, a.c.confirmed, a.c.results = 0, false, nil
	if a.c.link == nil || a.c.runner == nil {
		return
	}
	a.c.link.Send(link.Sync(&flowpb.Sync{Runner: a.c.runner, Gone: gone}))
}

// doubt has the owner settle whether a start took effect, by a new token.
func (a *Agent) doubt(reason string) {
	now := a.options.Clock()
	if a.c.token == 0 || now-a.c.doubtAt < doubtPause {
		return
	}
	a.c.doubtAt = now
	a.options.Log.Info("asking for a new token", "reason", reason)
	a.sync(false)
}

// report sends a report under the current token.
func (a *Agent) report(r *flowpb.Report) {
	if a.c.link == nil || a.c.token == 0 {
		return
	}
	a.c.sequence++
	a.c.sent[a.c.sequence%sentReports] = a.options.Clock()
	r.Token, r.Sequence, r.Runner = a.c.token, a.c.sequence, a.c.runner
	r.Results, a.c.results = a.c.results, nil
	a.c.link.Send(link.Report(r))
}

// obey carries out orders of the owner.
func (a *Agent) obey(l *link.Link, o *flowpb.Orders) {
	if a.c.link != l || a.c.runner == nil {
		return
	}
	if o.GetResync() {
		a.doubt("the owner asks")
		return
	}
	if o.GetRunner() != a.c.runner.GetId() || o.GetBorn() != a.c.runner.GetBorn() {
		a.options.Log.Info("orders for another life passed over", "runner", o.GetRunner(), "born", o.GetBorn(), "current", a.c.runner.GetBorn())
		return
	}
	if o.GetToken() != a.c.token {
		if o.GetToken() <= a.c.voided {
			a.options.Log.Info("orders under an old token passed over", "token", o.GetToken(), "current", a.c.token)
			return
		}
		a.c.voided = max(a.c.voided, a.c.token)
		a.c.token, a.c.confirmed, a.c.results = o.GetToken(), false, nil
	}
	if o.GetGrantMillis() > 0 && o.GetReport() > 0 && a.c.sequence-o.GetReport() < sentReports {
		end := a.c.sent[o.GetReport()%sentReports] + time.Duration(o.GetGrantMillis())*time.Millisecond
		a.c.leaseEnd = max(a.c.leaseEnd, end)
	}
	a.c.settled = max(a.c.settled, o.GetSettled())
	a.nudge()
	for _, s := range o.GetStarts() {
		a.start(s)
	}
	for _, s := range o.GetStops() {
		a.stop(driver.RunID{Task: s.GetTask(), Run: s.GetRun()})
	}
	for _, p := range o.GetPaces() {
		a.pace(driver.RunID{Task: p.GetTask(), Run: p.GetRun()}, int(p.GetPercent()))
	}
}

// nudge wakes the goroutine that holds.
func (a *Agent) nudge() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

func (a *Agent) at() driver.RunnerID {
	return driver.RunnerID{ID: a.c.runner.GetId(), Born: a.c.runner.GetBorn()}
}

// lease returns the end of the lease on the runner's clock, or 0 if there is none.
func (a *Agent) lease() driver.RunnerTime {
	if a.c.offsetAt == 0 || a.c.leaseEnd-a.options.Clock() < leaseLeast {
		return 0
	}
	return driver.RunnerTime(a.c.leaseEnd + a.c.offset)
}

// learnClock takes in a reading of the runner's clock. The runner read it before now, so
// that the offset never runs ahead of its clock.
func (a *Agent) learnClock(t driver.RunnerTime) {
	now := a.options.Clock()
	a.c.offset, a.c.offsetAt = time.Duration(t)-now, now
}
