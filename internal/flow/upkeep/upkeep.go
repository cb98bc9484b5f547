package upkeep

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
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
	// callTimeout bounds each call to the platform.
	callTimeout = 2 * time.Second
	// overrunFactor is the multiple of the usual downtime for which a VM counts as down after its
	// maintenance was confirmed, even if it is not listed as down.
	overrunFactor = 1.5
	// maxUnanswered is how many orders in a row may get no answer before a VM is left alone for
	// driver.MaxOrderDelay, so that others of its wave get their turn.
	maxUnanswered = 6
)

// Cell is the part of the owner of a cell that maintenance uses.
type Cell interface {
	// RunCounts returns how many tasks run on a runner, and how many of them may not be moved now,
	// because their step's disruption budget is used up. It is not known while the runner may have
	// tasks that its agent has not listed to this owner.
	RunCounts(runner string) (runs, pinned int, known bool)
	// AllowTakeDown reports whether a VM may be taken down now with all tasks on its runner. If so, they
	// count as unavailable from then on.
	AllowTakeDown(runner string) bool
	// SetEvacuating sets the runners from which tasks are moved and on which no new ones are placed,
	// in place of those set before.
	SetEvacuating(runners []string)
	// InEvacuatedDataCentre reports whether a runner is in an evacuated data centre.
	InEvacuatedDataCentre(runner string) bool
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
	orders    map[string]*order
	// record is the stored record of the orders, or nil if it has to be read.
	record *driver.WaveOrders
}

// order is the state of the orders to take a VM down.
type order struct {
	// done is set once the platform has confirmed the maintenance, or that there is none to do.
	done bool
	// downUntil is when a VM whose maintenance was confirmed is expected to be up again.
	downUntil time.Duration
	// unanswered is how many orders got no answer. The last of them ended at unansweredAt.
	unanswered   int
	unansweredAt time.Duration
}

// outstanding reports whether the VM may still be taken down by an order that got no answer.
func (o *order) outstanding(now time.Duration) bool {
	return !o.done && o.unanswered > 0 && now-o.unansweredAt < driver.MaxOrderDelay
}

// resting reports whether no further order is sent until those without an answer can't be carried out
// any more.
func (o *order) resting(now time.Duration) bool {
	return o.outstanding(now) && o.unanswered%maxUnanswered == 0
}

// order returns the state of the orders for a VM.
func (w *wave) order(name string) *order {
	if w.orders[name] == nil {
		w.orders[name] = &order{}
	}
	return w.orders[name]
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
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	listed, completed, err := m.options.Waves.List(callCtx)
	cancel()
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
			m.waves[w.Number] = &wave{Wave: w, startedAt: m.options.Clock(), orders: map[string]*order{}}
			m.mark(ctx, w.Number, false)
		}
	}
	if len(m.waves) == 0 {
		return false
	}
	callCtx, cancel = context.WithTimeout(ctx, callTimeout)
	vms, err := m.options.VMs.List(callCtx)
	cancel()
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
	if w.record == nil && !m.readRecord(ctx, w) {
		return nil
	}
	now := m.options.Clock()
	down, unfinished := 0, 0
	var pending []PendingVM
	for _, name := range w.VMs {
		vm, exists := vms[name]
		o := w.order(name)
		if exists && vm.InMaintenance || now < o.downUntil || o.outstanding(now) {
			down++
		}
		switch {
		case o.done || !exists && !o.outstanding(now):
		case vm.Up || !exists:
			unfinished++
			p := PendingVM{VM: name, Unanswered: o.unanswered, Ordered: o.outstanding(now), Resting: o.resting(now)}
			if exists {
				known := false
				p.Runs, p.Pinned, known = m.options.Cell.RunCounts(vm.Runner)
				p.Unreported, p.Evacuated = !known, m.options.Cell.InEvacuatedDataCentre(vm.Runner)
			}
			pending = append(pending, p)
		default:
			unfinished++
		}
	}
	if unfinished == 0 {
		m.mark(ctx, w.Number, true)
		return nil
	}
	toEvacuate, toStart := Choose(pending, down, w.MaxDown, w.Duration-(now-w.startedAt), m.options.VMDowntime)
	answered := len(toStart) > 0 && m.recordOrders(ctx, w, toStart)
	for _, name := range toStart {
		// The list of VMs and the counts of tasks are old after a call without an answer. Several VMs may
		// be too many together, though each could go down alone.
		if vm, exists := vms[name]; answered && (!exists || m.options.Cell.AllowTakeDown(vm.Runner)) {
			answered = m.startMaintenance(ctx, w, name)
		}
		if !w.order(name).done {
			// No tasks are placed on a VM that may go down at any time or is ordered again next.
			toEvacuate = append(toEvacuate, name)
		}
	}
	for _, name := range toEvacuate {
		if vm, exists := vms[name]; exists {
			evacuate = append(evacuate, vm.Runner)
		}
	}
	return evacuate
}

// readRecord reads the record of a wave's orders and takes over those of an earlier owner. It reports
// whether this owner may go on with the wave.
func (m *Maintainer) readRecord(ctx context.Context, w *wave) (ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := m.options.Waves.Orders(ctx, w.Number)
	if err != nil || stored.Token > m.options.Token {
		m.options.Log.Warn("maintenance waits", "wave", w.Number, "token", m.options.Token, "stored-token", stored.Token, "error", errs.Text(err))
		return false
	}
	w.record = &stored
	if stored.Token < m.options.Token {
		for _, name := range stored.VMs {
			if o := w.order(name); !o.done && o.unanswered == 0 {
				o.unanswered, o.unansweredAt = 1, m.options.Clock()
			}
		}
	}
	return true
}

// recordOrders stores which VMs may be taken down by orders that get no answer, with those to be ordered
// now, so that a later owner counts them as down. It reports whether the orders may be sent.
func (m *Maintainer) recordOrders(ctx context.Context, w *wave, toStart []string) (ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := m.options.Clock()
	vms := slices.Clone(toStart)
	for _, name := range slices.Sorted(maps.Keys(w.orders)) {
		if w.orders[name].outstanding(now) && !slices.Contains(vms, name) {
			vms = append(vms, name)
		}
	}
	isStored := func(name string) bool { return slices.Contains(w.record.VMs, name) }
	if w.record.Token == m.options.Token && !slices.ContainsFunc(vms, func(name string) bool { return !isStored(name) }) {
		return true
	}
	record := driver.WaveOrders{VMs: vms, Token: m.options.Token, Revision: w.record.Revision}
	revision, err := m.options.Waves.SetOrders(ctx, w.Number, record)
	if err != nil {
		m.options.Log.Warn("maintenance not ordered", "wave", w.Number, "token", m.options.Token, "error", err.Error())
		w.record = nil
		return false
	}
	record.Revision = revision
	w.record = &record
	return true
}

// startMaintenance orders the maintenance of a VM and reports whether the order was answered.
func (m *Maintainer) startMaintenance(ctx context.Context, w *wave, name string) (answered bool) {
	o := w.order(name)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.options.VMs.StartMaintenance(ctx, name, w.Number, m.options.Holder, m.options.Token)
	now := m.options.Clock()
	answered = true
	switch {
	case err == nil:
		o.done, o.downUntil = true, now+time.Duration(overrunFactor*float64(m.options.VMDowntime))
	case errors.Is(err, driver.ErrNotInWave), errors.Is(err, driver.ErrUnknownVM):
		o.done = true
	case errors.Is(err, driver.ErrFenced):
		// The platform refuses all orders under this token, also those that got no answer.
		o.unanswered = 0
	case errors.Is(err, driver.ErrVMBusy), errors.Is(err, driver.ErrUnavailable):
		// This order has no effect, but those before it that got no answer may yet have one.
	default:
		answered = false
		o.unanswered++
		o.unansweredAt = now
	}
	m.options.Log.Info("maintenance ordered", "wave", w.Number, "vm", name, "token", m.options.Token, "done", o.done, "unanswered", o.unanswered, "error", errs.Text(err))
	return answered
}

func (m *Maintainer) mark(ctx context.Context, number uint64, completed bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := m.options.Waves.SetCompleted(ctx, number, completed)
	m.options.Log.Info("wave state recorded", "wave", number, "completed", completed, "error", errs.Text(err))
	if err == nil && completed {
		delete(m.waves, number)
	}
}
