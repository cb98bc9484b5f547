package loop

import (
	"context"
	"time"
)

// Pause waits until d has passed or ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Every starts a goroutine that calls f at the given interval until ctx ends, and closes the
// returned channel when it has stopped. The first call is one interval after the start.
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

// Go runs f on a new goroutine and closes the returned channel when f returns.
func Go(ctx context.Context, f func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	return done
}

// yieldTime is short, since the goroutine that yields has work to do.
const yieldTime = 20 * time.Microsecond

// Yield lets goroutines run that wait for the processor or for the network. The scheduler polls the
// network only when nothing is runnable, which a goroutine that calls runtime.Gosched stays, and its
// monitor thread may get no turn in a process that has a fraction of a processor.
func Yield() { time.Sleep(yieldTime) }
