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

func (c *storeClient) unavailable() error {
	if c.down || c.disconnected {
		return driver.ErrUnavailable
	}
	return nil
}

func (c *storeClient) Get(_ context.Context, key string) (driver.Item, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.unavailable(); err != nil {
		return driver.Item{}, err
	}
	i, ok := c.items[key]
	if !ok {
		return driver.Item{}, driver.ErrNotFound
	}
	return i, nil
}

func (c *storeClient) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte, _ driver.Lease) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.unavailable(); err != nil {
		return 0, err
	}
	if c.items[key].Revision() != revision {
		return 0, driver.ErrConflict
	}
	if len(value) > driver.StoreMaxValueBytes {
		return 0, driver.ErrTooLarge
	}
	c.revision++
	c.items[key] = driver.NewItem(key, slices.Clone(value), c.revision)
	if c.repliesToLose > 0 {
		c.repliesToLose--
		return 0, driver.ErrIndeterminate
	}
	return c.revision, nil
}

func (c *storeClient) Delete(_ context.Context, key string, _ uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.unavailable(); err != nil {
		return err
	}
	delete(c.items, key)
	return nil
}

func (c *storeClient) List(context.Context, string) ([]driver.Item, uint64, error) {
	return nil, 0, driver.ErrUnavailable
}
func (c *storeClient) Grant(context.Context, time.Duration) (driver.Lease, error) {
	return "", driver.ErrUnavailable
}
func (c *storeClient) Renew(context.Context, driver.Lease) error { return driver.ErrUnavailable }
func (c *storeClient) Watch(context.Context, string, uint64, time.Duration) (uint64, error) {
	return 0, driver.ErrUnavailable
}
