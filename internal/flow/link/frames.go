package link

import (
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// gatherFrames bounds how many frames go out in one write.
const gatherFrames = 64

func (l *Link) gather(first *flowpb.Frame) []proto.Message {
	frames := []proto.Message{first}
	for len(frames) < gatherFrames {
		select {
		case f := <-l.outbox:
			frames = append(frames, f)
		default:
			return frames
		}
	}
	return frames
}

// Welcome wraps the answer to a hello.
func Welcome(w *flowpb.Welcome) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Welcome{Welcome: w}}
}

// Sync wraps a request for a new token.
func Sync(s *flowpb.Sync) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Sync{Sync: s}}
}

// Report wraps what an agent reports.
func Report(r *flowpb.Report) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Report{Report: r}}
}

// Orders wraps orders to an agent.
func Orders(o *flowpb.Orders) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Orders{Orders: o}}
}

// Call wraps a client's call.
func Call(c *flowpb.Call) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Call{Call: c}}
}

// Reply wraps the answer to a call.
func Reply(r *flowpb.Reply) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Reply{Reply: r}}
}

// Beat wraps a heartbeat.
func Beat(b *flowpb.Beat) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_Beat{Beat: b}}
}

// BeatReply wraps the answer to a heartbeat.
func BeatReply(b *flowpb.BeatReply) *flowpb.Frame {
	return &flowpb.Frame{Body: &flowpb.Frame_BeatReply{BeatReply: b}}
}
