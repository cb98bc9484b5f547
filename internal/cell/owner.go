package cell

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Defaults of Options.
const (
	DefaultGrant        = 15 * time.Second
	DefaultMargin       = 3 * time.Second
	DefaultStoreSilence = 10 * time.Minute
	DefaultRetention    = time.Hour
)

// Intervals and time-outs of an Owner.
const (
	tickInterval      = 50 * time.Millisecond
	verifyInterval    = 3 * time.Second
	commitIntervalMin = 20 * time.Millisecond
	commitIntervalMax = 250 * time.Millisecond
	// commitsPerSecond bounds the combined commit rate of all cells.
	commitsPerSecond = 200
	commandTimeout   = 5 * time.Second
	releaseTimeout   = 3 * time.Second
	// reportAgeMax is the maximum age of a worker's last report for tasks to be placed there.
	reportAgeMax = 3 * time.Second
	// infeasibleDelay is how long a new owner waits for workers to report before it declares tasks
	// infeasible.
	infeasibleDelay = 4 * time.Second
)

// Limits of an Owner.
const (
	// WaitingTasksMax bounds the waiting tasks of a cell.
	WaitingTasksMax = 100_000
	submissionsMax  = 1_000
)

// Options configures an Owner.
type Options struct {
	Cell string
	// DataCentre is the data centre of the cell's workers.
	DataCentre string
	Identity   Identity
	Store      driver.Store
	Agents     driver.Agents
	Placer     driver.Placer
	Document   func() *document.Document
	// ReservedElsewhere returns what a team's tasks reserve in other cells; nil means nothing.
	ReservedElsewhere func(team string) driver.Resources
	// LargestWorkerElsewhere returns, for each kind of resource, the largest capacity of a worker in
	// other cells; nil means none.
	LargestWorkerElsewhere func() driver.Resources
	// Grant is how long an agent may run tasks after it has sent a report that was answered.
	Grant time.Duration
	// Margin is added to Grant to allow for clock drift and process pauses.
	Margin time.Duration
	// StoreSilence is how long the owner keeps renewing grants while the key-value service does not
	// answer. Unless the previous owner released the cell, a new owner waits this long on top of a
	// grant before it counts workers that have not reported as lost.
	StoreSilence time.Duration
	// Retention is how long a job remains visible after its end.
	Retention time.Duration
	Log       *slog.Logger
	Metrics   *telemetry.Metrics
}

// Owner schedules the tasks of one cell under one epoch. It is safe for concurrent use.
type Owner struct {
	options      Options
	journal      *Journal
	loop         *loop.Loop
	log          *slog.Logger
	epoch        uint64
	commitSignal chan struct{}
	calls        sync.WaitGroup
	ctx          context.Context
	control      control
}

// control is the state that only the loop's goroutine accesses.
type control struct {
	state          *State
	workers        map[string]*worker
	queue          *queue
	reservedByTeam map[string]driver.Resources
	pendingRecords []*cellpb.Record
	onDurable      []func()
	submissions    []*submission
	confirmedAt    time.Time
	takenAt        time.Time
	model          *interfere.Model
	evictionBudget evictionBudget
	// failures holds, by job, where its attempts have failed since one finished.
	failures map[string]*jobFailures
	// nextPreempt is, for each waiting task, when it may preempt again.
	nextPreempt map[string]time.Time
	holds       map[string]capacityHold
	overuse     *overuse
	// lastYieldChange is when a worker last began to yield or a reclaim began.
	lastYieldChange time.Time
	// evacuatedSince is since when the cell's data centre is evacuated, or zero; emptied is set once no
	// attempt was left then.
	evacuatedSince time.Time
	emptied        bool
	placementDue   bool
	stopped        bool
	lastSweep      time.Time
}

// Take makes this process the owner of a cell. The caller must call Run next.
func Take(ctx context.Context, o Options) (*Owner, error) {
	journal, state, previous, err := OpenJournal(ctx, o.Store, o.Cell, o.Identity)
	if err != nil {
		return nil, err
	}
	owner := &Owner{
		options: o, journal: journal, loop: loop.New(), epoch: journal.Epoch(),
		log:          o.Log.With("cell", o.Cell, "epoch", journal.Epoch()),
		commitSignal: make(chan struct{}, 1),
		control: control{
			state: state, workers: map[string]*worker{}, queue: newQueue(), reservedByTeam: map[string]driver.Resources{},
			confirmedAt: journal.ConfirmedAt(), takenAt: time.Now(), model: interfere.New(), overuse: newOveruse(), failures: map[string]*jobFailures{},
			nextPreempt: map[string]time.Time{}, holds: map[string]capacityHold{},
		},
	}
	owner.restore(previous)
	return owner, nil
}

// restore rebuilds the volatile state from the durable state: the queue, the reservations of
// teams, and the attempts that may be running.
func (o *Owner) restore(previous *cellpb.Head) {
	wait := o.options.Grant + o.options.Margin
	if !previous.GetReleased() && previous.GetEpoch() > 0 {
		wait += o.options.StoreSilence
	}
	for _, job := range o.control.state.jobs {
		for _, t := range job.GetTasks() {
			switch t.GetPhase() {
			case cellpb.Phase_PHASE_WAITING:
				o.control.queue.push(job.GetUrgency(), job.GetTeam(), t.GetId(), t.GetAttempt() > 0)
			case cellpb.Phase_PHASE_RUNNING:
				w := o.ensureWorker(t.GetWorker())
				w.grantEnd = o.control.takenAt.Add(wait)
				w.assign(&assignment{task: t.GetId(), attempt: t.GetAttempt(), class: t.GetClass(), urgency: job.GetUrgency(), reserved: resourcesOf(t.GetReserved()), checkpoint: t.GetCheckpoint(), mayHaveRun: true})
				o.addReserved(job.GetTeam(), resourcesOf(t.GetReserved()))
			}
		}
	}
	o.log.Info("cell taken", "jobs", len(o.control.state.jobs), "waiting", o.control.queue.size, "workers-with-tasks", len(o.control.workers))
}

// Epoch returns the epoch of this owner.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Run schedules tasks until ctx ends or another owner takes the cell. When ctx ends it releases
// the cell; otherwise it returns ErrOwnershipLost.
func (o *Owner) Run(ctx context.Context) error {
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	o.ctx = loopCtx
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		o.loop.Run(loopCtx)
	}()
	tickerDone := o.startTicker(loopCtx)
	commitCtx, cancelCommit := context.WithCancel(loopCtx)
	defer cancelCommit()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(releaseTimeout, cancelCommit) })()
	err := o.commitLoop(ctx, commitCtx)
	_ = o.loop.Do(func() { o.control.stopped = true })
	if !errors.Is(err, ErrOwnershipLost) {
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		err = o.release(releaseCtx)
	}
	stopLoop()
	<-tickerDone
	<-loopDone
	o.calls.Wait()
	o.options.Metrics.EvacuatedTasks.DeleteLabelValues(o.options.Cell)
	o.log.Info("cell given up", "error", errs.Text(err))
	return err
}

// release commits the pending records and releases the cell. No grant has been issued since the
// control state was marked as stopped.
func (o *Owner) release(ctx context.Context) error {
	if b := o.takeBatch(); len(b.records) > 0 {
		if err := o.journal.Commit(ctx, b.records); err != nil {
			return err
		}
	}
	return o.journal.Release(ctx)
}

func (o *Owner) startTicker(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				o.loop.Post(func() { o.tick(time.Now()) })
			case <-ctx.Done():
				return
			}
		}
	}()
	return done
}

// tick performs the periodic work of the owner. It runs on the loop.
func (o *Owner) tick(now time.Time) {
	if o.control.stopped {
		return
	}
	for _, w := range o.control.workers {
		if now.After(w.grantEnd) && !w.lost {
			o.markLost(w, now)
		}
		o.retryStops(w, now)
	}
	o.applyGuards(now)
	o.evacuate(now)
	o.placeWaiting(now)
	o.sweepJobs(now)
}

// callAgent runs f, which calls an agent, on a new goroutine with a time-out, and then runs the
// function that f returns on the loop.
func (o *Owner) callAgent(f func(ctx context.Context) func()) {
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
		defer cancel()
		callback := f(ctx)
		o.loop.Post(callback)
	})
}

// record applies a change to the state and queues it for the next commit. onDurable, which may be
// nil, runs on the loop once the change is durable. record reports whether the change was valid
// for the current state.
func (o *Owner) record(r *cellpb.Record, onDurable func()) bool {
	if err := o.control.state.Apply(r); err != nil {
		o.log.Debug("record does not apply to the state", "error", err.Error())
		return false
	}
	o.control.pendingRecords = append(o.control.pendingRecords, r)
	if onDurable != nil {
		o.control.onDurable = append(o.control.onDurable, onDurable)
	}
	o.signalCommit()
	return true
}

func (o *Owner) signalCommit() {
	select {
	case o.commitSignal <- struct{}{}:
	default:
	}
}

func (o *Owner) addReserved(team string, r driver.Resources) {
	o.control.reservedByTeam[team] = o.control.reservedByTeam[team].Plus(r)
}

func (o *Owner) removeReserved(team string, r driver.Resources) {
	o.control.reservedByTeam[team] = o.control.reservedByTeam[team].Minus(r)
	if o.control.reservedByTeam[team] == (driver.Resources{}) {
		delete(o.control.reservedByTeam, team)
	}
}

// Load returns the free capacity, queue length and team reservations of the cell, for other
// entries.
func (o *Owner) Load() (load *peerpb.CellLoad) {
	load = &peerpb.CellLoad{Cell: o.options.Cell, Epoch: o.epoch}
	_ = o.loop.Do(func() {
		var free, largest driver.Resources
		for _, w := range o.control.workers {
			if w.lastReport.IsZero() || w.lost {
				continue
			}
			load.Workers++
			free = free.Plus(w.free())
			largest = largest.Max(w.capacity)
		}
		load.Free, load.Largest = free.Proto(), largest.Proto()
		load.Waiting = int32(o.control.queue.size)
		for team, r := range o.control.reservedByTeam {
			load.Teams = append(load.Teams, &peerpb.TeamUse{Team: team, Reserved: r.Proto()})
		}
	})
	return load
}

func resourcesMessage(r driver.Resources) *cellpb.Resources {
	return &cellpb.Resources{MilliCpu: r.MilliCPU(), MemoryBytes: r.MemoryBytes(), Accelerators: r.Accelerators()}
}
