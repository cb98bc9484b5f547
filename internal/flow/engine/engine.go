package engine

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

const (
	// tokenEpochShift leaves room for a million synchronisations of runners in one epoch.
	tokenEpochShift = 20
	// stopRetryInterval is how long a stop may stay without effect before it is sent again.
	stopRetryInterval = 500 * time.Millisecond
	// failureRetryDelay keeps a task that failed at once from being started in a tight loop.
	failureRetryDelay = 20 * time.Millisecond
	// expireInterval is how often ended jobs are looked through.
	expireInterval = time.Second
)

// Options configures an Engine.
type Options struct {
	Epoch uint64
	// Lease is the longest time that a runner may run tasks after a report that was answered.
	Lease time.Duration
	// Retention is how long a job can be read after its end.
	Retention time.Duration
	// LateFactor is how many objectives after its arrival a job is worth nothing any more.
	LateFactor float64
	// Policy is for experiments.
	Policy Policy
	Log    *slog.Logger
}

// Engine is the control state of a cell's jobs; it is not safe for concurrent use.
type Engine struct {
	options  Options
	jobs     map[string]*job
	openJobs map[string]*job
	workers  map[string]*worker
	// workersByName holds the workers in order of their names, nil after one came or went.
	workersByName []*worker
	queues        map[string]Queue
	lastToken     uint64
	dirtyJobs     []*job
	deletedJobs   []string
	// staleInboxItems are items of the inbox that change nothing.
	staleInboxItems []string
	effects         Effects
	// grantUntil bounds all leases: until then nobody else can own the cell.
	grantUntil time.Duration
	// storeFailing tells that commits do not get through.
	storeFailing bool
	placementDue bool
	// batchesInFlight counts batches that were taken and are not committed.
	batchesInFlight int
	// evacuating are ids of runners that are to be empty.
	evacuating map[string]bool
	// lastStragglerCheck is when stragglers were last looked for.
	lastStragglerCheck time.Duration
	// lastExpiry is when ended jobs were last forgotten.
	lastExpiry time.Duration
	// startedAt is when this owner began to decide.
	startedAt      time.Duration
	lastPacing     time.Duration
	lastRateSample time.Duration
	estimates      durationBiases
	interference   interferenceModel
	throughput     throughput
}

// New returns an Engine without jobs.
func New(o Options) *Engine {
	return &Engine{
		options: o, jobs: map[string]*job{}, openJobs: map[string]*job{}, workers: map[string]*worker{},
		queues: map[string]Queue{}, lastToken: o.Epoch << tokenEpochShift, estimates: durationBiases{}, interference: interferenceModel{},
		effects: Effects{Orders: map[string]*flowpb.Orders{}},
	}
}

// Restore adds a stored job. What it had assigned is taken to run until the runner says
// otherwise or the longest lease that an earlier owner can have granted has passed.
func (e *Engine) Restore(def *flowpb.Job, p *flowpb.Progress, now Timestamp) error {
	if def.GetTerms() == nil {
		def.Terms = &flowpb.Terms{}
	}
	j, err := restore(def, p, now.Monotonic, func(t *task, a *flowpb.Assignment) {
		w := e.worker(a.GetNode())
		w.leaseEnd = leaseExpiry(now.Monotonic, e.options.Lease)
		r := &run{task: t, number: a.GetRun(), phase: phaseSent, batched: true, sentAt: now.Monotonic, reserved: t.step.resources(), pace: 100, milliCPU: t.step.def.GetMilliCpu(), incarnation: &flowpb.Runner{Id: a.GetRunner(), Born: a.GetBorn()}}
		t.runs = append(t.runs, r)
		w.attach(r)
	})
	if err != nil {
		return err
	}
	j.arrivedAt = now.Monotonic - time.Duration(max(0, now.UnixMillis-def.GetAcceptedUnixMillis()))*time.Millisecond
	e.jobs[j.id()] = j
	if j.open() {
		e.openJobs[j.id()] = j
	}
	e.placementDue = true
	return nil
}

// Configure sets the queues; those that are gone keep their terms for accepted jobs.
func (e *Engine) Configure(queues map[string]Queue) {
	e.queues = queues
	for _, j := range e.openJobs {
		if q, known := queues[j.queue.Name]; known {
			j.queue = q
		}
	}
	e.placementDue = true
}

// SetGrantUntil sets until when, on the steady clock, no other owner can exist.
func (e *Engine) SetGrantUntil(until time.Duration) { e.grantUntil = max(e.grantUntil, until) }

// SetStoreFailing tells that commits don't get through. Jobs that nothing durable holds yet are
// refused, and so are new ones.
func (e *Engine) SetStoreFailing() {
	if e.storeFailing {
		return
	}
	e.storeFailing = true
	kept := e.dirtyJobs[:0]
	for _, j := range e.dirtyJobs {
		if j.durable || j.batched || len(j.inboxItems) > 0 {
			kept = append(kept, j)
			continue
		}
		e.options.Log.Info("job refused", "job", j.id(), "queue", j.queue.Name, "reason", "the store does not take writes")
		for _, call := range append(j.pendingSubmits, j.pendingCancels...) {
			e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_UNAVAILABLE, RetryAfter: minRetryAfter})
		}
		j.eachRun(func(r *run) { r.worker.runs.remove(r) })
		delete(e.jobs, j.id())
		delete(e.openJobs, j.id())
	}
	e.dirtyJobs = kept
}

// SetStoreRecovered tells that commits get through.
func (e *Engine) SetStoreRecovered() { e.storeFailing = false }

func (e *Engine) worker(node string) *worker {
	w := e.workers[node]
	if w == nil {
		w = newWorker(node)
		e.workers[node], e.workersByName = w, nil
	}
	return w
}

func (e *Engine) markDirty(j *job) {
	e.placementDue = true
	if !j.dirty {
		j.dirty = true
		e.dirtyJobs = append(e.dirtyJobs, j)
	}
}

// Dirty reports whether there is anything to store.
func (e *Engine) Dirty() bool {
	return len(e.dirtyJobs) > 0 || len(e.deletedJobs) > 0 || len(e.staleInboxItems) > 0
}

// state returns what the job's reader sees.
func (j *job) state() string { return StateOf(j.durableOutcome, j.begun) }

// StateOf returns what the reader of a job sees of a durable outcome.
func StateOf(outcome flowpb.Outcome, begun bool) string {
	switch outcome {
	case flowpb.Outcome_OUTCOME_COMPLETED:
		return "completed"
	case flowpb.Outcome_OUTCOME_FAILED:
		return "failed"
	case flowpb.Outcome_OUTCOME_CANCELLED:
		return "cancelled"
	}
	if begun {
		return "running"
	}
	return "queued"
}

// Tick does what time alone brings about, and places what waits.
func (e *Engine) Tick(now Timestamp) {
	e.warmedUp(now.Monotonic)
	for _, w := range e.workers {
		e.checkWorker(w, now.Monotonic)
	}
	e.beginDueOccurrences(now)
	if now.Monotonic-e.lastExpiry > expireInterval {
		e.lastExpiry = now.Monotonic
		e.expireJobs(now)
	}
	e.measureThroughput(now.Monotonic)
	e.adjustPaces(now.Monotonic)
	e.evacuate(now.Monotonic)
	e.handleStragglers(now.Monotonic)
	// Time alone lets waits and pauses end.
	e.placementDue = true
}

// checkWorker loses what ran on a worker whose lease has ended, and repeats stops.
func (e *Engine) checkWorker(w *worker, now time.Duration) {
	if w.runs.len() > 0 && now > w.leaseEnd {
		e.options.Log.Warn("lease of a runner ended without a report", "node", w.node, "runner", w.info.GetId(), "runs", w.runs.len(), "last-report-age-ms", (now - w.reportedAt).Milliseconds())
		w.synced = false
		for _, r := range w.runs.list {
			e.markLost(r, now, "lease ended")
		}
		if w.connected {
			e.ordersFor(w).Resync = true
		}
	}
	if w.connected && !w.synced && now-w.resyncSentAt > stopRetryInterval {
		w.resyncSentAt = now
		e.ordersFor(w).Resync = true
	}
	if !w.connected || !w.synced {
		return
	}
	for _, r := range w.runs.list {
		if r.phase == phaseStopping && now-r.stopSentAt > stopRetryInterval {
			e.sendStop(r, now)
		}
	}
	for id, at := range w.orphanRuns {
		if now-at > stopRetryInterval {
			w.orphanRuns[id] = now
			e.ordersFor(w).Stops = append(e.ordersFor(w).Stops, &flowpb.Stop{Task: id.Task, Run: id.Run})
		}
	}
}

// beginDueOccurrences begins the occurrences whose time has come.
func (e *Engine) beginDueOccurrences(now Timestamp) {
	due := map[string]*job{}
	for id, j := range e.openJobs {
		if j.isDue(now) {
			due[id] = j
		}
	}
	for _, id := range slices.Sorted(maps.Keys(due)) {
		j := due[id]
		for j.isDue(now) {
			o := newOccurrence(j, j.nextOccurrence, now.Monotonic)
			o.startedAt = now.Monotonic - time.Duration(now.UnixMillis-j.dueUnixMillis(j.nextOccurrence))*time.Millisecond
			o.advance(now.Monotonic)
			j.occurrences = append(j.occurrences, o)
			j.nextOccurrence++
			e.markDirty(j)
		}
	}
}

// expireJobs forgets jobs that ended long ago.
func (e *Engine) expireJobs(now Timestamp) {
	for id, j := range e.jobs {
		if !j.open() && j.durable && !j.dirty && now.UnixMillis-j.endedUnixMillis > e.options.Retention.Milliseconds() {
			live := false
			j.eachRun(func(*run) { live = true })
			if !live {
				delete(e.jobs, id)
				e.deletedJobs = append(e.deletedJobs, id)
			}
		}
	}
}

// removeIfUnused forgets a worker of which nothing is known any more.
func (e *Engine) removeIfUnused(w *worker) {
	if w.unused() {
		delete(e.workers, w.node)
		e.workersByName = nil
	}
}

// sortedWorkers returns the workers by name, so that decisions don't depend on map order.
func (e *Engine) sortedWorkers() []*worker {
	if e.workersByName == nil {
		e.workersByName = slices.SortedFunc(maps.Values(e.workers), func(a, b *worker) int { return strings.Compare(a.node, b.node) })
	}
	return e.workersByName
}

// Stats are counts for metrics.
type Stats struct {
	Jobs, Open, Workers, Synced, Runs int
}

// Stats returns counts of what the engine holds.
func (e *Engine) Stats() (s Stats) {
	s.Jobs, s.Open, s.Workers = len(e.jobs), len(e.openJobs), len(e.workers)
	for _, w := range e.workers {
		s.Runs += w.runs.len()
		if w.synced {
			s.Synced++
		}
	}
	return s
}

// ConnectedAgents returns how many agents have an open session.
func (e *Engine) ConnectedAgents() (connected int) {
	for _, w := range e.workers {
		if w.connected {
			connected++
		}
	}
	return connected
}
