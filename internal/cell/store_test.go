package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// memoryStore is an in-memory key-value service.
type memoryStore struct {
	mu            sync.Mutex
	items         map[string]driver.Item
	revision      uint64
	down          bool
	repliesToLose int
}

// storeClient is one owner's connection to the store, which can be disconnected.
type storeClient struct {
	*memoryStore
	disconnected bool
}

func (h *storeClient) unavailable() error {
	if h.down || h.disconnected {
		return driver.ErrUnavailable
	}
	return nil
}

func (h *storeClient) Get(_ context.Context, key string) (driver.Item, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.unavailable(); err != nil {
		return driver.Item{}, err
	}
	i, ok := h.items[key]
	if !ok {
		return driver.Item{}, driver.ErrNotFound
	}
	return i, nil
}

func (h *storeClient) Swap(_ context.Context, key string, revision uint64, value []byte, _ driver.Lease) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.unavailable(); err != nil {
		return 0, err
	}
	if h.items[key].Revision() != revision {
		return 0, driver.ErrConflict
	}
	if len(value) > driver.StoreMaxValueBytes {
		return 0, driver.ErrTooLarge
	}
	h.revision++
	h.items[key] = driver.NewItem(key, slices.Clone(value), h.revision)
	if h.repliesToLose > 0 {
		h.repliesToLose--
		return 0, driver.ErrAmbiguous
	}
	return h.revision, nil
}

func (h *storeClient) Delete(_ context.Context, key string, _ uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.unavailable(); err != nil {
		return err
	}
	delete(h.items, key)
	return nil
}

func (h *storeClient) List(context.Context, string) ([]driver.Item, uint64, error) {
	return nil, 0, driver.ErrUnavailable
}
func (h *storeClient) Grant(context.Context, time.Duration) (driver.Lease, error) {
	return "", driver.ErrUnavailable
}
func (h *storeClient) Renew(context.Context, driver.Lease) error { return driver.ErrUnavailable }
func (h *storeClient) Watch(context.Context, string, uint64, time.Duration) (uint64, error) {
	return 0, driver.ErrUnavailable
}
