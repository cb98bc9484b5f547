package engine

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
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
// checks two invariants: no task has two runs at once, and no task starts after the end of a
// completed run was acknowledged.
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
			"submit":       func(t *rapid.T) { m.submit(m.owner(t)) },
			"cancel":       func(t *rapid.T) { m.cancel(m.owner(t), t) },
			"commit":       func(t *rapid.T) { m.commit(m.owner(t), rapid.SampledFrom(commitResults).Draw(t, "result")) },
			"take over":    func(*rapid.T) { m.takeOver() },
			"connect":      func(t *rapid.T) { m.connect(m.runner(t), m.owner(t)) },
			"cut":          func(t *rapid.T) { m.cut(m.runner(t), rapid.Bool().Draw(t, "seen")) },
			"report":       func(t *rapid.T) { m.report(m.runner(t)) },
			"deliver":      func(t *rapid.T) { m.deliver(m.runner(t), true) },
			"lose start":   func(t *rapid.T) { m.deliver(m.runner(t), false) },
			"exchange":     func(t *rapid.T) { m.exchange(m.runner(t)) },
			"late start":   func(t *rapid.T) { m.deliverLate(m.runner(t), t) },
			"end":          func(t *rapid.T) { m.end(m.runner(t), t) },
			"crash":        func(t *rapid.T) { m.crash(m.runner(t), rapid.Bool().Draw(t, "returns")) },
			"run normally": func(*rapid.T) { m.runNormally() },
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
	receivedStarts []receivedStart
}

// receivedStart is a start that an agent has received, with the state under which it passes the
// start on to the runner. A start that was not answered may still reach the runner, or a later
// incarnation of it, until its lease ends.
type receivedStart struct {
	start         *flowpb.Start
	token         uint64
	leaseEnd      time.Duration
	startedMillis int64
	answered      bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Hour, store: newTestStore(), completed: map[string]bool{}}
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
	o.engine = New(Options{Epoch: m.head[0], AcquiredAt: m.now, Lease: modelLease, Retention: time.Hour, LateFactor: 3, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	o.engine.Configure(map[string]Queue{testQueue.Name: testQueue})
	var err error
	if o.ring, err = m.store.restore(o.engine, m.timestamp()); err != nil {
		m.t.Fatal(err)
	}
	m.owners = append(m.owners, o)
}

func (m *model) submit(o *modelOwner) {
	m.submitted++
	job := &flowpb.Job{Id: fmt.Sprintf("j%d", m.submitted), Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{{Count: 2, MilliCpu: 1000, MemoryMb: 1, EstimateMillis: 1000, Checkpoints: true}}}
	o.engine.Submit(uint64(m.submitted), job, m.timestamp())
	m.afterEvent(o)
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
	r.receivedStarts = slices.DeleteFunc(r.receivedStarts, func(s receivedStart) bool { return s.token < r.token && !s.answered })
	r.reportSequence++
	r.reportSentAt[r.reportSequence] = m.now
	report := &flowpb.Report{Token: r.token, Sequence: r.reportSequence, Runner: m.info(r), Listed: true, Ends: slices.Clone(r.ends)}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		report.Running = append(report.Running, &flowpb.Run{Task: task, Run: r.running[task], Percent: 10})
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
// are for an earlier incarnation or under a stale token. Starts get no answer unless answered is
// set, and take no effect yet.
func (m *model) deliver(r *modelRunner, answered bool) {
	if len(r.undelivered) == 0 {
		return
	}
	o := r.undelivered[0]
	r.undelivered = r.undelivered[1:]
	if o.GetBorn() != r.knownStartedMillis || o.GetToken() < r.token {
		return
	}
	r.token = o.GetToken()
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
	for _, s := range o.GetStarts() {
		received := receivedStart{start: s, token: o.GetToken(), leaseEnd: r.agentLeaseEnd, startedMillis: r.knownStartedMillis, answered: answered && !r.down}
		if m.now >= received.leaseEnd {
			continue
		}
		r.receivedStarts = append(r.receivedStarts, received)
		if received.answered {
			m.start(r, received)
		}
	}
	for _, s := range o.GetStops() {
		if sameIncarnation && o.GetToken() >= r.highestToken {
			r.highestEndedRun[s.GetTask()] = max(r.highestEndedRun[s.GetTask()], s.GetRun())
			if r.running[s.GetTask()] == s.GetRun() {
				m.finish(r, s.GetTask(), driver.EndStopped)
			}
		}
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

// start is how a runner handles a start, whenever that arrives. It ignores a start under a stale
// token, after its lease, or of a run that is not newer than those it has seen. It can't tell a start
// that was meant for an earlier incarnation under its id, whose clock it does not share.
func (m *model) start(r *modelRunner, o receivedStart) {
	task := o.start.GetTask()
	if r.down || o.token < r.highestToken || m.now >= o.leaseEnd || o.start.GetRun() <= r.highestEndedRun[task] || r.running[task] >= o.start.GetRun() {
		return
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
}

// deliverLate delivers an earlier start to the runner again, after newer orders. A copy of an
// answered one does not outlive the connection to its incarnation.
func (m *model) deliverLate(r *modelRunner, t *rapid.T) {
	if len(r.receivedStarts) == 0 {
		return
	}
	o := r.receivedStarts[rapid.IntRange(0, len(r.receivedStarts)-1).Draw(t, "order")]
	if !o.answered || o.startedMillis == r.startedMillis {
		m.start(r, o)
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
// if it returns. Its agent learns of it from the next poll.
func (m *model) crash(r *modelRunner, returns bool) {
	if !r.down {
		r.startedMillis++
	}
	r.down = !returns
	r.highestToken, r.lastEnd, r.leaseEnd = 0, 0, 0
	r.running, r.highestEndedRun, r.ends = map[string]uint32{}, map[string]uint32{}, nil
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
		m.deliver(r, true)
	}
	m.report(r)
	for len(r.undelivered) > 0 {
		m.deliver(r, true)
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

// reportBeforeFirstCommit hands the cell over to an owner that all agents report to, and that
// accepts a job, before its first commit has returned.
func (m *model) reportBeforeFirstCommit() {
	m.takeOver()
	o := m.owners[len(m.owners)-1]
	for _, r := range m.runners {
		m.connect(r, o)
		m.deliver(r, true)
		m.report(r)
	}
	m.submit(o)
}

// checkSingleRun checks that no task runs on two runners.
func (m *model) checkSingleRun(t *rapid.T) {
	nodes := map[string]string{}
	for _, r := range m.runners {
		for task := range r.running {
			if other, twice := nodes[task]; twice {
				t.Fatalf("task %s runs on %s and %s", task, other, r.node)
			}
			nodes[task] = r.node
		}
	}
}
