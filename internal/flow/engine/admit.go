package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Admission answers bursts beyond what the runners can do: a job that can't be done within
// its objective any more, because of the work of its priority and above that waits before
// it, would only make others late. It is refused at once, with the time by which that work
// will be done.
const (
	// usableCapacityShare is how much of the runners' capacity the work that waits can count on.
	usableCapacityShare = 0.75
	// minRetryAfter and retryMost bound the time after which a refused client may return.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// warmUpTime is how long a new owner may take to hear from the runners; nothing is
	// refused for want of room meanwhile.
	warmUpTime = 1500 * time.Millisecond
)

// Load is what admission looks at.
type Load struct {
	// MilliCPU is what the queue's runners can do, in thousandths of a processor.
	MilliCPU int64
	// Backlog is the work of this priority and above that is left, in thousandths of a
	// processor times milliseconds.
	Backlog float64
	// CriticalPathMillis is the job's longest chain of work, in milliseconds.
	CriticalPathMillis float64
	// AllowedMillis is how long the job may wait in all and still be in time, in milliseconds.
	AllowedMillis float64
}

// Admit reports whether a job may still be done in time, and if not when to come back.
func Admit(l Load) (ok bool, retryAfter time.Duration) {
	if l.MilliCPU <= 0 {
		return false, minRetryAfter
	}
	wait := l.Backlog / (usableCapacityShare * float64(l.MilliCPU))
	if wait <= l.AllowedMillis {
		return true, 0
	}
	after := time.Duration(wait-l.AllowedMillis) * time.Millisecond
	return false, min(max(after, minRetryAfter), maxRetryAfter)
}

// Submit takes in a job. The reply comes once the job is durable, or at once if it is refused.
func (e *Engine) Submit(call uint64, def *flowpb.Job, now Timestamp) {
	if j := e.jobs[def.GetId()]; j != nil {
		if j.durable {
			e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: j.state()})
			return
		}
		j.pendingSubmits = append(j.pendingSubmits, call)
		return
	}
	refuse := func(status flowpb.Status, after time.Duration, reason string) {
		e.options.Log.Info("job refused", "job", def.GetId(), "queue", def.GetQueue(), "status", status.String(), "reason", reason, "retry-after-ms", after.Milliseconds(), "open", len(e.openJobs))
		e.reply(Reply{Call: call, Status: status, RetryAfter: after, Detail: reason})
	}
	q, known := e.queues[def.GetQueue()]
	if !known {
		// The entry may know a newer configuration than this process.
		q = queueFromTerms(def.GetQueue(), def.GetTerms())
	}
	if err := Validate(def); err != nil {
		refuse(flowpb.Status_STATUS_INVALID, 0, err.Error())
		return
	}
	if e.storeFailing {
		refuse(flowpb.Status_STATUS_UNAVAILABLE, minRetryAfter, "the store is not accepting writes")
		return
	}
	def.Terms = q.Terms()
	def.AcceptedUnixMillis = now.UnixMillis
	j := &job{def: def, queue: q, arrivedAt: now.Monotonic, pendingSubmits: []uint64{call}}
	first := newOccurrence(j, 0, now.Monotonic)
	if load, sheds := e.admissionLoad(j, first); sheds && e.warmedUp(now.Monotonic) && !e.options.Policy.NoShedding {
		if ok, after := Admit(load); !ok {
			refuse(flowpb.Status_STATUS_REJECTED, after, fmt.Sprintf("overload: %.0f core-seconds wait for %d cores, a wait of %.0f ms is allowed", load.Backlog/1e6, load.MilliCPU/1000, load.AllowedMillis))
			return
		}
	}
	e.addJob(j, first, now)
	e.options.Log.Info("job accepted", "job", j.id(), "queue", q.Name, "steps", len(def.GetSteps()), "chain-ms", first.criticalPathMillis(), "open", len(e.openJobs))
}

// addJob takes in a job that begins now, or at the time that it names.
func (e *Engine) addJob(j *job, first *occurrence, now Timestamp) {
	if j.def.GetOccurrences() == 0 {
		first.advance(now.Monotonic)
		j.occurrences = append(j.occurrences, first)
		j.nextOccurrence = 1
	}
	e.jobs[j.id()], e.openJobs[j.id()] = j, j
	e.markDirty(j)
}

// ProcessInboxItem takes in an item of the cell's inbox, which is durable: an entry that did not reach
// the owner has accepted a job, or its cancelling.
func (e *Engine) ProcessInboxItem(name string, h *flowpb.Handed, now Timestamp) {
	def := h.GetJob()
	if def == nil {
		j := e.jobs[h.GetCancel()]
		if j == nil {
			e.staleInboxItems = append(e.staleInboxItems, name)
			return
		}
		e.options.Log.Info("cancel taken from the inbox", "job", j.id())
		e.closeJob(j, flowpb.Outcome_OUTCOME_CANCELLED, now, "cancelled by the client")
		j.inboxItems = append(j.inboxItems, name)
		e.markDirty(j)
		return
	}
	if known := e.jobs[def.GetId()]; known != nil && !known.durable {
		// It was handed in to the owner as well; the item keeps it until a commit holds it.
		known.inboxItems = append(known.inboxItems, name)
		e.markDirty(known)
		return
	} else if Validate(def) != nil || known != nil {
		// It came in twice, or no entry of ours wrote it.
		e.staleInboxItems = append(e.staleInboxItems, name)
		return
	}
	if def.GetTerms() == nil {
		def.Terms = &flowpb.Terms{}
	}
	j := &job{def: def, queue: queueFromTerms(def.GetQueue(), def.GetTerms()), inboxItems: []string{name}}
	j.arrivedAt = now.Monotonic - time.Duration(max(0, now.UnixMillis-def.GetAcceptedUnixMillis()))*time.Millisecond
	e.options.Log.Info("job taken from the inbox", "job", j.id(), "queue", def.GetQueue(), "age-ms", (now.Monotonic - j.arrivedAt).Milliseconds())
	e.addJob(j, newOccurrence(j, 0, now.Monotonic), now)
}

// warmedUp reports whether the engine has had the time to hear from the runners.
func (e *Engine) warmedUp(now time.Duration) bool {
	if e.startedAt == 0 {
		e.startedAt = now
	}
	return now-e.startedAt > warmUpTime
}

// admissionLoad returns what admission looks at, and whether the job is one that may be shed.
func (e *Engine) admissionLoad(j *job, first *occurrence) (l Load, sheds bool) {
	for _, s := range j.def.GetSteps() {
		if s.GetLasting() {
			return l, false
		}
	}
	if j.def.GetOccurrences() > 0 {
		return l, false
	}
	for _, w := range e.workers {
		if w.info.GetService() == j.queue.Service && w.synced {
			l.MilliCPU += w.info.GetMilliCpu()
		}
	}
	fills := j.bestEffort()
	// While no task waits, what runs leaves room enough, whatever the estimates say of it.
	queued := fills || e.hasQueuedTasks(j, first.startedAt)
	for _, id := range slices.Sorted(maps.Keys(e.openJobs)) {
		other := e.openJobs[id]
		if other.queue.Service != j.queue.Service || other.queue.Priority > j.queue.Priority {
			continue
		}
		l.MilliCPU -= other.longRunningMilliCPU(fills)
		// What fills takes nothing away from the others.
		if queued && (fills || !other.bestEffort()) {
			l.Backlog += e.remainingWork(other)
		}
	}
	if fills && e.throughput > 0 {
		l.MilliCPU = min(l.MilliCPU, int64(e.throughput))
	}
	for _, s := range first.steps {
		l.Backlog += float64(s.def.GetCount()) * e.estimates.expectedMillis(j.queue.Name, s.def.GetEstimateMillis()) * float64(s.def.GetMilliCpu())
	}
	l.CriticalPathMillis = e.estimates.expectedMillis(j.queue.Name, first.criticalPathMillis())
	l.AllowedMillis = j.queue.Stretch*l.CriticalPathMillis + float64(j.queue.Target.Milliseconds())
	if !fills {
		// Others give way to it, so that the estimate of its wait is a poor one.
		l.AllowedMillis *= e.options.LateFactor
	}
	return l, true
}

// minQueueingDelay is how long tasks must have waited for a queue to be taken to stand.
const minQueueingDelay = 200 * time.Millisecond

// hasQueuedTasks reports whether tasks that reserve what they use wait for room on the runners of a
// job's service.
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

// bestEffort reports whether the job's first step uses what others leave.
func (j *job) bestEffort() bool { return j.def.GetSteps()[0].GetFills() }

// longRunningMilliCPU returns the processors, in thousandths, that the lasting tasks of a job use, as far
// as tasks that fill can't have them if these are asked about.
func (j *job) longRunningMilliCPU(fills bool) (used int64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if o.done || !s.def.GetLasting() {
				continue
			}
			each := float64(s.def.GetMilliCpu())
			if fills && s.latencyCritical() {
				each *= latencyCriticalUtilization
			}
			for _, t := range s.tasks {
				used += int64(float64(len(t.runs)) * each)
			}
		}
	}
	return used
}

// remainingWork returns the work that is left of a job's tasks that end.
func (e *Engine) remainingWork(j *job) (work float64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if o.done || s.def.GetLasting() {
				continue
			}
			each := e.estimates.expectedMillis(j.queue.Name, s.def.GetEstimateMillis()) * float64(s.def.GetMilliCpu())
			for _, t := range s.tasks {
				switch {
				case t.done:
				case len(t.runs) > 0:
					work += each * float64(100-min(t.runs[0].progressPercent, 100)) / 100
				default:
					work += each
				}
			}
		}
	}
	return work
}

// Cancel ends a job; the reply comes once that is durable.
func (e *Engine) Cancel(call uint64, id string, now Timestamp) {
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

// Read tells the state of a job as the store holds it.
func (e *Engine) Read(call uint64, id string) {
	j := e.jobs[id]
	if j == nil {
		e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_NOT_FOUND})
		return
	}
	e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: j.state()})
}

// Count tells how many accepted jobs of a queue have not begun.
func (e *Engine) Count(call uint64, queue string) {
	pending := int64(0)
	for _, j := range e.openJobs {
		if j.def.GetQueue() == queue && j.durable && !j.begun {
			pending++
		}
	}
	e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, Pending: pending})
}
