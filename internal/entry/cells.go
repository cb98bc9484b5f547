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
	considerInterval = 500 * time.Millisecond
	takeTimeout      = 5 * time.Second
	// rankDelay is how much longer each next entry waits before it takes a cell.
	rankDelay = 1500 * time.Millisecond
	// awayDelay is how long a data centre must be without an entry before the entries of
	// others take its cells.
	awayDelay   = 30 * time.Second
	gossipFresh = 3 * time.Second
	loadsFresh  = 400 * time.Millisecond
)

// cells keeps the cells that this entry owns and what others say of theirs; it is safe for
// concurrent use.
type cells struct {
	e        *Entry
	mu       sync.Mutex
	owners   map[string]*cell.Owner
	stops    map[string]context.CancelFunc
	heard    map[string]heard
	free     map[string]time.Time
	named    map[string]named
	cached   []*peerpb.CellLoad
	cachedAt time.Time
	running  sync.WaitGroup
	// ctx ends when the entry gives up its cells.
	ctx context.Context
}

// named is the owner that a cell's head names.
type named struct {
	instance string
	since    time.Time
}

func (c *cells) init(e *Entry) {
	c.e = e
	c.owners = map[string]*cell.Owner{}
	c.stops = map[string]context.CancelFunc{}
	c.heard = map[string]heard{}
	c.free = map[string]time.Time{}
	c.named = map[string]named{}
}

func cellName(dataCentre string, n int) string { return dataCentre + "." + strconv.Itoa(n) }

// dataCentreOf returns the data centre of a cell.
func dataCentreOf(name string) string {
	i := strings.LastIndexByte(name, '.')
	return name[:max(i, 0)]
}

// of returns the cell that an agent's worker belongs to. One with open attempts stays in the
// cell that started them.
func (c *cells) of(hello *peerpb.Hello, r *peerpb.Report) string {
	if r.GetCell() != "" && r.GetHolding() {
		return r.GetCell()
	}
	d := c.e.options.Holder.Document()
	if d == nil {
		return ""
	}
	return cellOfWorker(hello.GetDataCentre(), hello.GetId(), d.Cells(hello.GetDataCentre()))
}

// cellOfWorker spreads a data centre's workers over its cells by rendezvous hashing, so that
// one more cell takes its workers evenly from the others and moves no other worker.
func cellOfWorker(dataCentre, worker string, cells int) (name string) {
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
	d := c.e.options.Holder.Document()
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
	return name == cellName(c.e.options.DataCentre, 0)
}

// owner returns the owner of a cell if it is in this process, or nil.
func (c *cells) owner(name string) *cell.Owner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[name]
}

// run takes cells that nobody owns until ctx ends, and then gives up its own.
func (c *cells) run(ctx context.Context) {
	defer c.running.Wait()
	c.ctx = ctx
	for ctx.Err() == nil {
		c.review(ctx)
		loop.Pause(ctx, considerInterval)
	}
}

// review takes the cells that are this entry's turn and gives up those that are not its own.
func (c *cells) review(ctx context.Context) {
	for _, name := range c.candidates() {
		if ctx.Err() == nil && c.owner(name) == nil {
			c.consider(ctx, name)
		}
	}
	c.yield()
}

// candidates lists the cells that this entry may own: those of its data centre, and of
// data centres that have no entry.
func (c *cells) candidates() (names []string) {
	d := c.e.options.Holder.Document()
	if d == nil {
		return nil
	}
	served := c.served()
	for _, dc := range d.DataCentres {
		if served[dc.Name] && dc.Name != c.e.options.DataCentre {
			continue
		}
		for n := range dc.Cells {
			names = append(names, cellName(dc.Name, n))
		}
	}
	if len(names) == 0 || !slices.ContainsFunc(names, func(n string) bool { return dataCentreOf(n) == c.e.options.DataCentre }) {
		names = append(names, cellName(c.e.options.DataCentre, 0))
	}
	return names
}

// consider takes a cell if its owner is gone and this entry is the first in line.
func (c *cells) consider(ctx context.Context, name string) {
	if c.ownedElsewhere(name) || !c.e.registered.Load() {
		c.clearFree(name)
		return
	}
	free := time.Since(c.freeSince(name))
	if free < time.Duration(c.rank(name))*rankDelay || c.away(name) && free < awayDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	head, _, err := cell.ReadHead(ctx, c.e.options.Store, name)
	if err != nil {
		c.e.options.Metrics.StoreErrors.WithLabelValues("head").Inc()
		return
	}
	if owner := head.GetOwner(); owner != "" && !head.GetReleased() && owner != c.e.instance {
		since := c.namedSince(name, owner)
		if c.alive(owner) {
			c.clearFree(name)
			return
		}
		// An owner registers before it takes a cell, so a registry that was read before
		// the head may lack one that lives.
		if !c.e.registryRead.Load().After(since) {
			return
		}
	}
	c.take(ctx, name)
}

// away reports whether a cell belongs to another data centre.
func (c *cells) away(name string) bool { return dataCentreOf(name) != c.e.options.DataCentre }

// yield gives up the cells of other data centres that have an entry again.
func (c *cells) yield() {
	served := c.served()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, stop := range c.stops {
		if c.away(name) && served[dataCentreOf(name)] {
			c.e.log.Info("cell yielded to its data centre", "cell", name)
			stop()
		}
	}
}

// served lists the data centres that have an entry.
func (c *cells) served() map[string]bool {
	served := map[string]bool{}
	_ = c.e.loop.Do(func() {
		for _, a := range c.e.control.known {
			served[a.GetDataCentre()] = true
		}
	})
	return served
}

// ownedElsewhere reports whether a peer has lately said that it owns the cell.
func (c *cells) ownedElsewhere(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.heard[name]
	return ok && time.Since(h.at) < gossipFresh
}

// freeSince returns since when the cell has seemed to have no owner.
func (c *cells) freeSince(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.free[name].IsZero() {
		c.free[name] = time.Now()
	}
	return c.free[name]
}

func (c *cells) clearFree(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.free, name)
}

// rank returns how many entries go before this one in the order for a cell: those of the
// cell's data centre first, then by a hash, so that cells spread over the entries.
func (c *cells) rank(name string) (rank int) {
	type place struct {
		away bool
		hash uint64
	}
	weigh := func(a *peerpb.EntryAddress) place {
		return place{a.GetDataCentre() != dataCentreOf(name), xxhash.Sum64String(name + "\x00" + a.GetId())}
	}
	mine := weigh(c.e.address())
	_ = c.e.loop.Do(func() {
		for id, a := range c.e.control.known {
			other := weigh(a)
			if id != c.e.options.ID && (mine.away && !other.away || mine.away == other.away && other.hash < mine.hash) {
				rank++
			}
		}
	})
	return rank
}

// alive reports whether the instance of an entry is registered.
func (c *cells) alive(instance string) (alive bool) {
	id, _, _ := strings.Cut(instance, "/")
	_ = c.e.loop.Do(func() { alive = c.e.control.instance[id] == instance })
	return alive
}

// namedSince returns when the cell's head was first seen to name its present owner.
func (c *cells) namedSince(name, instance string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.named[name].instance != instance {
		c.named[name] = named{instance: instance, since: time.Now()}
	}
	return c.named[name].since
}

func (c *cells) take(ctx context.Context, name string) {
	owner, err := cell.Take(ctx, cell.Options{
		Cell:     name,
		Identity: cell.Identity{Entry: c.e.instance, Address: c.e.options.Advertise},
		Store:    c.e.options.Store, Agents: c.e, Placer: c.e.options.Placer,
		Document:               c.e.options.Holder.Document,
		ReservedElsewhere:      func(team string) driver.Resources { return c.elsewhere(name, team) },
		LargestWorkerElsewhere: func() driver.Resources { return c.largestElsewhere(name) },
		Grant:                  c.e.options.Grant, Margin: c.e.options.Margin, StoreSilence: c.e.options.StoreSilence,
		Retention: cell.DefaultRetention, Log: c.e.log, Metrics: c.e.options.Metrics,
	})
	if err != nil {
		c.e.log.Warn("cell was not taken", "cell", name, "error", err.Error())
		return
	}
	running, stop := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.owners[name], c.stops[name] = owner, stop
	delete(c.free, name)
	c.mu.Unlock()
	c.e.options.Metrics.CellsOwned.Inc()
	c.running.Go(func() {
		defer stop()
		c.runOwner(running, name, owner)
	})
}

// runOwner runs an owner until the entry stops or the cell is lost.
func (c *cells) runOwner(ctx context.Context, name string, owner *cell.Owner) {
	if err := owner.Run(ctx); err != nil {
		c.e.log.Warn("cell lost", "cell", name, "error", err.Error())
	}
	c.mu.Lock()
	delete(c.owners, name)
	delete(c.stops, name)
	c.mu.Unlock()
	c.e.options.Metrics.CellsOwned.Dec()
}
