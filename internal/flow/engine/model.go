package engine

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/saturate"
)

// Timestamp is a point in time on both the monotonic and the wall clock.
type Timestamp struct {
	// Monotonic includes time in which the machine was suspended, and never jumps.
	Monotonic time.Duration
	// UnixMillis is the wall-clock time, which may jump.
	UnixMillis int64
}

// Queue is the configuration of a queue.
type Queue struct {
	Name    string
	Service string
	// Priority is 0 for the most urgent queues; larger numbers are less urgent.
	Priority    int
	MaxAttempts int
	// Stretch and Target define the objective of a job: Stretch times the estimated duration of
	// its critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Advised is set if the admission service must issue a ticket for each start.
	Advised bool
	// Version is that of the configuration which holds these settings. Entries learn of a configuration at
	// different times.
	Version uint64
}

// Terms returns the queue settings that are stored with each job, for use after the queue has
// been removed from the configuration. They are those that were last in force.
func (q Queue) Terms() *flowpb.Terms {
	return &flowpb.Terms{Service: q.Service, Priority: int32(q.Priority), MaxAttempts: uint32(q.MaxAttempts), Stretch: q.Stretch, TargetMillis: q.Target.Milliseconds(), Advised: q.Advised, Version: q.Version}
}

// queueFromTerms is the inverse of Queue.Terms.
func queueFromTerms(name string, t *flowpb.Terms) Queue {
	return Queue{Name: name, Service: t.GetService(), Priority: int(t.GetPriority()), MaxAttempts: int(t.GetMaxAttempts()), Stretch: t.GetStretch(), Target: saturate.Millis(t.GetTargetMillis()), Advised: t.GetAdvised(), Version: t.GetVersion()}
}

// job is an accepted job.
type job struct {
	def   *flowpb.Job
	queue Queue
	// outcome may be ahead of durableOutcome, the outcome that has been stored and is shown to
	// clients.
	outcome         flowpb.Outcome
	durableOutcome  flowpb.Outcome
	endedUnixMillis int64
	// durable is set once the job itself has been stored.
	durable bool
	// batched is set once the job has been included in a batch, whether or not that batch has
	// been stored yet.
	batched bool
	// begun is set once a run of the job has started.
	begun       bool
	occurrences []*occurrence
	// liveRuns counts the runs of all its tasks.
	liveRuns int
	// nextOccurrence is the number of the next occurrence to begin.
	nextOccurrence int
	arrivedAt      time.Duration
	// dirty is set while the job has changes that are not part of any batch.
	dirty bool
	// pendingSubmits and pendingCancels are ids of calls that are answered once the job's
	// current state is durable.
	pendingSubmits []uint64
	pendingCancels []uint64
	// inboxItems are items of the cell's write-ahead inbox to remove with the next commit.
	inboxItems []string
	// storedState is the state in the last batch, or nil if the job was in none.
	storedState *storedState
	// recordDue is set if the next record must be a full one. recordedDone tells which occurrences the
	// last full record showed as done.
	recordDue    bool
	recordedDone []bool
	// separateRecord is set if the job was loaded from records of its own.
	separateRecord bool
}

// storedState is the part of a job's state that is stored for each job by itself.
type storedState struct {
	outcome flowpb.Outcome
	begun   bool
}

func stateOf(p *flowpb.Progress) *storedState {
	return &storedState{outcome: p.GetOutcome(), begun: p.GetBegun()}
}

// stateDue reports whether the state differs from the one in the last batch.
func (j *job) stateDue() bool {
	return j.storedState == nil || *j.storedState != storedState{outcome: j.outcome, begun: j.begun}
}

func (j *job) id() string { return j.def.GetId() }

func (j *job) open() bool { return j.outcome == flowpb.Outcome_OUTCOME_OPEN }

func (j *job) occurrenceCount() int { return max(1, int(j.def.GetOccurrences())) }

// dueUnixMillis returns when an occurrence is due to begin, or 0 if the job is not recurring. A time
// that is too far away for a number is the last one.
func (j *job) dueUnixMillis(number int) int64 {
	if j.def.GetOccurrences() == 0 {
		return 0
	}
	start, interval := j.def.GetStartUnixMillis(), j.def.GetIntervalMillis()
	if number > 0 && interval > (math.MaxInt64-max(0, start))/int64(number) {
		return math.MaxInt64
	}
	return start + int64(number)*interval
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	job       *job
	number    int
	steps     []*step
	done      bool
	startedAt time.Duration
}

// step is a step of an occurrence.
type step struct {
	occurrence *occurrence
	def        *flowpb.Step
	number     int
	tasks      []*task
	// remaining is the number of tasks that are not done.
	remaining int
	// ready is set once all steps that this one waits for are done, at readyAt.
	ready   bool
	readyAt time.Duration
	// criticalPathMillis is the declared duration of the longest path of steps that begins with
	// this one.
	criticalPathMillis int64
	// tickets holds the tickets issued by the admission service, by runner id.
	tickets map[string]ticket
	// deniedRunners holds the ids of runners that the admission service did not approve.
	deniedRunners map[string]bool
	// approvalRequestedAt is when the admission service was last asked about the step.
	approvalRequestedAt time.Duration
	// preemptedAt is when runs were last preempted to make room for the step.
	preemptedAt time.Duration
	// movedForAt is when a task was last moved to make room for the step.
	movedForAt time.Duration
	// baseline is the headroom of the step's tasks without best-effort tasks beside them.
	baseline baseHeadroom
	// failures and stalls tell where its runs have failed and stalled.
	failures, stalls failureRecord
	// patience doubles, that many times, the time for which its runs may report no progress. It was last
	// raised at patienceRaisedAt.
	patience         int
	patienceRaisedAt time.Duration
}

// ticket allows starts on one incarnation of a runner until it expires.
type ticket struct {
	value       string
	expiresAt   time.Duration
	incarnation *flowpb.Runner
}

func (s *step) job() *job { return s.occurrence.job }

func (s *step) name() string {
	return s.job().id() + "." + strconv.Itoa(s.occurrence.number) + "." + strconv.Itoa(s.number)
}

// resources returns what one task of the step reserves on its worker. Best-effort tasks reserve
// no processors.
func (s *step) resources() driver.Resources {
	cpu := s.def.GetMilliCpu()
	if s.def.GetFills() {
		cpu = 0
	}
	return driver.NewResources(cpu, memoryBytes(s.def.GetMemoryMb()), s.def.GetAccelerators())
}

// memoryBytes returns megabytes in bytes, at most those of maxMemoryMB.
func memoryBytes(megabytes int64) int64 { return min(megabytes, maxMemoryMB) << 20 }

// latencyCritical reports whether the step's tasks run until stopped and serve users of their
// own within a latency target.
func (s *step) latencyCritical() bool { return s.def.GetLasting() && s.def.GetTargetMillis() > 0 }

// task is one task of a step.
type task struct {
	step    *step
	index   int
	done    bool
	lastRun uint32
	// failures counts the failed runs, those of a gang at its first task, where lastFailedRun is the last
	// of them.
	failures, lastFailedRun uint32
	checkpoint              string
	runs                    []*run
	// recorded is the progress in the last record of the task.
	recorded *flowpb.TaskProgress
	// notBefore is the earliest time of the next start, so that a task that fails at once is
	// not restarted in a tight loop.
	notBefore time.Duration
	// failuresInRow counts the failures since a run of the task did well, the last of which was at failedAt.
	failuresInRow int
	failedAt      time.Duration
	waitingSince  time.Duration
	// avoidedNodes are the nodes where a run of the task failed, stalled or was slow. Those of a gang are at
	// its first task.
	avoidedNodes map[string]bool
}

// avoid makes later runs of the task prefer other nodes than the worker's, or those of its gang, which
// fails as a whole.
func (t *task) avoid(w *worker) {
	if t.step.def.GetGang() {
		t = t.step.tasks[0]
	}
	if t.avoidedNodes == nil {
		t.avoidedNodes = map[string]bool{}
	}
	t.avoidedNodes[w.node] = true
}

// avoids reports whether the task avoids the node of a worker.
func (t *task) avoids(w *worker) bool {
	if t.step.def.GetGang() {
		t = t.step.tasks[0]
	}
	return t.avoidedNodes[w.node]
}

func (t *task) name() string { return t.step.name() + "." + strconv.Itoa(t.index) }

// pending reports whether the task has no live run and may be started.
func (t *task) pending(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore
}

// phase is the state of a live run.
type phase uint8

const (
	// phasePlanned runs are not durable yet, and have not been sent to their runner.
	phasePlanned phase = iota
	// phaseSent runs are durable and may have started, but the runner has not confirmed it.
	phaseSent
	// phaseRunning runs have been confirmed by their runner.
	phaseRunning
	// phaseStopping runs are to end, and keep their resources until the runner reports the end.
	phaseStopping
)

// run is one live attempt of a task.
type run struct {
	id     driver.RunID
	task   *task
	number uint32
	worker *worker
	phase  phase
	// sentAt is when the start was sent, startedAt when the runner confirmed it.
	sentAt          time.Duration
	startedAt       time.Duration
	stopSentAt      time.Duration
	stopReason      string
	progressPercent int
	// progressedAt is when progressPercent last changed.
	progressedAt time.Duration
	// gauge is the last value that the runner measured for the run, reported at gaugeAt. For
	// latency-critical tasks it is the tail latency in milliseconds.
	gauge   int64
	gaugeAt time.Duration
	// learnedGaugeAt is the gaugeAt of the last value used to estimate interference.
	learnedGaugeAt time.Duration
	// pace is the share of its processors that the run may use, in percent; it was last changed
	// at pacedAt.
	pace    int
	pacedAt time.Duration
	// paceSentAt is when the pace was last sent. It is repeated until repeatPaceUntil.
	paceSentAt, repeatPaceUntil time.Duration
	// throttledSince is when the pace of a best-effort task last fell below keepBestEffortPace.
	throttledSince time.Duration
	// milliCPU is what the run uses at full pace, also for best-effort tasks, which reserve no
	// processors.
	milliCPU int64
	reserved driver.Resources
	// incarnation identifies the incarnation of the runner that the run was planned for, or that
	// has listed it.
	incarnation *flowpb.Runner
	// takeDownUntil is until when the VM of the run may be taken down by an order that was sent.
	takeDownUntil time.Duration
	// foreignLease is set while the run may have a longer lease than any owner granted.
	foreignLease bool
	checkpoint   string
	// batched is set once the run has been included in a batch, whether or not that batch has
	// been stored yet.
	batched bool
	// confirmed is set once the present incarnation of the runner has shown that it has the run, which
	// it can't start again.
	confirmed bool
}

// runSet holds the live runs of a worker in insertion order, so that decisions do not depend on
// map iteration order.
type runSet struct {
	byID map[driver.RunID]*run
	list []*run
}

func (s *runSet) len() int { return len(s.list) }

func (s *runSet) get(id driver.RunID) *run { return s.byID[id] }

func (s *runSet) add(r *run) {
	r.id = driver.RunID{Task: r.task.name(), Run: r.number}
	s.byID[r.id] = r
	s.list = append(s.list, r)
}

// remove removes a run. It does not modify the old backing array of the list, so that runs can
// be removed while iterating over the list.
func (s *runSet) remove(r *run) {
	if s.byID[r.id] != r {
		return
	}
	delete(s.byID, r.id)
	i := slices.Index(s.list, r)
	s.list = append(s.list[:i:i], s.list[i+1:]...)
}
