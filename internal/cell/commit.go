package cell

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// batch is what one commit makes durable.
type batch struct {
	records []*cellpb.Record
	effects []func()
	// snapshot is the whole state with the batch, if the journal is to be compacted.
	snapshot []*cellpb.Record
}

// commitLoop makes batches durable one after another until ctx ends or the cell is lost.
// A commit that has begun goes on until patient ends, so that its outcome is known.
func (o *Owner) commitLoop(ctx, patient context.Context) error {
	verify := time.NewTicker(verifyInterval)
	defer verify.Stop()
	for {
		select {
		case <-o.work:
			interval, err := o.commitOnce(patient)
			if err != nil {
				return err
			}
			loop.Pause(ctx, interval)
		case <-verify.C:
			if err := o.verify(ctx); err != nil {
				return err
			}
			o.journal.DeleteObsolete(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// gather returns how long to gather the next batch: about as long as a commit took, so that
// a slow service gets fewer and larger writes, and longer the more cells share its rate.
func (o *Owner) gather(took time.Duration) time.Duration {
	share := commitMin
	if d := o.options.Document(); d != nil {
		share = time.Duration(d.TotalCells()) * time.Second / commitsPerSecond
	}
	return min(max(took, share, commitMin), commitMax)
}

// commitOnce commits what is pending and returns how long to gather the next batch.
func (o *Owner) commitOnce(ctx context.Context) (interval time.Duration, err error) {
	b := o.takeBatch()
	if len(b.records) == 0 {
		// All that the effects wait for has been committed before.
		return 0, o.loop.Do(func() { runAll(b.effects) })
	}
	began := time.Now()
	if b.snapshot != nil {
		err = o.journal.Compact(ctx, b.snapshot)
	} else {
		err = o.journal.Commit(ctx, b.records)
	}
	took := time.Since(began)
	if err != nil {
		o.options.Metrics.Commits.WithLabelValues("failed").Observe(took.Seconds())
		return 0, err
	}
	o.options.Metrics.Commits.WithLabelValues("committed").Observe(took.Seconds())
	o.options.Metrics.CommitRecords.Add(float64(len(b.records)))
	err = o.loop.Do(func() {
		o.c.confirmed = o.journal.ConfirmedAt()
		runAll(b.effects)
	})
	return o.gather(took), err
}

func runAll(effects []func()) {
	for _, f := range effects {
		f()
	}
}

func (o *Owner) takeBatch() (b batch) {
	compact := o.journal.CompactionDue()
	_ = o.loop.Do(func() {
		o.admitSubmits()
		b = batch{records: o.c.pending, effects: o.c.effects}
		o.c.pending, o.c.effects = nil, nil
		if compact && len(b.records) > 0 {
			b.snapshot = o.c.state.Snapshot()
		}
	})
	return b
}

func (o *Owner) verify(ctx context.Context) error {
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
	return o.loop.Do(func() { o.c.confirmed = o.journal.ConfirmedAt() })
}
