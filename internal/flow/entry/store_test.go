package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// fakeStore is a store in memory that may answer late, refuse calls or leave them unanswered.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]driver.Item
	revision uint64
	// fault returns what happens to a call of a method with a key or a prefix. It may be nil.
	fault func(method, key string) fault
}

// fault is what happens to a call: it is delayed, then left unanswered or refused.
type fault struct {
	delay   time.Duration
	silent  bool
	refused bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: map[string]driver.Item{}, revision: 1} }

func (s *fakeStore) setFault(f func(method, key string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// await applies the fault to a call.
func (s *fakeStore) await(ctx context.Context, method, key string) error {
	s.mu.Lock()
	f := fault{}
	if s.fault != nil {
		f = s.fault(method, key)
	}
	s.mu.Unlock()
	if f.silent {
		<-ctx.Done()
		return driver.ErrIndeterminate
	}
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return driver.ErrIndeterminate
	}
	if f.refused {
		return driver.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (driver.Item, error) {
	if err := s.await(ctx, "get", key); err != nil {
		return driver.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if item, exists := s.items[key]; exists {
		return item, nil
	}
	return driver.NewItem(key, nil, driver.RevisionAbsent), driver.ErrNotFound
}

func (s *fakeStore) List(ctx context.Context, prefix string) (items []driver.Item, revision uint64, err error) {
	if err = s.await(ctx, "list", prefix); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			items = append(items, item)
		}
	}
	return items, s.revision, nil
}

func (s *fakeStore) Commit(ctx context.Context, txn driver.Txn) (uint64, error) {
	if err := s.await(ctx, "commit", txn.Puts[0].Key); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.items[c.Key].Revision() != c.Revision {
			return 0, driver.ErrConflict
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.items[p.Key] = driver.NewItem(p.Key, p.Value, s.revision)
	}
	for _, key := range txn.Deletes {
		delete(s.items, key)
	}
	return s.revision, nil
}

func (s *fakeStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []driver.Change, revision uint64, err error) {
	if err = s.await(ctx, "changes", prefix); err != nil {
		return nil, 0, err
	}
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		for key, item := range s.items {
			if len(key) >= len(prefix) && key[:len(prefix)] == prefix && item.Revision() > after {
				changes = append(changes, driver.Change{Item: item})
			}
		}
		revision = s.revision
		s.mu.Unlock()
		if len(changes) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return changes, max(revision, after), ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}
