package entry

import (
	"maps"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// cellReport is a peer's word on a cell that it owns.
type cellReport struct {
	entry      string
	receivedAt time.Time
	load       *peerpb.CellLoad
}

// recordPeerCells takes in a peer's word on its cells; one that it does not name any more it has
// given up.
func (c *cells) recordPeerCells(state *peerpb.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetPeerLocked(state.GetId())
	for _, l := range state.GetCells() {
		if h, ok := c.reports[l.GetCell()]; !ok || l.GetEpoch() >= h.load.GetEpoch() {
			c.reports[l.GetCell()] = cellReport{entry: state.GetId(), receivedAt: time.Now(), load: l}
		}
	}
}

// forgetPeer drops a peer's word on its cells.
func (c *cells) forgetPeer(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetPeerLocked(peer)
}

func (c *cells) forgetPeerLocked(peer string) {
	maps.DeleteFunc(c.reports, func(_ string, h cellReport) bool { return h.entry == peer })
}

// loads returns the headroom of the cells that this entry owns.
func (c *cells) loads() []*peerpb.CellLoad {
	c.mu.Lock()
	fresh := time.Since(c.loadsCachedAt) < loadsCacheTTL
	cached := c.cachedLoads
	owners := make([]*cell.Owner, 0, len(c.owners))
	for _, o := range c.owners {
		owners = append(owners, o)
	}
	c.mu.Unlock()
	if fresh {
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

// eachLoadExcept calls f with the load of each cell but one.
func (c *cells) eachLoadExcept(but string, f func(*peerpb.CellLoad)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.cachedLoads {
		if l.GetCell() != but {
			f(l)
		}
	}
	for name, h := range c.reports {
		if name != but && c.owners[name] == nil && time.Since(h.receivedAt) < gossipTTL {
			f(h.load)
		}
	}
}

func (c *cells) reservedElsewhere(but, team string) (sum driver.Resources) {
	c.eachLoadExcept(but, func(l *peerpb.CellLoad) {
		for _, t := range l.GetTeams() {
			if t.GetTeam() == team {
				sum = sum.Plus(driver.ResourcesFromProto(t.GetReserved()))
			}
		}
	})
	return sum
}

func (c *cells) largestWorkerElsewhere(but string) (largest driver.Resources) {
	c.eachLoadExcept(but, func(l *peerpb.CellLoad) { largest = largest.Max(driver.ResourcesFromProto(l.GetLargest())) })
	return largest
}
