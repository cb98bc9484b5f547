package cell

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
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

// driftMax is how much slower an agent's clock may run than the margin allows for by default.
const driftMax = float64(DefaultMargin) / float64(DefaultGrant)

// testDrifts are the drifts of the agents' clocks.
var testDrifts = []float64{driftMax, 0, -driftMax}

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
		synctest.Test(t, func(*testing.T) { faults = play(steps, testDrifts) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

func play(steps []step, drifts []float64) []string {
	w := &world{store: &memoryStore{items: map[string]driver.Item{}}, durable: map[string]bool{}}
	for i, drift := range drifts {
		w.agents = append(w.agents, &testAgent{
			name: fmt.Sprintf("w%d", i), drift: drift, capacity: driver.NewResources(4000, 1<<30, 0),
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
		synctest.Test(t, func(*testing.T) { faults = play(steps, testDrifts) })
		if len(faults) > 0 {
			t.Errorf("worker %d: %s", which, strings.Join(faults, "\n"))
		}
	}
}

// TestSlowClocks cuts off each worker in turn while tasks run that outlast the grant, with
// agents whose clocks are as slow as the margin allows for.
func TestSlowClocks(t *testing.T) {
	for which := range testDrifts {
		steps := []step{
			{kind: "heal", wait: 2 * heartbeat},
			{kind: "heal"}, // which makes the index of the job even, and so idempotent
			{kind: "submit", wait: heartbeat / 2},
			{kind: "cut", which: which, wait: 2 * (testGrant + testMargin)},
			{kind: "heal"},
		}
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = play(steps, []float64{driftMax, driftMax, driftMax}) })
		if len(faults) > 0 {
			t.Errorf("worker %d: %s", which, strings.Join(faults, "\n"))
		}
	}
}
