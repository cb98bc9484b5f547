package engine

import (
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

const (
	// maxClockDrift is how much slower than ours a runner's clock may run, in parts of 1.
	maxClockDrift = 0.02
	// leaseMargin covers scheduling delays between a lease's end and what it kills.
	leaseMargin = 150 * time.Millisecond
	// maxReportAge is how old a report may be for new tasks to be placed on its runner.
	maxReportAge = 1600 * time.Millisecond
)

// worker is a VM with an agent and its runner.
type worker struct {
	node string
	info *flowpb.Runner
	// token fences orders to the runner; it is 0 while the agent has not synchronised.
	token uint64
	// connected tells that a session with the agent is open.
	connected bool
	// synced tells that the runner has listed what it holds under the token.
	synced bool
	// leaseEnd is when nothing that was granted can run any more.
	leaseEnd       time.Duration
	reportedAt     time.Duration
	reportSequence uint64
	runs           runSet
	// orphanRuns are runs that the runner holds and nobody asked for any more.
	orphanRuns map[driver.RunID]time.Duration
	// acknowledgedEnd is the number of the last end whose effect is durable; taken may be ahead.
	acknowledgedEnd uint64
	processedEnd    uint64
	// resyncSentAt is when the agent was last asked to synchronise.
	resyncSentAt time.Duration
	health       health
	speed        slowdown
	usage        usageHistory
	// full is until when the runner is taken to have less room than it says.
	fullUntil time.Duration
}

func newWorker(node string) *worker {
	return &worker{node: node, info: &flowpb.Runner{}, runs: runSet{byID: map[driver.RunID]*run{}}, orphanRuns: map[driver.RunID]time.Duration{}}
}

func (w *worker) capacity() driver.Resources {
	return driver.NewResources(w.info.GetMilliCpu(), w.info.GetMemoryMb()<<20, w.info.GetAccelerators())
}

// free returns what no live run reserves; runs that are being stopped still do.
func (w *worker) free() driver.Resources {
	free := w.capacity()
	for _, r := range w.runs.list {
		free = free.Minus(r.reserved)
	}
	return free
}

const (
	// latencyCriticalUtilization is the share of its processors that a task which serves is taken to use: about
	// the mean load of its users. Tasks that fill get what it leaves.
	latencyCriticalUtilization = 0.4
	// minBestEffortUsePercent is the share, in percent, of its processors that a task which fills is taken
	// to use however far it is held back, so that not too many come back to full pace at once.
	minBestEffortUsePercent = 30
)

// bestEffortCapacity returns the processors, in thousandths, that other tasks leave to tasks that fill.
func (w *worker) bestEffortCapacity() int64 {
	spare := w.free().MilliCPU()
	for _, r := range w.runs.list {
		if r.task.step.latencyCritical() {
			spare += int64((1 - latencyCriticalUtilization) * float64(r.milliCPU))
		}
	}
	return spare
}

// bestEffortAvailable returns the processors, in thousandths, that no task which fills uses yet. Those that are
// held back leave theirs to others, which may disturb nobody.
func (w *worker) bestEffortAvailable() int64 {
	idle := w.bestEffortCapacity()
	for _, r := range w.runs.list {
		if r.task.step.def.GetFills() {
			idle -= r.milliCPU * int64(max(r.pace, minBestEffortUsePercent)) / fullPace
		}
	}
	return idle
}

// hasLatencyCritical reports whether a task on the worker serves its own users.
func (w *worker) hasLatencyCritical() bool {
	for _, r := range w.runs.list {
		if r.task.step.latencyCritical() {
			return true
		}
	}
	return false
}

func (w *worker) rack() string {
	labels := w.info.GetLabels()
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// schedulable reports whether new tasks may be placed on the worker.
func (w *worker) schedulable(now time.Duration) bool {
	return w.connected && w.synced && !w.info.GetDraining() && !w.info.GetAgentLeaving() &&
		now-w.reportedAt < maxReportAge && len(w.orphanRuns) == 0
}

// unused reports whether nothing is known to be on the worker and nobody speaks for it.
func (w *worker) unused() bool { return !w.connected && w.runs.len() == 0 }

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.GetLabels(), label)
}

// sameIncarnation reports whether both are one incarnation of a runner.
func sameIncarnation(a, b *flowpb.Runner) bool {
	return a.GetId() == b.GetId() && a.GetBorn() == b.GetBorn()
}

// attach ties a new run to the worker.
func (w *worker) attach(r *run) {
	r.worker = w
	w.runs.add(r)
}

// leaseExpiry returns the bound of a lease granted at a moment, on the steady clock.
func leaseExpiry(now, grant time.Duration) time.Duration {
	return now + grant + time.Duration(float64(grant)*maxClockDrift) + leaseMargin
}
