// Package fence records request ids for deduplication, so that a request runs at most once on
// an agent, and is reported as not run only if that is certain.
package fence

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Retention and limits of records.
const (
	// IdempotencyWindow is how long callers may retry with the same idempotency key.
	IdempotencyWindow = 15 * time.Minute
	// keyedRetention outlasts IdempotencyWindow by more than a request's longest timeout.
	keyedRetention = IdempotencyWindow + 11*time.Minute
	// plainRetention outlasts the longest timeout, after which no entry asks about the request.
	plainRetention = 11 * time.Minute
	// MaxRecords bounds the number of records.
	MaxRecords = 200_000
	// MaxResponseBytes bounds the body of a response that is stored for retries.
	MaxResponseBytes = 64 << 10
	// maxStoredBytes bounds the bodies of all stored responses together.
	maxStoredBytes = 24 << 20
)

// State is what is known about a request.
type State int

// States of a request.
const (
	// StateRunning is a request that may be running.
	StateRunning State = iota + 1
	// StateAnswered is a request that ran and whose response is stored.
	StateAnswered
	// StateRan is a request that ran and whose response is not stored.
	StateRan
	// StateUnknown is a request of which it is unknown whether it ran.
	StateUnknown
	// StateCancelled is a request that has not run and never will.
	StateCancelled
)

// Response is a complete response that is stored for retries.
type Response struct {
	Head *peerpb.ResponseHead
	Body []byte
}

// Record is the state of one request id.
type Record struct {
	state    State
	response *Response
	expires  time.Time
	// keyed reports whether the request carries an idempotency key.
	keyed bool
	ended chan struct{}
}

// State returns the state of the request.
func (r *Record) State() State { return r.state }

// Response returns the stored response, or nil.
func (r *Record) Response() *Response { return r.response }

// Ended returns a channel that is closed when the request is no longer running.
func (r *Record) Ended() <-chan struct{} { return r.ended }

// Records holds the records of one agent; it is not safe for concurrent use.
type Records struct {
	records map[string]*Record
	// storedBytes is the size of all stored response bodies.
	storedBytes int
}

// New returns empty Records.
func New() *Records { return &Records{records: map[string]*Record{}} }

// Begin records that the request is about to run. It returns the earlier record if there is
// one, and sets full if MaxRecords is reached.
func (r *Records) Begin(now time.Time, id string, keyed bool) (earlier *Record, full bool) {
	if earlier = r.records[id]; earlier != nil {
		return earlier, false
	}
	if len(r.records) >= MaxRecords {
		return nil, true
	}
	r.records[id] = &Record{state: StateRunning, expires: now.Add(retention(keyed)), keyed: keyed, ended: make(chan struct{})}
	return nil, false
}

func retention(keyed bool) time.Duration {
	if keyed {
		return keyedRetention
	}
	return plainRetention
}

// Forget removes the record of a request that was refused and did not run.
func (r *Records) Forget(id string) {
	record := r.records[id]
	if record == nil || record.state != StateRunning {
		return
	}
	record.state = StateCancelled
	close(record.ended)
	delete(r.records, id)
}

// Cancel prevents a request that has not begun from running, and reports whether it is certain
// that it has not run.
func (r *Records) Cancel(now time.Time, id string) bool {
	if record := r.records[id]; record != nil {
		return record.state == StateCancelled
	}
	ended := make(chan struct{})
	close(ended)
	r.records[id] = &Record{state: StateCancelled, expires: now.Add(keyedRetention), ended: ended}
	return true
}

// Finish records how a running request ended. The response may be nil; it is stored only for
// keyed requests and within the limits on size.
func (r *Records) Finish(now time.Time, id string, state State, response *Response) {
	record := r.records[id]
	if record == nil || record.state != StateRunning {
		return
	}
	record.state = state
	record.expires = now.Add(retention(record.keyed))
	if state == StateAnswered {
		record.state = StateRan
		r.store(record, response)
	}
	close(record.ended)
}

// store attaches the response to a keyed record if it is within the limits.
func (r *Records) store(record *Record, response *Response) {
	if !record.keyed || response == nil || len(response.Body) > MaxResponseBytes || r.storedBytes+len(response.Body) > maxStoredBytes {
		return
	}
	record.state = StateAnswered
	record.response = response
	r.storedBytes += len(response.Body)
}

// Lookup returns the record of a request, or nil.
func (r *Records) Lookup(id string) *Record { return r.records[id] }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.records) }

// Expire removes records whose retention has passed, except those of running requests.
func (r *Records) Expire(now time.Time) {
	for id, record := range r.records {
		if record.state == StateRunning || now.Before(record.expires) {
			continue
		}
		if record.response != nil {
			r.storedBytes -= len(record.response.Body)
		}
		delete(r.records, id)
	}
}
