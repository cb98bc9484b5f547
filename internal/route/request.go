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
	// ReceivedAt is when this entry, or the one that spilled the request, received it.
	ReceivedAt time.Time
	Deadline   time.Time
	// Spilled reports whether the request was sent by an entry in another data centre. It must not be
	// spilled again.
	Spilled bool
}

// NewID returns a new request id.
func NewID() string {
	return "r-" + strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
}

// needsClaim reports whether the idempotency key must be claimed for an agent before the request
// is sent there.
func (r *Request) needsClaim() bool { return r.Key != "" && !r.Idempotent }

// Outcome is what is known about whether a request ran.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeAnswered is a request with a response of the upstream.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun is a request that has not run and never will.
	OutcomeNotRun
	// OutcomeUnknown is a request of which it is unknown whether it ran.
	OutcomeUnknown
	// OutcomeRan is a request that ran, but whose response is no longer available.
	OutcomeRan
)

// String returns the name of the outcome in logs, metrics and responses to callers.
func (o Outcome) String() string {
	return [...]string{"none", "answered", "not-run", "unknown", "ran"}[o]
}

// Reply is the result of a request. Close must be called once the body has been passed on.
type Reply struct {
	Outcome    Outcome
	Reason     peerpb.Reason
	Detail     string
	RetryAfter time.Duration
	Head       *peerpb.ResponseHead
	// Body is the complete body of the response, or its beginning if Partial is true.
	Body    []byte
	Partial bool

	stream *peer.Stream
	// onEnd is called once when the reply has ended; it may be nil.
	onEnd func(healthSignal)
	// upstreamState is the state that the agent sent with the reply, or nil.
	upstreamState *peerpb.UpstreamState
}

// Next returns the next part of a partial body, or nil after the last one. After an error the
// body is truncated and must not be presented as complete.
func (r *Reply) Next() ([]byte, error) {
	f, err := r.stream.Receive()
	if err != nil {
		r.end(signalFailure)
		return nil, err
	}
	if c := f.GetChunk(); c != nil {
		return c.GetData(), nil
	}
	if e := f.GetEnd(); e != nil && e.GetComplete() {
		r.end(signalSuccess)
		return nil, nil
	}
	r.end(signalFailure)
	return nil, peer.ErrProtocol
}

// Close releases the stream of the reply.
func (r *Reply) Close() {
	r.end(signalNone)
	if r.stream != nil {
		r.stream.Close()
	}
}

// end calls onEnd with the health signal of the request, once.
func (r *Reply) end(signal healthSignal) {
	if r.onEnd != nil {
		r.onEnd(signal)
		r.onEnd = nil
	}
}

func notRunReply(reason peerpb.Reason, detail string, retryAfter time.Duration) *Reply {
	return &Reply{Outcome: OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

func unknownReply(detail string) *Reply {
	return &Reply{Outcome: OutcomeUnknown, Detail: detail}
}
