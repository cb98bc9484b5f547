package engine

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/joblog"
)

const (
	modelLease   = 4 * time.Second
	modelRunners = 3
	// modelMaxLease is the longest lease that a runner accepts.
	modelMaxLease = 6 * time.Second
	// modelClockDrift is how much longer a lease may last by the clock of a runner, the most that
	// the platform allows.
	modelClockDrift = 1.02
	// modelSchedules and modelScheduleSteps are the default number of schedules and their mean
	// length. Shorter schedules find few faults.
	modelSchedules     = "3000"
	modelScheduleSteps = "100"
)

// setFlagDefault sets a flag of package rapid for this test, unless it was given on the command
// line.
func setFlagDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	given := f.Value.String()
	if given != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(given) })
}

// TestTakeover runs random schedules of takeovers, commits, reports, orders and failures, and
// checks two invariants: no task of a step that isn't speculative has two runs at once, and no task
// starts after the end of a completed run was acknowledged.
func TestTakeover(t *testing.T) {
	setFlagDefault(t, "rapid.checks", modelSchedules)
	setFlagDefault(t, "rapid.steps", modelScheduleSteps)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { m.checkSingleRun(t) },
			"pass": func(t *rapid.T) {
				m.advanceTime(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"submit":      func(t *rapid.T) { m.submit(m.owner(t)) },
			"cancel":      func(t *rapid.T) { m.cancel(m.owner(t), t) },
			"commit":      func(t *rapid.T) { m.commit(m.owner(t), rapid.SampledFrom(commitResults).Draw(t, "result")) },
			"take over":   func(*rapid.T) { m.takeOver() },
			"connect":     func(t *rapid.T) { m.connect(m.runner(t), m.owner(t)) },
			"cut":         func(t *rapid.T) { m.cut(m.runner(t), rapid.Bool().Draw(t, "seen")) },
			"report":      func(t *rapid.T) { m.report(m.runner(t)) },
			"deliver":     func(t *rapid.T) { m.deliver(m.runner(t), startAnswered) },
			"order start": func(t *rapid.T) { m.orderStart() },
			"lose start":  func(t *rapid.T) { m.deliverStart(t, startUnanswered) },
			"try start": func(t *rapid.T) {
				m.deliverStart(t, startUnanswered)
				m.lastAttempt(t, rapid.SampledFrom(startAnswers).Draw(t, "answer"))
			},
			"shed start":   func(t *rapid.T) { m.deliverStart(t, startShed) },
			"queue start":  func(t *rapid.T) { m.deliverStart(t, startQueued) },
			"send start":   func(t *rapid.T) { m.sendQueued(t, rapid.SampledFrom(startAnswers).Draw(t, "answer")) },
			"last attempt": func(t *rapid.T) { m.lastAttempt(t, rapid.SampledFrom(startAnswers).Draw(t, "answer")) },
			"exchange":     func(t *rapid.T) { m.exchange(m.runner(t)) },
			"late start":   func(t *rapid.T) { m.deliverLate(t) },
			"late attempt": func(t *rapid.T) { m.deliverEarlierAttempt(t) },
			"end":          func(t *rapid.T) { m.end(m.runner(t), t) },
			"crash": func(t *rapid.T) {
				m.crash(m.runner(t), rapid.Bool().Draw(t, "returns"), rapid.Bool().Draw(t, "watched"))
			},
			"run normally": func(*rapid.T) { m.runNormally() },
			"run slowly":   func(t *rapid.T) { m.runSlowly(rapid.IntRange(0, modelRunners).Draw(t, "unheard")) },
			"report early": func(*rapid.T) { m.reportBeforeFirstCommit() },
		})
	})
}

// Results of a commit. The owner does not learn of one that was stored without an answer.
const (
	resultStored     = "stored"
	resultLost       = "lost"
	resultUnanswered = "stored without an answer"
)

var commitResults = []string{resultStored, resultLost, resultUnanswered}

// Answers to an attempt of a start. A queued start waits in the agent for earlier orders.
const (
	startAnswered   = "answered"
	startUnanswered = "unanswered"
	startShed       = "shed"
	startQueued     = "queued"
)

var startAnswers = []string{startAnswered, startUnanswered, startShed}

// model is a cell with a store, its successive owners and its runners.
type model struct {
	t   *rapid.T
	now time.Duration
	// head is the epoch and the sequence number of the last commit in the store.
	head      [2]uint64
	store     *testStore
	owners    []*modelOwner
	runners   []*modelRunner
	submitted int
	// speculative holds the jobs whose tasks may have several runs.
	speculative map[string]bool
	// completed holds the tasks whose successful end was acknowledged to the runner.
	completed map[string]bool
}

// modelOwner is a process that owns the cell, or did so and has not noticed the takeover.
type modelOwner struct {
	engine *Engine
	// head is the one of the last commit that the owner knows to be stored, proposedHead that of
	// the commit under way.
	head         [2]uint64
	proposedHead [2]uint64
	ring         *joblog.Ring
	batch        *Batch
	// committing is set while a commit is under way. It is repeated until its result is known.
	committing bool
	// deposed is set once the owner has seen a commit of another owner.
	deposed  bool
	sessions map[*modelRunner]bool
}

// modelRunner is a runner and its agent.
type modelRunner struct {
	node          string
	startedMillis int64
	// knownStartedMillis identifies the incarnation that the agent knows of, or is 0 if it takes the
	// runner for gone. down is set while the runner does not run.
	knownStartedMillis int64
	down               bool
	// owner is the one that the agent has a session with, and token the one that it issued.
	owner *modelOwner
	token uint64
	// highestToken is the highest token that the runner has seen.
	highestToken   uint64
	reportSequence uint64
	reportSentAt   map[uint64]time.Duration
	leaseEnd       time.Duration
	// agentLeaseEnd is the end of the lease that the agent has been granted.
	agentLeaseEnd time.Duration
	// foreignLeaseEnd bounds a lease that the runner took from a request to an earlier incarnation.
	foreignLeaseEnd time.Duration
	running         map[string]uint32
	// highestEndedRun is the number of the last run of a task that was stopped or has ended.
	highestEndedRun map[string]uint32
	// ends are those that were not acknowledged.
	ends           []*flowpb.End
	lastEnd        uint64
	undelivered    []*flowpb.Orders
	receivedStarts []*receivedStart
	// settledStarts are those that got no answer and that a new token has settled.
	settledStarts []*receivedStart
	// issuedToken is the highest token that the agent got from any owner. watched is set if the agent called
	// the present incarnation under the token after it, before any attempt meant for an earlier one arrived.
	issuedToken uint64
	watched     bool
}

// receivedStart is a start that an agent has received, with the state under which it passes the
// start on to the runner. A start of which an attempt was not answered may still reach the runner, or a
// later incarnation of it, until its lease ends.
type receivedStart struct {
	start         *flowpb.Start
	token         uint64
	leaseEnd      time.Duration
	startedMillis int64
	answered      bool
	// queued is set while no attempt was sent, final once the agent makes no further one. silent is set if an
	// attempt before the last got no answer.
	queued, final, silent bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Hour, store: newTestStore(), speculative: map[string]bool{}, completed: map[string]bool{}}
	for i := range modelRunners {
		m.runners = append(m.runners, &modelRunner{node: fmt.Sprintf("n%d", i), startedMillis: 1, knownStartedMillis: 1, reportSentAt: map[uint64]time.Duration{}, running: map[string]uint32{}, highestEndedRun: map[string]uint32{}})
	}
	m.takeOver()
	return m
}

func (m *model) timestamp() Timestamp {
	return Timestamp{Monotonic: m.now, UnixMillis: m.now.Milliseconds()}
}

// owner draws one of the last two owners.
func (m *model) owner(t *rapid.T) *modelOwner {
	return m.owners[rapid.IntRange(max(0, len(m.owners)-2), len(m.owners)-1).Draw(t, "owner")]
}

func (m *model) runner(t *rapid.T) *modelRunner {
	return m.runners[rapid.IntRange(0, modelRunners-1).Draw(t, "runner")]
}

// takeOver adds a new owner, which restores the stored jobs. The previous one may not know that
// it was deposed.
func (m *model) takeOver() {
	m.head = [2]uint64{m.head[0] + 1, 0}
	o := &modelOwner{head: m.head, sessions: map[*modelRunner]bool{}}
	o.engine = New(Options{Epoch: m.head[0], AcquiredAt: m.now, Lease: modelLease, MaxLease: modelMaxLease, Retention: time.Hour, LateFactor: 3, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	o.engine.Configure(map[string]Queue{testQueue.Name: testQueue})
	var err error
	if o.ring, err = m.store.restore(o.engine, m.timestamp()); err != nil {
		m.t.Fatal(err)
	}
	m.owners = append(m.owners, o)
}

func (m *model) submit(o *modelOwner) {
	m.submitted++
	speculative := rapid.Bool().Draw(m.t, "speculative")
	job := &flowpb.Job{Id: fmt.Sprintf("j%d", m.submitted), Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{{Count: 2, MilliCpu: 1000, MemoryMb: 1, EstimateMillis: 1000, Checkpoints: true, Speculative: speculative}}}
	m.speculative[job.GetId()] = speculative
	o.engine.Submit(uint64(m.submitted), job, m.timestamp())
	m.afterEvent(o)
}

// orderStart has the last owner, which all agents report to, accept a job and order the starts that are
// due.
func (m *model) orderStart() {
	o := m.owners[len(m.owners)-1]
	m.commit(o, resultStored)
	for _, r := range m.runners {
		if r.owner != o {
			m.connect(r, o)
		}
		m.exchange(r)
	}
	m.submit(o)
	m.commit(o, resultStored)
}

func (m *model) cancel(o *modelOwner, t *rapid.T) {
	if len(m.store.states) == 0 {
		return
	}
	o.engine.Cancel(0, rapid.SampledFrom(slices.Sorted(maps.Keys(m.store.states))).Draw(t, "job"), m.timestamp())
	m.afterEvent(o)
}

// afterEvent places tasks, begins a commit and sends orders, as an owner does after every event.
func (m *model) afterEvent(o *modelOwner) {
	if !o.committing {
		o.engine.Place(m.timestamp())
		if o.batch = o.engine.TakeBatch(testLimits, o.ring.RecordsDue()); o.batch != nil {
			m.beginCommit(o)
		}
	}
	effects := o.engine.TakeEffects()
	for _, r := range m.runners {
		if orders := effects.Orders[r.node]; orders != nil && r.owner == o {
			r.undelivered = append(r.undelivered, orders)
		}
	}
}

func (m *model) beginCommit(o *modelOwner) {
	o.committing, o.proposedHead = true, [2]uint64{o.head[0], o.head[1] + 1}
}

// commit attempts the commit under way, or an empty one, with the given result. It is rejected
// if another owner has written to the store.
func (m *model) commit(o *modelOwner, result string) {
	if o.deposed {
		return
	}
	if !o.committing {
		m.beginCommit(o)
	}
	if result == resultLost {
		return
	}
	stored := m.head == o.proposedHead
	if !stored && m.head != o.head {
		o.deposed = true
		return
	}
	if !stored {
		m.write(o)
	}
	if result == resultUnanswered {
		return
	}
	o.head, o.committing = o.proposedHead, false
	o.engine.SetGrantUntil(m.now + modelLease)
	if b := o.batch; b != nil {
		o.batch = nil
		m.store.written(b.Changes(), o.ring)
		o.engine.Committed(b, m.timestamp())
	}
	m.afterEvent(o)
}

// write stores the commit under way.
func (m *model) write(o *modelOwner) {
	m.head = o.proposedHead
	if o.batch != nil {
		m.store.write(o.batch.Changes(), o.ring)
	}
}

func (m *model) info(r *modelRunner) *flowpb.Runner {
	return &flowpb.Runner{Id: r.node, Born: r.knownStartedMillis, Service: testQueue.Service, MilliCpu: 3000, MemoryMb: 100}
}

func (m *model) connect(r *modelRunner, o *modelOwner) {
	m.cut(r, true)
	r.owner, r.token, r.undelivered = o, 0, nil
	o.engine.Connect(r.node)
	if r.knownStartedMillis > 0 {
		m.sync(r, false)
	}
}

// sync requests a new token. gone tells that the known incarnation of the runner no longer runs.
func (m *model) sync(r *modelRunner, gone bool) {
	r.token = 0
	if r.owner == nil {
		return
	}
	s := &flowpb.Sync{Runner: m.info(r), Gone: gone, LeaseMillis: max(0, r.foreignLeaseEnd-m.now).Milliseconds()}
	for _, received := range r.receivedStarts {
		if !received.answered {
			s.Unanswered = append(s.Unanswered, &flowpb.RunKey{Task: received.start.GetTask(), Run: received.start.GetRun()})
		}
	}
	r.owner.engine.Sync(r.node, s, m.timestamp())
	m.afterEvent(r.owner)
}

// cut ends the session of an agent; seen tells whether the owner notices it.
func (m *model) cut(r *modelRunner, seen bool) {
	if r.owner != nil && seen {
		r.owner.engine.Disconnect(r.node, m.timestamp())
		m.afterEvent(r.owner)
	}
	r.owner, r.token, r.undelivered = nil, 0, nil
}

// report polls the runner and sends its runs and ends under the agent's token.
func (m *model) report(r *modelRunner) {
	if r.knownStartedMillis == 0 {
		if !r.down {
			m.noticeIncarnation(r)
		}
		return
	}
	if r.owner == nil || r.token == 0 {
		return
	}
	if r.down {
		m.sync(r, true)
		r.knownStartedMillis = 0
		return
	}
	if r.token < r.highestToken {
		// The runner refuses the stale token, so that the agent synchronises.
		m.sync(r, false)
		return
	}
	r.highestToken = r.token
	if r.knownStartedMillis != r.startedMillis {
		// A poll meant for the incarnation before carries a lease by another clock.
		if r.agentLeaseEnd > m.now {
			r.leaseEnd = m.now + modelMaxLease
		}
		m.noticeIncarnation(r)
		return
	}
	r.leaseEnd = max(r.leaseEnd, r.agentLeaseEnd)
	r.receivedStarts = slices.DeleteFunc(r.receivedStarts, func(s *receivedStart) bool {
		settled := s.token < r.token && !s.answered
		if settled && !s.queued {
			r.settledStarts = append(r.settledStarts, s)
		}
		return settled
	})
	r.reportSequence++
	r.reportSentAt[r.reportSequence] = m.now
	report := &flowpb.Report{Token: r.token, Sequence: r.reportSequence, Runner: m.info(r), Listed: true, Ends: slices.Clone(r.ends)}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		percent := int32(10)
		if m.isSpeculative(task) {
			// The run is late, but it does not stall.
			percent += int32(m.now / time.Second % 10)
		}
		report.Running = append(report.Running, &flowpb.Run{Task: task, Run: r.running[task], Percent: percent})
	}
	r.owner.engine.Report(r.node, report, m.timestamp())
	m.afterEvent(r.owner)
}

// noticeIncarnation lets the agent learn that the runner has restarted under its id.
func (m *model) noticeIncarnation(r *modelRunner) {
	r.knownStartedMillis, r.foreignLeaseEnd = r.startedMillis, m.now+modelMaxLease
	m.sync(r, false)
}

// deliver hands the next orders to the agent, which carries them out on the runner unless they
// are for an earlier incarnation or under a stale token. answer is that to the first attempt of each
// start.
func (m *model) deliver(r *modelRunner, answer string) {
	if len(r.undelivered) == 0 {
		return
	}
	o := r.undelivered[0]
	r.undelivered = r.undelivered[1:]
	if o.GetBorn() != r.knownStartedMillis || o.GetToken() < r.token {
		return
	}
	r.token = o.GetToken()
	r.issuedToken = max(r.issuedToken, r.token)
	if o.GetGrantMillis() > 0 {
		granted := time.Duration(o.GetGrantMillis()) * time.Millisecond
		r.agentLeaseEnd = max(r.agentLeaseEnd, r.reportSentAt[o.GetReport()]+time.Duration(float64(granted)*modelClockDrift))
	}
	sameIncarnation := !r.down && r.knownStartedMillis == r.startedMillis
	if sameIncarnation && r.token >= r.highestToken {
		r.highestToken = r.token
		r.leaseEnd = max(r.leaseEnd, r.agentLeaseEnd)
		m.acknowledge(r, o.GetSettled())
	}
	var results []*flowpb.StartResult
	for _, s := range o.GetStarts() {
		received := &receivedStart{start: s, token: o.GetToken(), leaseEnd: r.agentLeaseEnd, startedMillis: r.knownStartedMillis, queued: answer == startQueued}
		if m.now >= received.leaseEnd {
			results = append(results, received.result(flowpb.StartOutcome_START_OUTCOME_REFUSED))
			continue
		}
		r.receivedStarts = append(r.receivedStarts, received)
		if !received.queued {
			results = append(results, m.attempt(r, received, answer)...)
		}
	}
	for _, s := range o.GetStops() {
		results = append(results, r.overtake(s)...)
		if sameIncarnation && o.GetToken() >= r.highestToken {
			r.highestEndedRun[s.GetTask()] = max(r.highestEndedRun[s.GetTask()], s.GetRun())
			if r.running[s.GetTask()] == s.GetRun() {
				m.finish(r, s.GetTask(), driver.EndStopped)
			}
		}
	}
	m.reportResults(r, results)
}

// deliverStart delivers orders to an agent up to the first with a start, which gets the given answer.
func (m *model) deliverStart(t *rapid.T, answer string) {
	var ordered []*modelRunner
	for _, r := range m.runners {
		if r.nextStart() >= 0 {
			ordered = append(ordered, r)
		}
	}
	if len(ordered) == 0 {
		return
	}
	r := ordered[rapid.IntRange(0, len(ordered)-1).Draw(t, "runner")]
	for range r.nextStart() {
		m.deliver(r, startAnswered)
	}
	m.deliver(r, answer)
}

// nextStart returns the index of the first undelivered orders with a start, or -1 if there are none.
func (r *modelRunner) nextStart() int {
	return slices.IndexFunc(r.undelivered, func(o *flowpb.Orders) bool { return len(o.GetStarts()) > 0 })
}

// overtake refuses the start of a run that still waits in the agent when its stop arrives.
func (r *modelRunner) overtake(s *flowpb.Stop) (results []*flowpb.StartResult) {
	r.receivedStarts = slices.DeleteFunc(r.receivedStarts, func(received *receivedStart) bool {
		overtaken := received.queued && received.start.GetTask() == s.GetTask() && received.start.GetRun() == s.GetRun()
		if overtaken {
			results = append(results, received.result(flowpb.StartOutcome_START_OUTCOME_REFUSED))
		}
		return overtaken
	})
	return results
}

func (s *receivedStart) result(outcome flowpb.StartOutcome) *flowpb.StartResult {
	return &flowpb.StartResult{Task: s.start.GetTask(), Run: s.start.GetRun(), Outcome: outcome}
}

// attempt makes the first attempt of a start and returns its result, if there is one yet.
func (m *model) attempt(r *modelRunner, s *receivedStart, answer string) []*flowpb.StartResult {
	s.queued = false
	if r.down || answer == startUnanswered {
		return nil
	}
	s.answered, s.final = true, true
	if answer == startShed {
		r.receivedStarts = slices.DeleteFunc(r.receivedStarts, func(other *receivedStart) bool { return other == s })
		return []*flowpb.StartResult{s.result(flowpb.StartOutcome_START_OUTCOME_UNHEALTHY)}
	}
	return []*flowpb.StartResult{s.result(m.start(r, s))}
}

// drawStart draws one of the starts that meet a condition, or returns nil if there are none.
func (m *model) drawStart(t *rapid.T, condition func(*receivedStart) bool) (r *modelRunner, s *receivedStart) {
	var starts []*receivedStart
	runners := map[*receivedStart]*modelRunner{}
	for _, r := range m.runners {
		for _, s := range r.receivedStarts {
			if condition(s) {
				starts, runners[s] = append(starts, s), r
			}
		}
	}
	if len(starts) == 0 {
		return nil, nil
	}
	s = starts[rapid.IntRange(0, len(starts)-1).Draw(t, "start")]
	return runners[s], s
}

// sendQueued sends a start that waits in an agent.
func (m *model) sendQueued(t *rapid.T, answer string) {
	r, s := m.drawStart(t, func(s *receivedStart) bool { return s.queued })
	if s == nil {
		return
	}
	results := m.attempt(r, s, answer)
	if r.token == s.token {
		m.reportResults(r, results)
	}
}

// lastAttempt makes the last attempt of a start of which the ones before got no answer. Only a start
// that has run is known to: any other answer leaves open whether an earlier attempt is carried out.
func (m *model) lastAttempt(t *rapid.T, answer string) {
	r, s := m.drawStart(t, func(s *receivedStart) bool { return !s.queued && !s.final })
	if s == nil {
		return
	}
	s.final, s.silent = true, true
	outcome := flowpb.StartOutcome_START_OUTCOME_DOUBT
	if !r.down && answer == startAnswered && m.start(r, s) == flowpb.StartOutcome_START_OUTCOME_STARTED {
		outcome, s.answered = flowpb.StartOutcome_START_OUTCOME_STARTED, true
	}
	if r.token == s.token {
		m.reportResults(r, []*flowpb.StartResult{s.result(outcome)})
	}
}

// reportResults reports the results of starts. The agent synchronises if one is indeterminate.
func (m *model) reportResults(r *modelRunner, results []*flowpb.StartResult) {
	if len(results) == 0 || r.owner == nil || r.token == 0 {
		return
	}
	r.reportSequence++
	r.reportSentAt[r.reportSequence] = m.now
	r.owner.engine.Report(r.node, &flowpb.Report{Token: r.token, Sequence: r.reportSequence, Runner: m.info(r), Results: results}, m.timestamp())
	m.afterEvent(r.owner)
	if slices.ContainsFunc(results, func(s *flowpb.StartResult) bool { return s.GetOutcome() == flowpb.StartOutcome_START_OUTCOME_DOUBT }) {
		m.sync(r, false)
	}
}

func (m *model) acknowledge(r *modelRunner, number uint64) {
	for _, e := range r.ends {
		if e.GetNumber() <= number && driver.EndKind(e.GetKind()) == driver.EndDone {
			m.completed[e.GetTask()] = true
		}
	}
	r.ends = slices.DeleteFunc(r.ends, func(e *flowpb.End) bool { return e.GetNumber() <= number })
}

// start is how a runner handles a start, whenever that arrives, and returns what its answer proves. It
// ignores a start under a stale token, after its lease, or of a run that is not newer than those it has
// seen. It can't tell a start that was meant for an earlier incarnation under its id, whose clock it
// does not share.
func (m *model) start(r *modelRunner, o *receivedStart) flowpb.StartOutcome {
	task := o.start.GetTask()
	switch {
	case r.down, o.token < r.highestToken, o.start.GetRun() <= r.highestEndedRun[task], r.running[task] > o.start.GetRun():
		return flowpb.StartOutcome_START_OUTCOME_DOUBT
	case m.now >= o.leaseEnd:
		return flowpb.StartOutcome_START_OUTCOME_REFUSED
	case r.running[task] == o.start.GetRun():
		return flowpb.StartOutcome_START_OUTCOME_STARTED
	}
	r.highestToken = o.token
	if m.completed[task] {
		m.t.Fatalf("task %s starts as run %d after its end was acknowledged", task, o.start.GetRun())
	}
	r.running[task] = o.start.GetRun()
	if o.startedMillis == r.startedMillis {
		r.leaseEnd = max(r.leaseEnd, o.leaseEnd)
	} else {
		r.leaseEnd = m.now + modelMaxLease
	}
	return flowpb.StartOutcome_START_OUTCOME_STARTED
}

// deliverLate delivers an earlier start to the runner again, after newer orders. A copy of an
// answered one reaches the incarnation that it was meant for; deliverEarlierAttempt has the others.
func (m *model) deliverLate(t *rapid.T) {
	r, s := m.drawStart(t, func(s *receivedStart) bool { return !s.queued && !s.answered && m.now < s.leaseEnd })
	if s == nil {
		r, s = m.drawStart(t, func(s *receivedStart) bool { return !s.queued && m.now < s.leaseEnd })
	}
	if s != nil && (!s.answered || s.startedMillis == r.startedMillis) {
		m.start(r, s)
	}
}

// deliverEarlierAttempt delivers an attempt that got no answer, of a start that was answered or settled since, to
// a later incarnation, whose agent watches it.
func (m *model) deliverEarlierAttempt(t *rapid.T) {
	for _, r := range m.runners {
		r.settledStarts = slices.DeleteFunc(r.settledStarts, func(s *receivedStart) bool { return m.now >= s.leaseEnd })
	}
	var starts []*receivedStart
	runners := map[*receivedStart]*modelRunner{}
	for _, r := range m.runners {
		for _, s := range slices.Concat(r.receivedStarts, r.settledStarts) {
			if r.watched && s.startedMillis != r.startedMillis && (s.silent || !s.answered) && !s.queued && m.now < s.leaseEnd {
				starts, runners[s] = append(starts, s), r
			}
		}
	}
	if len(starts) > 0 {
		s := starts[rapid.IntRange(0, len(starts)-1).Draw(t, "attempt")]
		m.start(runners[s], s)
	}
}

func (m *model) end(r *modelRunner, t *rapid.T) {
	if len(r.running) == 0 {
		return
	}
	task := rapid.SampledFrom(slices.Sorted(maps.Keys(r.running))).Draw(t, "task")
	m.finish(r, task, driver.EndDone)
}

func (m *model) finish(r *modelRunner, task string, kind driver.EndKind) {
	r.lastEnd++
	r.ends = append(r.ends, &flowpb.End{Number: r.lastEnd, Task: task, Run: r.running[task], Kind: uint32(kind)})
	r.highestEndedRun[task] = max(r.highestEndedRun[task], r.running[task])
	delete(r.running, task)
}

// crash ends the runner, with all its state lost, and starts its next incarnation under the same id
// if it returns. Its agent learns of it at once if it watches the runner, or else from the next poll.
func (m *model) crash(r *modelRunner, returns, watched bool) {
	if !r.down {
		r.startedMillis++
	}
	r.down = !returns
	r.highestToken, r.lastEnd, r.leaseEnd = 0, 0, 0
	r.running, r.highestEndedRun, r.ends = map[string]uint32{}, map[string]uint32{}, nil
	if r.watched = returns && watched; r.watched {
		r.highestToken = r.issuedToken + 1
		m.noticeIncarnation(r)
	}
}

// advanceTime advances the clock. Leases expire on the runners before their owners count them as
// expired.
func (m *model) advanceTime(d time.Duration) {
	m.now += d
	for _, r := range m.runners {
		if m.now > r.leaseEnd {
			for _, task := range slices.Sorted(maps.Keys(r.running)) {
				m.finish(r, task, driver.EndLeaseExpired)
			}
		}
	}
	for _, o := range m.owners[max(0, len(m.owners)-2):] {
		o.engine.Tick(m.timestamp())
		m.afterEvent(o)
	}
}

// exchange delivers all orders, sends a report, and delivers the orders that follow from it.
func (m *model) exchange(r *modelRunner) {
	for len(r.undelivered) > 0 {
		m.deliver(r, startAnswered)
	}
	m.report(r)
	for len(r.undelivered) > 0 {
		m.deliver(r, startAnswered)
	}
}

// runNormally connects all runners to the last owner and lets several exchanges and commits
// succeed, so that schedules reach states in which tasks run.
func (m *model) runNormally() {
	o := m.owners[len(m.owners)-1]
	for _, r := range m.runners {
		if r.owner != o {
			m.connect(r, o)
		}
		for range 3 {
			m.exchange(r)
			m.commit(o, resultStored)
		}
		m.exchange(r)
	}
}

// runSlowly lets runs go on until they are late, so that the last owner orders speculative copies. One of the
// runners may not find it meanwhile; its number is unheard.
func (m *model) runSlowly(unheard int) {
	o := m.owners[len(m.owners)-1]
	for range 4 {
		for i, r := range m.runners {
			if r.owner != o && i == unheard {
				continue
			}
			if r.owner != o {
				m.connect(r, o)
			}
			m.exchange(r)
		}
		m.advanceTime(600 * time.Millisecond)
		m.commit(o, resultStored)
	}
}

// reportBeforeFirstCommit hands the cell over to an owner that all agents report to, and that
// accepts a job, before its first commit has returned.
func (m *model) reportBeforeFirstCommit() {
	m.takeOver()
	o := m.owners[len(m.owners)-1]
	for _, r := range m.runners {
		m.connect(r, o)
		m.deliver(r, startAnswered)
		m.report(r)
	}
	m.submit(o)
}

func (m *model) isSpeculative(task string) bool {
	job, _, _ := strings.Cut(task, ".")
	return m.speculative[job]
}

// checkSingleRun checks that no task runs on two runners, unless its step is speculative.
func (m *model) checkSingleRun(t *rapid.T) {
	nodes := map[string]string{}
	for _, r := range m.runners {
		for task := range r.running {
			if m.isSpeculative(task) {
				continue
			}
			if other, twice := nodes[task]; twice {
				t.Fatalf("task %s runs on %s and %s", task, other, r.node)
			}
			nodes[task] = r.node
		}
	}
}
