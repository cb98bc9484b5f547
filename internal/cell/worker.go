package cell

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Limits and delays for workers that fail or refuse attempts, and for stop commands.
const (
	refusalBackoff    = time.Second
	stopRetryInterval = 500 * time.Millisecond
	// absentReportsMin is the number of consecutive full reports that must omit an attempt before
	// the owner sends a stop command, whose reply shows whether it ran.
	absentReportsMin = 2
)

// WorkerInfo identifies a worker and its agent's incarnation, as announced when the agent opens a
// session.
type WorkerInfo struct {
	Name        string
	Rack        string
	Incarnation uint64
}

// worker is the owner's view of a worker.
type worker struct {
	WorkerInfo
	capacity   driver.Resources
	reserved   driver.Resources
	lastReport time.Time
	// grantEnd is when the worker's grant has expired by any clock, unless a further report renews
	// it.
	grantEnd     time.Time
	term         uint64
	lost         bool
	draining     bool
	rebuilding   bool
	backoffUntil time.Time
	nextThrottle time.Time
	// failedJobs are the jobs of the last failures in a row, ejectedFor those that led to the last ejection.
	failedJobs         []string
	ejectedFor         []string
	ejections          int
	ejectedUntil       time.Time
	assigned           map[string]*assignment
	toAcknowledge      map[string]*peerpb.TaskKey
	pendingEnds        map[string]bool
	pressures          []*peerpb.Pressure
	interferenceState  *interfere.Worker
	throttled          map[string]bool
	evictPressureSince time.Time
	lowPressureSince   time.Time
	// services maps each service on the worker to its slots; it is nil until the first report.
	services map[string]serviceUsage
	// yielding is set while the worker yields to tasks, and yieldAnnounced once its agent has
	// announced that to the entries.
	yielding       bool
	yieldAnnounced bool
	// reclaiming is set while services need this yielding worker back. Guards apply to its tasks
	// then, and no more interfering tasks are placed there.
	reclaiming bool
	// lastInterference is when the tasks of a yielding worker were last expected to push its
	// services past the throttle threshold, or when it began to yield.
	lastInterference time.Time
}

// assignment is an attempt that is placed on a worker and has not ended.
type assignment struct {
	task       string
	attempt    uint32
	class      string
	urgency    int32
	reserved   driver.Resources
	checkpoint string
	// placedAt is zero if an earlier owner placed the attempt.
	placedAt time.Time
	// commandPending is set while a start or stop command for the attempt is in flight.
	commandPending bool
	// incarnation is the agent's incarnation at the time of placement.
	incarnation uint64
	// mayHaveRun is set once the agent has accepted or reported the attempt.
	mayHaveRun    bool
	absentReports int
	// stopRequested and evictRequested are set if the attempt is to be stopped; an eviction
	// includes a checkpoint.
	stopRequested  bool
	evictRequested bool
	// nextStop is when an unconfirmed stop command is sent again.
	nextStop time.Time
	used     driver.Resources
}

func (o *Owner) ensureWorker(name string) *worker {
	w := o.control.workers[name]
	if w == nil {
		w = &worker{
			WorkerInfo: WorkerInfo{Name: name}, term: 1,
			assigned: map[string]*assignment{}, toAcknowledge: map[string]*peerpb.TaskKey{},
			pendingEnds: map[string]bool{}, throttled: map[string]bool{}, interferenceState: interfere.NewWorker(),
		}
		o.control.workers[name] = w
	}
	return w
}

func (w *worker) assign(a *assignment) {
	w.assigned[a.task] = a
	w.reserved = w.reserved.Plus(a.reserved)
}

func (w *worker) unassign(task string) {
	if a := w.assigned[task]; a != nil {
		delete(w.assigned, task)
		delete(w.throttled, task)
		w.reserved = w.reserved.Minus(a.reserved)
	}
}

func (w *worker) free() driver.Resources { return w.capacity.Minus(w.reserved) }

// usable reports whether tasks may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return !w.lost && !w.draining && !w.rebuilding && now.Sub(w.lastReport) < reportAgeMax &&
		now.After(w.backoffUntil) && now.After(w.ejectedUntil)
}
