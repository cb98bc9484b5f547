package client

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// repeats tells whether net/http repeats a request by itself after a connection that ended without a
// response.
type repeats struct {
	mu sync.Mutex
	// waiting is set while a request has a connection but no response.
	waiting bool
	// unanswered is set once a request that may have been received got no response.
	unanswered bool
}

// trace returns a context for the request to be observed.
func (r *repeats) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.unanswered = r.unanswered || r.waiting
			r.waiting = true
		},
		GotFirstResponseByte: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.waiting = false
		},
	})
}

// correct returns the outcome that holds for all requests, given that of the last one.
func (r *repeats) correct(outcome string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unanswered && outcome == OutcomeNotRun {
		return OutcomeUnknown
	}
	return outcome
}
