package owner

import (
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
)

// ServeAgent serves the session of an agent until it ends. A new session replaces an earlier one of
// the same node.
func (o *Owner) ServeAgent(l *link.Link) {
	node := l.Hello().GetNode()
	err := o.loop.Do(func() {
		if o.state.stopped {
			l.Close()
			return
		}
		if old := o.state.links[node]; old != nil {
			old.Close()
		}
		o.state.links[node] = l
		o.agents.Store(int64(len(o.state.links)))
		o.engine.Connect(node)
	})
	if err != nil {
		l.Close()
		return
	}
	l.Send(link.Welcome(&flowpb.Welcome{Epoch: o.Epoch()}))
	for {
		f, err := l.Receive()
		if err != nil {
			break
		}
		o.loop.Post(func() { o.handleAgentFrame(node, l, f) })
	}
	l.Close()
	o.loop.Post(func() {
		if l.Silent() {
			o.options.Log.Warn("agent is silent", "node", node)
		}
		if o.state.links[node] == l {
			delete(o.state.links, node)
			o.agents.Store(int64(len(o.state.links)))
			o.engine.Disconnect(node, o.now())
		}
	})
}

func (o *Owner) handleAgentFrame(node string, l *link.Link, f *flowpb.Frame) {
	if o.state.stopped || o.state.links[node] != l {
		return
	}
	switch b := f.GetBody().(type) {
	case *flowpb.Frame_Sync:
		o.engine.Sync(node, b.Sync, o.now())
	case *flowpb.Frame_Report:
		o.engine.Report(node, b.Report, o.now())
	}
	o.advance()
}

// ServeEntry serves the calls and heartbeats of another entry until its session ends.
func (o *Owner) ServeEntry(l *link.Link, answerHeartbeat func(*flowpb.Beat) *flowpb.BeatReply) {
	l.Send(link.Welcome(&flowpb.Welcome{Epoch: o.Epoch()}))
	defer l.Close()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		// The end of the session tells the entry that this process no longer owns the cell.
		select {
		case <-o.loop.Done():
			l.Close()
		case <-stop:
		}
	}()
	defer func() {
		close(stop)
		<-stopped
	}()
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		switch b := f.GetBody().(type) {
		case *flowpb.Frame_Call:
			id := b.Call.GetId()
			taken := o.Call(b.Call, func(r *flowpb.Reply) {
				if r == nil {
					l.Close()
					return
				}
				r.Id = id
				l.Send(link.Reply(r))
			})
			if !taken {
				l.Close()
			}
		case *flowpb.Frame_Beat:
			l.Send(link.BeatReply(answerHeartbeat(b.Beat)))
		}
	}
}
