// Package locate tracks the owner of a cell by its owner record in the key-value store.
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
	// readTimeout bounds a read of the store, which normally answers in milliseconds.
	readTimeout = 700 * time.Millisecond
	// watchSlack is how much longer than its wait a watch may take before it is cancelled, since
	// connections may fail without being closed.
	watchSlack = 700 * time.Millisecond
	retryPause = 150 * time.Millisecond
)

// Options configures a Follower.
type Options struct {
	Cell  string
	Store driver.TxnStore
	Clock steady.Clock
	// WatchWait is how long one watch waits for changes. A connection that failed silently is
	// detected after it.
	WatchWait time.Duration
	Log       *slog.Logger
}

// Follower tracks the newest owner record of a cell. It is safe for concurrent use.
type Follower struct {
	options         Options
	mu              sync.Mutex
	record          *flowpb.Owner
	known           bool
	storeAnsweredAt time.Duration
	changed         chan struct{}
	revision        uint64
}

// New returns a Follower. Run must be called next.
func New(o Options) *Follower {
	return &Follower{options: o, changed: make(chan struct{})}
}

// Record returns the newest owner record, nil if there is none, and whether the store has been read
// at all. The channel is closed at the next change.
func (f *Follower) Record() (record *flowpb.Owner, known bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record, f.known, f.changed
}

// StoreSilence returns the time since the store last answered.
func (f *Follower) StoreSilence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock() - f.storeAnsweredAt
}

func (f *Follower) noteStoreAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeAnsweredAt = f.options.Clock()
}

// Run follows the record until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	key := owner.OwnerKey(f.options.Cell)
	after := uint64(0)
	unreachable := false
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = f.read(ctx, key)
		} else {
			after, err = f.watch(ctx, key, after)
		}
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			if !unreachable {
				f.options.Log.Warn("store unreachable", "for", "owner record", "error", err.Error())
			}
			unreachable = true
			loop.Pause(ctx, retryPause)
			continue
		}
		if unreachable {
			unreachable = false
			f.options.Log.Info("store reachable again", "for", "owner record")
		}
	}
}

// read lists the record, since a listing also returns the revision to watch from.
func (f *Follower) read(ctx context.Context, key string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, revision, err := f.options.Store.List(ctx, key)
	if err != nil {
		return 0, err
	}
	f.noteStoreAnswer()
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
	f.noteStoreAnswer()
	for _, c := range changes {
		if c.Item.Key() == key {
			f.apply(c.Item)
		}
	}
	return revision, nil
}

// Learn applies an owner record that another process knows of, unless it is older than the one known
// here. It finds the owner for a process that does not reach the store.
func (f *Follower) Learn(record *flowpb.Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.GetAddress() == "" || record.GetEpoch() <= f.record.GetEpoch() {
		return
	}
	f.set(record)
	f.options.Log.Info("owner record learned from a peer", "cell", f.options.Cell, "owner", record.GetNode(), "epoch", record.GetEpoch(), "released", record.GetReleased())
}

// set replaces the record and tells those that wait for a change. The caller holds the lock.
func (f *Follower) set(record *flowpb.Owner) {
	f.record, f.known = record, true
	close(f.changed)
	f.changed = make(chan struct{})
}

// apply sets the record unless a newer one is known.
func (f *Follower) apply(item driver.Item) {
	var record *flowpb.Owner
	if len(item.Value()) > 0 {
		record = &flowpb.Owner{}
		if err := proto.Unmarshal(item.Value(), record); err != nil {
			f.options.Log.Error("decoding the owner record failed", "revision", item.Revision(), "error", err.Error())
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known && item.Revision() <= f.revision && record != nil {
		return
	}
	f.revision = max(f.revision, item.Revision())
	if f.known && record != nil && (proto.Equal(record, f.record) || record.GetEpoch() < f.record.GetEpoch()) {
		// The record was learned from a peer before.
		return
	}
	f.set(record)
	f.options.Log.Info("owner record changed", "cell", f.options.Cell, "owner", record.GetNode(), "epoch", record.GetEpoch(), "released", record.GetReleased(), "revision", item.Revision())
}
