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
	if d := n.documents.current(); d != nil {
		return d.queues()
	}
	return map[string]engine.Queue{}
}

func (n *Node) setTakingOver(takingOver bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takingOver = takingOver
}

func (n *Node) setLocalOwner(local *owner.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.localOwner != nil && local == nil {
		n.ownerLostAt, n.releasedAt = n.options.Clock(), n.options.Clock()
	}
	n.localOwner, n.takingOver = local, false
	close(n.changed)
	n.changed = make(chan struct{})
}

// watchOwner gives up the cell if another entry can serve it better: if the store answers others
// but not this process, or if no agent is connected any more.
func (n *Node) watchOwner(ctx context.Context, local *owner.Owner) {
	t := time.NewTicker(ownerCheckInterval)
	defer t.Stop()
	maxAgents, isolatedSince := 0, time.Duration(0)
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if local.StoreSilence() > maxStoreSilence && n.peerReachesStore(local.StoreSilence()) {
			n.options.Log.Warn("giving up the cell", "reason", "the store answers other entries but not this one", "silence-ms", local.StoreSilence().Milliseconds())
			local.Abandon()
			return
		}
		now, agents := n.options.Clock(), local.Agents()
		if agents > 0 {
			maxAgents, isolatedSince = max(maxAgents, agents), 0
			continue
		}
		if maxAgents > 0 && isolatedSince == 0 {
			isolatedSince = now
		}
		if isolatedSince > 0 && now-isolatedSince > isolationTimeout {
			n.options.Log.Warn("giving up the cell", "reason", "no agent is connected", "had", maxAgents)
			n.mu.Lock()
			release := n.release
			n.mu.Unlock()
			release()
			return
		}
	}
}

// peerReachesStore reports whether the store has answered another entry since it last answered this
// process, silence ago.
func (n *Node) peerReachesStore(silence time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock()
	for _, p := range n.peers {
		if now-p.receivedAt+p.storeSilence+peerStoreMargin < silence {
			return true
		}
	}
	return false
}

// peerHeartbeat returns a function that records the heartbeats of another entry and answers them.
func (n *Node) peerHeartbeat(node string) func(*flowpb.Beat) *flowpb.BeatReply {
	return func(b *flowpb.Beat) *flowpb.BeatReply {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.peers[node] = peerState{receivedAt: n.options.Clock(), storeSilence: time.Duration(b.GetStoreSilenceMillis()) * time.Millisecond}
		return &flowpb.BeatReply{Sequence: b.GetSequence()}
	}
}

// Serve serves the sessions of agents and other entries that connect to the listener, until ctx ends.
func (n *Node) Serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	n.accept(ctx, l)
	n.sessions.Wait()
}

func (n *Node) accept(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			n.options.Log.Warn("accepting a peer connection failed", "error", err.Error())
			loop.Pause(ctx, retryPause)
			continue
		}
		n.sessions.Add(1)
		go func() {
			defer n.sessions.Done()
			n.serve(ctx, conn)
		}()
	}
}

// serve handles the session of an agent or another entry.
func (n *Node) serve(ctx context.Context, conn net.Conn) {
	l, err := link.Accept(ctx, conn)
	if err != nil {
		// Handshakes that the end of this process cuts off are no failures of the peers.
		if ctx.Err() == nil {
			n.options.Log.Info("handshake with a peer failed", "from", conn.RemoteAddr().String(), "error", err.Error())
		}
		return
	}
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	n.options.Follower.Learn(l.Hello().GetOwner())
	local := n.awaitOwner(ctx)
	if local == nil {
		known, _, _ := n.options.Follower.Record()
		l.Send(link.Welcome(&flowpb.Welcome{Error: "not the owner", Owner: known}))
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
		local.ServeAgent(l)
	} else {
		local.ServeEntry(l, n.peerHeartbeat(l.Hello().GetNode()))
	}
	l.Wait()
}

// awaitOwner returns the owner in this process, or nil if there is none. It waits while the cell is
// being loaded, until ctx ends.
func (n *Node) awaitOwner(ctx context.Context) *owner.Owner {
	deadline := time.Now().Add(ownerLoadTimeout)
	for {
		n.mu.Lock()
		local, takingOver, changed := n.localOwner, n.takingOver, n.changed
		n.mu.Unlock()
		if local != nil || !takingOver || ctx.Err() != nil || time.Now().After(deadline) {
			return local
		}
		n.waitChange(ctx, changed, retryPause)
	}
}

// Leave releases the cell and keeps this process from taking it over again. Calls are still
// forwarded.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	if n.release != nil {
		n.release()
	}
}

// Ready reports whether clients may send calls to this entry.
func (n *Node) Ready() bool {
	if n.documents.current() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return false
	}
	return n.localOwner != nil || n.client != nil || n.options.Clock()-n.ownerLostAt < readyGrace
}
