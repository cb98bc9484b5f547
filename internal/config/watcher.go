package config

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Delays of a Watcher.
const (
	watchWait     = 20 * time.Second
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 1500 * time.Millisecond
)

// Key returns the key under which an environment's document is kept.
func Key(environment string) string { return "environments/" + environment }

// Watcher follows the document of a Holder's environment in the key-value service.
type Watcher struct {
	Store   driver.Store
	Holder  *Holder
	Log     *slog.Logger
	Metrics *telemetry.Metrics
}

// Run follows changes until ctx ends. While the service does not answer, what is in force
// stays in force.
func (w *Watcher) Run(ctx context.Context) {
	delay := watchRetryMin
	var after uint64
	for ctx.Err() == nil {
		revision, err := w.follow(ctx, after)
		if err == nil {
			after, delay = revision, watchRetryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.Metrics.StoreErrors.WithLabelValues("watch").Inc()
		w.Log.Warn("configuration is not followed", "error", err.Error(), "in-force", w.Holder.Current().Revision())
		after = 0
		loop.Pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, watchRetryMax)
	}
}

// follow waits for a change after a revision of the store, unless that is 0, and reads
// the document.
func (w *Watcher) follow(ctx context.Context, after uint64) (uint64, error) {
	key := Key(w.Holder.Environment())
	revision := after
	if after > 0 {
		var err error
		if revision, err = w.Store.Watch(ctx, key, after, watchWait); err != nil {
			return 0, err
		}
	}
	item, err := w.Store.Get(ctx, key)
	switch {
	case errors.Is(err, driver.ErrNotFound):
	case err != nil:
		return 0, err
	default:
		w.take(item)
		revision = max(revision, item.Revision())
	}
	if revision == 0 {
		_, revision, err = w.Store.List(ctx, key)
	}
	return max(revision, 1), err
}

func (w *Watcher) take(item driver.Item) {
	changed, err := w.Holder.Apply(item.Revision(), item.Value())
	if err != nil {
		w.Log.Error("configuration in the key-value service is not valid", "revision", item.Revision(), "error", err.Error())
		return
	}
	if changed {
		w.Log.Info("configuration in force", "revision", item.Revision(), "source", "store")
	}
	w.Metrics.Revision.Set(float64(w.Holder.Current().Revision()))
}
