package evacuation

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/steady"
)

const (
	// confirmInterval is how long after the begin of a list the next one begins. A watch may be silent while changes
	// are made, so that only lists confirm the set; watches make changes known sooner.
	confirmInterval = 800 * time.Millisecond
	// watchSlack is how much longer than it waits a watch may take. A connection may have failed silently.
	watchSlack = 200 * time.Millisecond
	// listTimeout bounds a list. A slow store answers in 0.4 s.
	listTimeout = 700 * time.Millisecond
	// retryPause is the pause after a call that failed, which may have failed at once.
	retryPause = 120 * time.Millisecond
)

// Cell is the part of the owner of a cell that a Follower uses.
type Cell interface {
	// SetEvacuatedDataCentres sets the data centres in which nothing is started, in place of those set before. The set
	// was complete at confirmedAt.
	SetEvacuatedDataCentres(names []string, confirmedAt time.Duration)
}

// Options configures a Follower.
type Options struct {
	Evacuations driver.Evacuations
	Cell        Cell
	Clock       steady.Clock
	Log         *slog.Logger
}

// Follower passes the evacuated data centres to the owner of a cell, each change at once, and confirms the whole set about
// once a second.
type Follower struct {
	options   Options
	evacuated map[string]bool
	// revision is the one to watch from, or 0 if the set is to be listed next.
	revision uint64
	// listedAt is when the last list that succeeded began.
	listedAt    time.Duration
	unreachable bool
}

// New returns a Follower. Prime and Run must be called next.
func New(o Options) *Follower { return &Follower{options: o, evacuated: map[string]bool{}} }

// Prime lists the evacuated data centres for a new owner, before its first decision. If that fails, the owner places nothing
// until a list of Run succeeds.
func (f *Follower) Prime(ctx context.Context) { f.report(ctx, f.list(ctx)) }

// Run follows the evacuated data centres until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if left := confirmInterval - (f.options.Clock() - f.listedAt); f.revision > 0 && left > 0 {
			f.report(ctx, f.watch(ctx, left))
		} else {
			f.report(ctx, f.list(ctx))
		}
	}
}

// report logs the begin and the end of a time in which calls fail, and pauses after an error.
func (f *Follower) report(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil, errors.Is(err, driver.ErrCompacted):
	case err != nil && !f.unreachable:
		f.unreachable = true
		f.options.Log.Warn("store unreachable", "for", "evacuations", "error", err.Error())
	case err == nil && f.unreachable:
		f.unreachable = false
		f.options.Log.Info("store reachable again", "for", "evacuations")
	}
	if err != nil {
		loop.Pause(ctx, retryPause)
	}
}

// list lists the set, which was complete when the list began.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := f.options.Clock()
	names, revision, err := f.options.Evacuations.List(ctx)
	if err != nil {
		return err
	}
	f.evacuated = map[string]bool{}
	for _, name := range names {
		f.evacuated[name] = true
	}
	f.revision, f.listedAt = revision, began
	f.pass()
	return nil
}

// watch waits for changes. After an error the set is listed again.
func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, revision, err := f.options.Evacuations.Changes(ctx, f.revision, wait)
	if err != nil {
		f.revision = 0
		return err
	}
	f.revision = revision
	for _, c := range changes {
		if c.Evacuated {
			f.evacuated[c.DataCentre] = true
		} else {
			delete(f.evacuated, c.DataCentre)
		}
	}
	if len(changes) > 0 {
		f.pass()
	}
	return nil
}

// pass passes the set to the owner.
func (f *Follower) pass() {
	f.options.Cell.SetEvacuatedDataCentres(slices.Sorted(maps.Keys(f.evacuated)), f.listedAt)
}
