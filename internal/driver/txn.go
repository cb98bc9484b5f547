package driver

import (
	"context"
	"errors"
	"time"
)

// TxnMaxEntries is how many conditions, puts and deletes one transaction may hold together.
const TxnMaxEntries = 32

// ErrCompacted tells that the changes asked for are no longer kept; list anew.
var ErrCompacted = errors.New("driver: history is compacted")

// Condition is a revision that a key must have for a transaction to take effect.
type Condition struct {
	Key      string
	Revision uint64
}

// Put is a write of a transaction.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a set of writes that take effect together if all conditions hold.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Change is a key that was written or deleted.
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
	// before the first page was read, from which Changes misses nothing.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Commit applies the transaction and returns its revision. ErrConflict, ErrUnavailable
	// and ErrTooLarge prove that nothing was written; ErrAmbiguous proves nothing, and the
	// write may take effect later while its conditions still hold.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Changes waits up to wait for changes under prefix after a revision, and returns them
	// with the revision to go on from, or ErrCompacted.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
