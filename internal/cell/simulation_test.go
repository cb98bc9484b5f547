package cell

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	standin "github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// testAttempt is an attempt on a testAgent.
type testAttempt struct {
	state  *peerpb.TaskState
	endsAt time.Time
}

// testAgent simulates an agent: it starts attempts only under a valid grant and ends them when the
// grant expires.
type testAgent struct {
	name        string
	capacity    driver.Resources
	epoch       uint64
	term        uint64
	grantEnd    time.Time
	attempts    map[string]*testAttempt
	tombstones  map[string]bool
	unreachable bool
	draining    bool
	// drift is the fraction by which the agent's clock runs slower than those of the owners.
	drift float64
}

// simulation is the environment of the owners: the store, the agents and the faults.
type simulation struct {
	mu            sync.Mutex
	store         *memoryStore
	agents        []*testAgent
	owners        []*testOwner
	events        []standin.Event
	violations    []string
	repliesToDrop int
	// startsToDelay is the number of start commands that will arrive late; delayedStarts waits for
	// those in flight.
	startsToDelay int
	delayedStarts sync.WaitGroup
	// finishedDurably holds the tasks whose finish has been made durable by an owner.
	finishedDurably map[string]bool
	// document is the document of all owners; it is nil, or evacuates the data centre since evacuatedAt.
	document    atomic.Pointer[document.Document]
	evacuatedAt time.Time
	reporters   sync.WaitGroup
	stopReports context.CancelFunc
}

type testOwner struct {
	*Owner
	store  *storeClient
	cancel context.CancelFunc
	done   chan struct{}
	// disconnected owners cannot reach agents.
	disconnected bool
}

// agentClient is one owner's connection to the agents.
type agentClient struct {
	sim   *simulation
	owner *testOwner
}

var errLost = errors.New("test: message lost")

func (c agentClient) deliver(name string, f func(*testAgent) *peerpb.TaskReply) (*peerpb.TaskReply, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	for _, a := range c.sim.agents {
		if a.name != name {
			continue
		}
		if a.unreachable || c.owner.disconnected {
			return nil, errLost
		}
		c.sim.advance(a)
		reply := f(a)
		if c.sim.repliesToDrop > 0 {
			c.sim.repliesToDrop--
			return nil, errLost
		}
		return reply, nil
	}
	return nil, errLost
}

func (c agentClient) Start(_ context.Context, name string, s *peerpb.StartTask) (*peerpb.TaskReply, error) {
	c.sim.mu.Lock()
	delayed := c.sim.startsToDelay > 0
	if delayed {
		c.sim.startsToDelay--
	}
	c.sim.mu.Unlock()
	if delayed {
		// The command stays in a socket buffer and arrives after the caller has timed out.
		c.sim.delayedStarts.Go(func() {
			time.Sleep(startDelay)
			_, _ = c.deliver(name, func(a *testAgent) *peerpb.TaskReply { return c.sim.start(a, s) })
		})
		return nil, errLost
	}
	return c.deliver(name, func(a *testAgent) *peerpb.TaskReply {
		if c.sim.document.Load() != nil && time.Since(c.sim.evacuatedAt) > 0 {
			c.sim.violations = append(c.sim.violations, s.GetTask()+" was started in an evacuated data centre")
		}
		return c.sim.start(a, s)
	})
}

func (c agentClient) Stop(_ context.Context, name string, s *peerpb.StopTask) (*peerpb.TaskReply, error) {
	return c.deliver(name, func(a *testAgent) *peerpb.TaskReply { return c.sim.stop(a, s) })
}

func (sm *simulation) record(a *testAgent, s *peerpb.TaskState, kind standin.EventKind, at time.Time) {
	sm.events = append(sm.events, standin.Event{Worker: a.name, Task: s.GetTask(), Attempt: s.GetAttempt(), Kind: kind, At: at})
}

// advance ends the attempts that have finished or whose grant has expired by now.
func (sm *simulation) advance(a *testAgent) {
	now := time.Now()
	for _, t := range a.attempts {
		switch {
		case t.state.GetPhase() != peerpb.Phase_PHASE_RUNNING:
		case !t.endsAt.After(now) && !t.endsAt.After(a.grantEnd):
			t.state.Phase = peerpb.Phase_PHASE_FINISHED
			sm.record(a, t.state, standin.EventFinish, t.endsAt)
		case !a.grantEnd.After(now):
			t.state.Phase = peerpb.Phase_PHASE_STOPPED
			t.state.Checkpoint = t.state.GetTask() + ".lapse"
			sm.record(a, t.state, standin.EventLeaseExpired, a.grantEnd)
		}
	}
}

func (sm *simulation) start(a *testAgent, s *peerpb.StartTask) *peerpb.TaskReply {
	key := attemptKey(s.GetTask(), s.GetAttempt())
	if t := a.attempts[key]; t != nil {
		return &peerpb.TaskReply{Accepted: true, State: t.state}
	}
	free := a.capacity
	for _, t := range a.attempts {
		if t.state.GetPhase() == peerpb.Phase_PHASE_RUNNING {
			free = free.Minus(driver.ResourcesFromProto(t.state.GetUsed()))
		}
	}
	reason := peerpb.Reason_REASON_UNSPECIFIED
	switch {
	case a.epoch != s.GetEpoch() || a.term != s.GetTerm() || !time.Now().Before(a.grantEnd):
		reason = peerpb.Reason_REASON_STALE_EPOCH
	case a.tombstones[key]:
		reason = peerpb.Reason_REASON_CANCELLED
	case !driver.ResourcesFromProto(s.GetResources()).Fits(free):
		reason = peerpb.Reason_REASON_FULL
		sm.violations = append(sm.violations, a.name+" was offered more than it holds")
	}
	if reason != peerpb.Reason_REASON_UNSPECIFIED {
		a.tombstones[key] = true
		return &peerpb.TaskReply{Reason: reason}
	}
	if !s.GetIdempotent() && strings.HasSuffix(s.GetCheckpoint(), ".lapse") {
		sm.violations = append(sm.violations, key+" repeats work that an earlier attempt did after its checkpoint")
	}
	if sm.finishedDurably[s.GetTask()] {
		sm.violations = append(sm.violations, key+" was started after its finish was durable")
	}
	t := &testAttempt{
		state:  &peerpb.TaskState{Task: s.GetTask(), Attempt: s.GetAttempt(), Phase: peerpb.Phase_PHASE_RUNNING, Used: s.GetResources()},
		endsAt: time.Now().Add(time.Duration(s.GetRunMillis()) * time.Millisecond),
	}
	a.attempts[key] = t
	sm.record(a, t.state, standin.EventStart, time.Now())
	return &peerpb.TaskReply{Accepted: true, State: t.state}
}

func (sm *simulation) stop(a *testAgent, s *peerpb.StopTask) *peerpb.TaskReply {
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
		sm.record(a, t.state, standin.EventStop, time.Now())
	}
	return &peerpb.TaskReply{Accepted: true, State: t.state}
}

// report sends an agent's heartbeat to every owner that it can reach.
func (sm *simulation) report(a *testAgent) {
	sm.mu.Lock()
	sm.advance(a)
	owners := slices.DeleteFunc(slices.Clone(sm.owners), func(o *testOwner) bool { return o.disconnected })
	r := &peerpb.Report{Cell: testCell, Epoch: a.epoch, Term: a.term, Draining: a.draining, Capacity: a.capacity.Proto(), Free: a.capacity.Proto()}
	for _, t := range a.attempts {
		r.Tasks = append(r.Tasks, &peerpb.TaskState{Task: t.state.GetTask(), Attempt: t.state.GetAttempt(), Phase: t.state.GetPhase(), Checkpoint: t.state.GetCheckpoint(), Exact: t.state.GetExact(), Used: t.state.GetUsed()})
	}
	unreachable := a.unreachable
	sm.mu.Unlock()
	sent := time.Now()
	for _, o := range owners {
		if unreachable {
			continue
		}
		u := o.Report(WorkerInfo{Name: a.name, Incarnation: 1}, r)
		if u == nil {
			continue
		}
		finished := durablyFinished(o, u.GetSettled())
		sm.mu.Lock()
		sm.advance(a)
		sm.update(a, u, sent)
		for _, task := range finished {
			sm.finishedDurably[task] = true
		}
		sm.mu.Unlock()
	}
}

// durablyFinished returns the acknowledged tasks whose finish, by the same attempt, is in the
// owner's state, and is therefore committed.
func durablyFinished(o *testOwner, settled []*peerpb.TaskKey) (tasks []string) {
	for _, k := range settled {
		job, err := o.Job(jobOfTask(k.GetTask()))
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

func (sm *simulation) update(a *testAgent, u *peerpb.Update, sent time.Time) {
	if u.GetEpoch() < a.epoch || u.GetEpoch() == a.epoch && u.GetTerm() < a.term {
		return
	}
	a.epoch, a.term = u.GetEpoch(), u.GetTerm()
	a.grantEnd = sent.Add(time.Duration(float64(u.GetGrantMillis()) * (1 + a.drift) * float64(time.Millisecond)))
	for _, k := range u.GetSettled() {
		key := attemptKey(k.GetTask(), k.GetAttempt())
		if t := a.attempts[key]; t != nil && t.state.GetPhase() != peerpb.Phase_PHASE_RUNNING {
			delete(a.attempts, key)
			a.tombstones[key] = true
		}
	}
}

var discardLog = slog.New(slog.DiscardHandler)

func (sm *simulation) newOwner(name string) {
	o := &testOwner{store: &storeClient{memoryStore: sm.store}, done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	owner, err := Take(ctx, Options{
		Cell: testCell, DataCentre: testDataCentre, Identity: Identity{Entry: name}, Store: o.store, Agents: agentClient{sm, o}, Placer: place.LeastLoaded{},
		Document: sm.document.Load, Grant: testGrant, Margin: testMargin, StoreSilence: testStoreSilence,
		Retention: time.Hour, Log: discardLog, Metrics: telemetry.NewMetrics(),
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
	sm.mu.Lock()
	sm.owners = append(sm.owners, o)
	sm.mu.Unlock()
}

// crash stops an owner as a killed process would: it reaches neither the store nor agents any
// more.
func (sm *simulation) crash(o *testOwner) {
	sm.store.mu.Lock()
	o.store.disconnected = true
	sm.store.mu.Unlock()
	sm.mu.Lock()
	o.disconnected = true
	sm.owners = slices.DeleteFunc(sm.owners, func(other *testOwner) bool { return other == o })
	sm.mu.Unlock()
	o.cancel()
	<-o.done
}

func (sm *simulation) newestOwner() *testOwner {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	if len(sm.owners) == 0 {
		return nil
	}
	return sm.owners[len(sm.owners)-1]
}

// checkEvents checks the events that the agents recorded. An idempotent task may finish a second
// time if the owner never learned of the first finish, but it must still run in only one place at
// a time.
func (sm *simulation) checkEvents(last *testOwner) (violations []string) {
	for _, f := range standin.CheckHistory(sm.events) {
		task, _, _ := strings.Cut(f, ":")
		job, err := last.Job(jobOfTask(task))
		again := strings.Contains(f, "finished again") || strings.Contains(f, "after the task had finished")
		if again && err == nil && job.GetTasks()[0].GetIdempotent() {
			continue
		}
		violations = append(violations, f)
	}
	return violations
}

func jobOfTask(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (sm *simulation) checkJob(job *cellpb.Job) (violations []string) {
	for _, t := range job.GetTasks() {
		finishes := 0
		for _, e := range sm.events {
			if e.Task == t.GetId() && e.Kind == standin.EventFinish {
				finishes++
			}
		}
		switch {
		case t.GetPhase() == cellpb.Phase_PHASE_FINISHED && (finishes == 0 || finishes > 1 && !t.GetIdempotent()):
			violations = append(violations, fmt.Sprintf("%s counts as finished but finished %d times", t.GetId(), finishes))
		case terminal(t.GetPhase()):
		case t.GetPhase() == cellpb.Phase_PHASE_UNKNOWN && !t.GetIdempotent():
		default:
			violations = append(violations, fmt.Sprintf("%s is still %v, attempt %d on %s", t.GetId(), t.GetPhase(), t.GetAttempt(), t.GetWorker()))
		}
	}
	return violations
}
