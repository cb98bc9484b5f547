package owner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
)

const (
	// inboxWait is how long one watch of the inbox waits, inboxSlack how much longer it may
	// take before its connection is taken to be silent.
	inboxWait  = 1500 * time.Millisecond
	inboxSlack = 500 * time.Millisecond
	inboxRetry = 200 * time.Millisecond
	// cancelName starts the name of a cancel in the inbox, which the job's id follows.
	cancelName = "cancel-"
)

// followInbox takes in what entries that don't reach this process have accepted.
func (w *Owner) followInbox(ctx context.Context) {
	prefix := w.options.Cell + prefixInbox
	after := w.inboxFrom
	for ctx.Err() == nil {
		watch, cancel := context.WithTimeout(ctx, inboxWait+inboxSlack)
		changes, next, err := w.options.Store.Changes(watch, prefix, after, inboxWait)
		cancel()
		if errors.Is(err, driver.ErrCompacted) {
			var items []driver.Item
			list, cancel := context.WithTimeout(ctx, commitTimeout)
			items, next, err = w.options.Store.List(list, prefix)
			cancel()
			for _, item := range items {
				changes = append(changes, driver.Change{Item: item})
			}
		}
		if err != nil {
			loop.Pause(ctx, inboxRetry)
			continue
		}
		after = next
		for _, c := range changes {
			if !c.Deleted {
				w.handed(strings.TrimPrefix(c.Item.Key(), prefix), c.Item.Value())
			}
		}
	}
}

func (w *Owner) handed(name string, value []byte) {
	h := &flowpb.Handed{}
	if err := proto.Unmarshal(value, h); err != nil {
		w.options.Log.Error("item of the inbox can't be read and is passed over", "name", name, "error", err.Error())
		return
	}
	w.loop.Post(func() {
		w.engine.ProcessInboxItem(name, h, w.now())
		w.step()
	})
}

// HandIn accepts a job without its owner, by the cell's inbox. A job that the store holds
// already is accepted as well.
func HandIn(ctx context.Context, store driver.TxnStore, cell string, def *flowpb.Job) (err error) {
	defer errs.Annotate(&err, "owner: hand in job %s", def.GetId())
	key := cell + prefixInbox + def.GetId()
	err = putUntilKnown(ctx, store, driver.Txn{
		Conditions: []driver.Condition{{Key: cell + prefixJob + def.GetId()}, {Key: key}},
		Puts:       []driver.Put{{Key: key, Value: marshal(&flowpb.Handed{Job: def})}},
	})
	if errors.Is(err, driver.ErrConflict) {
		return nil
	}
	return err
}

// HandCancel accepts the cancelling of a job that the store holds, without its owner.
func HandCancel(ctx context.Context, store driver.TxnStore, cell, id string) (err error) {
	defer errs.Annotate(&err, "owner: hand in cancel of %s", id)
	return putUntilKnown(ctx, store, driver.Txn{Puts: []driver.Put{{Key: cell + prefixInbox + cancelName + id, Value: marshal(&flowpb.Handed{Cancel: id})}}})
}

// putUntilKnown tries a transaction until its outcome is known. ErrUnavailable proves that
// it never took effect.
func putUntilKnown(ctx context.Context, store driver.TxnStore, txn driver.Txn) (err error) {
	ambiguous := false
	for {
		try, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err = store.Commit(try, txn)
		cancel()
		if err == nil || errors.Is(err, driver.ErrConflict) || errors.Is(err, driver.ErrTooLarge) {
			return err
		}
		ambiguous = ambiguous || errors.Is(err, driver.ErrAmbiguous)
		if ctx.Err() != nil || !ambiguous {
			break
		}
		loop.Pause(ctx, commitRetry)
	}
	if ambiguous {
		return fmt.Errorf("%w: %w", driver.ErrAmbiguous, err)
	}
	return err
}

// ReadStored returns the progress of a job as the store holds it, or ErrNotFound. One that
// waits in the inbox has made none.
func ReadStored(ctx context.Context, store driver.TxnStore, cell, id string) (p *flowpb.Progress, err error) {
	defer errs.Annotate(&err, "owner: read job %s", id)
	p = &flowpb.Progress{}
	item, err := store.Get(ctx, cell+prefixProgress+id)
	if errors.Is(err, driver.ErrNotFound) {
		if _, err = store.Get(ctx, cell+prefixInbox+id); !errors.Is(err, driver.ErrNotFound) {
			return p, err
		}
		// The owner may have taken it in between the two reads.
		item, err = store.Get(ctx, cell+prefixProgress+id)
	}
	if err != nil {
		return nil, err
	}
	return p, proto.Unmarshal(item.Value(), p)
}
