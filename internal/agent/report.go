package agent

import (
	"slices"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// upstreamState returns the state of an upstream for entries; it runs on the loop.
func (a *Agent) upstreamState(now time.Time, u *upstream) *peerpb.UpstreamState {
	c := &a.control
	return &peerpb.UpstreamState{
		Service:       u.service,
		Slots:         int32(u.gate.Slots()),
		InFlight:      int32(u.gate.InFlight()),
		Queued:        int32(u.gate.Queued()),
		Draining:      c.draining || u.gate.Draining(),
		Ready:         u.gate.Ready(now),
		LatencyMicros: u.gate.Latency().Microseconds(),
		Yielding:      c.yielding && now.Before(c.grant.until),
	}
}

// buildReport returns a heartbeat for one entry; it runs on the loop. Only the cell's owner needs
// the states of tasks, and it is known after the first report. So these go to the owner and into
// the first report of a session.
func (a *Agent) buildReport(sequence uint64, entry *entrySession) *peerpb.Report {
	now := time.Now()
	c := &a.control
	r := &peerpb.Report{
		Sequence: sequence, Cell: c.grant.cell, Epoch: c.grant.epoch, Term: c.grant.term,
		Draining: c.draining, Revision: c.slice.GetRevision(), Rebuilding: c.rebuilding,
		Holding: len(c.attempts) > 0, DocumentRevision: c.document.GetRevision(),
	}
	for _, u := range c.upstreams {
		if u.gate.Present(now) {
			r.Upstreams = append(r.Upstreams, a.upstreamState(now, u))
		}
	}
	if c.document.GetRevision() > entry.revision {
		r.Known = c.document
	}
	if a.options.Worker == nil || c.rebuilding {
		return r
	}
	r.Capacity = c.ledger.Capacity().Proto()
	if !entry.owner && sequence > 1 {
		return r
	}
	r.Free = c.ledger.Free().Proto()
	for _, t := range c.attempts {
		r.Tasks = append(r.Tasks, t.state())
	}
	slices.SortFunc(r.Tasks, func(x, y *peerpb.TaskState) int { return strings.Compare(x.GetTask(), y.GetTask()) })
	r.Pressures = a.pressures(now)
	return r
}

// pressures returns the latency of each kind of request with enough samples, next to its target; it
// runs on the loop.
func (a *Agent) pressures(now time.Time) (pressures []*peerpb.Pressure) {
	for _, k := range a.control.slice.GetKinds() {
		for _, u := range a.control.upstreams {
			if u.service != k.GetService() {
				continue
			}
			s := u.latencies.summarize(now, k.GetKind())
			if s.count < minWindowSamples {
				continue
			}
			pressures = append(pressures, &peerpb.Pressure{
				Kind: k.GetKind(), P99Micros: s.p99.Microseconds(), MeanMicros: s.mean.Microseconds(),
				Samples: int32(s.count), TargetMicros: k.GetTargetMicros(),
			})
		}
	}
	return pressures
}
