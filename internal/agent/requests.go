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
	// bodyTimeout bounds the time that an entry may take to send a request body.
	bodyTimeout = 30 * time.Second
	// lookupGrace is how long a lookup waits for its request to arrive.
	lookupGrace        = 250 * time.Millisecond
	lookupPollInterval = 10 * time.Millisecond
)

// request is the state of serving one request.
type request struct {
	head     *peerpb.RequestHead
	body     []byte
	deadline time.Time
	stream   *peer.Stream
	upstream *upstream
	// address is the address of the upstream when the request was submitted.
	address string
	verdict chan gate.Verdict
	// fenced reports whether the request must not run twice.
	fenced bool
}

// serveRequest receives one request, runs it and replies on its stream.
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
		a.log.Info("request body could not be received", "request", head.GetId(), "error", err.Error())
		return
	}
	stream.SetDeadline(time.Time{})
	r.body = body
	watched := a.cancelOnClose(cancel, stream)
	a.admit(ctx, r)
	stream.Close()
	<-watched
}

// cancelOnClose cancels the request when the entry closes the stream. From then on no write waits for
// the entry to read, as it may never do so. The returned channel is closed when that has happened.
func (a *Agent) cancelOnClose(cancel context.CancelFunc, stream *peer.Stream) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = stream.Receive()
		cancel()
		stream.SetWriteDeadline(time.Now())
	}()
	return done
}

// admit submits the request to the gate and acts on the verdict.
func (a *Agent) admit(ctx context.Context, r *request) {
	var earlier *fence.Record
	if a.loop.Do(func() { earlier = a.submit(r) }) != nil {
		return
	}
	if earlier != nil {
		a.replay(ctx, r.stream, earlier)
		return
	}
	select {
	case v := <-r.verdict:
		a.handleVerdict(ctx, r, v)
	case <-ctx.Done():
		withdrawn := false
		_ = a.loop.Do(func() { withdrawn = r.upstream != nil && r.upstream.gate.Cancel(r.head.GetId()) })
		if withdrawn {
			a.forget(r)
			a.refuse(r, peerpb.Reason_REASON_EXPIRED, 0)
			return
		}
		a.handleVerdict(ctx, r, <-r.verdict)
	}
}

// submit records the id of the request and submits it to the gate; it runs on the loop. It returns
// the earlier record of the same id, if there is one.
func (a *Agent) submit(r *request) (earlier *fence.Record) {
	now := time.Now()
	r.upstream = a.leastLoadedUpstream(r.head.GetService())
	if r.upstream == nil {
		r.verdict <- gate.Verdict{Reason: peerpb.Reason_REASON_NO_UPSTREAM}
		return nil
	}
	r.address = r.upstream.address
	// Idempotent requests are recorded as well, so that a cancellation takes effect even if it arrives
	// before the request.
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
		Target:   a.latencyTarget(r.head),
		Waited:   time.Duration(r.head.GetAgeMicros()) * time.Microsecond,
		Notify:   func(v gate.Verdict) { r.verdict <- v },
	})
	return nil
}

// latencyTarget returns the target latency of the request's kind, or 0 if it is not known; it runs on
// the loop.
func (a *Agent) latencyTarget(h *peerpb.RequestHead) time.Duration {
	for _, k := range a.control.slice.GetKinds() {
		if k.GetService() == h.GetService() && k.GetKind() == h.GetKind() {
			return time.Duration(k.GetTargetMicros()) * time.Microsecond
		}
	}
	return 0
}

// handleVerdict calls the upstream or refuses the request, according to the gate's verdict.
func (a *Agent) handleVerdict(ctx context.Context, r *request, v gate.Verdict) {
	if !v.Admitted {
		a.forget(r)
		a.refuse(r, v.Reason, v.RetryAfter)
		return
	}
	// The deadline may have passed since the verdict, for example if the process was paused.
	if ctx.Err() != nil {
		a.forget(r)
		a.release(r)
		a.refuse(r, peerpb.Reason_REASON_EXPIRED, 0)
		return
	}
	a.callUpstream(ctx, r)
}

// callUpstream sends the request to the upstream and forwards the response to the entry.
func (a *Agent) callUpstream(ctx context.Context, r *request) {
	start := time.Now()
	response, err := a.options.Upstream.Do(ctx, r.address, driver.Request{
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
		a.log.Warn("call to upstream failed", "request", r.head.GetId(), "error", err.Error())
		_ = r.stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, State: a.currentState(r), Detail: "the upstream gave no answer"}))
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.forwardResponse(r, response, start)
}

// chunkBuffers holds buffers of peer.ChunkBytes for response bodies.
var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, peer.ChunkBytes); return &b }}

// forwardResponse sends the upstream's response to the entry, a small one in one write. The response
// ends with Complete only if its whole body was received.
func (a *Agent) forwardResponse(r *request, response driver.Response, start time.Time) {
	head := &peerpb.ResponseHead{Status: int32(response.Status), Upstream: a.options.ID}
	for _, h := range response.Headers {
		head.Headers = append(head.Headers, &peerpb.Header{Name: h[0], Value: h[1]})
	}
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	stored := &fence.Response{Head: head}
	frames := []*peerpb.Frame{peer.ResponseFrame(head)}
	var sendErr error
	for {
		n, err := readUntilFull(response.Body, *buffer)
		part := (*buffer)[:n]
		if r.head.GetKeyed() && len(stored.Body) <= fence.MaxResponseBytes {
			stored.Body = append(stored.Body, part...)
		}
		if n > 0 {
			frames = append(frames, peer.ChunkFrame(part))
		}
		if err != nil {
			frames = append(frames, peer.EndFrame(a.finishResponse(r, err, stored, start)))
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

// readUntilFull reads until the buffer is full or the body ends. The error is io.EOF at the end of a
// complete body, and another one if the body is truncated.
func readUntilFull(body io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = body.Read(buffer[n:])
		n += m
	}
	return n, err
}

// finishResponse records how the upstream's response ended and returns the end frame for the entry.
func (a *Agent) finishResponse(r *request, err error, stored *fence.Response, start time.Time) *peerpb.End {
	if !errors.Is(err, io.EOF) {
		a.abandon(r)
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, State: a.currentState(r), Detail: "the upstream's answer broke off"}
	}
	end := &peerpb.End{Complete: true, Outcome: peerpb.Outcome_OUTCOME_ANSWERED}
	_ = a.loop.Do(func() {
		now := time.Now()
		a.control.records.Finish(now, r.head.GetId(), fence.StateAnswered, stored)
		r.upstream.gate.Release(now, r.head.GetId())
		r.upstream.latencies.add(now, r.head.GetKind(), now.Sub(start))
		end.State = a.upstreamState(now, r.upstream)
	})
	return end
}

// abandon records that it is unknown whether the request ran; the upstream may still be running it.
func (a *Agent) abandon(r *request) {
	_ = a.loop.Do(func() {
		now := time.Now()
		a.control.records.Finish(now, r.head.GetId(), fence.StateUnknown, nil)
		r.upstream.gate.Abandon(now, r.head.GetId())
	})
}

// forget removes the record of a request that did not run.
func (a *Agent) forget(r *request) {
	_ = a.loop.Do(func() { a.control.records.Forget(r.head.GetId()) })
}

// release frees the slot of a request that was admitted but did not run.
func (a *Agent) release(r *request) {
	_ = a.loop.Do(func() { r.upstream.gate.Release(time.Now(), r.head.GetId()) })
}

// refuse sends a refusal, which proves that the request did not run, and closes the stream.
func (a *Agent) refuse(r *request, reason peerpb.Reason, retryAfter time.Duration) {
	a.options.Metrics.Refusals.WithLabelValues(reason.String()).Inc()
	a.log.Info("request refused", "request", r.head.GetId(), "service", r.head.GetService(), "reason", reason.String())
	_ = r.stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: reason, RetryAfterMillis: retryAfter.Milliseconds(), State: a.currentState(r)}))
	r.stream.Close()
}

// currentState returns the upstream's state to be sent with a reply, or nil if there is no upstream.
func (a *Agent) currentState(r *request) (state *peerpb.UpstreamState) {
	_ = a.loop.Do(func() {
		if r.upstream != nil {
			state = a.upstreamState(time.Now(), r.upstream)
		}
	})
	return state
}

// replay answers a duplicate request from the record of the first one.
func (a *Agent) replay(ctx context.Context, stream *peer.Stream, record *fence.Record) {
	select {
	case <-record.Ended():
	case <-ctx.Done():
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Detail: "the first request with this id is still running"}))
		return
	}
	var state fence.State
	var response *fence.Response
	if a.loop.Do(func() { state, response = record.State(), record.Response() }) != nil {
		return
	}
	switch state {
	case fence.StateAnswered:
		if stream.Send(peer.ResponseFrame(response.Head)) == nil {
			_ = stream.SendBody(response.Body, &peerpb.End{Complete: true, Outcome: peerpb.Outcome_OUTCOME_ANSWERED})
		}
	case fence.StateRan:
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Detail: "the request ran; its answer is no longer held"}))
	case fence.StateCancelled:
		_ = stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: peerpb.Reason_REASON_CANCELLED}))
	default:
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Detail: "the upstream gave no answer to the first request"}))
	}
}

// serveLookup replies with the recorded outcome of a request. A request that is not known is
// cancelled, so that it never runs.
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

// awaitRecord waits up to lookupGrace for the request to arrive, so that a lookup right after the
// key was claimed does not cancel a request that is still in transit.
func (a *Agent) awaitRecord(ctx context.Context, id string) {
	for start := time.Now(); time.Since(start) < lookupGrace && ctx.Err() == nil; loop.Pause(ctx, lookupPollInterval) {
		known := false
		if a.loop.Do(func() { known = a.control.records.Lookup(id) != nil }) != nil || known {
			return
		}
	}
}

// serveCancel cancels a request, and replies whether it is certain that it has not run and never
// will.
func (a *Agent) serveCancel(stream *peer.Stream, c *peerpb.Cancel) {
	defer stream.Close()
	notRun := false
	if c.GetIncarnation() == a.incarnation {
		_ = a.loop.Do(func() { notRun = a.cancelRequest(c.GetId()) })
	}
	_ = stream.Send(peer.CancelReplyFrame(&peerpb.CancelReply{NotRun: notRun}))
}

// cancelRequest cancels a request, and reports whether it is certain that it has not run and never
// will; it runs on the loop.
func (a *Agent) cancelRequest(id string) bool {
	for _, u := range a.control.upstreams {
		if u.gate.Cancel(id) {
			a.control.records.Forget(id)
		}
	}
	return a.control.records.Cancel(time.Now(), id)
}
