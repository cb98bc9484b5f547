package owner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/joblog"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/steady"
)

// Keys of a cell in the key-value store.
const (
	keyHead    = "/head"
	keyOwner   = "/owner"
	keyLearned = "/learned"
	// prefixState is followed by the id of a job. The item holds its state without its tasks.
	prefixState = "/state/"
	// prefixSegment is followed by an index in the ring of segments.
	prefixSegment = "/log/"
	prefixInbox   = "/inbox/"
	// prefixSeparateJob and prefixSeparateProgress are those of the records that earlier versions
	// kept for each job.
	prefixSeparateJob      = "/job/"
	prefixSeparateProgress = "/run/"
)

const (
	// ringLength is the number of segments. Each open job is written in full once in as many commits,
	// and a takeover reads them all.
	ringLength = 128
	// commitEntries is how many entries of a transaction are left beside the head, which takes two,
	// the learned estimates and the segment.
	commitEntries = driver.TxnMaxEntries - 4
	// maxRecordBytes keeps a segment well below the size of a value, and its write short on a slow
	// link.
	maxRecordBytes = 128 << 10
	// commitTimeout bounds one attempt to commit. A slow store answers in 0.4 s.
	commitTimeout    = time.Second
	commitRetryPause = 60 * time.Millisecond
)

// maxSequence is above the numbers of all segments that owners write.
const maxSequence = 1 << 62

// segmentKey returns the key, within the cell, of the segment at an index of the ring.
func segmentKey(index int) string { return fmt.Sprintf("%s%03d", prefixSegment, index) }

// BatchLimits returns the limits of what one commit holds.
func BatchLimits() engine.BatchLimits {
	return engine.BatchLimits{Entries: commitEntries, RecordBytes: maxRecordBytes}
}

// ErrDeposed is returned when another process owns the cell.
var ErrDeposed = errors.New("owner: another process owns the cell")

// OwnerKey returns the key of the owner record of a cell, which names the owner and its address.
func OwnerKey(cell string) string { return cell + keyOwner }

// HeadKey returns the key of the head record, on which every commit to a cell is conditional.
func HeadKey(cell string) string { return cell + keyHead }

// Identity identifies a process that may own cells.
type Identity struct {
	Node        string
	Incarnation uint64
	// Address is where agents and other entries connect to the process.
	Address string
}

// FencedStore reads and writes the durable state of a cell under one epoch. Its methods must not be
// called concurrently.
type FencedStore struct {
	store    driver.TxnStore
	clock    steady.Clock
	cell     string
	identity Identity
	epoch    uint64
	// acquiredAt is when the attempt began that proved the acquisition, on the clock.
	acquiredAt time.Duration
	sequence   uint64
	revision   uint64
	ring       *joblog.Ring
}

// maxEpoch is above all epochs that owners use, also those that nextEpoch takes from the time. A higher
// one was not written by an owner; tokens, which begin with the epoch, would overflow.
const maxEpoch = 1 << 40

// errImplausible is returned for an item that no owner has written.
var errImplausible = errors.New("owner: not written by an owner")

// DecodeRecord decodes an owner record, and CheckRecord checks one. Both return an error for a record
// that names no owner which can be reached.
func DecodeRecord(value []byte) (record *flowpb.Owner, err error) {
	defer errs.Annotate(&err, "owner: decode owner record")
	record = &flowpb.Owner{}
	if err = proto.Unmarshal(value, record); err != nil {
		return nil, err
	}
	if err = CheckRecord(record); err != nil {
		return nil, err
	}
	return record, nil
}

// CheckRecord checks an owner record, see DecodeRecord.
func CheckRecord(record *flowpb.Owner) error {
	_, port, err := net.SplitHostPort(record.GetAddress())
	if err != nil {
		return fmt.Errorf("%w: %w", errImplausible, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%w: port %.20q", errImplausible, port)
	}
	if record.GetNode() == "" || record.GetEpoch() == 0 || record.GetEpoch() >= maxEpoch {
		return fmt.Errorf("%w: node %.40q, epoch %d", errImplausible, record.GetNode(), record.GetEpoch())
	}
	return nil
}

func decodeHead(value []byte) (head *flowpb.Head, err error) {
	defer errs.Annotate(&err, "owner: decode head record")
	head = &flowpb.Head{}
	if err = proto.Unmarshal(value, head); err != nil {
		return nil, err
	}
	if head.GetEpoch() >= maxEpoch {
		return nil, fmt.Errorf("%w: epoch %d", errImplausible, head.GetEpoch())
	}
	return head, nil
}

// nextEpoch returns an epoch above those of the head and of the owner record that is known. If the head
// can't be read, it is also above the time in seconds, which no epoch reaches that is counted up.
func nextEpoch(head *flowpb.Head, before *flowpb.Owner) uint64 {
	if head == nil {
		return max(before.GetEpoch(), uint64(max(0, time.Now().Unix()))) + 1
	}
	return max(before.GetEpoch(), head.GetEpoch()) + 1
}

// Acquire makes the process the owner of a cell, unless the head has changed since the observed
// revision, on which the decision to take over was based. before is the newest owner record that the
// process knows of, or nil.
func Acquire(ctx context.Context, store driver.TxnStore, clock steady.Clock, cell string, identity Identity, observed uint64, before *flowpb.Owner) (f *FencedStore, err error) {
	defer errs.Annotate(&err, "owner: acquire cell %s", cell)
	item, err := get(ctx, store, HeadKey(cell))
	if err != nil && !errors.Is(err, driver.ErrNotFound) {
		return nil, err
	}
	if item.Revision() != observed {
		return nil, ErrDeposed
	}
	// A head that can't be read is not an owner's.
	head, _ := decodeHead(item.Value())
	f = &FencedStore{store: store, clock: clock, cell: cell, identity: identity, epoch: nextEpoch(head, before), revision: item.Revision(), ring: joblog.NewRing(ringLength)}
	f.acquiredAt, err = f.commit(ctx, []driver.Put{{Key: OwnerKey(cell), Value: f.ownerRecord(false)}}, nil)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// AcquiredAt returns when, on the clock given to Acquire, the attempt began that proved the
// acquisition. No earlier owner has confirmed its ownership since.
func (f *FencedStore) AcquiredAt() time.Duration { return f.acquiredAt }

// Epoch returns the epoch under which the cell was acquired.
func (f *FencedStore) Epoch() uint64 { return f.epoch }

// Record returns the owner record of this process.
func (f *FencedStore) Record() *flowpb.Owner {
	return &flowpb.Owner{Epoch: f.epoch, Node: f.identity.Node, Incarnation: f.identity.Incarnation, Address: f.identity.Address}
}

func (f *FencedStore) ownerRecord(released bool) []byte {
	record := f.Record()
	record.Released = released
	return marshal(record)
}

func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// Marshalling fails only for strings that are not UTF-8, which are refused on entry.
		panic("owner: " + err.Error())
	}
	return data
}

// StoredState is the durable state of a cell.
type StoredState struct {
	// States holds the state of each job by its id, Open the open jobs.
	States map[string]*flowpb.Progress
	Open   map[string]joblog.Stored
	// SeparateRecords holds the ids of the jobs that are stored in records of their own.
	SeparateRecords map[string]bool
	Learned         *flowpb.Learned
	Inbox           map[string]*flowpb.Handed
	// Unreadable holds the keys of the items that could not be decoded, with the errors.
	Unreadable map[string]error
	// Revision is the store revision from which the inbox is followed.
	Revision uint64
	segments map[string]*flowpb.Segment
	// separateJobs and separateProgress hold the records that earlier versions kept for each job.
	separateJobs     map[string]*flowpb.Job
	separateProgress map[string]*flowpb.Progress
}

// Load reads the durable state of the cell. Items that can't be decoded are listed in Unreadable.
// It must be called before the first Commit.
func (f *FencedStore) Load(ctx context.Context) (s *StoredState, err error) {
	defer errs.Annotate(&err, "owner: load cell %s", f.cell)
	items, revision, err := f.store.List(ctx, f.cell+"/")
	if err != nil {
		return nil, err
	}
	s = &StoredState{
		Revision: revision, Inbox: map[string]*flowpb.Handed{}, States: map[string]*flowpb.Progress{}, SeparateRecords: map[string]bool{},
		Learned: &flowpb.Learned{}, Unreadable: map[string]error{}, segments: map[string]*flowpb.Segment{},
		separateJobs: map[string]*flowpb.Job{}, separateProgress: map[string]*flowpb.Progress{},
	}
	for _, item := range items {
		if err := s.decodeItem(strings.TrimPrefix(item.Key(), f.cell), item.Value()); err != nil {
			s.Unreadable[item.Key()] = err
		}
	}
	s.Open, f.ring = joblog.Read(slices.Collect(maps.Values(s.segments)), ringLength)
	for id := range s.Open {
		if s.States[id] == nil || s.States[id].GetOutcome() != flowpb.Outcome_OUTCOME_OPEN {
			delete(s.Open, id)
			f.ring.Remove(id)
		}
	}
	s.addSeparateRecords()
	return s, nil
}

// addSeparateRecords adds the jobs that earlier versions stored in records of their own.
func (s *StoredState) addSeparateRecords() {
	for id, p := range s.separateProgress {
		def := s.separateJobs[id]
		if def == nil || s.States[id] != nil {
			continue
		}
		s.States[id], s.SeparateRecords[id] = p, true
		if p.GetOutcome() == flowpb.Outcome_OUTCOME_OPEN {
			s.Open[id] = joblog.Stored{Job: def, Progress: p}
		}
	}
}

// decodeItem decodes one item. An item that can't be decoded is left out, so that it does not make
// the others unavailable.
func (s *StoredState) decodeItem(key string, value []byte) error {
	switch {
	case key == keyLearned:
		learned := &flowpb.Learned{}
		if err := proto.Unmarshal(value, learned); err != nil {
			return err
		}
		s.Learned = learned
	case strings.HasPrefix(key, prefixInbox):
		return decodeInto(s.Inbox, strings.TrimPrefix(key, prefixInbox), value, &flowpb.Handed{})
	case strings.HasPrefix(key, prefixState):
		return decodeInto(s.States, strings.TrimPrefix(key, prefixState), value, &flowpb.Progress{})
	case strings.HasPrefix(key, prefixSegment):
		segment := &flowpb.Segment{}
		if err := proto.Unmarshal(value, segment); err != nil {
			return err
		}
		if sequence := segment.GetSequence(); sequence >= maxSequence || key != segmentKey(int(sequence%ringLength)) {
			return fmt.Errorf("%w: segment %d", errImplausible, sequence)
		}
		s.segments[key] = segment
	case strings.HasPrefix(key, prefixSeparateJob):
		return decodeInto(s.separateJobs, strings.TrimPrefix(key, prefixSeparateJob), value, &flowpb.Job{})
	case strings.HasPrefix(key, prefixSeparateProgress):
		return decodeInto(s.separateProgress, strings.TrimPrefix(key, prefixSeparateProgress), value, &flowpb.Progress{})
	}
	return nil
}

func decodeInto[M proto.Message](into map[string]M, name string, value []byte, message M) error {
	if err := proto.Unmarshal(value, message); err != nil {
		return err
	}
	into[name] = message
	return nil
}

// Commit stores changes, retrying for as long as the store does not accept them. It returns when
// the attempt began which proved that this process still owned the cell. After an error the changes may
// still take effect, and only Release may be called.
func (f *FencedStore) Commit(ctx context.Context, changes []engine.Change, learned *flowpb.Learned) (confirmed time.Duration, err error) {
	var puts []driver.Put
	if learned != nil {
		puts = append(puts, driver.Put{Key: f.cell + keyLearned, Value: marshal(learned)})
	}
	var deletes []string
	sequence, index := f.ring.Next()
	segment := &flowpb.Segment{Sequence: sequence}
	for _, c := range changes {
		switch {
		case c.Delete:
			deletes = append(deletes, f.cell+prefixState+c.ID)
		case c.State != nil:
			puts = append(puts, driver.Put{Key: f.cell + prefixState + c.ID, Value: marshal(c.State)})
		}
		if c.Record != nil {
			segment.Jobs = append(segment.Jobs, c.Record)
		}
		if c.SeparateRecord {
			deletes = append(deletes, f.cell+prefixSeparateJob+c.ID, f.cell+prefixSeparateProgress+c.ID)
		}
		for _, name := range c.InboxItems {
			deletes = append(deletes, f.cell+prefixInbox+name)
		}
	}
	if len(segment.GetJobs()) > 0 {
		puts = append(puts, driver.Put{Key: f.cell + segmentKey(index), Value: marshal(segment)})
	}
	if confirmed, err = f.commit(ctx, puts, deletes); err != nil {
		return 0, err
	}
	if len(segment.GetJobs()) > 0 {
		f.ring.Written(segment)
	}
	for _, c := range changes {
		if c.State.GetOutcome() != flowpb.Outcome_OUTCOME_OPEN {
			f.ring.Remove(c.ID)
		}
	}
	return confirmed, nil
}

// RecordsDue returns the ids of the jobs that need full records in the next commit.
func (f *FencedStore) RecordsDue() []string { return f.ring.RecordsDue() }

// Release gives up the cell, so that another process can acquire it at once.
func (f *FencedStore) Release(ctx context.Context) (err error) {
	_, err = f.commit(ctx, []driver.Put{{Key: OwnerKey(f.cell), Value: f.ownerRecord(true)}}, nil)
	return err
}

// errSuperseded is returned if an earlier commit of this process, whose outcome was not known, has taken
// effect. The next attempt is conditional on the head that it wrote.
var errSuperseded = errors.New("owner: earlier commit has taken effect")

// commit writes one transaction, conditional on the head that the previous commit wrote. A write
// that takes effect late therefore can't overwrite a newer one, and one whose answer was lost is
// retried until its outcome is known. Each call has a sequence number of its own, which tells its head
// from that of an earlier call that was given up.
func (f *FencedStore) commit(ctx context.Context, puts []driver.Put, deletes []string) (confirmed time.Duration, err error) {
	f.sequence++
	head := &flowpb.Head{Epoch: f.epoch, Owner: f.identity.Node, Incarnation: f.identity.Incarnation, Sequence: f.sequence}
	txn := driver.Txn{
		Puts:    append([]driver.Put{{Key: HeadKey(f.cell), Value: marshal(head)}}, puts...),
		Deletes: deletes,
	}
	for {
		txn.Conditions = []driver.Condition{{Key: HeadKey(f.cell), Revision: f.revision}}
		confirmed = f.clock()
		revision, err := f.tryCommit(ctx, txn)
		if errors.Is(err, driver.ErrConflict) {
			confirmed = f.clock()
			revision, err = f.resolveConflict(ctx, head)
		}
		switch {
		case err == nil:
			f.revision = revision
			return confirmed, nil
		case errors.Is(err, ErrDeposed), errors.Is(err, driver.ErrTooLarge), ctx.Err() != nil:
			return 0, err
		case errors.Is(err, errSuperseded):
			f.revision = revision
		}
		loop.Pause(ctx, commitRetryPause)
	}
}

func (f *FencedStore) tryCommit(ctx context.Context, txn driver.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return f.store.Commit(ctx, txn)
}

// resolveConflict checks whether the head that caused a conflict was written by an earlier attempt
// of the same commit. It returns the revision of the head, with errSuperseded if an earlier commit of
// this process wrote it, or ErrDeposed.
func (f *FencedStore) resolveConflict(ctx context.Context, head *flowpb.Head) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, err := f.store.Get(ctx, HeadKey(f.cell))
	if err != nil {
		return 0, err
	}
	found, err := decodeHead(item.Value())
	switch {
	case err != nil:
		return 0, ErrDeposed
	case proto.Equal(found, head):
		return item.Revision(), nil
	case found.GetSequence() < head.GetSequence() && f.wrote(found):
		return item.Revision(), errSuperseded
	}
	return 0, ErrDeposed
}

// wrote reports whether this process wrote a head under its epoch.
func (f *FencedStore) wrote(head *flowpb.Head) bool {
	return head.GetEpoch() == f.epoch && head.GetOwner() == f.identity.Node && head.GetIncarnation() == f.identity.Incarnation
}
