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

// TestDecisions runs the scripts in testdata/decisions, each of which replays the load that
// a decision answers.
func TestDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata/decisions", func(t *testing.T, path string) {
		s := &decisions{t: t, pairs: pairs{}, rate: 0}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.command(d) })
	})
}

type decisions struct {
	t     *testing.T
	pairs pairs
	rate  rate
}

func (s *decisions) number(d *datadriven.TestData, name string, standard float64) float64 {
	if !d.HasArg(name) {
		return standard
	}
	var text string
	d.ScanArgs(s.t, name, &text)
	value := standard
	if _, err := fmt.Sscan(text, &value); err != nil {
		s.t.Fatal(err)
	}
	return value
}

func (s *decisions) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "admit":
		ok, after := Admit(Load{MilliCPU: int64(s.number(d, "cores", 0) * 1000), Backlog: s.number(d, "core-seconds", 0) * 1e6, AllowedMillis: s.number(d, "allowed-ms", 0)})
		return fmt.Sprintf("%v %v\n", ok, after)
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
		var v speed
		for range int(s.number(d, "runs", 1)) {
			v.observe(s.number(d, "ratio", 1))
		}
		return fmt.Sprintf("slow=%v\n", v.slow())
	case "idle":
		return s.idle(d)
	case "serving-seat":
		return s.servingSeat(d)
	case "health":
		return s.health(d)
	}
	s.t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// order sorts claims, one a line: name, priority, prospect, begun or new, work.
func (s *decisions) order(d *datadriven.TestData) string {
	var claims []Claim
	for _, line := range strings.Split(d.Input, "\n") {
		var c Claim
		var prospect, begun string
		if _, err := fmt.Sscan(line, &c.Name, &c.Priority, &prospect, &begun, &c.Work); err != nil {
			s.t.Fatal(err)
		}
		c.Prospect = map[string]Prospect{"in-time": ProspectInTime, "late": ProspectLate, "none": ProspectNone}[prospect]
		c.Begun, c.Lasting = begun == "begun", begun == "lasting"
		claims = append(claims, c)
	}
	Order(claims)
	var out strings.Builder
	for _, c := range claims {
		out.WriteString(c.Name + "\n")
	}
	return out.String()
}

// paces reads lines "serves IMAGE BASE HEADROOM", "fills IMAGE PROCESSORS" and
// "harms SERVING FILLING SLOPE".
func (s *decisions) paces(d *datadriven.TestData) string {
	var served []Served
	var fillings []Filling
	harms := map[pair]float64{}
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
			served = append(served, Served{Image: fields[1], Base: number(2), Headroom: number(3)})
		case "fills":
			fillings = append(fillings, Filling{Image: fields[1], Processors: number(2)})
		case "harms":
			harms[pair{fields[1], fields[2]}] = number(3)
		}
	}
	var out strings.Builder
	for i, p := range Paces(served, fillings, func(a, b string) float64 { return harms[pair{a, b}] }) {
		fmt.Fprintf(&out, "%s %d\n", fillings[i].Image, p)
	}
	return out.String()
}

// learn replays a serving task under a swinging load, with two filling images beside it by
// turns, and tells whether the harmful one is told from the other.
func (s *decisions) learn(d *datadriven.TestData) string {
	heavy, light := s.number(d, "heavy", 0.1), s.number(d, "light", 0)
	b := &base{}
	now := time.Hour
	for i := range int(s.number(d, "readings", 60)) {
		now += 600 * time.Millisecond
		free := 2.6 + 0.9*math.Sin(2*math.Pi*now.Seconds()/10)
		use := map[string]float64{}
		if i/3%2 == 0 {
			use["heavy"] = 7
		}
		if i/4%2 == 0 {
			use["light"] = 12
		}
		headroom := max(0.05, free-heavy*use["heavy"]-light*use["light"])
		s.pairs.learn(b, now, "web", math.Round(18/headroom), 18, use)
	}
	h, l := s.pairs.of(pair{"web", "heavy"}).value, s.pairs.of(pair{"web", "light"}).value
	return fmt.Sprintf("heavy within a half: %v, light below a third of it: %v\n", math.Abs(h-heavy) < heavy/2, l < h/3)
}

// health reads a line of letters: f a failure of a new job, s of the same job, d an end done.
func (s *decisions) health(d *datadriven.TestData) string {
	var h health
	now := time.Hour
	for i, c := range d.Input {
		switch c {
		case 'f':
			h.failed(fmt.Sprint("job", i), now)
		case 's':
			h.failed("same", now)
		case 'd':
			h.worked()
		}
	}
	return fmt.Sprintf("admits=%v after the pause: first=%v second=%v\n", h.admits(now, 0), h.admits(now+asideMost, 0), h.admits(now+asideMost, 1))
}

// idle prints the idle processors of a worker with the runs of the script, one a line: serves
// or fills, processors and pace.
func (s *decisions) idle(d *datadriven.TestData) string {
	w := newWorker("a")
	w.info = &flowpb.Runner{MilliCpu: int64(s.number(d, "cores", 0) * 1000)}
	for i, line := range strings.Split(d.Input, "\n") {
		var kind string
		var cores float64
		r := &run{number: uint32(i + 1), pace: paceFull}
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

// servingSeat prints which worker a task that serves goes to; each line has the images of the
// tasks that serve on one worker.
func (s *decisions) servingSeat(d *datadriven.TestData) string {
	best, bestScore := "", math.Inf(-1)
	var image string
	d.ScanArgs(s.t, "image", &image)
	for _, line := range strings.Split(d.Input, "\n") {
		name, images, _ := strings.Cut(line, ":")
		w := newWorker(name)
		for i, other := range strings.Fields(images) {
			st := &step{def: &flowpb.Step{Lasting: true, TargetMillis: 10, Image: other}, occurrence: &occurrence{job: &job{def: &flowpb.Job{Id: "j"}}}}
			w.attach(&run{number: uint32(i + 1), task: &task{step: st}})
		}
		if score := scoreServing(w, image); score > bestScore {
			best, bestScore = name, score
		}
	}
	return best + "\n"
}
