package engine

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// newTestEngine returns an engine with a connected runner of 8 processors and 64,000 MB.
func newTestEngine() (*Engine, Timestamp) {
	now := Timestamp{Monotonic: time.Hour, UnixMillis: 1_000_000}
	e := New(Options{Epoch: 1, AcquiredAt: now.Monotonic, Lease: 4 * time.Second, Retention: time.Minute, LateFactor: 3, Log: slog.New(slog.DiscardHandler)})
	e.SetGrantUntil(now.Monotonic + time.Hour)
	e.Configure(map[string]Queue{testQueue.Name: testQueue})
	announceTestRunner(e, now, &flowpb.Runner{Id: "i-1", Born: 1, Service: "hub", MilliCpu: 8000, MemoryMb: 64_000})
	return e, now
}

func announceTestRunner(e *Engine, now Timestamp, info *flowpb.Runner) {
	e.Connect("n")
	e.Sync("n", &flowpb.Sync{Runner: info}, now)
	e.Report("n", &flowpb.Report{Token: e.workers["n"].token, Sequence: 1, Runner: info, Listed: true}, now)
}

// submitTestJob submits a job and returns the status of an answer that comes at once.
func submitTestJob(e *Engine, now Timestamp, def *flowpb.Job) flowpb.Status {
	def.Queue = testQueue.Name
	e.Submit(1, def, now)
	for _, r := range e.TakeEffects().Replies {
		return r.Status
	}
	return flowpb.Status_STATUS_UNKNOWN
}

// openTasks returns the tasks of all open occurrences of a job.
func openTasks(j *job) (n int) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			n += s.remaining
		}
	}
	return n
}

// TestOccurrencesDueAtOnce checks that a job of which very many occurrences are due at once does not
// take all memory of its owner, and that of the next one, which restores it.
func TestOccurrencesDueAtOnce(t *testing.T) {
	is := is.New(t)
	for _, restored := range []bool{false, true} {
		e, now := newTestEngine()
		def := &flowpb.Job{Id: "j", Queue: testQueue.Name, Occurrences: 30_000, Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1000}}}
		if restored {
			is.NoErr(e.Restore(def, &flowpb.Progress{}, &flowpb.Progress{}, false, now))
		} else {
			e.ProcessInboxItem("j", &flowpb.Handed{Job: def}, now)
		}
		e.Tick(now)
		is.True(openTasks(e.jobs["j"]) <= maxTasks)
		is.True(len(e.jobs["j"].occurrences) <= maxOpenOccurrences)
		is.True(openTasks(e.jobs["j"]) > 0)
	}
	e, now := newTestEngine()
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "j", Occurrences: math.MaxUint32, Steps: []*flowpb.Step{{Count: 1}}}), flowpb.Status_STATUS_INVALID)
}

// TestNeedsThatOverflow checks that a task which needs more memory than fits a number is not placed as
// one that needs none.
func TestNeedsThatOverflow(t *testing.T) {
	is := is.New(t)
	e, now := newTestEngine()
	// 2^44 MB are 2^64 bytes.
	huge := []*flowpb.Step{{Count: 1, MemoryMb: 1 << 44}}
	is.NoErr(e.Restore(&flowpb.Job{Id: "j", Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: huge}, &flowpb.Progress{Occurrences: []*flowpb.Occurrence{{Tasks: []*flowpb.TaskProgress{{}}}}}, &flowpb.Progress{}, false, now))
	e.Place(now)
	is.Equal(e.workers["n"].runs.len(), 0)
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "k", Steps: huge}), flowpb.Status_STATUS_INVALID)
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "l", Steps: []*flowpb.Step{{Count: 1, MilliCpu: math.MaxInt64}}}), flowpb.Status_STATUS_INVALID)
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "m", Steps: []*flowpb.Step{{Count: 1, Accelerators: math.MaxInt64}}}), flowpb.Status_STATUS_INVALID)

	// A runner's memory that overflows would leave no room on it.
	announceTestRunner(e, now, &flowpb.Runner{Id: "i-1", Born: 1, Service: "hub", MilliCpu: 8000, MemoryMb: 1 << 43})
	is.True(e.workers["n"].capacity().MemoryBytes() > 0)
}

// TestTimesThatOverflow checks that an occurrence whose time is too far away for a number is not due,
// and that estimates of any size give an order of jobs.
func TestTimesThatOverflow(t *testing.T) {
	is := is.New(t)
	e, now := newTestEngine()
	step := []*flowpb.Step{{Count: 1, MilliCpu: 100}}
	e.ProcessInboxItem("j", &flowpb.Handed{Job: &flowpb.Job{Id: "j", Occurrences: 5, StartUnixMillis: 10, IntervalMillis: math.MaxInt64, Steps: step}}, now)
	e.Tick(now)
	is.Equal(len(e.jobs["j"].occurrences), 1)
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "k", Occurrences: 5, IntervalMillis: math.MaxInt64, Steps: step}), flowpb.Status_STATUS_INVALID)
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "l", Occurrences: 5, StartUnixMillis: math.MinInt64, Steps: step}), flowpb.Status_STATUS_INVALID)

	for _, estimate := range []int64{math.MaxInt64, math.MaxInt64 / 1000, 1 << 62, math.MinInt64} {
		e, now = newTestEngine()
		def := &flowpb.Job{Id: "j", Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{{Count: 1, MilliCpu: 100, EstimateMillis: estimate}, {Count: 1, MilliCpu: 100, EstimateMillis: estimate, After: []uint32{0}}}}
		e.ProcessInboxItem("j", &flowpb.Handed{Job: def}, now)
		o := e.jobs["j"].occurrences[0]
		is.True(o.criticalPathMillis() >= 0)
		is.True(e.remainingWork(e.jobs["j"]) >= 0)
		p := e.pendingStep(o.steps[0], 0, now.Monotonic)
		is.True(p.Attainability != Unattainable || estimate < 0)
		is.True(e.expectedDuration(&run{task: o.steps[0].tasks[0]}) > 0)
	}
}

// TestLearnedGarbage checks that stored estimates that are no numbers do not take the place of those
// that a new owner begins with: they would never be corrected.
func TestLearnedGarbage(t *testing.T) {
	is := is.New(t)
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		e, _ := newTestEngine()
		e.RestoreLearned(&flowpb.Learned{
			Rate:   x,
			Pairs:  []*flowpb.Pair{{Serving: "a", Filling: "b", Value: x, Variance: 0.1}, {Serving: "c", Filling: "d", Value: 0.1, Variance: x}, {Serving: "e", Filling: "f", Value: 0.2, Variance: 0.3}},
			Biases: []*flowpb.Bias{{Queue: "q", Factor: x}, {Queue: "r", Factor: 2}},
		})
		bound := e.interferenceBound("a", "b") + e.interferenceBound("c", "d")
		is.True(bound >= 0 && bound < 1)
		is.Equal(e.interference[imagePair{"e", "f"}].value, 0.2)
		is.Equal(e.estimates.expectedMillis("q", 1000), 1000.0)
		is.Equal(e.estimates.expectedMillis("r", 1000), 2000.0)
		is.True(e.throughput >= 0 && e.throughput <= maxThroughput)
	}
}

// TestEndInTheFirstList checks that a run of which start and end are reported at once does not keep its
// runner from being found slow: the logarithm of no time at all is infinite.
func TestEndInTheFirstList(t *testing.T) {
	is := is.New(t)
	var s slowdown
	s.observe(0)
	for range 100 {
		s.observe(20)
	}
	is.True(s.slow())
}

// TestLargeGangKeepsRunLimit guards against a gang that brings a runner beyond maxWorkerRuns, since its tasks get their
// runs only when all of them have room.
func TestLargeGangKeepsRunLimit(t *testing.T) {
	is := is.New(t)
	e, now := newTestEngine()
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "j", Steps: []*flowpb.Step{{Count: maxWorkerRuns + 1, MilliCpu: 1, Gang: true}}}), flowpb.Status_STATUS_UNKNOWN)
	e.Place(now)
	is.Equal(e.Stats().Runs, 0)
	is.Equal(submitTestJob(e, now, &flowpb.Job{Id: "k", Steps: []*flowpb.Step{{Count: maxWorkerRuns, MilliCpu: 1, Gang: true}}}), flowpb.Status_STATUS_UNKNOWN)
	e.Place(now)
	is.Equal(e.Stats().Runs, maxWorkerRuns)
}

// TestTakeoverRestartsOccurrence guards against an occurrence whose objective counts from the last takeover, so that it is
// ordered behind jobs that have waited less.
func TestTakeoverRestartsOccurrence(t *testing.T) {
	is := is.New(t)
	due := func(e *Engine, now Timestamp) time.Duration {
		return now.Monotonic - e.jobs["j"].occurrences[0].startedAt
	}
	e, now := newTestEngine()
	def := &flowpb.Job{Id: "j", Queue: testQueue.Name, Occurrences: 1, StartUnixMillis: now.UnixMillis - 9000, Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1000}}}
	e.ProcessInboxItem("j", &flowpb.Handed{Job: def}, now)
	e.Tick(now)
	is.Equal(due(e, now), 9*time.Second)
	next, now := newTestEngine()
	is.NoErr(next.Restore(def, e.jobs["j"].progress(), &flowpb.Progress{}, false, now))
	is.Equal(due(next, now), 9*time.Second)
}

// TestGangFailuresOfEarlierVersions guards against a gang that counts the members that failed, as earlier versions stored
// them, as failures of the gang by themselves, and against one that forgets them.
func TestGangFailuresOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	def := &flowpb.Job{Id: "j1", Steps: []*flowpb.Step{{Count: 3, Gang: true}}}
	// Two members failed in the first run, one in the second.
	stored := &flowpb.Progress{Occurrences: []*flowpb.Occurrence{{Tasks: []*flowpb.TaskProgress{{Run: 2}, {Run: 2, Failures: 1}, {Run: 2, Failures: 2}}}}}
	j, err := restore(def, stored, Timestamp{}, nil)
	is.NoErr(err)
	tasks := j.occurrences[0].steps[0].tasks
	is.Equal(tasks[1].countFailure(3), uint32(3))
	is.Equal(tasks[2].countFailure(3), uint32(3)) // the same run
	is.Equal(tasks[0].countFailure(4), uint32(4))
}
