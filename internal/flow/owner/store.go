package owner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/steady"
)

// Keys of a cell in the key-value service.
const (
	keyHead        = "/head"
	keyOwner       = "/owner"
	prefixJob      = "/job/"
	prefixProgress = "/run/"
	keyLearned     = "/learned"
	prefixInbox    = "/inbox/"
)

const (
	// CommitJobs is how many jobs one commit may hold: each takes up to three of the entries
	// of a transaction, the head takes two, and what was learned one.
	CommitJobs = (driver.TxnMaxEntries - 3) / 3
	// commitTimeout is how long one attempt may take; a slow store answers in 0.4 s.
	commitTimeout = time.Second
	commitRetry   = 60 * time.Millisecond
)

// ErrDeposed tells that another process owns the cell.
var ErrDeposed = errors.New("owner: another process owns the cell")

// OwnerKey returns the key under which a cell's owner is found.
func OwnerKey(cell string) string { return cell + keyOwner }

// HeadKey returns the key that fences a cell.
func HeadKey(cell string) string { return cell + keyHead }

// Identity names a process that may own cells.
type Identity struct {
	Node        string
	Incarnation uint64
	// Address is where agents and other entries reach it.
	Address string
}

// Ledger is the durable state of a cell under one epoch. Its methods are called by one
// goroutine at a time.
type Ledger struct {
	store    driver.TxnStore
	clock    steady.Clock
	cell     string
	self     Identity
	epoch    uint64
	sequence uint64
	revision uint64
}

// Take makes self the owner of a cell if nobody else has become so since seen, the
// revision of the head that the decision was made on.
func Take(ctx context.Context, store driver.TxnStore, clock steady.Clock, cell string, self Identity, seen uint64) (l *Ledger, err error) {
	defer errs.Annotate(&err, "owner: take cell %s", cell)
	head := &flowpb.Head{}
	item, err := store.Get(ctx, HeadKey(cell))
	switch {
	case errors.Is(err, driver.ErrNotFound):
	case err != nil:
		return nil, err
	default:
		if err = proto.Unmarshal(item.Value(), head); err != nil {
			return nil, fmt.Errorf("head can't be read: %w", err)
		}
	}
	if item.Revision() != seen {
		return nil, ErrDeposed
	}
	l = &Ledger{store: store, clock: clock, cell: cell, self: self, epoch: head.GetEpoch() + 1, revision: item.Revision()}
	if _, err = l.commit(ctx, []driver.Put{{Key: OwnerKey(cell), Value: l.ownerRecord(false)}}, nil); err != nil {
		return nil, err
	}
	return l, nil
}

// Epoch returns the epoch that the cell was taken under.
func (l *Ledger) Epoch() uint64 { return l.epoch }

func (l *Ledger) ownerRecord(released bool) []byte {
	return marshal(&flowpb.Owner{Epoch: l.epoch, Node: l.self.Node, Incarnation: l.self.Incarnation, Address: l.self.Address, Released: released})
}

func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		// Only a string that is not UTF-8 can't be marshalled, and those are refused on entry.
		panic("owner: " + err.Error())
	}
	return data
}

// Stored is the durable state of a cell.
type Stored struct {
	Jobs     map[string]*flowpb.Job
	Progress map[string]*flowpb.Progress
	Learned  *flowpb.Learned
	Inbox    map[string]*flowpb.Handed
	// Unreadable are the keys of items that could not be read, with the reason.
	Unreadable map[string]error
	// Revision is the store's, from which changes of the inbox are to be followed.
	Revision uint64
}

// Load reads the durable state of the cell.
func (l *Ledger) Load(ctx context.Context) (s *Stored, err error) {
	defer errs.Annotate(&err, "owner: load cell %s", l.cell)
	items, revision, err := l.store.List(ctx, l.cell+"/")
	if err != nil {
		return nil, err
	}
	s = &Stored{
		Revision: revision, Inbox: map[string]*flowpb.Handed{}, Jobs: map[string]*flowpb.Job{}, Progress: map[string]*flowpb.Progress{},
		Learned: &flowpb.Learned{}, Unreadable: map[string]error{},
	}
	for _, item := range items {
		if err := s.take(strings.TrimPrefix(item.Key(), l.cell), item.Value()); err != nil {
			s.Unreadable[item.Key()] = err
		}
	}
	return s, nil
}

// take decodes one item; what can't be read is left out, so that one bad item does not keep
// the others from being served.
func (s *Stored) take(key string, value []byte) error {
	switch {
	case key == keyLearned:
		learned := &flowpb.Learned{}
		if err := proto.Unmarshal(value, learned); err != nil {
			return err
		}
		s.Learned = learned
	case strings.HasPrefix(key, prefixInbox):
		return decode(s.Inbox, strings.TrimPrefix(key, prefixInbox), value, &flowpb.Handed{})
	case strings.HasPrefix(key, prefixJob):
		return decode(s.Jobs, strings.TrimPrefix(key, prefixJob), value, &flowpb.Job{})
	case strings.HasPrefix(key, prefixProgress):
		return decode(s.Progress, strings.TrimPrefix(key, prefixProgress), value, &flowpb.Progress{})
	}
	return nil
}

func decode[M proto.Message](into map[string]M, name string, value []byte, message M) error {
	if err := proto.Unmarshal(value, message); err != nil {
		return err
	}
	into[name] = message
	return nil
}

// Commit stores changes, which takes as long as the store needs to take them, and returns
// when the attempt began that proves that the cell was still owned.
func (l *Ledger) Commit(ctx context.Context, changes []engine.Change, learned *flowpb.Learned) (confirmed time.Duration, err error) {
	var puts []driver.Put
	if learned != nil {
		puts = append(puts, driver.Put{Key: l.cell + keyLearned, Value: marshal(learned)})
	}
	var deletes []string
	for _, c := range changes {
		if c.Delete {
			deletes = append(deletes, l.cell+prefixJob+c.ID, l.cell+prefixProgress+c.ID)
		}
		if c.Job != nil {
			puts = append(puts, driver.Put{Key: l.cell + prefixJob + c.ID, Value: marshal(c.Job)})
		}
		if c.Progress != nil {
			puts = append(puts, driver.Put{Key: l.cell + prefixProgress + c.ID, Value: marshal(c.Progress)})
		}
		for _, name := range c.InboxItems {
			deletes = append(deletes, l.cell+prefixInbox+name)
		}
	}
	return l.commit(ctx, puts, deletes)
}

// Release gives up the cell, so that another process takes it at once.
func (l *Ledger) Release(ctx context.Context) (err error) {
	_, err = l.commit(ctx, []driver.Put{{Key: OwnerKey(l.cell), Value: l.ownerRecord(true)}}, nil)
	return err
}

// commit applies one link of the chain of commits: each is conditional on the head that the
// one before it wrote, so that a write which takes effect late can't undo a newer one, and
// one whose answer was lost is settled by trying it again.
func (l *Ledger) commit(ctx context.Context, puts []driver.Put, deletes []string) (confirmed time.Duration, err error) {
	head := &flowpb.Head{Epoch: l.epoch, Owner: l.self.Node, Incarnation: l.self.Incarnation, Sequence: l.sequence + 1}
	txn := driver.Txn{
		Conditions: []driver.Condition{{Key: HeadKey(l.cell), Revision: l.revision}},
		Puts:       append([]driver.Put{{Key: HeadKey(l.cell), Value: marshal(head)}}, puts...),
		Deletes:    deletes,
	}
	for {
		confirmed = l.clock()
		revision, err := l.try(ctx, txn)
		if errors.Is(err, driver.ErrConflict) {
			confirmed = l.clock()
			revision, err = l.settle(ctx, head)
		}
		switch {
		case err == nil:
			l.revision, l.sequence = revision, head.GetSequence()
			return confirmed, nil
		case errors.Is(err, ErrDeposed), errors.Is(err, driver.ErrTooLarge), ctx.Err() != nil:
			return 0, err
		}
		loop.Pause(ctx, commitRetry)
	}
}

func (l *Ledger) try(ctx context.Context, txn driver.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return l.store.Commit(ctx, txn)
}

// settle tells whether the head that met a conflict is the one that this commit wrote.
func (l *Ledger) settle(ctx context.Context, head *flowpb.Head) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	item, err := l.store.Get(ctx, HeadKey(l.cell))
	if err != nil {
		return 0, err
	}
	found := &flowpb.Head{}
	if err = proto.Unmarshal(item.Value(), found); err != nil {
		return 0, fmt.Errorf("head can't be read: %w", err)
	}
	if !proto.Equal(found, head) {
		return 0, ErrDeposed
	}
	return item.Revision(), nil
}
