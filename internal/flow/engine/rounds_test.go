package engine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// roundSchedules and roundScheduleSteps are the default number of schedules and their mean length.
const (
	roundSchedules     = "300"
	roundScheduleSteps = "20"
)

// TestRoundsKeepLimits draws runners and jobs with all constraints on placement at once, several of which wait for each
// round, and checks what the runners were told to start with a checker that knows the rules for runners alone. It guards
// against rounds that don't see what they have placed or reserved themselves, as in review/10.
func TestRoundsKeepLimits(t *testing.T) {
	setFlagDefault(t, "rapid.checks", roundSchedules)
	setFlagDefault(t, "rapid.steps", roundScheduleSteps)
	rapid.Check(t, func(rt *rapid.T) {
		w := newRoundWorld(t)
		rt.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"runner":   w.drawRunner,
			"jobs":     w.drawJobs,
			"end":      w.drawEnd,
			"advise":   func(*rapid.T) { w.advise(); w.commitAll() },
			"wait":     func(t *rapid.T) { w.wait(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * testTick) },
			"evacuate": w.drawEvacuation,
			"crash": func(t *rapid.T) {
				if node := w.drawNode(t); node != "" {
					w.restartRunner(node)
				}
			},
		})
	})
}

// roundWorld is a harness whose runners keep what they were told to start.
type roundWorld struct {
	*harness
	jobs map[string]*flowpb.Job
}

func newRoundWorld(t *testing.T) *roundWorld {
	w := &roundWorld{harness: newHarness(t), jobs: map[string]*flowpb.Job{}}
	w.queues = map[string]Queue{}
	for i, name := range []string{"urgent", "plain", "advised", "other"} {
		w.queues[name] = Queue{Name: name, Service: "hub", Priority: min(i, 1), MaxAttempts: 3, Stretch: 2, Target: time.Second, Advised: name == "advised"}
	}
	other := w.queues["other"]
	other.Service = "press"
	w.queues["other"] = other
	w.advised = func(job string) bool { return w.queues[w.jobs[job].GetQueue()].Advised }
	w.restart(0)
	w.engine.SetGrantUntil(w.now.Monotonic + 100*time.Hour)
	return w
}

func (w *roundWorld) drawNode(t *rapid.T) string {
	if len(w.runners) == 0 {
		return ""
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(w.runners))).Draw(t, "node")
}

func (w *roundWorld) drawRunner(t *rapid.T) {
	if len(w.runners) >= 6 {
		return
	}
	node := fmt.Sprintf("n%d", len(w.runners))
	info := &flowpb.Runner{
		Id: "i-" + node, Born: 1, Service: rapid.SampledFrom([]string{"hub", "hub", "press"}).Draw(t, "service"),
		Labels:   []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "label"), rapid.SampledFrom([]string{"r1-1", "r1-2"}).Draw(t, "rack")},
		MilliCpu: int64(rapid.IntRange(1, 8).Draw(t, "cpu")) * 1000, MemoryMb: int64(rapid.IntRange(1, 8).Draw(t, "memory")) * 100,
		Accelerators: int64(rapid.IntRange(0, 2).Draw(t, "accelerators")),
	}
	w.runners[node] = &fakeRunner{running: map[driver.RunID]*flowpb.Run{}, info: info}
	w.connect(node)
	w.commitAll()
}

// drawJobs submits several jobs, whose tasks are placed in one round.
func (w *roundWorld) drawJobs(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "jobs") {
		job := &flowpb.Job{Id: fmt.Sprintf("j%d", len(w.jobs)+1), Queue: rapid.SampledFrom(slices.Sorted(maps.Keys(w.queues))).Draw(t, "queue")}
		for range rapid.IntRange(1, 2).Draw(t, "steps") {
			job.Steps = append(job.Steps, w.drawStep(t))
		}
		w.jobs[job.GetId()] = job
		w.lastCall++
		w.engine.Submit(w.lastCall, job, w.now)
	}
	w.commitAll()
}

func (w *roundWorld) drawStep(t *rapid.T) *flowpb.Step {
	s := &flowpb.Step{
		Count: uint32(rapid.IntRange(1, 6).Draw(t, "count")), MilliCpu: int64(rapid.IntRange(0, 4).Draw(t, "cpu")) * 500, MemoryMb: int64(rapid.IntRange(0, 4).Draw(t, "memory")) * 50,
		Accelerators: int64(max(0, rapid.IntRange(-3, 1).Draw(t, "accelerators"))), EstimateMillis: 1000,
		MaxPerRunner: uint32(max(0, rapid.IntRange(-2, 2).Draw(t, "apart"))), RequiresLabel: rapid.SampledFrom([]string{"", "", "a"}).Draw(t, "requires"),
	}
	switch rapid.SampledFrom([]string{"plain", "gang", "same rack", "lasting", "fills", "copies"}).Draw(t, "kind") {
	case "gang":
		s.Gang = true
	case "same rack":
		s.Gang, s.SameRack = true, true
	case "lasting":
		s.Lasting, s.MayMiss = true, uint32(rapid.IntRange(0, 2).Draw(t, "may miss"))
	case "fills":
		s.Fills, s.Image = true, "f"
	case "copies":
		s.Speculative = true
	}
	return s
}

func (w *roundWorld) drawEnd(t *rapid.T) {
	node := w.drawNode(t)
	if node == "" || len(w.runners[node].running) == 0 {
		return
	}
	kind := rapid.SampledFrom([]driver.EndKind{driver.EndDone, driver.EndFailed}).Draw(t, "kind")
	w.runners[node].end(rapid.SampledFrom(w.runners[node].sortedRuns()).Draw(t, "run"), kind, "")
	w.report(node)
	w.commitAll()
}

func (w *roundWorld) drawEvacuation(t *rapid.T) {
	evacuated := []string{}
	for _, node := range slices.Sorted(maps.Keys(w.runners)) {
		if rapid.IntRange(0, 4).Draw(t, "evacuated") == 0 {
			evacuated = append(evacuated, "i-"+node)
		}
	}
	w.engine.SetEvacuating(evacuated)
	w.commitAll()
}

// check checks what runs on each runner against what RULES.md says of starts: LIMIT, ROUTE (service, label, antiAffinity),
// and TWICE.
func (w *roundWorld) check(t *rapid.T) {
	running := map[string]string{}
	for _, node := range slices.Sorted(maps.Keys(w.runners)) {
		r := w.runners[node]
		cpu, memory, accelerators, byStep := int64(0), int64(0), int64(0), map[string]uint32{}
		for _, id := range r.sortedRuns() {
			job, s, step := w.stepOf(id.Task)
			if !s.GetFills() {
				cpu += s.GetMilliCpu()
			}
			memory += s.GetMemoryMb()
			accelerators += s.GetAccelerators()
			byStep[step]++
			if q := w.queues[job.GetQueue()]; q.Service != r.info.GetService() {
				t.Fatalf("%s of service %s runs on %s of %s", id.Task, q.Service, node, r.info.GetService())
			}
			if label := s.GetRequiresLabel(); label != "" && !slices.Contains(r.info.GetLabels(), label) {
				t.Fatalf("%s requires %s and runs on %s, which has %v", id.Task, label, node, r.info.GetLabels())
			}
			if limit := s.GetMaxPerRunner(); limit > 0 && byStep[step] > limit {
				t.Fatalf("%d tasks of %s run on %s, at most %d may", byStep[step], step, node, limit)
			}
			if other, twice := running[id.Task]; twice && !s.GetSpeculative() {
				t.Fatalf("%s runs on %s and %s", id.Task, other, node)
			}
			running[id.Task] = node
		}
		if cpu > r.info.GetMilliCpu() || memory > r.info.GetMemoryMb() || accelerators > r.info.GetAccelerators() {
			t.Fatalf("%s has %d mCPU, %d MB, %d accelerators, and its tasks take %d, %d, %d", node, r.info.GetMilliCpu(), r.info.GetMemoryMb(), r.info.GetAccelerators(), cpu, memory, accelerators)
		}
	}
}

// stepOf returns the job and the step of a task, and the step's name.
func (w *roundWorld) stepOf(task string) (job *flowpb.Job, s *flowpb.Step, name string) {
	fields := strings.Split(task, ".")
	number := 0
	_, _ = fmt.Sscan(fields[2], &number)
	job = w.jobs[fields[0]]
	return job, job.GetSteps()[number], strings.Join(fields[:3], ".")
}
