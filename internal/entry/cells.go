package entry

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// Times of the ownership of cells.
const (
	reconcileInterval = 500 * time.Millisecond
	takeoverTimeout   = 5 * time.Second
	// takeoverDelayPerRank is how much longer each next entry waits before it takes a cell.
	takeoverDelayPerRank = 1500 * time.Millisecond
	// remoteTakeoverDelay is how long a data centre must be without an entry before the entries of
	// others take its cells.
	remoteTakeoverDelay = 30 * time.Second
	gossipTTL           = 3 * time.Second
	loadsCacheTTL       = 400 * time.Millisecond
)

// cells keeps the cells that this entry owns and what others say of theirs; it is safe for
// concurrent use.
type cells struct {
	entry         *Entry
	mu            sync.Mutex
	owners        map[string]*cell.Owner
	cancels       map[string]context.CancelFunc
	reports       map[string]cellReport
	unowned       map[string]time.Time
	headOwners    map[string]headOwner
	cachedLoads   []*peerpb.CellLoad
	loadsCachedAt time.Time
	ownersRunning sync.WaitGroup
	// ctx ends when the entry gives up its cells.
	ctx context.Context
}

// headOwner is the owner that a cell's head names.
type headOwner struct {
	instance string
	since    time.Time
}

func (c *cells) init(e *Entry) {
	c.entry = e
	c.owners = map[string]*cell.Owner{}
	c.cancels = map[string]context.CancelFunc{}
	c.reports = map[string]cellReport{}
	c.unowned = map[string]time.Time{}
	c.headOwners = map[string]headOwner{}
}

func cellName(dataCentre string, n int) string { return dataCentre + "." + strconv.Itoa(n) }

// dataCentreOf returns the data centre of a cell.
func dataCentreOf(name string) string {
	i := strings.LastIndexByte(name, '.')
	return name[:max(i, 0)]
}

// cellFor returns the cell that an agent's worker belongs to. One with open attempts stays in the
// cell that started them.
func (c *cells) cellFor(hello *peerpb.Hello, r *peerpb.Report) string {
	if r.GetCell() != "" && r.GetHolding() {
		return r.GetCell()
	}
	d := c.entry.options.Holder.Document()
	if d == nil {
		return ""
	}
	return cellForWorker(hello.GetDataCentre(), hello.GetId(), d.Cells(hello.GetDataCentre()))
}

// cellForWorker spreads a data centre's workers over its cells by rendezvous hashing, so that
// one more cell takes its workers evenly from the others and moves no other worker.
func cellForWorker(dataCentre, worker string, cells int) (name string) {
	var highest uint64
	for n := range cells {
		cell := cellName(dataCentre, n)
		if hash := xxhash.Sum64String(worker + "\x00" + cell); name == "" || hash > highest {
			name, highest = cell, hash
		}
	}
	return name
}

// exists reports whether the document names the cell or somebody is known to own it.
func (c *cells) exists(name string) bool {
	if c.owner(name) != nil || c.ownedElsewhere(name) {
		return true
	}
	d := c.entry.options.Holder.Document()
	if d == nil {
		// What there is can't be told yet.
		return true
	}
	for _, dc := range d.DataCentres {
		for n := range dc.Cells {
			if cellName(dc.Name, n) == name {
				return true
			}
		}
	}
	// A data centre that the document does not name has one cell.
	return name == cellName(c.entry.options.DataCentre, 0)
}

// owner returns the owner of a cell if it is in this process, or nil.
func (c *cells) owner(name string) *cell.Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[name]
}

// run takes cells that nobody owns until ctx ends, and then gives up its own.
func (c *cells) run(ctx context.Context) {
	defer c.ownersRunning.Wait()
	c.ctx = ctx
	for ctx.Err() == nil {
		c.reconcile(ctx)
		loop.Pause(ctx, reconcileInterval)
	}
}

// reconcile takes the cells that are this entry's turn and gives up those that are not its own.
func (c *cells) reconcile(ctx context.Context) {
	for _, name := range c.eligibleCells() {
		if ctx.Err() == nil && c.owner(name) == nil {
			c.tryTakeOver(ctx, name)
		}
	}
	c.releaseRemoteCells()
}

// eligibleCells lists the cells that this entry may own: those of its data centre, and of
// data centres that have no entry.
func (c *cells) eligibleCells() (names []string) {
	d := c.entry.options.Holder.Document()
	if d == nil {
		return nil
	}
	served := c.dataCentresWithEntries()
	for _, dc := range d.DataCentres {
		if served[dc.Name] && dc.Name != c.entry.options.DataCentre {
			continue
		}
		for n := range dc.Cells {
			names = append(names, cellName(dc.Name, n))
		}
	}
	if len(names) == 0 || !slices.ContainsFunc(names, func(n string) bool { return dataCentreOf(n) == c.entry.options.DataCentre }) {
		names = append(names, cellName(c.entry.options.DataCentre, 0))
	}
	return names
}

// tryTakeOver takes a cell if its owner is gone and this entry is the first in line.
func (c *cells) tryTakeOver(ctx context.Context, name string) {
	if c.ownedElsewhere(name) || !c.entry.registered.Load() {
		c.clearUnowned(name)
		return
	}
	free := time.Since(c.unownedSince(name))
	if free < time.Duration(c.rank(name))*takeoverDelayPerRank || c.isRemote(name) && free < remoteTakeoverDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	head, _, err := cell.ReadHead(ctx, c.entry.options.Store, name)
	if err != nil {
		c.entry.options.Metrics.StoreErrors.WithLabelValues("head").Inc()
		return
	}
	if owner := head.GetOwner(); owner != "" && !head.GetReleased() && owner != c.entry.instance {
		since := c.headOwnerSince(name, owner)
		if c.isRegistered(owner) {
			c.clearUnowned(name)
			return
		}
		// An owner registers before it takes a cell, so a registry that was read before
		// the head may lack one that lives.
		if !c.entry.registryReadAt.Load().After(since) {
			return
		}
	}
	c.takeOver(ctx, name)
}

// isRemote reports whether a cell belongs to another data centre.
func (c *cells) isRemote(name string) bool { return dataCentreOf(name) != c.entry.options.DataCentre }

// releaseRemoteCells gives up the cells of other data centres that have an entry again.
func (c *cells) releaseRemoteCells() {
	served := c.dataCentresWithEntries()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, stop := range c.cancels {
		if c.isRemote(name) && served[dataCentreOf(name)] {
			c.entry.log.Info("cell yielded to its data centre", "cell", name)
			stop()
		}
	}
}

// dataCentresWithEntries lists the data centres that have an entry.
func (c *cells) dataCentresWithEntries() map[string]bool {
	served := map[string]bool{}
	_ = c.entry.loop.Do(func() {
		for _, a := range c.entry.loopState.liveEntries {
			served[a.GetDataCentre()] = true
		}
	})
	return served
}

// ownedElsewhere reports whether a peer has lately said that it owns the cell.
func (c *cells) ownedElsewhere(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.reports[name]
	return ok && time.Since(h.receivedAt) < gossipTTL
}

// unownedSince returns since when the cell has seemed to have no owner.
func (c *cells) unownedSince(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unowned[name].IsZero() {
		c.unowned[name] = time.Now()
	}
	return c.unowned[name]
}

func (c *cells) clearUnowned(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unowned, name)
}

// rank returns how many entries go before this one in the order for a cell: those of the
// cell's data centre first, then by a hash, so that cells spread over the entries.
func (c *cells) rank(name string) (rank int) {
	type position struct {
		remote bool
		hash   uint64
	}
	weigh := func(a *peerpb.EntryAddress) position {
		return position{a.GetDataCentre() != dataCentreOf(name), xxhash.Sum64String(name + "\x00" + a.GetId())}
	}
	mine := weigh(c.entry.address())
	_ = c.entry.loop.Do(func() {
		for id, a := range c.entry.loopState.liveEntries {
			other := weigh(a)
			if id != c.entry.options.ID && (mine.remote && !other.remote || mine.remote == other.remote && other.hash < mine.hash) {
				rank++
			}
		}
	})
	return rank
}

// isRegistered reports whether the instance of an entry is registered.
func (c *cells) isRegistered(instance string) (alive bool) {
	id, _, _ := strings.Cut(instance, "/")
	_ = c.entry.loop.Do(func() { alive = c.entry.loopState.instances[id] == instance })
	return alive
}

// headOwnerSince returns when the cell's head was first seen to name its present owner.
func (c *cells) headOwnerSince(name, instance string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headOwners[name].instance != instance {
		c.headOwners[name] = headOwner{instance: instance, since: time.Now()}
	}
	return c.headOwners[name].since
}

func (c *cells) takeOver(ctx context.Context, name string) {
	owner, err := cell.Take(ctx, cell.Options{
		Cell:     name,
		Identity: cell.Identity{Entry: c.entry.instance, Address: c.entry.options.Advertise},
		Store:    c.entry.options.Store, Agents: c.entry, Placer: c.entry.options.Placer,
		Document:         c.entry.options.Holder.Document,
		Elsewhere:        func(team string) driver.Resources { return c.reservedElsewhere(name, team) },
		LargestElsewhere: func() driver.Resources { return c.largestWorkerElsewhere(name) },
		Grant:            c.entry.options.Grant, Margin: c.entry.options.Margin, StoreSilence: c.entry.options.StoreSilence,
		Retention: cell.DefaultRetention, Log: c.entry.log, Metrics: c.entry.options.Metrics,
	})
	if err != nil {
		c.entry.log.Warn("cell was not taken", "cell", name, "error", err.Error())
		return
	}
	running, stop := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.owners[name], c.cancels[name] = owner, stop
	delete(c.unowned, name)
	c.mu.Unlock()
	c.entry.options.Metrics.CellsOwned.Inc()
	c.ownersRunning.Go(func() {
		defer stop()
		c.runOwner(running, name, owner)
	})
}

// runOwner runs an owner until the entry stops or the cell is lost.
func (c *cells) runOwner(ctx context.Context, name string, owner *cell.Owner) {
	if err := owner.Run(ctx); err != nil {
		c.entry.log.Warn("cell lost", "cell", name, "error", err.Error())
	}
	c.mu.Lock()
	delete(c.owners, name)
	delete(c.cancels, name)
	c.mu.Unlock()
	c.entry.options.Metrics.CellsOwned.Dec()
}
