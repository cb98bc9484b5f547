//go:build wireinject

package app

import (
	"log/slog"

	"github.com/google/wire"

	"github.com/jasminebay/jasminebay/internal/agent"
	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/entry"
	"github.com/jasminebay/jasminebay/internal/settings"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// NewEntry constructs an entry with its dependencies.
func NewEntry(s *settings.Entry, log *slog.Logger) *entry.Entry {
	wire.Build(entry.New, provideEntryOptions, provideStore, provideHolder, provideWatcher, provideEditor,
		providePlacer, provideRouter, claim.New, telemetry.NewMetrics)
	return nil
}

// NewAgent constructs an agent with its dependencies.
func NewAgent(s *settings.Agent, log *slog.Logger) *agent.Agent {
	wire.Build(agent.New, provideAgentOptions, provideWorker, provideUpstream, telemetry.NewMetrics)
	return nil
}
