package driver

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's worker.
var (
	// ErrWorkerRefused tells that the worker did not start the task.
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

// TaskSpec is a task attempt to run.
type TaskSpec struct {
	Task       string
	Attempt    uint32
	Class      string
	Resources  Resources
	Checkpoint string
	RunTime    time.Duration
	LeaseUntil time.Time
	// Cell and Epoch tell a restarted agent who owns the attempt.
	Cell  string
	Epoch uint64
}

// TaskStatus is what the worker reports of a task attempt.
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

// WorkerStatus is a worker's capacity and task attempts, with usage that lags.
type WorkerStatus struct {
	Capacity Resources
	Tasks    []TaskStatus
}

// Worker is the platform's worker on this VM; implementations are safe for concurrent use.
type Worker interface {
	// Status lists the attempts that the worker holds, ended ones included until they are removed.
	Status(ctx context.Context) (WorkerStatus, error)
	// Run starts an attempt; ErrWorkerRefused proves that it did not start. The same attempt
	// started twice runs once.
	Run(ctx context.Context, spec TaskSpec) error
	// Renew sets the time at which the worker stops the attempts by itself.
	Renew(ctx context.Context, until time.Time) error
	// Checkpoint saves the attempt's progress and returns the checkpoint's name.
	Checkpoint(ctx context.Context, task string, attempt uint32) (string, error)
	// Throttle limits an attempt to a share of its processors, in (0, 1].
	Throttle(ctx context.Context, task string, attempt uint32, share float64) error
	// Stop ends an attempt and returns its final status. ErrNotFound tells that the worker
	// does not hold the attempt and will refuse to run it from now on.
	Stop(ctx context.Context, task string, attempt uint32) (TaskStatus, error)
	// Remove forgets an attempt that has ended.
	Remove(ctx context.Context, task string, attempt uint32) error
}
