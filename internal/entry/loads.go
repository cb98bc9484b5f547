package entry

import (
	"maps"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// heard is a peer's word on a cell that it owns.
type heard struct {
	entry string
	at    time.Time
	load  *peerpb.CellLoad
}

// learn takes in a peer's word on its cells; one that it does not name any more it has
// given up.
func (c *cells) learn(state *peerpb.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetLocked(state.GetId())
	for _, l := range state.GetCells() {
		if h, ok := c.heard[l.GetCell()]; !ok || l.GetEpoch() >= h.load.GetEpoch() {
			c.heard[l.GetCell()] = heard{entry: state.GetId(), at: time.Now(), load: l}
		}
	}
}

// forget drops a peer's word on its cells.
func (c *cells) forget(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetLocked(peer)
}

func (c *cells) forgetLocked(peer string) {
	maps.DeleteFunc(c.heard, func(_ string, h heard) bool { return h.entry == peer })
}

// loads returns the headroom of the cells that this entry owns.
func (c *cells) loads() []*peerpb.CellLoad {
	c.mu.Lock()
	fresh := time.Since(c.cachedAt) < loadsFresh
	cached := c.cached
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
	c.cached, c.cachedAt = loads, time.Now()
	return loads
}

// others calls f with the load of each cell but one.
func (c *cells) others(but string, f func(*peerpb.CellLoad)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.cached {
		if l.GetCell() != but {
			f(l)
		}
	}
	for name, h := range c.heard {
		if name != but && c.owners[name] == nil && time.Since(h.at) < gossipFresh {
			f(h.load)
		}
	}
}

func (c *cells) elsewhere(but, team string) (sum driver.Resources) {
	c.others(but, func(l *peerpb.CellLoad) {
		for _, t := range l.GetTeams() {
			if t.GetTeam() == team {
				sum = sum.Plus(driver.ResourcesFromProto(t.GetReserved()))
			}
		}
	})
	return sum
}

func (c *cells) largestElsewhere(but string) (largest driver.Resources) {
	c.others(but, func(l *peerpb.CellLoad) { largest = largest.Max(driver.ResourcesFromProto(l.GetLargest())) })
	return largest
}
