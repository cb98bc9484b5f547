package cell

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
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
	// drift is how much slower than the owners' this agent's clock runs.
	drift float64
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
			free = free.Minus(driver.ResourcesFromProto(t.state.GetUsed()))
		}
	}
	reason := peerpb.Reason_REASON_UNSPECIFIED
	switch {
	case a.epoch != s.GetEpoch() || a.term != s.GetTerm() || !time.Now().Before(a.until):
		reason = peerpb.Reason_REASON_STALE_EPOCH
	case a.tombstones[key]:
		reason = peerpb.Reason_REASON_CANCELLED
	case !driver.ResourcesFromProto(s.GetResources()).Fits(free):
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
	r := &peerpb.Report{Cell: testCell, Epoch: a.epoch, Term: a.term, Draining: a.drain, Capacity: a.capacity.Proto(), Free: a.capacity.Proto()}
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
	a.until = sent.Add(time.Duration(float64(u.GetGrantMillis()) * (1 + a.drift) * float64(time.Millisecond)))
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
