package route

import (
	"sync/atomic"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// maxStateAge is the age at which a target's state is stale and the target gets no new requests.
const maxStateAge = 2500 * time.Millisecond

// Target is the upstreams of a service behind one agent; it is safe for concurrent use.
type Target struct {
	agent       string
	dataCentre  string
	service     string
	incarnation uint64
	session     *peer.Session
	health      health

	// inFlight is the number of requests of this entry in flight at the target.
	inFlight atomic.Int64
	// reportedInFlight is the number of requests in flight in the agent's latest state, from all
	// entries, and inFlightAtReport the value of inFlight when that state arrived.
	reportedInFlight atomic.Int64
	inFlightAtReport atomic.Int64
	// heartbeatLoad is the number of requests in flight and queued in the latest heartbeat.
	heartbeatLoad atomic.Int64
	queued        atomic.Int64
	slots         atomic.Int64
	latency       atomic.Int64
	// accepting reports whether the upstream is ready and not draining.
	accepting atomic.Bool
	yielding  atomic.Bool
	// updatedAt is when the latest state arrived, in Unix nanoseconds.
	updatedAt atomic.Int64
}

// NewTarget returns a Target that gets no requests before Update is called.
func NewTarget(agent, dataCentre, service string, incarnation uint64, session *peer.Session) *Target {
	return &Target{agent: agent, dataCentre: dataCentre, service: service, incarnation: incarnation, session: session}
}

// Agent returns the id of the agent.
func (t *Target) Agent() string { return t.agent }

// Slots returns the number of slots in the latest state.
func (t *Target) Slots() int { return int(t.slots.Load()) }

// Yielding reports whether the agent's worker yields to tasks, so that other upstreams are
// preferred.
func (t *Target) Yielding() bool { return t.yielding.Load() }

// Busy returns the estimated number of requests in flight and queued.
func (t *Target) Busy() int { return int(t.estimatedInFlight() + t.queued.Load()) }

// Latency returns the average time that a request occupies a slot.
func (t *Target) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Update applies a state that the agent sent in a heartbeat or with a reply.
func (t *Target) Update(now time.Time, s *peerpb.UpstreamState, isHeartbeat bool) {
	t.updatedAt.Store(now.UnixNano())
	t.reportedInFlight.Store(int64(s.GetInFlight()))
	t.inFlightAtReport.Store(t.inFlight.Load())
	t.queued.Store(int64(s.GetQueued()))
	t.slots.Store(int64(s.GetSlots()))
	t.latency.Store(s.GetLatencyMicros() * int64(time.Microsecond))
	t.accepting.Store(s.GetReady() && !s.GetDraining())
	t.yielding.Store(s.GetYielding())
	if isHeartbeat {
		t.heartbeatLoad.Store(int64(s.GetInFlight() + s.GetQueued()))
	}
}

// Close stops sending requests to the target.
func (t *Target) Close() { t.accepting.Store(false) }

// estimatedInFlight returns the reported number of requests in flight, corrected by the requests
// that this entry has sent and finished since.
func (t *Target) estimatedInFlight() int64 {
	local := t.inFlight.Load()
	return max(t.reportedInFlight.Load()+local-t.inFlightAtReport.Load(), local)
}

// available reports whether requests may be sent to the target now.
func (t *Target) available(now time.Time) bool {
	return t.accepting.Load() && now.UnixNano()-t.updatedAt.Load() < int64(maxStateAge) && t.health.available(now)
}

// snapshot returns the state of the target for a load-balancing policy.
func (t *Target) snapshot(now time.Time) driver.UpstreamSnapshot {
	return driver.UpstreamSnapshot{
		Agent: t.agent, Slots: int(t.slots.Load()), InFlight: int(t.estimatedInFlight()), Queued: int(t.queued.Load()),
		Reported: int(t.heartbeatLoad.Load()), Latency: t.Latency(), Weight: t.health.weight(now),
	}
}

// PeerEntry is an entry in another data centre. Slots and Busy are the capacity and load of one
// service there, and 0 in Table.PeersByDataCentre.
type PeerEntry struct {
	ID         string
	DataCentre string
	Session    *peer.Session
	Slots      int
	Busy       int
}

// load returns the busy share of the slots; it is 1 without slots.
func (p *PeerEntry) load() float64 {
	if p.Slots <= 0 {
		return 1
	}
	return float64(p.Busy) / float64(p.Slots)
}

// Table is a routing table; it is immutable once it has been published.
type Table struct {
	// Services lists the targets by service: those in this data centre and those in data centres
	// without an entry that serves requests.
	Services map[string][]*Target
	// PeersByService lists the entries in other data centres that serve each service.
	PeersByService map[string][]*PeerEntry
	// PeersByDataCentre lists the entries in each other data centre.
	PeersByDataCentre map[string][]*PeerEntry
	// Evacuated is the set of data centres whose upstreams get no new requests.
	Evacuated map[string]bool
}
