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

// sessionTimeout is how long a session may be without a heartbeat.
const sessionTimeout = 3 * time.Second

// agentSession is an agent with a live session to this entry.
type agentSession struct {
	hello        *peerpb.Hello
	session      *peer.Session
	targets      map[string]*route.Target
	report       *peerpb.Report
	lastReportAt time.Time
	cell         string
	// sentServices are the services whose kinds the agent has been sent.
	sentServices map[string]bool
	// documentLimiter bounds the bytes of documentLimiter that the agent is sent.
	documentLimiter *rate.Limiter
	// entriesVersionSent is the version of the list of entries that the agent has.
	entriesVersionSent uint64
}

func newAgentSession(hello *peerpb.Hello, s *peer.Session) *agentSession {
	return &agentSession{
		hello: hello, session: s, targets: map[string]*route.Target{}, lastReportAt: time.Now(),
		documentLimiter: rate.NewLimiter(replicaBytesPerSecond, replicaBurstBytes),
	}
}

// goAccept serves sessions of agents and peers until ctx ends.
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

// replaceAgent takes a new session of an agent in place of an older one; it runs on the loop.
func (e *Entry) replaceAgent(a *agentSession) {
	if old := e.loopState.agents[a.hello.GetId()]; old != nil {
		e.dropTargets(old)
		old.session.Close()
	}
	e.loopState.agents[a.hello.GetId()] = a
}

func (e *Entry) removeAgent(a *agentSession) {
	e.dropTargets(a)
	if e.loopState.agents[a.hello.GetId()] == a {
		delete(e.loopState.agents, a.hello.GetId())
	}
	e.publishRoutes()
}

func (e *Entry) dropTargets(a *agentSession) {
	for _, t := range a.targets {
		t.Close()
	}
}

// handleReport takes in a heartbeat and returns what the agent is told.
func (e *Entry) handleReport(a *agentSession, r *peerpb.Report) *peerpb.Update {
	current := e.options.Holder.Current()
	update := &peerpb.Update{Sequence: r.GetSequence()}
	var cellName string
	keeper := false
	_ = e.loop.Do(func() {
		e.recordReport(a, r)
		cellName, keeper = a.cell, e.isDocumentReplica(a)
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
	if keeper && r.GetDocumentRevision() < current.Revision() {
		e.attachDocument(a, r, current, update)
	}
	return update
}

// recordReport takes in a heartbeat; it runs on the loop.
func (e *Entry) recordReport(a *agentSession, r *peerpb.Report) {
	now := time.Now()
	a.report, a.lastReportAt = r, now
	a.cell = e.cells.cellFor(a.hello, r)
	changed := false
	listed := map[string]bool{}
	for _, u := range mergeByService(r.GetUpstreams()) {
		listed[u.GetService()] = true
		t := a.targets[u.GetService()]
		if t == nil {
			t = route.NewTarget(a.hello.GetId(), a.hello.GetDataCentre(), u.GetService(), a.hello.GetIncarnation(), a.session)
			a.targets[u.GetService()] = t
			changed = true
		}
		t.Observe(now, u, true)
	}
	for service, t := range a.targets {
		if !listed[service] {
			t.Close()
			delete(a.targets, service)
			changed = true
		}
	}
	if changed {
		e.publishRoutes()
	}
}

// mergeByService adds up the upstreams of a service behind one agent.
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
			// The report itself is read by the cell's owner as well.
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

// publishRoutes makes a new routing table; it runs on the loop.
func (e *Entry) publishRoutes() {
	t := &route.Table{
		Services:   map[string][]*route.Target{},
		Neighbours: map[string][]*route.Neighbour{},
		Entries:    map[string][]*route.Neighbour{},
	}
	for _, a := range e.loopState.agents {
		if a.hello.GetDataCentre() != e.options.DataCentre && e.servedByPeer(a.hello.GetDataCentre()) {
			continue
		}
		for service, target := range a.targets {
			t.Services[service] = append(t.Services[service], target)
		}
	}
	e.addPeerRoutes(t)
	e.options.Metrics.Agents.Set(float64(len(e.loopState.agents)))
	e.options.Router.Publish(t)
	if len(t.Services)+len(t.Neighbours) > 0 {
		e.warmedUp.Store(true)
	}
}

// servedByPeer reports whether a peer entry tells of upstreams in a data centre.
func (e *Entry) servedByPeer(dataCentre string) bool {
	for _, p := range e.loopState.peers {
		if p.state.GetDataCentre() == dataCentre && !p.state.GetDraining() && len(p.state.GetServices()) > 0 {
			return true
		}
	}
	return false
}
