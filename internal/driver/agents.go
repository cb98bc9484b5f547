package driver

import (
	"context"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Agents sends commands to the agents of a cell; implementations are safe for concurrent
// use. After an error it is indeterminate whether the command took effect.
type Agents interface {
	// Start asks the worker's agent to run an attempt.
	Start(ctx context.Context, worker string, s *peerpb.StartTask) (*peerpb.TaskReply, error)
	// Stop asks the worker's agent to stop an attempt, and not to start it if it has not begun.
	Stop(ctx context.Context, worker string, s *peerpb.StopTask) (*peerpb.TaskReply, error)
}
