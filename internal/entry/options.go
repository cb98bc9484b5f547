package entry

import (
	"log/slog"
	"time"

	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/route"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Options configures an Entry.
type Options struct {
	ID string
	// System names the deployment; processes of another one are refused.
	System     string
	DataCentre string
	// Advertise is the address at which agents reach this entry, AdvertisePeers the one
	// for other entries; empty means the same.
	Advertise      string
	AdvertisePeers string
	// Peers are addresses of other entries, for when the key-value service is down.
	Peers []string
	// DrainTimeout bounds the wait for requests in flight on shutdown.
	DrainTimeout time.Duration
	// Grant, Margin and StoreSilence are described at cell.Options.
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
