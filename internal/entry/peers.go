package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/redial"
	"github.com/jasminebay/jasminebay/internal/route"
)

const (
	redialMax      = 3 * time.Second
	gossipInterval = 500 * time.Millisecond
	// statesPerEntryList is the number of states of which one carries the list of live entries.
	// Peers normally read that list from the key-value service.
	statesPerEntryList = 16
)

// peerSession is a session that this entry has dialled to another one, with the latest state of
// the peer.
type peerSession struct {
	id          string
	session     *peer.Session
	state       *peerpb.PeerState
	lastStateAt time.Time
	// revision is the latest configuration revision that the peer reported.
	revision uint64
}

// goDial keeps a session to each other entry until ctx ends.
func (e *Entry) goDial(ctx context.Context) <-chan struct{} {
	return redial.Maintain(ctx, redial.Options{Addresses: e.peerAddresses, RunSession: e.runPeerSession, MaxDelay: redialMax, Log: e.log})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// peerAddresses returns the addresses of the other live entries and, without a session to a peer,
// those of Options.Peers.
func (e *Entry) peerAddresses() (addresses []string) {
	_ = e.loop.Do(func() {
		seen := map[string]bool{e.peerAddress(): true}
		for _, a := range e.loopState.liveEntries {
			if !seen[a.GetPeerAddress()] {
				seen[a.GetPeerAddress()] = true
				addresses = append(addresses, a.GetPeerAddress())
			}
		}
		for _, address := range e.options.Peers {
			if !seen[address] && len(e.loopState.peers) == 0 {
				addresses = append(addresses, address)
			}
		}
	})
	return addresses
}

func (e *Entry) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Version: peer.Version, System: e.options.System, Id: e.options.ID, Role: peer.RoleEntry, Incarnation: e.incarnation,
		DataCentre: e.options.DataCentre, Address: e.options.Advertise, PeerAddress: e.peerAddress(),
	}
}

// runPeerSession dials a peer and exchanges states with it until the session ends. It returns at
// once if the address is this entry's own or if there is a session to that peer already.
func (e *Entry) runPeerSession(ctx context.Context, address string) error {
	s, control, welcome, err := peer.Dial(ctx, address, e.hello())
	if err != nil {
		return err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, s.Close)()
	if welcome.GetId() == e.options.ID {
		return nil
	}
	p := &peerSession{id: welcome.GetId(), session: s, state: &peerpb.PeerState{Id: welcome.GetId(), DataCentre: welcome.GetDataCentre()}, lastStateAt: time.Now()}
	added := false
	_ = e.loop.Do(func() {
		if old := e.loopState.peers[p.id]; old == nil || isClosed(old.session.Done()) {
			e.loopState.peers[p.id] = p
			added = true
		}
	})
	if !added {
		return nil
	}
	defer func() {
		_ = e.loop.Do(func() { e.removePeer(p) })
	}()
	e.log.Info("peer connected", "peer", p.id, "peer-data-centre", welcome.GetDataCentre(), "address", address)
	return e.exchangeStates(ctx, control, p)
}

// removePeer removes the session to a peer, and a draining peer from the live entries; it runs on
// the loop.
func (e *Entry) removePeer(p *peerSession) {
	if e.loopState.peers[p.id] == p {
		delete(e.loopState.peers, p.id)
		e.cells.forgetPeer(p.id)
	}
	if p.state.GetDraining() && e.loopState.liveEntries[p.id] != nil {
		delete(e.loopState.liveEntries, p.id)
		e.loopState.liveEntriesVersion++
	}
	e.publishRoutes()
}

// exchangeStates sends this entry's state to a peer and receives the peer's, at an interval and
// whenever the configuration changes.
func (e *Entry) exchangeStates(ctx context.Context, control *peer.Stream, p *peerSession) error {
	for {
		changed := e.options.Holder.Changed()
		control.SetDeadline(time.Now().Add(sessionTimeout))
		if err := control.Send(peer.PeerStateFrame(e.ownState(p.revision))); err != nil {
			return err
		}
		f, err := control.Receive()
		if err != nil {
			return err
		}
		if f.GetPeerState() == nil {
			return peer.ErrProtocol
		}
		e.recordPeerState(p, f.GetPeerState())
		timer := time.NewTimer(gossipInterval)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// recordPeerState stores the state of a peer and applies a newer document that it carries.
func (e *Entry) recordPeerState(p *peerSession, state *peerpb.PeerState) {
	e.applyDocument(&peerpb.Slice{Revision: state.GetRevision(), Environment: state.GetEnvironment(), Document: state.GetDocument()})
	_ = e.loop.Do(func() {
		p.state, p.lastStateAt, p.revision = state, time.Now(), state.GetRevision()
		for _, a := range state.GetEntries() {
			if e.loopState.liveEntries[a.GetId()] == nil && !e.registered.Load() {
				// While the key-value service is down, entries learn of each other from peers.
				e.loopState.liveEntries[a.GetId()] = a
				e.loopState.liveEntriesVersion++
			}
		}
	})
	e.cells.recordPeerCells(state)
}

// servePeer replies to the states of a peer with this entry's own and serves the peer's calls
// until the session ends.
func (e *Entry) servePeer(ctx context.Context, s *peer.Session, control *peer.Stream, hello *peerpb.Hello) error {
	welcome := &peerpb.Welcome{Id: e.options.ID, DataCentre: e.options.DataCentre}
	_ = e.loop.Do(func() { welcome.Entries, _ = e.entries() })
	if err := control.SendWelcome(welcome); err != nil {
		return err
	}
	streams := e.goPeerStreams(ctx, s)
	defer func() {
		s.Close()
		<-streams
	}()
	for {
		control.SetDeadline(time.Now().Add(sessionTimeout))
		f, err := control.Receive()
		if err != nil {
			return err
		}
		state := f.GetPeerState()
		if state == nil {
			return peer.ErrProtocol
		}
		e.applyDocument(&peerpb.Slice{Revision: state.GetRevision(), Environment: state.GetEnvironment(), Document: state.GetDocument()})
		e.recordDialer(hello, state)
		if err := control.Send(peer.PeerStateFrame(e.ownState(state.GetRevision()))); err != nil {
			return err
		}
	}
}

// recordDialer adds a peer that has dialled this entry to the live entries while the key-value
// service is down, so that this entry dials it too.
func (e *Entry) recordDialer(hello *peerpb.Hello, state *peerpb.PeerState) {
	if hello.GetAddress() == "" || state.GetDraining() {
		return
	}
	_ = e.loop.Do(func() {
		if e.loopState.liveEntries[hello.GetId()] == nil && !e.registered.Load() {
			e.loopState.liveEntries[hello.GetId()] = &peerpb.EntryAddress{Id: hello.GetId(), DataCentre: hello.GetDataCentre(), Address: hello.GetAddress(), PeerAddress: hello.GetPeerAddress()}
			e.loopState.liveEntriesVersion++
		}
	})
}

// goPeerStreams serves the streams that a peer opens until the session ends.
func (e *Entry) goPeerStreams(ctx context.Context, s *peer.Session) <-chan struct{} {
	return loop.Go(ctx, func(ctx context.Context) {
		var wait sync.WaitGroup
		defer wait.Wait()
		for {
			stream, err := s.AcceptStream()
			if err != nil {
				return
			}
			wait.Go(func() { e.servePeerStream(ctx, stream) })
		}
	})
}

// servePeerStream serves one call of a peer: a spilled request or an operation on a job.
func (e *Entry) servePeerStream(ctx context.Context, stream *peer.Stream) {
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(sessionTimeout))
	f, err := stream.Receive()
	if err != nil {
		return
	}
	stream.SetDeadline(time.Time{})
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_RequestHead:
		e.serveSpilled(ctx, stream, b.RequestHead)
	case *peerpb.Frame_JobCall:
		_ = stream.Send(peer.JobReplyFrame(e.serveJobCall(ctx, b.JobCall)))
	default:
		e.log.Warn("unexpected frame on a new stream")
	}
}

// serveSpilled routes a request that was spilled from another data centre to an upstream of this
// one. The request is cancelled if the peer closes the stream.
func (e *Entry) serveSpilled(ctx context.Context, stream *peer.Stream, head *peerpb.RequestHead) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	start := time.Now().Add(-time.Duration(head.GetAgeMicros()) * time.Microsecond)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.GetTimeoutMicros())*time.Microsecond)
	defer cancel()
	if e.draining.Load() {
		_ = stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: peerpb.Reason_REASON_DRAINING}))
		return
	}
	if head.GetBodyBytes() > peer.BodyMaxBytes || e.bodyMemory.Acquire(ctx, head.GetBodyBytes()) != nil {
		_ = stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: peerpb.Reason_REASON_TOO_LARGE}))
		return
	}
	defer e.bodyMemory.Release(head.GetBodyBytes())
	deadline, _ := ctx.Deadline()
	stream.SetDeadline(deadline)
	body, err := stream.ReceiveBody(head.GetBodyBytes(), peer.BodyMaxBytes)
	if err != nil {
		return
	}
	streamClosed := make(chan struct{})
	go func() {
		defer close(streamClosed)
		_, _ = stream.Receive()
		cancel()
	}()
	reply := e.options.Router.Serve(ctx, &route.Request{
		ID: head.GetId(), Service: head.GetService(), Kind: head.GetKind(), Urgency: int(head.GetUrgency()),
		Idempotent: head.GetIdempotent(), Key: head.GetKey(), Path: head.GetPath(), ContentType: head.GetContentType(),
		Body: body, ReceivedAt: start, Deadline: deadline, Spilled: true,
	})
	relayReply(stream, reply)
	reply.Close()
	stream.Close()
	<-streamClosed
}

// relayReply sends a reply to the entry that spilled the request.
func relayReply(stream *peer.Stream, reply *route.Reply) {
	switch reply.Outcome {
	case route.OutcomeNotRun:
		_ = stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: reply.Reason, RetryAfterMillis: reply.RetryAfter.Milliseconds()}))
		return
	case route.OutcomeUnknown:
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Detail: reply.Detail}))
		return
	case route.OutcomeRan:
		_ = stream.Send(peer.EndFrame(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Detail: reply.Detail}))
		return
	}
	if stream.Send(peer.ResponseFrame(reply.Head)) != nil {
		return
	}
	if !reply.Partial {
		_ = stream.SendBody(reply.Body, &peerpb.End{Complete: true, Outcome: peerpb.Outcome_OUTCOME_ANSWERED})
		return
	}
	chunk, err := reply.Body, error(nil)
	for chunk != nil && err == nil {
		if err = stream.Send(peer.ChunkFrame(chunk)); err == nil {
			chunk, err = reply.Next()
		}
	}
	_ = stream.Send(peer.EndFrame(&peerpb.End{Complete: err == nil, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}))
}

// ownState returns the state to send to a peer that has the given configuration revision. It
// carries the document if the peer's is older.
func (e *Entry) ownState(peerRevision uint64) *peerpb.PeerState {
	current := e.options.Holder.Current()
	s := &peerpb.PeerState{
		Id: e.options.ID, DataCentre: e.options.DataCentre, Revision: current.Revision(),
		Environment: e.options.Holder.Environment(), Draining: e.draining.Load(), Cells: e.cells.loads(),
	}
	if current.Revision() > peerRevision {
		s.Document = e.compressed(current)
	}
	_ = e.loop.Do(func() {
		e.loopState.stateSequence++
		s.Sequence = e.loopState.stateSequence
		if s.Sequence%statesPerEntryList == 1 || !e.registered.Load() {
			s.Entries, _ = e.entries()
		}
		s.Services = e.serviceLoads()
		s.Agents, s.AgentsRevision = e.lowestAgentRevision()
	})
	return s
}

// serviceLoads sums the upstreams of this data centre; it runs on the loop.
func (e *Entry) serviceLoads() (loads []*peerpb.ServiceLoad) {
	sums := map[string]*peerpb.ServiceLoad{}
	for _, a := range e.loopState.agents {
		if a.hello.GetDataCentre() != e.options.DataCentre {
			continue
		}
		for service, t := range a.targets {
			sum := sums[service]
			if sum == nil {
				sum = &peerpb.ServiceLoad{Service: service}
				sums[service] = sum
				loads = append(loads, sum)
			}
			sum.Upstreams++
			if !t.Yielding() {
				sum.Slots += int32(t.Slots())
			}
			sum.Busy += int32(t.Busy())
		}
	}
	return loads
}

// lowestAgentRevision returns the number of agents of this data centre and the lowest
// configuration revision among them; it runs on the loop.
func (e *Entry) lowestAgentRevision() (count int32, lowest uint64) {
	for _, a := range e.loopState.agents {
		if a.hello.GetDataCentre() != e.options.DataCentre || a.report == nil {
			continue
		}
		if count == 0 || a.report.GetRevision() < lowest {
			lowest = a.report.GetRevision()
		}
		count++
	}
	return count, lowest
}

// addPeerRoutes adds the entries of other data centres to a routing table; it runs on the loop.
func (e *Entry) addPeerRoutes(t *route.Table) {
	for _, p := range e.loopState.peers {
		if p.state.GetDataCentre() == e.options.DataCentre || p.state.GetDraining() || time.Since(p.lastStateAt) > sessionTimeout {
			continue
		}
		dataCentre := p.state.GetDataCentre()
		t.PeersByDataCentre[dataCentre] = append(t.PeersByDataCentre[dataCentre], &route.PeerEntry{ID: p.id, DataCentre: dataCentre, Session: p.session})
		for _, s := range p.state.GetServices() {
			t.PeersByService[s.GetService()] = append(t.PeersByService[s.GetService()], &route.PeerEntry{
				ID: p.id, DataCentre: dataCentre, Session: p.session, Slots: int(s.GetSlots()), Busy: int(s.GetBusy()),
			})
		}
	}
}
