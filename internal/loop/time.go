package loop

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Every calls f at an interval until ctx ends and then closes the returned channel.
func Every(ctx context.Context, interval time.Duration, f func()) <-chan struct{} {
	return Go(ctx, func(ctx context.Context) {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				f()
			case <-ctx.Done():
				return
			}
		}
	})
}

// Go runs f on a goroutine and closes the returned channel at its end.
func Go(ctx context.Context, f func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	return done
}
