package peer

import "github.com/jasminebay/jasminebay/internal/peer/peerpb"

// ChunkFrame wraps part of a body.
func ChunkFrame(data []byte) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Chunk{Chunk: &peerpb.Chunk{Data: data}}}
}

// EndFrame wraps the end of a body.
func EndFrame(e *peerpb.End) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_End{End: e}}
}

// RefusalFrame wraps a refusal.
func RefusalFrame(r *peerpb.Refusal) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Refusal{Refusal: r}}
}

// RequestFrame wraps the head of a request. Chunks and an End follow it.
func RequestFrame(h *peerpb.RequestHead) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_RequestHead{RequestHead: h}}
}

// ResponseFrame wraps the head of a response. Chunks and an End follow it.
func ResponseFrame(h *peerpb.ResponseHead) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ResponseHead{ResponseHead: h}}
}

// ReportFrame wraps an agent's heartbeat.
func ReportFrame(r *peerpb.Report) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Report{Report: r}}
}

// UpdateFrame wraps the reply to a heartbeat.
func UpdateFrame(u *peerpb.Update) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Update{Update: u}}
}

// CancelFrame wraps the cancellation of a request.
func CancelFrame(c *peerpb.Cancel) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: c}}
}

// CancelReplyFrame wraps the reply to a Cancel.
func CancelReplyFrame(c *peerpb.CancelReply) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_CancelReply{CancelReply: c}}
}

// LookupFrame wraps a query for the recorded response to a request.
func LookupFrame(l *peerpb.Lookup) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Lookup{Lookup: l}}
}

// StartFrame wraps a request to start a task attempt.
func StartFrame(t *peerpb.StartTask) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_StartTask{StartTask: t}}
}

// StopFrame wraps a request to stop a task attempt.
func StopFrame(t *peerpb.StopTask) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_StopTask{StopTask: t}}
}

// TaskReplyFrame wraps the reply to a StartTask, a StopTask or a Drain.
func TaskReplyFrame(t *peerpb.TaskReply) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_TaskReply{TaskReply: t}}
}

// PeerStateFrame wraps the state that an entry sends to the other entries.
func PeerStateFrame(p *peerpb.PeerState) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_PeerState{PeerState: p}}
}

// JobCallFrame wraps an operation on a job.
func JobCallFrame(c *peerpb.JobCall) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_JobCall{JobCall: c}}
}

// JobReplyFrame wraps the reply to a JobCall.
func JobReplyFrame(r *peerpb.JobReply) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_JobReply{JobReply: r}}
}

func helloFrame(h *peerpb.Hello) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: h}}
}

func welcomeFrame(w *peerpb.Welcome) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Welcome{Welcome: w}}
}

// DrainFrame wraps a request to drain an agent.
func DrainFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Drain{Drain: &peerpb.Drain{}}}
}
