package cell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// yieldHarness is an owner without a running loop, whose workers report what a script says, on a
// simulated clock.
type yieldHarness struct {
	owner *Owner
	now   time.Time
	tasks int
}

// TestYields runs the scripts in testdata/yield with the guards of the Passline example document.
func TestYields(t *testing.T) {
	raw, err := examples.Files.ReadFile("passline.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, "testdata/yield", func(t *testing.T, path string) {
		y := &yieldHarness{now: time.Unix(1_000_000, 0), owner: &Owner{
			options: Options{
				Cell: testCell, Document: func() *document.Document { return d }, Metrics: telemetry.NewMetrics(),
				Placer: place.NewPairScore(func() place.Weights { return place.Weights{Interference: 1, Packing: 1, Spread: 1} }),
			},
			log: discardLog, commitSignal: make(chan struct{}, 1),
			control: control{
				state: NewState(), workers: map[string]*worker{}, queue: newQueue(), reservedByTeam: map[string]driver.Resources{},
				model: interfere.New(), overuse: newOveruse(), nextPreempt: map[string]time.Time{}, holds: map[string]capacityHold{},
			},
		}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return y.runCommand(t, d) })
	})
}

func (y *yieldHarness) runCommand(t *testing.T, d *datadriven.TestData) string {
	o := y.owner
	name, class := "", "scan"
	slots, busy, seconds, cores := 8, 0, 0, 3
	for argument, target := range map[string]*int{"slots": &slots, "busy": &busy, "seconds": &seconds, "cores": &cores} {
		if d.HasArg(argument) {
			d.ScanArgs(t, argument, target)
		}
	}
	if d.HasArg("worker") {
		d.ScanArgs(t, "worker", &name)
	}
	if d.HasArg("class") {
		d.ScanArgs(t, "class", &class)
	}
	switch d.Cmd {
	case "report":
		state := &peerpb.UpstreamState{Service: "notice-desk", Slots: int32(slots), InFlight: int32(busy), Ready: !d.HasArg("starting"), Yielding: d.HasArg("yielded")}
		y.report(name, state, d.HasArg("twice"))
	case "learn":
		y.learn(seconds)
	case "run":
		y.tasks++
		w := o.ensureWorker(name)
		w.assign(&assignment{task: fmt.Sprint("task-", y.tasks), class: class, mayHaveRun: true, reserved: driver.NewResources(int64(cores)*1000, 1, 0)})
	case "end":
		w := o.ensureWorker(name)
		for task := range w.assigned {
			w.unassign(task)
		}
	case "wait":
		y.now = y.now.Add(time.Duration(seconds) * time.Second)
		for _, w := range o.control.workers {
			w.lastReport = y.now
		}
	case "yield-for":
		o.yieldWorkerFor(driver.NewResources(int64(cores)*1000, 1, 0), o.yieldTargets(y.now), y.now)
	case "seats":
		return y.describeCandidates(cores)
	case "guard":
		o.applyGuards(y.now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return y.describeYielding()
}

func (y *yieldHarness) report(name string, state *peerpb.UpstreamState, twice bool) {
	w := y.owner.ensureWorker(name)
	w.capacity, w.lastReport = driver.NewResources(16_000, 60<<30, 0), y.now
	states := []*peerpb.UpstreamState{state}
	if twice {
		states = append(states, state)
	}
	for range 50 {
		// The moving average of busy slots needs several reports to settle.
		w.updateServices(states)
	}
}

// learn trains the model that a scan slows services by a quarter per processor.
func (y *yieldHarness) learn(seconds int) {
	for i := range 2 * seconds {
		y.now = y.now.Add(500 * time.Millisecond)
		scan := float64(i % 20 / 10)
		for _, w := range y.owner.control.workers {
			w.lastReport = y.now
			w.interferenceState.RecordUsage(y.now, map[string]float64{"scan": scan})
			if i%10 == 9 {
				latency := 0.04 * (1 + 0.25*scan)
				y.owner.control.model.Update(interfere.Observation{Kind: "closure-notice", Mean: latency, Tail: 2.7 * latency, Samples: 90}, w.interferenceState)
			}
		}
	}
}

// describeCandidates prints for each candidate whether a scan may be placed there.
func (y *yieldHarness) describeCandidates(cores int) string {
	o := y.owner
	r := &round{owner: o, now: y.now, candidates: o.candidates(y.now), yieldTargets: o.yieldTargets(y.now)}
	interference := o.control.model.UpperBound("scan", o.caution()) * float64(cores)
	need := driver.NewResources(int64(cores)*1000, 1, 0)
	var out strings.Builder
	for i := range r.candidates {
		r.assessInterference(&r.candidates[i], interference, r.yieldTargets.canHost(need))
		fmt.Fprintf(&out, "%s blocked=%v\n", r.candidates[i].Worker, r.candidates[i].Blocked)
	}
	return out.String()
}

func (y *yieldHarness) describeYielding() string {
	var lines []string
	for _, w := range y.owner.control.workers {
		if w.yielding {
			lines = append(lines, fmt.Sprintf("%s yields reclaiming=%v throttled=%d\n", w.Name, w.reclaiming, len(w.throttled)))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}
