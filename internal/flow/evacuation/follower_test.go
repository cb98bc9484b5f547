package evacuation

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// fakeOperators implements driver.Evacuations and Cell. Operators evacuate one data centre after another.
type fakeOperators struct {
	mu        sync.Mutex
	began     time.Time
	requested []string
	changed   chan struct{}
	// watchErr is the answer of watches that are due; silentWatches get none. listErr is the answer of lists.
	watchErr, listErr error
	silentWatches     bool
	// passed is the set that the cell was told of last, at passedAt.
	passed                []string
	passedAt, confirmedAt time.Duration
	calls                 int
}

func (f *fakeOperators) now() time.Duration { return time.Since(f.began) }

func (f *fakeOperators) evacuate(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requested = append(f.requested, name)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeOperators) List(context.Context) ([]string, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return slices.Clone(f.requested), uint64(len(f.requested)) + 1, f.listErr
}

func (f *fakeOperators) Changes(ctx context.Context, after uint64, wait time.Duration) (changes []driver.EvacuationChange, revision uint64, err error) {
	f.mu.Lock()
	f.calls++
	changed, silent, err := f.changed, f.silentWatches, f.watchErr
	missed := len(f.requested) >= int(after)
	f.mu.Unlock()
	switch {
	case err != nil:
		return nil, 0, err
	case silent:
		<-ctx.Done()
		return nil, 0, driver.ErrUnavailable
	case !missed:
		select {
		case <-changed:
		case <-time.After(wait):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.requested[after-1:] {
		changes = append(changes, driver.EvacuationChange{DataCentre: name, Evacuated: true})
	}
	return changes, uint64(len(f.requested)) + 1, nil
}

func (f *fakeOperators) SetEvacuatedDataCentres(names []string, confirmedAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.passed, names) {
		f.passedAt = f.now()
	}
	f.passed, f.confirmedAt = names, confirmedAt
}

// follow calls f while a Follower follows the operators' requests.
func follow(t *testing.T, test func(is *is.I, f *fakeOperators)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeOperators{began: time.Now(), changed: make(chan struct{}), requested: []string{"a"}}
		follower := New(Options{Evacuations: f, Cell: f, Clock: f.now, Log: slog.New(slog.DiscardHandler)})
		ctx, stop := context.WithCancel(t.Context())
		follower.Prime(ctx)
		is := is.New(t)
		is.Equal(f.passed, []string{"a"}) // the set is known before Run
		done := loop.Go(ctx, follower.Run)
		time.Sleep(time.Second)
		test(is, f)
		stop()
		<-done
	})
}

// TestRequestIsPassedOn guards against a request of which the owner learns too late, whatever becomes of the watch.
func TestRequestIsPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(*fakeOperators)
		within time.Duration
	}{
		"watched":         {func(*fakeOperators) {}, time.Millisecond},
		"history dropped": {func(f *fakeOperators) { f.watchErr = driver.ErrCompacted }, time.Second},
		"watch cut":       {func(f *fakeOperators) { f.watchErr = driver.ErrUnavailable }, time.Second},
		"watch silent":    {func(f *fakeOperators) { f.silentWatches = true }, 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			follow(t, func(is *is.I, f *fakeOperators) {
				f.mu.Lock()
				c.fault(f)
				f.mu.Unlock()
				time.Sleep(3 * time.Second)
				requestedAt := f.now()
				f.evacuate("b")
				time.Sleep(3 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				is.Equal(f.passed, []string{"a", "b"})
				is.True(f.passedAt-requestedAt <= c.within) // learned in time
			})
		})
	}
}

// TestSetIsConfirmed guards against an owner that takes an old set for a new one, and against one that stops placing
// though nothing fails, or that calls the store all the time.
func TestSetIsConfirmed(t *testing.T) {
	follow(t, func(is *is.I, f *fakeOperators) {
		f.mu.Lock()
		f.calls = 0
		f.mu.Unlock()
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			f.mu.Lock()
			is.True(f.now()-f.confirmedAt <= time.Second) // confirmed at least once a second
			f.mu.Unlock()
		}
		f.mu.Lock()
		is.True(f.calls <= 30) // a list and a watch in 0.8 s
		f.listErr = driver.ErrUnavailable
		failsFrom := f.now()
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.Equal(f.passed, []string{"a"})   // the set stays
		is.True(f.confirmedAt <= failsFrom) // and is not confirmed
		is.True(f.now()-f.confirmedAt > 9*time.Second)
	})
}
