package cell

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Limits on workers that fail what they start.
const (
	asideFailures = 3
	asideMin      = 20 * time.Second
	asideMax      = 10 * time.Minute
	coolDown      = time.Second
	stopRetry     = 500 * time.Millisecond
	// absences is how many full reports must miss an attempt before the agent is asked.
	absences = 2
)

// WorkerInfo is what an agent says of itself when it opens a session.
type WorkerInfo struct {
	Name        string
	Rack        string
	Incarnation uint64
}

// worker is a worker as its cell's owner sees it.
type worker struct {
	WorkerInfo
	capacity driver.Resources
	reserved driver.Resources
	seen     time.Time
	// grantEnd is when the worker runs nothing any more, unless it reports before.
	grantEnd   time.Time
	term       uint64
	lost       bool
	draining   bool
	rebuilding bool
	coolUntil  time.Time
	guardUntil time.Time
	failures   int
	asides     int
	asideUntil time.Time
	assigned   map[string]*assignment
	settled    map[string]*peerpb.TaskKey
	ending     map[string]bool
	pressures  []*peerpb.Pressure
	beside     *interfere.Worker
	throttled  map[string]bool
	pressedAt  time.Time
	calmAt     time.Time
	// serving is what the worker's upstreams serve, by service; nil before the first report.
	serving map[string]serving
	// yielding tells that the worker is to yield to tasks, and yielded that its agent has
	// told the entries so.
	yielding bool
	yielded  bool
	// reclaiming tells that services need a worker that yields, so that its tasks are
	// guarded and no more of those that harm are placed there.
	reclaiming bool
	// harmedAt is when the tasks of a yielding worker were last expected to harm.
	harmedAt time.Time
}

// assignment is an attempt that a worker runs or is about to run.
type assignment struct {
	task       string
	attempt    uint32
	class      string
	urgency    int32
	reserved   driver.Resources
	checkpoint string
	// calling tells that a command for the attempt is on its way.
	calling bool
	// incarnation is that of the agent when the attempt was placed.
	incarnation uint64
	// confirmed tells that the attempt may have run.
	confirmed bool
	absent    int
	// stop and evict tell that the attempt is to end.
	stop  bool
	evict bool
	// retryAt is when a stop that was not confirmed is sent again.
	retryAt time.Time
	used    driver.Resources
}

func (o *Owner) workerNamed(name string) *worker {
	w := o.c.workers[name]
	if w == nil {
		w = &worker{
			WorkerInfo: WorkerInfo{Name: name}, term: 1,
			assigned: map[string]*assignment{}, settled: map[string]*peerpb.TaskKey{},
			ending: map[string]bool{}, throttled: map[string]bool{}, beside: interfere.NewWorker(),
		}
		o.c.workers[name] = w
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
	return !w.lost && !w.draining && !w.rebuilding && now.Sub(w.seen) < silentAfter &&
		now.After(w.coolUntil) && now.After(w.asideUntil)
}
