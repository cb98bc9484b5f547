package entry

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/owner"
)

// Errors of a call.
var (
	// ErrNotRun proves that no owner has seen the call.
	ErrNotRun = errors.New("entry: the call has not reached the owner of the cell")
	// ErrUnknown tells that the call may have taken effect.
	ErrUnknown = errors.New("entry: the call was not answered and may have taken effect")
	// ErrNoDocument tells that this entry has no configuration yet.
	ErrNoDocument = errors.New("entry: no configuration yet")
)

const (
	// ownerWait is how long a call waits for an owner when there is none; a takeover takes
	// about as long.
	ownerWait = 900 * time.Millisecond
	// inboxAfter is how long a call waits for an owner before the store is used instead.
	inboxAfter = 120 * time.Millisecond
)

// Match returns the route of a host and a path; ErrNoDocument tells that this entry can't
// know yet.
func (n *Node) Match(host, path string) (r Route, found bool, err error) {
	if n.holder.current() == nil {
		return Route{}, false, ErrNoDocument
	}
	r, found = n.holder.match(host, path)
	return r, found, nil
}

// BodyBytes returns the bound on the body of a call.
func (n *Node) BodyBytes() int64 {
	if d := n.holder.current(); d != nil {
		return d.BodyBytes
	}
	return 0
}

// Call passes a call to the owner of the cell. It is tried again at a new owner if one
// takes over: all calls are idempotent by the job's id.
func (n *Node) Call(ctx context.Context, call *flowpb.Call) (r *flowpb.Reply, err error) {
	sent, tried := false, false
	waited := time.Now()
	for {
		n.mu.Lock()
		own, c, changed := n.own, n.client, n.changed
		n.mu.Unlock()
		switch {
		case own != nil:
			sent = true
			r, err = callOwn(ctx, own.Call, call)
		case c != nil:
			sent = true
			r, err = c.call(ctx, call)
		case time.Since(waited) > inboxAfter && !tried && call.GetCount() == "":
			tried = true
			r, err = n.byStore(ctx, call)
			sent = sent || errors.Is(err, driver.ErrAmbiguous)
		default:
			err = errCut
		}
		if err == nil {
			return r, nil
		}
		if own != nil || c != nil {
			waited = time.Now()
		}
		if ctx.Err() != nil || time.Since(waited) > ownerWait {
			break
		}
		n.waitChange(ctx, changed, inboxAfter)
	}
	if sent {
		return nil, ErrUnknown
	}
	return nil, ErrNotRun
}

// byStore serves a call without the owner: what it accepts lies in the cell's inbox.
func (n *Node) byStore(ctx context.Context, call *flowpb.Call) (r *flowpb.Reply, err error) {
	store, cell := n.options.Store, n.options.Cell
	ok := &flowpb.Reply{Status: flowpb.Status_STATUS_OK}
	if def := call.GetSubmit(); def != nil {
		if err := engine.Validate(def); err != nil {
			return &flowpb.Reply{Status: flowpb.Status_STATUS_INVALID, Detail: err.Error()}, nil
		}
		if err = owner.HandIn(ctx, store, cell, def); err != nil {
			return nil, err
		}
		n.options.Log.Info("job accepted by the inbox", "job", def.GetId(), "queue", def.GetQueue())
		return ok, nil
	}
	id := call.GetRead() + call.GetCancel()
	p, err := owner.ReadStored(ctx, store, cell, id)
	switch {
	case errors.Is(err, driver.ErrNotFound):
		return &flowpb.Reply{Status: flowpb.Status_STATUS_NOT_FOUND}, nil
	case err != nil:
		return nil, err
	case call.GetCancel() != "" && p.GetOutcome() == flowpb.Outcome_OUTCOME_OPEN:
		if err = owner.HandCancel(ctx, store, cell, id); err != nil {
			return nil, err
		}
		n.options.Log.Info("cancel accepted by the inbox", "job", id)
		return ok, nil
	}
	ok.State = engine.StateOf(p.GetOutcome(), p.GetBegun())
	return ok, nil
}

func callOwn(ctx context.Context, own func(*flowpb.Call, func(*flowpb.Reply)), call *flowpb.Call) (*flowpb.Reply, error) {
	answer := make(chan *flowpb.Reply, 1)
	own(call, func(r *flowpb.Reply) { answer <- r })
	select {
	case r := <-answer:
		if r == nil {
			return nil, errCut
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
