package engine

import (
	"slices"
	"strconv"
	"strings"
)

// Once the end of a completed run is acknowledged, nothing shows any more that the task has run, and it
// must not start again. The end is held back while the start of another copy may still be carried out.
// Acknowledgements are cumulative, so that this holds back the later ends of the runner as well.

// heldEnd is the end of a completed run that is held back.
type heldEnd struct {
	number uint64
	// task is the one that has ended. It is nil if its copies aren't known, since only the owner before
	// knew them.
	task *task
	// untilLease is set if the end is held back until the runner gets a lease again.
	untilLease bool
}

// holdEnd holds back the end of a completed run if another copy of its task may still start.
func (e *Engine) holdEnd(w *worker, number uint64, t *task) {
	if t.done && t.mayStart() {
		w.heldEnds = append(w.heldEnds, heldEnd{number: number, task: t})
	}
}

// holdOrphanEnd holds back the end of a completed run that is not assigned any more. The store does not tell
// of which copies a task that is done was started, so that a new owner waits for the leases of the
// earlier ones.
func (e *Engine) holdOrphanEnd(w *worker, number uint64, j *job, t *task) {
	if t != nil {
		e.holdEnd(w, number, t)
	}
	if !e.earlierLeasesEnded && j != nil && (t == nil || t.done && t.step.def.GetSpeculative()) {
		w.heldEnds = append(w.heldEnds, heldEnd{number: number})
	}
}

// letLeaseEnd holds back the end of a completed run until the lease under which it ended is over. The runner's
// incarnation took the run from an order that was meant for the one before, with a longer lease than an owner
// granted, and the task was started again meanwhile. Such an end does not count once the lease has ended before
// the acknowledgement.
func (e *Engine) letLeaseEnd(w *worker, number uint64) {
	w.noLeaseUntil = max(w.noLeaseUntil, w.leaseEnd)
	w.heldEnds = append(w.heldEnds, heldEnd{number: number, untilLease: true})
	e.options.Log.Warn("runner gets no lease until the one that it holds has ended", "node", w.node, "runner", w.info.GetId(), "end", number)
}

// holds reports whether an end is still held back.
func (e *Engine) holds(w *worker, h heldEnd) bool {
	switch {
	case h.untilLease:
		return w.noLeaseUntil > 0
	case h.task == nil:
		return !e.earlierLeasesEnded
	}
	return h.task.mayStart()
}

// acknowledgeable returns the number of the last end of a worker that may be acknowledged, once all
// ends that were processed are stored.
func (e *Engine) acknowledgeable(w *worker) uint64 {
	w.heldEnds = slices.DeleteFunc(w.heldEnds, func(h heldEnd) bool { return !e.holds(w, h) })
	if len(w.heldEnds) > 0 {
		return w.heldEnds[0].number - 1
	}
	return w.processedEnd
}

// mayStart reports whether a run of the task was sent of which its runner has not shown whether it has
// started.
func (t *task) mayStart() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.phase != phasePlanned && !r.confirmed })
}

// findTask returns the job and the task of a name, each nil if it isn't known. Of a job that had ended
// before this owner the tasks are not known.
func (e *Engine) findTask(name string) (j *job, t *task) {
	id := name
	var numbers [3]int
	for i := range slices.Backward(numbers[:]) {
		dot := strings.LastIndexByte(id, '.')
		if dot < 0 {
			return nil, nil
		}
		n, err := strconv.Atoi(id[dot+1:])
		if err != nil || n < 0 {
			return nil, nil
		}
		id, numbers[i] = id[:dot], n
	}
	if j = e.jobs[id]; j == nil {
		return nil, nil
	}
	for _, o := range j.occurrences {
		if o.number == numbers[0] && numbers[1] < len(o.steps) && numbers[2] < len(o.steps[numbers[1]].tasks) {
			t = o.steps[numbers[1]].tasks[numbers[2]]
			break
		}
	}
	if t != nil && t.name() != name {
		// It is another spelling of the numbers, which names no task.
		return nil, nil
	}
	return j, t
}
