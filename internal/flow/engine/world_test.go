package engine

import (
	"cmp"
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
	"github.com/jasminebay/jasminebay/internal/flow/joblog"
)

// testQueue is the default queue of the jobs in the scripts.
var testQueue = Queue{Name: "renders", Service: "hub", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}

// harness runs an engine with an in-memory store and fake runners, as a script directs.
type harness struct {
	t       *testing.T
	engine  *Engine
	epoch   uint64
	now     Timestamp
	store   *testStore
	ring    *joblog.Ring
	runners map[string]*fakeRunner
	// queues are those of the configuration in force.
	queues map[string]Queue
	// advised reports whether starts of a job need tickets. It may be nil.
	advised  func(job string) bool
	lastCall uint64
	// holdsCommits is set while a commit gets no answer, heldBatch is its content.
	holdsCommits bool
	heldBatch    *Batch
	// evacuationBound is 0 if data centres are not evacuated. The evacuated ones are confirmed at each tick, unless
	// unconfirmed is set.
	evacuationBound time.Duration
	evacuated       []string
	unconfirmed     bool
	output          []string
	// behaviours tell how runs end by themselves, the last one that applies to a run first.
	behaviours []behaviour
	// failedRuns holds the numbers of the runs that behaviours have let fail, by task.
	failedRuns map[string][]uint32
	// onReply is called with each reply, unless it is nil.
	onReply func(Reply)
}

// fakeRunner is a runner and its agent.
type fakeRunner struct {
	info            *flowpb.Runner
	token           uint64
	reportSequence  uint64
	running         map[driver.RunID]*flowpb.Run
	ends            []*flowpb.End
	lastEnd         uint64
	acknowledgedEnd uint64
	// dropsOrders is set if starts and stops don't reach the runner and it sends no reports by itself.
	dropsOrders bool
	// pageLength is how many ends a list holds, or 0 for all.
	pageLength int
	// wantsTickets is set if the runner refuses starts without a ticket; refusals are those that it has not
	// reported.
	wantsTickets bool
	refusals     []*flowpb.StartResult
	// before are the runs that it had at an earlier time.
	before []driver.RunID
	// begun holds when the runs began, if behaviours are used.
	begun map[driver.RunID]time.Duration
}

// behaviour ends the runs of a job, or all on a node, in a way after a time, or lets them go on without
// progress if there is no way.
type behaviour struct {
	job, node string
	after     time.Duration
	kind      string
}

// TestEngine runs the scripts in testdata/engine.
func TestEngine(t *testing.T) {
	datadriven.Walk(t, "testdata/engine", func(t *testing.T, path string) {
		h := newHarness(t)
		h.restart(0)
		h.engine.SetGrantUntil(h.now.Monotonic + time.Hour)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h.output = nil
			h.runCommand(d)
			return strings.Join(h.output, "")
		})
	})
}

func newHarness(t *testing.T) *harness {
	urgent := testQueue
	urgent.Name, urgent.Priority = "urgent", 0
	return &harness{
		t: t, now: Timestamp{Monotonic: time.Hour, UnixMillis: 1_000_000}, store: newTestStore(), runners: map[string]*fakeRunner{}, failedRuns: map[string][]uint32{},
		queues: map[string]Queue{testQueue.Name: testQueue, urgent.Name: urgent},
	}
}

func (h *harness) printf(format string, args ...any) {
	h.output = append(h.output, fmt.Sprintf(format, args...))
}

// restart replaces the engine by one that is restored from the store, and that has acquired the cell
// some time ago.
func (h *harness) restart(ago time.Duration) {
	if err := h.tryRestart(ago); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) tryRestart(ago time.Duration) (err error) {
	h.epoch++
	h.engine = New(Options{Epoch: h.epoch, AcquiredAt: h.now.Monotonic - ago, Lease: 4 * time.Second, MaxLease: 6 * time.Second, Retention: time.Minute, LateFactor: 3, EvacuationBound: h.evacuationBound, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if h.ring, err = h.store.restore(h.engine, h.now); err != nil {
		return err
	}
	h.engine.Configure(h.queues)
	h.confirmEvacuations()
	return nil
}

// confirmEvacuations tells the engine of the evacuated data centres, as the process that owns the cell does.
func (h *harness) confirmEvacuations() {
	if h.evacuationBound > 0 && !h.unconfirmed {
		h.engine.SetEvacuatedDataCentres(h.evacuated, h.now.Monotonic, h.now)
	}
}

func (h *harness) runCommand(d *datadriven.TestData) {
	name, id, n, ms := "", "", 0, 0
	for key, into := range map[string]any{"node": &name, "task": &id, "run": &n, "ms": &ms} {
		if d.HasArg(key) {
			d.ScanArgs(h.t, key, into)
		}
	}
	switch d.Cmd {
	case "runner":
		h.addRunner(d, name)
	case "submit":
		h.submit(d)
	case "hand":
		h.hand(id, &flowpb.Handed{Job: h.oneTask(d, id)})
	case "hand-cancel":
		h.hand("cancel-"+id, &flowpb.Handed{Cancel: id})
	case "accept":
		// The call is not answered before the next commit, so that a script can make the store
		// fail before.
		h.lastCall++
		h.engine.Submit(h.lastCall, h.oneTask(d, id), h.now)
	case "configure":
		h.queues = h.readQueues(d)
		h.engine.Configure(h.queues)
		h.commitAll()
	case "advise":
		h.advise()
		h.commitAll()
	case "terms":
		h.printTerms(id)
	case "evacuate":
		// The data centres are evacuated, in place of those before. The bound is 5 s.
		h.evacuationBound, h.unconfirmed, h.evacuated = 5*time.Second, false, nil
		h.engine.options.EvacuationBound = h.evacuationBound
		for _, arg := range d.CmdArgs {
			h.evacuated = append(h.evacuated, arg.Key)
		}
		h.confirmEvacuations()
		h.commitAll()
	case "unconfirmed":
		h.unconfirmed = true
	case "progress":
		percent := 0
		d.ScanArgs(h.t, "percent", &percent)
		h.runners[name].running[driver.RunID{Task: id, Run: uint32(n)}].Percent = int32(percent)
	case "store-fails":
		h.engine.SetStoreFailing(h.now)
		h.carryOutEffects()
	case "store-returns":
		h.engine.SetStoreRecovered()
		h.commitAll()
	case "cancel":
		h.lastCall++
		h.engine.Cancel(h.lastCall, id, h.now)
		h.commitAll()
	case "read":
		h.lastCall++
		h.engine.Read(h.lastCall, id)
		h.carryOutEffects()
	case "end":
		h.end(d, name, driver.RunID{Task: id, Run: uint32(n)})
	case "report":
		h.report(name)
		h.commitAll()
	case "wait":
		h.wait(time.Duration(ms) * time.Millisecond)
		if d.HasArg("quiet") {
			h.output = nil
		}
	case "behaviour":
		b := behaviour{node: name, after: time.Duration(ms) * time.Millisecond}
		if d.HasArg("job") {
			d.ScanArgs(h.t, "job", &b.job)
		}
		if d.HasArg("kind") {
			d.ScanArgs(h.t, "kind", &b.kind)
		}
		h.behaviours = append(h.behaviours, b)
	case "recover":
		h.recover(name)
	case "unacknowledged":
		for _, end := range h.runners[name].ends {
			h.printf("%d %s run %d\n", end.GetNumber(), end.GetTask(), end.GetRun())
		}
	case "lease":
		// What is left of the lease that the owner has granted last.
		h.printf("%v\n", max(0, h.engine.workers[name].grantedUntil-h.now.Monotonic))
	case "reconnect":
		h.engine.Disconnect(name, h.now)
		h.engine.Connect(name)
		h.sync(name)
	case "sync":
		h.sync(name)
	case "carry-out":
		// The runner carries out a start late, and lists it.
		h.runners[name].running[driver.RunID{Task: id, Run: uint32(n)}] = &flowpb.Run{Task: id, Run: uint32(n)}
		h.report(name)
		h.commitAll()
	case "refuse":
		r := h.runners[name]
		r.reportSequence++
		result := &flowpb.StartResult{Task: id, Run: uint32(n), Outcome: flowpb.StartOutcome_START_OUTCOME_REFUSED}
		h.engine.Report(name, &flowpb.Report{Token: r.token, Sequence: r.reportSequence, Results: []*flowpb.StartResult{result}}, h.now)
		h.commitAll()
	case "lose":
		h.engine.Disconnect(name, h.now)
		delete(h.runners, name)
		h.commitAll()
	case "gauge":
		value, percent := 0, 100
		d.ScanArgs(h.t, "value", &value)
		if d.HasArg("percent") {
			d.ScanArgs(h.t, "percent", &percent)
		}
		running := h.runners[name].running[driver.RunID{Task: id, Run: uint32(n)}]
		running.Gauge, running.Percent = int64(value), int32(percent)
	case "page":
		// The runner returns its ends that many at a time.
		d.ScanArgs(h.t, "ends", &h.runners[name].pageLength)
	case "deaf":
		h.runners[name].dropsOrders = true
	case "crash":
		r := h.runners[name]
		r.restart()
		r.info.Unannounced = d.HasArg("unannounced")
		if id != "" {
			// The new incarnation carries out a start that was sent to the one before.
			r.running[driver.RunID{Task: id, Run: uint32(n)}] = &flowpb.Run{Task: id, Run: uint32(n)}
		}
		if d.HasArg("done") {
			r.end(driver.RunID{Task: id, Run: uint32(n)}, driver.EndDone, "")
		}
		h.engine.Sync(name, &flowpb.Sync{Runner: r.info, LeaseMillis: int64(ms)}, h.now)
		h.carryOutEffects()
		h.report(name)
		h.commitAll()
	case "announce":
		// The present incarnation says what it is.
		r := h.runners[name]
		r.info = proto.CloneOf(r.info)
		r.info.Unannounced = false
		if d.HasArg("service") {
			d.ScanArgs(h.t, "service", &r.info.Service)
		}
		if d.HasArg("cpu") {
			cpu := 0
			d.ScanArgs(h.t, "cpu", &cpu)
			r.info.MilliCpu = int64(cpu)
		}
		if d.HasArg("cold-ms") {
			d.ScanArgs(h.t, "cold-ms", &r.info.ColdLeftMillis)
		}
		h.report(name)
		h.commitAll()
	case "gone":
		s := &flowpb.Sync{Runner: h.runners[name].info, Gone: true}
		if id != "" {
			s.Unanswered = []*flowpb.RunKey{{Task: id, Run: uint32(n)}}
		}
		h.engine.Sync(name, s, h.now)
		h.runners[name].dropsOrders = true
		h.commitAll()
	case "hold-commits":
		h.holdsCommits = true
	case "release-commits":
		h.holdsCommits = false
		h.commit(h.heldBatch)
		h.commitAll()
	case "own":
		h.engine.SetGrantUntil(h.now.Monotonic + time.Hour)
	case "restart":
		h.restart(time.Duration(ms) * time.Millisecond)
		if !d.HasArg("ms") {
			h.engine.SetGrantUntil(h.now.Monotonic + time.Hour)
		}
		if d.HasArg("unheard") {
			// No agent has found the new owner yet.
			return
		}
		for _, node := range slices.Sorted(maps.Keys(h.runners)) {
			h.connect(node)
		}
		h.commitAll()
	case "take-down":
		h.printf("%t\n", h.engine.AllowTakeDown("i-"+name, h.now))
	case "counts":
		runs, pinned, known := h.engine.RunCounts("i-"+name, h.now)
		h.printf("%d runs, %d pinned, known=%t\n", runs, pinned, known)
	case "show":
		h.show()
	default:
		h.t.Fatalf("unknown command %s", d.Cmd)
	}
}

// oneTask returns a job of one task as an entry accepts it, with the terms of the queue as the entry knows it.
func (h *harness) oneTask(d *datadriven.TestData, id string) *flowpb.Job {
	q := testQueue
	if d.Input != "" {
		for _, configured := range h.readQueues(d) {
			q = configured
		}
	}
	job := &flowpb.Job{Id: id, Queue: q.Name, Terms: q.Terms(), Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1000, MemoryMb: 1}}}
	h.setOccurrences(d, job)
	return job
}

// setOccurrences makes a job recurring. Its first occurrence is due after in-ms, the others 1 s after each other.
func (h *harness) setOccurrences(d *datadriven.TestData, job *flowpb.Job) {
	if !d.HasArg("occurrences") {
		return
	}
	count, millis := 0, 0
	d.ScanArgs(h.t, "occurrences", &count)
	d.ScanArgs(h.t, "in-ms", &millis)
	job.Occurrences, job.StartUnixMillis, job.IntervalMillis = uint32(count), h.now.UnixMillis+int64(millis), 1000
}

// readQueues reads a queue from each line: its name, and what differs from testQueue.
func (h *harness) readQueues(d *datadriven.TestData) map[string]Queue {
	queues := map[string]Queue{}
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		q := testQueue
		q.Name = fields[0]
		for _, field := range fields[1:] {
			key, value, _ := strings.Cut(field, "=")
			switch key {
			case "service":
				q.Service = value
			case "attempts":
				_, _ = fmt.Sscan(value, &q.MaxAttempts)
			case "advised":
				q.Advised = true
			case "version":
				_, _ = fmt.Sscan(value, &q.Version)
			default:
				h.t.Fatalf("unknown field %s", key)
			}
		}
		queues[q.Name] = q
	}
	return queues
}

// hand writes an item to the inbox, from which it reaches the owner.
func (h *harness) hand(name string, item *flowpb.Handed) {
	h.store.inbox[name] = item
	h.engine.ProcessInboxItem(name, proto.CloneOf(item), h.now)
}

// advise has the admission service approve all runners that it is asked about.
func (h *harness) advise() {
	for _, request := range h.engine.ApprovalRequests(h.now) {
		h.printf("asked about %s on %s\n", request.Step, strings.Join(request.Runners, " "))
		var approvals []driver.Approval
		for _, id := range request.Runners {
			approvals = append(approvals, driver.Approval{Runner: id, Ticket: "t-" + id})
		}
		h.engine.HandleApprovals(request, approvals, time.Minute, h.now)
	}
}

// printTerms prints the terms that are stored with a job.
func (h *harness) printTerms(id string) {
	segments := slices.SortedFunc(maps.Values(h.store.segments), func(a, b *flowpb.Segment) int { return cmp.Compare(a.GetSequence(), b.GetSequence()) })
	jobs, _ := joblog.Read(segments, testRingLength)
	q := queueFromTerms(jobs[id].Job.GetQueue(), jobs[id].Job.GetTerms())
	h.printf("%s service=%s attempts=%d advised=%t\n", q.Name, q.Service, q.MaxAttempts, q.Advised)
}

func (h *harness) addRunner(d *datadriven.TestData, name string) {
	cpu, rack, service, zone, cold := 8000, "rack-1", "hub", "", 0
	if d.HasArg("zone") {
		d.ScanArgs(h.t, "zone", &zone)
	}
	if d.HasArg("cold-ms") {
		d.ScanArgs(h.t, "cold-ms", &cold)
	}
	if d.HasArg("cpu") {
		d.ScanArgs(h.t, "cpu", &cpu)
	}
	if d.HasArg("rack") {
		d.ScanArgs(h.t, "rack", &rack)
	}
	if d.HasArg("service") {
		d.ScanArgs(h.t, "service", &service)
	}
	h.runners[name] = &fakeRunner{wantsTickets: d.HasArg("tickets"), running: map[driver.RunID]*flowpb.Run{}, info: &flowpb.Runner{Id: "i-" + name, Born: h.now.UnixMillis, Service: service, Zone: zone, ColdLeftMillis: int64(cold), Labels: []string{"a", rack}, MilliCpu: int64(cpu), MemoryMb: 64_000}}
	h.connect(name)
	h.commitAll()
}

func (h *harness) connect(name string) {
	h.engine.Connect(name)
	h.engine.Sync(name, &flowpb.Sync{Runner: h.runners[name].info}, h.now)
	h.carryOutEffects()
	h.report(name)
}

// restartRunner lets a runner start again under its id with nothing on it, which its agent notices at once.
func (h *harness) restartRunner(name string) {
	h.runners[name].restart()
	h.sync(name)
}

// sync requests a new token, under which the runner lists its runs.
func (h *harness) sync(name string) {
	h.engine.Sync(name, &flowpb.Sync{Runner: h.runners[name].info}, h.now)
	h.carryOutEffects()
	h.report(name)
	h.commitAll()
}

func (h *harness) report(name string) {
	r := h.runners[name]
	r.reportSequence++
	ends, complete := r.ends, true
	if r.pageLength > 0 && len(ends) > r.pageLength {
		ends, complete = ends[:r.pageLength], false
	}
	report := &flowpb.Report{Token: r.token, Sequence: r.reportSequence, Runner: r.info, Listed: complete, Ends: ends, Results: r.refusals}
	r.refusals = nil
	for _, run := range r.running {
		report.Running = append(report.Running, run)
	}
	h.engine.Report(name, report, h.now)
}

func (h *harness) submit(d *datadriven.TestData) {
	job := &flowpb.Job{Queue: testQueue.Name}
	d.ScanArgs(h.t, "id", &job.Id)
	if d.HasArg("queue") {
		d.ScanArgs(h.t, "queue", &job.Queue)
	}
	for _, line := range strings.Split(d.Input, "\n") {
		step := &flowpb.Step{Count: 1, MilliCpu: 2000, MemoryMb: 100, EstimateMillis: 1000}
		for _, field := range strings.Fields(line) {
			key, value, _ := strings.Cut(field, "=")
			h.setStep(step, key, value)
		}
		job.Steps = append(job.Steps, step)
	}
	h.setOccurrences(d, job)
	job.Terms = testQueue.Terms()
	h.lastCall++
	h.engine.Submit(h.lastCall, job, h.now)
	h.commitAll()
}

func (h *harness) setStep(s *flowpb.Step, key, value string) {
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
	case "same-rack":
		s.SameRack = true
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
		h.t.Fatalf("unknown field %s", key)
	}
}

// endKinds are the ways in which a run ends, by the names that scripts use.
var endKinds = map[string]driver.EndKind{"done": driver.EndDone, "failed": driver.EndFailed, "stopped": driver.EndStopped}

// applyBehaviours lets the runs on a runner go on or end by the behaviours.
func (h *harness) applyBehaviours(node string, r *fakeRunner) {
	if len(h.behaviours) == 0 {
		return
	}
	begun := map[driver.RunID]time.Duration{}
	for _, id := range r.sortedRuns() {
		begun[id] = h.now.Monotonic
		if at, known := r.begun[id]; known {
			begun[id] = at
		}
		job, _, _ := strings.Cut(id.Task, ".")
		for _, b := range slices.Backward(h.behaviours) {
			if b.job != "" && b.job != job || b.node != "" && b.node != node {
				continue
			}
			if age := h.now.Monotonic - begun[id]; b.kind != "" {
				r.running[id].Percent = int32(min(100*age/max(b.after, 1), 100))
				if age < b.after {
					break
				}
				r.end(id, endKinds[b.kind], "")
				if b.kind == "failed" {
					h.failedRuns[id.Task] = append(h.failedRuns[id.Task], id.Run)
				}
			}
			break
		}
	}
	r.begun = begun
}

// recover drops the behaviours of a node.
func (h *harness) recover(node string) {
	h.behaviours = slices.DeleteFunc(h.behaviours, func(b behaviour) bool { return b.node == node })
}

func (h *harness) end(d *datadriven.TestData, name string, id driver.RunID) {
	kind, checkpoint := "done", ""
	if d.HasArg("kind") {
		d.ScanArgs(h.t, "kind", &kind)
	}
	if d.HasArg("checkpoint") {
		d.ScanArgs(h.t, "checkpoint", &checkpoint)
	}
	h.runners[name].end(id, endKinds[kind], checkpoint)
	if d.HasArg("unreported") {
		return
	}
	h.report(name)
	h.commitAll()
}

// restart begins the runner's next incarnation, which holds and knows nothing.
func (r *fakeRunner) restart() {
	r.info = proto.CloneOf(r.info)
	r.info.Born++
	r.running, r.ends, r.lastEnd, r.acknowledgedEnd, r.refusals = map[driver.RunID]*flowpb.Run{}, nil, 0, 0, nil
}

func (r *fakeRunner) end(id driver.RunID, kind driver.EndKind, checkpoint string) {
	if r.running[id] == nil {
		return
	}
	delete(r.running, id)
	r.lastEnd++
	r.ends = append(r.ends, &flowpb.End{Number: r.lastEnd, Task: id.Task, Run: id.Run, Kind: uint32(kind), Checkpoint: checkpoint})
}

// wait advances the clock in ticks, at each of which the runners report.
func (h *harness) wait(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > 0; d -= tick {
		h.now.Monotonic += tick
		h.now.UnixMillis += tick.Milliseconds()
		h.confirmEvacuations()
		for _, name := range slices.Sorted(maps.Keys(h.runners)) {
			if r := h.runners[name]; !r.dropsOrders {
				if r.info.GetColdLeftMillis() > 0 {
					r.info = proto.CloneOf(r.info)
					r.info.ColdLeftMillis -= tick.Milliseconds()
				}
				h.applyBehaviours(name, r)
				h.report(name)
			}
		}
		h.engine.Tick(h.now)
		h.commitAll()
	}
}

// maxTestCommits is more than the changes of one event take.
const maxTestCommits = 1000

// commitAll places tasks, carries out effects and commits until there is nothing left to commit.
func (h *harness) commitAll() {
	h.engine.Place(h.now)
	for commits := 0; ; commits++ {
		if commits > maxTestCommits {
			h.t.Fatal("commits without end")
		}
		h.carryOutEffects()
		if h.holdsCommits && h.heldBatch != nil {
			return
		}
		b := h.engine.TakeBatch(testLimits, h.ring.RecordsDue())
		if b == nil {
			return
		}
		if h.holdsCommits {
			h.heldBatch = b
			return
		}
		h.commit(b)
		h.engine.Place(h.now)
	}
}

// commit stores a batch.
func (h *harness) commit(b *Batch) {
	h.store.write(b.Changes(), h.ring)
	h.store.written(b.Changes(), h.ring)
	h.engine.Committed(b, h.now)
}

// carryOutEffects prints replies and passes orders to the runners.
func (h *harness) carryOutEffects() {
	effects := h.engine.TakeEffects()
	for _, reply := range effects.Replies {
		if h.onReply != nil {
			h.onReply(reply)
		}
		h.printf("reply %d %s %s\n", reply.Call, strings.TrimPrefix(reply.Status.String(), "STATUS_"), reply.State)
	}
	for _, node := range slices.Sorted(maps.Keys(effects.Orders)) {
		if r := h.runners[node]; r != nil {
			h.carryOutOrders(node, r, effects.Orders[node])
		}
	}
}

func (h *harness) carryOutOrders(node string, r *fakeRunner, o *flowpb.Orders) {
	if o.GetToken() > r.token {
		r.token = o.GetToken()
	}
	r.acknowledgedEnd = max(r.acknowledgedEnd, o.GetSettled())
	r.ends = slices.DeleteFunc(r.ends, func(e *flowpb.End) bool { return e.GetNumber() <= r.acknowledgedEnd })
	for _, s := range o.GetStarts() {
		job, _, _ := strings.Cut(s.GetTask(), ".")
		if s.GetTicket() == "" && (r.wantsTickets || h.advised != nil && h.advised(job)) {
			h.printf("%s refuses %s run %d without a ticket\n", node, s.GetTask(), s.GetRun())
			r.refusals = append(r.refusals, &flowpb.StartResult{Task: s.GetTask(), Run: s.GetRun(), Outcome: flowpb.StartOutcome_START_OUTCOME_TICKET})
			continue
		}
		h.printf("%s starts %s run %d%s\n", node, s.GetTask(), s.GetRun(), fromCheckpoint(s.GetCheckpoint()))
		if !r.dropsOrders {
			r.running[driver.RunID{Task: s.GetTask(), Run: s.GetRun()}] = &flowpb.Run{Task: s.GetTask(), Run: s.GetRun()}
		}
	}
	for _, s := range o.GetStops() {
		h.printf("%s stops %s run %d\n", node, s.GetTask(), s.GetRun())
		if !r.dropsOrders {
			r.end(driver.RunID{Task: s.GetTask(), Run: s.GetRun()}, driver.EndStopped, "at-stop")
		}
	}
	for _, p := range o.GetPaces() {
		h.printf("%s paces %s run %d at %d\n", node, p.GetTask(), p.GetRun(), p.GetPercent())
	}
}

func fromCheckpoint(checkpoint string) string {
	if checkpoint == "" {
		return ""
	}
	return " from " + checkpoint
}

// show prints the state of each job and the runs on each node.
func (h *harness) show() {
	for _, id := range slices.Sorted(maps.Keys(h.engine.jobs)) {
		h.printf("job %s %s\n", id, h.engine.jobs[id].state())
	}
	for _, node := range slices.Sorted(maps.Keys(h.engine.workers)) {
		var runs []string
		for id := range h.engine.workers[node].runs.byID {
			runs = append(runs, fmt.Sprintf("%s#%d", id.Task, id.Run))
		}
		slices.Sort(runs)
		h.printf("%s %s\n", node, strings.Join(runs, " "))
	}
}
