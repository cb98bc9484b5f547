package route

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// maxBufferedBytes bounds the part of a response that is buffered. A response that fits is
	// passed on only once it is complete, so that it can still be retried.
	maxBufferedBytes = 256 << 10
	// cancelTimeout bounds the cancel call that follows an attempt without a response.
	cancelTimeout = 300 * time.Millisecond
	// deadlineGrace keeps the stream open past the deadline, so that the agent's own report on the
	// expired request can arrive.
	deadlineGrace = 50 * time.Millisecond
)

// errTruncated is returned if the response ends before it is complete.
var errTruncated = errors.New("route: the answer broke off")

// roundTrip sends the request to one agent or peer entry and returns the reply or, if there was
// no complete response, whether the request may have run.
func roundTrip(ctx context.Context, session *peer.Session, head *peerpb.RequestHead, body []byte) *Reply {
	stream, err := session.OpenStream()
	if err != nil {
		return notRunReply(peerpb.Reason_REASON_UNSPECIFIED, "the session to the agent is gone", 0)
	}
	stop := context.AfterFunc(ctx, stream.Close)
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline.Add(deadlineGrace))
	}
	err = sendRequest(stream, head, body)
	reply, receiveErr := receiveReply(stream)
	if receiveErr == nil {
		return keepStream(reply, stream, stop)
	}
	stop()
	stream.Close()
	if err == nil {
		err = receiveErr
	}
	return cancelRequest(ctx, session, head, err)
}

func sendRequest(stream *peer.Stream, head *peerpb.RequestHead, body []byte) error {
	if len(body) > peer.ChunkBytes {
		if err := stream.Send(peer.RequestFrame(head)); err != nil {
			return err
		}
		return stream.SendBody(body, &peerpb.End{Complete: true})
	}
	// A small request is sent in one write.
	return stream.Send(peer.RequestFrame(head), peer.ChunkFrame(body), peer.EndFrame(&peerpb.End{Complete: true}))
}

// keepStream attaches the stream to a partial reply, which reads the rest of the body from it.
// The stream of any other reply is closed.
func keepStream(reply *Reply, stream *peer.Stream, stop func() bool) *Reply {
	if reply.Partial {
		reply.stream = stream
		return reply
	}
	stop()
	stream.Close()
	return reply
}

// receiveReply reads a reply, with up to about maxBufferedBytes of its body.
func receiveReply(stream *peer.Stream) (*Reply, error) {
	reply := &Reply{}
	for {
		f, err := stream.Receive()
		if err != nil {
			return nil, err
		}
		switch b := f.GetBody().(type) {
		case *peerpb.Frame_Refusal:
			reply = notRunReply(b.Refusal.GetReason(), "", time.Duration(b.Refusal.GetRetryAfterMillis())*time.Millisecond)
			reply.setUpstreamState(b.Refusal.GetState())
			return reply, nil
		case *peerpb.Frame_ResponseHead:
			reply.Head = b.ResponseHead
		case *peerpb.Frame_Chunk:
			reply.Body = append(reply.Body, b.Chunk.GetData()...)
			if len(reply.Body) >= maxBufferedBytes {
				reply.Outcome, reply.Partial = OutcomeAnswered, true
				return reply, nil
			}
		case *peerpb.Frame_End:
			return replyAtEnd(reply, b.End)
		default:
			return nil, peer.ErrProtocol
		}
	}
}

// replyAtEnd completes the reply with the end frame e of its stream.
func replyAtEnd(reply *Reply, e *peerpb.End) (*Reply, error) {
	switch {
	case e.GetComplete() && reply.Head != nil:
		reply.Outcome = OutcomeAnswered
	case e.GetOutcome() == peerpb.Outcome_OUTCOME_RAN:
		reply = &Reply{Outcome: OutcomeRan, Detail: e.GetDetail()}
	case e.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN:
		reply = unknownReply(e.GetDetail())
	default:
		return nil, errTruncated
	}
	reply.setUpstreamState(e.GetState())
	return reply, nil
}

// setUpstreamState stores the upstream state that the agent sent with the reply, if any.
func (r *Reply) setUpstreamState(s *peerpb.UpstreamState) {
	if s != nil {
		r.upstreamState = s
	}
}

// cancelRequest cancels a request that got no complete response. The reply is OutcomeNotRun if
// the agent confirms that the request will not run, and OutcomeUnknown otherwise. A request to a
// peer entry, which carries no incarnation, can't be cancelled.
func cancelRequest(ctx context.Context, session *peer.Session, head *peerpb.RequestHead, cause error) *Reply {
	if head.GetIncarnation() == 0 {
		return unknownReply("the peer gave no whole answer: " + cause.Error())
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	f, err := session.Call(ctx, peer.CancelFrame(&peerpb.Cancel{Id: head.GetId(), Incarnation: head.GetIncarnation()}))
	if err == nil && f.GetCancelReply().GetNotRun() {
		return notRunReply(peerpb.Reason_REASON_CANCELLED, "cancelled before it began", 0)
	}
	return unknownReply("the agent gave no whole answer: " + cause.Error())
}
