package entry

import (
	"maps"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// cellReport is the latest load of a cell as reported by the peer that owns it.
type cellReport struct {
	entry      string
	receivedAt time.Time
	load       *peerpb.CellLoad
}

// recordPeerCells replaces the reports of a peer by those in its state. A cell that the state
// does not list any more has been released by the peer.
func (c *cells) recordPeerCells(state *peerpb.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetPeerLocked(state.GetId())
	for _, l := range state.GetCells() {
		if r, ok := c.reports[l.GetCell()]; !ok || l.GetEpoch() >= r.load.GetEpoch() {
			c.reports[l.GetCell()] = cellReport{entry: state.GetId(), receivedAt: time.Now(), load: l}
		}
	}
}

// forgetPeer deletes the reports of a peer.
func (c *cells) forgetPeer(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetPeerLocked(peer)
}

func (c *cells) forgetPeerLocked(peer string) {
	maps.DeleteFunc(c.reports, func(_ string, r cellReport) bool { return r.entry == peer })
}

// loads returns the loads of the cells that this entry owns, cached for loadsCacheTTL.
func (c *cells) loads() []*peerpb.CellLoad {
	c.mu.Lock()
	valid := time.Since(c.loadsCachedAt) < loadsCacheTTL
	cached := c.cachedLoads
	owners := make([]*cell.Owner, 0, len(c.owners))
	for _, o := range c.owners {
		owners = append(owners, o)
	}
	c.mu.Unlock()
	if valid {
		return cached
	}
	loads := make([]*peerpb.CellLoad, 0, len(owners))
	for _, o := range owners {
		loads = append(loads, o.Load())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedLoads, c.loadsCachedAt = loads, time.Now()
	return loads
}

// eachLoadExcept calls f with the load of each known cell other than the one named except.
func (c *cells) eachLoadExcept(except string, f func(*peerpb.CellLoad)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.cachedLoads {
		if l.GetCell() != except {
			f(l)
		}
	}
	for name, r := range c.reports {
		if name != except && c.owners[name] == nil && time.Since(r.receivedAt) < gossipTTL {
			f(r.load)
		}
	}
}

// publishLoads updates the metric of the processors that are reserved in each known cell.
func (c *cells) publishLoads() {
	c.loads()
	metric, published := c.entry.options.Metrics.CellReserved, map[string]bool{}
	c.eachLoadExcept("", func(l *peerpb.CellLoad) {
		milli := int64(0)
		for _, t := range l.GetTeams() {
			milli += t.GetReserved().GetMilliCpu()
		}
		metric.WithLabelValues(l.GetCell()).Set(float64(milli) / 1000)
		published[l.GetCell()] = true
	})
	for name := range c.published {
		if !published[name] {
			metric.DeleteLabelValues(name)
		}
	}
	c.published = published
}

// reservedElsewhere returns what a team's tasks reserve in all cells but one.
func (c *cells) reservedElsewhere(except, team string) (sum driver.Resources) {
	c.eachLoadExcept(except, func(l *peerpb.CellLoad) {
		for _, t := range l.GetTeams() {
			if t.GetTeam() == team {
				sum = sum.Plus(driver.ResourcesFromProto(t.GetReserved()))
			}
		}
	})
	return sum
}

// largestWorkerElsewhere returns the largest amount of each resource that a worker has in any
// cell but one.
func (c *cells) largestWorkerElsewhere(except string) (largest driver.Resources) {
	c.eachLoadExcept(except, func(l *peerpb.CellLoad) { largest = largest.Max(driver.ResourcesFromProto(l.GetLargest())) })
	return largest
}
