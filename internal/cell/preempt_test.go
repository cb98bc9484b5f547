package cell

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// TestHeldRoom guards against patient tasks taking capacity that was vacated for an urgent task,
// and against holds that outlast the wait of the urgent task.
func TestHeldRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	state := NewState()
	is.NoErr(state.Apply(acceptedRecord(&cellpb.Job{Id: "j", Tasks: []*cellpb.Task{{Id: "urgent"}}})))
	o := &Owner{control: control{state: state, workers: map[string]*worker{}, holds: map[string]capacityHold{}}}
	four := driver.NewResources(4000, 1, 0)
	o.control.holds["urgent"] = capacityHold{worker: "a", need: four, until: now.Add(time.Second)}
	is.Equal(o.heldForOthers("a", "", now), four)
	is.Equal(o.heldForOthers("b", "", now), driver.Resources{})
	is.Equal(o.heldForOthers("a", "urgent", now), driver.Resources{})
	is.Equal(o.heldForOthers("a", "", now.Add(2*time.Second)), driver.Resources{})
	is.Equal(len(o.control.holds), 0)

	o.control.holds["urgent"] = capacityHold{worker: "a", need: four, until: now.Add(time.Second)}
	is.NoErr(state.Apply(placedRecord(&cellpb.Placed{Task: "urgent", Attempt: 1, Worker: "a"})))
	is.Equal(o.heldForOthers("a", "", now), driver.Resources{})
}

// slowAgents answers each stop with a refusal after a delay.
type slowAgents struct{ delay time.Duration }

func (slowAgents) Start(context.Context, string, *peerpb.StartTask) (*peerpb.TaskReply, error) {
	return &peerpb.TaskReply{}, nil
}

func (s slowAgents) Stop(ctx context.Context, _ string, _ *peerpb.StopTask) (*peerpb.TaskReply, error) {
	loop.Pause(ctx, s.delay)
	return &peerpb.TaskReply{}, ctx.Err()
}

// preemptHarness is an owner of workers that are full of patient tasks.
type preemptHarness struct {
	*is.I
	owner *Owner
}

func newPreemptHarness(t *testing.T, stopDelay time.Duration, workers ...string) *preemptHarness {
	h := &preemptHarness{I: is.New(t), owner: &Owner{
		options: Options{
			Agents: slowAgents{stopDelay}, Placer: place.LeastLoaded{}, Metrics: telemetry.NewMetrics(),
			Document: func() *document.Document { return nil },
		},
		log: discardLog, loop: loop.New(), ctx: t.Context(), commitSignal: make(chan struct{}, 1),
		control: control{
			state: NewState(), workers: map[string]*worker{}, queue: newQueue(), reservedByTeam: map[string]driver.Resources{},
			model: interfere.New(), overuse: newOveruse(), nextPreempt: map[string]time.Time{}, holds: map[string]capacityHold{},
		},
	}}
	four, two := resourcesMessage(driver.NewResources(4000, 1, 0)), resourcesMessage(driver.NewResources(2000, 1, 0))
	for _, job := range []*cellpb.Job{
		{Id: "u", Urgency: urgentRank, Tasks: []*cellpb.Task{{Id: "urgent", Resources: four}, {Id: "other", Resources: four}}},
		{Id: "p", Urgency: patientRank, Tasks: []*cellpb.Task{{Id: "patient", Resources: two}}},
	} {
		h.NoErr(h.owner.control.state.Apply(acceptedRecord(job)))
		for _, task := range job.GetTasks() {
			h.owner.control.queue.push(job.GetUrgency(), "", task.GetId(), false)
		}
	}
	for _, name := range workers {
		w := h.owner.ensureWorker(name)
		w.capacity = driver.NewResources(8000, 8, 0)
		for i := range 4 {
			w.assign(&assignment{task: fmt.Sprint(name, i), urgency: patientRank, mayHaveRun: true, reserved: driver.NewResources(2000, 1, 0)})
		}
	}
	go h.owner.loop.Run(t.Context())
	return h
}

// preempt makes room for two of the four tasks of a worker, and returns how many tasks are being
// evicted then.
func (h *preemptHarness) preempt(task string) (evicted int) {
	h.NoErr(h.owner.loop.Do(func() {
		for _, w := range h.owner.control.workers {
			w.lastReport = time.Now()
		}
		h.owner.preempt(task, driver.NewResources(4000, 1, 0), time.Now())
		for _, w := range h.owner.control.workers {
			for _, a := range w.assigned {
				if a.evictRequested {
					evicted++
				}
			}
		}
	}))
	return evicted
}

// TestPreemptionWaitsForStops guards against further evictions for an urgent task while the first
// ones are under way. An agent that has answered without an end of the task is not waited for.
func TestPreemptionWaitsForStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPreemptHarness(t, preemptInterval+time.Second, "a", "b")
		h.Equal(h.preempt("urgent"), 2)
		time.Sleep(preemptInterval)
		h.Equal(h.preempt("urgent"), 2) // the stops are under way
		h.NoErr(h.owner.loop.Do(func() {
			h.Equal(h.owner.heldForOthers("a", "", time.Now()), driver.NewResources(4000, 1, 0))
		}))
		time.Sleep(preemptInterval)
		h.Equal(h.preempt("urgent"), 4) // the agent has answered without an end
		h.owner.calls.Wait()
	})
}

// end ends an evicted task, and places the waiting tasks.
func (h *preemptHarness) end(worker, task string) {
	h.NoErr(h.owner.loop.Do(func() {
		h.True(h.owner.control.workers[worker].assigned[task].evictRequested)
		h.owner.control.workers[worker].unassign(task)
		h.owner.control.placementDue = true
		h.owner.placeWaiting(time.Now())
	}))
}

// placedOn returns the worker of a task, or "" while it waits.
func (h *preemptHarness) placedOn(task string) (worker string) {
	h.NoErr(h.owner.loop.Do(func() { worker = h.owner.control.state.tasks[task].task.GetWorker() }))
	return worker
}

// TestPreemptionOfTwoTasks guards against further evictions, and patient tasks that take the room,
// where an urgent task is placed in the room that was vacated for another one.
func TestPreemptionOfTwoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPreemptHarness(t, preemptInterval+time.Second, "a", "b")
		h.Equal(h.preempt("urgent"), 2)
		h.Equal(h.preempt("other"), 4)
		time.Sleep(preemptInterval / 2)
		h.end("a", "a0")
		h.end("b", "b0")
		h.end("b", "b1")
		h.Equal(h.placedOn("urgent"), "b")
		h.Equal(h.placedOn("patient"), "") // the room on a is now held for the other task
		time.Sleep(preemptInterval / 2)
		h.Equal(h.preempt("other"), 1)
		h.end("a", "a1")
		h.Equal(h.placedOn("other"), "a")
		h.owner.calls.Wait()
	})
}
