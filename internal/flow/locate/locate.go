// Package locate tracks the owner of a cell by its owner record in the key-value store.
package locate

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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
	// doubtDelay is how long the owner must be unreachable before its record is read although a watch waits
	// for changes, and doubtInterval the time until it is read again, which doubles each time. Most takeovers
	// are over sooner. doubtSpread spreads the reads of a cell's agents, which lose the owner together.
	doubtDelay    = time.Second
	doubtSpread   = 500 * time.Millisecond
	doubtInterval = 2 * time.Second
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
	// endWatch ends the watch in progress. It is nil if there is none.
	endWatch context.CancelCauseFunc
	// doubted is the record whose owner couldn't be reached at lastDoubt, and readAgainAt when it is read
	// for that reason, and after doubtPause once more.
	doubted                            *flowpb.Owner
	lastDoubt, readAgainAt, doubtPause time.Duration
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

// errDoubted ends a watch of a record whose owner can't be reached.
var errDoubted = errors.New("locate: the owner can't be reached")

func (f *Follower) setEndWatch(end context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWatch = end
}

func (f *Follower) watch(ctx context.Context, key string, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.WatchWait+watchSlack)
	defer cancel()
	ctx, endWatch := context.WithCancelCause(ctx)
	defer endWatch(nil)
	f.setEndWatch(endWatch)
	defer f.setEndWatch(nil)
	changes, revision, err := f.options.Store.Changes(ctx, key, after, f.options.WatchWait)
	if errors.Is(err, driver.ErrCompacted) || err != nil && errors.Is(context.Cause(ctx), errDoubted) {
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

// Doubt tells that the owner which a record names can't be reached, or that it names none. The watch may
// have gone silent: if the record is doubted for doubtDelay, it is read again, on a new connection.
func (f *Follower) Doubt(record *flowpb.Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if record != f.doubted || now-f.lastDoubt > doubtDelay {
		f.doubted, f.readAgainAt, f.doubtPause = record, now+doubtDelay+rand.N(doubtSpread), doubtInterval
	}
	f.lastDoubt = now
	if record == f.record && now >= f.readAgainAt && f.endWatch != nil {
		f.readAgainAt, f.doubtPause = now+f.doubtPause, 2*f.doubtPause
		f.endWatch(errDoubted)
	}
}

// Learn applies an owner record that another process knows of, unless it is older than the one known
// here. It finds the owner for a process that does not reach the store.
func (f *Follower) Learn(record *flowpb.Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if owner.CheckRecord(record) != nil || record.GetEpoch() <= f.record.GetEpoch() {
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

// apply sets the record unless a newer one is known. A record that can't be read names no owner: the one
// that is known holds, and if none is, the cell has no owner.
func (f *Follower) apply(item driver.Item) {
	var record *flowpb.Owner
	var err error
	if len(item.Value()) > 0 {
		record, err = owner.DecodeRecord(item.Value())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if item.Revision() > f.revision || !f.known {
			f.options.Log.Error("unreadable owner record passed over", "revision", item.Revision(), "error", err.Error())
		}
		f.revision = max(f.revision, item.Revision())
		if !f.known {
			f.set(nil)
		}
		return
	}
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
