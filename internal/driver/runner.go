package driver

import (
	"context"
	"errors"
	"time"
)

// Errors of a runner; all but ErrRunnerSilent prove that the order had no effect.
var (
	// ErrFenced tells that the runner has seen a higher fencing token.
	ErrFenced = errors.New("driver: order carries an old fencing token")
	// ErrStaleRun tells that the run or a newer one has been stopped or has ended there.
	ErrStaleRun = errors.New("driver: run is superseded")
	// ErrLeaseExpired tells that the lease that the order carries has passed.
	ErrLeaseExpired = errors.New("driver: lease of the order has passed")
	// ErrNoRoom tells that the task does not fit the runner's free capacity.
	ErrNoRoom = errors.New("driver: no room on the runner")
	// ErrTicketRefused tells that the admission ticket is missing or no longer valid.
	ErrTicketRefused = errors.New("driver: admission ticket refused")
	// ErrInvalidRequest tells that the runner can't take the order at all.
	ErrInvalidRequest = errors.New("driver: order refused as invalid")
	// ErrUnhealthy tells that the runner is unhealthy and did nothing.
	ErrUnhealthy = errors.New("driver: runner is unhealthy")
	// ErrWrongIncarnation tells that another incarnation of the runner answered.
	ErrWrongIncarnation = errors.New("driver: another incarnation of the runner answered")
	// ErrRunnerNotListening tells that no process listens at the runner's address.
	ErrRunnerNotListening = errors.New("driver: runner does not listen")
	// ErrRunnerIndeterminate tells that the call had no answer; it may take effect later.
	ErrRunnerIndeterminate = errors.New("driver: runner did not answer")
)

// RunnerTime is a reading of a runner's own steady clock, since an origin of its own.
type RunnerTime time.Duration

// RunnerID names one incarnation of a runner.
type RunnerID struct {
	ID string
	// StartedMillis is when the incarnation started, in Unix milliseconds by the runner's clock.
	StartedMillis int64
}

// RunID names one run of a task.
type RunID struct {
	Task string
	Run  uint32
}

// StartRequest asks a runner to start a run.
type StartRequest struct {
	RunID
	Spec       string
	Checkpoint string
	Ticket     string
	Token      uint64
	LeaseEnd   RunnerTime
}

// HoldRequest extends the lease of all runs on a runner and asks what it holds.
type HoldRequest struct {
	Token uint64
	// Acknowledged is the number of the last end that needs no further report.
	Acknowledged uint64
	// LeaseEnd is left as it is if zero.
	LeaseEnd RunnerTime
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// ActiveRun is a run that works on a runner.
type ActiveRun struct {
	RunID
	Checkpoint string
	// Percent is the progress of a task that ends, or 100 for a lasting one that serves.
	Percent int
	// Gauge is the tail latency in milliseconds of a serving task, else thousandths of a
	// processor in use.
	Gauge int64
}

// EndKind tells how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	EndUnknown EndKind = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired
	EndBroken
	EndAlone
)

// String returns the name for logs.
func (k EndKind) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[min(k, EndAlone)]
}

// EndedRun is a run that has ended on a runner.
type EndedRun struct {
	RunID
	Number     uint64
	Kind       EndKind
	Checkpoint string
}

// HoldReport is what a runner holds.
type HoldReport struct {
	Runner  RunnerID
	Clock   RunnerTime
	Running []ActiveRun
	Ended   []EndedRun
}

// Approval is a runner that may run a step, with the ticket for it.
type Approval struct {
	Runner string
	Ticket string
}

// Runner is the runner beside this agent; implementations are safe for concurrent use.
type Runner interface {
	// Start starts a run at the incarnation and returns the runner's clock.
	Start(ctx context.Context, at RunnerID, order StartRequest) (RunnerTime, error)
	// Stop stops a run; a run that is not there will be refused from then on.
	Stop(ctx context.Context, at RunnerID, run RunID, token uint64) error
	// Hold extends the lease and returns what the runner holds.
	Hold(ctx context.Context, at RunnerID, order HoldRequest) (HoldReport, error)
	// Pace limits a run to a share of its work, in percent.
	Pace(ctx context.Context, at RunnerID, run RunID, percent int, token uint64) error
}

// Adviser tells which runners may run a step.
type Adviser interface {
	// Advise returns the approved runners among those named, and how long the tickets hold.
	Advise(ctx context.Context, step string, runners []string) ([]Approval, time.Duration, error)
}
