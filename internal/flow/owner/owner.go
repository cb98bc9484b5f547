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
	// tickInterval bounds how late time alone takes effect, such as a lease's end.
	tickInterval = 50 * time.Millisecond
	// touchInterval is how often an idle owner commits, which proves that it is alive and
	// extends the time for which it may grant leases.
	touchInterval = 400 * time.Millisecond
	// storeFailingAfter is how long a commit may hang before new jobs are refused.
	storeFailingAfter = 600 * time.Millisecond
	// releaseTimeout bounds how long a leaving owner tries to give up its cell.
	releaseTimeout = time.Second
	loadRetry      = 100 * time.Millisecond
	// adviceCalls is how many questions to the admission service may wait there; it refuses
	// from 32 on, and adviceTimeout bounds one.
	adviceCalls   = 16
	adviceTimeout = 3 * time.Second
	// learnedInterval is how often what was learned is stored for the next owner.
	learnedInterval = 2 * time.Second
)

// Options configures an Owner.
type Options struct {
	Cell   string
	Ledger *Ledger
	Store  driver.TxnStore
	Clock  steady.Clock
	// Lease is the longest time that a runner may run tasks after a report that was answered.
	Lease     time.Duration
	Retention time.Duration
	// Adviser is nil if the deployment has no admission service.
	Adviser driver.Adviser
	Log     *slog.Logger
	Metrics *telemetry.Flow
}

// Owner runs the engine of a cell; it is safe for concurrent use.
type Owner struct {
	options Options
	ledger  *Ledger
	loop    *loop.Loop
	engine  *engine.Engine
	commits chan commit
	c       control
	// storeSilent is when the commit under way began, on the steady clock, or 0.
	storeSilent atomic.Int64
	agents      atomic.Int64
	// calls are those to the admission service that are under way.
	calls sync.WaitGroup
	// inboxFrom is the store's revision from which the inbox is to be followed.
	inboxFrom uint64
	// trying ends when the store is given up on.
	trying  context.Context
	abandon context.CancelFunc
}

// commit is what is stored at once; both parts may be missing.
type commit struct {
	batch   *engine.Batch
	learned *flowpb.Learned
}

// control is what only the loop's goroutine touches.
type control struct {
	links      map[string]*link.Link
	calls      map[uint64]func(*flowpb.Reply)
	lastCall   uint64
	committing bool
	touched    time.Duration
	learnedAt  time.Duration
	// asking counts questions to the admission service that have no answer yet.
	asking  int
	stopped bool
}

// New loads a cell that has been taken. Run must be called next.
func New(ctx context.Context, o Options, queues map[string]engine.Queue) (w *Owner, err error) {
	w = &Owner{
		options: o, ledger: o.Ledger, loop: loop.New(), commits: make(chan commit, 1),
		engine: engine.New(engine.Options{Epoch: o.Ledger.Epoch(), Lease: o.Lease, Retention: o.Retention, LateFactor: lateFactor, Log: o.Log}),
		c:      control{links: map[string]*link.Link{}, calls: map[uint64]func(*flowpb.Reply){}},
	}
	w.trying, w.abandon = context.WithCancel(context.WithoutCancel(ctx))
	began := o.Clock()
	stored, err := o.Ledger.Load(ctx)
	for err != nil && ctx.Err() == nil {
		o.Log.Warn("cell was not loaded; trying again", "cell", o.Cell, "error", err.Error())
		loop.Pause(ctx, loadRetry)
		stored, err = o.Ledger.Load(ctx)
	}
	if err != nil {
		return nil, err
	}
	for key, err := range stored.Unreadable {
		o.Log.Error("item of the cell can't be read and is passed over", "key", key, "error", err.Error())
	}
	w.engine.RestoreLearned(stored.Learned)
	for id, p := range stored.Progress {
		if stored.Jobs[id] == nil {
			o.Log.Error("progress without its job is passed over", "job", id)
			continue
		}
		if err := w.engine.Restore(stored.Jobs[id], p, w.now()); err != nil {
			o.Log.Error("job can't be restored and is passed over", "job", id, "error", err.Error())
		}
	}
	for _, cancels := range []bool{false, true} {
		// A job comes before its cancelling.
		for name, h := range stored.Inbox {
			if (h.GetCancel() != "") == cancels {
				w.engine.ProcessInboxItem(name, h, w.now())
			}
		}
	}
	w.inboxFrom = stored.Revision
	w.engine.Configure(queues)
	stats := w.engine.Stats()
	o.Log.Info("cell loaded", "cell", o.Cell, "epoch", o.Ledger.Epoch(), "jobs", stats.Jobs, "open", stats.Open, "runs", stats.Runs, "took-ms", (o.Clock() - began).Milliseconds())
	return w, nil
}

// lateFactor is how many objectives after its arrival a job brings in nothing any more.
const lateFactor = 3

func (w *Owner) now() engine.Timestamp {
	return engine.Timestamp{Monotonic: w.options.Clock(), UnixMillis: time.Now().UnixMilli()}
}

// Epoch returns the epoch under which this owner decides.
func (w *Owner) Epoch() uint64 { return w.ledger.Epoch() }

// StoreSilence returns how long the commit under way has been without an answer.
func (w *Owner) StoreSilence() time.Duration {
	began := time.Duration(w.storeSilent.Load())
	if began == 0 {
		return 0
	}
	return w.options.Clock() - began
}

// Agents returns how many agents have a session.
func (w *Owner) Agents() int { return int(w.agents.Load()) }

// Run decides until ctx ends, in which case the cell is released, or until another process
// owns the cell, in which case it returns ErrDeposed.
func (w *Owner) Run(ctx context.Context) (err error) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer w.abandon()
	loopEnd := loop.Go(work, w.loop.Run)
	tickEnd := loop.Every(work, tickInterval, func() { w.loop.Post(w.tick) })
	inboxEnd := loop.Go(work, w.followInbox)
	w.loop.Post(w.tick)
	err = w.commitLoop(ctx)
	_ = w.loop.Do(w.retire)
	if !errors.Is(err, ErrDeposed) && w.trying.Err() == nil {
		release, cancel := context.WithTimeout(work, releaseTimeout)
		err = w.ledger.Release(release)
		cancel()
	}
	stop()
	<-tickEnd
	<-inboxEnd
	w.abandon()
	w.calls.Wait()
	<-loopEnd
	w.options.Log.Info("cell given up", "cell", w.options.Cell, "epoch", w.Epoch(), "error", errs.Text(err))
	return err
}

// Abandon gives up the cell without a word to the store, which does not answer.
func (w *Owner) Abandon() { w.abandon() }

// retire ends all sessions, so that the other sides look for the new owner.
func (w *Owner) retire() {
	w.c.stopped = true
	for _, l := range w.c.links {
		l.Close()
	}
	for id, done := range w.c.calls {
		delete(w.c.calls, id)
		done(nil)
	}
}

// commitLoop stores batches one after another. A commit under way when ctx ends is tried on
// for a while, unless the store is given up on.
func (w *Owner) commitLoop(ctx context.Context) error {
	for {
		select {
		case c := <-w.commits:
			patient, cancel := context.WithCancel(w.trying)
			release := context.AfterFunc(ctx, func() { time.AfterFunc(releaseTimeout, cancel) })
			err := w.commit(patient, c)
			release()
			cancel()
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-w.trying.Done():
			return w.trying.Err()
		}
	}
}

func (w *Owner) commit(ctx context.Context, c commit) error {
	b := c.batch
	began := w.options.Clock()
	w.storeSilent.Store(int64(began))
	var changes []engine.Change
	if b != nil {
		changes = b.Changes()
	}
	confirmed, err := w.ledger.Commit(ctx, changes, c.learned)
	took := w.options.Clock() - began
	w.options.Metrics.Commit(took, len(changes), err)
	if err != nil {
		return err
	}
	w.storeSilent.Store(0)
	w.loop.Post(func() {
		w.c.committing = false
		w.c.touched = w.options.Clock()
		w.engine.SetGrantUntil(confirmed + w.options.Lease)
		w.engine.SetStoreRecovered()
		if b != nil {
			w.engine.Committed(b, w.now())
		}
		w.step()
	})
	return nil
}

// step places what waits, starts a commit if one is due, and carries out what has been
// decided; it runs on the loop after every event.
func (w *Owner) step() {
	if w.c.stopped {
		return
	}
	if !w.c.committing {
		// What is placed while a commit is under way could not start before the next one.
		w.engine.Place(w.now())
		now := w.options.Clock()
		c := commit{batch: w.engine.TakeBatch(CommitJobs)}
		if now-w.c.learnedAt > learnedInterval {
			w.c.learnedAt = now
			c.learned = w.engine.Learned()
		}
		if c.batch != nil || c.learned != nil || now-w.c.touched > touchInterval {
			w.c.committing = true
			w.commits <- c
		}
	}
	w.carryOut()
}

func (w *Owner) carryOut() {
	effects := w.engine.TakeEffects()
	for node, o := range effects.Orders {
		if l := w.c.links[node]; l != nil {
			l.Send(link.Orders(o))
		}
	}
	for _, r := range effects.Replies {
		if done := w.c.calls[r.Call]; done != nil {
			delete(w.c.calls, r.Call)
			done(&flowpb.Reply{Status: r.Status, RetryAfterMillis: r.RetryAfter.Milliseconds(), State: r.State, Pending: r.Pending, Detail: r.Detail})
		}
	}
}

func (w *Owner) tick() {
	if w.c.stopped {
		return
	}
	if w.StoreSilence() > storeFailingAfter {
		w.engine.SetStoreFailing()
	}
	w.engine.Tick(w.now())
	w.askAdvice()
	stats := w.engine.Stats()
	w.options.Metrics.Observe(stats.Open, stats.Runs, stats.Synced)
	w.step()
}

// askAdvice asks the admission service, which takes one call of ours at a time.
func (w *Owner) askAdvice() {
	if w.options.Adviser == nil || w.c.asking > 0 {
		return
	}
	for _, q := range w.engine.ApprovalRequests(w.now()) {
		if w.c.asking >= adviceCalls {
			return
		}
		w.c.asking++
		asked := w.now()
		w.calls.Go(func() {
			ctx, cancel := context.WithTimeout(w.trying, adviceTimeout)
			approvals, valid, err := w.options.Adviser.Advise(ctx, q.Step, q.Runners)
			cancel()
			w.loop.Post(func() {
				w.c.asking--
				if err != nil {
					w.options.Log.Warn("no advice", "step", q.Step, "error", err.Error())
				} else {
					w.engine.HandleApprovals(q, approvals, valid, asked)
				}
				w.step()
			})
		})
	}
}

// Configure sets the queues that are in force.
func (w *Owner) Configure(queues map[string]engine.Queue) {
	w.loop.Post(func() {
		w.engine.Configure(queues)
		w.step()
	})
}

// Call carries out a client's call; done gets nil if the cell is given up before.
func (w *Owner) Call(c *flowpb.Call, done func(*flowpb.Reply)) {
	err := w.loop.Do(func() {
		if w.c.stopped {
			done(nil)
			return
		}
		w.c.lastCall++
		id := w.c.lastCall
		w.c.calls[id] = done
		switch {
		case c.GetSubmit() != nil:
			w.engine.Submit(id, c.GetSubmit(), w.now())
		case c.GetCancel() != "":
			w.engine.Cancel(id, c.GetCancel(), w.now())
		case c.GetRead() != "":
			w.engine.Read(id, c.GetRead())
		default:
			w.engine.Count(id, c.GetCount())
		}
		w.step()
	})
	if err != nil {
		done(nil)
	}
}

// Occupation returns how many tasks run on a runner, and how many may not be moved off now.
func (w *Owner) Occupation(runner string) (runs, held int) {
	_ = w.loop.Do(func() { runs, held = w.engine.Occupancy(runner) })
	return runs, held
}

// Empty has tasks moved off runners, and no new ones placed there.
func (w *Owner) Empty(runners []string) {
	w.loop.Post(func() {
		w.engine.SetEvacuating(runners)
		w.step()
	})
}
