package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// memoryStore is the key-value service in memory.
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]driver.Item
	revision uint64
	down     bool
	lose     int
}

// handle is one owner's way to the store; it can be cut.
type handle struct {
	*memoryStore
	cut bool
}

func (h *handle) fault() error {
	if h.down || h.cut {
		return driver.ErrUnavailable
	}
	return nil
}

func (h *handle) Get(_ context.Context, key string) (driver.Item, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.fault(); err != nil {
		return driver.Item{}, err
	}
	i, ok := h.items[key]
	if !ok {
		return driver.Item{}, driver.ErrNotFound
	}
	return i, nil
}

func (h *handle) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte, _ driver.Lease) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.fault(); err != nil {
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
	if h.lose > 0 {
		h.lose--
		return 0, driver.ErrIndeterminate
	}
	return h.revision, nil
}

func (h *handle) Delete(_ context.Context, key string, _ uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.fault(); err != nil {
		return err
	}
	delete(h.items, key)
	return nil
}

func (h *handle) List(context.Context, string) ([]driver.Item, uint64, error) {
	return nil, 0, driver.ErrUnavailable
}
func (h *handle) Grant(context.Context, time.Duration) (driver.Lease, error) {
	return "", driver.ErrUnavailable
}
func (h *handle) Renew(context.Context, driver.Lease) error { return driver.ErrUnavailable }
func (h *handle) Watch(context.Context, string, uint64, time.Duration) (uint64, error) {
	return 0, driver.ErrUnavailable
}
