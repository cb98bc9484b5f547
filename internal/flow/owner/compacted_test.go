package owner

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// compactingStore is a store whose history is gone, so that the inbox is listed.
type compactingStore struct{ *lossyStore }

func (s *compactingStore) List(_ context.Context, prefix string) (items []driver.Item, revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b driver.Item) int { return strings.Compare(a.Key(), b.Key()) })
	return items, s.revision, nil
}

func (s *compactingStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]driver.Change, uint64, error) {
	s.mu.Lock()
	compacted := after < s.revision
	s.mu.Unlock()
	if compacted {
		return nil, 0, driver.ErrCompacted
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, nil
}

// TestCancelInCompactedInboxIsDropped guards against an acknowledged cancel that is thrown away since its
// key sorts before that of its job, if the inbox is listed in place of its changes.
func TestCancelInCompactedInboxIsDropped(t *testing.T) {
	for _, id := range []string{"0000000000000001", "ffffffffffffffff"} {
		t.Run(id, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &compactingStore{newLossyStore()}
				began := time.Now()
				clock := func() time.Duration { return time.Since(began) + time.Hour }
				f, err := Acquire(t.Context(), s, clock, "c", Identity{Node: "n", Incarnation: 1, Address: "127.0.0.1:1"}, driver.RevisionAbsent, nil)
				is.NoErr(err)
				opts := Options{
					Cell: "c", FencedStore: f, Store: s, Clock: clock, Lease: 4 * time.Second, Retention: time.Hour,
					Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewFlow(telemetry.NewMetrics()),
				}
				o, err := New(t.Context(), opts)
				is.NoErr(err)
				is.NoErr(EnqueueJob(t.Context(), s, "c", &flowpb.Job{Id: id, Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1}}}))
				is.NoErr(EnqueueCancel(t.Context(), s, "c", id))
				ctx, stop := context.WithCancel(t.Context())
				ran := make(chan error, 1)
				go func() { ran <- o.Run(ctx) }()
				time.Sleep(5 * time.Second)
				stop()
				is.NoErr(<-ran)
				p, err := ReadState(t.Context(), s, "c", id)
				is.NoErr(err)
				is.Equal(p.GetOutcome(), flowpb.Outcome_OUTCOME_CANCELLED)
			})
		})
	}
}
