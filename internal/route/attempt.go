package route

import (
	"context"
	"errors"
	"time"

	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// bufferBytes is how much of an answer is held back until it is known to be whole.
	bufferBytes = 256 << 10
	// cancelTimeout bounds the question whether a request can still be kept from running.
	cancelTimeout = 300 * time.Millisecond
	// deadlineGrace lets the agent's own verdict on a deadline arrive first.
	deadlineGrace = 50 * time.Millisecond
)

var errBroken = errors.New("route: the answer broke off")

// send gives the request to one agent or peer and returns what became of it.
func send(ctx context.Context, session *peer.Session, head *peerpb.RequestHead, body []byte) *Reply {
	stream, err := session.OpenStream()
	if err != nil {
		return notRun(peerpb.Reason_REASON_UNSPECIFIED, "the session to the agent is gone", 0)
	}
	stop := context.AfterFunc(ctx, stream.Close)
	if deadline, ok := ctx.Deadline(); ok {
		stream.SetDeadline(deadline.Add(deadlineGrace))
	}
	err = sendRequest(stream, head, body)
	reply, receiveErr := receive(stream)
	if receiveErr == nil {
		return hold(reply, stream, stop)
	}
	stop()
	stream.Close()
	if err == nil {
		err = receiveErr
	}
	return resolve(ctx, session, head, err)
}

func sendRequest(stream *peer.Stream, head *peerpb.RequestHead, body []byte) error {
	if len(body) > peer.ChunkBytes {
		if err := stream.Send(peer.RequestFrame(head)); err != nil {
			return err
		}
		return stream.SendBody(body, &peerpb.End{Complete: true})
	}
	// A small request travels in one write.
	return stream.Send(peer.RequestFrame(head), peer.ChunkFrame(body), peer.EndFrame(&peerpb.End{Complete: true}))
}

// hold keeps the stream of a partial answer for its rest.
func hold(reply *Reply, stream *peer.Stream, stop func() bool) *Reply {
	if reply.Partial {
		reply.stream = stream
		return reply
	}
	stop()
	stream.Close()
	return reply
}

// receive reads the answer, up to bufferBytes of it.
func receive(stream *peer.Stream) (*Reply, error) {
	reply := &Reply{}
	for {
		f, err := stream.Receive()
		if err != nil {
			return nil, err
		}
		switch b := f.GetBody().(type) {
		case *peerpb.Frame_Refusal:
			reply = notRun(b.Refusal.GetReason(), "", time.Duration(b.Refusal.GetRetryAfterMillis())*time.Millisecond)
			reply.state(b.Refusal.GetState())
			return reply, nil
		case *peerpb.Frame_ResponseHead:
			reply.Head = b.ResponseHead
		case *peerpb.Frame_Chunk:
			reply.Body = append(reply.Body, b.Chunk.GetData()...)
			if len(reply.Body) >= bufferBytes {
				reply.Outcome, reply.Partial = OutcomeAnswered, true
				return reply, nil
			}
		case *peerpb.Frame_End:
			return ended(reply, b.End)
		default:
			return nil, peer.ErrProtocol
		}
	}
}

func ended(reply *Reply, e *peerpb.End) (*Reply, error) {
	switch {
	case e.GetComplete() && reply.Head != nil:
		reply.Outcome = OutcomeAnswered
	case e.GetOutcome() == peerpb.Outcome_OUTCOME_RAN:
		reply = &Reply{Outcome: OutcomeRan, Detail: e.GetDetail()}
	case e.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN:
		reply = unknown(e.GetDetail())
	default:
		return nil, errBroken
	}
	reply.state(e.GetState())
	return reply, nil
}

// state keeps the agent's word that came with the answer.
func (r *Reply) state(s *peerpb.UpstreamState) {
	if s != nil {
		r.fresh = s
	}
}

// resolve finds out whether a request that brought no answer can be kept from running.
func resolve(ctx context.Context, session *peer.Session, head *peerpb.RequestHead, cause error) *Reply {
	if head.GetIncarnation() == 0 {
		return unknown("the peer gave no whole answer: " + cause.Error())
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	f, err := session.Call(ctx, peer.CancelFrame(&peerpb.Cancel{Id: head.GetId(), Incarnation: head.GetIncarnation()}))
	if err == nil && f.GetCancelReply().GetNotRun() {
		return notRun(peerpb.Reason_REASON_CANCELLED, "cancelled before it began", 0)
	}
	return unknown("the agent gave no whole answer: " + cause.Error())
}
