package agent

import (
	"log/slog"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Options configures an Agent.
type Options struct {
	ID string
	// System is the name of the deployment; sessions to entries of another one fail.
	System     string
	DataCentre string
	Rack       string
	// Entries are the addresses to dial first; one may be that of a load balancer.
	Entries []string
	// Reservation is the part of the VM's resources that is reserved for its upstreams.
	Reservation driver.Resources
	// Heartbeat is the time between reports to an entry.
	Heartbeat time.Duration
	// DrainTimeout bounds the wait for requests in flight on shutdown.
	DrainTimeout time.Duration
	// Limits bounds what connections to the agent's address hold, or is nil.
	Limits   *http1.Limits
	Worker   driver.Worker
	Upstream driver.Upstream
	Log      *slog.Logger
	Metrics  *telemetry.Metrics
}
