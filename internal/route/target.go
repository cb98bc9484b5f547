package route

import (
	"sync/atomic"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// silentAfter is how old the last word of an agent may be for it to get new requests.
const silentAfter = 2500 * time.Millisecond

// Target is a service's upstreams behind one agent; it is safe for concurrent use.
type Target struct {
	agent       string
	dataCentre  string
	service     string
	incarnation uint64
	session     *peer.Session
	health      health

	// inFlight counts the requests that this entry has there.
	inFlight atomic.Int64
	// reported and base are the agent's count and ours at its last word.
	reported  atomic.Int64
	base      atomic.Int64
	heartbeat atomic.Int64
	queued    atomic.Int64
	slots     atomic.Int64
	latency   atomic.Int64
	open      atomic.Bool
	yielding  atomic.Bool
	seen      atomic.Int64
}

// NewTarget returns a Target that gets no requests before Update is called.
func NewTarget(agent, dataCentre, service string, incarnation uint64, session *peer.Session) *Target {
	return &Target{agent: agent, dataCentre: dataCentre, service: service, incarnation: incarnation, session: session}
}

// Agent returns the agent's id.
func (t *Target) Agent() string { return t.agent }

// Slots returns the number of slots at the last word.
func (t *Target) Slots() int { return int(t.slots.Load()) }

// Yielding reports whether the agent asks for other upstreams to be preferred.
func (t *Target) Yielding() bool { return t.yielding.Load() }

// Busy returns the number of requests in flight and queued, as far as this entry knows.
func (t *Target) Busy() int { return int(t.estimate() + t.queued.Load()) }

// Latency returns the average time that a request holds a slot.
func (t *Target) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Update takes in the agent's word; heartbeat tells a report from word on an answer.
func (t *Target) Update(now time.Time, s *peerpb.UpstreamState, heartbeat bool) {
	t.seen.Store(now.UnixNano())
	t.reported.Store(int64(s.GetInFlight()))
	t.base.Store(t.inFlight.Load())
	t.queued.Store(int64(s.GetQueued()))
	t.slots.Store(int64(s.GetSlots()))
	t.latency.Store(s.GetLatencyMicros() * int64(time.Microsecond))
	t.open.Store(s.GetReady() && !s.GetDraining())
	t.yielding.Store(s.GetYielding())
	if heartbeat {
		t.heartbeat.Store(int64(s.GetInFlight() + s.GetQueued()))
	}
}

// Close gives the target no more requests.
func (t *Target) Close() { t.open.Store(false) }

// estimate is the agent's last count corrected by what this entry has sent and got since.
func (t *Target) estimate() int64 {
	local := t.inFlight.Load()
	return max(t.reported.Load()+local-t.base.Load(), local)
}

// available reports whether the target may get a request now.
func (t *Target) available(now time.Time) bool {
	return t.open.Load() && now.UnixNano()-t.seen.Load() < int64(silentAfter) && t.health.available(now)
}

func (t *Target) candidate(now time.Time) driver.UpstreamSnapshot {
	return driver.UpstreamSnapshot{
		Agent: t.agent, Slots: int(t.slots.Load()), InFlight: int(t.estimate()), Queued: int(t.queued.Load()),
		Reported: int(t.heartbeat.Load()), Latency: t.Latency(), Weight: t.health.weight(now),
	}
}

// PeerEntry is a peer entry in another data centre that serves a service.
type PeerEntry struct {
	ID      string
	DataCentre string
	Session    *peer.Session
	Slots      int
	Busy       int
}

func (n *PeerEntry) load() float64 {
	if n.Slots <= 0 {
		return 1
	}
	return float64(n.Busy) / float64(n.Slots)
}

// Table is what an entry knows of where services are served; it is not changed after
// it has been published.
type Table struct {
	// Services lists the targets of this data centre by service.
	Services map[string][]*Target
	// PeersByService lists the entries of other data centres by service.
	PeersByService map[string][]*PeerEntry
	// PeersByDataCentre lists the peer entries of each data centre.
	PeersByDataCentre map[string][]*PeerEntry
}
