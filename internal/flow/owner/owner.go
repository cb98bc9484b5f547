package owner

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/steady"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// tickInterval bounds the delay with which the passing of time takes effect, such as the expiry
	// of a lease.
	tickInterval = 50 * time.Millisecond
	// idleCommitInterval is how often an idle owner commits. The commit proves that it still owns
	// the cell and extends the time for which it may grant leases.
	idleCommitInterval = 400 * time.Millisecond
	// storeFailingAfter is how long a commit may be unanswered before new jobs are refused.
	storeFailingAfter = 600 * time.Millisecond
	// releaseTimeout bounds, at shutdown, the commit in progress and then the release of the cell.
	releaseTimeout = time.Second
	loadRetryPause = 100 * time.Millisecond
	// maxApprovalRequests bounds the calls in flight to the admission service, which refuses calls
	// when 32 are waiting. approvalRequestTimeout bounds one call.
	maxApprovalRequests    = 16
	approvalRequestTimeout = 3 * time.Second
	// approvalBatchTimeout is how long calls for other steps wait for those in flight, so that the most
	// urgent ones go first. A connection to the service may have gone silent.
	approvalBatchTimeout = time.Second
	// learnedCommitInterval is how often the learned estimates are stored for the next owner.
	learnedCommitInterval = 2 * time.Second
)

// Options configures an Owner.
type Options struct {
	Cell        string
	FencedStore *FencedStore
	Store       driver.TxnStore
	Clock       steady.Clock
	// Lease is the longest time that a runner may run tasks after a report that the owner answered.
	Lease time.Duration
	// MaxLease is the longest lease that a runner holds.
	MaxLease  time.Duration
	Retention time.Duration
	// EvacuationBound is how long after the request to evacuate a data centre tasks may still start there. It is 0
	// if data centres are not evacuated.
	EvacuationBound time.Duration
	// Adviser is nil if the deployment has no admission service.
	Adviser driver.Adviser
	Log     *slog.Logger
	Metrics *telemetry.Flow
}

// Owner runs the engine of a cell. It is safe for concurrent use.
type Owner struct {
	options Options
	fenced  *FencedStore
	loop    *loop.Loop
	engine  *engine.Engine
	commits chan commitRequest
	state   loopState
	// commitBegan is when the commit in progress began, on the steady clock, or 0.
	commitBegan atomic.Int64
	agents      atomic.Int64
	// approvalRequests tracks the calls in flight to the admission service.
	approvalRequests sync.WaitGroup
	// inboxRevision is the store revision from which the inbox is followed.
	inboxRevision uint64
	// storeCtx bounds commits and calls to the admission service. abandon cancels it.
	storeCtx context.Context
	abandon  context.CancelFunc
}

// commitRequest is the content of one transaction. Both fields may be nil.
type commitRequest struct {
	batch   *engine.Batch
	learned *flowpb.Learned
}

// loopState is accessed only by the goroutine of the loop.
type loopState struct {
	links             map[string]*link.Link
	pendingCalls      map[uint64]func(*flowpb.Reply)
	lastCallID        uint64
	committing        bool
	lastCommit        time.Duration
	lastLearnedCommit time.Duration
	// approvalSteps holds the steps of the unanswered calls to the admission service, the last of which were
	// sent at approvalsSentAt.
	approvalSteps   map[string]bool
	approvalsSentAt time.Duration
	stopped         bool
}

// New loads a cell that has been acquired. Configure and Run must be called next.
func New(ctx context.Context, opts Options) (o *Owner, err error) {
	o = &Owner{
		options: opts, fenced: opts.FencedStore, loop: loop.New(), commits: make(chan commitRequest, 1),
		engine: engine.New(engine.Options{Epoch: opts.FencedStore.Epoch(), AcquiredAt: opts.FencedStore.AcquiredAt(), Lease: opts.Lease, MaxLease: opts.MaxLease, Retention: opts.Retention, LateFactor: lateFactor, EvacuationBound: opts.EvacuationBound, Log: opts.Log}),
		state:  loopState{links: map[string]*link.Link{}, pendingCalls: map[uint64]func(*flowpb.Reply){}, approvalSteps: map[string]bool{}},
	}
	o.storeCtx, o.abandon = context.WithCancel(context.WithoutCancel(ctx))
	began := opts.Clock()
	stored, err := opts.FencedStore.Load(ctx)
	for err != nil && ctx.Err() == nil {
		opts.Log.Warn("cell load failed; retrying", "cell", opts.Cell, "error", err.Error())
		loop.Pause(ctx, loadRetryPause)
		stored, err = opts.FencedStore.Load(ctx)
	}
	if err != nil {
		return nil, err
	}
	for key, err := range stored.Unreadable {
		opts.Log.Error("undecodable cell item skipped", "key", key, "error", err.Error())
	}
	o.engine.RestoreLearned(stored.Learned)
	restore(o.engine, stored, opts.Log, o.now())
	for _, cancels := range []bool{false, true} {
		// Jobs are applied before the cancels that refer to them.
		for name, h := range stored.Inbox {
			if (h.GetCancel() != "") == cancels {
				o.engine.ProcessInboxItem(name, h, o.now())
			}
		}
	}
	o.inboxRevision = stored.Revision
	stats := o.engine.Stats()
	opts.Log.Info("cell loaded", "cell", opts.Cell, "epoch", opts.FencedStore.Epoch(), "jobs", stats.Jobs, "open", stats.Open, "runs", stats.Runs, "took-ms", (opts.Clock() - began).Milliseconds())
	return o, nil
}

// restore adds the stored jobs to the engine. A job that can't be restored is left out, so that it
// does not make the others unavailable.
func restore(e *engine.Engine, stored *StoredState, log *slog.Logger, now engine.Timestamp) {
	for id, state := range stored.States {
		if state.GetOutcome() != flowpb.Outcome_OUTCOME_OPEN {
			e.RestoreEnded(id, state, stored.SeparateRecords[id])
			continue
		}
		job, found := stored.Open[id]
		if !found {
			log.Error("state of a job without its record skipped", "job", id)
			continue
		}
		if err := e.Restore(job.Job, job.Progress, state, stored.SeparateRecords[id], now); err != nil {
			log.Error("restoring a job failed; job skipped", "job", id, "error", err.Error())
		}
	}
}

// lateFactor is the multiple of its objective, counted from its arrival, after which a job is worth
// nothing.
const lateFactor = 3

func (o *Owner) now() engine.Timestamp {
	return engine.Timestamp{Monotonic: o.options.Clock(), UnixMillis: time.Now().UnixMilli()}
}

// Epoch returns the epoch under which this process owns the cell.
func (o *Owner) Epoch() uint64 { return o.fenced.Epoch() }

// StoreSilence returns how long the commit in progress has been unanswered.
func (o *Owner) StoreSilence() time.Duration {
	began := time.Duration(o.commitBegan.Load())
	if began == 0 {
		return 0
	}
	return o.options.Clock() - began
}

// Agents returns the number of connected agents.
func (o *Owner) Agents() int { return int(o.agents.Load()) }

// Run serves the cell until ctx ends, after which it releases the cell, or until another process
// owns the cell, in which case it returns ErrDeposed.
func (o *Owner) Run(ctx context.Context) (err error) {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer o.abandon()
	loopDone := loop.Go(workCtx, o.loop.Run)
	tickDone := loop.Every(workCtx, tickInterval, func() { o.loop.Post(o.tick) })
	inboxDone := loop.Go(workCtx, o.followInbox)
	o.loop.Post(o.tick)
	err = o.commitLoop(ctx)
	_ = o.loop.Do(o.closeSessions)
	if !errors.Is(err, ErrDeposed) && o.storeCtx.Err() == nil {
		releaseCtx, cancel := context.WithTimeout(workCtx, releaseTimeout)
		err = o.fenced.Release(releaseCtx)
		cancel()
	}
	stop()
	<-tickDone
	<-inboxDone
	o.abandon()
	o.approvalRequests.Wait()
	<-loopDone
	o.options.Log.Info("cell given up", "cell", o.options.Cell, "epoch", o.Epoch(), "error", errs.Text(err))
	return err
}

// Abandon ends ownership without releasing the cell in the store, for a store that does not answer.
func (o *Owner) Abandon() { o.abandon() }

// closeSessions closes the agents' sessions and fails the pending calls, so that the other sides
// look for the new owner.
func (o *Owner) closeSessions() {
	o.state.stopped = true
	for _, l := range o.state.links {
		l.Close()
	}
	for id, done := range o.state.pendingCalls {
		delete(o.state.pendingCalls, id)
		done(nil)
	}
}

// commitLoop commits requests one after another. A commit in progress when ctx ends is retried for
// another releaseTimeout, unless the cell is abandoned.
func (o *Owner) commitLoop(ctx context.Context) error {
	for {
		select {
		case c := <-o.commits:
			commitCtx, cancel := context.WithCancel(o.storeCtx)
			stopTimer := context.AfterFunc(ctx, func() { time.AfterFunc(releaseTimeout, cancel) })
			err := o.commit(commitCtx, c)
			stopTimer()
			cancel()
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-o.storeCtx.Done():
			return o.storeCtx.Err()
		}
	}
}

func (o *Owner) commit(ctx context.Context, c commitRequest) error {
	b := c.batch
	began := o.options.Clock()
	o.commitBegan.Store(int64(began))
	var changes []engine.Change
	if b != nil {
		changes = b.Changes()
	}
	confirmed, err := o.fenced.Commit(ctx, changes, c.learned)
	took := o.options.Clock() - began
	o.options.Metrics.RecordCommit(took, len(changes), err)
	if err != nil {
		return err
	}
	o.commitBegan.Store(0)
	o.loop.Post(func() {
		o.state.committing = false
		o.state.lastCommit = o.options.Clock()
		o.engine.SetGrantUntil(confirmed + o.options.Lease)
		o.engine.SetStoreRecovered()
		if b != nil {
			o.engine.Committed(b, o.now())
		}
		o.advance()
	})
	return nil
}

// advance places waiting tasks, starts a commit if one is due and dispatches the engine's effects.
// It runs on the loop after every event.
func (o *Owner) advance() {
	if o.state.stopped {
		return
	}
	if !o.state.committing {
		// Tasks placed during a commit could not start before the next one.
		o.engine.Place(o.now())
		now := o.options.Clock()
		c := commitRequest{batch: o.engine.TakeBatch(BatchLimits(), o.fenced.RecordsDue())}
		if now-o.state.lastLearnedCommit > learnedCommitInterval {
			o.state.lastLearnedCommit = now
			c.learned = o.engine.Learned()
		}
		if c.batch != nil || c.learned != nil || now-o.state.lastCommit > idleCommitInterval {
			o.state.committing = true
			o.commits <- c
		}
	}
	o.dispatchEffects()
}

func (o *Owner) dispatchEffects() {
	effects := o.engine.TakeEffects()
	for node, orders := range effects.Orders {
		if l := o.state.links[node]; l != nil {
			l.Send(link.Orders(orders))
		}
	}
	for _, r := range effects.Replies {
		if done := o.state.pendingCalls[r.Call]; done != nil {
			delete(o.state.pendingCalls, r.Call)
			done(&flowpb.Reply{Status: r.Status, RetryAfterMillis: r.RetryAfter.Milliseconds(), State: r.State, Pending: r.Pending, Detail: r.Detail})
		}
	}
}

func (o *Owner) tick() {
	if o.state.stopped {
		return
	}
	if o.StoreSilence() > storeFailingAfter {
		o.engine.SetStoreFailing(o.now())
	}
	o.engine.Tick(o.now())
	o.requestApprovals()
	stats := o.engine.Stats()
	o.options.Metrics.SetCounts(stats.Open, stats.Runs, stats.Synced)
	o.options.Metrics.SetPlaces(stats.Places)
	returns := o.engine.TakeReturnCounts()
	o.options.Metrics.AddReturns("in-time", returns.InTime)
	o.options.Metrics.AddReturns("early", returns.Early)
	o.options.Metrics.AddReturns("late", returns.Late)
	o.options.Metrics.AddReturns("expired", returns.Expired)
	o.options.Metrics.SetEvacuated(stats.EvacuatedDataCentres, stats.EvacuatedRuns)
	o.options.Metrics.SetFailing(stats.Ejected, stats.FailingSteps)
	o.advance()
}

// requestApprovals calls the admission service, which serves one call of this process at a time.
func (o *Owner) requestApprovals() {
	inFlight := o.state.approvalSteps
	if o.options.Adviser == nil || len(inFlight) >= maxApprovalRequests {
		return
	}
	if len(inFlight) > 0 && o.options.Clock()-o.state.approvalsSentAt < approvalBatchTimeout {
		return
	}
	for _, q := range o.engine.ApprovalRequests(o.now()) {
		if len(inFlight) >= maxApprovalRequests {
			return
		}
		if inFlight[q.Step] {
			continue
		}
		inFlight[q.Step] = true
		requestedAt := o.now()
		o.state.approvalsSentAt = requestedAt.Monotonic
		o.approvalRequests.Go(func() {
			ctx, cancel := context.WithTimeout(o.storeCtx, approvalRequestTimeout)
			approvals, valid, err := o.options.Adviser.Advise(ctx, q.Step, q.Runners)
			cancel()
			o.loop.Post(func() {
				delete(inFlight, q.Step)
				if err != nil {
					o.options.Log.Warn("call to the admission service failed", "step", q.Step, "error", err.Error())
				} else {
					o.engine.HandleApprovals(q, approvals, valid, requestedAt)
				}
				o.advance()
			})
		})
	}
}

// Configure puts a configuration of the queues in force. One that is set before Run is in force from the first
// decision on.
func (o *Owner) Configure(queues map[string]engine.Queue) {
	o.loop.Post(func() {
		o.engine.Configure(queues)
		o.advance()
	})
}

// Call carries out a client's call. It calls done with the reply, or with nil if ownership ends
// first. It reports whether the call was taken; if ownership had ended before, done is not called.
func (o *Owner) Call(c *flowpb.Call, done func(*flowpb.Reply)) (taken bool) {
	err := o.loop.Do(func() {
		if o.state.stopped {
			return
		}
		taken = true
		o.state.lastCallID++
		id := o.state.lastCallID
		o.state.pendingCalls[id] = done
		switch {
		case c.GetSubmit() != nil:
			o.engine.Submit(id, c.GetSubmit(), o.now())
		case c.GetCancel() != "":
			o.engine.Cancel(id, c.GetCancel(), o.now())
		case c.GetRead() != "":
			o.engine.Read(id, c.GetRead())
		default:
			o.engine.Count(id, c.GetCount())
		}
		o.advance()
	})
	return err == nil && taken
}

// RunCounts returns how many tasks run on a runner, and how many of them may not be moved now,
// because their step's disruption budget is used up. It is not known while the runner may have tasks that
// its agent has not listed to this owner.
func (o *Owner) RunCounts(runner string) (runs, pinned int, known bool) {
	if o.loop.Do(func() { runs, pinned, known = o.engine.RunCounts(runner, o.now()) }) != nil {
		return 0, 0, false
	}
	return runs, pinned, known
}

// AllowTakeDown reports whether a VM may be taken down now with all tasks on its runner. If so, they count as
// unavailable from then on.
func (o *Owner) AllowTakeDown(runner string) (allowed bool) {
	_ = o.loop.Do(func() { allowed = !o.state.stopped && o.engine.AllowTakeDown(runner, o.now()) })
	return allowed
}

// SetEvacuating sets the runners from which tasks are moved and on which no new ones are placed,
// in place of those set before.
func (o *Owner) SetEvacuating(runners []string) {
	o.loop.Post(func() {
		o.engine.SetEvacuating(runners)
		o.advance()
	})
}

// SetEvacuatedDataCentres sets the data centres in which nothing is started, in place of those set before. The set was
// complete at confirmedAt. One that is set before Run is known at the first decision.
func (o *Owner) SetEvacuatedDataCentres(names []string, confirmedAt time.Duration) {
	o.loop.Post(func() {
		o.engine.SetEvacuatedDataCentres(names, confirmedAt, o.now())
		o.advance()
	})
}

// InEvacuatedDataCentre reports whether a runner is in an evacuated data centre.
func (o *Owner) InEvacuatedDataCentre(runner string) (evacuated bool) {
	_ = o.loop.Do(func() { evacuated = o.engine.InEvacuatedDataCentre(runner) })
	return evacuated
}
