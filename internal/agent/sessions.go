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

// Timing of the sessions to entries.
const (
	maxRedialDelay = 5 * time.Second
	// silenceTimeout is how long an entry may take to answer a report, or to send the first frame on
	// a stream.
	silenceTimeout = 3 * time.Second
	// minReportInterval limits the rate of reports when the state changes often.
	minReportInterval = 20 * time.Millisecond
)

// entrySession is a session to one entry.
type entrySession struct {
	id         string
	dataCentre string
	// revision is the configuration revision of the entry's latest update.
	revision uint64
	// owner reports whether the entry owns the cell of this worker.
	owner bool
}

// startSessions keeps a session to each entry until ctx ends. The returned channel is closed once
// all sessions have ended.
func (a *Agent) startSessions(ctx context.Context) <-chan struct{} {
	return redial.Maintain(ctx, redial.Options{Addresses: a.dialAddresses, RunSession: a.runSession, MaxDelay: maxRedialDelay, Log: a.log})
}

// dialAddresses returns the addresses of the entries to dial: those in this data centre or, while
// there is no session to any of them, all known ones. The configured addresses are included until
// there is a session and a list of entries.
func (a *Agent) dialAddresses() (addresses []string) {
	_ = a.loop.Do(func() {
		local := false
		for _, session := range a.control.sessions {
			local = local || session.dataCentre == a.options.DataCentre
		}
		known := map[string]bool{}
		for _, e := range a.control.entries {
			if e.GetDataCentre() == a.options.DataCentre || !local {
				known[e.GetAddress()] = true
				addresses = append(addresses, e.GetAddress())
			}
		}
		for _, address := range a.options.Entries {
			if !known[address] && (len(a.control.sessions) == 0 || len(a.control.entries) == 0) {
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

// runSession runs a session to an entry until it fails or the entry stops answering.
func (a *Agent) runSession(ctx context.Context, address string) error {
	s, control, welcome, err := peer.Dial(ctx, address, a.hello())
	if err != nil {
		return err
	}
	defer s.Close()
	entry := &entrySession{id: welcome.GetId(), dataCentre: welcome.GetDataCentre()}
	if !a.addSession(entry, welcome) {
		return nil
	}
	defer a.removeSession(entry)
	a.log.Info("session opened", "address", address, "entry", entry.id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	streams := a.startStreams(ctx, s)
	err = a.sendReports(ctx, s, control, entry)
	s.Close()
	cancel()
	<-streams
	return err
}

// addSession adds a session, and reports false if there is one to the same entry already.
func (a *Agent) addSession(entry *entrySession, welcome *peerpb.Welcome) (added bool) {
	_ = a.loop.Do(func() {
		a.updateEntries(welcome.GetEntries())
		if a.control.sessions[entry.id] == nil {
			a.control.sessions[entry.id] = entry
			added = true
		}
	})
	return added
}

func (a *Agent) removeSession(entry *entrySession) {
	_ = a.loop.Do(func() {
		if a.control.sessions[entry.id] == entry {
			delete(a.control.sessions, entry.id)
		}
	})
}

// updateEntries replaces the list of known entries; it runs on the loop.
func (a *Agent) updateEntries(entries []*peerpb.EntryAddress) {
	if len(entries) == 0 {
		return
	}
	a.control.entries = make(map[string]*peerpb.EntryAddress, len(entries))
	for _, e := range entries {
		a.control.entries[e.GetId()] = e
	}
}

// sendReports sends reports at the heartbeat interval, and at once when the state has changed. It
// applies the entry's updates.
func (a *Agent) sendReports(ctx context.Context, s *peer.Session, control *peer.Stream, entry *entrySession) error {
	sent := &reportTimes{times: map[uint64]time.Time{}}
	failed := make(chan error, 1)
	go func() { failed <- a.receiveUpdates(ctx, control, entry, sent) }()
	defer func() {
		s.Close()
		<-failed
	}()
	for sequence := uint64(1); ; sequence++ {
		var report *peerpb.Report
		var changed chan struct{}
		if err := a.loop.Do(func() { report, changed = a.buildReport(sequence, entry), a.control.changed }); err != nil {
			return err
		}
		sent.put(sequence, time.Now())
		control.SetDeadline(time.Now().Add(silenceTimeout))
		if err := control.Send(peer.ReportFrame(report)); err != nil {
			return err
		}
		loop.Pause(ctx, minReportInterval)
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

// reportTimes holds the send times of unanswered reports by sequence number. A grant counts from
// the time of the report that it answers.
type reportTimes struct {
	mu    sync.Mutex
	times map[uint64]time.Time
}

func (s *reportTimes) put(sequence uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times[sequence] = at
}

// take returns the send time of a report, and removes that report and all earlier ones.
func (s *reportTimes) take(sequence uint64) (at time.Time, ok bool) {
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

// receiveUpdates applies the updates of an entry until the control stream fails.
func (a *Agent) receiveUpdates(ctx context.Context, control *peer.Stream, entry *entrySession, sent *reportTimes) error {
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
		_ = a.loop.Do(func() { accepted = a.applyUpdate(u, entry, at) })
		if accepted {
			a.removeAcknowledged(ctx, u.GetSettled())
			a.applyThrottles(ctx, u.GetThrottled())
		}
	}
}

// applyUpdate applies an entry's answer to the report sent at sent, and reports whether the entry is
// the owner of the cell; it runs on the loop.
func (a *Agent) applyUpdate(u *peerpb.Update, entry *entrySession, sent time.Time) bool {
	c := &a.control
	a.updateEntries(u.GetEntries())
	entry.revision = u.GetRevision()
	a.updateSlice(u.GetSlice())
	entry.owner = false
	if u.GetCell() == "" || a.options.Worker == nil {
		return false
	}
	if !c.grant.accepts(u) {
		a.log.Warn("grant refused: stale epoch", "entry", entry.id, "epoch", u.GetEpoch(), "term", u.GetTerm(), "known-epoch", c.grant.epoch)
		return false
	}
	if u.GetCell() != c.grant.cell && c.grant.cell != "" && len(c.attempts) > 0 {
		a.log.Warn("grant refused: worker has attempts of another cell", "cell", u.GetCell(), "held", c.grant.cell)
		return false
	}
	wasTerm, wasEpoch := c.grant.term, c.grant.epoch
	c.grant.renew(u, sent)
	entry.owner = true
	if c.yielding != u.GetYielding() {
		c.yielding = u.GetYielding()
		a.log.Info("worker yields to tasks or is reclaimed for services", "yielding", c.yielding)
		a.notifyChanged()
	}
	if wasTerm != c.grant.term || wasEpoch != c.grant.epoch {
		a.log.Info("grant from an owner with a new epoch or term", "entry", entry.id, "cell", u.GetCell(), "epoch", u.GetEpoch(), "term", u.GetTerm())
		a.notifyChanged()
	}
	return true
}

// updateSlice stores a newer slice of the configuration. A slice with the whole document is also
// kept for entries that have none; it runs on the loop.
func (a *Agent) updateSlice(s *peerpb.Slice) {
	c := &a.control
	if len(s.GetDocument()) > 0 && s.GetRevision() > c.document.GetRevision() {
		c.document = s
		a.notifyChanged()
	}
	if s.GetRevision() == c.slice.GetRevision() && len(s.GetKinds()) > len(c.slice.GetKinds()) {
		// An upstream has announced itself since the earlier slice of this revision was made.
		c.slice = s
	}
	if s.GetRevision() > c.slice.GetRevision() {
		a.log.Info("configuration changed", "revision", s.GetRevision())
		c.slice = s
		a.notifyChanged()
	}
}

// startStreams serves the streams that the entry opens. The returned channel is closed once the
// session and all its streams have ended.
func (a *Agent) startStreams(ctx context.Context, s *peer.Session) <-chan struct{} {
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

// serveStream serves the call that the first frame of a stream makes.
func (a *Agent) serveStream(ctx context.Context, stream *peer.Stream) {
	stream.SetDeadline(time.Now().Add(silenceTimeout))
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
		a.log.Info("operator asked for a drain", "in-flight", a.startDrain())
		_ = stream.Send(peer.TaskReplyFrame(&peerpb.TaskReply{Accepted: true}))
	default:
		a.log.Warn("unexpected frame on a new stream")
	}
	stream.Close()
}
