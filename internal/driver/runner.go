package driver

import (
	"context"
	"errors"
	"time"
)

// Errors of a runner; all but ErrRunnerIndeterminate prove that the request had no effect. They say nothing
// of earlier copies of the request that got no answer.
var (
	// ErrFenced is returned if the runner has seen a higher fencing token.
	ErrFenced = errors.New("driver: stale fencing token")
	// ErrStaleRun is returned if the run, or a newer one of its task, has been stopped or has
	// ended on the runner.
	ErrStaleRun = errors.New("driver: run is superseded")
	// ErrLeaseExpired is returned if the lease in the request has expired.
	ErrLeaseExpired = errors.New("driver: lease in the request has expired")
	// ErrNoRoom is returned if the task exceeds the free capacity of the runner.
	ErrNoRoom = errors.New("driver: no room on the runner")
	// ErrTicketRefused is returned if the admission ticket is missing or no longer valid.
	ErrTicketRefused = errors.New("driver: admission ticket refused")
	// ErrInvalidRequest is returned if the runner rejects the request as malformed.
	ErrInvalidRequest = errors.New("driver: request refused as invalid")
	// ErrUnhealthy is returned if the runner is unhealthy and did nothing.
	ErrUnhealthy = errors.New("driver: runner is unhealthy")
	// ErrWrongIncarnation is returned if another incarnation of the runner answered.
	ErrWrongIncarnation = errors.New("driver: another incarnation of the runner answered")
	// ErrRunnerNotListening is returned if no process listens at the address of the runner.
	ErrRunnerNotListening = errors.New("driver: runner does not listen")
	// ErrRunnerIndeterminate is returned if there is no usable answer: the request may have
	// taken effect, or may do so later.
	ErrRunnerIndeterminate = errors.New("driver: outcome on the runner is not known")
)

// MaxOrderDelay is how long after an attempt that got no answer an order to a runner or a VM may still be
// carried out. The platform's pages give no bound; its trials delay orders by up to 12 s.
const MaxOrderDelay = 15 * time.Second

// MaxStartAge is how long after the agent's report that the owner had last heard a start is sent to the
// runner at the latest. Its task may have ended elsewhere meanwhile, and no start may come later than
// 1 s after that. The time until which an owner may place tasks without knowing of an
// evacuation counts on it, too.
const MaxStartAge = time.Second

// RunnerTime is a reading of the monotonic clock of a runner, since an arbitrary origin.
type RunnerTime time.Duration

// RunnerID identifies one incarnation of a runner.
type RunnerID struct {
	ID string
	// StartedMillis is when the incarnation started, in Unix milliseconds by the runner's clock.
	StartedMillis int64
}

// RunID identifies one run of a task.
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

// HoldRequest extends the lease of all runs on a runner and asks for their state.
type HoldRequest struct {
	Token uint64
	// Acknowledged is the number of the last end that is durable and need not be reported again.
	Acknowledged uint64
	// LeaseEnd is the new end of the lease; zero leaves the lease as it is.
	LeaseEnd RunnerTime
	// Wait is how long the runner may delay the answer until a run ends.
	Wait time.Duration
}

// ActiveRun is a run that is in progress on a runner.
type ActiveRun struct {
	RunID
	Checkpoint string
	// Percent is the progress of a finite task; it is 100 for a long-running task that serves
	// requests.
	Percent int
	// Gauge is the tail latency in milliseconds for a latency-critical task, and the processors
	// in use, in thousandths, for any other.
	Gauge int64
}

// EndKind is how a run ended.
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

// String returns the name for logs and metrics.
func (k EndKind) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[min(k, EndAlone)]
}

// EndedRun is a run that has ended on a runner. Number counts the ends on one incarnation.
type EndedRun struct {
	RunID
	Number     uint64
	Kind       EndKind
	Checkpoint string
}

// HoldReport is the state of the runs on a runner.
type HoldReport struct {
	Runner  RunnerID
	Clock   RunnerTime
	Running []ActiveRun
	Ended   []EndedRun
	// MoreEnded is set if there may be further ends, which the runner returns once those in Ended are
	// acknowledged.
	MoreEnded bool
}

// Approval is the permission for a runner to run a step, with the admission ticket for it.
type Approval struct {
	Runner string
	Ticket string
}

// Runner sends requests to the runner on this agent's VM; implementations are safe for concurrent
// use.
type Runner interface {
	// Start starts a run on the given incarnation and returns the clock of the runner.
	Start(ctx context.Context, at RunnerID, request StartRequest) (RunnerTime, error)
	// Stop stops a run. If the runner does not have it, it refuses to start it from then on.
	Stop(ctx context.Context, at RunnerID, run RunID, token uint64) error
	// Hold extends the lease and returns the state of the runs.
	Hold(ctx context.Context, at RunnerID, request HoldRequest) (HoldReport, error)
	// Pace limits a run to the given percentage of its full pace.
	Pace(ctx context.Context, at RunnerID, run RunID, percent int, token uint64) error
}

// Adviser approves runners for steps.
type Adviser interface {
	// Advise returns the approved runners among those given, and how long the tickets are valid.
	Advise(ctx context.Context, step string, runners []string) ([]Approval, time.Duration, error)
}
