// Package loop runs functions one after another on a single goroutine, which owns the control
// state of a role and so needs no locks for it.
package loop

import (
	"context"
	"errors"
)

// ErrStopped is returned by Do if the loop ended before the function had run.
var ErrStopped = errors.New("loop: stopped")

const queueCapacity = 1024

// Loop is a queue of functions that one goroutine runs.
type Loop struct {
	calls chan func()
	done  chan struct{}
}

// New returns a Loop. Posted functions run once Run is called.
func New() *Loop {
	return &Loop{calls: make(chan func(), queueCapacity), done: make(chan struct{})}
}

// Run runs the queued functions until ctx ends and then closes Done. It must be called exactly
// once.
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

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Post queues f. It blocks while the queue is full and drops f if the loop has ended.
func (l *Loop) Post(f func()) {
	select {
	case l.calls <- f:
	case <-l.done:
	}
}

// Do runs f on the loop and waits until it has run. It returns ErrStopped if the loop ends
// first. It must not be called from the loop itself, which would deadlock.
func (l *Loop) Do(f func()) error {
	ran := make(chan struct{})
	l.Post(func() {
		defer close(ran)
		f()
	})
	return l.wait(ran)
}

// wait waits until a function has run, which it may have though the loop has ended.
func (l *Loop) wait(ran <-chan struct{}) error {
	select {
	case <-ran:
		return nil
	case <-l.done:
	}
	select {
	case <-ran:
		return nil
	default:
		return ErrStopped
	}
}
