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

// RequestFrame wraps the head of a request.
func RequestFrame(h *peerpb.RequestHead) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_RequestHead{RequestHead: h}}
}

// ResponseFrame wraps the head of an answer.
func ResponseFrame(h *peerpb.ResponseHead) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ResponseHead{ResponseHead: h}}
}

// ReportFrame wraps a heartbeat.
func ReportFrame(r *peerpb.Report) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Report{Report: r}}
}

// UpdateFrame wraps the answer to a heartbeat.
func UpdateFrame(u *peerpb.Update) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Update{Update: u}}
}

// CancelFrame wraps a cancellation.
func CancelFrame(c *peerpb.Cancel) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: c}}
}

// CancelReplyFrame wraps the answer to a cancellation.
func CancelReplyFrame(c *peerpb.CancelReply) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_CancelReply{CancelReply: c}}
}

// LookupFrame wraps a question for a recorded answer.
func LookupFrame(l *peerpb.Lookup) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Lookup{Lookup: l}}
}

// StartFrame wraps the start of a task attempt.
func StartFrame(t *peerpb.StartTask) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_StartTask{StartTask: t}}
}

// StopFrame wraps the stop of a task attempt.
func StopFrame(t *peerpb.StopTask) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_StopTask{StopTask: t}}
}

// TaskReplyFrame wraps the answer to a start or a stop.
func TaskReplyFrame(t *peerpb.TaskReply) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_TaskReply{TaskReply: t}}
}

// PeerStateFrame wraps what an entry tells its peers.
func PeerStateFrame(p *peerpb.PeerState) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_PeerState{PeerState: p}}
}

// JobCallFrame wraps a call on a job.
func JobCallFrame(c *peerpb.JobCall) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_JobCall{JobCall: c}}
}

// JobReplyFrame wraps the answer to a call on a job.
func JobReplyFrame(r *peerpb.JobReply) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_JobReply{JobReply: r}}
}

func helloFrame(h *peerpb.Hello) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: h}}
}

func welcomeFrame(w *peerpb.Welcome) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Welcome{Welcome: w}}
}

// DrainFrame wraps the request to drain.
func DrainFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Drain{Drain: &peerpb.Drain{}}}
}
