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
	// pass is the step of virtual time; orders and reports take one pass.
	pass = 10 * time.Millisecond
	// reportInterval is how often a runner without ends is heard of, as agents do it.
	reportInterval = 500 * time.Millisecond
	// startup is how long a task that lasts takes until it is at work.
	startup = 300 * time.Millisecond
	// restore is how long a task that resumes from a checkpoint takes until it goes on.
	restore = 250 * time.Millisecond
	// idleLeast bounds the tail of a serving task whose server is never idle.
	idleLeast = 0.02
	// gaugeWeight makes the tail that is told one of about the last half second.
	gaugeWeight = 0.06
	// gaugeNoise is the relative deviation of a tail that is told.
	gaugeNoise = 0.05
	// paceLag is how long an order on pace takes to have an effect.
	paceLag = 100 * time.Millisecond
)

// Kinds of faults.
const (
	faultSlow    = "slow"
	faultStill   = "still"
	faultFailing = "failing"
	faultLost    = "lost"
)

// runner is a simulated runner with its agent.
type runner struct {
	node     string
	info     *flowpb.Runner
	cores    float64
	token    uint64
	sequence uint64
	reported time.Duration
	runs     []*run
	ends     []*flowpb.End
	numbers  uint64
	results  []*flowpb.StartResult
	// fault is what is wrong with it until faultUntil.
	fault  *Fault
	random *rand.Rand
}

// run is one live run on a simulated runner.
type run struct {
	id      driver.RunID
	step    *flowpb.Step
	arrival *Arrival
	// done and need are milliseconds of work, saved what a checkpoint holds.
	done, need, saved float64
	// ready is when the run begins to make progress.
	ready time.Duration
	pace  float64
	// nextPace is in force from paceAt.
	nextPace float64
	paceAt   time.Duration
	gauge    float64
	// over tells that its tail was over its target in the last pass because of what fills.
	over bool
	// phase is that of what it does to others.
	phase float64
	// atWork tells that it serves.
	atWork bool
}

// advance lets a pass of time go by.
func (r *runner) advance(w *world) {
	if r.fault != nil && w.now > r.fault.At.D()+r.fault.For.D() {
		r.fault = nil
	}
	slow, still, failing := 1.0, false, false
	if r.fault != nil {
		switch r.fault.Kind {
		case faultSlow:
			slow = max(r.fault.Factor, 1)
		case faultStill:
			still = true
		case faultFailing:
			failing = true
		}
	}
	left, wanted := r.cores, 0.0
	for _, x := range r.runs {
		cpu := float64(x.step.GetMilliCpu()) / 1000
		switch {
		case x.step.GetFills():
			if w.now >= x.paceAt {
				x.pace = x.nextPace
			}
			wanted += cpu * x.pace
		case x.step.GetLasting():
			left -= cpu * w.load.Serving.Use * w.loadOf(x.id.Task)
		default:
			left -= cpu
		}
	}
	share := 1.0
	if wanted > left {
		share = max(0, left) / wanted
	}
	for _, x := range r.runs {
		if w.now < x.ready {
			continue
		}
		switch {
		case x.step.GetLasting():
			r.serve(x, w, share)
		case x.step.GetFills():
			used := float64(x.step.GetMilliCpu()) / 1000 * x.pace * share
			w.tally.filled += used * pass.Seconds()
			w.tally.wanted += float64(x.step.GetMilliCpu()) / 1000 * pass.Seconds()
			x.progress(x.pace*share/slow, still)
		default:
			x.progress(1/slow, still)
		}
	}
	r.finish(w, failing)
}

func (x *run) progress(speed float64, still bool) {
	if still {
		return
	}
	x.done += speed * float64(pass.Milliseconds())
}

// serve works out the tail of a serving run.
func (r *runner) serve(x *run, w *world, share float64) {
	idle := 1 - w.loadOf(x.id.Task)
	alone := idle
	for _, other := range r.runs {
		if other.step.GetFills() && w.now >= other.ready {
			used := float64(other.step.GetMilliCpu()) / 1000 * other.pace * share
			idle -= w.press(x.step.GetImage(), other.step.GetImage()) * r.swing(w, other) * used
		}
	}
	tail := w.load.Serving.TailMillis / max(idle, idleLeast)
	if x.gauge == 0 {
		x.gauge = tail
	}
	x.gauge += gaugeWeight * (tail*(1+gaugeNoise*r.random.NormFloat64()) - x.gauge)
	target := float64(x.step.GetTargetMillis())
	x.atWork = true
	x.over = tail > target && w.load.Serving.TailMillis/max(alone, idleLeast) <= target
}

// Bounds of how fast what a pair of images does on a runner changes, in seconds.
const (
	swingPeriodLeast  = 3.0
	swingPeriodSpread = 4.0
)

// swing returns the factor by which what a run does to others has changed by now.
func (r *runner) swing(w *world, x *run) float64 {
	amplitude := w.load.Interference.Swing
	if amplitude == 0 {
		return 1
	}
	if x.phase == 0 {
		x.phase = share(r.node + x.step.GetImage())
	}
	period := swingPeriodLeast + swingPeriodSpread*x.phase
	return math.Exp(amplitude * math.Sin(2*math.Pi*(w.now.Seconds()/period+x.phase)))
}

// finish ends the runs that are done.
func (r *runner) finish(w *world, failing bool) {
	for _, x := range slices.Clone(r.runs) {
		switch {
		case x.step.GetLasting():
		case failing && x.done > 0, x.arrival.Hopeless && x.done > x.need/2:
			r.end(w, x, driver.EndFailed)
		case x.done >= x.need:
			r.end(w, x, driver.EndDone)
		}
	}
}

func (r *runner) end(w *world, x *run, kind driver.EndKind) {
	r.runs = slices.DeleteFunc(r.runs, func(other *run) bool { return other == x })
	if x.step.GetCheckpoints() {
		x.saved = x.done
	}
	if kind == driver.EndStopped {
		w.tally.stopped++
		w.tally.wasted += (x.done - x.saved) / 1000 * float64(x.step.GetMilliCpu()) / 1000
	}
	r.numbers++
	r.ends = append(r.ends, &flowpb.End{Number: r.numbers, Task: x.id.Task, Run: x.id.Run, Kind: uint32(kind), Checkpoint: checkpointOf(x.saved)})
}

func checkpointOf(millis float64) string {
	if millis <= 0 {
		return ""
	}
	return strconv.FormatFloat(millis, 'f', 1, 64)
}

// report tells the engine what the runner holds.
func (r *runner) report(w *world) {
	r.sequence++
	r.reported = w.now
	report := &flowpb.Report{Token: r.token, Sequence: r.sequence, Runner: r.info, Listed: true, Ends: r.ends, Results: r.results}
	r.results = nil
	for _, x := range r.runs {
		listed := &flowpb.Run{Task: x.id.Task, Run: x.id.Run, Gauge: int64(math.Round(x.gauge))}
		switch {
		case x.step.GetLasting() && x.atWork:
			listed.Percent = 100
		case !x.step.GetLasting():
			listed.Percent = int32(100 * x.done / x.need)
			listed.Checkpoint = checkpointOf(x.saved)
		}
		report.Running = append(report.Running, listed)
	}
	w.engine.Report(r.node, report, w.moment())
}

// obey carries out orders.
func (r *runner) obey(w *world, o *flowpb.Orders) {
	r.token = max(r.token, o.GetToken())
	r.ends = slices.DeleteFunc(r.ends, func(e *flowpb.End) bool { return e.GetNumber() <= o.GetSettled() })
	for _, s := range o.GetStarts() {
		r.start(w, s)
	}
	for _, s := range o.GetStops() {
		if x := r.find(s.GetTask(), s.GetRun()); x != nil {
			r.end(w, x, driver.EndStopped)
		}
	}
	for _, p := range o.GetPaces() {
		if x := r.find(p.GetTask(), p.GetRun()); x != nil {
			x.nextPace, x.paceAt = float64(p.GetPercent())/100, w.now+paceLag
		}
	}
}

// lost reports whether the runner is cut off: what it runs goes on, unheard.
func (r *runner) lost() bool { return r.fault != nil && r.fault.Kind == faultLost }

func (r *runner) find(task string, number uint32) *run {
	for _, x := range r.runs {
		if x.id.Task == task && x.id.Run == number {
			return x
		}
	}
	return nil
}

func (r *runner) start(w *world, s *flowpb.Start) {
	x := w.newRun(s)
	free := driver.NewResources(r.info.GetMilliCpu(), r.info.GetMemoryMb()<<20, 0)
	for _, other := range r.runs {
		free = free.Minus(needOf(other.step))
	}
	result := &flowpb.StartResult{Task: s.GetTask(), Run: s.GetRun(), Outcome: flowpb.StartOutcome_START_OUTCOME_STARTED}
	if !needOf(x.step).Fits(free) {
		result.Outcome = flowpb.StartOutcome_START_OUTCOME_NO_ROOM
		w.tally.noRoom++
	} else {
		x.ready, x.pace, x.nextPace = w.now, 1, 1
		if x.step.GetLasting() {
			x.ready += startup
		}
		if s.GetCheckpoint() != "" {
			saved, _ := strconv.ParseFloat(s.GetCheckpoint(), 64)
			x.done, x.saved = saved, saved
			x.ready += restore
		}
		r.runs = append(r.runs, x)
		w.tally.starts++
		w.first(x)
	}
	r.results = append(r.results, result)
}

func needOf(s *flowpb.Step) driver.Resources {
	cpu := s.GetMilliCpu()
	if s.GetFills() {
		cpu = 0
	}
	return driver.NewResources(cpu, s.GetMemoryMb()<<20, 0)
}

// loadOf returns the load of the users of a serving task, which is that of its job.
func (w *world) loadOf(task string) float64 {
	s := w.load.Serving
	phase := share(task[:16]) * 2 * math.Pi
	period := max(s.Period.D().Seconds(), 1)
	return s.Load * (1 + s.Swing*math.Sin(2*math.Pi*w.now.Seconds()/period+phase))
}

// press returns the idle share of time that a processor of a filling image takes from a
// serving one.
func (w *world) press(serving, filling string) float64 {
	key := serving + "/" + filling
	p, known := w.presses[key]
	if !known {
		i := w.load.Interference
		r := rand.New(rand.NewPCG(w.seed, uint64(share(key)*math.MaxInt32)))
		p = i.Light * r.Float64()
		if r.Float64() < i.Heavy {
			p = i.Median * math.Exp(i.Spread*r.NormFloat64())
		}
		w.presses[key] = p
	}
	return p
}

// share maps a text evenly into 0 to 1.
func share(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}
