package app

import (
	"log/slog"
	"time"

	"github.com/jasminebay/jasminebay/internal/agent"
	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/kv"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/driver/upstream"
	"github.com/jasminebay/jasminebay/internal/driver/worker"
	"github.com/jasminebay/jasminebay/internal/entry"
	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/intake"
	"github.com/jasminebay/jasminebay/internal/route"
	"github.com/jasminebay/jasminebay/internal/settings"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Timeouts of a call to the key-value service and to the platform's worker.
const (
	storeTimeout  = 2 * time.Second
	workerTimeout = 2 * time.Second
)

func provideStore(s *settings.Entry, log *slog.Logger) driver.Store {
	return kv.New(kv.Options{Address: s.Store, Timeout: storeTimeout, Log: log})
}

// newLimits returns the limits of what clients may hold, or nil without settings.
func newLimits(memoryLimit, maxConns int64, m *telemetry.Metrics) *http1.Limits {
	if memoryLimit == 0 && maxConns == 0 {
		return nil
	}
	b := intake.NewBudget(intake.BudgetBytes(memoryLimit), int(maxConns))
	return &http1.Limits{Budget: b, Metrics: telemetry.NewIntake(m, b.Usage)}
}

func provideHolder(s *settings.Entry) *config.Holder { return config.NewHolder(s.Environment) }

func provideWatcher(store driver.Store, h *config.Holder, log *slog.Logger, m *telemetry.Metrics) *config.Watcher {
	return &config.Watcher{Store: store, Holder: h, Log: log, Metrics: m}
}

func provideEditor(store driver.Store) *config.Editor { return &config.Editor{Store: store} }

// providePlacer returns a placer whose policy and weights follow the current document: the weights
// are those of its objective, and interference has no weight while the guards are disabled.
func providePlacer(h *config.Holder) driver.Placer {
	policy := func() string {
		if d := h.Document(); d != nil {
			return d.Placement.Policy
		}
		return ""
	}
	return place.NewSelector(policy, place.NewPairScore(func() place.Weights {
		w := place.Weights{Interference: 1, Packing: 1, Spread: 0.5}
		if d := h.Document(); d != nil {
			w.Interference = d.Objective.TailLatency
			w.Packing = d.Objective.Throughput
			w.Spread = d.Objective.Evictions
			if !d.Guards.Enabled {
				w.Interference = 0
			}
		}
		return w
	}))
}

func provideRouter(s *settings.Entry, h *config.Holder, c *claim.Registry, log *slog.Logger, m *telemetry.Metrics) *route.Router {
	return route.New(route.Options{DataCentre: s.DataCentre, Document: h.Document, Claims: c, Log: log, Metrics: m})
}

func provideEntryOptions(s *settings.Entry, store driver.Store, p driver.Placer, h *config.Holder, w *config.Watcher,
	ed *config.Editor, c *claim.Registry, r *route.Router, log *slog.Logger, m *telemetry.Metrics) entry.Options {
	return entry.Options{
		ID: s.ID, System: s.System, DataCentre: s.DataCentre, Advertise: s.Advertise, AdvertisePeers: s.PeerAddress, Peers: s.Peers, DrainTimeout: s.Drain(),
		Grant: s.GrantDuration(), Margin: s.GrantMargin(), StoreSilence: s.MaxStoreSilence(),
		MaxBodyBytes: intake.BudgetBytes(s.MemoryLimit), Limits: newLimits(s.MemoryLimit, s.MaxConns, m),
		Store: store, Placer: p, Holder: h, Watcher: w, Editor: ed, Claims: c, Router: r, Log: log, Metrics: m,
	}
}

func provideWorker(s *settings.Agent) driver.Worker {
	if s.Worker == "" {
		return nil
	}
	return worker.New(worker.Options{Address: s.Worker, Timeout: workerTimeout})
}

func provideUpstream() driver.Upstream { return upstream.New() }

func provideAgentOptions(s *settings.Agent, w driver.Worker, u driver.Upstream, log *slog.Logger, m *telemetry.Metrics) agent.Options {
	return agent.Options{
		ID: s.ID, System: s.System, DataCentre: s.DataCentre, Rack: s.Rack, Entries: s.Entries, Reservation: s.Reservation(),
		Heartbeat: s.HeartbeatInterval(), DrainTimeout: s.Drain(), Limits: newLimits(s.MemoryLimit, s.MaxConns, m), Worker: w, Upstream: u, Log: log, Metrics: m,
	}
}
