// Package redial maintains a session to each of a changing set of addresses, with
// exponential backoff.
package redial

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/loop"
)

const (
	// refreshInterval is how often the set of addresses is read.
	refreshInterval = 200 * time.Millisecond
	minDelay        = 100 * time.Millisecond
	// backoffResetAfter is how long a session must have lasted to reset the backoff.
	backoffResetAfter = 3 * time.Second
)

// Options configures Maintain.
type Options struct {
	// Addresses returns the current set of addresses.
	Addresses func() []string
	// RunSession dials an address and serves the session until it ends.
	RunSession func(ctx context.Context, address string) error
	// MaxDelay caps the backoff before an address is dialled again.
	MaxDelay time.Duration
	Log      *slog.Logger
}

// Maintain keeps a session to each address until ctx ends, and closes the returned channel
// once all sessions have ended. An address is dialled again after a backoff with jitter, which
// doubles with each session that ends early.
func Maintain(ctx context.Context, o Options) <-chan struct{} {
	return loop.Go(ctx, func(ctx context.Context) {
		var wait sync.WaitGroup
		defer wait.Wait()
		sessions := map[string]<-chan struct{}{}
		for ctx.Err() == nil {
			for _, address := range o.Addresses() {
				if done := sessions[address]; done != nil && !isClosed(done) {
					continue
				}
				done := make(chan struct{})
				sessions[address] = done
				wait.Go(func() {
					defer close(done)
					o.dialWithBackoff(ctx, address)
				})
			}
			loop.Pause(ctx, refreshInterval)
		}
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// dialWithBackoff dials one address again and again until a session has lasted long enough to
// reset the backoff or Addresses no longer returns the address.
func (o Options) dialWithBackoff(ctx context.Context, address string) {
	for delay := minDelay; ctx.Err() == nil; delay = min(2*delay, o.MaxDelay) {
		started := time.Now()
		err := o.RunSession(ctx, address)
		if ctx.Err() != nil {
			return
		}
		text := ""
		if err != nil {
			text = err.Error()
		}
		o.Log.Info("session ended", "address", address, "error", text)
		loop.Pause(ctx, minDelay/2+rand.N(delay))
		if time.Since(started) > backoffResetAfter || !slices.Contains(o.Addresses(), address) {
			return
		}
	}
}
