package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/flow/link"
	"github.com/jasminebay/jasminebay/internal/flow/locate"
	"github.com/jasminebay/jasminebay/internal/flow/owner"
	"github.com/jasminebay/jasminebay/internal/flow/upkeep"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/steady"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// headStill is how long the head must stand still for an owner that nobody reaches to
	// be taken as gone; an idle owner commits every 0.4 s.
	headStill = 600 * time.Millisecond
	headRead  = 700 * time.Millisecond
	// takeTimeout bounds one try to take the cell.
	takeTimeout = 2 * time.Second
	redialPause = 150 * time.Millisecond
	// rankSpan spreads candidates by their share of a processor, so that the strongest
	// takes the cell, and jitterSpan spreads equal ones.
	rankSpan   = 120 * time.Millisecond
	jitterSpan = 40 * time.Millisecond
	// ownerPoll is how often an owner looks whether another entry should own the cell.
	ownerPoll = 100 * time.Millisecond
	// resignSilence is how long the store may be silent for an owner while other entries
	// hear it, before the owner gives up the cell.
	resignSilence = 700 * time.Millisecond
	// hearMargin is how much later another entry must have heard of the store.
	hearMargin = 250 * time.Millisecond
	// isolatedAfter is how long an owner that had agents may have none.
	isolatedAfter = 1500 * time.Millisecond
	// resignPause keeps a process that gave up the cell from taking it again at once.
	resignPause = 3 * time.Second
	// readyGrace is how long an entry without an owner still takes new connections: a
	// takeover takes about as long.
	readyGrace = 2 * time.Second
	// loadingWait is how long a session waits for a cell that is being loaded.
	loadingWait = 2 * time.Second
)

// Options configures a Node.
type Options struct {
	Cell     string
	Identity owner.Identity
	Zone     string
	// CPUShare is the share of a processor that this process has.
	CPUShare  float64
	Store     driver.TxnStore
	Clock     steady.Clock
	Follower  *locate.Follower
	Lease     time.Duration
	Retention time.Duration
	// Adviser is nil if the deployment has no admission service.
	Adviser driver.Adviser
	// VMs and Waves are nil if the deployment has no maintenance; Maintenance is how long a
	// VM is down for it.
	VMs        driver.VMs
	Waves      driver.Waves
	VMDowntime time.Duration
	Log        *slog.Logger
	Metrics    *telemetry.Flow
}

// Node finds or becomes the owner of the cell and passes calls to it; it is safe for
// concurrent use.
type Node struct {
	options Options
	holder  holder
	mu      sync.Mutex
	// own is the owner in this process, client the link to one elsewhere.
	own      *owner.Owner
	client   *client
	changed  chan struct{}
	taking   bool
	leaving  bool
	lostAt   time.Duration
	resigned time.Duration
	peers    map[string]peerState
	giveUp   context.CancelFunc
	links    sync.WaitGroup
}

type peerState struct {
	heard        time.Duration
	storeSilence time.Duration
}

// New returns a Node; Run must be called next.
func New(o Options) *Node {
	return &Node{options: o, changed: make(chan struct{}), peers: map[string]peerState{}, lostAt: o.Clock()}
}

// Apply puts a document in force unless a newer one is.
func (n *Node) Apply(d *Document) {
	if !n.holder.apply(d) {
		return
	}
	n.options.Log.Info("configuration in force", "version", d.Version, "routes", len(d.Routes))
	n.mu.Lock()
	own := n.own
	n.mu.Unlock()
	if own != nil {
		own.Configure(d.queues())
	}
}

// Run serves peers at the listener until ctx ends.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	accepts := loop.Go(ctx, func(ctx context.Context) { n.accept(ctx, l) })
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for ctx.Err() == nil {
		n.turn(ctx)
	}
	_ = l.Close()
	<-accepts
	n.links.Wait()
}

// turn finds out who owns the cell, and follows or becomes the owner.
func (n *Node) turn(ctx context.Context) {
	record, known, changed := n.options.Follower.Record()
	if !known {
		n.waitChange(ctx, changed, redialPause)
		return
	}
	self := n.options.Identity
	switch {
	case record == nil, record.GetReleased():
		n.candidate(ctx, changed, "the cell has no owner")
	case record.GetNode() == self.Node && record.GetIncarnation() == self.Incarnation:
		// A write that took effect after this process had given up on it.
		n.candidate(ctx, changed, "the cell was taken in this process's name")
	case record.GetNode() == self.Node:
		n.candidate(ctx, changed, "the owner was an earlier life of this process")
	default:
		// What follows a lost owner must outlive the change of the record that it makes.
		if reason := n.follow(ctx, record, changed); reason != "" && ctx.Err() == nil {
			n.candidate(ctx, changed, reason)
		}
	}
}

func (n *Node) waitChange(ctx context.Context, changed <-chan struct{}, most time.Duration) (didChange bool) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// follow keeps a link to the owner for as long as it lives and stays the owner. It returns
// why the cell should be taken, or "".
func (n *Node) follow(ctx context.Context, record *flowpb.Owner, changed <-chan struct{}) (reason string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := loop.Go(ctx, func(ctx context.Context) {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	})
	defer func() { cancel(); <-watch }()
	before, headErr := uint64(0), error(nil)
	silent := n.options.Clock()
	if n.wasSilent() {
		before, headErr = n.head(ctx)
	}
	l, welcome, err := link.Dial(ctx, record.GetAddress(), &flowpb.Hello{Node: n.options.Identity.Node, Incarnation: n.options.Identity.Incarnation, Zone: n.options.Zone})
	if err == nil && welcome.GetError() != "" {
		l.Close()
		return "the owner says: " + welcome.GetError()
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return "no process listens at the owner's address"
		}
		if ctx.Err() == nil {
			n.options.Log.Warn("owner not reached", "owner", record.GetNode(), "epoch", record.GetEpoch(), "error", err.Error())
			return n.suspect(ctx, changed, before, headErr, n.options.Clock()-silent)
		}
		return ""
	}
	c := newClient(l)
	n.setClient(c)
	n.options.Log.Info("owner reached", "owner", record.GetNode(), "epoch", record.GetEpoch())
	c.run(ctx, n.beat)
	n.setClient(nil)
	if ctx.Err() == nil {
		n.options.Log.Warn("owner lost", "owner", record.GetNode(), "epoch", record.GetEpoch())
	}
	return ""
}

func (n *Node) beat() *flowpb.Beat {
	return &flowpb.Beat{StoreSilenceMillis: n.options.Follower.StoreSilence().Milliseconds()}
}

func (n *Node) setClient(c *client) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.client != nil && c == nil {
		n.lostAt = n.options.Clock()
	}
	n.client = c
	close(n.changed)
	n.changed = make(chan struct{})
}

// suspect tells that the cell should be taken if its head stands still for headStill since
// it was read, of which some time has passed; a living owner does not let that happen.
func (n *Node) suspect(ctx context.Context, changed <-chan struct{}, before uint64, err error, passed time.Duration) (reason string) {
	if before == 0 && err == nil {
		before, err = n.head(ctx)
		passed = 0
	}
	if err != nil {
		n.options.Log.Warn("head not read", "error", err.Error())
		n.waitChange(ctx, changed, redialPause)
		return ""
	}
	if n.waitChange(ctx, changed, max(0, headStill-passed)) {
		return ""
	}
	after, err := n.head(ctx)
	if err != nil || after != before {
		n.waitChange(ctx, changed, redialPause)
		return ""
	}
	return "the owner is silent and the head stands still"
}

// wasSilent reports whether a link to the owner has just been lost.
func (n *Node) wasSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.client == nil && n.options.Clock()-n.lostAt < readyGrace
}

func (n *Node) head(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, headRead)
	defer cancel()
	item, err := n.options.Store.Get(ctx, owner.HeadKey(n.options.Cell))
	if errors.Is(err, driver.ErrNotFound) {
		return driver.RevisionAbsent, nil
	}
	return item.Revision(), err
}

// candidate takes the cell after a pause that leaves it to stronger entries first.
func (n *Node) candidate(ctx context.Context, changed <-chan struct{}, reason string) {
	n.mu.Lock()
	barred := n.leaving || n.options.Clock()-n.resigned < resignPause && n.resigned > 0
	n.mu.Unlock()
	if barred {
		n.waitChange(ctx, changed, redialPause)
		return
	}
	seen, err := n.head(ctx)
	if err != nil {
		n.options.Log.Warn("head not read", "error", err.Error())
		n.waitChange(ctx, changed, redialPause)
		return
	}
	if n.waitChange(ctx, changed, n.rank()) || ctx.Err() != nil {
		return
	}
	n.options.Log.Info("taking the cell", "cell", n.options.Cell, "reason", reason, "head-revision", seen)
	n.take(ctx, seen)
}

// rank returns how long this entry leaves the cell to others.
func (n *Node) rank() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.options.Identity.Node))
	jitter := time.Duration(h.Sum32()%uint32(jitterSpan/time.Millisecond)) * time.Millisecond
	return time.Duration(max(0, 1-n.options.CPUShare)*float64(rankSpan)) + jitter
}

// take becomes the owner and stays so until the cell is lost or given up.
func (n *Node) take(ctx context.Context, seen uint64) {
	n.setTaking(true)
	defer n.setTaking(false)
	takeContext, cancel := context.WithTimeout(ctx, takeTimeout)
	ledger, err := owner.Take(takeContext, n.options.Store, n.options.Clock, n.options.Cell, n.options.Identity, seen)
	cancel()
	if err != nil {
		n.options.Log.Warn("cell not taken", "cell", n.options.Cell, "error", err.Error())
		loop.Pause(ctx, redialPause)
		return
	}
	ownContext, giveUp := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, giveUp)
	defer stop()
	defer giveUp()
	n.mu.Lock()
	n.giveUp = giveUp
	if n.leaving {
		giveUp()
	}
	n.mu.Unlock()
	n.runOwner(ownContext, ledger)
}

// keep carries out maintenance while this process owns the cell.
func (n *Node) keep(ctx context.Context, own *owner.Owner) {
	if n.options.VMs == nil || n.options.Waves == nil {
		return
	}
	upkeep.New(upkeep.Options{
		Cell: own, VMs: n.options.VMs, Waves: n.options.Waves, Clock: n.options.Clock, Holder: n.options.Identity.Node,
		Token: own.Epoch(), Each: n.options.VMDowntime, Log: n.options.Log,
	}).Run(ctx)
}

// runOwner runs the owner of a cell that has been taken.
func (n *Node) runOwner(ctx context.Context, ledger *owner.Ledger) {
	o := owner.Options{
		Cell: n.options.Cell, Ledger: ledger, Store: n.options.Store, Clock: n.options.Clock, Lease: n.options.Lease,
		Retention: n.options.Retention, Adviser: n.options.Adviser, Log: n.options.Log, Metrics: n.options.Metrics,
	}
	own, err := owner.New(ctx, o, n.queues())
	if err != nil {
		n.options.Log.Warn("cell taken and not loaded", "cell", n.options.Cell, "error", err.Error())
		return
	}
	n.setOwner(own)
	n.options.Metrics.Owning(true)
	guard, stop := context.WithCancel(ctx)
	watch := loop.Go(guard, func(ctx context.Context) { n.watchOwner(ctx, own) })
	keep := loop.Go(guard, func(ctx context.Context) { n.keep(ctx, own) })
	err = own.Run(ctx)
	stop()
	<-watch
	<-keep
	n.setOwner(nil)
	n.options.Metrics.Owning(false)
	if err != nil && !errors.Is(err, owner.ErrDeposed) {
		n.options.Log.Warn("cell not released", "error", err.Error())
	}
}
