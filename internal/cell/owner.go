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

// Defaults of an Owner.
const (
	DefaultGrant        = 15 * time.Second
	DefaultMargin       = 3 * time.Second
	DefaultStoreSilence = 10 * time.Minute
	DefaultRetention    = time.Hour
)

// Intervals of an Owner's work.
const (
	tickInterval   = 50 * time.Millisecond
	verifyInterval = 3 * time.Second
	commitMin      = 20 * time.Millisecond
	commitMax      = 250 * time.Millisecond
	// commitsPerSecond bounds the commits of all cells together.
	commitsPerSecond = 200
	commandTimeout   = 5 * time.Second
	releaseTimeout   = 3 * time.Second
	// silentAfter is how old a worker's last report may be for new tasks to be placed there.
	silentAfter = 3 * time.Second
	// settleAfterTake is how long a new owner waits before it says that a task fits nowhere.
	settleAfterTake = 4 * time.Second
)

// Limits of an Owner.
const (
	// WaitingTasksMax bounds the waiting tasks of a cell.
	WaitingTasksMax = 100_000
	submitsMax      = 1_000
)

// Options configures an Owner.
type Options struct {
	Cell     string
	Identity Identity
	Store    driver.Store
	Agents   driver.Agents
	Placer   driver.Placer
	Document func() *document.Document
	// ReservedElsewhere returns what a team's tasks reserve in other cells; nil means nothing.
	ReservedElsewhere func(team string) driver.Resources
	// LargestWorkerElsewhere returns the largest worker of other cells; nil means none.
	LargestWorkerElsewhere func() driver.Resources
	// Grant is how long agents may run tasks after a report that was answered.
	Grant time.Duration
	// Margin covers the drift of clocks and pauses on top of a grant.
	Margin time.Duration
	// StoreSilence is how long grants are renewed without word of the key-value service,
	// and how long a new owner waits for workers that it has not heard from.
	StoreSilence time.Duration
	// Retention is how long a job can be seen after its end.
	Retention time.Duration
	Log       *slog.Logger
	Metrics   *telemetry.Metrics
}

// Owner decides on the tasks of one cell under one epoch; it is safe for concurrent use.
type Owner struct {
	options Options
	journal *Journal
	loop    *loop.Loop
	log     *slog.Logger
	epoch   uint64
	work    chan struct{}
	calls   sync.WaitGroup
	ctx     context.Context
	c       control
}

// control is the state that only the loop's goroutine touches.
type control struct {
	state     *State
	workers   map[string]*worker
	queue     *queue
	use       map[string]driver.Resources
	pending   []*cellpb.Record
	effects   []func()
	submits   []*submission
	confirmed time.Time
	taken     time.Time
	model     *interfere.Model
	budget    budget
	// preempted tells until when a waiting task asks for no more room.
	preempted map[string]time.Time
	holds     map[string]hold
	sizes     *sizes
	// yieldAt is when a worker last began to yield or was reclaimed for its services.
	yieldAt time.Time
	dirty   bool
	stopped bool
	sweptAt time.Time
}

// Take makes this process the owner of a cell. Run must be called next.
func Take(ctx context.Context, o Options) (*Owner, error) {
	journal, state, before, err := OpenJournal(ctx, o.Store, o.Cell, o.Identity)
	if err != nil {
		return nil, err
	}
	owner := &Owner{
		options: o, journal: journal, loop: loop.New(), epoch: journal.Epoch(),
		log:  o.Log.With("cell", o.Cell, "epoch", journal.Epoch()),
		work: make(chan struct{}, 1),
		c: control{
			state: state, workers: map[string]*worker{}, queue: newQueue(), use: map[string]driver.Resources{},
			confirmed: journal.ConfirmedAt(), taken: time.Now(), model: interfere.New(), sizes: newSizes(),
			preempted: map[string]time.Time{}, holds: map[string]hold{},
		},
	}
	owner.restore(before)
	return owner, nil
}

// restore rebuilds what follows from the durable state: the queue, what teams use, and
// the tasks that workers may be running.
func (o *Owner) restore(before *cellpb.Head) {
	wait := o.options.Grant + o.options.Margin
	if !before.GetReleased() && before.GetEpoch() > 0 {
		wait += o.options.StoreSilence
	}
	for _, job := range o.c.state.jobs {
		for _, t := range job.GetTasks() {
			switch t.GetPhase() {
			case cellpb.Phase_PHASE_WAITING:
				o.c.queue.push(job.GetUrgency(), job.GetTeam(), t.GetId(), t.GetAttempt() > 0)
			case cellpb.Phase_PHASE_RUNNING:
				w := o.workerNamed(t.GetWorker())
				w.grantEnd = o.c.taken.Add(wait)
				w.assign(&assignment{task: t.GetId(), attempt: t.GetAttempt(), class: t.GetClass(), urgency: job.GetUrgency(), reserved: resources(t.GetReserved()), checkpoint: t.GetCheckpoint(), confirmed: true})
				o.addUse(job.GetTeam(), resources(t.GetReserved()))
			}
		}
	}
	o.log.Info("cell taken", "jobs", len(o.c.state.jobs), "waiting", o.c.queue.size, "workers-with-tasks", len(o.c.workers))
}

// Epoch returns the epoch under which this owner decides.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Run decides until ctx ends, in which case the cell is released, or until another owner
// has taken it, in which case Run returns ErrLost.
func (o *Owner) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	o.ctx = work
	loopEnd := make(chan struct{})
	go func() {
		defer close(loopEnd)
		o.loop.Run(work)
	}()
	tickEnd := o.goTick(work)
	patient, impatient := context.WithCancel(work)
	defer impatient()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(releaseTimeout, impatient) })()
	err := o.commitLoop(ctx, patient)
	_ = o.loop.Do(func() { o.c.stopped = true })
	if !errors.Is(err, ErrOwnershipLost) {
		releaseContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		err = o.release(releaseContext)
	}
	stop()
	<-tickEnd
	<-loopEnd
	o.calls.Wait()
	o.log.Info("cell given up", "error", errs.Text(err))
	return err
}

// release makes what is pending durable and gives up the cell. No grant has been given
// since the control state was marked as stopped.
func (o *Owner) release(ctx context.Context) error {
	if b := o.takeBatch(); len(b.records) > 0 {
		if err := o.journal.Commit(ctx, b.records); err != nil {
			return err
		}
	}
	return o.journal.Release(ctx)
}

func (o *Owner) goTick(ctx context.Context) <-chan struct{} {
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

// tick does what time alone brings about; it runs on the loop.
func (o *Owner) tick(now time.Time) {
	if o.c.stopped {
		return
	}
	for _, w := range o.c.workers {
		if now.After(w.grantEnd) && !w.lost {
			o.loseWorker(w, now)
		}
		o.chase(w, now)
	}
	o.guard(now)
	o.place(now)
	o.sweepJobs(now)
}

// call runs f, which talks to an agent, on a goroutine of its own and then then on the loop.
func (o *Owner) call(f func(ctx context.Context) func()) {
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, commandTimeout)
		defer cancel()
		then := f(ctx)
		o.loop.Post(then)
	})
}

// record changes the state and queues the change for the next commit; effect, which may
// be nil, runs on the loop once the change is durable. It reports whether the change
// follows from the state.
func (o *Owner) record(r *cellpb.Record, effect func()) bool {
	if err := o.c.state.Apply(r); err != nil {
		o.log.Debug("record does not apply", "error", err.Error())
		return false
	}
	o.c.pending = append(o.c.pending, r)
	if effect != nil {
		o.c.effects = append(o.c.effects, effect)
	}
	o.wake()
	return true
}

func (o *Owner) wake() {
	select {
	case o.work <- struct{}{}:
	default:
	}
}

func (o *Owner) addUse(team string, r driver.Resources) {
	o.c.use[team] = o.c.use[team].Plus(r)
}

func (o *Owner) removeUse(team string, r driver.Resources) {
	o.c.use[team] = o.c.use[team].Minus(r)
	if o.c.use[team] == (driver.Resources{}) {
		delete(o.c.use, team)
	}
}

// Load returns the headroom of the cell for other entries.
func (o *Owner) Load() (load *peerpb.CellLoad) {
	load = &peerpb.CellLoad{Cell: o.options.Cell, Epoch: o.epoch}
	_ = o.loop.Do(func() {
		var free, largest driver.Resources
		for _, w := range o.c.workers {
			if w.seen.IsZero() || w.lost {
				continue
			}
			load.Workers++
			free = free.Plus(w.free())
			largest = largest.Max(w.capacity)
		}
		load.Free, load.Largest = free.Message(), largest.Message()
		load.Waiting = int32(o.c.queue.size)
		for team, r := range o.c.use {
			load.Teams = append(load.Teams, &peerpb.TeamUse{Team: team, Reserved: r.Message()})
		}
	})
	return load
}

func toRecord(r driver.Resources) *cellpb.Resources {
	return &cellpb.Resources{MilliCpu: r.MilliCPU(), MemoryBytes: r.MemoryBytes(), Accelerators: r.Accelerators()}
}
