// Package claim assigns non-idempotent requests that carry an idempotency key to one agent: a
// claim in the key-value service names the only agent that may have run the key.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/fence"
)

const (
	// leaseRotation is how long new claims are attached to the same lease, which lasts
	// fence.IdempotencyWindow longer.
	leaseRotation    = time.Minute
	maxWriteAttempts = 4
	writeRetryDelay  = 50 * time.Millisecond
	numberBase       = 36
)

// Claim names the agent that may have run a key.
type Claim struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	// Agent is empty if the key was taken back from an agent of a data centre that is evacuated.
	Agent       string `json:"agent"`
	DataCentre  string `json:"data-centre"`
	Incarnation uint64 `json:"incarnation"`
	// Generation counts the agents that the key has been assigned to.
	Generation uint64 `json:"number"`
	// Nonce identifies the write, so that a write with an indeterminate outcome can be recognized.
	Nonce string `json:"nonce"`

	revision uint64
}

// Unassigned reports whether the key is given to no agent, so that it has not run and may be reassigned.
func (c *Claim) Unassigned() bool { return c.Agent == "" }

// RequestID returns the request id that the agent sees.
func (c *Claim) RequestID() string {
	return "k-" + digest(c.Service, c.Key) + "." + strconv.FormatUint(c.Generation, 10)
}

// digest returns two 64-bit hashes of a service and an idempotency key, in base 36.
func digest(service, key string) string {
	h := xxhash.New()
	_, _ = h.WriteString(service + "\x00" + key)
	first := h.Sum64()
	_, _ = h.WriteString("\x00")
	return strconv.FormatUint(first, numberBase) + strconv.FormatUint(h.Sum64(), numberBase)
}

// storeKey returns the key of a claim in the key-value service.
func storeKey(service, key string) string { return "claims/" + service + "/" + digest(service, key) }

// Registry reads and writes claims; it is safe for concurrent use.
type Registry struct {
	store        driver.Store
	mu           sync.Mutex
	lease        driver.Lease
	leaseGranted time.Time
}

// New returns a Registry over a store.
func New(store driver.Store) *Registry { return &Registry{store: store} }

// Create writes the claim c. If the key is claimed already, it returns that claim and false.
// After an error no agent has been given the key by this call, although the claim itself may
// have been written.
func (r *Registry) Create(ctx context.Context, c Claim) (claim *Claim, created bool, err error) {
	defer errs.Annotate(&err, "claim: create")
	c.revision = driver.RevisionAbsent
	return r.write(ctx, c)
}

// Reassign assigns the key of old, which is proved not to have run, to another agent. If
// another call has reassigned it, that claim and false are returned.
func (r *Registry) Reassign(ctx context.Context, old *Claim, agent, dataCentre string, incarnation uint64) (claim *Claim, reassigned bool, err error) {
	defer errs.Annotate(&err, "claim: reassign")
	next := *old
	next.Agent, next.DataCentre, next.Incarnation = agent, dataCentre, incarnation
	next.Generation++
	return r.write(ctx, next)
}

// write stores the claim c if the revision of its key is still c.revision. After a conflict or
// an indeterminate outcome it reads the claim back to find out which write took effect.
func (r *Registry) write(ctx context.Context, c Claim) (*Claim, bool, error) {
	lease, err := r.currentLease(ctx)
	if err != nil {
		return nil, false, err
	}
	c.Nonce = strconv.FormatUint(rand.Uint64(), numberBase)
	value, err := json.Marshal(c)
	if err != nil {
		return nil, false, err
	}
	for range maxWriteAttempts {
		revision, err := r.store.CompareAndSwap(ctx, storeKey(c.Service, c.Key), c.revision, value, lease)
		switch {
		case err == nil:
			c.revision = revision
			return &c, true, nil
		case errors.Is(err, driver.ErrConflict), errors.Is(err, driver.ErrIndeterminate):
		default:
			return nil, false, err
		}
		found, err := r.read(ctx, c.Service, c.Key)
		switch {
		case err == nil && found.Nonce == c.Nonce:
			return found, true, nil
		case err == nil && found.revision != c.revision:
			return found, false, nil
		case err != nil && !errors.Is(err, driver.ErrNotFound):
			return nil, false, err
		}
		time.Sleep(writeRetryDelay)
	}
	return nil, false, driver.ErrUnavailable
}

// Read returns the claim of a key.
func (r *Registry) Read(ctx context.Context, service, key string) (claim *Claim, err error) {
	defer errs.Annotate(&err, "claim: read")
	return r.read(ctx, service, key)
}

func (r *Registry) read(ctx context.Context, service, key string) (*Claim, error) {
	item, err := r.store.Get(ctx, storeKey(service, key))
	if err != nil {
		return nil, err
	}
	c := &Claim{}
	if err := json.Unmarshal(item.Value(), c); err != nil {
		return nil, err
	}
	c.revision = item.Revision()
	return c, nil
}

// currentLease returns a lease that lasts at least fence.IdempotencyWindow. It creates a new one
// every leaseRotation.
func (r *Registry) currentLease(ctx context.Context) (driver.Lease, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease != "" && time.Since(r.leaseGranted) < leaseRotation {
		return r.lease, nil
	}
	requested := time.Now()
	lease, err := r.store.Grant(ctx, fence.IdempotencyWindow+leaseRotation)
	if err != nil {
		return "", err
	}
	r.lease, r.leaseGranted = lease, requested
	return lease, nil
}
