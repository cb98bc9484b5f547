package driver

import (
	"context"
	"errors"
	"time"
)

// TxnMaxEntries is the total number of conditions, puts and deletes that one transaction may hold.
const TxnMaxEntries = 32

// ErrCompacted is returned if the requested changes are no longer stored; the keys must be listed
// again.
var ErrCompacted = errors.New("driver: history is compacted")

// Condition is the revision that a key must have for a transaction to take effect.
type Condition struct {
	Key      string
	Revision uint64
}

// Put is a write in a transaction.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a set of writes that are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Change is a write or deletion of a key.
type Change struct {
	Item    Item
	Deleted bool
}

// TxnStore is a key-value service with transactions and watches that carry the changes;
// implementations are safe for concurrent use.
type TxnStore interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, in key order, and the revision
	// before the first page was read. Changes after that revision completes the list.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Commit applies the transaction and returns its revision. ErrConflict, ErrUnavailable and
	// ErrTooLarge prove that nothing was written. After ErrIndeterminate the write may have
	// taken effect, or may do so later as long as its conditions hold.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Changes waits up to wait for changes of keys with the prefix after a revision. It returns
	// them with the revision to continue from, or ErrCompacted.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
