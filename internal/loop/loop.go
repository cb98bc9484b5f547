// Package loop runs functions one after another on the goroutine that owns a role's
// control state.
package loop

import (
	"context"
	"errors"
)

// ErrStopped tells that the loop has ended and the function did not run.
var ErrStopped = errors.New("loop: stopped")

const backlog = 1024

// Loop is a queue of functions with one goroutine that runs them.
type Loop struct {
	calls chan func()
	done  chan struct{}
}

// New returns a Loop; nothing runs before Run is called.
func New() *Loop {
	return &Loop{calls: make(chan func(), backlog), done: make(chan struct{})}
}

// Run runs the functions until ctx ends and then closes Done. It must be called once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.calls:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Post queues f; it blocks while the queue is full and drops f if the loop has ended.
func (l *Loop) Post(f func()) {
	select {
	case l.calls <- f:
	case <-l.done:
	}
}

// Do runs f on the loop and waits until it has run, or returns ErrStopped.
func (l *Loop) Do(f func()) error {
	ran := make(chan struct{})
	l.Post(func() {
		defer close(ran)
		f()
	})
	select {
	case <-ran:
		return nil
	case <-l.done:
		return ErrStopped
	}
}
