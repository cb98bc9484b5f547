package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/redial"
)

// Delays of the sessions to entries.
const (
	redialMax     = 5 * time.Second
	silenceLimit  = 3 * time.Second
	reportMinimum = 20 * time.Millisecond
)

// link is a session to one entry.
type link struct {
	id         string
	dataCentre string
	// revision is the configuration revision that the entry is known to have.
	revision uint64
	// owner tells that the entry owns this worker's cell.
	owner bool
}

// goSessions keeps a session to each entry until ctx ends, and then closes the returned
// channel once all have ended.
func (a *Agent) goSessions(ctx context.Context) <-chan struct{} {
	return redial.Maintain(ctx, redial.Options{Addresses: a.addresses, RunSession: a.session, MaxDelay: redialMax, Log: a.log})
}

// addresses lists the entries to dial: those of this data centre, and while there is no
// session to any of them, all that are known.
func (a *Agent) addresses() (addresses []string) {
	_ = a.loop.Do(func() {
		local := false
		for _, l := range a.control.links {
			local = local || l.dataCentre == a.options.DataCentre
		}
		known := map[string]bool{}
		for _, e := range a.control.entries {
			if e.GetDataCentre() == a.options.DataCentre || !local {
				known[e.GetAddress()] = true
				addresses = append(addresses, e.GetAddress())
			}
		}
		for _, address := range a.options.Entries {
			if !known[address] && (len(a.control.links) == 0 || len(a.control.entries) == 0) {
				addresses = append(addresses, address)
			}
		}
	})
	return addresses
}

func (a *Agent) hello() *peerpb.Hello {
	h := &peerpb.Hello{
		Version: peer.Version, System: a.options.System, Id: a.options.ID, Role: peer.RoleAgent, Incarnation: a.incarnation,
		DataCentre: a.options.DataCentre, Rack: a.options.Rack,
	}
	_ = a.loop.Do(func() { h.Capacity = a.control.ledger.Capacity().Proto() })
	return h
}

// session serves one session until it breaks or falls silent.
func (a *Agent) session(ctx context.Context, address string) error {
	s, control, welcome, err := peer.Dial(ctx, address, a.hello())
	if err != nil {
		return err
	}
	defer s.Close()
	l := &link{id: welcome.GetId(), dataCentre: welcome.GetDataCentre()}
	if !a.addLink(l, welcome) {
		return nil
	}
	defer a.removeLink(l)
	a.log.Info("session opened", "address", address, "entry", l.id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	streams := a.goStreams(ctx, s)
	err = a.heartbeat(ctx, s, control, l)
	s.Close()
	cancel()
	<-streams
	return err
}

// addLink records a session, unless there is one to the same entry already.
func (a *Agent) addLink(l *link, welcome *peerpb.Welcome) (added bool) {
	_ = a.loop.Do(func() {
		a.learn(welcome.GetEntries())
		if a.control.links[l.id] == nil {
			a.control.links[l.id] = l
			added = true
		}
	})
	return added
}

func (a *Agent) removeLink(l *link) {
	_ = a.loop.Do(func() {
		if a.control.links[l.id] == l {
			delete(a.control.links, l.id)
		}
	})
}

// learn replaces the known entries by a newer list; it runs on the loop.
func (a *Agent) learn(entries []*peerpb.EntryAddress) {
	if len(entries) == 0 {
		return
	}
	a.control.entries = make(map[string]*peerpb.EntryAddress, len(entries))
	for _, e := range entries {
		a.control.entries[e.GetId()] = e
	}
}

// heartbeat reports at an interval and at once when the state has changed, and takes in
// the entry's answers.
func (a *Agent) heartbeat(ctx context.Context, s *peer.Session, control *peer.Stream, l *link) error {
	sent := &sentTimes{times: map[uint64]time.Time{}}
	failed := make(chan error, 1)
	go func() { failed <- a.receiveUpdates(ctx, control, l, sent) }()
	defer func() {
		s.Close()
		<-failed
	}()
	for sequence := uint64(1); ; sequence++ {
		var report *peerpb.Report
		var changed chan struct{}
		if err := a.loop.Do(func() { report, changed = a.report(sequence, l), a.control.changed }); err != nil {
			return err
		}
		sent.put(sequence, time.Now())
		control.SetDeadline(time.Now().Add(silenceLimit))
		if err := control.Send(peer.ReportFrame(report)); err != nil {
			return err
		}
		loop.Pause(ctx, reportMinimum)
		timer := time.NewTimer(a.options.Heartbeat)
		select {
		case <-timer.C:
		case <-changed:
		case err := <-failed:
			failed <- err
			timer.Stop()
			return err
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// sentTimes remembers when reports were sent, so that a grant is counted from then.
type sentTimes struct {
	mu    sync.Mutex
	times map[uint64]time.Time
}

func (s *sentTimes) put(sequence uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times[sequence] = at
}

func (s *sentTimes) take(sequence uint64) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok = s.times[sequence]
	for n := range s.times {
		if n <= sequence {
			delete(s.times, n)
		}
	}
	return at, ok
}

func (a *Agent) receiveUpdates(ctx context.Context, control *peer.Stream, l *link, sent *sentTimes) error {
	for {
		f, err := control.Receive()
		if err != nil {
			return err
		}
		u := f.GetUpdate()
		if u == nil {
			return peer.ErrProtocol
		}
		at, ok := sent.take(u.GetSequence())
		if !ok {
			return peer.ErrProtocol
		}
		accepted := false
		_ = a.loop.Do(func() { accepted = a.update(u, l, at) })
		if accepted {
			a.settle(ctx, u.GetSettled())
			a.throttle(ctx, u.GetThrottled())
		}
	}
}

// update takes in an entry's answer to a report and reports whether it speaks for the
// cell's owner; it runs on the loop.
func (a *Agent) update(u *peerpb.Update, l *link, sent time.Time) bool {
	c := &a.control
	a.learn(u.GetEntries())
	l.revision = u.GetRevision()
	a.learnSlice(u.GetSlice())
	l.owner = false
	if u.GetCell() == "" || a.options.Worker == nil {
		return false
	}
	if !c.grant.accepts(u) {
		a.log.Warn("grant refused: stale epoch", "entry", l.id, "epoch", u.GetEpoch(), "term", u.GetTerm(), "known-epoch", c.grant.epoch)
		return false
	}
	if u.GetCell() != c.grant.cell && c.grant.cell != "" && len(c.attempts) > 0 {
		a.log.Warn("grant refused: attempts of another cell", "cell", u.GetCell(), "held", c.grant.cell)
		return false
	}
	wasTerm, wasEpoch := c.grant.term, c.grant.epoch
	c.grant.renew(u, sent)
	l.owner = true
	if c.yielding != u.GetYielding() {
		c.yielding = u.GetYielding()
		a.log.Info("worker yields or is reclaimed", "yielding", c.yielding)
		a.signal()
	}
	if wasTerm != c.grant.term || wasEpoch != c.grant.epoch {
		a.log.Info("grant of a new owner", "entry", l.id, "cell", u.GetCell(), "epoch", u.GetEpoch(), "term", u.GetTerm())
		a.signal()
	}
	return true
}

// learnSlice takes in a part of the document, and the whole of it if the agent is to keep
// it for new entries; it runs on the loop.
func (a *Agent) learnSlice(s *peerpb.Slice) {
	c := &a.control
	if len(s.GetDocument()) > 0 && s.GetRevision() > c.document.GetRevision() {
		c.document = s
		a.signal()
	}
	if s.GetRevision() == c.slice.GetRevision() && len(s.GetKinds()) > len(c.slice.GetKinds()) {
		// An upstream has announced itself since the slice was cut.
		c.slice = s
	}
	if s.GetRevision() > c.slice.GetRevision() {
		a.log.Info("configuration changed", "revision", s.GetRevision())
		c.slice = s
		a.signal()
	}
}

// goStreams serves the streams that the entry opens until the session ends, and then
// closes the returned channel.
func (a *Agent) goStreams(ctx context.Context, s *peer.Session) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wait sync.WaitGroup
		defer wait.Wait()
		for {
			stream, err := s.AcceptStream()
			if err != nil {
				return
			}
			wait.Go(func() { a.serveStream(ctx, stream) })
		}
	}()
	return done
}

func (a *Agent) serveStream(ctx context.Context, stream *peer.Stream) {
	stream.SetDeadline(time.Now().Add(silenceLimit))
	f, err := stream.Receive()
	if err != nil {
		stream.Close()
		return
	}
	stream.SetDeadline(time.Time{})
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_RequestHead:
		a.serveRequest(ctx, stream, b.RequestHead)
	case *peerpb.Frame_Lookup:
		a.serveLookup(ctx, stream, b.Lookup)
	case *peerpb.Frame_Cancel:
		a.serveCancel(stream, b.Cancel)
	case *peerpb.Frame_StartTask:
		a.serveStart(ctx, stream, b.StartTask)
	case *peerpb.Frame_StopTask:
		a.serveStop(ctx, stream, b.StopTask)
	case *peerpb.Frame_Drain:
		a.log.Info("drain asked for by an operator", "in-flight", a.startDrain())
		_ = stream.Send(peer.TaskReplyFrame(&peerpb.TaskReply{Accepted: true}))
	default:
		a.log.Warn("unexpected frame on a new stream")
	}
	stream.Close()
}
