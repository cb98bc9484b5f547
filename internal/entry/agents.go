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

// silenceLimit is how long a session may be without a heartbeat.
const silenceLimit = 3 * time.Second

// agentSession is an agent with a live session to this entry.
type agentSession struct {
	hello   *peerpb.Hello
	session *peer.Session
	targets map[string]*route.Target
	report  *peerpb.Report
	seen    time.Time
	cell    string
	// sliced are the services whose kinds the agent has been sent.
	sliced map[string]bool
	// documents bounds the bytes of documents that the agent is sent.
	documents *rate.Limiter
	// knownSent is the version of the list of entries that the agent has.
	knownSent uint64
}

func newAgentSession(hello *peerpb.Hello, s *peer.Session) *agentSession {
	return &agentSession{
		hello: hello, session: s, targets: map[string]*route.Target{}, seen: time.Now(),
		documents: rate.NewLimiter(keeperBytesPerSecond, keeperBurstBytes),
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
				loop.Pause(ctx, drainPoll)
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
	for _, a := range e.control.known {
		list = append(list, a)
	}
	return list, e.control.knownAt
}

// serveAgent answers an agent's heartbeats until the session ends.
func (e *Entry) serveAgent(s *peer.Session, control *peer.Stream, hello *peerpb.Hello) error {
	a := newAgentSession(hello, s)
	welcome := &peerpb.Welcome{Id: e.options.ID, DataCentre: e.options.DataCentre}
	_ = e.loop.Do(func() {
		welcome.Entries, a.knownSent = e.entries()
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
		control.SetDeadline(time.Now().Add(silenceLimit))
		f, err := control.Receive()
		if err != nil {
			return err
		}
		report := f.GetReport()
		if report == nil {
			return peer.ErrProtocol
		}
		e.learnDocument(report.GetKnown())
		if err := control.Send(peer.UpdateFrame(e.answer(a, report))); err != nil {
			return err
		}
	}
}

// replaceAgent takes a new session of an agent in place of an older one; it runs on the loop.
func (e *Entry) replaceAgent(a *agentSession) {
	if old := e.control.agents[a.hello.GetId()]; old != nil {
		e.dropTargets(old)
		old.session.Close()
	}
	e.control.agents[a.hello.GetId()] = a
}

func (e *Entry) removeAgent(a *agentSession) {
	e.dropTargets(a)
	if e.control.agents[a.hello.GetId()] == a {
		delete(e.control.agents, a.hello.GetId())
	}
	e.publish()
}

func (e *Entry) dropTargets(a *agentSession) {
	for _, t := range a.targets {
		t.Close()
	}
}

// answer takes in a heartbeat and returns what the agent is told.
func (e *Entry) answer(a *agentSession, r *peerpb.Report) *peerpb.Update {
	current := e.options.Holder.Current()
	update := &peerpb.Update{Sequence: r.GetSequence()}
	var cellName string
	keeper := false
	_ = e.loop.Do(func() {
		e.observe(a, r)
		cellName, keeper = a.cell, e.keeps(a)
		if a.knownSent != e.control.knownAt {
			update.Entries, a.knownSent = e.entries()
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
	if r.GetRevision() < current.Revision() || current != nil && !a.hasKinds(r) {
		update.Slice = slice(r, current)
		a.noteKinds(r)
	}
	if keeper && r.GetDocumentRevision() < current.Revision() {
		e.addDocument(a, r, current, update)
	}
	return update
}

// observe takes in a heartbeat; it runs on the loop.
func (e *Entry) observe(a *agentSession, r *peerpb.Report) {
	now := time.Now()
	a.report, a.seen = r, now
	a.cell = e.cells.of(a.hello, r)
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
		t.Update(now, u, true)
	}
	for service, t := range a.targets {
		if !listed[service] {
			t.Close()
			delete(a.targets, service)
			changed = true
		}
	}
	if changed {
		e.publish()
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

// publish makes a new routing table; it runs on the loop.
func (e *Entry) publish() {
	t := &route.Table{
		Services:          map[string][]*route.Target{},
		PeersByService:    map[string][]*route.PeerEntry{},
		PeersByDataCentre: map[string][]*route.PeerEntry{},
	}
	for _, a := range e.control.agents {
		if a.hello.GetDataCentre() != e.options.DataCentre && e.served(a.hello.GetDataCentre()) {
			continue
		}
		for service, target := range a.targets {
			t.Services[service] = append(t.Services[service], target)
		}
	}
	e.publishPeers(t)
	e.options.Metrics.Agents.Set(float64(len(e.control.agents)))
	e.options.Router.Publish(t)
	if len(t.Services)+len(t.PeersByService) > 0 {
		e.warm.Store(true)
	}
}

// served reports whether a peer entry tells of upstreams in a data centre.
func (e *Entry) served(dataCentre string) bool {
	for _, p := range e.control.peers {
		if p.state.GetDataCentre() == dataCentre && !p.state.GetDraining() && len(p.state.GetServices()) > 0 {
			return true
		}
	}
	return false
}
