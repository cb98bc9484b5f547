package owner

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// movingStore holds a job in the inbox until its progress is first asked for; the owner
// takes it in right after.
type movingStore struct {
	driver.TxnStore
	items map[string][]byte
}

func (s *movingStore) Get(_ context.Context, key string) (driver.Item, error) {
	value, exists := s.items[key]
	if strings.Contains(key, prefixProgress) && !exists {
		s.items = map[string][]byte{key: marshal(&flowpb.Progress{Begun: true})}
	}
	if !exists {
		return driver.Item{}, driver.ErrNotFound
	}
	return driver.NewItem(key, value, 1), nil
}

// TestReadWhileTakenIn checks that a job which the owner takes in between two reads is not
// said to be unknown.
func TestReadWhileTakenIn(t *testing.T) {
	is := is.New(t)
	s := &movingStore{items: map[string][]byte{"c" + prefixInbox + "j": marshal(&flowpb.Handed{Job: &flowpb.Job{Id: "j"}})}}
	p, err := ReadStored(context.Background(), s, "c", "j")
	is.NoErr(err)
	is.True(p.GetBegun())
}
