package engine

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/joblog"
)

// testRingLength is short, so that tests reach the reuse of segments.
const testRingLength = 3

// testLimits are small, so that tests reach batches that do not hold all changes.
var testLimits = BatchLimits{Entries: 3, RecordBytes: 2000}

// testStore holds what batches store, and the inbox.
type testStore struct {
	states   map[string]*flowpb.Progress
	segments map[int]*flowpb.Segment
	inbox    map[string]*flowpb.Handed
}

func newTestStore() *testStore {
	return &testStore{states: map[string]*flowpb.Progress{}, segments: map[int]*flowpb.Segment{}, inbox: map[string]*flowpb.Handed{}}
}

// clone returns a copy, from which another owner can go on.
func (s *testStore) clone() *testStore {
	c := newTestStore()
	for id, state := range s.states {
		c.states[id] = proto.CloneOf(state)
	}
	for index, segment := range s.segments {
		c.segments[index] = proto.CloneOf(segment)
	}
	for name, item := range s.inbox {
		c.inbox[name] = proto.CloneOf(item)
	}
	return c
}

// write stores a batch, of which the ring of the owner that writes it gives the segment.
func (s *testStore) write(changes []Change, r *joblog.Ring) {
	sequence, index := r.Next()
	segment := &flowpb.Segment{Sequence: sequence}
	for _, c := range changes {
		if c.Delete {
			delete(s.states, c.ID)
		}
		if c.State != nil {
			s.states[c.ID] = proto.CloneOf(c.State)
		}
		if c.Record != nil {
			segment.Jobs = append(segment.Jobs, proto.CloneOf(c.Record))
		}
		for _, name := range c.InboxItems {
			delete(s.inbox, name)
		}
	}
	if len(segment.GetJobs()) > 0 {
		s.segments[index] = segment
	}
}

// written updates the ring of an owner that knows its batch to be stored.
func (s *testStore) written(changes []Change, r *joblog.Ring) {
	sequence, index := r.Next()
	if segment := s.segments[index]; segment.GetSequence() == sequence {
		r.Written(segment)
	}
	for _, c := range changes {
		if c.State.GetOutcome() != flowpb.Outcome_OUTCOME_OPEN {
			r.Remove(c.ID)
		}
	}
}

// restore loads an engine from the store, as an owner does, and returns the ring from which its owner continues.
func (s *testStore) restore(e *Engine, now Timestamp) (r *joblog.Ring, err error) {
	var segments []*flowpb.Segment
	for _, segment := range s.segments {
		segments = append(segments, proto.CloneOf(segment))
	}
	jobs, r := joblog.Read(segments, testRingLength)
	for _, id := range slices.Sorted(maps.Keys(s.states)) {
		state := s.states[id]
		if state.GetOutcome() != flowpb.Outcome_OUTCOME_OPEN {
			e.RestoreEnded(id, state, false)
			r.Remove(id)
		} else if err = e.Restore(jobs[id].Job, jobs[id].Progress, state, false, now); err != nil {
			return nil, fmt.Errorf("job %s: %w", id, err)
		}
	}
	for _, cancels := range []bool{false, true} {
		for _, name := range slices.Sorted(maps.Keys(s.inbox)) {
			if item := s.inbox[name]; (item.GetCancel() != "") == cancels {
				e.ProcessInboxItem(name, proto.CloneOf(item), now)
			}
		}
	}
	return r, nil
}
