package driver

import (
	"context"
	"errors"
	"time"
)

// StoreMaxValueBytes is the largest size of a value in the key-value service.
const StoreMaxValueBytes = 1 << 20

// RevisionAbsent is the revision of a key that does not exist.
const RevisionAbsent uint64 = 0

// Errors of the key-value service.
var (
	// ErrConflict is returned if a key has another revision than expected; nothing was written.
	ErrConflict = errors.New("driver: revision conflict")
	// ErrNotFound is returned if the key or the lease does not exist.
	ErrNotFound = errors.New("driver: not found")
	// ErrUnavailable is returned if the call failed and had no effect.
	ErrUnavailable = errors.New("driver: unavailable")
	// ErrIndeterminate is returned if a write may or may not have taken effect.
	ErrIndeterminate = errors.New("driver: outcome of the write is not known")
	// ErrTooLarge is returned if a value exceeds StoreMaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("driver: value too large")
)

// Item is a key of the key-value service with its value and revision.
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

// Revision returns the revision of the last write, or RevisionAbsent if the key does not exist.
func (i Item) Revision() uint64 { return i.revision }

// Lease is the id of a lease; the empty string means no lease.
type Lease string

// Store is the platform's key-value service; implementations are safe for concurrent use.
type Store interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, in key order, and the revision
	// of the store.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// CompareAndSwap writes value if the key still has the given revision, and returns the new
	// one. ErrConflict, ErrUnavailable and ErrTooLarge prove that nothing was written.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease Lease) (uint64, error)
	// Delete removes the key if it still has the given revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Grant creates a lease; the keys attached to it are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends a lease by its time to live, or returns ErrNotFound if it has expired.
	Renew(ctx context.Context, lease Lease) error
	// Watch blocks until a key with the prefix has changed after revision, or wait has passed,
	// and returns the revision of the store.
	Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (uint64, error)
}
