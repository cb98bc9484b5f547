package route

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Request is a caller's request.
type Request struct {
	ID          string
	Service     string
	Kind        string
	Urgency     int
	Idempotent  bool
	Key         string
	Path        string
	ContentType string
	Body        []byte
	// ReceivedAt is when the request came, at this entry or the one that spilled it.
	ReceivedAt    time.Time
	Deadline time.Time
	// Spilled tells that the request came from another data centre and must stay here.
	Spilled bool
}

// NewID returns a new request id.
func NewID() string {
	return "r-" + strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}

// fenced reports whether a claim must name the agent before the request is sent.
func (q *Request) fenced() bool { return q.Key != "" && !q.Idempotent }

// Outcome tells what became of a request.
type Outcome int

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
	OutcomeRan
)

// String returns the outcome's name for logs, metrics and callers.
func (o Outcome) String() string {
	return [...]string{"none", "answered", "not-run", "unknown", "ran"}[o]
}

// Reply is what a caller is told. Close must be called once the body has been passed on.
type Reply struct {
	Outcome    Outcome
	Reason     peerpb.Reason
	Detail     string
	RetryAfter time.Duration
	Head       *peerpb.ResponseHead
	// Body is the whole answer, or its beginning if Partial is true.
	Body    []byte
	Partial bool

	stream *peer.Stream
	finish func(verdict)
	// fresh is the word of the agent that came with the answer, or nil.
	fresh *peerpb.UpstreamState
}

// Next returns the next part of a partial body, and nil after the last one. An error tells
// that the answer broke off, and must not be passed off as whole.
func (r *Reply) Next() ([]byte, error) {
	f, err := r.stream.Receive()
	if err != nil {
		r.end(verdictFailed)
		return nil, err
	}
	if c := f.GetChunk(); c != nil {
		return c.GetData(), nil
	}
	if e := f.GetEnd(); e != nil && e.GetComplete() {
		r.end(verdictSucceeded)
		return nil, nil
	}
	r.end(verdictFailed)
	return nil, peer.ErrProtocol
}

// Close gives back what the reply holds.
func (r *Reply) Close() {
	r.end(verdictNone)
	if r.stream != nil {
		r.stream.Close()
	}
}

// end tells once what the whole answer says of the upstream's health.
func (r *Reply) end(v verdict) {
	if r.finish != nil {
		r.finish(v)
		r.finish = nil
	}
}

func notRun(reason peerpb.Reason, detail string, retryAfter time.Duration) *Reply {
	return &Reply{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

func unknown(detail string) *Reply {
	return &Reply{Outcome: OutcomeUnknown, Detail: detail}
}
