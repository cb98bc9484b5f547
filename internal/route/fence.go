package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// storeRetryAfter is the Retry-After for callers while claims can't be written.
const storeRetryAfter = 2 * time.Second

// maxReassignments bounds the attempts of one request to reassign a claim that concurrent
// requests reassign as well.
const maxReassignments = 3

// acquireClaim assigns the idempotency key to the agent of target before the request is sent
// there. It returns nil if the request may be sent, or the reply if the key has run or may have
// run, or if the store is unavailable.
func (d *dispatch) acquireClaim(ctx context.Context, target *Target) *Reply {
	switch {
	case d.claim != nil && d.cancelledElsewhere():
		return d.refreshClaim(ctx, target)
	case d.claim != nil:
		return d.reassignClaim(ctx, target)
	}
	c, created, err := d.options.Claims.Create(ctx, claim.Claim{
		Service: d.request.Service, Key: d.request.Key, Agent: target.agent, DataCentre: target.dataCentre,
		Incarnation: target.incarnation, Generation: 1,
	})
	if err != nil {
		return d.storeUnavailable(err)
	}
	d.claim = c
	if created {
		return nil
	}
	return d.resolveClaim(ctx, target)
}

// cancelledElsewhere reports whether the last attempt was refused because another request with
// the same key had it cancelled. That request may have run the key since.
func (d *dispatch) cancelledElsewhere() bool {
	return d.bestRefusal != nil && d.bestRefusal.Reason == peerpb.Reason_REASON_CANCELLED
}

// refreshClaim reads the claim again and resolves it at the agent that now has the key.
func (d *dispatch) refreshClaim(ctx context.Context, target *Target) *Reply {
	c, err := d.options.Claims.Read(ctx, d.request.Service, d.request.Key)
	if err != nil {
		return d.storeUnavailable(err)
	}
	d.claim = c
	return d.resolveClaim(ctx, target)
}

// reassignClaim reassigns the key to the agent of target after the previous agent proved that it
// did not run it.
func (d *dispatch) reassignClaim(ctx context.Context, target *Target) *Reply {
	c, reassigned, err := d.options.Claims.Reassign(ctx, d.claim, target.agent, target.dataCentre, target.incarnation)
	if err != nil {
		return d.storeUnavailable(err)
	}
	d.claim = c
	if reassigned {
		return nil
	}
	return d.resolveClaim(ctx, target)
}

// storeUnavailable returns the reply to a request whose claim could not be read or written.
func (d *dispatch) storeUnavailable(err error) *Reply {
	d.options.Metrics.StoreErrors.WithLabelValues("claim").Inc()
	d.options.Log.Warn("idempotency key could not be claimed", "request", d.request.ID, "error", err.Error())
	// The outcome is unknown because an earlier request with the same key may have run.
	reply := unknownReply("the idempotency key can't be checked now; this call has run nothing")
	reply.Reason, reply.RetryAfter = peerpb.Reason_REASON_STORE_DOWN, storeRetryAfter
	return reply
}

// resolveClaim asks the agent in the claim for the outcome of the key. If the key has not run
// there and never will, the claim is reassigned to the agent of target and nil is returned.
func (d *dispatch) resolveClaim(ctx context.Context, target *Target) *Reply {
	for range maxReassignments {
		reply := d.lookup(ctx)
		if reply.Outcome != OutcomeNotRun {
			return reply
		}
		c, reassigned, err := d.options.Claims.Reassign(ctx, d.claim, target.agent, target.dataCentre, target.incarnation)
		if err != nil {
			return d.storeUnavailable(err)
		}
		d.claim = c
		if reassigned {
			return nil
		}
	}
	return unknownReply("the idempotency key is in use by other requests")
}

// releaseClaim prepares a request with a key to be sent to another data centre because this one is
// evacuated. If the key has been given to an agent, it asks that agent, and if the key has not run there
// and never will, it takes it back, so that an entry of another data centre can give it to an agent
// there. It returns nil if the request may be sent there, or the reply.
func (d *dispatch) releaseClaim(ctx context.Context) *Reply {
	c, err := d.options.Claims.Read(ctx, d.request.Service, d.request.Key)
	switch {
	case errors.Is(err, driver.ErrNotFound):
		d.claimReleased = true
		return nil
	case err != nil:
		return d.storeUnavailable(err)
	}
	d.claim = c
	if reply := d.lookup(ctx); reply.Outcome != OutcomeNotRun {
		return reply
	}
	if !d.claim.Unassigned() {
		released := false
		if c, released, err = d.options.Claims.Reassign(ctx, d.claim, "", d.options.DataCentre, 0); err != nil {
			return d.storeUnavailable(err)
		}
		if d.claim = c; !released && !c.Unassigned() {
			return unknownReply("the idempotency key is in use by other requests")
		}
	}
	d.claimReleased = true
	return nil
}

// lookup returns the outcome of the key according to the agent in the claim. A claim without an agent
// has not run.
func (d *dispatch) lookup(ctx context.Context) *Reply {
	if d.claim.Unassigned() {
		return notRunReply(peerpb.Reason_REASON_UNSPECIFIED, "the key is given to no agent", 0)
	}
	if d.claim.DataCentre != d.options.DataCentre {
		return d.lookupRemote(ctx)
	}
	for _, target := range d.table.Load().Services[d.request.Service] {
		if target.agent == d.claim.Agent && target.incarnation == d.claim.Incarnation {
			return d.lookupAt(ctx, target)
		}
	}
	return unknownReply("the agent that the key was given to is gone")
}

// lookupAt asks the agent of target for its record of the request.
func (d *dispatch) lookupAt(ctx context.Context, target *Target) *Reply {
	stream, err := target.session.OpenStream()
	if err != nil {
		return unknownReply("the agent that the key was given to does not answer")
	}
	stop := context.AfterFunc(ctx, stream.Close)
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline.Add(deadlineGrace))
	}
	err = stream.Send(peer.LookupFrame(&peerpb.Lookup{
		Id: d.claim.RequestID(), Incarnation: target.incarnation, TimeoutMicros: time.Until(d.request.Deadline).Microseconds(),
	}))
	var reply *Reply
	if err == nil {
		reply, err = receiveReply(stream)
	}
	if err != nil {
		stop()
		stream.Close()
		return unknownReply("the agent that the key was given to does not answer")
	}
	reply.upstreamState = nil
	return keepStream(reply, stream, stop)
}

// lookupRemote sends the request to an entry in the data centre of the claim, which looks up the
// key at the agent.
func (d *dispatch) lookupRemote(ctx context.Context) *Reply {
	if d.request.Spilled {
		return unknownReply("the key was given to an agent of another data centre")
	}
	peers := d.table.Load().PeersByDataCentre[d.claim.DataCentre]
	if len(peers) == 0 {
		return unknownReply("no entry of the data centre that the key was given to can be reached")
	}
	reply := d.sendToPeer(ctx, peers[rand.IntN(len(peers))])
	if reply.Outcome == OutcomeNotRun && d.table.Load().Evacuated[d.claim.DataCentre] {
		// The peer has taken the key back if the agent in the claim did not run it.
		c, err := d.options.Claims.Read(ctx, d.request.Service, d.request.Key)
		if err != nil {
			return d.storeUnavailable(err)
		}
		if c.Unassigned() {
			d.claim = c
			return reply
		}
	}
	if reply.Outcome == OutcomeNotRun {
		// The peer did not run this request, but the agent in the claim may have run the key.
		return unknownReply("the key was given to an agent of another data centre, which does not answer")
	}
	return reply
}
