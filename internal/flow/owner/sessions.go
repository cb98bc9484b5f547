package owner

import (
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
)

// ServeAgent carries an agent's session until it ends.
func (w *Owner) ServeAgent(l *link.Link) {
	node := l.Hello().GetNode()
	err := w.loop.Do(func() {
		if w.c.stopped {
			l.Close()
			return
		}
		if old := w.c.links[node]; old != nil {
			old.Close()
		}
		w.c.links[node] = l
		w.agents.Store(int64(len(w.c.links)))
		w.engine.Connect(node)
	})
	if err != nil {
		l.Close()
		return
	}
	l.Send(link.Welcome(&flowpb.Welcome{Epoch: w.Epoch()}))
	for {
		f, err := l.Receive()
		if err != nil {
			break
		}
		w.loop.Post(func() { w.fromAgent(node, l, f) })
	}
	l.Close()
	w.loop.Post(func() {
		if w.c.links[node] == l {
			delete(w.c.links, node)
			w.agents.Store(int64(len(w.c.links)))
			w.engine.Disconnect(node, w.now())
		}
	})
}

func (w *Owner) fromAgent(node string, l *link.Link, f *flowpb.Frame) {
	if w.c.stopped || w.c.links[node] != l {
		return
	}
	switch b := f.GetBody().(type) {
	case *flowpb.Frame_Sync:
		w.engine.Sync(node, b.Sync, w.now())
	case *flowpb.Frame_Report:
		w.engine.Report(node, b.Report, w.now())
	}
	w.step()
}

// ServeEntry carries the calls of another entry until its session ends.
func (w *Owner) ServeEntry(l *link.Link, peer func(*flowpb.Beat) *flowpb.BeatReply) {
	l.Send(link.Welcome(&flowpb.Welcome{Epoch: w.Epoch()}))
	defer l.Close()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		// The entry learns that the cell was given up by the end of the session.
		select {
		case <-w.loop.Done():
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
			w.Call(b.Call, func(r *flowpb.Reply) {
				if r == nil {
					l.Close()
					return
				}
				r.Id = id
				l.Send(link.Reply(r))
			})
		case *flowpb.Frame_Beat:
			l.Send(link.BeatReply(peer(b.Beat)))
		}
	}
}
