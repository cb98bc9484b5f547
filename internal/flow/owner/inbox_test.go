package owner

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// movingStore holds a job in the inbox until its state is first read. Right after that read the
// owner moves the job out of the inbox.
type movingStore struct {
	driver.TxnStore
	items map[string][]byte
}

func (s *movingStore) Get(_ context.Context, key string) (driver.Item, error) {
	value, exists := s.items[key]
	if strings.Contains(key, prefixState) && !exists {
		s.items = map[string][]byte{key: marshal(&flowpb.Progress{Begun: true})}
	}
	if !exists {
		return driver.Item{}, driver.ErrNotFound
	}
	return driver.NewItem(key, value, 1), nil
}

// listOnlyStore is a store that supports only List.
type listOnlyStore struct {
	driver.TxnStore
	items map[string][]byte
}

func (s *listOnlyStore) List(context.Context, string) (items []driver.Item, revision uint64, err error) {
	for key, value := range s.items {
		items = append(items, driver.NewItem(key, value, 1))
	}
	return items, 7, nil
}

// TestLoadPassesOverBadItems checks that undecodable items do not keep the others from being
// loaded.
func TestLoadPassesOverBadItems(t *testing.T) {
	is := is.New(t)
	bad := []byte{0xff, 0xff}
	s := &listOnlyStore{items: map[string][]byte{
		"c" + prefixState + "a": marshal(&flowpb.Progress{Begun: true}), "c" + prefixState + "b": bad,
		"c" + prefixSegment + "001": marshal(&flowpb.Segment{Sequence: 1, Jobs: []*flowpb.JobRecord{{Id: "a", Job: &flowpb.Job{Id: "a"}, Progress: &flowpb.Progress{Begun: true}}}}),
		"c" + prefixSegment + "002": bad,
		"c" + prefixInbox + "e":     bad, "c" + prefixInbox + "f": marshal(&flowpb.Handed{Cancel: "a"}), "c" + keyLearned: bad,
	}}
	stored, err := (&FencedStore{store: s, cell: "c"}).Load(context.Background())
	is.NoErr(err)
	is.Equal(stored.Open["a"].Job.GetId(), "a")
	is.True(stored.States["a"].GetBegun())
	is.True(stored.Open["a"].Progress.GetBegun())
	is.Equal(stored.Inbox["f"].GetCancel(), "a")
	is.Equal(len(stored.Unreadable), 4)
	is.True(stored.Learned != nil)
	is.Equal(stored.Revision, uint64(7))
}

// TestOddSegments checks that a segment which no owner has written, with a number that is too large or under
// the key of another one, is passed over. The ring would go on from its number and write over records
// that are still needed.
func TestOddSegments(t *testing.T) {
	is := is.New(t)
	segment := func(sequence uint64, id string) []byte {
		return marshal(&flowpb.Segment{Sequence: sequence, Jobs: []*flowpb.JobRecord{{Id: id, Job: &flowpb.Job{Id: id}, Progress: &flowpb.Progress{}}}})
	}
	s := &listOnlyStore{items: map[string][]byte{
		"c" + prefixState + "a": marshal(&flowpb.Progress{}), "c" + prefixState + "b": marshal(&flowpb.Progress{}),
		"c" + prefixSegment + "005": segment(5, "a"), "c" + prefixSegment + "127": segment(math.MaxUint64, "b"),
		"c" + prefixSegment + "x": segment(9, "b"), "c" + prefixSegment + "007": bytes.Repeat([]byte{0x0b}, 1_000_000),
	}}
	f := &FencedStore{store: s, cell: "c"}
	stored, err := f.Load(context.Background())
	is.NoErr(err)
	is.Equal(len(stored.Unreadable), 3)
	is.Equal(len(stored.Open), 1)
	next, _ := f.ring.Next()
	is.Equal(next, uint64(6))
}

// TestReadWhileTakenIn checks that a job is found if the owner moves it out of the inbox between
// the two reads.
func TestReadWhileTakenIn(t *testing.T) {
	is := is.New(t)
	s := &movingStore{items: map[string][]byte{"c" + prefixInbox + "j": marshal(&flowpb.Handed{Job: &flowpb.Job{Id: "j"}})}}
	p, err := ReadState(context.Background(), s, "c", "j")
	is.NoErr(err)
	is.True(p.GetBegun())
}
