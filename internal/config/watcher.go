package config

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// Limits of a Watcher's calls.
const (
	// watchWait is how long one watch may wait for a change.
	watchWait     = 20 * time.Second
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 1500 * time.Millisecond
)

// Key returns the key of an environment's document.
func Key(environment string) string { return "environments/" + environment }

// Watcher keeps a Holder up to date with the key-value service.
type Watcher struct {
	Store   driver.Store
	Holder  *Holder
	Log     *slog.Logger
	Metrics *telemetry.Metrics
}

// Run watches for changes until ctx ends. While the service does not answer, the document in
// force stays in force.
func (w *Watcher) Run(ctx context.Context) {
	delay := watchRetryMin
	var after uint64
	for ctx.Err() == nil {
		revision, err := w.poll(ctx, after)
		if err == nil {
			after, delay = revision, watchRetryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.Metrics.StoreErrors.WithLabelValues("watch").Inc()
		w.Log.Warn("configuration watch failed", "error", err.Error(), "in-force", w.Holder.Current().Revision())
		after = 0
		loop.Pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, watchRetryMax)
	}
}

// Refresh puts the document in force that the key-value service has now, unless it is not newer.
func (w *Watcher) Refresh(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "config: refresh")
	_, err = w.poll(ctx, 0)
	return err
}

// poll waits for a change after the given revision of the store and reads the document. It
// does not wait if after is 0. It returns the revision to wait on next.
func (w *Watcher) poll(ctx context.Context, after uint64) (uint64, error) {
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
		w.apply(item)
		revision = max(revision, item.Revision())
	}
	if revision == 0 {
		_, revision, err = w.Store.List(ctx, key)
	}
	return max(revision, 1), err
}

// apply puts the item's document in force, unless it is invalid or not newer.
func (w *Watcher) apply(item driver.Item) {
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
