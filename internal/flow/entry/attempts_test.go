package entry

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/flow/owner"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// attemptsTimeout is how long the client of a scripted call waits.
const attemptsTimeout = 2 * time.Second

// scriptedCell lets a node make the attempts of a call one after another.
type scriptedCell struct {
	is    *is.I
	node  *Node
	store *fakeStore
}

// TestRefusalOfLastAttemptDeniesEarlierOnes guards against a job that runs although its client was told
// that it never would: an attempt that got no answer took effect after the next one had been refused.
func TestRefusalOfLastAttemptDeniesEarlierOnes(t *testing.T) {
	calls := map[string]*flowpb.Call{
		"submit": {Submit: &flowpb.Job{Id: "j", Steps: []*flowpb.Step{{Count: 1, MilliCpu: 1}}}},
		"cancel": {Cancel: "j"}, "read": {Read: "j"}, "count": {Count: "q"},
	}
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, d *datadriven.TestData) string {
		store := newFakeStore()
		n, _ := newTestNode(store)
		s := &scriptedCell{is: is.New(t), node: n, store: store}
		ctx, cancel := context.WithTimeout(t.Context(), attemptsTimeout)
		defer cancel()
		if d.HasArg("inbox") {
			// Another entry has accepted the job.
			s.is.NoErr(owner.EnqueueJob(ctx, store, n.options.Cell, calls["submit"].GetSubmit()))
		}
		if d.HasArg("store-refuses") {
			store.setFault(func(string, string) fault { return fault{refused: true} })
		}
		var result string
		attempts := strings.Split(d.Input, "\n")
		end := s.prepare(ctx, attempts[0])
		called := loop.Go(ctx, func(ctx context.Context) { result = textOf(n.Call(ctx, calls[d.Cmd])) })
		for _, attempt := range attempts[1:] {
			end()
			end = s.prepare(ctx, attempt)
		}
		<-called
		end()
		if item, err := store.Get(ctx, n.options.Cell+"/inbox/cancel-j"); err == nil && len(item.Value()) > 0 {
			result += "a cancel is in the inbox\n"
		}
		return result
	})
}

func textOf(r *flowpb.Reply, err error) string {
	if err != nil {
		return fmt.Sprintf("error: %s\n", err)
	}
	text := strings.TrimPrefix(r.GetStatus().String(), "STATUS_")
	if r.GetRetryAfterMillis() > 0 {
		text += fmt.Sprintf(", retry after %s", time.Duration(r.GetRetryAfterMillis())*time.Millisecond)
	}
	return text + "\n"
}

// prepare makes the cell ready for an attempt. It returns a function that waits until the attempt has
// failed, or ends it after its answer.
func (s *scriptedCell) prepare(ctx context.Context, attempt string) (end func()) {
	faults := map[string]fault{"store-refuses": {refused: true}, "store-silent": {silent: true}, "store-accepts": {}}
	f, found := faults[attempt]
	if !found {
		return s.connect(ctx, attempt)
	}
	called := make(chan struct{}, 1)
	s.store.setFault(func(string, string) fault {
		select {
		case called <- struct{}{}:
		default:
		}
		return f
	})
	return func() { <-called }
}

// connect connects the node to an owner for one attempt.
func (s *scriptedCell) connect(ctx context.Context, attempt string) (end func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	ownerDone := loop.Go(ctx, func(ctx context.Context) {
		conn, err := listener.Accept()
		s.is.NoErr(err)
		l, err := link.Accept(ctx, conn)
		s.is.NoErr(err)
		l.Send(link.Welcome(&flowpb.Welcome{Epoch: 1}))
		for f, err := l.Receive(); err == nil && attempt != "lost"; f, err = l.Receive() {
			if f.GetCall() != nil {
				l.Send(link.Reply(replyOf(f.GetCall().GetId(), attempt)))
			}
		}
		l.Close()
		l.Wait()
	})
	l, _, err := link.Dial(ctx, listener.Addr().String(), &flowpb.Hello{Node: "n"})
	s.is.NoErr(err)
	c := newClient(l)
	if attempt == "ended" {
		l.Close()
	}
	s.node.setClient(c)
	clientDone := loop.Go(ctx, func(ctx context.Context) { c.run(ctx, s.node.heartbeat) })
	return func() {
		switch attempt {
		case "lost":
			<-ownerDone
		case "ended":
			// The node tries the link that has ended and then waits for a change.
			time.Sleep(inboxDelay / 4)
		default:
			l.Close()
		}
		<-clientDone
		<-ownerDone
		s.node.setClient(nil)
		_ = listener.Close()
		l.Wait()
	}
}

// replyOf returns the reply to a call with a status, such as "REJECTED", and the milliseconds after which
// to retry.
func replyOf(id uint64, text string) *flowpb.Reply {
	name, after, _ := strings.Cut(text, " ")
	millis, _ := strconv.ParseInt(after, 10, 64)
	return &flowpb.Reply{Id: id, Status: flowpb.Status(flowpb.Status_value["STATUS_"+name]), RetryAfterMillis: millis}
}
