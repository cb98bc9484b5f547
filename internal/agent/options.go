package agent

import (
	"log/slog"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Options configures an Agent.
type Options struct {
	ID string
	// System names the deployment; entries of another one are refused.
	System     string
	DataCentre string
	Rack       string
	// Entries are the addresses that are dialled first; the balancer's may be one.
	Entries []string
	// Reservation is what the upstreams on this VM need for themselves.
	Reservation driver.Resources
	// Heartbeat is the time between reports to an entry.
	Heartbeat time.Duration
	// DrainTimeout bounds the wait for requests in flight on shutdown.
	DrainTimeout time.Duration
	Worker       driver.Worker
	Upstream     driver.Upstream
	Log          *slog.Logger
	Metrics      *telemetry.Metrics
}
