package driver

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's worker.
var (
	// ErrWorkerRefused is returned if the worker did not start the task.
	ErrWorkerRefused = errors.New("driver: worker refused the task")
)

// TaskPhase is the phase of a task attempt on a worker.
type TaskPhase string

// Phases of a task attempt on a worker.
const (
	TaskPhaseRunning  TaskPhase = "running"
	TaskPhaseFinished TaskPhase = "finished"
	TaskPhaseFailed   TaskPhase = "failed"
	TaskPhaseStopped  TaskPhase = "stopped"
)

// TaskSpec describes a task attempt to be run.
type TaskSpec struct {
	Task       string
	Attempt    uint32
	Class      string
	Resources  Resources
	Checkpoint string
	RunTime    time.Duration
	LeaseUntil time.Time
	// Cell and Epoch let a restarted agent determine the owner of the attempt.
	Cell  string
	Epoch uint64
}

// TaskStatus is the status of a task attempt as reported by the worker.
type TaskStatus struct {
	Task       string
	Attempt    uint32
	Class      string
	Phase      TaskPhase
	Checkpoint string
	Detail     string
	Reserved   Resources
	Used       Resources
	LeaseUntil time.Time
	Cell       string
	Epoch      uint64
}

// WorkerStatus is the capacity and the task attempts of a worker; the usage lags behind.
type WorkerStatus struct {
	Capacity Resources
	Tasks    []TaskStatus
}

// Worker is the platform's worker on this VM; implementations are safe for concurrent use.
type Worker interface {
	// Status lists the attempts on the worker, including ended ones until they are removed.
	Status(ctx context.Context) (WorkerStatus, error)
	// Run starts an attempt; ErrWorkerRefused proves that it did not start. It is idempotent: an
	// attempt that is started twice runs once.
	Run(ctx context.Context, spec TaskSpec) error
	// Renew sets the time at which the worker stops all attempts on its own.
	Renew(ctx context.Context, until time.Time) error
	// Checkpoint saves the progress of an attempt and returns the name of the checkpoint.
	Checkpoint(ctx context.Context, task string, attempt uint32) (string, error)
	// Throttle limits an attempt to a share of its processors, in (0, 1].
	Throttle(ctx context.Context, task string, attempt uint32, share float64) error
	// Stop ends an attempt and returns its final status. ErrNotFound means that the worker does
	// not have the attempt and will refuse to run it from now on.
	Stop(ctx context.Context, task string, attempt uint32) (TaskStatus, error)
	// Remove removes an attempt that has ended.
	Remove(ctx context.Context, task string, attempt uint32) error
}
