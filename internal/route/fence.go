package route

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// storeRetryAfter is what callers are told while no claim can be written.
const storeRetryAfter = 2 * time.Second

// claimMoves bounds how often a key is seen in other hands within one request.
const claimMoves = 3

// fence makes the claim name target before the request is sent there. It returns nil if
// the request may be sent, or the reply if the key has run or may have.
func (t *trip) fence(ctx context.Context, target *Target) *Reply {
	switch {
	case t.claim != nil && t.overtaken():
		return t.reread(ctx, target)
	case t.claim != nil:
		return t.move(ctx, target)
	}
	c, taken, err := t.options.Claims.Create(ctx, claim.Claim{
		Service: t.q.Service, Key: t.q.Key, Agent: target.agent, DataCentre: target.dataCentre,
		Incarnation: target.incarnation, Generation: 1,
	})
	if err != nil {
		return t.storeDown(err)
	}
	t.claim = c
	if taken {
		return nil
	}
	return t.earlier(ctx, target)
}

// overtaken reports whether the last attempt was refused because another request with the
// same key has asked for it to be cancelled, and may have run the key since.
func (t *trip) overtaken() bool {
	return t.last != nil && t.last.Reason == peerpb.Reason_REASON_CANCELLED
}

// reread follows the key to the agent that it has been given to meanwhile.
func (t *trip) reread(ctx context.Context, target *Target) *Reply {
	c, err := t.options.Claims.Read(ctx, t.q.Service, t.q.Key)
	if err != nil {
		return t.storeDown(err)
	}
	t.claim = c
	return t.earlier(ctx, target)
}

// move gives the key to another agent after the first has proved that it did not run it.
func (t *trip) move(ctx context.Context, target *Target) *Reply {
	c, moved, err := t.options.Claims.Reassign(ctx, t.claim, target.agent, target.dataCentre, target.incarnation)
	if err != nil {
		return t.storeDown(err)
	}
	t.claim = c
	if moved {
		return nil
	}
	return t.earlier(ctx, target)
}

func (t *trip) storeDown(err error) *Reply {
	t.options.Metrics.StoreErrors.WithLabelValues("claim").Inc()
	t.options.Log.Warn("idempotency key was not claimed", "request", t.q.ID, "error", err.Error())
	// This call has run nothing, but an earlier one with the same key may have.
	reply := unknown("the idempotency key can't be checked now; this call has run nothing")
	reply.Reason, reply.RetryAfter = peerpb.Reason_REASON_STORE_DOWN, storeRetryAfter
	return reply
}

// earlier asks the agent that the claim names what became of the key. If that proves that
// it has not run and never will, the claim is moved to target and nil is returned.
func (t *trip) earlier(ctx context.Context, target *Target) *Reply {
	for range claimMoves {
		reply := t.lookup(ctx)
		if reply.Outcome != OutcomeNotRun {
			return reply
		}
		c, moved, err := t.options.Claims.Reassign(ctx, t.claim, target.agent, target.dataCentre, target.incarnation)
		if err != nil {
			return t.storeDown(err)
		}
		t.claim = c
		if moved {
			return nil
		}
	}
	return unknown("the idempotency key is in use by other requests")
}

// lookup asks the agent of the claim for its record of the key.
func (t *trip) lookup(ctx context.Context) *Reply {
	if t.claim.DataCentre != t.options.DataCentre {
		return t.lookupElsewhere(ctx)
	}
	for _, target := range t.table.Load().Services[t.q.Service] {
		if target.agent == t.claim.Agent && target.incarnation == t.claim.Incarnation {
			return t.ask(ctx, target)
		}
	}
	return unknown("the agent that the key was given to is gone")
}

func (t *trip) ask(ctx context.Context, target *Target) *Reply {
	stream, err := target.session.OpenStream()
	if err != nil {
		return unknown("the agent that the key was given to does not answer")
	}
	stop := context.AfterFunc(ctx, stream.Close)
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline.Add(deadlineGrace))
	}
	err = stream.Send(peer.LookupFrame(&peerpb.Lookup{
		Id: t.claim.RequestID(), Incarnation: target.incarnation, TimeoutMicros: time.Until(t.q.Deadline).Microseconds(),
	}))
	var reply *Reply
	if err == nil {
		reply, err = receive(stream)
	}
	if err != nil {
		stop()
		stream.Close()
		return unknown("the agent that the key was given to does not answer")
	}
	reply.fresh = nil
	return hold(reply, stream, stop)
}

// lookupElsewhere has an entry of the claim's data centre serve the request, which asks
// the agent there.
func (t *trip) lookupElsewhere(ctx context.Context) *Reply {
	if t.q.Spilled {
		return unknown("the key was given to an agent of another data centre")
	}
	entries := t.table.Load().Entries[t.claim.DataCentre]
	if len(entries) == 0 {
		return unknown("no entry of the data centre that the key was given to can be reached")
	}
	reply := t.sendPeer(ctx, entries[rand.IntN(len(entries))])
	if reply.Outcome == OutcomeNotRun {
		// The peer has not run the request itself, which proves nothing of the claim.
		return unknown("the key was given to an agent of another data centre, which does not answer")
	}
	return reply
}
