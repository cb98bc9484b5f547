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

// Delays of the sessions between entries.
const (
	redialMax      = 3 * time.Second
	gossipInterval = 500 * time.Millisecond
	// entriesEvery is how seldom a peer is told the list of entries, which the key-value
	// service tells it otherwise.
	entriesEvery = 16
)

// peerSession is a session that this entry has dialled to another one, with the peer's
// latest word.
type peerSession struct {
	id      string
	session *peer.Session
	state   *peerpb.PeerState
	seen    time.Time
	// revision is the configuration revision that the peer is known to have.
	revision uint64
}

// goDial keeps a session to each other entry until ctx ends.
func (e *Entry) goDial(ctx context.Context) <-chan struct{} {
	return redial.Maintain(ctx, redial.Options{Addresses: e.peerAddresses, RunSession: e.dialPeer, MaxDelay: redialMax, Log: e.log})
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (e *Entry) peerAddresses() (addresses []string) {
	_ = e.loop.Do(func() {
		seen := map[string]bool{e.peerAddress(): true}
		for _, a := range e.control.known {
			if !seen[a.GetPeerAddress()] {
				seen[a.GetPeerAddress()] = true
				addresses = append(addresses, a.GetPeerAddress())
			}
		}
		for _, address := range e.options.Peers {
			if !seen[address] && len(e.control.peers) == 0 {
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

// dialPeer tells a peer this entry's state at an interval and takes in the peer's answers.
func (e *Entry) dialPeer(ctx context.Context, address string) error {
	s, control, welcome, err := peer.Dial(ctx, address, e.hello())
	if err != nil {
		return err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, s.Close)()
	if welcome.GetId() == e.options.ID {
		return nil
	}
	p := &peerSession{id: welcome.GetId(), session: s, state: &peerpb.PeerState{Id: welcome.GetId(), DataCentre: welcome.GetDataCentre()}, seen: time.Now()}
	added := false
	_ = e.loop.Do(func() {
		if old := e.control.peers[p.id]; old == nil || closed(old.session.Done()) {
			e.control.peers[p.id] = p
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
	return e.exchange(ctx, control, p)
}

func (e *Entry) removePeer(p *peerSession) {
	if e.control.peers[p.id] == p {
		delete(e.control.peers, p.id)
		e.cells.forget(p.id)
	}
	if p.state.GetDraining() && e.control.known[p.id] != nil {
		delete(e.control.known, p.id)
		e.control.knownAt++
	}
	e.publish()
}

func (e *Entry) exchange(ctx context.Context, control *peer.Stream, p *peerSession) error {
	for {
		changed := e.options.Holder.Changed()
		control.SetDeadline(time.Now().Add(silenceLimit))
		if err := control.Send(peer.PeerStateFrame(e.state(p.revision))); err != nil {
			return err
		}
		f, err := control.Receive()
		if err != nil {
			return err
		}
		if f.GetPeerState() == nil {
			return peer.ErrProtocol
		}
		e.learnPeer(p, f.GetPeerState())
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

// learnPeer takes in what a peer says of itself.
func (e *Entry) learnPeer(p *peerSession, state *peerpb.PeerState) {
	e.learnDocument(&peerpb.Slice{Revision: state.GetRevision(), Environment: state.GetEnvironment(), Document: state.GetDocument()})
	_ = e.loop.Do(func() {
		p.state, p.seen, p.revision = state, time.Now(), state.GetRevision()
		for _, a := range state.GetEntries() {
			if e.control.known[a.GetId()] == nil && !e.registered.Load() {
				// While the key-value service is down, peers tell of peers.
				e.control.known[a.GetId()] = a
				e.control.knownAt++
			}
		}
	})
	e.cells.learn(state)
}

// servePeer answers a peer's state by this entry's own, and serves the peer's calls.
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
		control.SetDeadline(time.Now().Add(silenceLimit))
		f, err := control.Receive()
		if err != nil {
			return err
		}
		state := f.GetPeerState()
		if state == nil {
			return peer.ErrProtocol
		}
		e.learnDocument(&peerpb.Slice{Revision: state.GetRevision(), Environment: state.GetEnvironment(), Document: state.GetDocument()})
		e.learnCaller(hello, state)
		if err := control.Send(peer.PeerStateFrame(e.state(state.GetRevision()))); err != nil {
			return err
		}
	}
}

// learnCaller notes the address of a peer that has dialled this entry, so that the two
// know each other even while the key-value service is down.
func (e *Entry) learnCaller(hello *peerpb.Hello, state *peerpb.PeerState) {
	if hello.GetAddress() == "" || state.GetDraining() {
		return
	}
	_ = e.loop.Do(func() {
		if e.control.known[hello.GetId()] == nil && !e.registered.Load() {
			e.control.known[hello.GetId()] = &peerpb.EntryAddress{Id: hello.GetId(), DataCentre: hello.GetDataCentre(), Address: hello.GetAddress(), PeerAddress: hello.GetPeerAddress()}
			e.control.knownAt++
		}
	})
}

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

func (e *Entry) servePeerStream(ctx context.Context, stream *peer.Stream) {
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(silenceLimit))
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

// serveSpilled routes a request of another data centre to an upstream of this one.
func (e *Entry) serveSpilled(ctx context.Context, stream *peer.Stream, head *peerpb.RequestHead) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	began := time.Now().Add(-time.Duration(head.GetAgeMicros()) * time.Microsecond)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.GetTimeoutMicros())*time.Microsecond)
	defer cancel()
	if e.draining.Load() {
		_ = stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: peerpb.Reason_REASON_DRAINING}))
		return
	}
	if head.GetBodyBytes() > peer.BodyMaxBytes || e.bodies.Acquire(ctx, head.GetBodyBytes()) != nil {
		_ = stream.Send(peer.RefusalFrame(&peerpb.Refusal{Reason: peerpb.Reason_REASON_TOO_LARGE}))
		return
	}
	defer e.bodies.Release(head.GetBodyBytes())
	deadline, _ := ctx.Deadline()
	stream.SetDeadline(deadline)
	body, err := stream.ReceiveBody(head.GetBodyBytes(), peer.BodyMaxBytes)
	if err != nil {
		return
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, _ = stream.Receive()
		cancel()
	}()
	reply := e.options.Router.Serve(ctx, &route.Request{
		ID: head.GetId(), Service: head.GetService(), Kind: head.GetKind(), Urgency: int(head.GetUrgency()),
		Idempotent: head.GetIdempotent(), Key: head.GetKey(), Path: head.GetPath(), ContentType: head.GetContentType(),
		Body: body, Began: began, Deadline: deadline, Spilled: true,
	})
	passOn(stream, reply)
	reply.Close()
	stream.Close()
	<-watched
}

// passOn sends a reply back to the entry that spilled the request.
func passOn(stream *peer.Stream, reply *route.Reply) {
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
	part, err := reply.Body, error(nil)
	for part != nil && err == nil {
		if err = stream.Send(peer.ChunkFrame(part)); err == nil {
			part, err = reply.Next()
		}
	}
	_ = stream.Send(peer.EndFrame(&peerpb.End{Complete: err == nil, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN}))
}

// state is what this entry tells a peer that has the given configuration revision.
func (e *Entry) state(peerRevision uint64) *peerpb.PeerState {
	current := e.options.Holder.Current()
	s := &peerpb.PeerState{
		Id: e.options.ID, DataCentre: e.options.DataCentre, Revision: current.Revision(),
		Environment: e.options.Holder.Environment(), Draining: e.draining.Load(), Cells: e.cells.loads(),
	}
	if current.Revision() > peerRevision {
		s.Document = e.packed(current)
	}
	_ = e.loop.Do(func() {
		e.control.sequence++
		s.Sequence = e.control.sequence
		if s.Sequence%entriesEvery == 1 || !e.registered.Load() {
			s.Entries, _ = e.entries()
		}
		s.Services = e.serviceLoads()
		s.Agents, s.AgentsRevision = e.agentsRevision()
	})
	return s
}

// serviceLoads sums the upstreams of this data centre; it runs on the loop.
func (e *Entry) serviceLoads() (loads []*peerpb.ServiceLoad) {
	sums := map[string]*peerpb.ServiceLoad{}
	for _, a := range e.control.agents {
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

// agentsRevision returns the number of agents of this data centre and the lowest
// configuration revision among them; it runs on the loop.
func (e *Entry) agentsRevision() (count int32, lowest uint64) {
	for _, a := range e.control.agents {
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

// publishPeers adds the entries of other data centres to a table; it runs on the loop.
func (e *Entry) publishPeers(t *route.Table) {
	for _, p := range e.control.peers {
		if p.state.GetDataCentre() == e.options.DataCentre || p.state.GetDraining() || time.Since(p.seen) > silenceLimit {
			continue
		}
		dataCentre := p.state.GetDataCentre()
		t.Entries[dataCentre] = append(t.Entries[dataCentre], &route.Neighbour{Entry: p.id, DataCentre: dataCentre, Session: p.session})
		for _, s := range p.state.GetServices() {
			t.Neighbours[s.GetService()] = append(t.Neighbours[s.GetService()], &route.Neighbour{
				Entry: p.id, DataCentre: dataCentre, Session: p.session, Slots: int(s.GetSlots()), Busy: int(s.GetBusy()),
			})
		}
	}
}
