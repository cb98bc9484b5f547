// Package redial keeps a session to each of a changing set of addresses.
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
	round    = 200 * time.Millisecond
	delayMin = 100 * time.Millisecond
	// lasting is how long a session must have lived for the next delay to be short again.
	lasting = 3 * time.Second
)

// Options configures Keep.
type Options struct {
	// Addresses returns the addresses that are wanted now.
	Addresses func() []string
	// Session dials an address and serves the session until it ends.
	Session func(ctx context.Context, address string) error
	// DelayMax bounds the delay before an address is dialled again.
	DelayMax time.Duration
	Log      *slog.Logger
}

// Keep keeps a session to each address until ctx ends, and closes the returned channel
// once all sessions have ended. An address is dialled again after a jittered delay that
// doubles while it fails.
func Keep(ctx context.Context, o Options) <-chan struct{} {
	return loop.Go(ctx, func(ctx context.Context) {
		var wait sync.WaitGroup
		defer wait.Wait()
		kept := map[string]<-chan struct{}{}
		for ctx.Err() == nil {
			for _, address := range o.Addresses() {
				if end := kept[address]; end != nil && !ended(end) {
					continue
				}
				end := make(chan struct{})
				kept[address] = end
				wait.Go(func() {
					defer close(end)
					o.keep(ctx, address)
				})
			}
			loop.Pause(ctx, round)
		}
	})
}

func ended(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// keep dials one address until a session has lasted or the address is not wanted any more.
func (o Options) keep(ctx context.Context, address string) {
	for delay := delayMin; ctx.Err() == nil; delay = min(2*delay, o.DelayMax) {
		began := time.Now()
		err := o.Session(ctx, address)
		if ctx.Err() != nil {
			return
		}
		text := ""
		if err != nil {
			text = err.Error()
		}
		o.Log.Info("session ended", "address", address, "error", text)
		loop.Pause(ctx, delayMin/2+rand.N(delay))
		if time.Since(began) > lasting || !slices.Contains(o.Addresses(), address) {
			return
		}
	}
}
