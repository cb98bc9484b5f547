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

const (
	reconcileInterval = 500 * time.Millisecond
	takeoverTimeout   = 5 * time.Second
	// takeoverDelayPerRank, times the rank of an entry, is how long it waits before it takes over
	// a cell without an owner.
	takeoverDelayPerRank = 1500 * time.Millisecond
	// remoteTakeoverDelay is how long a data centre must be without an entry before entries of
	// other data centres take over its cells.
	remoteTakeoverDelay = 30 * time.Second
	// gossipTTL is how long a peer's report on a cell is valid.
	gossipTTL     = 3 * time.Second
	loadsCacheTTL = 400 * time.Millisecond
)

// cells manages the cells that this entry owns and stores the reports of peers on theirs. It is
// safe for concurrent use.
type cells struct {
	entry *Entry
	mu    sync.Mutex
	// owners and cancels hold the running owners of this entry, by cell.
	owners  map[string]*cell.Owner
	cancels map[string]context.CancelFunc
	reports map[string]cellReport
	// unowned holds the times since which cells have appeared to have no owner.
	unowned       map[string]time.Time
	headOwners    map[string]headOwner
	cachedLoads   []*peerpb.CellLoad
	loadsCachedAt time.Time
	// published holds the cells whose loads are published; only reconcile accesses it.
	published     map[string]bool
	ownersRunning sync.WaitGroup
	// ctx ends when the entry releases its cells.
	ctx context.Context
}

// headOwner is the owner named in the head of a cell, and when the head was first seen to name it.
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

// cellFor returns the cell that an agent's worker belongs to. A worker with open attempts stays in
// the cell that started them.
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

// cellForWorker assigns the workers of a data centre to its cells by rendezvous hashing, so that
// an added cell takes its workers evenly from the other cells and no other worker moves.
func cellForWorker(dataCentre, worker string, cells int) (name string) {
	var highest uint64
	for n := range cells {
		id := cellName(dataCentre, n)
		if hash := xxhash.Sum64String(worker + "\x00" + id); name == "" || hash > highest {
			name, highest = id, hash
		}
	}
	return name
}

// exists reports whether the document names the cell or an owner of it is known. Without a
// document it is assumed to exist.
func (c *cells) exists(name string) bool {
	if c.owner(name) != nil || c.ownedElsewhere(name) {
		return true
	}
	d := c.entry.options.Holder.Document()
	if d == nil {
		return true
	}
	for _, dc := range d.DataCentres {
		for n := range dc.Cells {
			if cellName(dc.Name, n) == name {
				return true
			}
		}
	}
	// A data centre that the document does not name has a single cell.
	return name == cellName(c.entry.options.DataCentre, 0)
}

// owner returns the owner of a cell that this entry owns, or nil.
func (c *cells) owner(name string) *cell.Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[name]
}

// run takes over cells without an owner until ctx ends, and then releases its own.
func (c *cells) run(ctx context.Context) {
	defer c.ownersRunning.Wait()
	c.ctx = ctx
	for ctx.Err() == nil {
		c.reconcile(ctx)
		loop.Pause(ctx, reconcileInterval)
	}
}

// reconcile takes over the eligible cells that are due and releases those of other data centres
// that have an entry again.
func (c *cells) reconcile(ctx context.Context) {
	for _, name := range c.eligibleCells() {
		if ctx.Err() == nil && c.owner(name) == nil {
			c.tryTakeOver(ctx, name)
		}
	}
	c.releaseRemoteCells()
	c.publishLoads()
}

// eligibleCells returns the cells that this entry may own: those of its data centre and of data
// centres without an entry.
func (c *cells) eligibleCells() (names []string) {
	d := c.entry.options.Holder.Document()
	if d == nil {
		return nil
	}
	withEntry := c.dataCentresWithEntries()
	for _, dc := range d.DataCentres {
		if withEntry[dc.Name] && dc.Name != c.entry.options.DataCentre {
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

// tryTakeOver takes over a cell if it has no live owner and has been without one for the delay
// that this entry's rank requires.
func (c *cells) tryTakeOver(ctx context.Context, name string) {
	if c.ownedElsewhere(name) || !c.entry.registered.Load() {
		c.clearUnowned(name)
		return
	}
	unowned := time.Since(c.unownedSince(name))
	if unowned < time.Duration(c.rank(name))*takeoverDelayPerRank || c.isRemote(name) && unowned < remoteTakeoverDelay {
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
		// An owner registers before it takes over a cell. A registry that was read before the
		// head was first seen to name the owner may lack it although it is alive.
		if !c.entry.registryReadAt.Load().After(since) {
			return
		}
	}
	c.takeOver(ctx, name)
}

// isRemote reports whether a cell belongs to another data centre.
func (c *cells) isRemote(name string) bool { return dataCentreOf(name) != c.entry.options.DataCentre }

// releaseRemoteCells releases the cells of other data centres that have an entry again.
func (c *cells) releaseRemoteCells() {
	withEntry := c.dataCentresWithEntries()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, cancel := range c.cancels {
		if c.isRemote(name) && withEntry[dataCentreOf(name)] {
			c.entry.log.Info("cell released to its own data centre", "cell", name)
			cancel()
		}
	}
}

// dataCentresWithEntries returns the set of data centres that have a live entry.
func (c *cells) dataCentresWithEntries() map[string]bool {
	withEntry := map[string]bool{}
	_ = c.entry.loop.Do(func() {
		for _, a := range c.entry.loopState.liveEntries {
			withEntry[a.GetDataCentre()] = true
		}
	})
	return withEntry
}

// ownedElsewhere reports whether a peer has reported within gossipTTL that it owns the cell.
func (c *cells) ownedElsewhere(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reports[name]
	return ok && time.Since(r.receivedAt) < gossipTTL
}

// unownedSince returns since when the cell has appeared to have no owner. The time starts at the
// first call after clearUnowned.
func (c *cells) unownedSince(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unowned[name].IsZero() {
		c.unowned[name] = time.Now()
	}
	return c.unowned[name]
}

// clearUnowned records that the cell has an owner, or that this entry cannot determine it.
func (c *cells) clearUnowned(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unowned, name)
}

// rank returns how many entries precede this one in the order of takeover of a cell. Entries of
// the cell's data centre come first, then the order is by a hash, which spreads the cells over
// the entries.
func (c *cells) rank(name string) (rank int) {
	type position struct {
		remote bool
		hash   uint64
	}
	positionOf := func(a *peerpb.EntryAddress) position {
		return position{a.GetDataCentre() != dataCentreOf(name), xxhash.Sum64String(name + "\x00" + a.GetId())}
	}
	own := positionOf(c.entry.address())
	_ = c.entry.loop.Do(func() {
		for id, a := range c.entry.loopState.liveEntries {
			other := positionOf(a)
			if id != c.entry.options.ID && (own.remote && !other.remote || own.remote == other.remote && other.hash < own.hash) {
				rank++
			}
		}
	})
	return rank
}

// isRegistered reports whether an instance of an entry is registered.
func (c *cells) isRegistered(instance string) (registered bool) {
	id, _, _ := strings.Cut(instance, "/")
	_ = c.entry.loop.Do(func() { registered = c.entry.loopState.instances[id] == instance })
	return registered
}

// headOwnerSince returns when the head of a cell was first seen to name its current owner.
func (c *cells) headOwnerSince(name, instance string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headOwners[name].instance != instance {
		c.headOwners[name] = headOwner{instance: instance, since: time.Now()}
	}
	return c.headOwners[name].since
}

// takeOver takes ownership of a cell and starts its owner. It reads the document first, so that the owner
// does not start tasks in a data centre that was evacuated just before its predecessor was lost.
func (c *cells) takeOver(ctx context.Context, name string) {
	if err := c.entry.options.Watcher.Refresh(ctx); err != nil {
		c.entry.options.Metrics.StoreErrors.WithLabelValues("get").Inc()
		c.entry.log.Warn("cell takeover failed", "cell", name, "error", err.Error())
		return
	}
	owner, err := cell.Take(ctx, cell.Options{
		Cell: name, DataCentre: dataCentreOf(name),
		Identity: cell.Identity{Entry: c.entry.instance, Address: c.entry.options.Advertise},
		Store:    c.entry.options.Store, Agents: c.entry, Placer: c.entry.options.Placer,
		Document:               c.entry.options.Holder.Document,
		ReservedElsewhere:      func(team string) driver.Resources { return c.reservedElsewhere(name, team) },
		LargestWorkerElsewhere: func() driver.Resources { return c.largestWorkerElsewhere(name) },
		Grant:                  c.entry.options.Grant, Margin: c.entry.options.Margin, StoreSilence: c.entry.options.StoreSilence,
		Retention: cell.DefaultRetention, Log: c.entry.log, Metrics: c.entry.options.Metrics,
	})
	if err != nil {
		c.entry.log.Warn("cell takeover failed", "cell", name, "error", err.Error())
		return
	}
	ownerContext, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.owners[name], c.cancels[name] = owner, cancel
	delete(c.unowned, name)
	c.mu.Unlock()
	c.entry.options.Metrics.CellsOwned.Inc()
	c.ownersRunning.Go(func() {
		defer cancel()
		c.runOwner(ownerContext, name, owner)
	})
}

// runOwner runs an owner until the entry releases its cells or loses ownership of this one.
func (c *cells) runOwner(ctx context.Context, name string, owner *cell.Owner) {
	if err := owner.Run(ctx); err != nil {
		c.entry.log.Warn("cell ownership lost", "cell", name, "error", err.Error())
	}
	c.mu.Lock()
	delete(c.owners, name)
	delete(c.cancels, name)
	c.mu.Unlock()
	c.entry.options.Metrics.CellsOwned.Dec()
}
