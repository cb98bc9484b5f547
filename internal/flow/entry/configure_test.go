package entry

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// serviceDocument returns a configuration with one queue, whose jobs run on a service.
func serviceDocument(version uint64, service string) *Document {
	return &Document{Version: version, Routes: []Route{{Host: "a.example", Prefix: "/", Queue: engine.Queue{Name: "q", Service: service, MaxAttempts: 2, Version: version}}}}
}

// await returns once a condition on a node and its store is met.
func await(n *Node, store *fakeStore, condition func(*Node, *fakeStore) bool) {
	met := func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		store.mu.Lock()
		defer store.mu.Unlock()
		return condition(n, store)
	}
	for !met() {
		time.Sleep(time.Millisecond)
	}
}

// storedService returns the service of a job as the segments in the store hold it.
func (s *fakeStore) storedService(is *is.I, id string) (service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		segment := &flowpb.Segment{}
		if !strings.HasPrefix(key, "c/log/") {
			continue
		}
		is.NoErr(proto.Unmarshal(item.Value(), segment))
		for _, r := range segment.GetJobs() {
			if r.GetId() == id && r.GetJob() != nil {
				service = r.GetJob().GetTerms().GetService()
			}
		}
	}
	return service
}

// TestConfigurationInTakeoverIsLost guards against an owner that goes on under an old configuration, since the new one
// came while it was loading the cell. It applies the new one in each stage on the way to the cell, and then hands in a
// job of another entry, which has only the old one.
func TestConfigurationInTakeoverIsLost(t *testing.T) {
	for _, at := range []string{"finding", "deciding", "acquiring", "loading", "owning"} {
		t.Run(at, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testConfigurationInTakeover(t, stages[at]) })
		})
	}
}

func testConfigurationInTakeover(t *testing.T, s stage) {
	is := is.New(t)
	store := newFakeStore()
	store.setFault(func(method, key string) fault {
		if s.troubled(method, key) {
			return fault{delay: 300 * time.Millisecond}
		}
		return fault{}
	})
	n, follower := newTestNode(store)
	n.Apply(serviceDocument(1, "old"))
	ctx, stop := context.WithCancel(context.Background())
	followed := loop.Go(ctx, follower.Run)
	ran := loop.Go(ctx, n.Run)
	defer func() { stop(); <-ran; <-followed }()
	await(n, store, s.reached)
	n.Apply(serviceDocument(2, "new"))
	await(n, store, stages["owning"].reached)
	callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	old := serviceDocument(1, "old").Routes[0].Queue
	r, err := n.Call(callCtx, &flowpb.Call{Submit: &flowpb.Job{Id: "j", Queue: old.Name, Terms: old.Terms(), Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1}}}})
	is.NoErr(err)
	is.Equal(r.GetStatus(), flowpb.Status_STATUS_OK)
	is.Equal(store.storedService(is, "j"), "new") // the owner has not heard of the configuration
}
