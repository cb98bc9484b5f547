// Package locate follows who owns a cell, by the record that the owner keeps in the
// key-value service.
package locate

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/owner"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/steady"
)

const (
	// readTimeout bounds a plain read of the store, which answers in milliseconds when well.
	readTimeout = 700 * time.Millisecond
	// watchSlack is how much longer than its wait a watch may take before it is cut, since
	// connections may go silent without an end.
	watchSlack = 700 * time.Millisecond
	readPause  = 150 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	Cell  string
	Store driver.TxnStore
	Clock steady.Clock
	// WatchWait is how long one watch waits; a silent connection is noticed after it.
	WatchWait time.Duration
	Log       *slog.Logger
}

// Follower knows the newest record of a cell's owner; it is safe for concurrent use.
type Follower struct {
	options  Options
	mu       sync.Mutex
	record   *flowpb.Owner
	known    bool
	heard    time.Duration
	changed  chan struct{}
	revision uint64
}

// New returns a Follower that knows nothing yet.
func New(o Options) *Follower {
	return &Follower{options: o, changed: make(chan struct{})}
}

// Record returns the newest record, nil if there is none, and whether the store has been
// read at all; the channel is closed at the next change.
func (f *Follower) Record() (record *flowpb.Owner, known bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record, f.known, f.changed
}

// StoreSilence returns how long ago the store last answered.
func (f *Follower) StoreSilence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock() - f.heard
}

func (f *Follower) heardStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = f.options.Clock()
}

// Run follows the record until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	key := owner.OwnerKey(f.options.Cell)
	after := uint64(0)
	lost := false
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = f.read(ctx, key)
		} else {
			after, err = f.watch(ctx, key, after)
		}
		if err != nil && ctx.Err() == nil {
			if !lost {
				f.options.Log.Warn("store lost", "for", "owner record", "error", err.Error())
			}
			lost = true
			loop.Pause(ctx, readPause)
			continue
		}
		if lost {
			lost = false
			f.options.Log.Info("store regained", "for", "owner record")
		}
	}
}

// read lists the record, which tells the revision to watch from.
func (f *Follower) read(ctx context.Context, key string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := f.options.Store.List(ctx, key)
	if err != nil {
		return 0, err
	}
	f.heardStore()
	var found driver.Item
	for _, item := range items {
		if item.Key() == key {
			found = item
		}
	}
	f.apply(found)
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, key string, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.WatchWait+watchSlack)
	defer cancel()
	changes, revision, err := f.options.Store.Changes(ctx, key, after, f.options.WatchWait)
	if errors.Is(err, driver.ErrCompacted) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	f.heardStore()
	for _, c := range changes {
		if c.Item.Key() == key {
			f.apply(c.Item)
		}
	}
	return revision, nil
}

// apply takes in a record that is newer than the one known.
func (f *Follower) apply(item driver.Item) {
	var record *flowpb.Owner
	if len(item.Value()) > 0 {
		record = &flowpb.Owner{}
		if err := proto.Unmarshal(item.Value(), record); err != nil {
			f.options.Log.Error("owner record can't be read", "revision", item.Revision(), "error", err.Error())
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known && item.Revision() <= f.revision && record != nil {
		return
	}
	f.record, f.known, f.revision = record, true, max(f.revision, item.Revision())
	close(f.changed)
	f.changed = make(chan struct{})
	f.options.Log.Info("owner of the cell", "cell", f.options.Cell, "owner", record.GetNode(), "epoch", record.GetEpoch(), "released", record.GetReleased(), "revision", item.Revision())
}
