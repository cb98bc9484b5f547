package driver

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's VMs.
var (
	// ErrVMBusy is returned if the VM is not up, is shutting down or can't be taken down now.
	ErrVMBusy = errors.New("driver: VM is busy")
	// ErrNotInWave is returned if the VM does not belong to the maintenance wave.
	ErrNotInWave = errors.New("driver: VM is not part of the maintenance wave")
	// ErrUnknownVM is returned if the VM does not exist.
	ErrUnknownVM = errors.New("driver: no such VM")
)

// VM is the state of a VM that hosts a runner.
type VM struct {
	Name string
	// Up reports whether the VM is running: not moving, in maintenance or down.
	Up bool
	// InMaintenance reports whether the VM is down for maintenance.
	InMaintenance bool
	// Runner is the id of the runner on the VM.
	Runner string
}

// VMs lists the platform's VMs and takes them down for maintenance; implementations are safe
// for concurrent use.
type VMs interface {
	// List returns all VMs.
	List(ctx context.Context) ([]VM, error)
	// StartMaintenance takes a VM down for maintenance, which ends the runs on it. It is
	// idempotent by VM and wave, and fenced by holder and token. After any error other than
	// those above it is indeterminate whether it took effect.
	StartMaintenance(ctx context.Context, vm string, wave uint64, holder string, token uint64) error
}

// Wave is a rolling maintenance of VMs that the operators have requested.
type Wave struct {
	Number uint64
	VMs    []string
	// Duration is the time allowed for the whole wave.
	Duration time.Duration
	// MaxDown is how many VMs may be down for the wave at the same time.
	MaxDown int
}

// WaveOrders is the record of the VMs of a wave that orders without an answer may yet take down.
type WaveOrders struct {
	VMs []string
	// Token is that of the owner which has written the record.
	Token uint64
	// Revision is RevisionAbsent if there is no record.
	Revision uint64
}

// Waves gives access to the maintenance that operators request; implementations are safe for
// concurrent use.
type Waves interface {
	// List returns the requested waves and which of them are marked as completed.
	List(ctx context.Context) (waves []Wave, completed map[uint64]bool, err error)
	// SetCompleted reports to the operators whether a wave is completed or still running. A wave that
	// was reported before stays as it is unless it is completed now.
	SetCompleted(ctx context.Context, wave uint64, completed bool) error
	// Orders returns the record of a wave's orders.
	Orders(ctx context.Context, wave uint64) (WaveOrders, error)
	// SetOrders writes the record if it still has the revision in it, and returns the new revision.
	SetOrders(ctx context.Context, wave uint64, orders WaveOrders) (uint64, error)
}
