package cell

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	testGrant         = 4 * time.Second
	testMargin        = time.Second
	testStoreSilence  = 20 * time.Second
	testCell          = "test.0"
	testDataCentre    = "test"
	heartbeatInterval = 500 * time.Millisecond
	startDelay        = 9 * time.Second
	recoveryTime      = 5 * time.Minute
)

// driftMax is the largest clock drift of an agent that the default margin covers.
const driftMax = float64(DefaultMargin) / float64(DefaultGrant)

// testDrifts are the clock drifts of the agents.
var testDrifts = []float64{driftMax, 0, -driftMax}

// step is a fault or action in a simulation, and the pause after it.
type step struct {
	kind string
	// index selects the agent, or is one less than the number of messages that a fault affects.
	index int
	wait  time.Duration
}

var stepKinds = []string{"submit", "submit", "cut", "heal", "store-down", "store-up", "lose", "drop", "late", "cut", "heal", "crash", "zombie", "owner", "owner", "drain", "cancel", "evacuate", "take-back"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			index: rapid.IntRange(0, 2).Draw(t, "which"),
			wait:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 5, 30).Draw(t, "steps")
}

// TestOwnersKeepTasksInOnePlace checks that no task runs twice at a time or is lost. It runs
// owners against simulated agents while messages, replies of the store, owners and agents fail,
// and then checks the events that the agents recorded.
func TestOwnersKeepTasksInOnePlace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = simulate(steps, testDrifts) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

func simulate(steps []step, drifts []float64) []string {
	sim := newSimulation(drifts)
	jobs := map[string]bool{}
	for i, s := range steps {
		sim.applyStep(i, s, jobs)
		time.Sleep(s.wait)
	}
	violations := sim.recoverAndCheck(jobs)
	sim.end()
	return append(violations, sim.violations...)
}

// newSimulation starts agents with the given clock drifts, which report at an interval, and an owner.
func newSimulation(drifts []float64) *simulation {
	sim := &simulation{store: &memoryStore{items: map[string]driver.Item{}}, finishedDurably: map[string]bool{}}
	for i, drift := range drifts {
		sim.agents = append(sim.agents, &testAgent{
			name: fmt.Sprintf("w%d", i), drift: drift, capacity: driver.NewResources(4000, 1<<30, 0),
			attempts: map[string]*testAttempt{}, tombstones: map[string]bool{},
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	sim.stopReports = cancel
	for _, a := range sim.agents {
		sim.reporters.Go(func() {
			for ctx.Err() == nil {
				sim.report(a)
				loop.Pause(ctx, heartbeatInterval)
			}
		})
	}
	sim.newOwner("first")
	return sim
}

// end stops the agents' reports and the owners.
func (sm *simulation) end() {
	sm.stopReports()
	sm.reporters.Wait()
	sm.delayedStarts.Wait()
	for o := sm.newestOwner(); o != nil; o = sm.newestOwner() {
		sm.crash(o)
	}
}

func (sm *simulation) applyStep(i int, s step, jobs map[string]bool) {
	o := sm.newestOwner()
	switch s.kind {
	case "submit":
		if o != nil {
			sm.submit(o, fmt.Sprintf("%s-%d", testCell, i), i%2 == 0, jobs)
		}
	case "cut":
		sm.mu.Lock()
		sm.agents[s.index].unreachable = true
		sm.mu.Unlock()
	case "heal":
		sm.reconnectAgents()
	case "store-down", "store-up", "lose":
		sm.store.mu.Lock()
		sm.store.down = s.kind == "store-down"
		if s.kind == "lose" {
			sm.store.repliesToLose = 1 + s.index
		}
		sm.store.mu.Unlock()
	case "drop", "late":
		sm.mu.Lock()
		if s.kind == "drop" {
			sm.repliesToDrop = 1 + s.index
		} else {
			sm.startsToDelay = 1 + s.index
		}
		sm.mu.Unlock()
	case "crash":
		if o != nil {
			sm.crash(o)
		}
	case "zombie":
		// The owner loses its connection to the store but still reaches the agents.
		if o != nil {
			sm.store.mu.Lock()
			o.store.disconnected = true
			sm.store.mu.Unlock()
		}
	case "owner":
		sm.newOwner(fmt.Sprintf("owner-%d", i))
	case "drain":
		sm.mu.Lock()
		sm.agents[s.index].draining = true
		sm.mu.Unlock()
	case "evacuate", "take-back":
		sm.evacuate(s.kind == "evacuate")
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

func (sm *simulation) evacuate(evacuated bool) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	switch {
	case !evacuated:
		sm.document.Store(nil)
	case sm.document.Load() == nil:
		sm.document.Store(&document.Document{DataCentres: []document.DataCentre{{Name: testDataCentre, Cells: 1, Evacuated: true}}})
		sm.evacuatedAt = time.Now()
	}
}

func (sm *simulation) reconnectAgents() {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	for _, a := range sm.agents {
		a.unreachable, a.draining = false, false
	}
}

func (sm *simulation) submit(o *testOwner, id string, idempotent bool, jobs map[string]bool) {
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

// recoverAndCheck ends all faults, lets the last owner recover, and returns the violations.
func (sm *simulation) recoverAndCheck(jobs map[string]bool) (violations []string) {
	sm.reconnectAgents()
	sm.evacuate(false)
	sm.store.mu.Lock()
	sm.store.down, sm.store.repliesToLose = false, 0
	sm.store.mu.Unlock()
	sm.newOwner("last")
	time.Sleep(recoveryTime)
	last := sm.newestOwner()
	violations = sm.checkEvents(last)
	for id := range jobs {
		job, err := last.Job(id)
		if err != nil {
			violations = append(violations, fmt.Sprintf("job %s was accepted and is gone: %v", id, err))
			continue
		}
		violations = append(violations, sm.checkJob(job)...)
	}
	return violations
}

// TestLateStartIsRefused guards against a start command that arrives late. It delays the starts of
// a job until the worker has been counted as lost, has reconnected, and the task runs elsewhere.
func TestLateStartIsRefused(t *testing.T) {
	for target := range 3 {
		steps := []step{
			{kind: "late", index: 2, wait: heartbeatInterval},
			{kind: "owner", wait: time.Second}, // makes the index of the next step even, and so its job idempotent
			{kind: "submit", wait: 200 * time.Millisecond},
			{kind: "cut", index: target, wait: testGrant + testMargin + 2*time.Second},
			{kind: "heal", wait: startDelay},
		}
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = simulate(steps, testDrifts) })
		if len(violations) > 0 {
			t.Errorf("worker %d: %s", target, strings.Join(violations, "\n"))
		}
	}
}

// TestSlowClocks guards against agents that run tasks beyond the end of their grant. It cuts off
// each worker in turn while tasks outlast the grant, with agents whose clocks are as slow as the
// margin allows.
func TestSlowClocks(t *testing.T) {
	for target := range testDrifts {
		steps := []step{
			{kind: "heal", wait: 2 * heartbeatInterval},
			{kind: "heal"}, // makes the index of the next step even, and so its job idempotent
			{kind: "submit", wait: heartbeatInterval / 2},
			{kind: "cut", index: target, wait: 2 * (testGrant + testMargin)},
			{kind: "heal"},
		}
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = simulate(steps, []float64{driftMax, driftMax, driftMax}) })
		if len(violations) > 0 {
			t.Errorf("worker %d: %s", target, strings.Join(violations, "\n"))
		}
	}
}
