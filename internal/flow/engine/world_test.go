package engine

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// testQueue is the queue that jobs of the scripts are handed in to.
var testQueue = Queue{Name: "renders", Service: "hub", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}

// world is an engine with a store and runners that do as a script says.
type world struct {
	t       *testing.T
	engine  *Engine
	epoch   uint64
	now     Timestamp
	jobs    map[string]*flowpb.Job
	stored  map[string]*flowpb.Progress
	runners map[string]*fakeRunner
	call    uint64
	out     []string
}

// fakeRunner is a runner with the agent beside it.
type fakeRunner struct {
	info     *flowpb.Runner
	token    uint64
	sequence uint64
	running  map[driver.RunID]*flowpb.Run
	ends     []*flowpb.End
	numbers  uint64
	settled  uint64
	// deaf tells that orders do not reach it.
	deaf bool
}

// TestEngine runs the scripts in testdata/engine.
func TestEngine(t *testing.T) {
	datadriven.Walk(t, "testdata/engine", func(t *testing.T, path string) {
		w := &world{t: t, now: Timestamp{Monotonic: time.Hour, UnixMillis: 1_000_000}, jobs: map[string]*flowpb.Job{}, stored: map[string]*flowpb.Progress{}, runners: map[string]*fakeRunner{}}
		w.restart()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.out = nil
			w.command(d)
			return strings.Join(w.out, "")
		})
	})
}

func (w *world) printf(format string, args ...any) {
	w.out = append(w.out, fmt.Sprintf(format, args...))
}

// restart replaces the engine by one that knows what is stored alone.
func (w *world) restart() {
	w.epoch++
	w.engine = New(Options{Epoch: w.epoch, Lease: 4 * time.Second, Retention: time.Minute, LateFactor: 3, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if err := w.engine.Restore(proto.CloneOf(w.jobs[id]), w.stored[id], w.now); err != nil {
			w.t.Fatal(err)
		}
	}
	urgent := testQueue
	urgent.Name, urgent.Priority = "urgent", 0
	w.engine.Configure(map[string]Queue{testQueue.Name: testQueue, urgent.Name: urgent})
	w.engine.SetGrantUntil(w.now.Monotonic + time.Hour)
}

func (w *world) command(d *datadriven.TestData) {
	name, id, n, ms := "", "", 0, 0
	for key, into := range map[string]any{"node": &name, "task": &id, "run": &n, "ms": &ms} {
		if d.HasArg(key) {
			d.ScanArgs(w.t, key, into)
		}
	}
	switch d.Cmd {
	case "runner":
		w.addRunner(d, name)
	case "submit":
		w.submit(d)
	case "hand":
		w.engine.ProcessInboxItem(id, &flowpb.Handed{Job: &flowpb.Job{Id: id, Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1000, MemoryMb: 1}}}}, w.now)
	case "accept":
		// The reply comes with the commit, which a script leaves out to have the store fail.
		w.call++
		w.engine.Submit(w.call, &flowpb.Job{Id: id, Queue: testQueue.Name, Terms: testQueue.Terms(), Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1000, MemoryMb: 1}}}, w.now)
	case "store-fails":
		w.engine.SetStoreFailing()
		w.effects()
	case "store-returns":
		w.engine.SetStoreRecovered()
		w.settle()
	case "cancel":
		w.call++
		w.engine.Cancel(w.call, id, w.now)
		w.settle()
	case "read":
		w.call++
		w.engine.Read(w.call, id)
		w.effects()
	case "end":
		w.end(d, name, driver.RunID{Task: id, Run: uint32(n)})
	case "report":
		w.report(name)
		w.settle()
	case "wait":
		w.wait(time.Duration(ms) * time.Millisecond)
	case "lose":
		w.engine.Disconnect(name, w.now)
		delete(w.runners, name)
		w.settle()
	case "gauge":
		value, percent := 0, 100
		d.ScanArgs(w.t, "value", &value)
		if d.HasArg("percent") {
			d.ScanArgs(w.t, "percent", &percent)
		}
		running := w.runners[name].running[driver.RunID{Task: id, Run: uint32(n)}]
		running.Gauge, running.Percent = int64(value), int32(percent)
	case "deaf":
		w.runners[name].deaf = true
	case "restart":
		w.restart()
		for _, node := range slices.Sorted(maps.Keys(w.runners)) {
			w.connect(node)
		}
		w.settle()
	case "show":
		w.show()
	default:
		w.t.Fatalf("unknown command %s", d.Cmd)
	}
}

func (w *world) addRunner(d *datadriven.TestData, name string) {
	cpu, rack := 8000, "rack-1"
	if d.HasArg("cpu") {
		d.ScanArgs(w.t, "cpu", &cpu)
	}
	if d.HasArg("rack") {
		d.ScanArgs(w.t, "rack", &rack)
	}
	w.runners[name] = &fakeRunner{running: map[driver.RunID]*flowpb.Run{}, info: &flowpb.Runner{Id: "i-" + name, Born: w.now.UnixMillis, Service: "hub", Labels: []string{"a", rack}, MilliCpu: int64(cpu), MemoryMb: 64_000}}
	w.connect(name)
	w.settle()
}

func (w *world) connect(name string) {
	w.engine.Connect(name)
	w.engine.Sync(name, &flowpb.Sync{Runner: w.runners[name].info}, w.now)
	w.effects()
	w.report(name)
}

func (w *world) report(name string) {
	r := w.runners[name]
	r.sequence++
	report := &flowpb.Report{Token: r.token, Sequence: r.sequence, Runner: r.info, Listed: true, Ends: r.ends}
	for _, run := range r.running {
		report.Running = append(report.Running, run)
	}
	w.engine.Report(name, report, w.now)
}

func (w *world) submit(d *datadriven.TestData) {
	job := &flowpb.Job{Queue: testQueue.Name}
	d.ScanArgs(w.t, "id", &job.Id)
	if d.HasArg("queue") {
		d.ScanArgs(w.t, "queue", &job.Queue)
	}
	for _, line := range strings.Split(d.Input, "\n") {
		step := &flowpb.Step{Count: 1, MilliCpu: 2000, MemoryMb: 100, EstimateMillis: 1000}
		for _, field := range strings.Fields(line) {
			key, value, _ := strings.Cut(field, "=")
			w.setStep(step, key, value)
		}
		job.Steps = append(job.Steps, step)
	}
	job.Terms = testQueue.Terms()
	w.call++
	w.engine.Submit(w.call, job, w.now)
	w.settle()
}

func (w *world) setStep(s *flowpb.Step, key, value string) {
	var number int64
	_, _ = fmt.Sscan(value, &number)
	switch key {
	case "count":
		s.Count = uint32(number)
	case "cpu":
		s.MilliCpu = number
	case "ms":
		s.EstimateMillis = number
	case "after":
		s.After = append(s.After, uint32(number))
	case "gang":
		s.Gang = true
	case "lasting":
		s.Lasting = true
	case "target":
		s.TargetMillis = number
	case "image":
		s.Image = value
	case "fills":
		s.Fills = true
	case "checkpoints":
		s.Checkpoints = true
	case "apart":
		s.MaxPerRunner = uint32(number)
	case "speculative":
		s.Speculative = true
	case "may-miss":
		s.MayMiss = uint32(number)
	case "rack":
		s.NearRack = value
	default:
		w.t.Fatalf("unknown field %s", key)
	}
}

func (w *world) end(d *datadriven.TestData, name string, id driver.RunID) {
	kind, checkpoint := "done", ""
	if d.HasArg("kind") {
		d.ScanArgs(w.t, "kind", &kind)
	}
	if d.HasArg("checkpoint") {
		d.ScanArgs(w.t, "checkpoint", &checkpoint)
	}
	kinds := map[string]driver.EndKind{"done": driver.EndDone, "failed": driver.EndFailed, "stopped": driver.EndStopped}
	w.runners[name].end(id, kinds[kind], checkpoint)
	w.report(name)
	w.settle()
}

func (r *fakeRunner) end(id driver.RunID, kind driver.EndKind, checkpoint string) {
	if r.running[id] == nil {
		return
	}
	delete(r.running, id)
	r.numbers++
	r.ends = append(r.ends, &flowpb.End{Number: r.numbers, Task: id.Task, Run: id.Run, Kind: uint32(kind), Checkpoint: checkpoint})
}

func (w *world) wait(d time.Duration) {
	const pass = 50 * time.Millisecond
	for ; d > 0; d -= pass {
		w.now.Monotonic += pass
		w.now.UnixMillis += pass.Milliseconds()
		for _, name := range slices.Sorted(maps.Keys(w.runners)) {
			if !w.runners[name].deaf {
				w.report(name)
			}
		}
		w.engine.Tick(w.now)
		w.settle()
	}
}

// settle commits and carries out until nothing is left to do.
func (w *world) settle() {
	w.engine.Place(w.now)
	for {
		w.effects()
		b := w.engine.TakeBatch(100)
		if b == nil {
			return
		}
		for _, c := range b.Changes() {
			if c.Delete {
				delete(w.jobs, c.ID)
				delete(w.stored, c.ID)
				continue
			}
			if c.Job != nil {
				w.jobs[c.ID] = proto.CloneOf(c.Job)
			}
			w.stored[c.ID] = proto.CloneOf(c.Progress)
		}
		w.engine.Committed(b, w.now)
		w.engine.Place(w.now)
	}
}

func (w *world) effects() {
	effects := w.engine.TakeEffects()
	for _, reply := range effects.Replies {
		w.printf("reply %d %s %s\n", reply.Call, strings.TrimPrefix(reply.Status.String(), "STATUS_"), reply.State)
	}
	for _, node := range slices.Sorted(maps.Keys(effects.Orders)) {
		if r := w.runners[node]; r != nil {
			w.obey(node, r, effects.Orders[node])
		}
	}
}

func (w *world) obey(node string, r *fakeRunner, o *flowpb.Orders) {
	if o.GetToken() > r.token {
		r.token = o.GetToken()
	}
	r.settled = max(r.settled, o.GetSettled())
	r.ends = slices.DeleteFunc(r.ends, func(e *flowpb.End) bool { return e.GetNumber() <= r.settled })
	for _, s := range o.GetStarts() {
		w.printf("%s starts %s run %d%s\n", node, s.GetTask(), s.GetRun(), from(s.GetCheckpoint()))
		if !r.deaf {
			r.running[driver.RunID{Task: s.GetTask(), Run: s.GetRun()}] = &flowpb.Run{Task: s.GetTask(), Run: s.GetRun()}
		}
	}
	for _, s := range o.GetStops() {
		w.printf("%s stops %s run %d\n", node, s.GetTask(), s.GetRun())
		r.end(driver.RunID{Task: s.GetTask(), Run: s.GetRun()}, driver.EndStopped, "at-stop")
	}
	for _, p := range o.GetPaces() {
		w.printf("%s paces %s run %d at %d\n", node, p.GetTask(), p.GetRun(), p.GetPercent())
	}
}

func from(checkpoint string) string {
	if checkpoint == "" {
		return ""
	}
	return " from " + checkpoint
}

// show prints the jobs and what runs where.
func (w *world) show() {
	for _, id := range slices.Sorted(maps.Keys(w.engine.jobs)) {
		w.printf("job %s %s\n", id, w.engine.jobs[id].state())
	}
	for _, node := range slices.Sorted(maps.Keys(w.engine.workers)) {
		var runs []string
		for id := range w.engine.workers[node].runs.byID {
			runs = append(runs, fmt.Sprintf("%s#%d", id.Task, id.Run))
		}
		slices.Sort(runs)
		w.printf("%s %s\n", node, strings.Join(runs, " "))
	}
}
