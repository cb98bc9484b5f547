// Package fence remembers request ids, so that a request runs at most once on an agent
// and "not run" is said only when that is certain.
package fence

import (
	"time"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Retention of records.
const (
	// IdempotencyWindow is how long callers may repeat an idempotency key.
	IdempotencyWindow = 15 * time.Minute
	// keyedRetention outlasts Window by more than a request's longest timeout.
	keyedRetention = IdempotencyWindow + 11*time.Minute
	// plainRetention outlasts the longest timeout, after which no entry asks any more.
	plainRetention = 11 * time.Minute
	// MaxRecords bounds the number of records.
	MaxRecords = 200_000
	// MaxResponseBytes bounds an answer that is kept for repeats.
	MaxResponseBytes = 64 << 10
	// answersMaxBytes bounds all kept answers together.
	answersMaxBytes = 24 << 20
)

// State tells what is known of a request.
type State int

// States of a request.
const (
	StateRunning State = iota + 1
	StateAnswered
	StateRan
	StateUnknown
	StateCancelled
)

// Response is a whole answer that is kept for repeats.
type Response struct {
	Head *peerpb.ResponseHead
	Body []byte
}

// Record is what is known of one request id.
type Record struct {
	state   State
	answer  *Response
	expires time.Time
	keyed   bool
	ended   chan struct{}
}

// State returns what is known.
func (r *Record) State() State { return r.state }

// Response returns the kept answer, or nil.
func (r *Record) Response() *Response { return r.answer }

// Ended is closed when the request is no longer running.
func (r *Record) Ended() <-chan struct{} { return r.ended }

// Records holds the records of one agent; it is not safe for concurrent use.
type Records struct {
	records map[string]*Record
	bytes   int
}

// New returns empty Records.
func New() *Records { return &Records{records: map[string]*Record{}} }

// Begin records that the request is about to run. It returns the earlier record if there
// is one, and full if there is no room to remember another request.
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

// Cancel makes sure that a request that has not begun never does, and reports whether it
// is certain that it has not run.
func (r *Records) Cancel(now time.Time, id string) bool {
	if record := r.records[id]; record != nil {
		return record.state == StateCancelled
	}
	ended := make(chan struct{})
	close(ended)
	r.records[id] = &Record{state: StateCancelled, expires: now.Add(keyedRetention), ended: ended}
	return true
}

// Finish records how a running request ended. The answer may be nil; it is kept only for
// keyed requests and only while there is room.
func (r *Records) Finish(now time.Time, id string, state State, answer *Response) {
	record := r.records[id]
	if record == nil || record.state != StateRunning {
		return
	}
	record.state = state
	record.expires = now.Add(retention(record.keyed))
	if state == StateAnswered {
		record.state = StateRan
		r.keep(record, answer)
	}
	close(record.ended)
}

func (r *Records) keep(record *Record, answer *Response) {
	if !record.keyed || answer == nil || len(answer.Body) > MaxResponseBytes || r.bytes+len(answer.Body) > answersMaxBytes {
		return
	}
	record.state = StateAnswered
	record.answer = answer
	r.bytes += len(answer.Body)
}

// Lookup returns the record of a request, or nil.
func (r *Records) Lookup(id string) *Record { return r.records[id] }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.records) }

// Expire drops records whose retention has passed; running ones stay.
func (r *Records) Expire(now time.Time) {
	for id, record := range r.records {
		if record.state == StateRunning || now.Before(record.expires) {
			continue
		}
		if record.answer != nil {
			r.bytes -= len(record.answer.Body)
		}
		delete(r.records, id)
	}
}
