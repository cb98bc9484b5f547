package entry

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// TestCallFailedTwiceHangs guards against a call without an answer, since an owner that was given up
// failed it after having answered it.
func TestCallFailedTwiceHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		twice := func(_ *flowpb.Call, done func(*flowpb.Reply)) (taken bool) {
			done(&flowpb.Reply{Status: flowpb.Status_STATUS_OK})
			done(nil)
			return true
		}
		r, err := callLocal(ctx, twice, &flowpb.Call{Read: "0000000000000001"})
		is.NoErr(err)
		is.Equal(r.GetStatus(), flowpb.Status_STATUS_OK)
	})
}

// TestEndedCallIsSent guards against a call that is sent to the owner though nobody waits for it any
// more, which then can't be refused as not run.
func TestEndedCallIsSent(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := new(Node).Call(ctx, &flowpb.Call{Read: "0000000000000001"})
	is.Equal(err, ErrNotRun)
}

// TestJobTooLargeToSend checks that a job which is too large for a frame is refused by the entry. The
// owner would close the session, with the calls of all other clients in it, and do so at each retry.
func TestJobTooLargeToSend(t *testing.T) {
	is := is.New(t)
	n := New(Options{Cell: "c", Clock: func() time.Duration { return time.Hour }, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := n.Call(ctx, &flowpb.Call{Submit: &flowpb.Job{Id: "j", Steps: []*flowpb.Step{{Count: 1, Image: strings.Repeat("x", 3<<20)}}}})
	is.NoErr(err)
	is.Equal(r.GetStatus(), flowpb.Status_STATUS_INVALID)
}

// TestForgottenJobsHoldUpCalls guards against calls that wait until their deadline behind others for jobs
// that the owner doesn't know, while the store is slow or silent: what can't be looked up soon is refused,
// and a later call is served.
func TestForgottenJobsHoldUpCalls(t *testing.T) {
	const (
		calls       = 40
		maxWait     = 400 * time.Millisecond
		maxSilence  = time.Second
		longSilence = time.Minute
	)
	for name, f := range map[string]fault{"slow": {delay: 300 * time.Millisecond}, "silent": {silent: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newFakeStore()
				n, _ := newTestNode(store)
				store.setFault(func(string, string) fault { return f })
				ctx, cancel := context.WithTimeout(t.Context(), longSilence)
				defer cancel()
				lookUp := func() (served bool, took time.Duration) {
					began := time.Now()
					r, err := n.lookUp(ctx, &flowpb.Call{Read: "0000000000000001"})
					return err == nil && r.GetStatus() == flowpb.Status_STATUS_NOT_FOUND, time.Since(began)
				}
				var all sync.WaitGroup
				var refused, served atomic.Int64
				var longestRefusal atomic.Int64
				for range calls {
					all.Go(func() {
						if ok, took := lookUp(); ok {
							served.Add(1)
						} else if took <= maxWait {
							refused.Add(1)
						} else {
							longestRefusal.Store(int64(took))
						}
					})
				}
				all.Wait()
				is.True(time.Duration(longestRefusal.Load()) <= maxSilence) // waited for the store until its deadline
				is.True(refused.Load() >= calls-2*maxLookups)               // waited behind others
				is.Equal(served.Load() > 0, !f.silent)
				store.setFault(nil)
				ok, took := lookUp()
				is.True(ok)
				is.True(took < maxWait)
			})
		})
	}
}
