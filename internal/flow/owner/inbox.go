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
	// inboxWatchWait is how long one watch of the inbox waits for changes. A watch that takes
	// inboxWatchSlack longer is cancelled, because its connection may have failed silently.
	inboxWatchWait  = 1500 * time.Millisecond
	inboxWatchSlack = 500 * time.Millisecond
	inboxRetryPause = 200 * time.Millisecond
	// readTimeout bounds a read for a client, whose connection may have failed silently. A slow store
	// answers in 0.4 s.
	readTimeout = 700 * time.Millisecond
	// cancelPrefix precedes the job's id in the name of a cancel in the inbox.
	cancelPrefix = "cancel-"
)

// followInbox passes the jobs and cancels of the write-ahead inbox to the engine. Entries write
// them there when they can't reach this process.
func (o *Owner) followInbox(ctx context.Context) {
	prefix := o.options.Cell + prefixInbox
	revision := o.inboxRevision
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, inboxWatchWait+inboxWatchSlack)
		changes, next, err := o.options.Store.Changes(watchCtx, prefix, revision, inboxWatchWait)
		cancel()
		if errors.Is(err, driver.ErrCompacted) {
			var items []driver.Item
			listCtx, cancel := context.WithTimeout(ctx, commitTimeout)
			items, next, err = o.options.Store.List(listCtx, prefix)
			cancel()
			for _, item := range jobsFirst(items) {
				changes = append(changes, driver.Change{Item: item})
			}
		}
		if err != nil {
			loop.Pause(ctx, inboxRetryPause)
			continue
		}
		revision = next
		for _, c := range changes {
			if !c.Deleted {
				o.receiveInboxItem(strings.TrimPrefix(c.Item.Key(), prefix), c.Item.Value())
			}
		}
	}
}

// jobsFirst returns listed items of the inbox, which come in the order of their keys, with the cancels
// after the jobs that they refer to.
func jobsFirst(items []driver.Item) []driver.Item {
	var jobs, cancels []driver.Item
	for _, i := range items {
		if strings.Contains(i.Key(), prefixInbox+cancelPrefix) {
			cancels = append(cancels, i)
		} else {
			jobs = append(jobs, i)
		}
	}
	return append(jobs, cancels...)
}

func (o *Owner) receiveInboxItem(name string, value []byte) {
	h := &flowpb.Handed{}
	if err := proto.Unmarshal(value, h); err != nil {
		o.options.Log.Error("undecodable inbox item skipped", "name", name, "error", err.Error())
		return
	}
	o.loop.Post(func() {
		o.engine.ProcessInboxItem(name, h, o.now())
		o.advance()
	})
}

// EnqueueJob accepts a job without the owner by writing it to the cell's inbox. A job that the
// store already holds counts as accepted.
func EnqueueJob(ctx context.Context, store driver.TxnStore, cell string, def *flowpb.Job) (err error) {
	defer errs.Annotate(&err, "owner: write job %s to the inbox", def.GetId())
	key := cell + prefixInbox + def.GetId()
	err = commitUntilDetermined(ctx, store, driver.Txn{
		Conditions: []driver.Condition{{Key: cell + prefixState + def.GetId()}, {Key: cell + prefixSeparateJob + def.GetId()}, {Key: key}},
		Puts:       []driver.Put{{Key: key, Value: marshal(&flowpb.Handed{Job: def})}},
	})
	if errors.Is(err, driver.ErrConflict) {
		return nil
	}
	return err
}

// EnqueueCancel accepts the cancel of a stored job without the owner by writing it to the cell's
// inbox.
func EnqueueCancel(ctx context.Context, store driver.TxnStore, cell, id string) (err error) {
	defer errs.Annotate(&err, "owner: write cancel of job %s to the inbox", id)
	return commitUntilDetermined(ctx, store, driver.Txn{Puts: []driver.Put{{Key: cell + prefixInbox + cancelPrefix + id, Value: marshal(&flowpb.Handed{Cancel: id})}}})
}

// commitUntilDetermined retries a transaction while its outcome is indeterminate. ErrUnavailable
// proves that an attempt never took effect, so that it ends the retries unless an earlier attempt
// was indeterminate.
func commitUntilDetermined(ctx context.Context, store driver.TxnStore, txn driver.Txn) (err error) {
	indeterminate := false
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err = store.Commit(attemptCtx, txn)
		cancel()
		if err == nil || errors.Is(err, driver.ErrConflict) || errors.Is(err, driver.ErrTooLarge) {
			return err
		}
		indeterminate = indeterminate || errors.Is(err, driver.ErrIndeterminate)
		if ctx.Err() != nil || !indeterminate {
			break
		}
		loop.Pause(ctx, commitRetryPause)
	}
	if indeterminate {
		return fmt.Errorf("%w: %w", driver.ErrIndeterminate, err)
	}
	return err
}

// ReadState returns the stored state of a job, without its tasks, or ErrNotFound if the store does not
// hold the job. A job that waits in the inbox has made no progress.
func ReadState(ctx context.Context, store driver.TxnStore, cell, id string) (p *flowpb.Progress, err error) {
	defer errs.Annotate(&err, "owner: read job %s", id)
	p = &flowpb.Progress{}
	item, err := readState(ctx, store, cell, id)
	if errors.Is(err, driver.ErrNotFound) {
		if _, err = get(ctx, store, cell+prefixInbox+id); !errors.Is(err, driver.ErrNotFound) {
			return p, err
		}
		// The owner may have moved the job out of the inbox between the two reads.
		item, err = readState(ctx, store, cell, id)
	}
	if err != nil {
		return nil, err
	}
	return p, proto.Unmarshal(item.Value(), p)
}

// readState reads the item with the state of a job. The progress that earlier versions stored
// includes the state.
func readState(ctx context.Context, store driver.TxnStore, cell, id string) (driver.Item, error) {
	item, err := get(ctx, store, cell+prefixState+id)
	if errors.Is(err, driver.ErrNotFound) {
		return get(ctx, store, cell+prefixSeparateProgress+id)
	}
	return item, err
}

// get reads an item within readTimeout.
func get(ctx context.Context, store driver.TxnStore, key string) (driver.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return store.Get(ctx, key)
}
