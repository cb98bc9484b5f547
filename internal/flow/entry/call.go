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

// Errors returned by Match and Call.
var (
	// ErrNotRun is returned if the call has certainly not reached an owner.
	ErrNotRun = errors.New("entry: call did not reach the owner of the cell")
	// ErrIndeterminate is returned if the call may have taken effect.
	ErrIndeterminate = errors.New("entry: call was not answered and may have taken effect")
	// ErrNoDocument is returned while this entry has no configuration.
	ErrNoDocument = errors.New("entry: no configuration yet")
)

const (
	// ownerTimeout is how long a call waits while the cell has no owner. A takeover takes about as
	// long.
	ownerTimeout = 900 * time.Millisecond
	// maxLookups bounds how many jobs that the owner doesn't know are looked up at a time. The store
	// answers a few thousand reads a second, which it shares among all entries.
	maxLookups = 4
	// maxLookupWait is how long a call waits for its turn to look a job up. A store that is well answers
	// hundreds meanwhile; beside one that is slow or silent the call would wait for its deadline.
	maxLookupWait = 250 * time.Millisecond
	// inboxDelay is how long a call waits for an owner before it is served from the store.
	inboxDelay = 120 * time.Millisecond
)

// Match returns the route for a host and a path. It returns ErrNoDocument while this entry has no
// configuration.
func (n *Node) Match(host, path string) (r Route, found bool, err error) {
	if n.documents.current() == nil {
		return Route{}, false, ErrNoDocument
	}
	r, found = n.documents.match(host, path)
	return r, found, nil
}

// MaxBodyBytes returns the configured limit on the body of a call, or 0 if there is none.
func (n *Node) MaxBodyBytes() int64 {
	if d := n.documents.current(); d != nil {
		return d.MaxBodyBytes
	}
	return 0
}

// Call forwards a call to the owner of the cell. It retries at a new owner after a takeover, since
// all calls are idempotent by the job's id. It returns ErrIndeterminate for a refusal that follows an
// attempt which may have taken effect. A job that the owner would refuse is not sent: one that is too
// large for a frame would end the session.
func (n *Node) Call(ctx context.Context, call *flowpb.Call) (r *flowpb.Reply, err error) {
	if ctx.Err() != nil {
		return nil, ErrNotRun
	}
	if def := call.GetSubmit(); def != nil {
		if err := engine.Validate(def); err != nil {
			return &flowpb.Reply{Status: flowpb.Status_STATUS_INVALID, Detail: err.Error()}, nil
		}
	}
	// indeterminate is set once an attempt may have taken effect, or may still do so.
	indeterminate, triedStore := false, false
	waitingSince := time.Now()
	for {
		n.mu.Lock()
		local, remote, changed := n.localOwner, n.client, n.changed
		n.mu.Unlock()
		switch {
		case local != nil:
			r, err = callLocal(ctx, local.Call, call)
		case remote != nil:
			r, err = remote.call(ctx, call)
		case time.Since(waitingSince) > inboxDelay && !triedStore && call.GetCount() == "":
			triedStore = true
			r, err = n.tryStore(ctx, call)
		default:
			err = errNotSent
		}
		isUnknown := err == nil && r.GetStatus() == flowpb.Status_STATUS_NOT_FOUND && call.GetRead()+call.GetCancel() != ""
		if isUnknown && (local != nil || remote != nil) {
			if r, err = n.lookUp(ctx, call); err != nil {
				// The store is not asked again: a client that is told when to come back waits no longer.
				indeterminate = indeterminate || !errors.Is(err, errNotSent)
				break
			}
		}
		if err == nil && indeterminate && mayContradict(call, r.GetStatus()) {
			return nil, ErrIndeterminate
		}
		if err == nil {
			return r, nil
		}
		indeterminate = indeterminate || !errors.Is(err, errNotSent)
		if local != nil || remote != nil {
			waitingSince = time.Now()
		}
		if ctx.Err() != nil || time.Since(waitingSince) > ownerTimeout {
			break
		}
		n.waitChange(ctx, changed, inboxDelay)
	}
	if indeterminate {
		return nil, ErrIndeterminate
	}
	return nil, ErrNotRun
}

// lookUp serves a read or a cancel of a job that the owner doesn't know. Another entry may have accepted it
// into the inbox, of which the owner hears later, so that only the store knows that there is none. It returns
// errNotSent if its turn does not come within maxLookupWait.
func (n *Node) lookUp(ctx context.Context, call *flowpb.Call) (*flowpb.Reply, error) {
	timer := time.NewTimer(maxLookupWait)
	defer timer.Stop()
	select {
	case n.lookups <- struct{}{}:
		defer func() { <-n.lookups }()
	case <-timer.C:
		return nil, errNotSent
	case <-ctx.Done():
		return nil, errNotSent
	}
	return n.tryStore(ctx, call)
}

// tryStore serves a call from the store. It returns errNotSent if the call has certainly no effect.
func (n *Node) tryStore(ctx context.Context, call *flowpb.Call) (r *flowpb.Reply, err error) {
	if r, err = n.serveFromStore(ctx, call); err != nil && !errors.Is(err, driver.ErrIndeterminate) {
		err = errNotSent
	}
	return r, err
}

// mayContradict reports whether the status of a reply may be wrong about a call of which an earlier
// attempt got no answer, as that attempt may have taken effect or may still do so. A refusal of a job or
// a cancel is wrong then. That no job is found remains true for a cancel, which creates none.
func mayContradict(call *flowpb.Call, s flowpb.Status) bool {
	switch {
	case call.GetSubmit() != nil:
		return s != flowpb.Status_STATUS_OK
	case call.GetCancel() != "":
		return s != flowpb.Status_STATUS_OK && s != flowpb.Status_STATUS_NOT_FOUND
	}
	return false
}

// serveFromStore serves a call without the owner. The jobs and cancels that it accepts are written
// to the cell's inbox.
func (n *Node) serveFromStore(ctx context.Context, call *flowpb.Call) (r *flowpb.Reply, err error) {
	store, cell := n.options.Store, n.options.Cell
	ok := &flowpb.Reply{Status: flowpb.Status_STATUS_OK}
	if def := call.GetSubmit(); def != nil {
		if err = owner.EnqueueJob(ctx, store, cell, def); err != nil {
			return nil, err
		}
		n.options.Log.Info("job written to the inbox", "job", def.GetId(), "queue", def.GetQueue())
		return ok, nil
	}
	id := call.GetRead() + call.GetCancel()
	p, err := owner.ReadState(ctx, store, cell, id)
	switch {
	case errors.Is(err, driver.ErrNotFound):
		return &flowpb.Reply{Status: flowpb.Status_STATUS_NOT_FOUND}, nil
	case err != nil:
		return nil, err
	case call.GetCancel() != "" && p.GetOutcome() == flowpb.Outcome_OUTCOME_OPEN:
		if err = owner.EnqueueCancel(ctx, store, cell, id); err != nil {
			return nil, err
		}
		n.options.Log.Info("cancel written to the inbox", "job", id)
		return ok, nil
	}
	ok.State = engine.StateOf(p.GetOutcome(), p.GetBegun())
	return ok, nil
}

func callLocal(ctx context.Context, ownerCall func(*flowpb.Call, func(*flowpb.Reply)) bool, call *flowpb.Call) (*flowpb.Reply, error) {
	answer := make(chan *flowpb.Reply, 1)
	taken := ownerCall(call, func(r *flowpb.Reply) {
		select {
		case answer <- r:
		default:
			// An owner that is given up may fail a call that it has answered.
		}
	})
	if !taken {
		return nil, errNotSent
	}
	select {
	case r := <-answer:
		if r == nil {
			return nil, errLinkEnded
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
