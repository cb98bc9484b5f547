package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/route"
)

// sessionTimeout is how long a session stays open without a message from the other side.
const sessionTimeout = 3 * time.Second

// agentSession is the session of an agent to this entry, with the state of the agent.
type agentSession struct {
	hello        *peerpb.Hello
	session      *peer.Session
	targets      map[string]*route.Target
	report       *peerpb.Report
	lastReportAt time.Time
	cell         string
	// sentServices is the set of services whose kinds the agent was sent.
	sentServices map[string]bool
	// documentLimiter limits the document bytes that the agent is sent.
	documentLimiter *rate.Limiter
	// entriesVersionSent is the version of the list of live entries that the agent was sent.
	entriesVersionSent uint64
}

func newAgentSession(hello *peerpb.Hello, s *peer.Session) *agentSession {
	return &agentSession{
		hello: hello, session: s, targets: map[string]*route.Target{}, lastReportAt: time.Now(),
		documentLimiter: rate.NewLimiter(replicaBytesPerSecond, replicaBurstBytes),
	}
}

// goAccept accepts and serves sessions of agents and peers until ctx ends.
func (e *Entry) goAccept(ctx context.Context, l net.Listener) <-chan struct{} {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	return loop.Go(ctx, func(ctx context.Context) {
		defer stop()
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			if err != nil {
				loop.Pause(ctx, pollInterval)
				continue
			}
			e.sessions.Go(func() { e.accept(ctx, conn) })
		}
	})
}

// accept completes the handshake of a connection and serves the session until it ends.
func (e *Entry) accept(ctx context.Context, conn net.Conn) {
	s, control, hello, err := peer.Accept(conn, e.options.System)
	if err != nil {
		e.log.Warn("session refused", "remote", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	defer s.Close()
	defer context.AfterFunc(ctx, s.Close)()
	if hello.GetRole() == peer.RoleAgent {
		err = e.serveAgent(s, control, hello)
	} else {
		err = e.servePeer(ctx, s, control, hello)
	}
	e.log.Info("session ended", "role", hello.GetRole(), "peer", hello.GetId(), "error", errs.Text(err))
}

// entries returns the live entries and the version of the list; it runs on the loop.
func (e *Entry) entries() (list []*peerpb.EntryAddress, version uint64) {
	for _, a := range e.loopState.liveEntries {
		list = append(list, a)
	}
	return list, e.loopState.liveEntriesVersion
}

// serveAgent answers an agent's heartbeats until the session ends.
func (e *Entry) serveAgent(s *peer.Session, control *peer.Stream, hello *peerpb.Hello) error {
	a := newAgentSession(hello, s)
	welcome := &peerpb.Welcome{Id: e.options.ID, DataCentre: e.options.DataCentre}
	_ = e.loop.Do(func() {
		welcome.Entries, a.entriesVersionSent = e.entries()
		e.replaceAgent(a)
	})
	defer func() {
		_ = e.loop.Do(func() { e.removeAgent(a) })
	}()
	e.log.Info("agent connected", "agent", hello.GetId(), "incarnation", hello.GetIncarnation(), "rack", hello.GetRack())
	if err := control.SendWelcome(welcome); err != nil {
		return err
	}
	for {
		control.SetDeadline(time.Now().Add(sessionTimeout))
		f, err := control.Receive()
		if err != nil {
			return err
		}
		report := f.GetReport()
		if report == nil {
			return peer.ErrProtocol
		}
		e.applyDocument(report.GetKnown())
		if err := control.Send(peer.UpdateFrame(e.handleReport(a, report))); err != nil {
			return err
		}
	}
}

// replaceAgent adds the session of an agent and closes an older session of the same agent; it
// runs on the loop.
func (e *Entry) replaceAgent(a *agentSession) {
	if old := e.loopState.agents[a.hello.GetId()]; old != nil {
		e.closeTargets(old)
		old.session.Close()
	}
	e.loopState.agents[a.hello.GetId()] = a
}

// removeAgent removes an agent's session unless a newer one has replaced it; it runs on the loop.
func (e *Entry) removeAgent(a *agentSession) {
	e.closeTargets(a)
	if e.loopState.agents[a.hello.GetId()] == a {
		delete(e.loopState.agents, a.hello.GetId())
	}
	e.publishRoutes()
}

func (e *Entry) closeTargets(a *agentSession) {
	for _, t := range a.targets {
		t.Close()
	}
}

// handleReport processes the report of a heartbeat and returns the update for the agent.
func (e *Entry) handleReport(a *agentSession, r *peerpb.Report) *peerpb.Update {
	current := e.options.Holder.Current()
	update := &peerpb.Update{Sequence: r.GetSequence()}
	var cellName string
	replica := false
	_ = e.loop.Do(func() {
		e.recordReport(a, r)
		cellName, replica = a.cell, e.isDocumentReplica(a)
		if a.entriesVersionSent != e.loopState.liveEntriesVersion {
			update.Entries, a.entriesVersionSent = e.entries()
		}
	})
	if owner := e.cells.owner(cellName); owner != nil {
		info := cell.WorkerInfo{Name: a.hello.GetId(), Rack: a.hello.GetRack(), Incarnation: a.hello.GetIncarnation()}
		if u := owner.Report(info, r); u != nil {
			u.Entries = update.Entries
			update = u
		}
	}
	update.Revision = current.Revision()
	if r.GetRevision() < current.Revision() || current != nil && !a.hasAllKinds(r) {
		update.Slice = buildSlice(r, current)
		a.recordSentKinds(r)
	}
	if replica && r.GetDocumentRevision() < current.Revision() {
		e.attachDocument(a, r, current, update)
	}
	return update
}

// recordReport stores the report of an agent and updates its targets; it runs on the loop.
func (e *Entry) recordReport(a *agentSession, r *peerpb.Report) {
	now := time.Now()
	a.report, a.lastReportAt = r, now
	a.cell = e.cells.cellFor(a.hello, r)
	changed := false
	reported := map[string]bool{}
	for _, u := range mergeByService(r.GetUpstreams()) {
		reported[u.GetService()] = true
		t := a.targets[u.GetService()]
		if t == nil {
			t = route.NewTarget(a.hello.GetId(), a.hello.GetDataCentre(), u.GetService(), a.hello.GetIncarnation(), a.session)
			a.targets[u.GetService()] = t
			changed = true
		}
		t.Update(now, u, true)
	}
	for service, t := range a.targets {
		if !reported[service] {
			t.Close()
			delete(a.targets, service)
			changed = true
		}
	}
	if changed {
		e.publishRoutes()
	}
}

// mergeByService returns one state for each service of an agent. The loads of ready upstreams
// that are not draining are added up.
func mergeByService(states []*peerpb.UpstreamState) map[string]*peerpb.UpstreamState {
	merged := make(map[string]*peerpb.UpstreamState, len(states))
	for _, s := range states {
		m := merged[s.GetService()]
		if m == nil {
			merged[s.GetService()] = s
			continue
		}
		if s.GetReady() && !s.GetDraining() {
			if !m.GetReady() || m.GetDraining() {
				merged[s.GetService()] = s
				continue
			}
			// Clone, since the cell's owner reads the report as well.
			m = proto.CloneOf(m)
			merged[s.GetService()] = m
			m.Slots += s.GetSlots()
			m.InFlight += s.GetInFlight()
			m.Queued += s.GetQueued()
			m.Yielding = m.GetYielding() || s.GetYielding()
		}
	}
	return merged
}

// publishRoutes publishes a new routing table. An agent of another data centre is included only
// if no peer there announces upstreams. It runs on the loop.
func (e *Entry) publishRoutes() {
	table := &route.Table{
		Services:          map[string][]*route.Target{},
		PeersByService:    map[string][]*route.PeerEntry{},
		PeersByDataCentre: map[string][]*route.PeerEntry{},
		Evacuated:         evacuatedDataCentres(e.options.Holder.Document()),
	}
	for _, a := range e.loopState.agents {
		if a.hello.GetDataCentre() != e.options.DataCentre && e.servedByPeer(a.hello.GetDataCentre()) {
			continue
		}
		for service, target := range a.targets {
			table.Services[service] = append(table.Services[service], target)
		}
	}
	e.addPeerRoutes(table)
	e.options.Metrics.Agents.Set(float64(len(e.loopState.agents)))
	e.options.Router.Publish(table)
	if len(table.Services)+len(table.PeersByService) > 0 {
		e.warmedUp.Store(true)
	}
}

// servedByPeer reports whether a peer in the data centre announces upstreams; it runs on the loop.
func (e *Entry) servedByPeer(dataCentre string) bool {
	for _, p := range e.loopState.peers {
		if p.state.GetDataCentre() == dataCentre && !p.state.GetDraining() && len(p.state.GetServices()) > 0 {
			return true
		}
	}
	return false
}
