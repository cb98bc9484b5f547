package engine

import (
	"slices"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// Moment is a point in time on both clocks.
type Moment struct {
	// Steady counts suspension and never jumps.
	Steady time.Duration
	// Unix is the time of day in milliseconds, which may jump.
	Unix int64
}

// Queue is what the configuration says of a queue.
type Queue struct {
	Name    string
	Service string
	// Priority is 0 for the most urgent.
	Priority    int
	MaxAttempts int
	// Stretch and Target make up the objective: stretch times the longest chain of work and
	// the target more.
	Stretch float64
	Target  time.Duration
	// Advised tells that starts need a ticket of the admission service.
	Advised bool
}

// Terms returns what a job keeps of its queue.
func (q Queue) Terms() *flowpb.Terms {
	return &flowpb.Terms{Service: q.Service, Priority: int32(q.Priority), MaxAttempts: uint32(q.MaxAttempts), Stretch: q.Stretch, TargetMillis: q.Target.Milliseconds()}
}

func queueOf(name string, t *flowpb.Terms) Queue {
	return Queue{Name: name, Service: t.GetService(), Priority: int(t.GetPriority()), MaxAttempts: int(t.GetMaxAttempts()), Stretch: t.GetStretch(), Target: time.Duration(t.GetTargetMillis()) * time.Millisecond}
}

// job is an accepted job.
type job struct {
	def   *flowpb.Job
	queue Queue
	// outcome may be ahead of shown, which is what the store holds.
	outcome   flowpb.Outcome
	shown     flowpb.Outcome
	endedUnix int64
	// durable tells that the store holds the job.
	durable bool
	// taken tells that a commit holds the job, or did.
	taken       bool
	begun       bool
	occurrences []*occurrence
	// next is the number of the occurrence that begins next.
	next    int
	arrived time.Duration
	dirty   bool
	replies []uint64
	cancels []uint64
	// handed are items of the cell's inbox that the next commit takes care of.
	handed []string
}

func (j *job) id() string { return j.def.GetId() }

func (j *job) open() bool { return j.outcome == flowpb.Outcome_OUTCOME_OPEN }

func (j *job) total() int { return max(1, int(j.def.GetOccurrences())) }

// due returns when an occurrence begins, in Unix milliseconds.
func (j *job) due(number int) int64 {
	if j.def.GetOccurrences() == 0 {
		return 0
	}
	return j.def.GetStartUnixMillis() + int64(number)*j.def.GetIntervalMillis()
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	done   bool
	began  time.Duration
}

// step is a step of an occurrence.
type step struct {
	occurrence *occurrence
	def        *flowpb.Step
	number     int
	tasks      []*task
	// left counts the tasks that are not done.
	left  int
	ready bool
	// readyAt is when the last step before it was done.
	readyAt time.Duration
	// chain is the estimate of the longest chain of work from this step on, in milliseconds.
	chain int64
	// tickets of the admission service by runner id.
	tickets map[string]ticket
	// refused are runners that the admission service did not approve, askedAt when it was
	// last asked.
	refused     map[string]bool
	askedAt     time.Duration
	preemptedAt time.Duration
	base        baseHeadroom
}

type ticket struct {
	text  string
	until time.Duration
}

func (s *step) job() *job { return s.occurrence.job }

func (s *step) name() string {
	return s.job().id() + "." + strconv.Itoa(s.occurrence.number) + "." + strconv.Itoa(s.number)
}

func (s *step) need() driver.Resources {
	cpu := s.def.GetMilliCpu()
	if s.def.GetFills() {
		cpu = 0
	}
	return driver.NewResources(cpu, s.def.GetMemoryMb()<<20, s.def.GetAccelerators())
}

// serves reports whether the step's tasks answer users of their own.
func (s *step) serves() bool { return s.def.GetLasting() && s.def.GetTargetMillis() > 0 }

// task is one task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	lastRun    uint32
	failures   uint32
	checkpoint string
	runs       []*run
	// notBefore delays the next start of a task that has just failed.
	notBefore time.Duration
	waitSince time.Duration
	// avoided are the nodes where a run failed, stood still or was slow.
	avoided map[string]bool
}

// avoid has later runs placed elsewhere if there is room.
func (t *task) avoid(w *worker) {
	if t.avoided == nil {
		t.avoided = map[string]bool{}
	}
	t.avoided[w.node] = true
}

func (t *task) name() string { return t.step.name() + "." + strconv.Itoa(t.index) }

// waits reports whether the task wants a first live run.
func (t *task) waits(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore
}

// Phases of a run.
type phase uint8

const (
	// phasePlanned runs are not durable yet.
	phasePlanned phase = iota
	// phaseOrdered runs have been sent, and may be at work.
	phaseOrdered
	phaseStarted
	// phaseStopping runs are to end.
	phaseStopping
)

// run is one live attempt of a task.
type run struct {
	key    driver.RunID
	task   *task
	number uint32
	worker *worker
	phase  phase
	// ordered is when the start was sent, started when it was confirmed.
	ordered time.Duration
	started time.Duration
	stopAt  time.Duration
	reason  string
	percent int
	// advanced is when percent last rose.
	advanced time.Duration
	// gauge is what the runner last measured of the run, at gaugeAt.
	gauge     int64
	gaugeAt   time.Duration
	learnedAt time.Duration
	pace      int
	pacedAt   time.Duration
	// heldAt is since when a task that fills is held back.
	heldAt time.Duration
	cpu    int64
	need   driver.Resources
	// life is the incarnation of the runner that the run was planned for.
	life       *flowpb.Runner
	checkpoint string
	// stored tells that a commit that holds the run is under way or done.
	stored bool
}

// runSet holds the live runs of a worker in the order in which they came, so that decisions
// don't depend on the order of a map.
type runSet struct {
	byID map[driver.RunID]*run
	list []*run
}

func (s *runSet) len() int { return len(s.list) }

func (s *runSet) get(id driver.RunID) *run { return s.byID[id] }

func (s *runSet) add(r *run) {
	r.key = driver.RunID{Task: r.task.name(), Run: r.number}
	s.byID[r.key] = r
	s.list = append(s.list, r)
}

// remove leaves earlier copies of the list as they are, so that runs can be removed while the
// list is gone through.
func (s *runSet) remove(r *run) {
	if s.byID[r.key] != r {
		return
	}
	delete(s.byID, r.key)
	i := slices.Index(s.list, r)
	s.list = append(s.list[:i:i], s.list[i+1:]...)
}
