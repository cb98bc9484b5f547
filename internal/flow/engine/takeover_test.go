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

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

const (
	modelLease   = 4 * time.Second
	modelRunners = 3
	// modelDrift is how much longer a lease lasts by the clock of a runner, as the platform
	// allows it.
	modelDrift = 1.02
	// modelChecks and modelSteps are how many schedules are tried, and how long they are on
	// average, unless flags say otherwise; shorter ones catch few faults.
	modelChecks = "3000"
	modelSteps  = "100"
)

// setDefault sets a flag of the property library for this test, unless it was given.
func setDefault(t *testing.T, name, value string) {
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

// TestTakeover checks random schedules of owners, commits, reports, orders and losses against
// what must hold: no task runs twice at once, and none starts after an end that was settled.
func TestTakeover(t *testing.T) {
	setDefault(t, "rapid.checks", modelChecks)
	setDefault(t, "rapid.steps", modelSteps)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":           func(t *rapid.T) { m.check(t) },
			"pass":       func(t *rapid.T) { m.pass(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond) },
			"submit":     func(t *rapid.T) { m.submit(m.owner(t)) },
			"cancel":     func(t *rapid.T) { m.cancel(m.owner(t), t) },
			"commit":     func(t *rapid.T) { m.commit(m.owner(t), rapid.SampledFrom(commitFates).Draw(t, "fate")) },
			"take over":  func(*rapid.T) { m.takeOver() },
			"connect":    func(t *rapid.T) { m.connect(m.runner(t), m.owner(t)) },
			"cut":        func(t *rapid.T) { m.cut(m.runner(t), rapid.Bool().Draw(t, "seen")) },
			"report":     func(t *rapid.T) { m.report(m.runner(t)) },
			"deliver":    func(t *rapid.T) { m.deliver(m.runner(t)) },
			"exchange":   func(t *rapid.T) { m.exchange(m.runner(t)) },
			"late start": func(t *rapid.T) { m.lateStart(m.runner(t), t) },
			"end":        func(t *rapid.T) { m.end(m.runner(t), t) },
			"crash":      func(t *rapid.T) { m.crash(m.runner(t)) },
			"run on":     func(*rapid.T) { m.runOn() },
		})
	})
}

// Fates of a commit.
const (
	fateStored = "stored"
	fateLost   = "lost"
	fateSilent = "stored without an answer"
)

var commitFates = []string{fateStored, fateLost, fateSilent}

type model struct {
	t       *rapid.T
	now     time.Duration
	head    [2]uint64
	jobs    map[string]*flowpb.Job
	stored  map[string]*flowpb.Progress
	owners  []*modelOwner
	runners []*modelRunner
	made    int
	// over are tasks of which an end as done was settled.
	over map[string]bool
}

type modelOwner struct {
	engine *Engine
	// head is the one that the owner wrote last, or takes to have written.
	head  [2]uint64
	tried [2]uint64
	batch *Batch
	// trying tells that a commit is under way; the next one waits until it is settled.
	trying   bool
	deposed  bool
	sessions map[*modelRunner]bool
}

type modelRunner struct {
	node     string
	born     int64
	owner    *modelOwner
	token    uint64
	highest  uint64
	sequence uint64
	sent     map[uint64]time.Duration
	leaseEnd time.Duration
	running  map[string]uint32
	// closed is the highest run of a task that was stopped or has ended.
	closed  map[string]uint32
	ends    []*flowpb.End
	numbers uint64
	queue   []*flowpb.Orders
	old     []lateOrder
}

type lateOrder struct {
	start *flowpb.Start
	token uint64
	lease time.Duration
	born  int64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Hour, jobs: map[string]*flowpb.Job{}, stored: map[string]*flowpb.Progress{}, over: map[string]bool{}}
	for i := range modelRunners {
		m.runners = append(m.runners, &modelRunner{node: fmt.Sprintf("n%d", i), sent: map[uint64]time.Duration{}, running: map[string]uint32{}, closed: map[string]uint32{}})
	}
	m.takeOver()
	return m
}

func (m *model) moment() Timestamp {
	return Timestamp{Monotonic: m.now, UnixMillis: m.now.Milliseconds()}
}

func (m *model) owner(t *rapid.T) *modelOwner {
	return m.owners[rapid.IntRange(max(0, len(m.owners)-2), len(m.owners)-1).Draw(t, "owner")]
}

func (m *model) runner(t *rapid.T) *modelRunner {
	return m.runners[rapid.IntRange(0, modelRunners-1).Draw(t, "runner")]
}

// takeOver has a process become the owner, whatever the one before it thinks.
func (m *model) takeOver() {
	m.head = [2]uint64{m.head[0] + 1, 0}
	o := &modelOwner{head: m.head, sessions: map[*modelRunner]bool{}}
	o.engine = New(Options{Epoch: m.head[0], Lease: modelLease, Retention: time.Hour, LateFactor: 3, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	o.engine.Configure(map[string]Queue{testQueue.Name: testQueue})
	o.engine.SetGrantUntil(m.now + modelLease)
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if err := o.engine.Restore(proto.CloneOf(m.jobs[id]), proto.CloneOf(m.stored[id]), m.moment()); err != nil {
			m.t.Fatal(err)
		}
	}
	m.owners = append(m.owners, o)
}

func (m *model) submit(o *modelOwner) {
	m.made++
	job := &flowpb.Job{Id: fmt.Sprintf("j%d", m.made), Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{{Count: 2, MilliCpu: 1000, MemoryMb: 1, EstimateMillis: 1000, Checkpoints: true}}}
	o.engine.Submit(uint64(m.made), job, m.moment())
	m.step(o)
}

func (m *model) cancel(o *modelOwner, t *rapid.T) {
	if len(m.jobs) == 0 {
		return
	}
	o.engine.Cancel(0, rapid.SampledFrom(slices.Sorted(maps.Keys(m.jobs))).Draw(t, "job"), m.moment())
	m.step(o)
}

// step does what an owner does after every event.
func (m *model) step(o *modelOwner) {
	if !o.trying {
		o.engine.Place(m.moment())
		if o.batch = o.engine.TakeBatch(100); o.batch != nil {
			m.begin(o)
		}
	}
	effects := o.engine.TakeEffects()
	for _, r := range m.runners {
		if orders := effects.Orders[r.node]; orders != nil && r.owner == o {
			r.queue = append(r.queue, orders)
		}
	}
}

func (m *model) begin(o *modelOwner) {
	o.trying, o.tried = true, [2]uint64{o.head[0], o.head[1] + 1}
}

// commit tries the batch under way, or an empty one, once.
func (m *model) commit(o *modelOwner, fate string) {
	if o.deposed {
		return
	}
	if !o.trying {
		m.begin(o)
	}
	if fate == fateLost {
		return
	}
	mine := m.head == o.tried
	if !mine && m.head != o.head {
		o.deposed = true
		return
	}
	if !mine {
		m.store(o)
	}
	if fate == fateSilent {
		return
	}
	o.head, o.trying = o.tried, false
	o.engine.SetGrantUntil(m.now + modelLease)
	if b := o.batch; b != nil {
		o.batch = nil
		o.engine.Committed(b, m.moment())
	}
	m.step(o)
}

func (m *model) store(o *modelOwner) {
	m.head = o.tried
	if o.batch == nil {
		return
	}
	for _, c := range o.batch.Changes() {
		if c.Job != nil {
			m.jobs[c.ID] = proto.CloneOf(c.Job)
		}
		if c.Progress != nil {
			m.stored[c.ID] = proto.CloneOf(c.Progress)
		}
	}
}

func (m *model) info(r *modelRunner) *flowpb.Runner {
	return &flowpb.Runner{Id: r.node, Born: r.born, Service: testQueue.Service, MilliCpu: 3000, MemoryMb: 100}
}

func (m *model) connect(r *modelRunner, o *modelOwner) {
	m.cut(r, true)
	r.owner, r.token, r.queue = o, 0, nil
	o.engine.Connect(r.node)
	o.engine.Sync(r.node, &flowpb.Sync{Runner: m.info(r)}, m.moment())
	m.step(o)
}

// cut ends a session; the owner may not see it yet.
func (m *model) cut(r *modelRunner, seen bool) {
	if r.owner != nil && seen {
		r.owner.engine.Disconnect(r.node, m.moment())
		m.step(r.owner)
	}
	r.owner, r.token, r.queue = nil, 0, nil
}

// report lists what the runner holds, under the token that the agent has.
func (m *model) report(r *modelRunner) {
	if r.owner == nil || r.token == 0 {
		return
	}
	if r.token < r.highest {
		// The runner refuses the token; the agent asks for another one.
		r.owner.engine.Sync(r.node, &flowpb.Sync{Runner: m.info(r)}, m.moment())
		r.token = 0
		m.step(r.owner)
		return
	}
	r.highest = r.token
	r.sequence++
	r.sent[r.sequence] = m.now
	report := &flowpb.Report{Token: r.token, Sequence: r.sequence, Runner: m.info(r), Listed: true, Ends: slices.Clone(r.ends)}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		report.Running = append(report.Running, &flowpb.Run{Task: task, Run: r.running[task], Percent: 10})
	}
	r.owner.engine.Report(r.node, report, m.moment())
	m.step(r.owner)
}

func (m *model) deliver(r *modelRunner) {
	if len(r.queue) == 0 {
		return
	}
	o := r.queue[0]
	r.queue = r.queue[1:]
	if o.GetBorn() != r.born || o.GetToken() < r.token {
		return
	}
	r.token = o.GetToken()
	if o.GetGrantMillis() > 0 {
		granted := time.Duration(o.GetGrantMillis()) * time.Millisecond
		r.leaseEnd = max(r.leaseEnd, r.sent[o.GetReport()]+time.Duration(float64(granted)*modelDrift))
	}
	if r.token >= r.highest {
		r.highest = r.token
		m.settle(r, o.GetSettled())
	}
	for _, s := range o.GetStarts() {
		late := lateOrder{start: s, token: o.GetToken(), lease: r.leaseEnd, born: r.born}
		r.old = append(r.old, late)
		m.start(r, late)
	}
	for _, s := range o.GetStops() {
		if o.GetToken() >= r.highest {
			r.closed[s.GetTask()] = max(r.closed[s.GetTask()], s.GetRun())
			if r.running[s.GetTask()] == s.GetRun() {
				m.finish(r, s.GetTask(), driver.EndStopped)
			}
		}
	}
}

func (m *model) settle(r *modelRunner, number uint64) {
	for _, e := range r.ends {
		if e.GetNumber() <= number && driver.EndKind(e.GetKind()) == driver.EndDone {
			m.over[e.GetTask()] = true
		}
	}
	r.ends = slices.DeleteFunc(r.ends, func(e *flowpb.End) bool { return e.GetNumber() <= number })
}

// start is what a runner does with an order to start, whenever it comes to it.
func (m *model) start(r *modelRunner, o lateOrder) {
	task := o.start.GetTask()
	if o.born != r.born || o.token < r.highest || m.now >= o.lease || o.start.GetRun() <= r.closed[task] || r.running[task] >= o.start.GetRun() {
		return
	}
	r.highest = o.token
	if m.over[task] {
		m.t.Fatalf("task %s starts as run %d after an end that was settled", task, o.start.GetRun())
	}
	r.running[task] = o.start.GetRun()
	r.leaseEnd = max(r.leaseEnd, o.lease)
}

// lateStart carries out an order that got no answer, after newer ones.
func (m *model) lateStart(r *modelRunner, t *rapid.T) {
	if len(r.old) > 0 {
		m.start(r, r.old[rapid.IntRange(0, len(r.old)-1).Draw(t, "order")])
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
	r.numbers++
	r.ends = append(r.ends, &flowpb.End{Number: r.numbers, Task: task, Run: r.running[task], Kind: uint32(kind)})
	r.closed[task] = max(r.closed[task], r.running[task])
	delete(r.running, task)
}

// crash has the runner lose all that it knows; it starts anew under its id.
func (m *model) crash(r *modelRunner) {
	r.born++
	r.highest, r.numbers, r.leaseEnd = 0, 0, 0
	r.running, r.closed, r.ends = map[string]uint32{}, map[string]uint32{}, nil
	if r.owner != nil {
		r.token, r.queue = 0, nil
		r.owner.engine.Sync(r.node, &flowpb.Sync{Runner: m.info(r)}, m.moment())
		m.step(r.owner)
	}
}

// pass lets time go by; leases end on the runners before their owners are sure of it.
func (m *model) pass(d time.Duration) {
	m.now += d
	for _, r := range m.runners {
		if m.now > r.leaseEnd {
			for _, task := range slices.Sorted(maps.Keys(r.running)) {
				m.finish(r, task, driver.EndLapsed)
			}
		}
	}
	for _, o := range m.owners[max(0, len(m.owners)-2):] {
		o.engine.Tick(m.moment())
		m.step(o)
	}
}

// exchange has orders delivered, a report sent, and what follows from it delivered.
func (m *model) exchange(r *modelRunner) {
	for len(r.queue) > 0 {
		m.deliver(r)
	}
	m.report(r)
	for len(r.queue) > 0 {
		m.deliver(r)
	}
}

// runOn has all go well for a while, so that schedules get somewhere.
func (m *model) runOn() {
	o := m.owners[len(m.owners)-1]
	for _, r := range m.runners {
		if r.owner != o {
			m.connect(r, o)
		}
		for range 3 {
			m.exchange(r)
			m.commit(o, fateStored)
		}
		m.exchange(r)
	}
}

func (m *model) check(t *rapid.T) {
	at := map[string]string{}
	for _, r := range m.runners {
		for task := range r.running {
			if other, twice := at[task]; twice {
				t.Fatalf("task %s runs on %s and %s", task, other, r.node)
			}
			at[task] = r.node
		}
	}
}
