package driver

import (
	"context"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Agents carries commands to the agents of a cell; implementations are safe for
// concurrent use. An error tells nothing of whether the command took effect.
type Agents interface {
	// Start asks worker's agent to run an attempt.
	Start(ctx context.Context, worker string, s *peerpb.StartTask) (*peerpb.TaskReply, error)
	// Stop asks worker's agent to stop an attempt and never to start it.
	Stop(ctx context.Context, worker string, s *peerpb.StopTask) (*peerpb.TaskReply, error)
}
