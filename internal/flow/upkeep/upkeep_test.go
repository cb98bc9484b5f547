package upkeep

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
)

const (
	testToken    = 7
	testDowntime = 2 * time.Second
	// testLateness is the longest time by which the platform may carry out an order late.
	testLateness = 12 * time.Second
)

// fakeOutcome is what becomes of one order to the platform.
type fakeOutcome struct {
	// err is the answer. An order without an answer returns ErrIndeterminate when its time is up.
	err error
	// after is when an order without an answer is carried out, or negative if it never is.
	after time.Duration
}

// fakePlatform implements Cell, driver.VMs and driver.Waves. It carries out orders once for each VM, as
// its outcomes say, and refuses them under a token below the highest that it has seen for the VM.
type fakePlatform struct {
	mu    sync.Mutex
	began time.Time
	wave  driver.Wave
	// outcomes holds the outcomes of the next orders for a VM; the orders after them are answered.
	outcomes map[string][]fakeOutcome
	// draw returns the outcome of an order in place of outcomes.
	draw func() fakeOutcome
	// tasks counts the tasks on a VM. They leave evacuationTime after their VM is evacuated, unless
	// they are pinned.
	tasks, pinned  map[string]int
	evacuatedSince map[string]time.Time
	evacuating     []string
	// reportsAfter is how long after a takeover the agents report; until then no tasks are known.
	reportsAfter time.Duration
	reportsFrom  time.Time
	seenToken    map[string]uint64
	downUntil    map[string]time.Time
	begun, gone  map[string]bool
	completed    bool
	record       driver.WaveOrders
	// drawWrite returns whether the next write of the record is stored and answered.
	drawWrite func() (stored, answered bool)
	// load is how many tasks are placed on a VM while it is up and not evacuated.
	load map[string]int
	// inEvacuated holds the VMs that are in an evacuated data centre.
	inEvacuated map[string]bool
	// foreign holds the VMs that do not belong to the wave.
	foreign map[string]bool
	// broken holds what must not happen.
	broken []string
	lines  strings.Builder
	// lastText is the text of the last line.
	lastText string
}

func newFakePlatform(w driver.Wave) *fakePlatform {
	return &fakePlatform{
		began: time.Now(), wave: w, outcomes: map[string][]fakeOutcome{}, tasks: map[string]int{}, pinned: map[string]int{},
		evacuatedSince: map[string]time.Time{}, seenToken: map[string]uint64{}, downUntil: map[string]time.Time{},
		begun: map[string]bool{}, gone: map[string]bool{}, foreign: map[string]bool{}, load: map[string]int{}, inEvacuated: map[string]bool{},
		drawWrite: func() (stored, answered bool) { return true, true },
	}
}

// printf adds a line, unless it says the same as the one before.
func (p *fakePlatform) printf(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); text != p.lastText {
		p.lastText = text
		fmt.Fprintf(&p.lines, "%5.1f s  %s\n", time.Since(p.began).Seconds(), text)
	}
}

func (p *fakePlatform) fault(format string, args ...any) {
	p.printf("FAULT: "+format, args...)
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

func (p *fakePlatform) down() (count int) {
	for _, until := range p.downUntil {
		if time.Now().Before(until) {
			count++
		}
	}
	return count
}

// carryOut takes a VM down. It reports whether it was up or has been down for the wave.
func (p *fakePlatform) carryOut(name string, token uint64) error {
	switch {
	case p.gone[name]:
		return driver.ErrUnknownVM
	case token < p.seenToken[name]:
		return driver.ErrFenced
	}
	if !p.begun[name] && p.pinned[name] > 0 {
		p.fault("%s goes down with %d pinned tasks", name, p.pinned[name])
	}
	p.seenToken[name] = token
	if p.begun[name] {
		return nil
	}
	p.begun[name], p.tasks[name], p.pinned[name] = true, 0, 0
	p.downUntil[name] = time.Now().Add(testDowntime)
	p.printf("%s goes down, %d of %d are", name, p.down(), p.wave.MaxDown)
	if p.down() > p.wave.MaxDown {
		p.fault("%d VMs are down, of which at most %d may be", p.down(), p.wave.MaxDown)
	}
	return nil
}

func (p *fakePlatform) nextOutcome(name string) (o fakeOutcome) {
	if p.draw != nil {
		return p.draw()
	}
	if next := p.outcomes[name]; len(next) > 0 {
		o, p.outcomes[name] = next[0], next[1:]
	}
	return o
}

// StartMaintenance implements driver.VMs.
func (p *fakePlatform) StartMaintenance(ctx context.Context, name string, _ uint64, _ string, token uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.fault("the time for an order for %s is up before it is sent", name)
		}
		return fmt.Errorf("%w: %w", driver.ErrIndeterminate, ctx.Err())
	}
	o := p.nextOutcome(name)
	switch {
	case errors.Is(o.err, driver.ErrIndeterminate):
		p.printf("%s is ordered, no answer", name)
		if o.after >= 0 {
			time.AfterFunc(o.after, func() {
				p.mu.Lock()
				defer p.mu.Unlock()
				_ = p.carryOut(name, token)
			})
		}
		p.mu.Unlock()
		<-ctx.Done()
		p.mu.Lock()
		return fmt.Errorf("%w: %w", driver.ErrIndeterminate, ctx.Err())
	case errors.Is(o.err, driver.ErrFenced):
		p.seenToken[name] = token + 1
	case errors.Is(o.err, driver.ErrNotInWave), errors.Is(o.err, driver.ErrUnknownVM):
		p.foreign[name] = true
	}
	if o.err == nil {
		o.err = p.carryOut(name, token)
	}
	if o.err != nil {
		p.printf("%s is ordered: %s", name, o.err)
		return o.err
	}
	p.printf("%s is ordered: done", name)
	return nil
}

func (p *fakePlatform) listVMs() (vms []driver.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range p.wave.VMs {
		if p.gone[name] {
			continue
		}
		isDown := time.Now().Before(p.downUntil[name])
		vms = append(vms, driver.VM{Name: name, Up: !isDown, InMaintenance: isDown, Runner: name})
	}
	return vms
}

// RunCounts implements Cell.
func (p *fakePlatform) RunCounts(name string) (runs, pinned int, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.reportsFrom) {
		return 0, 0, false
	}
	if since, is := p.evacuatedSince[name]; is && time.Since(since) >= evacuationTime {
		p.tasks[name] = p.pinned[name]
	}
	return p.tasks[name], p.pinned[name], true
}

// AllowTakeDown implements Cell.
func (p *fakePlatform) AllowTakeDown(name string) bool {
	_, pinned, known := p.RunCounts(name)
	return known && pinned == 0
}

// InEvacuatedDataCentre implements Cell.
func (p *fakePlatform) InEvacuatedDataCentre(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inEvacuated[name]
}

// SetEvacuating implements Cell.
func (p *fakePlatform) SetEvacuating(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(names, p.evacuating) {
		p.printf("evacuated: %s", strings.Join(names, " "))
		p.evacuating = names
	}
	before := p.evacuatedSince
	p.evacuatedSince = map[string]time.Time{}
	for _, name := range names {
		since, known := before[name]
		if !known {
			since = time.Now()
		}
		p.evacuatedSince[name] = since
	}
	for _, name := range p.wave.VMs {
		if _, is := p.evacuatedSince[name]; !is && p.tasks[name] == 0 && !time.Now().Before(p.downUntil[name]) {
			p.tasks[name] = p.load[name]
		}
	}
}

// fakeVMs and fakeWaves are the parts of a fakePlatform that have a List each.
type fakeVMs struct{ *fakePlatform }

type fakeWaves struct{ *fakePlatform }

// List implements driver.VMs.
func (p fakeVMs) List(context.Context) ([]driver.VM, error) { return p.listVMs(), nil }

// List implements driver.Waves.
func (p fakeWaves) List(context.Context) ([]driver.Wave, map[uint64]bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return []driver.Wave{p.wave}, map[uint64]bool{p.wave.Number: p.completed}, nil
}

// SetCompleted implements driver.Waves.
func (p fakeWaves) SetCompleted(_ context.Context, _ uint64, completed bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !completed {
		return nil
	}
	p.completed = true
	p.printf("the wave is completed")
	for _, name := range p.wave.VMs {
		if !p.begun[name] && !p.gone[name] && !p.foreign[name] {
			p.fault("the wave is completed without %s", name)
		}
	}
	return nil
}

// removeAfter takes a VM from the list after a time.
func (p *fakePlatform) removeAfter(name string, after time.Duration) {
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.printf("%s is removed", name)
		p.gone[name] = true
	})
}

// unpinAfter allows the tasks on a VM to be moved after a time, as the others of their step are available.
func (p *fakePlatform) unpinAfter(name string, after time.Duration) {
	time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pinned[name] = 0
	})
}

// Orders implements driver.Waves.
func (p fakeWaves) Orders(context.Context, uint64) (driver.WaveOrders, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record, nil
}

// SetOrders implements driver.Waves.
func (p fakeWaves) SetOrders(_ context.Context, _ uint64, o driver.WaveOrders) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Revision != p.record.Revision {
		return 0, driver.ErrConflict
	}
	stored, answered := p.drawWrite()
	if stored {
		p.record = o
		p.record.Revision++
	}
	if !answered {
		return 0, driver.ErrIndeterminate
	}
	return p.record.Revision, nil
}

// runFor carries out the wave for a time, and as an owner with a higher token for another.
func (p *fakePlatform) runFor(lengths ...time.Duration) {
	for i, length := range lengths {
		p.runOwner(testToken+uint64(i), length)
	}
	// Orders that are late by the longest time are carried out before the test ends.
	time.Sleep(testLateness)
}

func (p *fakePlatform) runOwner(token uint64, length time.Duration) {
	if token > testToken {
		// The new owner does not know of evacuations.
		p.SetEvacuating(nil)
		p.reportsFrom = time.Now().Add(p.reportsAfter)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := New(Options{
		Cell: p, VMs: fakeVMs{p}, Waves: fakeWaves{p}, Clock: func() time.Duration { return time.Since(p.began) + time.Hour },
		Holder: "n", Token: token, VMDowntime: testDowntime, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	done := loop.Go(ctx, m.Run)
	time.Sleep(length)
	stop()
	<-done
}

var fakeAnswers = map[string]error{
	"busy": driver.ErrVMBusy, "fenced": driver.ErrFenced, "unavailable": driver.ErrUnavailable, "not-in-wave": driver.ErrNotInWave,
	"unknown": driver.ErrUnknownVM, "done": nil,
}

// parseOutcome reads one of fakeAnswers, "lost" for an order that is not carried out and gets no
// answer, or a time after which such an order is carried out.
func parseOutcome(t *testing.T, word string) fakeOutcome {
	if err, known := fakeAnswers[word]; known {
		return fakeOutcome{err: err}
	}
	if word == "lost" {
		return fakeOutcome{err: driver.ErrIndeterminate, after: -1}
	}
	after, err := time.ParseDuration(word)
	if err != nil {
		t.Fatal(err)
	}
	return fakeOutcome{err: driver.ErrIndeterminate, after: after}
}

// TestOrders carries out the waves in testdata/orders. A line names a VM, the outcomes of the orders
// for it, each with how many orders it is for, and with tasks= and pinned= what runs on it, with load=
// what is placed on it, with evacuated that its data centre is. All later orders are answered. A VM with gone= is removed after that time. Another
// owner takes the wave over after takeover-ms=, which the agents report to reports-after-ms= later.
func TestOrders(t *testing.T) {
	datadriven.RunTest(t, "testdata/orders", func(t *testing.T, d *datadriven.TestData) (out string) {
		seconds, w := 60, driver.Wave{Number: 1, MaxDown: 1, Duration: time.Minute}
		d.MaybeScanArgs(t, "for", &seconds)
		d.MaybeScanArgs(t, "most", &w.MaxDown)
		takeoverMillis, reportsAfterMillis := 0, 0
		d.MaybeScanArgs(t, "takeover-ms", &takeoverMillis)
		d.MaybeScanArgs(t, "reports-after-ms", &reportsAfterMillis)
		synctest.Test(t, func(t *testing.T) {
			p := newFakePlatform(w)
			p.reportsAfter = time.Duration(reportsAfterMillis) * time.Millisecond
			for _, line := range strings.Split(d.Input, "\n") {
				words := strings.Fields(line)
				name := words[0]
				p.wave.VMs = append(p.wave.VMs, name)
				for _, word := range words[1:] {
					var count int
					if word == "evacuated" {
						p.inEvacuated[name] = true
					} else if n, _ := fmt.Sscanf(word, "tasks=%d", &count); n == 1 {
						p.tasks[name] += count
					} else if n, _ := fmt.Sscanf(word, "load=%d", &count); n == 1 {
						p.load[name] = count
					} else if n, _ := fmt.Sscanf(word, "pinned=%d", &count); n == 1 {
						p.tasks[name] += count
						p.pinned[name] = count
					} else if after, found := strings.CutPrefix(word, "gone="); found {
						p.removeAfter(name, parseOutcome(t, after).after)
					} else {
						word, times, _ := strings.Cut(word, "*")
						repeats, _ := strconv.Atoi(times)
						for range max(1, repeats) {
							p.outcomes[name] = append(p.outcomes[name], parseOutcome(t, word))
						}
					}
				}
			}
			length, takeover := time.Duration(seconds)*time.Second, time.Duration(takeoverMillis)*time.Millisecond
			if takeover > 0 {
				p.runFor(takeover, length-takeover)
			} else {
				p.runFor(length)
			}
			out = p.lines.String()
		})
		return out
	})
}

// TestLateOrdersExceedMaxDown guards against more VMs down than allowed, and against a wave that is
// completed early or never, when orders get no answer and are carried out late between refusals, also
// those of an owner before. It also guards against VMs that a new owner takes down with tasks that may not
// be moved, of which its agents have not told it yet.
func TestLateOrdersExceedMaxDown(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLateOrders(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func testLateOrders(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	w := driver.Wave{Number: 1, MaxDown: 1 + random.IntN(3), Duration: time.Minute}
	for i := range 2 + random.IntN(7) {
		w.VMs = append(w.VMs, fmt.Sprintf("vm-%d", i))
	}
	p := newFakePlatform(w)
	for _, name := range w.VMs {
		p.tasks[name], p.load[name] = random.IntN(3), random.IntN(3)
		if random.IntN(3) == 0 {
			p.tasks[name]++
			p.pinned[name] = 1
			p.unpinAfter(name, time.Duration(random.Int64N(int64(time.Minute))))
		}
	}
	p.reportsAfter = time.Duration(random.IntN(5000)) * time.Millisecond
	refusals := []error{driver.ErrVMBusy, driver.ErrUnavailable}
	silent, refused := random.Float64()*0.6, random.Float64()*0.6
	p.draw = func() fakeOutcome {
		switch {
		case random.Float64() < silent:
			o := fakeOutcome{err: driver.ErrIndeterminate, after: -1}
			if random.IntN(2) == 0 {
				o.after = time.Duration(random.Int64N(int64(testLateness)))
			}
			return o
		case random.Float64() < refused:
			return fakeOutcome{err: refusals[random.IntN(len(refusals))]}
		}
		return fakeOutcome{}
	}
	p.drawWrite = func() (stored, answered bool) {
		answered = random.IntN(10) > 0
		return answered || random.IntN(2) == 0, answered
	}
	p.runFor(time.Duration(random.IntN(20_000))*time.Millisecond, 20*time.Minute)
	if len(p.broken) > 0 || !p.completed {
		t.Log(p.lines.String())
	}
	is.Equal(len(p.broken), 0)
	is.True(p.completed)
}
