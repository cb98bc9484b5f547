package entry

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

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
