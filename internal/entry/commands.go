package entry

import (
	"context"
	"errors"

	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Start implements driver.Agents.
func (e *Entry) Start(ctx context.Context, worker string, s *peerpb.StartTask) (*peerpb.TaskReply, error) {
	return e.sendCommand(ctx, worker, peer.StartFrame(s))
}

// Stop implements driver.Agents.
func (e *Entry) Stop(ctx context.Context, worker string, s *peerpb.StopTask) (*peerpb.TaskReply, error) {
	return e.sendCommand(ctx, worker, peer.StopFrame(s))
}

var errNoSession = errors.New("entry: no session to the agent")

// sendCommand sends a command frame to a worker's agent and returns the reply.
func (e *Entry) sendCommand(ctx context.Context, worker string, frame *peerpb.Frame) (*peerpb.TaskReply, error) {
	var session *peer.Session
	_ = e.loop.Do(func() {
		if a := e.loopState.agents[worker]; a != nil {
			session = a.session
		}
	})
	if session == nil {
		return nil, errNoSession
	}
	f, err := session.Call(ctx, frame)
	if err != nil {
		return nil, err
	}
	if f.GetTaskReply() == nil {
		return nil, peer.ErrProtocol
	}
	return f.GetTaskReply(), nil
}
