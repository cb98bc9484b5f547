package engine

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/saturate"
)

const (
	// tokenEpochShift leaves room for about a million tokens per epoch, one for each
	// synchronisation of a runner.
	tokenEpochShift = 20
	// stopRetryInterval is how long to wait for the effect of a stop or of a request to
	// synchronise before it is sent again.
	stopRetryInterval = 500 * time.Millisecond
	// failureRetryDelay is the least delay between the failure of a run and the next start of
	// its task, so that a task that fails at once is not restarted in a tight loop. It doubles with each
	// further failure in a row up to maxFailureRetryDelay.
	failureRetryDelay    = 20 * time.Millisecond
	maxFailureRetryDelay = 4 * time.Second
	// maxDeferral is how long after its last failure the next start of a task that keeps failing comes
	// after all other work. The platform asks that long-running tasks are started again from then on.
	maxDeferral = 6 * time.Second
	// expireInterval is how often ended jobs are checked against Options.Retention.
	expireInterval = time.Second
)

// Options configures an Engine.
type Options struct {
	Epoch uint64
	// AcquiredAt is when this process acquired the cell, on the monotonic clock. No lease of an
	// earlier owner lasts longer than Lease from then on.
	AcquiredAt time.Duration
	// Lease is how long a runner may run tasks after sending a report that the owner answered.
	Lease time.Duration
	// MaxLease is the longest lease that a runner holds, which it may take from a request meant for an
	// earlier incarnation.
	MaxLease time.Duration
	// Retention is how long a job can be read after its end.
	Retention time.Duration
	// LateFactor bounds the use of late results: a job that takes more than this many times its
	// objective has no value.
	LateFactor float64
	// EvacuationBound is how long after the request to evacuate a data centre tasks may still start there. It is 0
	// if data centres are not evacuated.
	EvacuationBound time.Duration
	// Policy replaces decisions by simpler ones in experiments.
	Policy Policy
	Log    *slog.Logger
}

// Engine is the control state of a cell's jobs. It is not safe for concurrent use.
type Engine struct {
	options  Options
	jobs     map[string]*job
	openJobs map[string]*job
	workers  map[string]*worker
	// workersByName caches the workers in order of their names; it is nil after one was added or
	// removed.
	workersByName []*worker
	queues        map[string]Queue
	lastToken     uint64
	dirtyJobs     []*job
	deletedJobs   []string
	// staleInboxItems are inbox items without effect, which only need to be deleted.
	staleInboxItems []string
	effects         Effects
	// grantUntil bounds all leases, since no other process can own the cell until then.
	grantUntil time.Duration
	// storeFailing is set while commits fail.
	storeFailing bool
	// placementDue is set if anything changed since the last placement round that may allow a
	// task to be placed.
	placementDue bool
	// batchesInFlight is the number of batches that were taken and are not committed yet.
	batchesInFlight int
	// earlierLeasesEnded is set once no lease of an earlier owner is left.
	earlierLeasesEnded bool
	// evacuating holds the ids of runners from which all tasks are to be moved.
	evacuating  map[string]bool
	dataCentres dataCentres
	// lastStragglerCheck is when handleStragglers last checked the runs.
	lastStragglerCheck time.Duration
	lastExpiry         time.Duration
	// startedAt is the time of the first decision, from which the warm-up counts.
	startedAt      time.Duration
	lastPacing     time.Duration
	lastRateSample time.Duration
	estimates      durationBiases
	interference   interferenceModel
	throughput     throughput
	// places are those of refused callers, returnCounts counts their retries since TakeReturnCounts was
	// called.
	places       places
	returnCounts ReturnCounts
}

// New returns an Engine without jobs.
func New(o Options) *Engine {
	return &Engine{
		options: o, grantUntil: o.AcquiredAt + o.Lease, jobs: map[string]*job{}, openJobs: map[string]*job{}, workers: map[string]*worker{},
		queues: map[string]Queue{}, lastToken: o.Epoch << tokenEpochShift, estimates: durationBiases{}, interference: interferenceModel{}, places: places{byID: map[string]*place{}},
		effects: Effects{Orders: map[string]*flowpb.Orders{}},
	}
}

// RestoreEnded adds a stored job that has ended. separateRecord is set if it is stored in records of
// its own, which are to be replaced.
func (e *Engine) RestoreEnded(id string, state *flowpb.Progress, separateRecord bool) {
	j := &job{def: &flowpb.Job{Id: id}, outcome: state.GetOutcome(), durableOutcome: state.GetOutcome(), endedUnixMillis: state.GetEndedUnixMillis(), durable: true, batched: true, begun: state.GetBegun(), storedState: stateOf(state)}
	e.jobs[id] = j
	if separateRecord {
		e.replaceSeparateRecord(j)
	}
}

// replaceSeparateRecord has the next batch replace the records that a job has by itself.
func (e *Engine) replaceSeparateRecord(j *job) {
	j.separateRecord, j.recordDue = true, true
	e.markDirty(j)
}

// Restore adds a stored job that is open, with its stored progress and state. The state may be older.
// separateRecord is set if the job is stored in records of its own, which are to be replaced. The
// job's assigned runs are assumed to be live until the runner reports otherwise, or until the longest
// lease that an earlier owner may have granted has expired.
func (e *Engine) Restore(def *flowpb.Job, p, state *flowpb.Progress, separateRecord bool, now Timestamp) error {
	j, err := restore(def, p, now, func(t *task, a *flowpb.Assignment) {
		w := e.worker(a.GetNode())
		r := &run{task: t, number: a.GetRun(), phase: phaseSent, batched: true, sentAt: now.Monotonic, reserved: t.step.resources(), pace: 100, milliCPU: t.step.def.GetMilliCpu(), incarnation: &flowpb.Runner{Id: a.GetRunner(), Born: a.GetBorn()}}
		// The owner before may have set another pace.
		r.repeatPaceUntil = now.Monotonic + driver.MaxOrderDelay
		if r.foreignLease = a.GetForeignLease(); r.foreignLease {
			w.expectForeignLease(e.options.AcquiredAt, e.options.MaxLease)
		}
		t.runs = append(t.runs, r)
		t.step.job().liveRuns++
		w.attach(r)
	})
	if err != nil {
		return err
	}
	j.arrivedAt = now.Monotonic - saturate.Millis(max(0, now.UnixMillis-def.GetAcceptedUnixMillis()))
	j.storedState = stateOf(state)
	// The full record may be from before the job began.
	j.begun = j.begun || state.GetBegun()
	e.jobs[j.id()] = j
	if j.open() {
		e.openJobs[j.id()] = j
	}
	if separateRecord {
		e.replaceSeparateRecord(j)
	}
	e.placementDue = true
	return nil
}

// Configure sets the queues. Accepted jobs of queues that were removed keep their stored terms, and so do jobs that were
// accepted under a newer configuration.
func (e *Engine) Configure(queues map[string]Queue) {
	e.queues = queues
	for _, id := range slices.Sorted(maps.Keys(e.openJobs)) {
		j := e.openJobs[id]
		if q, known := queues[j.queue.Name]; known && q.Version >= j.queue.Version {
			e.setQueue(j, q)
		}
	}
	e.placementDue = true
}

// setQueue puts newer settings of a job's queue in force. Settings that differ from those before are stored with the
// job, since they apply once the queue has been removed.
func (e *Engine) setQueue(j *job, q Queue) {
	before := j.queue
	j.queue = q
	if before.Version = q.Version; before == q {
		return
	}
	// A commit may be writing the job as it was.
	j.def = proto.CloneOf(j.def)
	j.def.Terms = q.Terms()
	j.recordDue = true
	e.markDirty(j)
}

// SetGrantUntil extends the time, on the monotonic clock, until which no other process can own
// the cell. It never shortens it.
func (e *Engine) SetGrantUntil(until time.Duration) { e.grantUntil = max(e.grantUntil, until) }

// SetStoreFailing records that commits fail. It refuses the jobs that are neither stored, nor in
// a batch that may have been stored, nor in the inbox; new jobs are refused as well until
// SetStoreRecovered is called.
func (e *Engine) SetStoreFailing(now Timestamp) {
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
		a, _ := e.attempt(j, newOccurrence(j, 0, now.Monotonic))
		e.refuse(j, a, a.load, now)
		j.eachRun(func(r *run) { r.worker.detach(r) })
		delete(e.jobs, j.id())
		delete(e.openJobs, j.id())
	}
	e.dirtyJobs = kept
}

// SetStoreRecovered records that commits succeed again.
func (e *Engine) SetStoreRecovered() { e.storeFailing = false }

// worker returns the worker of a node, and adds it if it is new.
func (e *Engine) worker(node string) *worker {
	w := e.workers[node]
	if w == nil {
		w = newWorker(node, leaseExpiry(e.options.AcquiredAt, e.options.Lease, e.options.Lease))
		e.workers[node], e.workersByName = w, nil
	}
	return w
}

// markDirty includes the job in the next batch.
func (e *Engine) markDirty(j *job) {
	e.placementDue = true
	if !j.dirty {
		j.dirty = true
		e.dirtyJobs = append(e.dirtyJobs, j)
	}
}

// Dirty reports whether there are changes that are not part of any batch.
func (e *Engine) Dirty() bool {
	return len(e.dirtyJobs) > 0 || len(e.deletedJobs) > 0 || len(e.staleInboxItems) > 0
}

// state returns the state of the job as clients see it.
func (j *job) state() string { return StateOf(j.durableOutcome, j.begun) }

// StateOf returns the state that clients see of a job with a durable outcome.
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

// Tick performs the work that depends on the passing of time: it ends expired leases, begins
// occurrences that are due, and checks paces, evacuations and stragglers. Tasks are placed by
// the next call of Place.
func (e *Engine) Tick(now Timestamp) {
	e.warmedUp(now.Monotonic)
	e.earlierLeasesEnded = e.earlierLeasesEnded || now.Monotonic > leaseExpiry(e.options.AcquiredAt, e.options.Lease, e.options.Lease)
	for _, w := range e.workers {
		e.checkWorker(w, now.Monotonic)
	}
	e.beginDueOccurrences(now)
	if now.Monotonic-e.lastExpiry > expireInterval {
		e.lastExpiry = now.Monotonic
		e.expireJobs(now)
	}
	e.returnCounts.Expired += e.places.expire(now.Monotonic)
	e.measureThroughput(now.Monotonic)
	e.adjustPaces(now.Monotonic)
	e.evacuate(now.Monotonic)
	e.evacuateDataCentres(now.Monotonic)
	e.handleStragglers(now.Monotonic)
	// Delays of tasks and of runners may have ended.
	e.placementDue = true
}

// checkWorker gives up the runs of a worker whose lease has expired, and repeats stops and
// requests to synchronise that had no effect.
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

// beginDueOccurrences begins all occurrences that are due, of each job as many as may be open at a
// time.
func (e *Engine) beginDueOccurrences(now Timestamp) {
	due := map[string]*job{}
	for id, j := range e.openJobs {
		if j.isDue(now) {
			due[id] = j
		}
	}
	for _, id := range slices.Sorted(maps.Keys(due)) {
		j := due[id]
		for j.isDue(now) && j.mayBegin() {
			o := newOccurrence(j, j.nextOccurrence, now.Monotonic)
			o.countFromDue(now)
			o.advance(now.Monotonic)
			j.occurrences = append(j.occurrences, o)
			j.nextOccurrence++
			e.markDirty(j)
		}
	}
}

// expireJobs deletes jobs whose retention has passed, unless a run of them is still live.
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

// removeIfUnused removes a worker that has neither a session nor runs.
func (e *Engine) removeIfUnused(w *worker) {
	if w.unused() {
		delete(e.workers, w.node)
		e.workersByName = nil
	}
}

// sortedWorkers returns the workers in order of their names, so that decisions do not depend on
// map iteration order.
func (e *Engine) sortedWorkers() []*worker {
	if e.workersByName == nil {
		e.workersByName = slices.SortedFunc(maps.Values(e.workers), func(a, b *worker) int { return strings.Compare(a.node, b.node) })
	}
	return e.workersByName
}

// Stats holds counts for metrics. Synced counts the workers whose runner has listed its runs
// under the current token, Places the refused callers whose retry is expected.
type Stats struct {
	Jobs, Open, Workers, Synced, Runs, Places int
	// EvacuatedDataCentres counts the data centres that are evacuated, EvacuatedRuns the runs that are left there.
	EvacuatedDataCentres, EvacuatedRuns int
	// Ejected counts the workers whose runner is ejected or probed, FailingSteps the steps of open jobs that fail or stall
	// wherever they run.
	Ejected, FailingSteps int
}

// Stats returns the current counts of jobs, workers and live runs.
func (e *Engine) Stats() (s Stats) {
	s.Jobs, s.Open, s.Workers, s.EvacuatedDataCentres = len(e.jobs), len(e.openJobs), len(e.workers), len(e.dataCentres.evacuated)
	s.Places = len(e.places.ordered)
	for _, w := range e.workers {
		s.Runs += w.runs.len()
		if e.isEvacuated(w) {
			s.EvacuatedRuns += w.runs.len()
		}
		if w.synced {
			s.Synced++
		}
		if w.health.probing {
			s.Ejected++
		}
	}
	for _, j := range e.openJobs {
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if step.atFault() {
					s.FailingSteps++
				}
			}
		}
	}
	return s
}

// TakeReturnCounts returns the counts of retries since the last call.
func (e *Engine) TakeReturnCounts() ReturnCounts {
	out := e.returnCounts
	e.returnCounts = ReturnCounts{}
	return out
}

// ConnectedAgents returns the number of agents with an open session.
func (e *Engine) ConnectedAgents() (connected int) {
	for _, w := range e.workers {
		if w.connected {
			connected++
		}
	}
	return connected
}
