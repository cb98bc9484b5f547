package cell

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	standin "github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	testGrant   = 4 * time.Second
	testMargin  = time.Second
	testSilence = 20 * time.Second
	testCell    = "test.0"
	heartbeat   = 500 * time.Millisecond
	lateness    = 9 * time.Second
	settleTime  = 5 * time.Minute
)

// memoryStore is the key-value service in memory.
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]driver.Item
	revision uint64
	down     bool
	lose     int
}

// handle is one owner's way to the store; it can be cut.
type handle struct {
	*memoryStore
	cut bool
}

func (h *handle) fault() error {
	if h.down || h.cut {
		return driver.ErrUnavailable
	}
	return nil
}

func (h *handle) Get(_ context.Context, key string) (driver.Item, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.fault(); err != nil {
		return driver.Item{}, err
	}
	i, ok := h.items[key]
	if !ok {
		return driver.Item{}, driver.ErrNotFound
	}
	return i, nil
}

func (h *handle) Swap(_ context.Context, key string, revision uint64, value []byte, _ driver.Lease) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.fault(); err != nil {
		return 0, err
	}
	if h.items[key].Revision() != revision {
		return 0, driver.ErrConflict
	}
	if len(value) > driver.StoreMaxValueBytes {
		return 0, driver.ErrTooLarge
	}
	h.revision++
	h.items[key] = driver.NewItem(key, slices.Clone(value), h.revision)
	if h.lose > 0 {
		h.lose--
		return 0, driver.ErrAmbiguous
	}
	return h.revision, nil
}

func (h *handle) Delete(_ context.Context, key string, _ uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.fault(); err != nil {
		return err
	}
	delete(h.items, key)
	return nil
}

func (h *handle) List(context.Context, string) ([]driver.Item, uint64, error) {
	return nil, 0, driver.ErrUnavailable
}
func (h *handle) Grant(context.Context, time.Duration) (driver.Lease, error) {
	return "", driver.ErrUnavailable
}
func (h *handle) Renew(context.Context, driver.Lease) error { return driver.ErrUnavailable }
func (h *handle) Watch(context.Context, string, uint64, time.Duration) (uint64, error) {
	return 0, driver.ErrUnavailable
}

// testAttempt is an attempt on a testAgent.
type testAttempt struct {
	state *peerpb.TaskState
	ends  time.Time
}

// testAgent keeps the rules of an agent: it starts only under its grant, and what it runs
// ends with the grant.
type testAgent struct {
	name       string
	capacity   driver.Resources
	epoch      uint64
	term       uint64
	until      time.Time
	attempts   map[string]*testAttempt
	tombstones map[string]bool
	cut        bool
	drain      bool
}

// world is everything around the owners.
type world struct {
	mu     sync.Mutex
	store  *memoryStore
	agents []*testAgent
	owners []*testOwner
	events []standin.Event
	faults []string
	drop   int
	// late counts the starts that arrive late; wait is for those on their way.
	late int
	wait sync.WaitGroup
	// durable holds the tasks whose finish an owner has made durable.
	durable map[string]bool
}

type testOwner struct {
	*Owner
	handle *handle
	cancel context.CancelFunc
	done   chan struct{}
	// deaf owners reach no agent.
	deaf bool
}

// link is one owner's way to the agents.
type link struct {
	w *world
	o *testOwner
}

var errLost = errors.New("test: message lost")

func (l link) deliver(name string, f func(*testAgent) *peerpb.TaskReply) (*peerpb.TaskReply, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	for _, a := range l.w.agents {
		if a.name != name {
			continue
		}
		if a.cut || l.o.deaf {
			return nil, errLost
		}
		l.w.advance(a)
		reply := f(a)
		if l.w.drop > 0 {
			l.w.drop--
			return nil, errLost
		}
		return reply, nil
	}
	return nil, errLost
}

func (l link) Start(_ context.Context, name string, s *peerpb.StartTask) (*peerpb.TaskReply, error) {
	l.w.mu.Lock()
	late := l.w.late > 0
	if late {
		l.w.late--
	}
	l.w.mu.Unlock()
	if late {
		// The command sits in a socket and arrives when nobody waits for it any more.
		l.w.wait.Go(func() {
			time.Sleep(lateness)
			_, _ = l.deliver(name, func(a *testAgent) *peerpb.TaskReply { return l.w.start(a, s) })
		})
		return nil, errLost
	}
	return l.deliver(name, func(a *testAgent) *peerpb.TaskReply { return l.w.start(a, s) })
}

func (l link) Stop(_ context.Context, name string, s *peerpb.StopTask) (*peerpb.TaskReply, error) {
	return l.deliver(name, func(a *testAgent) *peerpb.TaskReply { return l.w.stop(a, s) })
}

func (w *world) record(a *testAgent, s *peerpb.TaskState, kind standin.EventKind, at time.Time) {
	w.events = append(w.events, standin.Event{Worker: a.name, Task: s.GetTask(), Attempt: s.GetAttempt(), Kind: kind, At: at})
}

// advance ends what has ended by now.
func (w *world) advance(a *testAgent) {
	now := time.Now()
	for _, t := range a.attempts {
		switch {
		case t.state.GetPhase() != peerpb.Phase_PHASE_RUNNING:
		case !t.ends.After(now) && !t.ends.After(a.until):
			t.state.Phase = peerpb.Phase_PHASE_FINISHED
			w.record(a, t.state, standin.EventFinish, t.ends)
		case !a.until.After(now):
			t.state.Phase = peerpb.Phase_PHASE_STOPPED
			t.state.Checkpoint = t.state.GetTask() + ".lapse"
			w.record(a, t.state, standin.EventLapse, a.until)
		}
	}
}

func (w *world) start(a *testAgent, s *peerpb.StartTask) *peerpb.TaskReply {
	key := attemptKey(s.GetTask(), s.GetAttempt())
	if t := a.attempts[key]; t != nil {
		return &peerpb.TaskReply{Accepted: true, State: t.state}
	}
	free := a.capacity
	for _, t := range a.attempts {
		if t.state.GetPhase() == peerpb.Phase_PHASE_RUNNING {
			free = free.Minus(driver.ResourcesOf(t.state.GetUsed()))
		}
	}
	reason := peerpb.Reason_REASON_UNSPECIFIED
	switch {
	case a.epoch != s.GetEpoch() || a.term != s.GetTerm() || !time.Now().Before(a.until):
		reason = peerpb.Reason_REASON_STALE_EPOCH
	case a.tombstones[key]:
		reason = peerpb.Reason_REASON_CANCELLED
	case !driver.ResourcesOf(s.GetResources()).Fits(free):
		reason = peerpb.Reason_REASON_FULL
		w.faults = append(w.faults, a.name+" was offered more than it holds")
	}
	if reason != peerpb.Reason_REASON_UNSPECIFIED {
		a.tombstones[key] = true
		return &peerpb.TaskReply{Reason: reason}
	}
	if !s.GetIdempotent() && strings.HasSuffix(s.GetCheckpoint(), ".lapse") {
		w.faults = append(w.faults, key+" repeats work that an earlier attempt did after its checkpoint")
	}
	if w.durable[s.GetTask()] {
		w.faults = append(w.faults, key+" was started after its finish was durable")
	}
	t := &testAttempt{
		state: &peerpb.TaskState{Task: s.GetTask(), Attempt: s.GetAttempt(), Phase: peerpb.Phase_PHASE_RUNNING, Used: s.GetResources()},
		ends:  time.Now().Add(time.Duration(s.GetRunMillis()) * time.Millisecond),
	}
	a.attempts[key] = t
	w.record(a, t.state, standin.EventStart, time.Now())
	return &peerpb.TaskReply{Accepted: true, State: t.state}
}

func (w *world) stop(a *testAgent, s *peerpb.StopTask) *peerpb.TaskReply {
	key := attemptKey(s.GetTask(), s.GetAttempt())
	if s.GetEpoch() < a.epoch || s.GetEpoch() == a.epoch && s.GetTerm() < a.term {
		return &peerpb.TaskReply{Reason: peerpb.Reason_REASON_STALE_EPOCH}
	}
	t := a.attempts[key]
	if t == nil {
		a.tombstones[key] = true
		return &peerpb.TaskReply{Accepted: true, Reason: peerpb.Reason_REASON_NOT_FOUND}
	}
	if t.state.GetPhase() == peerpb.Phase_PHASE_RUNNING {
		t.state.Phase = peerpb.Phase_PHASE_STOPPED
		if s.GetCheckpoint() {
			t.state.Checkpoint, t.state.Exact = s.GetTask()+".evicted", true
		}
		w.record(a, t.state, standin.EventStop, time.Now())
	}
	return &peerpb.TaskReply{Accepted: true, State: t.state}
}

// report sends one heartbeat of an agent to every owner that it can reach.
func (w *world) report(a *testAgent) {
	w.mu.Lock()
	w.advance(a)
	owners := slices.DeleteFunc(slices.Clone(w.owners), func(o *testOwner) bool { return o.deaf })
	r := &peerpb.Report{Cell: testCell, Epoch: a.epoch, Term: a.term, Draining: a.drain, Capacity: a.capacity.Message(), Free: a.capacity.Message()}
	for _, t := range a.attempts {
		r.Tasks = append(r.Tasks, &peerpb.TaskState{Task: t.state.GetTask(), Attempt: t.state.GetAttempt(), Phase: t.state.GetPhase(), Checkpoint: t.state.GetCheckpoint(), Exact: t.state.GetExact(), Used: t.state.GetUsed()})
	}
	cut := a.cut
	w.mu.Unlock()
	sent := time.Now()
	for _, o := range owners {
		if cut {
			continue
		}
		u := o.Report(WorkerInfo{Name: a.name, Incarnation: 1}, r)
		if u == nil {
			continue
		}
		finished := durablyFinished(o, u.GetSettled())
		w.mu.Lock()
		w.advance(a)
		w.update(a, u, sent)
		for _, task := range finished {
			w.durable[task] = true
		}
		w.mu.Unlock()
	}
}

// durablyFinished returns the tasks that an owner counts as finished by an attempt which
// it has settled, and so has committed.
func durablyFinished(o *testOwner, settled []*peerpb.TaskKey) (tasks []string) {
	for _, k := range settled {
		job, err := o.Job(cellJob(k.GetTask()))
		if err != nil {
			continue
		}
		for _, t := range job.GetTasks() {
			if t.GetId() == k.GetTask() && t.GetAttempt() == k.GetAttempt() && t.GetPhase() == cellpb.Phase_PHASE_FINISHED {
				tasks = append(tasks, t.GetId())
			}
		}
	}
	return tasks
}

func (w *world) update(a *testAgent, u *peerpb.Update, sent time.Time) {
	if u.GetEpoch() < a.epoch || u.GetEpoch() == a.epoch && u.GetTerm() < a.term {
		return
	}
	a.epoch, a.term = u.GetEpoch(), u.GetTerm()
	a.until = sent.Add(time.Duration(u.GetGrantMillis()) * time.Millisecond)
	for _, k := range u.GetSettled() {
		key := attemptKey(k.GetTask(), k.GetAttempt())
		if t := a.attempts[key]; t != nil && t.state.GetPhase() != peerpb.Phase_PHASE_RUNNING {
			delete(a.attempts, key)
			a.tombstones[key] = true
		}
	}
}

var quiet = slog.New(slog.DiscardHandler)

func (w *world) newOwner(name string) {
	o := &testOwner{handle: &handle{memoryStore: w.store}, done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	owner, err := Take(ctx, Options{
		Cell: testCell, Identity: Identity{Entry: name}, Store: o.handle, Agents: link{w, o}, Placer: place.LeastLoaded{},
		Document: func() *document.Document { return nil }, Grant: testGrant, Margin: testMargin, StoreSilence: testSilence,
		Retention: time.Hour, Log: quiet, Metrics: telemetry.NewMetrics(),
	})
	if err != nil {
		close(o.done)
		return
	}
	o.Owner = owner
	running, stop := context.WithCancel(context.Background())
	o.cancel = stop
	go func() {
		defer close(o.done)
		_ = owner.Run(running)
	}()
	w.mu.Lock()
	w.owners = append(w.owners, o)
	w.mu.Unlock()
}

// crash ends an owner as a killed process does: nothing of it reaches anybody any more.
func (w *world) crash(o *testOwner) {
	w.store.mu.Lock()
	o.handle.cut = true
	w.store.mu.Unlock()
	w.mu.Lock()
	o.deaf = true
	w.owners = slices.DeleteFunc(w.owners, func(other *testOwner) bool { return other == o })
	w.mu.Unlock()
	o.cancel()
	<-o.done
}

func (w *world) newest() *testOwner {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.owners) == 0 {
		return nil
	}
	return w.owners[len(w.owners)-1]
}

// step is one thing that happens.
type step struct {
	kind  string
	which int
	wait  time.Duration
}

var stepKinds = []string{"submit", "submit", "cut", "heal", "store-down", "store-up", "lose", "drop", "late", "cut", "heal", "crash", "zombie", "owner", "owner", "drain", "cancel"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			which: rapid.IntRange(0, 2).Draw(t, "which"),
			wait:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 5, 30).Draw(t, "steps")
}

// TestOwnersKeepTasksInOnePlace runs owners against agents while messages, answers of the
// store, owners and agents are lost, and judges the agents' record.
func TestOwnersKeepTasksInOnePlace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = play(steps) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

func play(steps []step) []string {
	w := &world{store: &memoryStore{items: map[string]driver.Item{}}, durable: map[string]bool{}}
	for i := range 3 {
		w.agents = append(w.agents, &testAgent{
			name: fmt.Sprintf("w%d", i), capacity: driver.NewResources(4000, 1<<30, 0),
			attempts: map[string]*testAttempt{}, tombstones: map[string]bool{},
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for _, a := range w.agents {
		wait.Go(func() {
			for ctx.Err() == nil {
				w.report(a)
				loop.Pause(ctx, heartbeat)
			}
		})
	}
	w.newOwner("first")
	jobs := map[string]bool{}
	for i, s := range steps {
		w.act(i, s, jobs)
		time.Sleep(s.wait)
	}
	faults := w.settle(jobs)
	stop()
	wait.Wait()
	w.wait.Wait()
	for o := w.newest(); o != nil; o = w.newest() {
		w.crash(o)
	}
	return append(faults, w.faults...)
}

func (w *world) act(i int, s step, jobs map[string]bool) {
	o := w.newest()
	switch s.kind {
	case "submit":
		if o != nil {
			w.submit(o, fmt.Sprintf("%s-%d", testCell, i), i%2 == 0, jobs)
		}
	case "cut":
		w.mu.Lock()
		w.agents[s.which].cut = true
		w.mu.Unlock()
	case "heal":
		w.heal()
	case "store-down", "store-up", "lose":
		w.store.mu.Lock()
		w.store.down = s.kind == "store-down"
		if s.kind == "lose" {
			w.store.lose = 1 + s.which
		}
		w.store.mu.Unlock()
	case "drop", "late":
		w.mu.Lock()
		if s.kind == "drop" {
			w.drop = 1 + s.which
		} else {
			w.late = 1 + s.which
		}
		w.mu.Unlock()
	case "crash":
		if o != nil {
			w.crash(o)
		}
	case "zombie":
		// The owner loses the store and goes on talking to agents.
		if o != nil {
			w.store.mu.Lock()
			o.handle.cut = true
			w.store.mu.Unlock()
		}
	case "owner":
		w.newOwner(fmt.Sprintf("owner-%d", i))
	case "drain":
		w.mu.Lock()
		w.agents[s.which].drain = true
		w.mu.Unlock()
	case "cancel":
		for id := range jobs {
			if o != nil {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				_ = o.Cancel(ctx, id)
				cancel()
			}
			break
		}
	}
}

func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.agents {
		a.cut, a.drain = false, false
	}
}

func (w *world) submit(o *testOwner, id string, idempotent bool, jobs map[string]bool) {
	job := &cellpb.Job{Id: id, Team: "team"}
	for n := range 3 {
		job.Tasks = append(job.Tasks, &cellpb.Task{
			Id: fmt.Sprintf("%s.%d", id, n), Class: "class", Idempotent: idempotent, MaxAttempts: 100,
			RunMillis: int64(1000 + 2500*n), Resources: &cellpb.Resources{MilliCpu: 1500, MemoryBytes: 1 << 20},
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if o.Submit(ctx, job) == nil {
		jobs[id] = true
	}
}

// settle heals everything, waits, and returns what must not be.
func (w *world) settle(jobs map[string]bool) (faults []string) {
	w.heal()
	w.store.mu.Lock()
	w.store.down, w.store.lose = false, 0
	w.store.mu.Unlock()
	w.newOwner("last")
	time.Sleep(settleTime)
	last := w.newest()
	faults = w.judgeEvents(last)
	for id := range jobs {
		job, err := last.Job(id)
		if err != nil {
			faults = append(faults, fmt.Sprintf("job %s was accepted and is gone: %v", id, err))
			continue
		}
		faults = append(faults, w.judgeJob(job)...)
	}
	return faults
}

// judgeEvents judges the agents' record. A task that may run more than once may finish a
// second time if the first finish was never heard of; it still runs in one place at a time.
func (w *world) judgeEvents(last *testOwner) (faults []string) {
	for _, f := range standin.Judge(w.events) {
		task, _, _ := strings.Cut(f, ":")
		job, err := last.Job(cellJob(task))
		again := strings.Contains(f, "finished again") || strings.Contains(f, "after the task had finished")
		if again && err == nil && job.GetTasks()[0].GetIdempotent() {
			continue
		}
		faults = append(faults, f)
	}
	return faults
}

func cellJob(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (w *world) judgeJob(job *cellpb.Job) (faults []string) {
	for _, t := range job.GetTasks() {
		finishes := 0
		for _, e := range w.events {
			if e.Task == t.GetId() && e.Kind == standin.EventFinish {
				finishes++
			}
		}
		switch {
		case t.GetPhase() == cellpb.Phase_PHASE_FINISHED && (finishes == 0 || finishes > 1 && !t.GetIdempotent()):
			faults = append(faults, fmt.Sprintf("%s counts as finished but finished %d times", t.GetId(), finishes))
		case terminal(t.GetPhase()):
		case t.GetPhase() == cellpb.Phase_PHASE_UNKNOWN && !t.GetIdempotent():
		default:
			faults = append(faults, fmt.Sprintf("%s is still %v, attempt %d on %s", t.GetId(), t.GetPhase(), t.GetAttempt(), t.GetWorker()))
		}
	}
	return faults
}

// TestLateStartIsRefused delays the starts of a job until its worker has been counted as
// lost, has come back, and the task runs elsewhere.
func TestLateStartIsRefused(t *testing.T) {
	for which := range 3 {
		steps := []step{
			{kind: "late", which: 2, wait: heartbeat},
			{kind: "owner", wait: time.Second}, // which makes the index of the next job even, and so idempotent
			{kind: "submit", wait: 200 * time.Millisecond},
			{kind: "cut", which: which, wait: testGrant + testMargin + 2*time.Second},
			{kind: "heal", wait: lateness},
		}
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = play(steps) })
		if len(faults) > 0 {
			t.Errorf("worker %d: %s", which, strings.Join(faults, "\n"))
		}
	}
}
