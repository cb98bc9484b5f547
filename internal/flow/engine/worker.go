package engine

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

const (
	// maxClockDrift is how much slower than the owner's clock a runner's clock may run, as a
	// fraction.
	maxClockDrift = 0.02
	// leaseMargin covers scheduling delays on the runner between the end of a lease and the
	// killing of its runs.
	leaseMargin = 150 * time.Millisecond
	// maxReportAge is how old a runner's last report may be for new tasks to be placed on it.
	maxReportAge = 1600 * time.Millisecond
)

// worker is a VM with an agent and a runner.
type worker struct {
	node string
	info *flowpb.Runner
	// token fences orders to the runner. It is 0 until the agent has synchronised.
	token uint64
	// connected is set while a session with the agent is open.
	connected bool
	// synced is set once the runner has listed its runs under the token.
	synced bool
	// leaseEnd is when all leases have expired, those of earlier owners included, so that no run
	// can be live any more.
	leaseEnd time.Duration
	// foreignLeaseEnd is until when the runner may hold a lease that no owner granted, which it took from a
	// request meant for an earlier incarnation. leaseEnd is no earlier.
	foreignLeaseEnd time.Duration
	// noLeaseUntil is until when the runner gets no lease, so that the one that it holds ends (see letLeaseEnd).
	noLeaseUntil time.Duration
	// grantedUntil is the end of the last lease that this owner has granted.
	grantedUntil time.Duration
	// reportedAt and reportSequence are the arrival and the number of the last report.
	reportedAt     time.Duration
	reportSequence uint64
	runs           runSet
	// orphanRuns holds the runs that the runner lists although they are not assigned to it, and
	// when their stop was last sent.
	orphanRuns map[driver.RunID]time.Duration
	// acknowledgedEnd is the number of the last end of a run whose effect is durable;
	// processedEnd, the last one that was applied, may be ahead of it.
	acknowledgedEnd uint64
	processedEnd    uint64
	// heldEnds are the ends that may not be acknowledged yet, in order of their numbers.
	heldEnds []heldEnd
	// resyncSentAt is when the agent last synchronised or was asked to.
	resyncSentAt time.Duration
	health       health
	speed        slowdown
	usage        usageHistory
	// colocations caches what best-effort tasks can expect on the worker. It is cleared by each list
	// of runs and by each change of the runs.
	colocations map[bestEffortTask]colocation
	// fullUntil is until when the runner gets no new tasks, after it refused one for lack of
	// resources.
	fullUntil time.Duration
}

// newWorker returns a worker whose runner may hold a lease of an earlier owner until leaseEnd.
func newWorker(node string, leaseEnd time.Duration) *worker {
	return &worker{node: node, leaseEnd: leaseEnd, info: &flowpb.Runner{}, runs: runSet{byID: map[driver.RunID]*run{}}, orphanRuns: map[driver.RunID]time.Duration{}, colocations: map[bestEffortTask]colocation{}}
}

func (w *worker) capacity() driver.Resources {
	return driver.NewResources(w.info.GetMilliCpu(), memoryBytes(w.info.GetMemoryMb()), w.info.GetAccelerators())
}

// free returns the resources that no live run reserves. Runs that are stopping still reserve
// theirs.
func (w *worker) free() driver.Resources {
	free := w.capacity()
	for _, r := range w.runs.list {
		free = free.Minus(r.reserved)
	}
	return free
}

// finiteReservations returns the resources that become free by themselves as finite tasks end and
// stops take effect.
func (w *worker) finiteReservations() driver.Resources {
	var reserved driver.Resources
	for _, r := range w.runs.list {
		if !r.task.step.def.GetLasting() || r.phase == phaseStopping {
			reserved = reserved.Plus(r.reserved)
		}
	}
	return reserved
}

const (
	// latencyCriticalUtilization is the share of its reserved processors that a latency-critical
	// task is assumed to use, about the mean load of its users. The rest is available to
	// best-effort tasks.
	latencyCriticalUtilization = 0.4
	// minBestEffortUsePercent is the least share of its processors, in percent, that a
	// best-effort task is assumed to use at any pace, so that the processors are not
	// overcommitted too far when many tasks return to full pace at once.
	minBestEffortUsePercent = 30
)

// bestEffortCapacity returns the processors, in thousandths, that other tasks leave to
// best-effort tasks.
func (w *worker) bestEffortCapacity() int64 {
	capacity := w.free().MilliCPU()
	for _, r := range w.runs.list {
		if r.task.step.latencyCritical() {
			capacity += int64((1 - latencyCriticalUtilization) * float64(r.milliCPU))
		}
	}
	return capacity
}

// bestEffortAvailable returns the processors, in thousandths, that are available to further
// best-effort tasks. Tasks with a reduced pace leave part of theirs to others, which may not
// interfere with the latency-critical tasks on the worker.
func (w *worker) bestEffortAvailable() int64 {
	available := w.bestEffortCapacity()
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() {
			available -= r.milliCPU * int64(max(r.pace, minBestEffortUsePercent)) / fullPace
		}
	}
	return available
}

// hasLatencyCritical reports whether a latency-critical task runs on the worker.
func (w *worker) hasLatencyCritical() bool {
	for _, r := range w.runs.list {
		if r.task.step.latencyCritical() {
			return true
		}
	}
	return false
}

// rack returns the last label of the runner, which names its rack.
func (w *worker) rack() string {
	labels := w.info.GetLabels()
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// expectForeignLease records that the runner may hold a lease of a length, from at the latest on, that no owner
// granted.
func (w *worker) expectForeignLease(from, length time.Duration) {
	w.foreignLeaseEnd = max(w.foreignLeaseEnd, leaseExpiry(from, length, length))
	w.leaseEnd = max(w.leaseEnd, w.foreignLeaseEnd)
}

// hasOtherIncarnation reports whether the owner, or the one before, knew the runner of info in another
// incarnation.
func (w *worker) hasOtherIncarnation(info *flowpb.Runner) bool {
	isOther := func(known *flowpb.Runner) bool {
		return known.GetId() == info.GetId() && known.GetBorn() != info.GetBorn()
	}
	return isOther(w.info) || slices.ContainsFunc(w.runs.list, func(r *run) bool { return isOther(r.incarnation) })
}

// schedulable reports whether new tasks may be placed on the worker. An agent without a lease of
// this owner may refuse starts, and a runner that has not announced itself may be of another kind than before.
func (w *worker) schedulable(now time.Duration) bool {
	return w.connected && w.synced && now < w.grantedUntil && now >= w.noLeaseUntil && !w.info.GetDraining() && !w.info.GetAgentLeaving() && !w.info.GetUnannounced() &&
		now-w.reportedAt < maxReportAge && len(w.orphanRuns) == 0
}

// unused reports whether the worker has neither a session nor runs.
func (w *worker) unused() bool { return !w.connected && w.runs.len() == 0 }

// hasLabel reports whether the runner has a label; the empty label matches every runner.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.GetLabels(), label)
}

// sameIncarnation reports whether a and b are the same incarnation of the same runner.
func sameIncarnation(a, b *flowpb.Runner) bool {
	return a.GetId() == b.GetId() && a.GetBorn() == b.GetBorn()
}

// attach adds a new run to the worker.
func (w *worker) attach(r *run) {
	r.worker = w
	w.runs.add(r)
	clear(w.colocations)
}

// detach removes a run from the worker.
func (w *worker) detach(r *run) {
	w.runs.remove(r)
	clear(w.colocations)
}

// leaseExpiry returns when a lease granted now, and every lease granted before for a time that ends
// no later, has certainly expired on the runner, on the owner's monotonic clock. No lease is longer
// than longest.
func leaseExpiry(now, grant, longest time.Duration) time.Duration {
	return now + grant + time.Duration(float64(longest)*maxClockDrift) + leaseMargin
}
