package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// healthHarness is an owner without a running loop, whose attempts end as a script says, on a simulated clock.
type healthHarness struct {
	t     *testing.T
	owner *Owner
	now   time.Time
	tasks int
}

// TestHealth runs the scripts in testdata/health. They guard against jobs whose failures count against sound workers, and
// against workers that go on to get tasks though they fail all.
func TestHealth(t *testing.T) {
	datadriven.Walk(t, "testdata/health", func(t *testing.T, path string) {
		h := &healthHarness{t: t, now: time.Unix(1_000_000, 0), owner: &Owner{
			options: Options{Cell: testCell, Metrics: telemetry.NewMetrics()}, log: discardLog, commitSignal: make(chan struct{}, 1),
			control: control{
				state: NewState(), workers: map[string]*worker{}, queue: newQueue(), reservedByTeam: map[string]driver.Resources{}, failures: map[string]*jobFailures{},
			},
		}}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return h.runCommand(d) })
	})
}

func (h *healthHarness) runCommand(d *datadriven.TestData) string {
	name, job, seconds, count := "", "", 0, 1
	for argument, target := range map[string]any{"worker": &name, "job": &job, "seconds": &seconds, "count": &count} {
		if d.HasArg(argument) {
			d.ScanArgs(h.t, argument, target)
		}
	}
	o := h.owner
	switch d.Cmd {
	case "workers":
		for _, arg := range d.CmdArgs {
			o.ensureWorker(arg.Key).lastReport = h.now
		}
	case "run":
		h.run(name, job)
	case "fail", "finish":
		// Attempts of the job begin on the worker and end after a time.
		ending := map[string]cellpb.Ending{"fail": cellpb.Ending_ENDING_FAILED, "finish": cellpb.Ending_ENDING_FINISHED}[d.Cmd]
		for range count {
			task := h.run(name, job)
			h.wait(time.Duration(seconds) * time.Second)
			o.endAttempt(o.ensureWorker(name), task, 1, ending, "", "", h.now)
		}
	case "refuse":
		for range count {
			o.countFailure(o.ensureWorker(name), "", h.now)
		}
	case "wait":
		h.wait(time.Duration(seconds) * time.Second)
	case "queue":
		// The waiting tasks in their order, by job.
		var jobs []string
		for _, level := range o.control.queue.levels {
			for _, list := range level {
				for e := list.Front(); e != nil; e = e.Next() {
					jobs = append(jobs, o.control.state.tasks[e.Value.(string)].job.GetId())
				}
			}
		}
		return strings.Join(jobs, " ") + "\n"
	case "submit":
		o.control.queue.push(0, "", h.addTask(job), false)
	default:
		h.t.Fatalf("unknown command %s", d.Cmd)
	}
	return h.describe()
}

// addTask adds a job, which may be of a name that was used before, as a task of it.
func (h *healthHarness) addTask(job string) string {
	h.tasks++
	task := fmt.Sprint("task-", h.tasks)
	if j := h.owner.control.state.jobs[job]; j != nil {
		t := &cellpb.Task{Id: task, Idempotent: true, MaxAttempts: 100, Phase: cellpb.Phase_PHASE_WAITING}
		j.Tasks = append(j.Tasks, t)
		h.owner.control.state.tasks[task] = &jobTask{job: j, task: t}
		return task
	}
	h.apply(acceptedRecord(&cellpb.Job{Id: job, Tasks: []*cellpb.Task{{Id: task, Idempotent: true, MaxAttempts: 100}}}))
	return task
}

// run places an attempt, which its agent accepts.
func (h *healthHarness) run(name, job string) string {
	task := h.addTask(job)
	h.apply(placedRecord(&cellpb.Placed{Task: task, Attempt: 1, Worker: name}))
	h.owner.ensureWorker(name).assign(&assignment{task: task, attempt: 1, mayHaveRun: true, placedAt: h.now})
	return task
}

func (h *healthHarness) apply(r *cellpb.Record) {
	if err := h.owner.control.state.Apply(r); err != nil {
		h.t.Fatal(err)
	}
}

func (h *healthHarness) wait(d time.Duration) {
	h.now = h.now.Add(d)
	for _, w := range h.owner.control.workers {
		w.lastReport = h.now
	}
}

// describe prints the workers that may not be given tasks, with the time that is left.
func (h *healthHarness) describe() string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(h.owner.control.workers)) {
		if w := h.owner.control.workers[name]; !w.usable(h.now) {
			fmt.Fprintf(&out, "%s is ejected for %v\n", name, w.ejectedUntil.Sub(h.now))
		}
	}
	return out.String()
}
