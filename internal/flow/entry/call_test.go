package entry

import (
	"context"
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
		twice := func(_ *flowpb.Call, done func(*flowpb.Reply)) {
			done(&flowpb.Reply{Status: flowpb.Status_STATUS_OK})
			done(nil)
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
