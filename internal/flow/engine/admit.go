package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/saturate"
)

// Admission control sheds load in bursts that exceed the capacity of the runners. A job that
// cannot meet its objective, because of the backlog of equal and higher priority, would only make
// other jobs late. It is refused at once, with the time after which the backlog allows a retry.
const (
	// usableCapacityShare is the share of the runners' processors that is assumed to be available
	// to the backlog.
	usableCapacityShare = 0.75
	// minRetryAfter and maxRetryAfter bound the retry time of a refused job. Nothing is known of the
	// capacity in more than a minute.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// warmUpTime is how long runners may take to report to a new owner. No job is refused for
	// lack of capacity before.
	warmUpTime = 1500 * time.Millisecond
)

// Load is the input of an admission decision.
type Load struct {
	// MilliCPU is the capacity of the queue's runners, in thousandths of a processor.
	MilliCPU int64
	// Backlog is the work of equal and higher priority that can be done within AllowedMillis, and that of the
	// job itself, in thousandths of a processor times milliseconds.
	Backlog float64
	// CriticalPathMillis is the expected duration of the job's critical path.
	CriticalPathMillis float64
	// AllowedMillis is how long it may take to complete the backlog, the job included, for the
	// job to be in time.
	AllowedMillis float64
}

// Admit reports whether a job can be done in time, and otherwise after which time to retry.
func Admit(l Load) (ok bool, retryAfter time.Duration) {
	if l.MilliCPU <= 0 {
		return false, minRetryAfter
	}
	wait := l.Backlog / (usableCapacityShare * float64(l.MilliCPU))
	if wait <= l.AllowedMillis {
		return true, 0
	}
	after := saturate.Of(wait-l.AllowedMillis, time.Millisecond)
	return false, min(max(after, minRetryAfter), maxRetryAfter)
}

// timeFor returns how long the runners take for work, or saturate.Longest if they have no capacity.
func (l Load) timeFor(work float64) time.Duration {
	return saturate.Of(work/(usableCapacityShare*float64(max(0, l.MilliCPU))), time.Millisecond)
}

// Submit accepts or refuses a job. An accepted job is answered once it is durable, a refused one
// at once. Submitting an accepted job again has no effect and returns its state.
func (e *Engine) Submit(call uint64, def *flowpb.Job, now Timestamp) {
	if j := e.jobs[def.GetId()]; j != nil {
		if j.durable {
			e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: j.state()})
			return
		}
		j.pendingSubmits = append(j.pendingSubmits, call)
		e.markDirty(j)
		return
	}
	q := e.queueFor(def)
	if err := Validate(def); err != nil {
		e.logRefusal(def, flowpb.Status_STATUS_INVALID, err.Error())
		e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_INVALID, Detail: err.Error()})
		return
	}
	def.Terms = q.Terms()
	j := &job{def: def, queue: q, pendingSubmits: []uint64{call}}
	e.countFromFirstAttempt(j, now)
	first := newOccurrence(j, 0, now.Monotonic)
	a, sheddable := e.attempt(j, first)
	e.returnCounts.count(e.places.byID[a.id].timing(now.Monotonic))
	if e.storeFailing {
		e.refuse(j, a, a.load, now)
		return
	}
	if sheddable && e.warmedUp(now.Monotonic) && !e.options.Policy.NoShedding {
		if ok, load := e.places.decide(a, now.Monotonic); !ok {
			e.refuse(j, a, load, now)
			return
		}
	}
	e.places.drop(a.id)
	e.addJob(j, first, now)
	e.options.Log.Info("job accepted", "job", j.id(), "queue", q.Name, "steps", len(def.GetSteps()), "chain-ms", first.criticalPathMillis(), "waited-ms", (now.Monotonic - j.arrivedAt).Milliseconds(), "open", len(e.openJobs))
}

// countFromFirstAttempt makes the objective of a job count from the first attempt of its caller, for the next
// owner as well.
func (e *Engine) countFromFirstAttempt(j *job, now Timestamp) {
	j.arrivedAt = e.places.firstAttempt(j.id(), now.Monotonic)
	j.def.AcceptedUnixMillis = now.UnixMillis - (now.Monotonic - j.arrivedAt).Milliseconds()
}

// attempt returns the attempt to submit a job, and whether the job may be shed.
func (e *Engine) attempt(j *job, first *occurrence) (a attempt, sheddable bool) {
	a = attempt{id: j.id(), service: j.queue.Service, priority: j.queue.Priority, bestEffort: j.bestEffort(), firstAt: j.arrivedAt}
	if a.load, sheddable = e.admissionLoad(j, first); sheddable {
		a.work = e.expectedWork(j, first)
		objectiveMillis := j.queue.Stretch*a.load.CriticalPathMillis + float64(j.queue.Target.Milliseconds())
		a.usefulFor = saturate.Of(e.options.LateFactor*objectiveMillis, time.Millisecond)
		a.servedFor = saturate.Of(a.load.AllowedMillis-a.load.CriticalPathMillis, time.Millisecond)
	}
	return a, sheddable
}

// refuse refuses the calls that wait for a job to be accepted, and gives their caller a place.
func (e *Engine) refuse(j *job, a attempt, l Load, now Timestamp) {
	status, reason := flowpb.Status_STATUS_UNAVAILABLE, "the store does not take writes"
	if !e.storeFailing {
		status = flowpb.Status_STATUS_REJECTED
		reason = fmt.Sprintf("overload: %.0f core-seconds wait for %d cores, a wait of %.0f ms is allowed", l.Backlog/1e6, l.MilliCPU/1000, l.AllowedMillis)
	}
	p, after := e.places.refuse(a, l, !e.storeFailing, now.Monotonic)
	e.logRefusal(j.def, status, reason, "retry-after-ms", after.Milliseconds(), "place-in-ms", (p.due - now.Monotonic).Milliseconds(), "returns", p.refusals-1, "keeps-others-out", p.holds, "places", len(e.places.ordered))
	for _, call := range append(j.pendingSubmits, j.pendingCancels...) {
		e.reply(Reply{Call: call, Status: status, RetryAfter: after, Detail: reason})
	}
}

func (e *Engine) logRefusal(def *flowpb.Job, status flowpb.Status, reason string, more ...any) {
	e.options.Log.Info("job refused", append([]any{"job", def.GetId(), "queue", def.GetQueue(), "status", status.String(), "reason", reason, "open", len(e.openJobs)}, more...)...)
}

// queueFor returns the queue of a job, as it is configured or as the job's terms describe it, whichever is newer. The
// terms are those of an entry, which may know of a configuration before or after this process.
func (e *Engine) queueFor(def *flowpb.Job) Queue {
	stored := queueFromTerms(def.GetQueue(), def.GetTerms())
	if configured, known := e.queues[stored.Name]; known && configured.Version >= stored.Version {
		return configured
	}
	return stored
}

// addJob adds an accepted job. A recurring job begins its first occurrence when that is due, any
// other job at once. The job is stored in full with its acceptance, also while it has no occurrence yet.
func (e *Engine) addJob(j *job, first *occurrence, now Timestamp) {
	j.recordDue = true
	if j.def.GetOccurrences() == 0 {
		first.advance(now.Monotonic)
		j.occurrences = append(j.occurrences, first)
		j.nextOccurrence = 1
	}
	e.jobs[j.id()], e.openJobs[j.id()] = j, j
	e.markDirty(j)
}

// ProcessInboxItem applies an item of the cell's write-ahead inbox. The item is durable: it is a
// job or a cancel that an entry accepted while it did not reach the owner.
func (e *Engine) ProcessInboxItem(name string, item *flowpb.Handed, now Timestamp) {
	def := item.GetJob()
	if def == nil {
		e.places.drop(item.GetCancel())
		j := e.jobs[item.GetCancel()]
		if j == nil {
			e.dropInboxItem(name)
			return
		}
		e.options.Log.Info("cancel accepted from inbox", "job", j.id())
		e.closeJob(j, flowpb.Outcome_OUTCOME_CANCELLED, now, "cancelled by the client")
		e.addInboxItem(j, name)
		return
	}
	if known := e.jobs[def.GetId()]; known != nil && !known.durable {
		// The job was also submitted to the owner directly. The item keeps the job durable until
		// a commit has stored it.
		e.addInboxItem(known, name)
		return
	} else if known != nil {
		e.dropInboxItem(name)
		return
	}
	if err := validateSteps(def); err != nil {
		// It was not written by an entry.
		e.options.Log.Error("invalid job in inbox dropped", "job", def.GetId(), "error", err.Error())
		e.dropInboxItem(name)
		return
	}
	q := e.queueFor(def)
	def.Terms = q.Terms()
	j := &job{def: def, queue: q, inboxItems: []string{name}}
	j.arrivedAt = now.Monotonic - saturate.Millis(max(0, now.UnixMillis-def.GetAcceptedUnixMillis()))
	if e.places.byID[j.id()] != nil {
		e.countFromFirstAttempt(j, now)
		e.places.drop(j.id())
	}
	e.options.Log.Info("job accepted from inbox", "job", j.id(), "queue", def.GetQueue(), "age-ms", (now.Monotonic - j.arrivedAt).Milliseconds())
	e.addJob(j, newOccurrence(j, 0, now.Monotonic), now)
}

// addInboxItem has the next commit of a job delete an item of the inbox. An item that is written again comes here again.
func (e *Engine) addInboxItem(j *job, name string) {
	if !slices.Contains(j.inboxItems, name) {
		j.inboxItems = append(j.inboxItems, name)
	}
	e.markDirty(j)
}

// dropInboxItem has the next commit delete an item without effect.
func (e *Engine) dropInboxItem(name string) {
	if !slices.Contains(e.staleInboxItems, name) {
		e.staleInboxItems = append(e.staleInboxItems, name)
	}
}

// warmedUp reports whether the runners have had time to report to this owner.
func (e *Engine) warmedUp(now time.Duration) bool {
	if e.startedAt == 0 {
		e.startedAt = now
	}
	return now-e.startedAt > warmUpTime
}

// awaitsReports reports whether runners that had runs under the owner before have yet to list them. Until
// then the room on them is not known, for warmUpTime at most.
func (e *Engine) awaitsReports(now time.Duration) bool {
	if e.warmedUp(now) {
		return false
	}
	for _, w := range e.workers {
		if !w.synced && w.runs.len() > 0 {
			return true
		}
	}
	return false
}

// admissionLoad returns the load on the runners of a job's service with that job, and whether the
// job may be shed. Recurring jobs and jobs with long-running tasks are always admitted.
func (e *Engine) admissionLoad(j *job, first *occurrence) (l Load, sheddable bool) {
	for _, s := range j.def.GetSteps() {
		if s.GetLasting() {
			return l, false
		}
	}
	if j.def.GetOccurrences() > 0 {
		return l, false
	}
	for _, w := range e.workers {
		if w.info.GetService() == j.queue.Service && w.synced && !e.isEvacuated(w) {
			l.MilliCPU += int64(e.offeredShare(w, first.startedAt) * float64(w.info.GetMilliCpu()))
		}
	}
	bestEffort := j.bestEffort()
	l.CriticalPathMillis = e.estimates.expectedMillis(j.queue.Name, first.criticalPathMillis())
	l.AllowedMillis = j.queue.Stretch*l.CriticalPathMillis + float64(j.queue.Target.Milliseconds())
	if !bestEffort {
		// Other tasks give way to such a job, so that the estimate of its wait is unreliable, and
		// only a job that would be too late to be of use is refused.
		l.AllowedMillis *= e.options.LateFactor
	}
	// While no task waits, the running tasks leave enough room, even if the estimates of their
	// remaining work suggest otherwise.
	queued := bestEffort || e.hasQueuedTasks(j, first.startedAt)
	for _, id := range slices.Sorted(maps.Keys(e.openJobs)) {
		other := e.openJobs[id]
		if other.queue.Service != j.queue.Service || other.queue.Priority > j.queue.Priority {
			continue
		}
		l.MilliCPU -= e.longRunningMilliCPU(other, bestEffort)
		// Best-effort jobs take no processors from other jobs.
		if queued && (bestEffort || !other.bestEffort()) {
			l.Backlog += e.workWithin(other, l.AllowedMillis)
		}
	}
	if bestEffort && e.throughput > 0 {
		l.MilliCPU = min(l.MilliCPU, int64(e.throughput))
	}
	l.Backlog += e.expectedWork(j, first)
	return l, true
}

// expectedWork returns the expected work of an occurrence that has not begun, in thousandths of a processor
// times milliseconds.
func (e *Engine) expectedWork(j *job, o *occurrence) (work float64) {
	for _, s := range o.steps {
		work += float64(s.def.GetCount()) * e.estimates.expectedMillis(j.queue.Name, estimateMillis(s.def)) * float64(s.def.GetMilliCpu())
	}
	return work
}

// minQueueingDelay is how long a task must have waited to count as queued.
const minQueueingDelay = 200 * time.Millisecond

// hasQueuedTasks reports whether tasks of equal or higher priority, other than best-effort and
// long-running ones, wait for room on the runners of a job's service.
func (e *Engine) hasQueuedTasks(j *job, now time.Duration) bool {
	for _, other := range e.openJobs {
		if other.queue.Service != j.queue.Service || other.queue.Priority > j.queue.Priority {
			continue
		}
		for _, o := range other.occurrences {
			for _, s := range o.steps {
				if o.done || !s.ready || s.def.GetFills() || s.def.GetLasting() {
					continue
				}
				for _, t := range s.tasks {
					if t.pending(now) && now-t.waitingSince > minQueueingDelay {
						return true
					}
				}
			}
		}
	}
	return false
}

// bestEffort reports whether the job's first step is a best-effort one.
func (j *job) bestEffort() bool { return j.def.GetSteps()[0].GetFills() }

// longRunningMilliCPU returns the processors, in thousandths, that the long-running tasks of a
// job take from other tasks, or from best-effort tasks if bestEffort is set. Those in evacuated data centres take
// nothing of the capacity that counts.
func (e *Engine) longRunningMilliCPU(j *job, bestEffort bool) (used int64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if o.done || !s.def.GetLasting() {
				continue
			}
			perRun := float64(s.def.GetMilliCpu())
			if bestEffort && s.latencyCritical() {
				perRun *= latencyCriticalUtilization
			}
			for _, t := range s.tasks {
				runs := len(t.runs)
				for _, r := range t.runs {
					if e.isEvacuated(r.worker) {
						runs--
					}
				}
				used += int64(float64(runs) * perRun)
			}
		}
	}
	return used
}

// remainingWork returns the expected work that remains of a job, without its long-running tasks,
// in thousandths of a processor times milliseconds.
func (e *Engine) remainingWork(j *job) (work float64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if o.done || s.def.GetLasting() {
				continue
			}
			perTask := e.estimates.expectedMillis(j.queue.Name, estimateMillis(s.def)) * float64(s.def.GetMilliCpu())
			for _, t := range s.tasks {
				switch {
				case t.done:
				case len(t.runs) > 0:
					work += perTask * float64(100-min(t.runs[0].progressPercent, 100)) / 100
				default:
					work += perTask
				}
			}
		}
	}
	return work
}

// Cancel cancels a job unless it has ended. The call is answered once the job's outcome is
// durable.
func (e *Engine) Cancel(call uint64, id string, now Timestamp) {
	e.places.drop(id)
	j := e.jobs[id]
	if j == nil {
		e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_NOT_FOUND})
		return
	}
	e.closeJob(j, flowpb.Outcome_OUTCOME_CANCELLED, now, "cancelled by the client")
	if j.durable && j.durableOutcome == j.outcome {
		e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: j.state()})
		return
	}
	j.pendingCancels = append(j.pendingCancels, call)
	e.markDirty(j)
}

// Read answers with the durable state of a job.
func (e *Engine) Read(call uint64, id string) {
	j := e.jobs[id]
	if j == nil {
		e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_NOT_FOUND})
		return
	}
	e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: j.state()})
}

// Count answers with the number of durable jobs of a queue that have not begun.
func (e *Engine) Count(call uint64, queue string) {
	pending := int64(0)
	for _, j := range e.openJobs {
		if j.def.GetQueue() == queue && j.durable && !j.begun {
			pending++
		}
	}
	e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, Pending: pending})
}
