package driver

import (
	"context"
	"errors"
	"time"
)

// StoreMaxValueBytes is the largest value that the key-value service holds.
const StoreMaxValueBytes = 1 << 20

// RevisionAbsent is the revision of a key that does not exist.
const RevisionAbsent uint64 = 0

// Errors of the key-value service.
var (
	// ErrConflict tells that a compare-and-swap met another revision; nothing was written.
	ErrConflict = errors.New("driver: revision conflict")
	// ErrNotFound tells that the key or the lease does not exist.
	ErrNotFound = errors.New("driver: not found")
	// ErrUnavailable tells that the call was refused and had no effect.
	ErrUnavailable = errors.New("driver: unavailable")
	// ErrIndeterminate tells that a write may or may not have taken effect.
	ErrIndeterminate = errors.New("driver: outcome of the write is not known")
	// ErrTooLarge tells that a value exceeds StoreMaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("driver: value too large")
)

// Item is a value of the key-value service with the revision that wrote it.
type Item struct {
	key      string
	value    []byte
	revision uint64
}

// NewItem returns an Item; the value is not copied.
func NewItem(key string, value []byte, revision uint64) Item {
	return Item{key: key, value: value, revision: revision}
}

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the value, which callers must not change.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the last write, RevisionAbsent if the key does not exist.
func (i Item) Revision() uint64 { return i.revision }

// Lease is the id of a lease; the zero value means no lease.
type Lease string

// Store is the platform's key-value service; implementations are safe for concurrent use.
type Store interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, in key order, and the store's revision.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// CompareAndSwap writes value if the key's revision is still revision and returns the new one.
	// The errors ErrConflict, ErrUnavailable and ErrTooLarge prove that nothing was written.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease Lease) (uint64, error)
	// Delete removes the key if its revision is still revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Grant creates a lease; keys attached to it vanish when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its time to live, or returns ErrNotFound if it has lapsed.
	Renew(ctx context.Context, lease Lease) error
	// Watch blocks until a key under prefix has changed since revision or wait has passed,
	// and returns the store's revision.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (uint64, error)
}
