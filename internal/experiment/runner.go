package experiment

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

const (
	// timeStep is the step of virtual time, and the delay of orders and reports.
	timeStep = 10 * time.Millisecond
	// reportInterval is the interval of reports of a runner that has no ends or start results to
	// report.
	reportInterval = 500 * time.Millisecond
	// startupTime is the time from the start of a long-running task until it serves requests.
	startupTime = 300 * time.Millisecond
	// restoreTime is the time that a task needs to load a checkpoint before it continues.
	restoreTime = 250 * time.Millisecond
	// minIdle limits the tail latency of a task whose server is never idle.
	minIdle = 0.02
	// tailSmoothing is the weight of the newest value in the reported tail latency, an exponential
	// moving average over about half a second.
	tailSmoothing = 0.06
	// tailNoise is the relative standard deviation of the measured tail latency.
	tailNoise = 0.05
	// paceDelay is the time from an order to change a pace until it takes effect.
	paceDelay = 100 * time.Millisecond
)

// Values of Fault.Kind.
const (
	faultSlow    = "slow"
	faultStalled = "still"
	faultFailing = "failing"
	faultLost    = "lost"
)

// runner simulates a runner together with its agent.
type runner struct {
	node       string
	info       *flowpb.Runner
	cores      float64
	token      uint64
	sequence   uint64
	lastReport time.Duration
	runs       []*run
	// ends holds the ends that the engine has not acknowledged yet.
	ends []*flowpb.End
	// lastEnd is the number of the last end.
	lastEnd uint64
	// results holds the start results for the next report.
	results []*flowpb.StartResult
	// fault is the fault in effect, or nil. Its At is in simulation time.
	fault *Fault
	rng   *rand.Rand
}

// run is a run that is executing on a simulated runner.
type run struct {
	id      driver.RunID
	step    *flowpb.Step
	arrival *Arrival
	// doneMillis is the work done, needMillis the work that the task consists of, and savedMillis the
	// work that the last checkpoint holds, as durations on a healthy runner.
	doneMillis, needMillis, savedMillis float64
	// readyAt is the time at which the run begins to make progress.
	readyAt time.Duration
	pace    float64
	// nextPace replaces pace at paceAt.
	nextPace float64
	paceAt   time.Duration
	// reportedTail is the tail latency in reports, in milliseconds.
	reportedTail float64
	// overTarget is set if the tail latency exceeds the target, and would not without the interference
	// of best-effort tasks.
	overTarget bool
	// phase is the phase of the variation of its interference, in 0 to 1; 0 if not computed yet.
	phase float64
	// serving is set once a long-running task has started up.
	serving bool
}

// advance simulates the runner for one time step.
func (r *runner) advance(sim *simulation) {
	if r.fault != nil && sim.now > r.fault.At.D()+r.fault.Duration.D() {
		r.fault = nil
	}
	slowdown, stalled, failing := 1.0, false, false
	if r.fault != nil {
		switch r.fault.Kind {
		case faultSlow:
			slowdown = max(r.fault.Factor, 1)
		case faultStalled:
			stalled = true
		case faultFailing:
			failing = true
		}
	}
	freeCores, wantedCores := r.cores, 0.0
	for _, x := range r.runs {
		cpu := float64(x.step.GetMilliCpu()) / 1000
		switch {
		case x.step.GetFills():
			if sim.now >= x.paceAt {
				x.pace = x.nextPace
			}
			wantedCores += cpu * x.pace
		case x.step.GetLasting():
			freeCores -= cpu * sim.load.LatencyCritical.Utilization * sim.userLoad(x.id.Task)
		default:
			freeCores -= cpu
		}
	}
	bestEffortShare := 1.0
	if wantedCores > freeCores {
		bestEffortShare = max(0, freeCores) / wantedCores
	}
	for _, x := range r.runs {
		if sim.now < x.readyAt {
			continue
		}
		switch {
		case x.step.GetLasting():
			r.updateTail(x, sim, bestEffortShare)
		case x.step.GetFills():
			used := float64(x.step.GetMilliCpu()) / 1000 * x.pace * bestEffortShare
			sim.counters.bestEffortCoreSeconds += used * timeStep.Seconds()
			sim.counters.wantedCoreSeconds += float64(x.step.GetMilliCpu()) / 1000 * timeStep.Seconds()
			x.progress(x.pace*bestEffortShare/slowdown, stalled)
		default:
			x.progress(1/slowdown, stalled)
		}
	}
	r.endFinished(sim, failing)
}

func (x *run) progress(speed float64, stalled bool) {
	if stalled {
		return
	}
	x.doneMillis += speed * float64(timeStep.Milliseconds())
}

// updateTail computes the tail latency of a long-running task from the idle share of its server,
// which its own load and the interference of best-effort tasks reduce.
func (r *runner) updateTail(x *run, sim *simulation, bestEffortShare float64) {
	idle := 1 - sim.userLoad(x.id.Task)
	idleAlone := idle
	for _, other := range r.runs {
		if other.step.GetFills() && sim.now >= other.readyAt {
			used := float64(other.step.GetMilliCpu()) / 1000 * other.pace * bestEffortShare
			idle -= sim.interference(x.step.GetImage(), other.step.GetImage()) * r.interferenceFactor(sim, other) * used
		}
	}
	tail := sim.load.LatencyCritical.TailMillis / max(idle, minIdle)
	if x.reportedTail == 0 {
		x.reportedTail = tail
	}
	x.reportedTail += tailSmoothing * (tail*(1+tailNoise*r.rng.NormFloat64()) - x.reportedTail)
	target := float64(x.step.GetTargetMillis())
	x.serving = true
	x.overTarget = tail > target && sim.load.LatencyCritical.TailMillis/max(idleAlone, minIdle) <= target
}

// The period of the variation of interference is at least minSwingPeriodSeconds, and longer by up to
// swingPeriodRangeSeconds.
const (
	minSwingPeriodSeconds   = 3.0
	swingPeriodRangeSeconds = 4.0
)

// interferenceFactor returns the current factor on the interference that a best-effort run causes.
func (r *runner) interferenceFactor(sim *simulation, x *run) float64 {
	amplitude := sim.load.Interference.Amplitude
	if amplitude == 0 {
		return 1
	}
	if x.phase == 0 {
		x.phase = hashFraction(r.node + x.step.GetImage())
	}
	period := minSwingPeriodSeconds + swingPeriodRangeSeconds*x.phase
	return math.Exp(amplitude * math.Sin(2*math.Pi*(sim.now.Seconds()/period+x.phase)))
}

// endFinished ends the runs that have finished or failed. Runs of jobs that always fail do so after
// half of their work.
func (r *runner) endFinished(sim *simulation, failing bool) {
	for _, x := range slices.Clone(r.runs) {
		switch {
		case x.step.GetLasting():
		case failing && x.doneMillis > 0, x.arrival.AlwaysFails && x.doneMillis > x.needMillis/2:
			r.endRun(sim, x, driver.EndFailed)
		case x.doneMillis >= x.needMillis:
			r.endRun(sim, x, driver.EndDone)
		}
	}
}

func (r *runner) endRun(sim *simulation, x *run, kind driver.EndKind) {
	r.runs = slices.DeleteFunc(r.runs, func(other *run) bool { return other == x })
	if x.step.GetCheckpoints() {
		x.savedMillis = x.doneMillis
	}
	if kind == driver.EndStopped {
		sim.counters.stopped++
		sim.counters.wastedCoreSeconds += (x.doneMillis - x.savedMillis) / 1000 * float64(x.step.GetMilliCpu()) / 1000
	}
	r.lastEnd++
	r.ends = append(r.ends, &flowpb.End{Number: r.lastEnd, Task: x.id.Task, Run: x.id.Run, Kind: uint32(kind), Checkpoint: formatCheckpoint(x.savedMillis)})
}

// formatCheckpoint returns a checkpoint, which is the work done in milliseconds, or "" for none.
func formatCheckpoint(millis float64) string {
	if millis <= 0 {
		return ""
	}
	return strconv.FormatFloat(millis, 'f', 1, 64)
}

// sendReport reports the runs, ends and start results of the runner to the engine.
func (r *runner) sendReport(sim *simulation) {
	r.sequence++
	r.lastReport = sim.now
	report := &flowpb.Report{Token: r.token, Sequence: r.sequence, Runner: r.info, Listed: true, Ends: r.ends, Results: r.results}
	r.results = nil
	for _, x := range r.runs {
		listed := &flowpb.Run{Task: x.id.Task, Run: x.id.Run, Gauge: int64(math.Round(x.reportedTail))}
		switch {
		case x.step.GetLasting() && x.serving:
			listed.Percent = 100
		case !x.step.GetLasting():
			listed.Percent = int32(100 * x.doneMillis / x.needMillis)
			listed.Checkpoint = formatCheckpoint(x.savedMillis)
		}
		report.Running = append(report.Running, listed)
	}
	sim.engine.Report(r.node, report, sim.timestamp())
}

// applyOrders carries out orders of the engine and discards the ends that they acknowledge.
func (r *runner) applyOrders(sim *simulation, o *flowpb.Orders) {
	r.token = max(r.token, o.GetToken())
	r.ends = slices.DeleteFunc(r.ends, func(e *flowpb.End) bool { return e.GetNumber() <= o.GetSettled() })
	for _, s := range o.GetStarts() {
		r.startRun(sim, s)
	}
	for _, s := range o.GetStops() {
		if x := r.findRun(s.GetTask(), s.GetRun()); x != nil {
			r.endRun(sim, x, driver.EndStopped)
		}
	}
	for _, p := range o.GetPaces() {
		if x := r.findRun(p.GetTask(), p.GetRun()); x != nil {
			x.nextPace, x.paceAt = float64(p.GetPercent())/100, sim.now+paceDelay
		}
	}
}

// lost reports whether the runner is disconnected. Its runs continue, but it sends no reports and
// receives no orders.
func (r *runner) lost() bool { return r.fault != nil && r.fault.Kind == faultLost }

func (r *runner) findRun(task string, number uint32) *run {
	for _, x := range r.runs {
		if x.id.Task == task && x.id.Run == number {
			return x
		}
	}
	return nil
}

func (r *runner) startRun(sim *simulation, s *flowpb.Start) {
	x := sim.newRun(s)
	free := driver.NewResources(r.info.GetMilliCpu(), r.info.GetMemoryMb()<<20, 0)
	for _, other := range r.runs {
		free = free.Minus(demand(other.step))
	}
	result := &flowpb.StartResult{Task: s.GetTask(), Run: s.GetRun(), Outcome: flowpb.StartOutcome_START_OUTCOME_STARTED}
	if !demand(x.step).Fits(free) {
		result.Outcome = flowpb.StartOutcome_START_OUTCOME_NO_ROOM
		sim.counters.noRoom++
	} else {
		x.readyAt, x.pace, x.nextPace = sim.now, 1, 1
		if x.step.GetLasting() {
			x.readyAt += startupTime
		}
		if s.GetCheckpoint() != "" {
			saved, _ := strconv.ParseFloat(s.GetCheckpoint(), 64)
			x.doneMillis, x.savedMillis = saved, saved
			x.readyAt += restoreTime
		}
		r.runs = append(r.runs, x)
		sim.counters.starts++
		sim.recordStart(x)
	}
	r.results = append(r.results, result)
}

// demand returns the resources that a task reserves. Best-effort tasks reserve no processors.
func demand(s *flowpb.Step) driver.Resources {
	cpu := s.GetMilliCpu()
	if s.GetFills() {
		cpu = 0
	}
	return driver.NewResources(cpu, s.GetMemoryMb()<<20, 0)
}

// userLoad returns the current load of a long-running task, as the busy share of its server. It is
// the same for all tasks of a job, which serve the same users.
func (sm *simulation) userLoad(task string) float64 {
	s := sm.load.LatencyCritical
	phase := hashFraction(task[:16]) * 2 * math.Pi
	period := max(s.Period.D().Seconds(), 1)
	return s.Load * (1 + s.LoadAmplitude*math.Sin(2*math.Pi*sm.now.Seconds()/period+phase))
}

// interference returns by how much one processor of a best-effort image reduces the idle share of a
// latency-critical image.
func (sm *simulation) interference(latencyCritical, bestEffort string) float64 {
	key := latencyCritical + "/" + bestEffort
	p, known := sm.interferenceByPair[key]
	if !known {
		i := sm.load.Interference
		r := rand.New(rand.NewPCG(sm.seed, uint64(hashFraction(key)*math.MaxInt32)))
		p = i.LightMax * r.Float64()
		if r.Float64() < i.HeavyShare {
			p = i.Median * math.Exp(i.Sigma*r.NormFloat64())
		}
		sm.interferenceByPair[key] = p
	}
	return p
}

// hashFraction hashes a text to a number that is uniformly distributed in [0, 1).
func hashFraction(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}
