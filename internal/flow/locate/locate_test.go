package locate

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/owner"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// silentStore answers no call.
type silentStore struct{ driver.TxnStore }

func (silentStore) List(ctx context.Context, _ string) ([]driver.Item, uint64, error) {
	<-ctx.Done()
	return nil, 0, driver.ErrUnavailable
}

// TestSilentStoreLoggedAsReachableAtStop guards against a last line that says that the store is
// reachable again, though it is only the process that ends.
func TestSilentStoreLoggedAsReachableAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines bytes.Buffer
		began := time.Now()
		f := New(Options{Cell: "c", Store: silentStore{}, Clock: func() time.Duration { return time.Since(began) }, WatchWait: time.Second, Log: slog.New(slog.NewTextHandler(&lines, nil))})
		ctx, stop := context.WithCancel(context.Background())
		done := loop.Go(ctx, f.Run)
		time.Sleep(3 * time.Second)
		stop()
		<-done
		is.True(strings.Contains(lines.String(), "store unreachable"))
		is.True(!strings.Contains(lines.String(), "reachable again"))
	})
}

// recordStore holds an owner record and its revision.
type recordStore struct {
	driver.TxnStore
	value    []byte
	revision uint64
}

func (s *recordStore) List(_ context.Context, key string) ([]driver.Item, uint64, error) {
	return []driver.Item{driver.NewItem(key, s.value, s.revision)}, s.revision, nil
}

func (s *recordStore) Changes(_ context.Context, key string, _ uint64, _ time.Duration) ([]driver.Change, uint64, error) {
	return []driver.Change{{Item: driver.NewItem(key, s.value, s.revision)}}, s.revision, nil
}

// TestOddRecords checks that an owner record which names no owner leaves the one that is known, or the
// cell without an owner, so that an entry takes it, and that the next record is followed.
func TestOddRecords(t *testing.T) {
	encode := func(epoch uint64, node, address string) []byte {
		raw, err := proto.Marshal(&flowpb.Owner{Epoch: epoch, Node: node, Address: address})
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for name, odd := range map[string][]byte{
		"garbage":             {0xff, 0xff},
		"deeply nested":       bytes.Repeat([]byte{0x0b}, 1_000_000),
		"text of bytes":       {0x12, 0x02, 0xff, 0xfe},
		"port out of range":   encode(9, "e", "10.0.0.1:99999"),
		"negative port":       encode(9, "e", "10.0.0.1:-1"),
		"no port":             encode(9, "e", "10.0.0.1"),
		"epoch too large":     encode(math.MaxUint64, "e", "10.0.0.1:80"),
		"epoch beyond tokens": encode(1<<50, "e", "10.0.0.1:80"),
		"no node":             encode(9, "", "10.0.0.1:80"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &recordStore{value: odd, revision: 3}
			f := New(Options{Cell: "c", Store: s, Clock: func() time.Duration { return time.Hour }, Log: slog.New(slog.DiscardHandler)})
			key := owner.OwnerKey("c")
			_, err := f.read(t.Context(), key)
			is.NoErr(err)
			record, known, _ := f.Record()
			is.True(known)
			is.True(record == nil)

			s.value, s.revision = encode(4, "e-1", "10.0.0.1:80"), 5
			_, err = f.watch(t.Context(), key, 3)
			is.NoErr(err)
			record, _, _ = f.Record()
			is.Equal(record.GetNode(), "e-1")

			s.value, s.revision = odd, 6
			after, err := f.watch(t.Context(), key, 5)
			is.NoErr(err)
			is.Equal(after, uint64(6))
			learned := &flowpb.Owner{}
			if proto.Unmarshal(odd, learned) == nil {
				f.Learn(learned)
			}
			record, _, _ = f.Record()
			is.Equal(record.GetNode(), "e-1")

			s.value, s.revision = encode(5, "e-2", "10.0.0.2:80"), 7
			_, err = f.watch(t.Context(), key, 6)
			is.NoErr(err)
			record, _, _ = f.Record()
			is.Equal(record.GetNode(), "e-2")
		})
	}
}

// silentWatchStore answers listings alone: its watches have gone silent.
type silentWatchStore struct {
	recordStore
	lists int
}

func (s *silentWatchStore) List(ctx context.Context, key string) ([]driver.Item, uint64, error) {
	s.lists++
	return s.recordStore.List(ctx, key)
}

func (*silentWatchStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]driver.Change, uint64, error) {
	<-ctx.Done()
	return nil, 0, driver.ErrUnavailable
}

// TestSilentWatchHidesOwner guards against an agent without an owner that waits for a watch of the owner
// record which has gone silent. Takeovers that are over within a second cost no reads of the record.
func TestSilentWatchHidesOwner(t *testing.T) {
	const watchWait, connectPause = 4 * time.Second, 120 * time.Millisecond
	record := func(epoch uint64, node string) []byte {
		raw, err := proto.Marshal(&flowpb.Owner{Epoch: epoch, Node: node, Address: "10.0.0.1:80"})
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &silentWatchStore{recordStore: recordStore{value: record(1, "e-1"), revision: 3}}
		began := time.Now()
		f := New(Options{Cell: "c", Store: store, Clock: func() time.Duration { return time.Since(began) }, WatchWait: watchWait, Log: slog.New(slog.DiscardHandler)})
		ctx, stop := context.WithCancel(context.Background())
		done := loop.Go(ctx, f.Run)
		defer func() { stop(); <-done }()
		synctest.Wait()
		is.Equal(store.lists, 1)
		// doubtFor reports the owner as unreachable as often as an agent tries to connect.
		doubtFor := func(d time.Duration) {
			for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(connectPause) {
				r, _, _ := f.Record()
				f.Doubt(r)
			}
			synctest.Wait()
		}
		doubtFor(900 * time.Millisecond)
		is.Equal(store.lists, 1) // read before a takeover is over
		store.value, store.revision = record(2, "e-2"), 4
		doubtFor(700 * time.Millisecond)
		r, _, _ := f.Record()
		is.Equal(r.GetNode(), "e-2") // still waiting for the watch
		is.Equal(store.lists, 2)
		doubtFor(2200 * time.Millisecond)
		is.Equal(store.lists, 3) // read again before 2 s are over
		doubtFor(10 * time.Second)
		// After 1 s, 3 s and 7 s, and when the watch ends by itself, 4.7 s after the last.
		is.True(store.lists <= 6) // the pauses do not become longer
	})
}
