package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/evacuation"
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
	// headUnchangedTimeout is how long the head must be unchanged before an unreachable owner is
	// considered dead. An idle owner commits every 0.4 s.
	headUnchangedTimeout = 600 * time.Millisecond
	headReadTimeout      = 700 * time.Millisecond
	// acquireTimeout bounds one attempt to acquire the cell.
	acquireTimeout = 2 * time.Second
	retryPause     = 150 * time.Millisecond
	// maxShareDelay delays the takeover by entries with a small share of a processor, so that the
	// strongest entry takes the cell. maxJitter spreads entries with equal shares.
	maxShareDelay = 120 * time.Millisecond
	maxJitter     = 40 * time.Millisecond
	// ownerCheckInterval is how often an owner checks whether another entry should own the cell.
	ownerCheckInterval = 100 * time.Millisecond
	// maxStoreSilence is how long the store may leave a commit unanswered, while it answers other
	// entries, before the owner gives up the cell.
	maxStoreSilence = 700 * time.Millisecond
	// peerStoreMargin is how much more recently the store must have answered another entry.
	peerStoreMargin = 250 * time.Millisecond
	// isolationTimeout is how long an owner that had agents may have none before it gives up the
	// cell.
	isolationTimeout = 1500 * time.Millisecond
	// takeoverCooldown keeps a process that gave up the cell from taking it over again at once.
	takeoverCooldown = 3 * time.Second
	// readyGrace is how long an entry without an owner stays ready. A takeover takes about as long.
	readyGrace = 2 * time.Second
	// announceAttempts and announcePause bound how a new owner tries to reach the one before.
	announceAttempts = 10
	announcePause    = 300 * time.Millisecond
	// ownerLoadTimeout is how long a new session waits while the cell is being loaded.
	ownerLoadTimeout = 2 * time.Second
)

// Options configures a Node.
type Options struct {
	Cell     string
	Identity owner.Identity
	Zone     string
	// CPUShare is the share of a processor that this process has.
	CPUShare float64
	Store    driver.TxnStore
	Clock    steady.Clock
	Follower *locate.Follower
	Lease    time.Duration
	// MaxLease is the longest lease that a runner holds.
	MaxLease  time.Duration
	Retention time.Duration
	// Adviser is nil if the deployment has no admission service.
	Adviser driver.Adviser
	// VMs and Waves are nil if the deployment has no maintenance. VMDowntime is how long
	// maintenance takes a VM down.
	VMs        driver.VMs
	Waves      driver.Waves
	VMDowntime time.Duration
	// Evacuations is nil if data centres are not evacuated. EvacuationBound is how long after the request tasks may
	// still start in one.
	Evacuations     driver.Evacuations
	EvacuationBound time.Duration
	Log             *slog.Logger
	Metrics         *telemetry.Flow
}

// Node finds or becomes the owner of the cell and forwards calls to it. It is safe for concurrent
// use.
type Node struct {
	options   Options
	documents documentHolder
	// configuring is held while a configuration is passed to the owner in this process, so that the newest one is
	// passed last and a new owner misses none.
	configuring sync.Mutex
	mu          sync.Mutex
	// localOwner is the owner in this process, client the connection to an owner in another one.
	localOwner  *owner.Owner
	client      *client
	changed     chan struct{}
	takingOver  bool
	leaving     bool
	ownerLostAt time.Duration
	releasedAt  time.Duration
	peers       map[string]peerState
	release     context.CancelFunc
	// lookups holds an element for each job that is being looked up in the store.
	lookups  chan struct{}
	sessions sync.WaitGroup
}

type peerState struct {
	receivedAt   time.Duration
	storeSilence time.Duration
}

// New returns a Node. Run and Serve must be called next.
func New(o Options) *Node {
	return &Node{options: o, changed: make(chan struct{}), peers: map[string]peerState{}, lookups: make(chan struct{}, maxLookups), ownerLostAt: o.Clock()}
}

// Apply puts a configuration in force if it is newer than the current one.
func (n *Node) Apply(d *Document) {
	if !n.documents.apply(d) {
		return
	}
	n.options.Log.Info("configuration in force", "version", d.Version, "routes", len(d.Routes))
	n.configuring.Lock()
	defer n.configuring.Unlock()
	n.mu.Lock()
	local := n.localOwner
	n.mu.Unlock()
	if local != nil {
		local.Configure(n.queues())
	}
}

// beginOwning makes calls reach a new owner, which gets the configuration that is in force by now before them.
func (n *Node) beginOwning(local *owner.Owner) {
	n.configuring.Lock()
	defer n.configuring.Unlock()
	local.Configure(n.queues())
	n.setLocalOwner(local)
}

// Run follows or becomes the owner of the cell until ctx ends.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		n.reconcile(ctx)
	}
}

// reconcile determines who owns the cell, and follows the owner or takes over from it.
func (n *Node) reconcile(ctx context.Context) {
	record, known, changed := n.options.Follower.Record()
	if !known {
		n.waitChange(ctx, changed, retryPause)
		return
	}
	self := n.options.Identity
	switch {
	case record == nil, record.GetReleased():
		n.attemptTakeover(ctx, changed, "the cell has no owner")
	case record.GetNode() == self.Node && record.GetIncarnation() == self.Incarnation:
		// The write that acquired the cell took effect after this process had given up on it.
		n.attemptTakeover(ctx, changed, "this process acquired the cell after giving up on it")
	case record.GetNode() == self.Node:
		n.attemptTakeover(ctx, changed, "the owner was an earlier incarnation of this process")
	default:
		// The takeover runs under ctx: followOwner's own context ends when the record changes, and
		// the takeover changes it.
		if reason := n.followOwner(ctx, record, changed); reason != "" && ctx.Err() == nil {
			n.attemptTakeover(ctx, changed, reason)
		}
	}
}

func (n *Node) waitChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) (didChange bool) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// followOwner stays connected to the owner until the connection ends or the owner record changes.
// It returns the reason to take over the cell, or "" if there is none.
func (n *Node) followOwner(ctx context.Context, record *flowpb.Owner, changed <-chan struct{}) (reason string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchDone := loop.Go(ctx, func(ctx context.Context) {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	})
	defer func() { cancel(); <-watchDone }()
	headBefore, headErr := uint64(0), error(nil)
	headReadAt := n.options.Clock()
	if n.lostOwnerRecently() {
		headBefore, headErr = n.headRevision(ctx)
	}
	l, welcome, err := link.Dial(ctx, record.GetAddress(), &flowpb.Hello{Node: n.options.Identity.Node, Incarnation: n.options.Identity.Incarnation, Zone: n.options.Zone})
	if err == nil && welcome.GetError() != "" {
		l.Close()
		if welcome.GetOwner().GetEpoch() > record.GetEpoch() {
			n.options.Follower.Learn(welcome.GetOwner())
			return ""
		}
		return "the owner refused the connection: " + welcome.GetError()
	}
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return "no process listens at the owner's address"
		}
		if ctx.Err() == nil {
			n.options.Log.Warn("connecting to the owner failed", "owner", record.GetNode(), "epoch", record.GetEpoch(), "error", err.Error())
			return n.confirmOwnerGone(ctx, changed, headBefore, headErr, n.options.Clock()-headReadAt)
		}
		return ""
	}
	c := newClient(l)
	n.setClient(c)
	n.options.Log.Info("connected to the owner", "owner", record.GetNode(), "epoch", record.GetEpoch())
	c.run(ctx, n.heartbeat)
	n.setClient(nil)
	if ctx.Err() == nil {
		n.options.Log.Warn("connection to the owner lost", "owner", record.GetNode(), "epoch", record.GetEpoch(), "silent", l.Silent())
	}
	return ""
}

func (n *Node) heartbeat() *flowpb.Beat {
	return &flowpb.Beat{StoreSilenceMillis: n.options.Follower.StoreSilence().Milliseconds()}
}

func (n *Node) setClient(c *client) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.client != nil && c == nil {
		n.ownerLostAt = n.options.Clock()
	}
	n.client = c
	close(n.changed)
	n.changed = make(chan struct{})
}

// confirmOwnerGone returns a reason to take over the cell if the head stays unchanged for
// headUnchangedTimeout after it was read, which was elapsed ago. A living owner commits more often.
func (n *Node) confirmOwnerGone(ctx context.Context, changed <-chan struct{}, before uint64, err error, elapsed time.Duration) (reason string) {
	if before == 0 && err == nil {
		before, err = n.headRevision(ctx)
		elapsed = 0
	}
	if err != nil {
		n.options.Log.Warn("reading the head failed", "error", err.Error())
		n.waitChange(ctx, changed, retryPause)
		return ""
	}
	if n.waitChange(ctx, changed, max(0, headUnchangedTimeout-elapsed)) {
		return ""
	}
	after, err := n.headRevision(ctx)
	if err != nil || after != before {
		n.waitChange(ctx, changed, retryPause)
		return ""
	}
	return "the owner is unreachable and the head is unchanged"
}

// lostOwnerRecently reports whether a connection to the owner was lost within readyGrace.
func (n *Node) lostOwnerRecently() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.client == nil && n.options.Clock()-n.ownerLostAt < readyGrace
}

func (n *Node) headRevision(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, headReadTimeout)
	defer cancel()
	item, err := n.options.Store.Get(ctx, owner.HeadKey(n.options.Cell))
	if errors.Is(err, driver.ErrNotFound) {
		return driver.RevisionAbsent, nil
	}
	return item.Revision(), err
}

// attemptTakeover takes over the cell after a delay that lets stronger entries do so first.
func (n *Node) attemptTakeover(ctx context.Context, changed <-chan struct{}, reason string) {
	n.mu.Lock()
	ineligible := n.leaving || n.options.Clock()-n.releasedAt < takeoverCooldown && n.releasedAt > 0
	n.mu.Unlock()
	if ineligible {
		n.waitChange(ctx, changed, retryPause)
		return
	}
	observed, err := n.headRevision(ctx)
	if err != nil {
		n.options.Log.Warn("reading the head failed", "error", err.Error())
		n.waitChange(ctx, changed, retryPause)
		return
	}
	if n.waitChange(ctx, changed, n.takeoverDelay()) || ctx.Err() != nil {
		return
	}
	n.options.Log.Info("taking over the cell", "cell", n.options.Cell, "reason", reason, "head-revision", observed)
	n.becomeOwner(ctx, observed)
}

// takeoverDelay returns how long this entry waits for others to take over the cell.
func (n *Node) takeoverDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.options.Identity.Node))
	jitter := time.Duration(h.Sum32()%uint32(maxJitter/time.Millisecond)) * time.Millisecond
	return time.Duration(max(0, 1-n.options.CPUShare)*float64(maxShareDelay)) + jitter
}

// becomeOwner acquires the cell and serves it until the cell is lost or given up.
func (n *Node) becomeOwner(ctx context.Context, observed uint64) {
	n.setTakingOver(true)
	defer n.setTakingOver(false)
	before, _, _ := n.options.Follower.Record()
	acquireCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	fenced, err := owner.Acquire(acquireCtx, n.options.Store, n.options.Clock, n.options.Cell, n.options.Identity, observed, before)
	cancel()
	if err != nil {
		n.options.Log.Warn("cell acquisition failed", "cell", n.options.Cell, "error", err.Error())
		loop.Pause(ctx, retryPause)
		return
	}
	ownerCtx, release := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, release)
	defer stop()
	defer release()
	n.mu.Lock()
	n.release = release
	if n.leaving {
		release()
	}
	n.mu.Unlock()
	n.runOwner(ownerCtx, fenced, before)
}

// runMaintenance carries out maintenance while this process owns the cell.
func (n *Node) runMaintenance(ctx context.Context, local *owner.Owner) {
	if n.options.VMs == nil || n.options.Waves == nil {
		return
	}
	upkeep.New(upkeep.Options{
		Cell: local, VMs: n.options.VMs, Waves: n.options.Waves, Clock: n.options.Clock, Holder: n.options.Identity.Node,
		Token: local.Epoch(), VMDowntime: n.options.VMDowntime, Log: n.options.Log,
	}).Run(ctx)
}

// newEvacuationFollower returns what tells a new owner of evacuated data centres, or nil if data centres are not evacuated.
func (n *Node) newEvacuationFollower(local *owner.Owner) *evacuation.Follower {
	if n.options.Evacuations == nil {
		return nil
	}
	return evacuation.New(evacuation.Options{Evacuations: n.options.Evacuations, Cell: local, Clock: n.options.Clock, Log: n.options.Log})
}

// announce tells the process that owned the cell before of the new owner. Agents and entries that do
// not reach the store still ask that process, which may not reach the store either.
func (n *Node) announce(ctx context.Context, before, record *flowpb.Owner) {
	if before == nil || before.GetAddress() == record.GetAddress() {
		return
	}
	hello := &flowpb.Hello{Node: n.options.Identity.Node, Incarnation: n.options.Identity.Incarnation, Zone: n.options.Zone, Owner: record}
	for range announceAttempts {
		l, _, err := link.Dial(ctx, before.GetAddress(), hello)
		if err == nil {
			l.Close()
			l.Wait()
			return
		}
		if ctx.Err() != nil || errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		loop.Pause(ctx, announcePause)
	}
}

// runOwner runs the owner of a cell that has been acquired after the owner before.
func (n *Node) runOwner(ctx context.Context, fenced *owner.FencedStore, before *flowpb.Owner) {
	opts := owner.Options{
		Cell: n.options.Cell, FencedStore: fenced, Store: n.options.Store, Clock: n.options.Clock, Lease: n.options.Lease, MaxLease: n.options.MaxLease,
		Retention: n.options.Retention, EvacuationBound: n.options.EvacuationBound, Adviser: n.options.Adviser, Log: n.options.Log, Metrics: n.options.Metrics,
	}
	local, err := owner.New(ctx, opts)
	if err != nil {
		n.options.Log.Warn("cell acquired but not loaded", "cell", n.options.Cell, "error", err.Error())
		return
	}
	evacuations := n.newEvacuationFollower(local)
	if evacuations != nil {
		evacuations.Prime(ctx)
	}
	n.beginOwning(local)
	n.options.Metrics.SetOwner(true)
	watchCtx, stop := context.WithCancel(ctx)
	announceDone := loop.Go(watchCtx, func(ctx context.Context) { n.announce(ctx, before, fenced.Record()) })
	watchDone := loop.Go(watchCtx, func(ctx context.Context) { n.watchOwner(ctx, local) })
	maintenanceDone := loop.Go(watchCtx, func(ctx context.Context) { n.runMaintenance(ctx, local) })
	evacuationsDone := loop.Go(watchCtx, func(ctx context.Context) {
		if evacuations != nil {
			evacuations.Run(ctx)
		}
	})
	err = local.Run(ctx)
	stop()
	<-announceDone
	<-watchDone
	<-maintenanceDone
	<-evacuationsDone
	n.setLocalOwner(nil)
	n.options.Metrics.SetOwner(false)
	if err != nil && !errors.Is(err, owner.ErrDeposed) {
		n.options.Log.Warn("cell release failed", "error", err.Error())
	}
}
