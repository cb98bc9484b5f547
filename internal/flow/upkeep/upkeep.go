package upkeep

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/steady"
)

const (
	// idlePollInterval is how often waves are listed. activePollInterval is how often a wave in
	// progress is advanced, and the shortest time between two listings of the VMs.
	idlePollInterval   = 2 * time.Second
	activePollInterval = 400 * time.Millisecond
	callTimeout        = 2 * time.Second
	// overrunFactor is the multiple of the usual downtime for which a VM counts as down after its
	// maintenance was ordered, even if it is not listed as down.
	overrunFactor = 1.5
)

// Cell is the part of the owner of a cell that maintenance uses.
type Cell interface {
	// RunCounts returns how many tasks run on a runner, and how many of them may not be moved now,
	// because their step's disruption budget is used up.
	RunCounts(runner string) (runs, pinned int)
	// SetEvacuating sets the runners from which tasks are moved and on which no new ones are placed,
	// in place of those set before.
	SetEvacuating(runners []string)
}

// Options configures a Maintainer.
type Options struct {
	Cell  Cell
	VMs   driver.VMs
	Waves driver.Waves
	Clock steady.Clock
	// Holder and Token fence the operations on VMs. A later owner has a higher token.
	Holder string
	Token  uint64
	// VMDowntime is how long maintenance takes a VM down.
	VMDowntime time.Duration
	Log        *slog.Logger
}

// Maintainer carries out waves while its process owns the cell.
type Maintainer struct {
	options Options
	waves   map[uint64]*wave
}

// wave is the state of a wave in progress.
type wave struct {
	driver.Wave
	startedAt time.Duration
	// orderedAt holds when the maintenance of a VM was ordered, also if the outcome of the order is
	// indeterminate.
	orderedAt map[string]time.Duration
	done      map[string]bool
}

// New returns a Maintainer. Run must be called next.
func New(o Options) *Maintainer { return &Maintainer{options: o, waves: map[uint64]*wave{}} }

// Run carries out waves until ctx ends.
func (m *Maintainer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := idlePollInterval
		if m.reconcile(ctx) {
			wait = activePollInterval
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// reconcile advances all waves and reports whether any is in progress.
func (m *Maintainer) reconcile(ctx context.Context) (active bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, completed, err := m.options.Waves.List(ctx)
	if err != nil {
		m.options.Log.Warn("listing the waves failed", "error", err.Error())
		return len(m.waves) > 0
	}
	for _, w := range listed {
		if completed[w.Number] {
			delete(m.waves, w.Number)
			continue
		}
		if m.waves[w.Number] == nil {
			m.options.Log.Info("maintenance wave started", "wave", w.Number, "vms", len(w.VMs), "most", w.MaxDown, "duration-ms", w.Duration.Milliseconds())
			m.waves[w.Number] = &wave{Wave: w, startedAt: m.options.Clock(), orderedAt: map[string]time.Duration{}, done: map[string]bool{}}
			m.mark(ctx, w.Number, false)
		}
	}
	if len(m.waves) == 0 {
		return false
	}
	vms, err := m.options.VMs.List(ctx)
	if err != nil {
		m.options.Log.Warn("listing the VMs failed", "error", err.Error())
		return true
	}
	byName := map[string]driver.VM{}
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	var evacuate []string
	for _, w := range m.waves {
		evacuate = append(evacuate, m.advance(ctx, w, byName)...)
	}
	m.options.Cell.SetEvacuating(evacuate)
	return true
}

// advance starts the maintenance of a wave that is due and returns the runners to evacuate.
func (m *Maintainer) advance(ctx context.Context, w *wave, vms map[string]driver.VM) (evacuate []string) {
	now := m.options.Clock()
	down, unfinished := 0, 0
	var pending []PendingVM
	for _, name := range w.VMs {
		vm, exists := vms[name]
		orderedAt, ordered := w.orderedAt[name]
		recent := ordered && now-orderedAt < time.Duration(overrunFactor*float64(m.options.VMDowntime))
		if exists && vm.InMaintenance || recent {
			down++
		}
		switch {
		case w.done[name] || !exists:
		case vm.Up:
			unfinished++
			runs, pinned := m.options.Cell.RunCounts(vm.Runner)
			pending = append(pending, PendingVM{VM: name, Runs: runs, Pinned: pinned})
		default:
			unfinished++
		}
	}
	if unfinished == 0 {
		m.mark(ctx, w.Number, true)
		return nil
	}
	toEvacuate, toStart := Choose(pending, down, w.MaxDown, w.Duration-(now-w.startedAt), m.options.VMDowntime)
	for _, name := range toStart {
		m.startMaintenance(ctx, w, name)
	}
	for _, name := range toEvacuate {
		evacuate = append(evacuate, vms[name].Runner)
	}
	return evacuate
}

func (m *Maintainer) startMaintenance(ctx context.Context, w *wave, name string) {
	w.orderedAt[name] = m.options.Clock()
	err := m.options.VMs.StartMaintenance(ctx, name, w.Number, m.options.Holder, m.options.Token)
	switch {
	case err == nil, errors.Is(err, driver.ErrNotInWave), errors.Is(err, driver.ErrUnknownVM):
		w.done[name] = true
	case errors.Is(err, driver.ErrVMBusy), errors.Is(err, driver.ErrFenced), errors.Is(err, driver.ErrUnavailable):
		delete(w.orderedAt, name)
	}
	m.options.Log.Info("maintenance ordered", "wave", w.Number, "vm", name, "token", m.options.Token, "done", w.done[name], "error", errs.Text(err))
}

func (m *Maintainer) mark(ctx context.Context, number uint64, completed bool) {
	err := m.options.Waves.SetCompleted(ctx, number, completed)
	m.options.Log.Info("wave state recorded", "wave", number, "completed", completed, "error", errs.Text(err))
	if err == nil && completed {
		delete(m.waves, number)
	}
}
