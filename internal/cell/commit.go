package cell

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// batch is the changes that one commit makes durable.
type batch struct {
	records   []*cellpb.Record
	onDurable []func()
	// snapshot is the entire state including the batch; it is set if the journal is to be compacted.
	snapshot []*cellpb.Record
}

// commitLoop commits batches one after another until ctx ends or another owner takes the cell. A
// commit in progress continues until commitCtx ends, so that its outcome is known.
func (o *Owner) commitLoop(ctx, commitCtx context.Context) error {
	verify := time.NewTicker(verifyInterval)
	defer verify.Stop()
	for {
		select {
		case <-o.commitSignal:
			interval, err := o.commitOnce(commitCtx)
			if err != nil {
				return err
			}
			loop.Pause(ctx, interval)
		case <-verify.C:
			if err := o.verifyOwnership(ctx); err != nil {
				return err
			}
			o.journal.DeleteObsolete(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// batchInterval returns how long to collect the next batch. It is about as long as the last commit
// took, so that a slow key-value service gets fewer and larger writes, and longer if more cells
// share its write rate.
func (o *Owner) batchInterval(took time.Duration) time.Duration {
	share := commitIntervalMin
	if d := o.options.Document(); d != nil {
		share = time.Duration(d.TotalCells()) * time.Second / commitsPerSecond
	}
	return min(max(took, share, commitIntervalMin), commitIntervalMax)
}

// commitOnce commits the pending records and returns how long to collect the next batch. Records whose
// commit fails are pending again, since later ones follow from them. If they have taken effect after all,
// the journal refuses to write them once more.
func (o *Owner) commitOnce(ctx context.Context) (interval time.Duration, err error) {
	b := o.takeBatch()
	if len(b.records) == 0 {
		// Everything that the callbacks depend on has already been committed.
		return 0, o.loop.Do(func() { runCallbacks(b.onDurable) })
	}
	start := time.Now()
	if b.snapshot != nil {
		err = o.journal.Compact(ctx, b.snapshot)
	} else {
		err = o.journal.Commit(ctx, b.records)
	}
	took := time.Since(start)
	if err != nil {
		o.options.Metrics.Commits.WithLabelValues("failed").Observe(took.Seconds())
		_ = o.loop.Do(func() { o.control.pendingRecords = append(b.records, o.control.pendingRecords...) })
		return 0, err
	}
	o.options.Metrics.Commits.WithLabelValues("committed").Observe(took.Seconds())
	o.options.Metrics.CommitRecords.Add(float64(len(b.records)))
	err = o.loop.Do(func() {
		o.control.confirmedAt = o.journal.ConfirmedAt()
		runCallbacks(b.onDurable)
	})
	return o.batchInterval(took), err
}

func runCallbacks(callbacks []func()) {
	for _, f := range callbacks {
		f()
	}
}

func (o *Owner) takeBatch() (b batch) {
	compact := o.journal.CompactionDue()
	_ = o.loop.Do(func() {
		o.admitSubmissions()
		b = batch{records: o.control.pendingRecords, onDurable: o.control.onDurable}
		o.control.pendingRecords, o.control.onDurable = nil, nil
		if compact && len(b.records) > 0 {
			b.snapshot = o.control.state.Snapshot()
		}
	})
	return b
}

func (o *Owner) verifyOwnership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := o.journal.Verify(ctx)
	if errors.Is(err, ErrOwnershipLost) {
		return err
	}
	if err != nil {
		o.options.Metrics.StoreErrors.WithLabelValues("verify").Inc()
		o.log.Warn("ownership was not verified", "error", err.Error())
		return nil
	}
	return o.loop.Do(func() { o.control.confirmedAt = o.journal.ConfirmedAt() })
}
