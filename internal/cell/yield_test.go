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

// yieldWorld is an owner with workers that report as a script says, on a clock of its own.
type yieldWorld struct {
	owner *Owner
	now   time.Time
	tasks int
}

// TestYields runs the scripts in testdata/yield against the guards of Passline's document.
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
		w := &yieldWorld{now: time.Unix(1_000_000, 0), owner: &Owner{
			options: Options{
				Cell: testCell, Document: func() *document.Document { return d }, Metrics: telemetry.NewMetrics(),
				Placer: place.NewPairScore(func() place.Weights { return place.Weights{Interference: 1, Packing: 1, Spread: 1} }),
			},
			log: quiet, work: make(chan struct{}, 1),
			c: control{
				state: NewState(), workers: map[string]*worker{}, queue: newQueue(), use: map[string]driver.Resources{},
				model: interfere.New(), sizes: newSizes(), preempted: map[string]time.Time{}, holds: map[string]hold{},
			},
		}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return w.command(t, d) })
	})
}

func (y *yieldWorld) command(t *testing.T, d *datadriven.TestData) string {
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
		w := o.workerNamed(name)
		w.assign(&assignment{task: fmt.Sprint("task-", y.tasks), class: class, confirmed: true, reserved: driver.NewResources(int64(cores)*1000, 1, 0)})
	case "end":
		w := o.workerNamed(name)
		for task := range w.assigned {
			w.unassign(task)
		}
	case "wait":
		y.now = y.now.Add(time.Duration(seconds) * time.Second)
		for _, w := range o.c.workers {
			w.seen = y.now
		}
	case "yield-for":
		o.yieldFor(driver.NewResources(int64(cores)*1000, 1, 0), o.yielders(y.now), y.now)
	case "seats":
		return y.seats(cores)
	case "guard":
		o.guard(y.now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return y.describe()
}

func (y *yieldWorld) report(name string, state *peerpb.UpstreamState, twice bool) {
	w := y.owner.workerNamed(name)
	w.capacity, w.seen = driver.NewResources(16_000, 60<<30, 0), y.now
	states := []*peerpb.UpstreamState{state}
	if twice {
		states = append(states, state)
	}
	for range 50 {
		// The average of busy slots has settled.
		w.observeServing(states)
	}
}

// learn teaches the model that a scan slows services by a quarter for each processor.
func (y *yieldWorld) learn(seconds int) {
	for i := range 2 * seconds {
		y.now = y.now.Add(500 * time.Millisecond)
		scan := float64(i % 20 / 10)
		for _, w := range y.owner.c.workers {
			w.seen = y.now
			w.beside.RecordUsage(y.now, map[string]float64{"scan": scan})
			if i%10 == 9 {
				latency := 0.04 * (1 + 0.25*scan)
				y.owner.c.model.Update(interfere.Observation{Kind: "closure-notice", Mean: latency, Tail: 2.7 * latency, Samples: 90}, w.beside)
			}
		}
	}
}

// seats lists for each worker whether a scan may be placed there.
func (y *yieldWorld) seats(cores int) string {
	o := y.owner
	r := &round{owner: o, now: y.now, seats: o.seats(y.now), yielders: o.yielders(y.now)}
	harm := o.c.model.UpperBound("scan", o.caution()) * float64(cores)
	need := driver.NewResources(int64(cores)*1000, 1, 0)
	var out strings.Builder
	for i := range r.seats {
		r.consider(&r.seats[i], harm, r.yielders.room(need))
		fmt.Fprintf(&out, "%s blocked=%v\n", r.seats[i].Worker, r.seats[i].Blocked)
	}
	return out.String()
}

func (y *yieldWorld) describe() string {
	var lines []string
	for _, w := range y.owner.c.workers {
		if w.yielding {
			lines = append(lines, fmt.Sprintf("%s yields reclaiming=%v throttled=%d\n", w.Name, w.reclaiming, len(w.throttled)))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}
