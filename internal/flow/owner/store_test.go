package owner

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/peer"
)

// mapStore is a store without other writers. It checks that transactions are not larger than the
// platform allows.
type mapStore struct {
	driver.TxnStore
	t        *testing.T
	items    map[string][]byte
	revision uint64
}

func (s *mapStore) Get(_ context.Context, key string) (driver.Item, error) {
	if value, exists := s.items[key]; exists {
		return driver.NewItem(key, value, s.revision), nil
	}
	return driver.Item{}, driver.ErrNotFound
}

func (s *mapStore) List(context.Context, string) (items []driver.Item, revision uint64, err error) {
	for key, value := range s.items {
		items = append(items, driver.NewItem(key, value, s.revision))
	}
	return items, s.revision, nil
}

func (s *mapStore) Commit(_ context.Context, txn driver.Txn) (uint64, error) {
	if n := len(txn.Conditions) + len(txn.Puts) + len(txn.Deletes); n > driver.TxnMaxEntries {
		s.t.Fatalf("a transaction of %d entries", n)
	}
	for _, p := range txn.Puts {
		s.items[p.Key] = p.Value
	}
	for _, key := range txn.Deletes {
		delete(s.items, key)
	}
	s.revision++
	return s.revision, nil
}

func (s *mapStore) keys(prefix string) (n int) {
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// acquire makes the process the owner of a cell and loads it.
func (s *mapStore) acquire(is *is.I) (*FencedStore, *StoredState) {
	head := uint64(0)
	if _, exists := s.items[HeadKey("c")]; exists {
		head = s.revision
	}
	f, err := Acquire(context.Background(), s, func() time.Duration { return time.Hour }, "c", Identity{Node: "e"}, head, nil)
	is.NoErr(err)
	stored, err := f.Load(context.Background())
	is.NoErr(err)
	is.Equal(len(stored.Unreadable), 0)
	return f, stored
}

func fullRecord(id string, runs ...uint32) engine.Change {
	o := &flowpb.Occurrence{}
	for _, run := range runs {
		o.Tasks = append(o.Tasks, &flowpb.TaskProgress{Run: run})
	}
	r := &flowpb.JobRecord{Id: id, Job: &flowpb.Job{Id: id}, Progress: &flowpb.Progress{Occurrences: []*flowpb.Occurrence{o}}}
	return engine.Change{ID: id, Record: r, State: &flowpb.Progress{}}
}

func taskChange(id string, task, run uint32) engine.Change {
	c := &flowpb.TaskChange{Task: task, Progress: &flowpb.TaskProgress{Run: run}}
	return engine.Change{ID: id, Record: &flowpb.JobRecord{Id: id, Tasks: []*flowpb.TaskChange{c}}}
}

// TestSegmentsAreReused checks that a job is read as it was last written once the ring of segments
// has been overwritten several times, also by the next owner, and that an ended job keeps its state.
func TestSegmentsAreReused(t *testing.T) {
	is := is.New(t)
	s := &mapStore{t: t, items: map[string][]byte{}}
	f, _ := s.acquire(is)
	commit := func(changes ...engine.Change) {
		for _, id := range f.RecordsDue() {
			if id == "quiet" {
				changes = append(changes, fullRecord(id, 7))
			} else {
				changes = append(changes, fullRecord(id, 1, 1))
			}
		}
		_, err := f.Commit(context.Background(), changes, nil)
		is.NoErr(err)
	}
	commit(fullRecord("quiet", 7))
	commit(fullRecord("ended", 1), fullRecord("busy", 1, 1))
	commit(engine.Change{ID: "ended", State: &flowpb.Progress{Outcome: flowpb.Outcome_OUTCOME_COMPLETED}})
	for run := range uint32(3 * ringLength) {
		if run == ringLength {
			f, _ = s.acquire(is)
		}
		commit(taskChange("busy", 1, run))
	}
	commit(taskChange("busy", 1, 999))
	_, stored := s.acquire(is)
	is.Equal(stored.Open["quiet"].Progress.GetOccurrences()[0].GetTasks()[0].GetRun(), uint32(7))
	is.Equal(stored.Open["busy"].Progress.GetOccurrences()[0].GetTasks()[0].GetRun(), uint32(1))
	is.Equal(stored.Open["busy"].Progress.GetOccurrences()[0].GetTasks()[1].GetRun(), uint32(999))
	is.Equal(stored.States["ended"].GetOutcome(), flowpb.Outcome_OUTCOME_COMPLETED)
	is.Equal(len(stored.Open), 2)
	is.True(s.keys("c"+prefixSegment) <= ringLength)
}

// TestSeparateRecordsAreReplaced checks that jobs which an earlier version stored in records of their
// own are loaded, and are moved to segments and states.
func TestSeparateRecordsAreReplaced(t *testing.T) {
	is := is.New(t)
	s := &mapStore{t: t, items: map[string][]byte{}}
	const jobs = 40
	step := &flowpb.Step{Count: 1, MilliCpu: 1}
	for i := range jobs {
		id := fmt.Sprintf("j%02d", i)
		p := &flowpb.Progress{Occurrences: []*flowpb.Occurrence{{Tasks: []*flowpb.TaskProgress{{Run: 3, Assignments: []*flowpb.Assignment{{Run: 3, Node: "n", Runner: "i"}}}}}}}
		if i%2 == 0 {
			p = &flowpb.Progress{Outcome: flowpb.Outcome_OUTCOME_FAILED, EndedUnixMillis: 5}
		}
		s.items["c"+prefixSeparateJob+id], s.items["c"+prefixSeparateProgress+id] = marshal(&flowpb.Job{Id: id, Steps: []*flowpb.Step{step}}), marshal(p)
	}
	f, stored := s.acquire(is)
	is.Equal(len(stored.States), jobs)
	is.Equal(len(stored.Open), jobs/2)
	log := slog.New(slog.DiscardHandler)
	e := engine.New(engine.Options{Epoch: f.Epoch(), Retention: time.Hour, Log: log})
	now := engine.Timestamp{Monotonic: time.Hour}
	restore(e, stored, log, now)
	for b := e.TakeBatch(BatchLimits(), f.RecordsDue()); b != nil; b = e.TakeBatch(BatchLimits(), f.RecordsDue()) {
		_, err := f.Commit(context.Background(), b.Changes(), nil)
		is.NoErr(err)
		e.Committed(b, now)
	}
	is.Equal(s.keys("c"+prefixSeparateJob)+s.keys("c"+prefixSeparateProgress), 0)
	_, stored = s.acquire(is)
	is.Equal(len(stored.SeparateRecords), 0)
	is.Equal(len(stored.States), jobs)
	is.Equal(stored.States["j00"].GetOutcome(), flowpb.Outcome_OUTCOME_FAILED)
	is.Equal(stored.Open["j01"].Progress.GetOccurrences()[0].GetTasks()[0].GetRun(), uint32(3))
}

// TestUnreadableHead checks that a head which can't be read, or an epoch in it that no owner has, does not
// leave the cell without an owner for good, and that the next epoch is above all that were used.
func TestUnreadableHead(t *testing.T) {
	is := is.New(t)
	for _, head := range [][]byte{{0xff, 0xff}, bytes.Repeat([]byte{0x0b}, 1_000_000), marshal(&flowpb.Head{Epoch: math.MaxUint64}), marshal(&flowpb.Head{Epoch: 1 << 50})} {
		s := &mapStore{t: t, items: map[string][]byte{HeadKey("c"): head}, revision: 5}
		f, err := Acquire(context.Background(), s, func() time.Duration { return time.Hour }, "c", Identity{Node: "e", Address: "127.0.0.1:1"}, 5, &flowpb.Owner{Epoch: 7})
		is.NoErr(err)
		is.True(f.Epoch() > 7 && f.Epoch() < maxEpoch)
		found, err := decodeHead(s.items[HeadKey("c")])
		is.NoErr(err)
		is.Equal(found.GetEpoch(), f.Epoch())
	}
	// Followers would pass over a record with a lower epoch than that of the one before.
	s := &mapStore{t: t, items: map[string][]byte{HeadKey("c"): marshal(&flowpb.Head{Epoch: 3})}, revision: 5}
	f, err := Acquire(context.Background(), s, func() time.Duration { return time.Hour }, "c", Identity{Node: "e"}, 5, &flowpb.Owner{Epoch: 90})
	is.NoErr(err)
	is.Equal(f.Epoch(), uint64(91))
}

// TestJobOfManySmallTasks checks that a job of tasks which need nothing, so that any number of them would
// fit a runner, stays within the limits of what is stored and sent: an owner that can't store a record
// gives up the cell, and so does the next one, and an agent ends its session at a frame that is too large.
func TestJobOfManySmallTasks(t *testing.T) {
	is := is.New(t)
	now := engine.Timestamp{Monotonic: time.Hour, UnixMillis: 1_000_000}
	e := engine.New(engine.Options{Epoch: 1, AcquiredAt: now.Monotonic, Lease: 4 * time.Second, Retention: time.Hour, Log: slog.New(slog.DiscardHandler)})
	e.SetGrantUntil(now.Monotonic + time.Hour)
	reports := map[string]*flowpb.Report{}
	for i := range 40 {
		node := fmt.Sprintf("side-zuerich-a-%06d", i)
		runner := &flowpb.Runner{Id: fmt.Sprintf("i-%08x", i), Born: 1_700_000_000_000, Service: "hub", MilliCpu: 16_000, MemoryMb: 64_000}
		e.Connect(node)
		e.Sync(node, &flowpb.Sync{Runner: runner}, now)
		reports[node] = &flowpb.Report{Token: e.TakeEffects().Orders[node].GetToken(), Runner: runner, Listed: true}
		e.Report(node, reports[node], now)
	}
	job := func(id string, count uint32) *flowpb.Job {
		return &flowpb.Job{Id: id, Queue: "q", Spec: strings.Repeat("x", 4000), Terms: &flowpb.Terms{Service: "hub", Stretch: 2}, Steps: []*flowpb.Step{{Count: count}}}
	}
	e.Submit(1, job("5c0e7a21d94b36f8", 20_000), now)
	started := 0
	for round := range uint64(5) {
		// Another job makes a commit due, in which the ring asks for a full record of the first.
		e.Submit(round, job(fmt.Sprintf("%016x", round), 1), now)
		e.Place(now)
		for b := e.TakeBatch(BatchLimits(), []string{"5c0e7a21d94b36f8"}); b != nil; b = e.TakeBatch(BatchLimits(), nil) {
			segment := &flowpb.Segment{}
			for _, c := range b.Changes() {
				if c.Record != nil {
					segment.Jobs = append(segment.Jobs, c.Record)
				}
			}
			is.True(proto.Size(segment) < driver.StoreMaxValueBytes)
			e.Committed(b, now)
		}
		for node, orders := range e.TakeEffects().Orders {
			is.True(proto.Size(link.Orders(orders)) < peer.FrameMaxBytes)
			for _, s := range orders.GetStarts() {
				started++
				reports[node].Running = append(reports[node].Running, &flowpb.Run{Task: s.GetTask(), Run: s.GetRun(), Checkpoint: "00000bb87a21d94b"})
			}
		}
		for node, r := range reports {
			r.Sequence++
			e.Report(node, r, now)
		}
	}
	is.True(started > 5000)
}
