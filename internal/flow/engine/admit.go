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
	// admitShare is how much of the runners' capacity the work that waits can count on.
	admitShare = 0.75
	// retryLeast and retryMost bound the time after which a refused client may return.
	retryLeast = time.Second
	retryMost  = 10 * time.Second
	// settleTime is how long a new owner may take to hear from the runners; nothing is
	// refused for want of room meanwhile.
	settleTime = 1500 * time.Millisecond
)

// Load is what admission looks at.
type Load struct {
	// Capacity is what the queue's runners can do, in thousandths of a processor.
	Capacity int64
	// Backlog is the work of this priority and above that is left, in thousandths of a
	// processor times milliseconds.
	Backlog float64
	// Chain is the job's longest chain of work, in milliseconds.
	Chain float64
	// Allowed is how long the job may wait in all and still be in time, in milliseconds.
	Allowed float64
}

// Admit reports whether a job may still be done in time, and if not when to come back.
func Admit(l Load) (ok bool, retryAfter time.Duration) {
	if l.Capacity <= 0 {
		return false, retryLeast
	}
	wait := l.Backlog / (admitShare * float64(l.Capacity))
	if wait <= l.Allowed {
		return true, 0
	}
	after := time.Duration(wait-l.Allowed) * time.Millisecond
	return false, min(max(after, retryLeast), retryMost)
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
		e.options.Log.Info("job refused", "job", def.GetId(), "queue", def.GetQueue(), "status", status.String(), "reason", reason, "retry-after-ms", after.Milliseconds(), "open", len(e.open))
		e.reply(Reply{Call: call, Status: status, RetryAfter: after, Detail: reason})
	}
	q, known := e.queues[def.GetQueue()]
	if !known {
		// The entry may know a newer configuration than this process.
		q = queueFromTerms(def.GetQueue(), def.GetTerms())
	}
	if err := Check(def); err != nil {
		refuse(flowpb.Status_STATUS_INVALID, 0, err.Error())
		return
	}
	if e.storeFailing {
		refuse(flowpb.Status_STATUS_UNAVAILABLE, retryLeast, "the store does not take writes")
		return
	}
	def.Terms = q.Terms()
	def.AcceptedUnixMillis = now.UnixMillis
	j := &job{def: def, queue: q, arrivedAt: now.Monotonic, pendingSubmits: []uint64{call}}
	first := newOccurrence(j, 0, now.Monotonic)
	if load, sheds := e.load(j, first); sheds && e.settled(now.Monotonic) && !e.options.Policy.NoShedding {
		if ok, after := Admit(load); !ok {
			refuse(flowpb.Status_STATUS_REJECTED, after, fmt.Sprintf("overload: %.0f core-seconds wait for %d cores, a wait of %.0f ms is allowed", load.Backlog/1e6, load.Capacity/1000, load.Allowed))
			return
		}
	}
	e.add(j, first, now)
	e.options.Log.Info("job accepted", "job", j.id(), "queue", q.Name, "steps", len(def.GetSteps()), "chain-ms", first.longestChain(), "open", len(e.open))
}

// add takes in a job that begins now, or at the time that it names.
func (e *Engine) add(j *job, first *occurrence, now Timestamp) {
	if j.def.GetOccurrences() == 0 {
		first.advance(now.Monotonic)
		j.occurrences = append(j.occurrences, first)
		j.nextOccurrence = 1
	}
	e.jobs[j.id()], e.open[j.id()] = j, j
	e.mark(j)
}

// Hand takes in an item of the cell's inbox, which is durable: an entry that did not reach
// the owner has accepted a job, or its cancelling.
func (e *Engine) Hand(name string, h *flowpb.Handed, now Timestamp) {
	def := h.GetJob()
	if def == nil {
		j := e.jobs[h.GetCancel()]
		if j == nil {
			e.stale = append(e.stale, name)
			return
		}
		e.options.Log.Info("cancel taken from the inbox", "job", j.id())
		e.close(j, flowpb.Outcome_OUTCOME_CANCELLED, now, "cancelled by the client")
		j.inboxItems = append(j.inboxItems, name)
		e.mark(j)
		return
	}
	if known := e.jobs[def.GetId()]; known != nil && !known.durable {
		// It was handed in to the owner as well; the item keeps it until a commit holds it.
		known.inboxItems = append(known.inboxItems, name)
		e.mark(known)
		return
	} else if Check(def) != nil || known != nil {
		// It came in twice, or no entry of ours wrote it.
		e.stale = append(e.stale, name)
		return
	}
	if def.GetTerms() == nil {
		def.Terms = &flowpb.Terms{}
	}
	j := &job{def: def, queue: queueFromTerms(def.GetQueue(), def.GetTerms()), inboxItems: []string{name}}
	j.arrivedAt = now.Monotonic - time.Duration(max(0, now.UnixMillis-def.GetAcceptedUnixMillis()))*time.Millisecond
	e.options.Log.Info("job taken from the inbox", "job", j.id(), "queue", def.GetQueue(), "age-ms", (now.Monotonic - j.arrivedAt).Milliseconds())
	e.add(j, newOccurrence(j, 0, now.Monotonic), now)
}

// settled reports whether the engine has had the time to hear from the runners.
func (e *Engine) settled(now time.Duration) bool {
	if e.since == 0 {
		e.since = now
	}
	return now-e.since > settleTime
}

// load returns what admission looks at, and whether the job is one that may be shed.
func (e *Engine) load(j *job, first *occurrence) (l Load, sheds bool) {
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
			l.Capacity += w.info.GetMilliCpu()
		}
	}
	fills := j.fills()
	// While no task waits, what runs leaves room enough, whatever the estimates say of it.
	queued := fills || e.queued(j, first.startedAt)
	for _, id := range slices.Sorted(maps.Keys(e.open)) {
		other := e.open[id]
		if other.queue.Service != j.queue.Service || other.queue.Priority > j.queue.Priority {
			continue
		}
		l.Capacity -= other.lastingUse(fills)
		// What fills takes nothing away from the others.
		if queued && (fills || !other.fills()) {
			l.Backlog += e.workLeft(other)
		}
	}
	if fills && e.rate > 0 {
		l.Capacity = min(l.Capacity, int64(e.rate))
	}
	for _, s := range first.steps {
		l.Backlog += float64(s.def.GetCount()) * e.estimates.expectedMillis(j.queue.Name, s.def.GetEstimateMillis()) * float64(s.def.GetMilliCpu())
	}
	l.Chain = e.estimates.expectedMillis(j.queue.Name, first.longestChain())
	l.Allowed = j.queue.Stretch*l.Chain + float64(j.queue.Target.Milliseconds())
	if !fills {
		// Others give way to it, so that the estimate of its wait is a poor one.
		l.Allowed *= e.options.LateFactor
	}
	return l, true
}

// queueLeast is how long tasks must have waited for a queue to be taken to stand.
const queueLeast = 200 * time.Millisecond

// queued reports whether tasks that reserve what they use wait for room on the runners of a
// job's service.
func (e *Engine) queued(j *job, now time.Duration) bool {
	for _, other := range e.open {
		if other.queue.Service != j.queue.Service || other.queue.Priority > j.queue.Priority {
			continue
		}
		for _, o := range other.occurrences {
			for _, s := range o.steps {
				if o.done || !s.ready || s.def.GetFills() || s.def.GetLasting() {
					continue
				}
				for _, t := range s.tasks {
					if t.pending(now) && now-t.waitingSince > queueLeast {
						return true
					}
				}
			}
		}
	}
	return false
}

// fills reports whether the job's first step uses what others leave.
func (j *job) fills() bool { return j.def.GetSteps()[0].GetFills() }

// lastingUse returns the processors, in thousandths, that the lasting tasks of a job use, as far
// as tasks that fill can't have them if these are asked about.
func (j *job) lastingUse(fills bool) (used int64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if o.done || !s.def.GetLasting() {
				continue
			}
			each := float64(s.def.GetMilliCpu())
			if fills && s.latencyCritical() {
				each *= servingUse
			}
			for _, t := range s.tasks {
				used += int64(float64(len(t.runs)) * each)
			}
		}
	}
	return used
}

// workLeft returns the work that is left of a job's tasks that end.
func (e *Engine) workLeft(j *job) (work float64) {
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
	e.close(j, flowpb.Outcome_OUTCOME_CANCELLED, now, "cancelled by the client")
	if j.durable && j.durableOutcome == j.outcome {
		e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, State: j.state()})
		return
	}
	j.pendingCancels = append(j.pendingCancels, call)
	e.mark(j)
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
	for _, j := range e.open {
		if j.def.GetQueue() == queue && j.durable && !j.begun {
			pending++
		}
	}
	e.reply(Reply{Call: call, Status: flowpb.Status_STATUS_OK, Pending: pending})
}
