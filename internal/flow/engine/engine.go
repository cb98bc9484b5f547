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
	// tokenShift leaves room for a million synchronisations of runners in one epoch.
	tokenShift = 20
	// stopRetry is how long a stop may stay without effect before it is sent again.
	stopRetry = 500 * time.Millisecond
	// retryPause keeps a task that failed at once from being started in a tight loop.
	retryPause = 20 * time.Millisecond
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
	options Options
	jobs    map[string]*job
	open    map[string]*job
	workers map[string]*worker
	// byName holds the workers in order of their names, nil after one came or went.
	byName  []*worker
	queues  map[string]Queue
	tokens  uint64
	dirty   []*job
	deleted []string
	// stale are items of the inbox that change nothing.
	stale []string
	out   Effects
	// grantUntil bounds all leases: until then nobody else can own the cell.
	grantUntil time.Duration
	// storeFailing tells that commits do not get through.
	storeFailing bool
	stirred      bool
	// inFlight counts batches that were taken and are not committed.
	inFlight int
	// emptied are ids of runners that are to be empty.
	emptied map[string]bool
	// straggled is when stragglers were last looked for.
	straggled time.Duration
	// expired is when ended jobs were last forgotten.
	expired time.Duration
	// since is when this owner began to decide.
	since     time.Duration
	paced     time.Duration
	rated     time.Duration
	estimates durationBiases
	pairs     interferenceModel
	rate      throughput
}

// New returns an Engine without jobs.
func New(o Options) *Engine {
	return &Engine{
		options: o, jobs: map[string]*job{}, open: map[string]*job{}, workers: map[string]*worker{},
		queues: map[string]Queue{}, tokens: o.Epoch << tokenShift, estimates: durationBiases{}, pairs: interferenceModel{},
		out: Effects{Orders: map[string]*flowpb.Orders{}},
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
		w.leaseEnd = leaseOf(now.Monotonic, e.options.Lease)
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
		e.open[j.id()] = j
	}
	e.stirred = true
	return nil
}

// Configure sets the queues; those that are gone keep their terms for accepted jobs.
func (e *Engine) Configure(queues map[string]Queue) {
	e.queues = queues
	for _, j := range e.open {
		if q, known := queues[j.queue.Name]; known {
			j.queue = q
		}
	}
	e.stirred = true
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
	kept := e.dirty[:0]
	for _, j := range e.dirty {
		if j.durable || j.batched || len(j.inboxItems) > 0 {
			kept = append(kept, j)
			continue
		}
		e.options.Log.Info("job refused", "job", j.id(), "queue", j.queue.Name, "reason", "the store does not take writes")
		for _, call := range append(j.pendingSubmits, j.pendingCancels...) {
			e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_UNAVAILABLE, RetryAfter: retryLeast})
		}
		j.live(func(r *run) { r.worker.runs.remove(r) })
		delete(e.jobs, j.id())
		delete(e.open, j.id())
	}
	e.dirty = kept
}

// SetStoreWell tells that commits get through.
func (e *Engine) SetStoreWell() { e.storeFailing = false }

func (e *Engine) worker(node string) *worker {
	w := e.workers[node]
	if w == nil {
		w = newWorker(node)
		e.workers[node], e.byName = w, nil
	}
	return w
}

func (e *Engine) mark(j *job) {
	e.stirred = true
	if !j.dirty {
		j.dirty = true
		e.dirty = append(e.dirty, j)
	}
}

// Dirty reports whether there is anything to store.
func (e *Engine) Dirty() bool { return len(e.dirty) > 0 || len(e.deleted) > 0 || len(e.stale) > 0 }

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
	e.settled(now.Monotonic)
	for _, w := range e.workers {
		e.watch(w, now.Monotonic)
	}
	e.beginDue(now)
	if now.Monotonic-e.expired > expireInterval {
		e.expired = now.Monotonic
		e.expire(now)
	}
	e.measureThroughput(now.Monotonic)
	e.adjustPaces(now.Monotonic)
	e.evacuate(now.Monotonic)
	e.handleStragglers(now.Monotonic)
	// Time alone lets waits and pauses end.
	e.stirred = true
}

// watch loses what ran on a worker whose lease has ended, and repeats stops.
func (e *Engine) watch(w *worker, now time.Duration) {
	if w.runs.len() > 0 && now > w.leaseEnd {
		e.options.Log.Warn("lease of a runner ended without a report", "node", w.node, "runner", w.info.GetId(), "runs", w.runs.len(), "last-report-age-ms", (now - w.reported).Milliseconds())
		w.synced = false
		for _, r := range w.runs.list {
			e.lose(r, now, "lease ended")
		}
		if w.connected {
			e.orders(w).Resync = true
		}
	}
	if w.connected && !w.synced && now-w.resyncAt > stopRetry {
		w.resyncAt = now
		e.orders(w).Resync = true
	}
	if !w.connected || !w.synced {
		return
	}
	for _, r := range w.runs.list {
		if r.phase == phaseStopping && now-r.stopSentAt > stopRetry {
			e.orderStop(r, now)
		}
	}
	for id, at := range w.foreign {
		if now-at > stopRetry {
			w.foreign[id] = now
			e.orders(w).Stops = append(e.orders(w).Stops, &flowpb.Stop{Task: id.Task, Run: id.Run})
		}
	}
}

// beginDue begins the occurrences whose time has come.
func (e *Engine) beginDue(now Timestamp) {
	due := map[string]*job{}
	for id, j := range e.open {
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
			e.mark(j)
		}
	}
}

// expire forgets jobs that ended long ago.
func (e *Engine) expire(now Timestamp) {
	for id, j := range e.jobs {
		if !j.open() && j.durable && !j.dirty && now.UnixMillis-j.endedUnixMillis > e.options.Retention.Milliseconds() {
			live := false
			j.live(func(*run) { live = true })
			if !live {
				delete(e.jobs, id)
				e.deleted = append(e.deleted, id)
			}
		}
	}
}

// dropUnused forgets a worker of which nothing is known any more.
func (e *Engine) dropUnused(w *worker) {
	if w.unused() {
		delete(e.workers, w.node)
		e.byName = nil
	}
}

// sortedWorkers returns the workers by name, so that decisions don't depend on map order.
func (e *Engine) sortedWorkers() []*worker {
	if e.byName == nil {
		e.byName = slices.SortedFunc(maps.Values(e.workers), func(a, b *worker) int { return strings.Compare(a.node, b.node) })
	}
	return e.byName
}

// Stats are counts for metrics.
type Stats struct {
	Jobs, Open, Workers, Synced, Runs int
}

// Stats returns counts of what the engine holds.
func (e *Engine) Stats() (s Stats) {
	s.Jobs, s.Open, s.Workers = len(e.jobs), len(e.open), len(e.workers)
	for _, w := range e.workers {
		s.Runs += w.runs.len()
		if w.synced {
			s.Synced++
		}
	}
	return s
}

// Connected returns how many agents have an open session.
func (e *Engine) Connected() (connected int) {
	for _, w := range e.workers {
		if w.connected {
			connected++
		}
	}
	return connected
}
