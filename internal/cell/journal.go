package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
)

// Sizes of the journal's values.
const (
	// sealBytes is the size at which the tail is moved into a segment.
	sealBytes = 32 << 10
	// snapshotChunkBytes bounds the size of one value of a snapshot.
	snapshotChunkBytes = 512 << 10
	// compactMinBytes is the total segment size below which compaction is not worthwhile.
	compactMinBytes = 128 << 10
)

// Delays between retries while the key-value service does not answer.
const (
	storeRetryMin = 50 * time.Millisecond
	storeRetryMax = 2 * time.Second
)

// ErrOwnershipLost is returned when another owner has taken the cell.
var ErrOwnershipLost = errors.New("cell: another owner has taken the cell")

// Prefix returns the key prefix of a cell's values.
func Prefix(cell string) string { return "cells/" + cell + "/" }

// HeadKey returns the key of a cell's head.
func HeadKey(cell string) string { return Prefix(cell) + "head" }

// Identity identifies an owner of a cell.
type Identity struct {
	Entry   string
	Address string
}

// Journal persists a cell's records under one epoch. It is not safe for concurrent use.
type Journal struct {
	store        driver.Store
	cell         string
	head         *cellpb.Head
	revision     uint64
	confirmedAt  time.Time
	obsoleteKeys []string
}

// ReadHead returns a cell's head and its revision. For a cell without a head it returns an empty
// one and driver.RevisionAbsent.
func ReadHead(ctx context.Context, store driver.Store, cell string) (head *cellpb.Head, revision uint64, err error) {
	defer errs.Annotate(&err, "cell: read head of %s", cell)
	item, err := store.Get(ctx, HeadKey(cell))
	if errors.Is(err, driver.ErrNotFound) {
		return &cellpb.Head{}, driver.RevisionAbsent, nil
	}
	if err != nil {
		return nil, 0, err
	}
	head = &cellpb.Head{}
	if err = proto.Unmarshal(item.Value(), head); err != nil {
		return nil, 0, err
	}
	return head, item.Revision(), nil
}

// OpenJournal makes identity the owner of a cell under the next epoch and loads the state. It also
// returns the previous head, which shows whether the last owner had released the cell.
func OpenJournal(ctx context.Context, store driver.Store, cell string, identity Identity) (j *Journal, state *State, previous *cellpb.Head, err error) {
	defer errs.Annotate(&err, "cell: take %s", cell)
	previous, revision, err := ReadHead(ctx, store, cell)
	if err != nil {
		return nil, nil, nil, err
	}
	state, err = load(ctx, store, previous)
	if err != nil {
		return nil, nil, nil, err
	}
	j = &Journal{store: store, cell: cell, head: previous, revision: revision}
	next := proto.CloneOf(previous)
	next.Epoch++
	next.Owner, next.OwnerAddress, next.Released = identity.Entry, identity.Address, false
	if err = j.swapHead(ctx, next); err != nil {
		return nil, nil, nil, err
	}
	return j, state, previous, nil
}

func load(ctx context.Context, store driver.Store, head *cellpb.Head) (*State, error) {
	state := NewState()
	keys := append(append([]string(nil), head.GetSnapshotKeys()...), head.GetSegmentKeys()...)
	for _, key := range keys {
		item, err := store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		segment := &cellpb.Segment{}
		if err := proto.Unmarshal(item.Value(), segment); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		if err := applyAll(state, segment.GetRecords()); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	return state, applyAll(state, head.GetTail())
}

func applyAll(state *State, records []*cellpb.Record) error {
	for _, r := range records {
		if err := state.Apply(r); err != nil {
			return err
		}
	}
	return nil
}

// Epoch returns the epoch under which the journal writes.
func (j *Journal) Epoch() uint64 { return j.head.GetEpoch() }

// ConfirmedAt returns the start time of the last call that confirmed the owner's epoch.
func (j *Journal) ConfirmedAt() time.Time { return j.confirmedAt }

// Commit makes records durable. It retries until the outcome is known and returns nil or
// ErrOwnershipLost, or the error of ctx, in which case the outcome is indeterminate.
func (j *Journal) Commit(ctx context.Context, records []*cellpb.Record) (err error) {
	defer errs.Annotate(&err, "cell: commit to %s", j.cell)
	next := proto.CloneOf(j.head)
	if size := tailBytes(next); size >= sealBytes {
		if err = j.seal(ctx, next, size); err != nil {
			return err
		}
	}
	next.Tail = append(next.Tail, records...)
	return j.swapHead(ctx, next)
}

func tailBytes(h *cellpb.Head) int {
	return proto.Size(&cellpb.Segment{Records: h.GetTail()})
}

// seal moves the tail of next into a new segment.
func (j *Journal) seal(ctx context.Context, next *cellpb.Head, size int) error {
	key := Prefix(j.cell) + "segment/" + strconv.FormatUint(next.GetEpoch(), 10) + "-" + strconv.FormatUint(next.GetNextSegment(), 10)
	if err := j.createSegment(ctx, key, next.GetTail()); err != nil {
		return err
	}
	next.NextSegment++
	next.SegmentKeys = append(next.SegmentKeys, key)
	next.SegmentBytes += int64(size)
	next.Tail = nil
	return nil
}

// createSegment writes a value under a key that no other epoch uses, so a conflict means that an
// earlier try has already written the same records.
func (j *Journal) createSegment(ctx context.Context, key string, records []*cellpb.Record) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&cellpb.Segment{Records: records})
	if err != nil {
		return err
	}
	return retry(ctx, func() error {
		_, err := j.store.CompareAndSwap(ctx, key, driver.RevisionAbsent, value, "")
		if errors.Is(err, driver.ErrConflict) {
			return nil
		}
		return err
	})
}

// swapHead writes the head by compare-and-swap and resolves ambiguous results by reading it back.
func (j *Journal) swapHead(ctx context.Context, next *cellpb.Head) error {
	next.Change++
	next.ChangeId = strconv.FormatUint(rand.Uint64(), 36)
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	return retry(ctx, func() error {
		start := time.Now()
		revision, err := j.store.CompareAndSwap(ctx, HeadKey(j.cell), j.revision, value, "")
		if errors.Is(err, driver.ErrConflict) || errors.Is(err, driver.ErrIndeterminate) {
			revision, err = j.resolveSwap(ctx, next)
		}
		if err != nil {
			return err
		}
		j.head, j.revision, j.confirmedAt = next, revision, start
		return nil
	})
}

// resolveSwap reads the head back and returns its revision if it contains the change of next. If
// the head is unchanged it returns driver.ErrUnavailable, so that the swap is tried again.
func (j *Journal) resolveSwap(ctx context.Context, next *cellpb.Head) (uint64, error) {
	head, revision, err := ReadHead(ctx, j.store, j.cell)
	switch {
	case err != nil:
		return 0, err
	case head.GetChangeId() == next.GetChangeId():
		return revision, nil
	case revision == j.revision:
		return 0, driver.ErrUnavailable
	default:
		return 0, ErrOwnershipLost
	}
}

// Verify confirms that the journal's epoch is still the latest, or returns ErrOwnershipLost.
func (j *Journal) Verify(ctx context.Context) (err error) {
	start := time.Now()
	head, _, err := ReadHead(ctx, j.store, j.cell)
	if err != nil {
		return err
	}
	if head.GetEpoch() > j.head.GetEpoch() {
		return ErrOwnershipLost
	}
	j.confirmedAt = start
	return nil
}

// Release gives up the cell, so that the next owner need not wait StoreSilence for workers that
// have not reported.
func (j *Journal) Release(ctx context.Context) error {
	next := proto.CloneOf(j.head)
	next.Released = true
	return j.swapHead(ctx, next)
}

// CompactionDue reports whether the segments have outgrown the snapshot.
func (j *Journal) CompactionDue() bool {
	return j.head.GetSegmentBytes() > max(compactMinBytes, j.head.GetSnapshotBytes())
}

// Compact replaces the snapshot, segments and tail by a snapshot that consists of the given
// records.
func (j *Journal) Compact(ctx context.Context, records []*cellpb.Record) (err error) {
	defer errs.Annotate(&err, "cell: compact %s", j.cell)
	next := proto.CloneOf(j.head)
	replaced := append(next.GetSnapshotKeys(), next.GetSegmentKeys()...)
	next.SnapshotKeys, next.SegmentKeys, next.Tail = nil, nil, nil
	next.SegmentBytes, next.SnapshotBytes = 0, 0
	prefix := fmt.Sprintf("%ssnapshot/%d-%d-", Prefix(j.cell), next.GetEpoch(), next.GetChange())
	for i, chunk := range chunks(records) {
		key := prefix + strconv.Itoa(i)
		if err = j.createSegment(ctx, key, chunk); err != nil {
			return err
		}
		next.SnapshotKeys = append(next.SnapshotKeys, key)
		next.SnapshotBytes += int64(proto.Size(&cellpb.Segment{Records: chunk}))
	}
	if err = j.swapHead(ctx, next); err != nil {
		return err
	}
	j.obsoleteKeys = append(j.obsoleteKeys, replaced...)
	return nil
}

// chunks splits records into parts that each fit into one value.
func chunks(records []*cellpb.Record) (split [][]*cellpb.Record) {
	var chunk []*cellpb.Record
	size := 0
	for _, r := range records {
		n := proto.Size(r)
		if size+n > snapshotChunkBytes && len(chunk) > 0 {
			split = append(split, chunk)
			chunk, size = nil, 0
		}
		chunk = append(chunk, r)
		size += n
	}
	if len(chunk) > 0 {
		split = append(split, chunk)
	}
	return split
}

// DeleteObsolete deletes one value that the head no longer references. A value that cannot be
// deleted is tried again with the next call.
func (j *Journal) DeleteObsolete(ctx context.Context) {
	if len(j.obsoleteKeys) == 0 {
		return
	}
	key := j.obsoleteKeys[0]
	item, err := j.store.Get(ctx, key)
	if err == nil {
		err = j.store.Delete(ctx, key, item.Revision())
	}
	if err == nil || errors.Is(err, driver.ErrNotFound) {
		j.obsoleteKeys = j.obsoleteKeys[1:]
	}
}

// retry calls f with jittered, exponentially growing delays until it succeeds, fails with
// ErrOwnershipLost or driver.ErrTooLarge, or ctx ends.
func retry(ctx context.Context, f func() error) error {
	for delay := storeRetryMin; ; delay = min(2*delay, storeRetryMax) {
		err := f()
		if err == nil || errors.Is(err, ErrOwnershipLost) || errors.Is(err, driver.ErrTooLarge) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t := time.NewTimer(delay/2 + rand.N(delay/2))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}
