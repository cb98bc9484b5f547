package entry

import (
	"log/slog"
	"time"

	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/route"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Options configures an Entry.
type Options struct {
	ID string
	// System names the deployment; sessions with processes of another one are refused.
	System     string
	DataCentre string
	// Advertise is the address at which agents reach this entry. AdvertisePeers is the
	// address for other entries; if empty, it is the same.
	Advertise      string
	AdvertisePeers string
	// Peers lists addresses of other entries that are dialled while this entry has no session
	// to a peer, as when the key-value service is down.
	Peers []string
	// DrainTimeout bounds the wait for requests in flight on shutdown.
	DrainTimeout time.Duration
	// Limits bounds what connections of callers and operators hold, or is nil. MaxBodyBytes bounds the
	// bodies in memory, those from other entries included; 0 sets the usual bound.
	Limits       *http1.Limits
	MaxBodyBytes int64
	// Grant, Margin and StoreSilence are passed to cell.Options.
	Grant        time.Duration
	Margin       time.Duration
	StoreSilence time.Duration
	Store        driver.Store
	Placer       driver.Placer
	Holder       *config.Holder
	Watcher      *config.Watcher
	Editor       *config.Editor
	Claims       *claim.Registry
	Router       *route.Router
	Log          *slog.Logger
	Metrics      *telemetry.Metrics
}
