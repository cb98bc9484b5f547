package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/fence"
	"github.com/jasminebay/jasminebay/internal/gate"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// bodyTimeout bounds how long an entry may take to send a request's body.
	bodyTimeout = 30 * time.Second
	// lookupGrace is how long a question for a request waits for the request to arrive.
	lookupGrace = 250 * time.Millisecond
	lookupPoll  = 10 * time.Millisecond
)

// request is one request while this agent has it.
type request struct {
	head     *peerpb.RequestHead
	body     []byte
	deadline time.Time
	stream   *peer.Stream
	upstream *upstream
	// address is where the upstream is called.
	address string
	verdict chan gate.Verdict
	fenced  bool
}

// serveRequest runs one request and answers on its stream.
func (a *Agent) serveRequest(ctx context.Context, stream *peer.Stream, head *peerpb.RequestHead) {
	r := &request{
		head:     head,
		stream:   stream,
		deadline: time.Now().Add(time.Duration(head.GetTimeoutMicros()) * time.Microsecond),
		verdict:  make(chan gate.Verdict, 1),
		fenced:   head.GetKeyed() || !head.GetIdempotent(),
	}
	if head.GetIncarnation() != a.incarnation {
		a.refuse(r, peerpb.Reason_REASON_STALE_INCARNATION, 0)
		return
	}
	if head.GetBodyBytes() > peer.BodyMaxBytes || head.GetBodyBytes() < 0 {
		a.refuse(r, peerpb.Reason_REASON_TOO_LARGE, 0)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if a.bodies.Acquire(ctx, head.GetBodyBytes()) != nil {
		a.refuse(r, peerpb.Reason_REASON_FULL, 0)
		return
	}
	defer a.bodies.Release(head.GetBodyBytes())
	stream.SetDeadline(time.Now().Add(bodyTimeout))
	body, err := stream.ReceiveBody(head.GetBodyBytes(), peer.BodyMaxBytes)
	if err != nil {
		a.log.Info("request body was not received", "request", head.GetId(), "error", err.Error())
		return
	}
	stream.SetDeadline(time.Time{})
	r.body = body
	watched := a.watchCaller(cancel, stream)
	a.admit(ctx, r)
	stream.Close()
	<-watched
}

// watchCaller cancels the request when the entry closes the stream.
func (a *Agent) watchCaller(cancel context.CancelFunc, stream *peer.Stream) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = stream.Receive()
		cancel()
	}()
	return done
}

func (a *Agent) admit(ctx context.Context, r *request) {
	var earlier *fence.Record
	if a.loop.Do(func() { earlier = a.offer(r) }) != nil {
		return
	}
	if earlier != nil {
		a.replay(ctx, r.stream, earlier)
		return
	}
	select {
	case v := <-r.verdict:
		a.decide(ctx, r, v)
	case <-ctx.Done():
		withdrawn := false
		_ = a.loop.Do(func() { withdrawn = r.upstream != nil && r.upstream.gate.Cancel(r.head.GetId()) })
		if withdrawn {
			a.forget(r)
			a.refuse(r, peerpb.Reason_REASON_EXPIRED, 0)
			return
		}
		a.decide(ctx, r, <-r.verdict)
	}
}

// offer fences the request and asks the gate; it runs on the loop. It returns an earlier
// record of the same id, if there is one.
func (a *Agent) offer(r *request) (earlier *fence.Record) {
	now := time.Now()
	r.upstream = a.upstreamFor(r.head.GetService())
	if r.upstream == nil {
		r.verdict <- gate.Verdict{Reason: peerpb.Reason_REASON_NO_UPSTREAM}
		return nil
	}
	r.address = r.upstream.address
	// An idempotent request has a record as well, so that a cancellation that overtakes it holds.
	earlier, full := a.control.records.Begin(now, r.head.GetId(), r.head.GetKeyed())
	if earlier != nil {
		return earlier
	}
	if full {
		r.verdict <- gate.Verdict{Reason: peerpb.Reason_REASON_FULL}
		return nil
	}
	r.upstream.gate.Submit(now, &gate.Request{
		ID:       r.head.GetId(),
		Kind:     r.head.GetKind(),
		Urgency:  int(r.head.GetUrgency()),
		Deadline: r.deadline,
		Target:   a.target(r.head),
		Waited:   time.Duration(r.head.GetAgeMicros()) * time.Microsecond,
		Notify:   func(v gate.Verdict) { r.verdict <- v },
	})
	return nil
}

// target returns the time in which callers want the answer, 0 if it is not known.
func (a *Agent) target(h *peerpb.RequestHead) time.Duration {
	for _, k := range a.control.slice.GetKinds() {
		if k.GetService() == h.GetService() && k.GetKind() == h.GetKind() {
			return time.Duration(k.GetTargetMicros()) * time.Microsecond
		}
	}
	return 0
}

func (a *Agent) decide(ctx context.Context, r *request, v gate.Verdict) {
	if !v.Admitted {
		a.forget(r)
		a.refuse(r, v.Reason, v.RetryAfter)
		return
	}
	// A process that was paused while it waited finds its deadline passed here.
	if ctx.Err() != nil {
		a.forget(r)
		a.release(r)
		a.refuse(r, peerpb.Reason_REASON_EXPIRED, 0)
		return
	}
	a.call(ctx, r)
}

// call sends the request to the upstream and its answer to the entry.
func (a *Agent) call(ctx context.Context, r *request) {
	began := time.Now()
	answer, err := a.options.Upstream.Do(ctx, r.address, driver.Request{
		ID: r.head.GetId(), Kind: r.head.GetKind(), Path: r.head.GetPath(),
		ContentType: r.head.GetContentType(), Body: r.body,
	})
	if errors.Is(err, driver.ErrNotSent) {
		a.forget(r)
		a.release(r)
		a.refuse(r, peerpb.Reason_REASON_NO_UPSTREAM, 0)
		return
	}
	if err != nil {
		a.abandon(r)
		a.log.Warn("upstream gave no answer", "request", r.head.GetId(), "error", err.Error())
		_ = r.stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, State: a.state(r), Detail: "the upstream gave no answer"}))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	a.forward(r, answer, began)
}

// buffers holds buffers of peer.ChunkBytes for answers.
var buffers = sync.Pool{New: func() any { b := make([]byte, peer.ChunkBytes); return &b }}

// forward passes the upstream's answer on, a small one in one write; only a whole answer
// ends with complete.
func (a *Agent) forward(r *request, answer driver.Response, began time.Time) {
	head := &peerpb.ResponseHead{Status: int32(answer.Status), Upstream: a.options.ID}
	for _, h := range answer.Headers {
		head.Headers = append(head.Headers, &peerpb.Header{Name: h[0], Value: h[1]})
	}
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	kept := &fence.Response{Head: head}
	frames := []*peerpb.Frame{peer.ResponseFrame(head)}
	var sendErr error
	for {
		n, err := fill(answer.Body, *buffer)
		part := (*buffer)[:n]
		if r.head.GetKeyed() && len(kept.Body) <= fence.MaxResponseBytes {
			kept.Body = append(kept.Body, part...)
		}
		if n > 0 {
			frames = append(frames, peer.ChunkFrame(part))
		}
		if err != nil {
			frames = append(frames, peer.EndFrame(a.endOf(r, err, kept, began)))
		}
		if sendErr == nil {
			sendErr = r.stream.Send(frames...)
		}
		if err != nil {
			return
		}
		frames = frames[:0]
	}
}

// fill reads until the buffer is full or the body ends; its error tells a whole body,
// io.EOF, from one that broke off.
func fill(body io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = body.Read(buffer[n:])
		n += m
	}
	return n, err
}

// endOf records how the upstream's answer ended and returns what the entry is told.
func (a *Agent) endOf(r *request, err error, kept *fence.Response, began time.Time) *peerpb.End {
	if !errors.Is(err, io.EOF) {
		a.abandon(r)
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, State: a.state(r), Detail: "the upstream's answer broke off"}
	}
	end := &peerpb.End{Complete: true, Outcome: peerpb.Outcome_OUTCOME_ANSWERED}
	_ = a.loop.Do(func() {
		now := time.Now()
		a.control.records.Finish(now, r.head.GetId(), fence.StateAnswered, kept)
		r.upstream.gate.Release(now, r.head.GetId())
		r.upstream.window.add(now, r.head.GetKind(), now.Sub(began))
		end.State = a.upstreamState(now, r.upstream)
	})
	return end
}

func (a *Agent) abandon(r *request) {
	_ = a.loop.Do(func() {
		now := time.Now()
		a.control.records.Finish(now, r.head.GetId(), fence.StateUnknown, nil)
		r.upstream.gate.Abandon(now, r.head.GetId())
	})
}

func (a *Agent) forget(r *request) {
	_ = a.loop.Do(func() { a.control.records.Forget(r.head.GetId()) })
}

func (a *Agent) release(r *request) {
	_ = a.loop.Do(func() { r.upstream.gate.Release(time.Now(), r.head.GetId()) })
}

func (a *Agent) refuse(r *request, reason peerpb.Reason, retryAfter time.Duration) {
	a.options.Metrics.Refusals.WithLabelValues(reason.String()).Inc()
	a.log.Info("request refused", "request", r.head.GetId(), "service", r.head.GetService(), "reason", reason.String())
	_ = r.stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: reason, RetryAfterMillis: retryAfter.Milliseconds(), State: a.state(r)}))
	r.stream.Close()
}

// state returns the fresh state that travels on each answer, or nil.
func (a *Agent) state(r *request) (state *peerpb.UpstreamState) {
	_ = a.loop.Do(func() {
		if r.upstream != nil {
			state = a.upstreamState(time.Now(), r.upstream)
		}
	})
	return state
}

// replay answers a repeated request from the record of its first run.
func (a *Agent) replay(ctx context.Context, stream *peer.Stream, record *fence.Record) {
	select {
	case <-record.Ended():
	case <-ctx.Done():
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Detail: "the first request with this id is still running"}))
		return
	}
	var state fence.State
	var answer *fence.Response
	if a.loop.Do(func() { state, answer = record.State(), record.Response() }) != nil {
		return
	}
	switch state {
	case fence.StateAnswered:
		if stream.Send(peer.ResponseFrame(answer.Head)) == nil {
			_ = stream.SendBody(answer.Body, &peerpb.End{Complete: true, Outcome: peerpb.Outcome_OUTCOME_ANSWERED})
		}
	case fence.StateRan:
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Detail: "the request ran; its answer is no longer held"}))
	case fence.StateCancelled:
		_ = stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: peerpb.Reason_REASON_CANCELLED}))
	default:
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Detail: "the upstream gave no answer to the first request"}))
	}
}

// serveLookup answers from the record of a request, or proves that it will never run.
func (a *Agent) serveLookup(ctx context.Context, stream *peer.Stream, l *peerpb.Lookup) {
	defer stream.Close()
	if l.GetIncarnation() != a.incarnation {
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Detail: "the agent has restarted since"}))
		return
	}
	a.awaitRecord(ctx, l.GetId())
	var record *fence.Record
	if a.loop.Do(func() {
		a.control.records.Cancel(time.Now(), l.GetId())
		record = a.control.records.Lookup(l.GetId())
	}) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.GetTimeoutMicros())*time.Microsecond)
	defer cancel()
	a.replay(ctx, stream, record)
}

// awaitRecord gives a request whose key has just been claimed the time to arrive, so that
// a question that overtakes it need not cancel it.
func (a *Agent) awaitRecord(ctx context.Context, id string) {
	for began := time.Now(); time.Since(began) < lookupGrace && ctx.Err() == nil; loop.Pause(ctx, lookupPoll) {
		known := false
		if a.loop.Do(func() { known = a.control.records.Lookup(id) != nil }) != nil || known {
			return
		}
	}
}

// serveCancel makes sure that a request never starts, if it has not yet.
func (a *Agent) serveCancel(stream *peer.Stream, c *peerpb.Cancel) {
	defer stream.Close()
	notRun := false
	if c.GetIncarnation() == a.incarnation {
		_ = a.loop.Do(func() { notRun = a.cancel(c.GetId()) })
	}
	_ = stream.Send(peer.CancelReplyFrame(&peerpb.CancelReply{NotRun: notRun}))
}

// cancel proves that a request has not run and never will; it runs on the loop.
func (a *Agent) cancel(id string) bool {
	for _, u := range a.control.upstreams {
		if u.gate.Cancel(id) {
			a.control.records.Forget(id)
		}
	}
	return a.control.records.Cancel(time.Now(), id)
}
