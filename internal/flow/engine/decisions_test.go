package engine

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// TestDecisions runs the scripts in testdata/decisions. Each script tests one decision of the
// engine under the load for which it was made.
func TestDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata/decisions", func(t *testing.T, path string) {
		s := &decisionsTest{t: t, pairs: interferenceModel{}, rate: 0}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.command(d) })
	})
}

type decisionsTest struct {
	t     *testing.T
	pairs interferenceModel
	rate  throughput
}

func (s *decisionsTest) number(d *datadriven.TestData, name string, fallback float64) float64 {
	if !d.HasArg(name) {
		return fallback
	}
	var text string
	d.ScanArgs(s.t, name, &text)
	value := fallback
	if _, err := fmt.Sscan(text, &value); err != nil {
		s.t.Fatal(err)
	}
	return value
}

func (s *decisionsTest) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "admit":
		ok, after := Admit(Load{MilliCPU: int64(s.number(d, "cores", 0) * 1000), Backlog: s.number(d, "core-seconds", 0) * 1e6, AllowedMillis: s.number(d, "allowed-ms", 0)})
		return fmt.Sprintf("%v %v\n", ok, after)
	case "competes":
		return fmt.Sprintf("%.4g\n", competingWork(s.number(d, "core-seconds", 0), s.number(d, "path-ms", 0), s.number(d, "window-ms", 0)))
	case "order":
		return s.order(d)
	case "paces":
		return s.paces(d)
	case "rate":
		for range int(s.number(d, "samples", 1)) {
			s.rate = s.rate.next(s.number(d, "at-work", 0), d.HasArg("backlog"))
		}
		return fmt.Sprintf("%.0f\n", float64(s.rate))
	case "learn":
		return s.learn(d)
	case "speed":
		var v slowdown
		for range int(s.number(d, "runs", 1)) {
			v.observe(s.number(d, "ratio", 1))
		}
		return fmt.Sprintf("slow=%v\n", v.slow())
	case "accepts-pace":
		return fmt.Sprintf("%v\n", acceptsPace(int(s.number(d, "pace", 0)), time.Duration(s.number(d, "waited-ms", 0))*time.Millisecond))
	case "idle":
		return s.idle(d)
	case "serving-seat":
		return s.latencyCriticalCandidate(d)
	case "health":
		return s.health(d)
	}
	s.t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// order sorts pending steps and prints their names. Each input line describes one step: name,
// priority, attainability, "begun", "new" or "lasting", and remaining work.
func (s *decisionsTest) order(d *datadriven.TestData) string {
	var steps []PendingStep
	for _, line := range strings.Split(d.Input, "\n") {
		var p PendingStep
		var attainability, begun string
		if _, err := fmt.Sscan(line, &p.Name, &p.Priority, &attainability, &begun, &p.RemainingWork); err != nil {
			s.t.Fatal(err)
		}
		p.Attainability = map[string]Attainability{"in-time": Attainable, "late": AttainableLate, "none": Unattainable}[attainability]
		p.Begun, p.LongRunning = begun == "begun", begun == "lasting"
		steps = append(steps, p)
	}
	SortPending(steps)
	var out strings.Builder
	for _, p := range steps {
		out.WriteString(p.Name + "\n")
	}
	return out.String()
}

// paces prints the pace of each best-effort image. The input lines are:
//
//	serves IMAGE BASE HEADROOM      a latency-critical task with its base and measured headroom
//	fills IMAGE PROCESSORS          a best-effort image and the processors that it uses
//	harms SERVING FILLING SLOPE     the headroom that a processor of FILLING takes from SERVING
func (s *decisionsTest) paces(d *datadriven.TestData) string {
	var critical []LatencyCriticalTask
	var uses []BestEffortUse
	interference := map[imagePair]float64{}
	for _, line := range strings.Split(d.Input, "\n") {
		fields := strings.Fields(line)
		number := func(i int) (v float64) {
			if _, err := fmt.Sscan(fields[i], &v); err != nil {
				s.t.Fatal(err)
			}
			return v
		}
		switch fields[0] {
		case "serves":
			critical = append(critical, LatencyCriticalTask{Image: fields[1], BaseHeadroom: number(2), MeasuredHeadroom: number(3)})
		case "fills":
			uses = append(uses, BestEffortUse{Image: fields[1], Processors: number(2)})
		case "harms":
			interference[imagePair{fields[1], fields[2]}] = number(3)
		}
	}
	var out strings.Builder
	for i, p := range Paces(critical, uses, func(a, b string) float64 { return interference[imagePair{a, b}] }) {
		fmt.Fprintf(&out, "%s %d\n", uses[i].Image, p)
	}
	return out.String()
}

// learn replays measurements of a latency-critical task under a load that oscillates with a period
// of 10 s, while two best-effort images run on its worker in turn. It prints whether the learned
// interference distinguishes the heavy image from the light one.
func (s *decisionsTest) learn(d *datadriven.TestData) string {
	heavy, light := s.number(d, "heavy", 0.1), s.number(d, "light", 0)
	b := &baseHeadroom{}
	now := time.Hour
	for i := range int(s.number(d, "readings", 60)) {
		now += 600 * time.Millisecond
		base := 2.6 + 0.9*math.Sin(2*math.Pi*now.Seconds()/10)
		use := map[string]float64{}
		if i/3%2 == 0 {
			use["heavy"] = 7
		}
		if i/4%2 == 0 {
			use["light"] = 12
		}
		headroom := max(0.05, base-heavy*use["heavy"]-light*use["light"])
		s.pairs.learn(b, now, "web", math.Round(18/headroom), 18, use)
	}
	h, l := s.pairs.estimateOf(imagePair{"web", "heavy"}).value, s.pairs.estimateOf(imagePair{"web", "light"}).value
	return fmt.Sprintf("heavy within a half: %v, light below a third of it: %v\n", math.Abs(h-heavy) < heavy/2, l < h/3)
}

// health prints whether a runner may be given tasks after a sequence of run results, and after the
// longest ejection time with no run, with one that was just sent and with one that has just begun. Each
// letter of the input is one result: f is a failure of another job, s a failure of the same job, d a
// success.
func (s *decisionsTest) health(d *datadriven.TestData) string {
	var h health
	now := time.Hour
	stepOf := func(id string) *step { return &step{occurrence: &occurrence{job: &job{def: &flowpb.Job{Id: id}}}} }
	for i, c := range d.Input {
		switch c {
		case 'f':
			h.recordFailure(stepOf(fmt.Sprint("job", i)), now)
		case 's':
			h.recordFailure(stepOf("same"), now)
		case 'd':
			h.recordSuccess()
		}
	}
	later := now + maxEjectionTime
	probe := &task{step: stepOf("probe")}
	sent, begun := &run{task: probe, phase: phaseSent}, &run{task: probe, phase: phaseRunning, startedAt: later}
	return fmt.Sprintf("admits=%v after the pause: first=%v second=%v,%v\n", h.admits(now, nil), h.admits(later, nil), h.admits(later, []*run{sent}), h.admits(later, []*run{begun}))
}

// idle prints the idle processors of a worker. Each input line describes one run on it: "serves" or
// "fills", processors, and pace in percent.
func (s *decisionsTest) idle(d *datadriven.TestData) string {
	w := newWorker("a", 0)
	w.info = &flowpb.Runner{MilliCpu: int64(s.number(d, "cores", 0) * 1000)}
	for i, line := range strings.Split(d.Input, "\n") {
		var kind string
		var cores float64
		r := &run{number: uint32(i + 1), pace: fullPace}
		if _, err := fmt.Sscan(line, &kind, &cores, &r.pace); err != nil {
			s.t.Fatal(err)
		}
		def := &flowpb.Step{MilliCpu: int64(cores * 1000), Fills: kind == "fills"}
		if kind == "serves" {
			def.Lasting, def.TargetMillis = true, 10
		}
		j := &job{def: &flowpb.Job{Id: "j"}}
		r.task = &task{step: &step{def: def, occurrence: &occurrence{job: j}}}
		r.milliCPU, r.reserved = def.GetMilliCpu(), r.task.step.resources()
		w.attach(r)
	}
	return fmt.Sprintf("%.1f\n", float64(w.bestEffortAvailable())/1000)
}

// latencyCriticalCandidate prints the worker on which a latency-critical task is placed. Each input
// line has the name of a worker and the images of the latency-critical tasks on it.
func (s *decisionsTest) latencyCriticalCandidate(d *datadriven.TestData) string {
	best, bestScore := "", math.Inf(-1)
	var image string
	d.ScanArgs(s.t, "image", &image)
	for _, line := range strings.Split(d.Input, "\n") {
		name, images, _ := strings.Cut(line, ":")
		w := newWorker(name, 0)
		for i, other := range strings.Fields(images) {
			st := &step{def: &flowpb.Step{Lasting: true, TargetMillis: 10, Image: other}, occurrence: &occurrence{job: &job{def: &flowpb.Job{Id: "j"}}}}
			w.attach(&run{number: uint32(i + 1), task: &task{step: st}})
		}
		if score := scoreLatencyCritical(w, image); score > bestScore {
			best, bestScore = name, score
		}
	}
	return best + "\n"
}
