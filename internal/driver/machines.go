package driver

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's VMs.
var (
	// ErrVMBusy tells that the VM is not up, is leaving or can't be taken down now.
	ErrVMBusy = errors.New("driver: VM is busy")
	// ErrNotInWave tells that the VM has no part in the maintenance.
	ErrNotInWave = errors.New("driver: VM is not part of the maintenance")
	// ErrUnknownVM tells that there is no such VM.
	ErrUnknownVM = errors.New("driver: no such VM")
)

// VM is a VM that runs a runner.
type VM struct {
	Name string
	// Up tells that it is neither moving, nor in maintenance, nor down.
	Up bool
	// InMaintenance tells that it is down for maintenance.
	InMaintenance bool
	// Runner is the id of its runner.
	Runner string
}

// VMs is the platform's interface to VMs; implementations are safe for concurrent use.
type VMs interface {
	// List returns all VMs.
	List(ctx context.Context) ([]VM, error)
	// StartMaintenance takes a VM down for maintenance, which ends what runs on it. It is idempotent
	// by VM and wave. Holder and token fence it; any other error than those above may have
	// taken effect.
	StartMaintenance(ctx context.Context, vm string, wave uint64, holder string, token uint64) error
}

// Wave is a rolling maintenance that the operators ask for.
type Wave struct {
	Number uint64
	VMs    []string
	// Duration is how long the whole wave may take.
	Duration time.Duration
	// MaxDown is how many VMs may be down for it at once.
	MaxDown int
}

// Waves is where operators ask for maintenance; implementations are safe for concurrent use.
type Waves interface {
	// List returns the waves that are asked for, and which of them are marked as completed.
	List(ctx context.Context) (waves []Wave, completed map[uint64]bool, err error)
	// SetCompleted tells the operators whether a wave is completed or still running.
	SetCompleted(ctx context.Context, wave uint64, completed bool) error
}
