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
	// idlePoll is how often waves are looked for, activePoll how often one that runs is
	// driven on; the VMs are listed at most that often.
	idlePoll   = 2 * time.Second
	activePoll = 400 * time.Millisecond
	callLimit  = 2 * time.Second
	// settleFactor is how many times its usual length a maintenance may take before its VM
	// no longer counts as down unless it is listed so.
	settleFactor = 1.5
)

// Cell is what maintenance needs of the owner of a cell.
type Cell interface {
	// Occupation returns how many tasks run on a runner, and how many of them may not be
	// moved off now.
	Occupation(runner string) (runs, held int)
	// Empty has tasks moved off these runners, and no new ones placed there.
	Empty(runners []string)
}

// Options configures a Keeper.
type Options struct {
	Cell  Cell
	VMs   driver.VMs
	Waves driver.Waves
	Clock steady.Clock
	// Holder and Token fence what is done to VMs; a later owner has a higher token.
	Holder string
	Token  uint64
	// Each is how long one VM is down.
	Each time.Duration
	Log  *slog.Logger
}

// Keeper carries out the waves while its process owns the cell.
type Keeper struct {
	options Options
	waves   map[uint64]*wave
}

// wave is what is known of a wave under way.
type wave struct {
	driver.Wave
	since time.Duration
	// begun is when the maintenance of a VM was ordered, or may have been.
	begun map[string]time.Duration
	done  map[string]bool
}

// New returns a Keeper; Run must be called next.
func New(o Options) *Keeper { return &Keeper{options: o, waves: map[uint64]*wave{}} }

// Run carries out waves until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := idlePoll
		if k.turn(ctx) {
			wait = activePoll
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// turn drives all waves on by a step and reports whether any is under way.
func (k *Keeper) turn(ctx context.Context) (active bool) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	listed, completed, err := k.options.Waves.List(ctx)
	if err != nil {
		k.options.Log.Warn("waves not listed", "error", err.Error())
		return len(k.waves) > 0
	}
	for _, w := range listed {
		if completed[w.Number] {
			delete(k.waves, w.Number)
			continue
		}
		if k.waves[w.Number] == nil {
			k.options.Log.Info("maintenance begins", "wave", w.Number, "vms", len(w.VMs), "most", w.MaxDown, "duration-ms", w.Duration.Milliseconds())
			k.waves[w.Number] = &wave{Wave: w, since: k.options.Clock(), begun: map[string]time.Duration{}, done: map[string]bool{}}
			k.mark(ctx, w.Number, false)
		}
	}
	if len(k.waves) == 0 {
		return false
	}
	vms, err := k.options.VMs.List(ctx)
	if err != nil {
		k.options.Log.Warn("VMs not listed", "error", err.Error())
		return true
	}
	byName := map[string]driver.VM{}
	for _, vm := range vms {
		byName[vm.Name] = vm
	}
	var empty []string
	for _, w := range k.waves {
		empty = append(empty, k.drive(ctx, w, byName)...)
	}
	k.options.Cell.Empty(empty)
	return true
}

// drive orders what is due of a wave and returns the runners to be emptied.
func (k *Keeper) drive(ctx context.Context, w *wave, vms map[string]driver.VM) (empty []string) {
	now := k.options.Clock()
	down, left := 0, 0
	var candidates []Candidate
	for _, name := range w.VMs {
		vm, exists := vms[name]
		at, begun := w.begun[name]
		recent := begun && now-at < time.Duration(settleFactor*float64(k.options.Each))
		if exists && vm.InMaintenance || recent {
			down++
		}
		switch {
		case w.done[name] || !exists:
		case vm.Up:
			left++
			runs, held := k.options.Cell.Occupation(vm.Runner)
			candidates = append(candidates, Candidate{VM: name, Runs: runs, Held: held})
		default:
			left++
		}
	}
	if left == 0 {
		k.mark(ctx, w.Number, true)
		return nil
	}
	toEmpty, take := Choose(candidates, down, w.MaxDown, w.Duration-(now-w.since), k.options.Each)
	for _, name := range take {
		k.take(ctx, w, name)
	}
	for _, name := range toEmpty {
		empty = append(empty, vms[name].Runner)
	}
	return empty
}

func (k *Keeper) take(ctx context.Context, w *wave, name string) {
	w.begun[name] = k.options.Clock()
	err := k.options.VMs.StartMaintenance(ctx, name, w.Number, k.options.Holder, k.options.Token)
	switch {
	case err == nil, errors.Is(err, driver.ErrNotInWave), errors.Is(err, driver.ErrUnknownVM):
		w.done[name] = true
	case errors.Is(err, driver.ErrVMBusy), errors.Is(err, driver.ErrFenced), errors.Is(err, driver.ErrUnavailable):
		delete(w.begun, name)
	}
	k.options.Log.Info("maintenance ordered", "wave", w.Number, "vm", name, "token", k.options.Token, "done", w.done[name], "error", errs.Text(err))
}

func (k *Keeper) mark(ctx context.Context, number uint64, completed bool) {
	err := k.options.Waves.SetCompleted(ctx, number, completed)
	k.options.Log.Info("wave marked", "wave", number, "completed", completed, "error", errs.Text(err))
	if err == nil && completed {
		delete(k.waves, number)
	}
}
