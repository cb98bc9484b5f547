package link

import (
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// maxBatchFrames bounds the frames sent in one write.
const maxBatchFrames = 64

func (l *Link) batch(first *flowpb.Frame) []proto.Message {
	frames := []proto.Message{first}
	for len(frames) < maxBatchFrames {
		select {
		case f := <-l.outbox:
			frames = append(frames, f)
		default:
			return frames
		}
	}
	return frames
}

// Welcome returns the frame of an answer to a hello.
func Welcome(w *flowpb.Welcome) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Welcome{Welcome: w}}
}

// Sync returns the frame of a request for a new token.
func Sync(s *flowpb.Sync) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Sync{Sync: s}}
}

// Report returns the frame of an agent's report.
func Report(r *flowpb.Report) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Report{Report: r}}
}

// Orders returns the frame of orders to an agent.
func Orders(o *flowpb.Orders) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Orders{Orders: o}}
}

// Call returns the frame of a client's call.
func Call(c *flowpb.Call) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Call{Call: c}}
}

// Reply returns the frame of an answer to a call.
func Reply(r *flowpb.Reply) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Reply{Reply: r}}
}

// Beat returns the frame of a heartbeat.
func Beat(b *flowpb.Beat) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Beat{Beat: b}}
}

// BeatReply returns the frame of an answer to a heartbeat.
func BeatReply(b *flowpb.BeatReply) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_BeatReply{BeatReply: b}}
}
