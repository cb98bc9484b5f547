package entry

import (
	"context"
	"net"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/flow/owner"
	"github.com/jasminebay/jasminebay/internal/loop"
)

func (n *Node) queues() map[string]engine.Queue {
	if d := n.holder.current(); d != nil {
		return d.queues()
	}
	return map[string]engine.Queue{}
}

func (n *Node) setTaking(taking bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.taking = taking
}

func (n *Node) setOwner(own *owner.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.own != nil && own == nil {
		n.lostAt, n.resigned = n.options.Clock(), n.options.Clock()
	}
	n.own, n.taking = own, false
	close(n.changed)
	n.changed = make(chan struct{})
}

// watchOwner gives up the cell if others can serve it better: if the store is silent for
// this process alone, or no agent reaches it any more.
func (n *Node) watchOwner(ctx context.Context, own *owner.Owner) {
	t := time.NewTicker(ownerPoll)
	defer t.Stop()
	had, lonely := 0, time.Duration(0)
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if own.StoreSilence() > resignSilence && n.peerHearsStore(own.StoreSilence()) {
			n.options.Log.Warn("giving up the cell", "reason", "the store is silent here and not for others", "silence-ms", own.StoreSilence().Milliseconds())
			own.Abandon()
			return
		}
		now, agents := n.options.Clock(), own.Agents()
		if agents > 0 {
			had, lonely = max(had, agents), 0
			continue
		}
		if had > 0 && lonely == 0 {
			lonely = now
		}
		if lonely > 0 && now-lonely > isolatedAfter {
			n.options.Log.Warn("giving up the cell", "reason", "no agent reaches this process", "had", had)
			n.mu.Lock()
			giveUp := n.giveUp
			n.mu.Unlock()
			giveUp()
			return
		}
	}
}

// peerHearsStore reports whether another entry has heard of the store since it fell silent
// here.
func (n *Node) peerHearsStore(silence time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock()
	for _, p := range n.peers {
		if now-p.heard+p.storeSilence+hearMargin < silence {
			return true
		}
	}
	return false
}

// peerBeat takes in the heartbeat of another entry.
func (n *Node) peerBeat(node string) func(*flowpb.Beat) *flowpb.BeatReply {
	return func(b *flowpb.Beat) *flowpb.BeatReply {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.peers[node] = peerState{heard: n.options.Clock(), storeSilence: time.Duration(b.GetStoreSilenceMillis()) * time.Millisecond}
		return &flowpb.BeatReply{Sequence: b.GetSequence()}
	}
}

func (n *Node) accept(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			n.options.Log.Warn("peer connection not accepted", "error", err.Error())
			loop.Pause(ctx, redialPause)
			continue
		}
		n.links.Add(1)
		go func() {
			defer n.links.Done()
			n.serve(ctx, conn)
		}()
	}
}

// serve carries one session of an agent or another entry.
func (n *Node) serve(ctx context.Context, conn net.Conn) {
	l, err := link.Accept(ctx, conn)
	if err != nil {
		n.options.Log.Info("peer connection ended before its hello", "from", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	own := n.awaitOwner(ctx)
	if own == nil {
		l.Send(link.Welcome(&flowpb.Welcome{Error: "not the owner"}))
		select {
		case <-l.Ended():
		case <-time.After(link.HelloTimeout):
		case <-ctx.Done():
		}
		l.Close()
		l.Wait()
		return
	}
	if l.Hello().GetAgent() {
		own.ServeAgent(l)
	} else {
		own.ServeEntry(l, n.peerBeat(l.Hello().GetNode()))
	}
	l.Wait()
}

// awaitOwner returns the owner in this process; while one is being loaded it waits.
func (n *Node) awaitOwner(ctx context.Context) *owner.Owner {
	deadline := time.Now().Add(loadingWait)
	for {
		n.mu.Lock()
		own, taking, changed := n.own, n.taking, n.changed
		n.mu.Unlock()
		if own != nil || !taking || time.Now().After(deadline) {
			return own
		}
		n.waitChange(ctx, changed, redialPause)
	}
}

// Leave makes this process give up the cell and take it no more; calls are still passed on.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	if n.giveUp != nil {
		n.giveUp()
	}
}

// Ready reports whether clients should be sent here.
func (n *Node) Ready() bool {
	if n.holder.current() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return false
	}
	return n.own != nil || n.client != nil || n.options.Clock()-n.lostAt < readyGrace
}
