package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

const (
	// bufferedBodiesMaxBytes bounds the total size of the request bodies in memory.
	bufferedBodiesMaxBytes = 256 << 20
	// pollInterval separates the checks for requests in flight while draining, and is the
	// pause after a failed Accept.
	pollInterval    = 20 * time.Millisecond
	publishInterval = 250 * time.Millisecond
	// shutdownDelay is how long a draining entry continues to accept connections of callers, so
	// that load balancers see that it is not ready.
	shutdownDelay = 500 * time.Millisecond
	// answerTimeout is how long requests may take to be answered after the drain timeout, without a result.
	// It covers the time in which an agent confirms that a request was withdrawn.
	answerTimeout = time.Second
	// warmUpTimeout bounds how long an entry that knows no upstream reports that it is not
	// ready. Agents that can reach the entry dial it within that time.
	warmUpTimeout = 6 * time.Second
)

// Listeners are the listening sockets that an Entry serves.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Entry is the process on an entry VM.
type Entry struct {
	options     Options
	incarnation uint64
	instance    string
	loop        *loop.Loop
	bodyMemory  *semaphore.Weighted
	inFlight    atomic.Int64
	draining    atomic.Bool
	registered  atomic.Bool
	// registryReadAt is when the last successful read of the registry began.
	registryReadAt     atomic.Pointer[time.Time]
	log                *slog.Logger
	sessions           sync.WaitGroup
	loopState          loopState
	cells              cells
	startedAt          time.Time
	compressedDocument atomic.Pointer[compressedDocument]
	// warmedUp is set once this process has known an upstream, its own or a peer's.
	warmedUp atomic.Bool
}

// loopState is the state that only the loop's goroutine may access.
type loopState struct {
	agents map[string]*agentSession
	peers  map[string]*peerSession
	// liveEntries maps the ids of the live entries, this one included, to their addresses.
	liveEntries map[string]*peerpb.EntryAddress
	// liveEntriesVersion counts the changes of liveEntries.
	liveEntriesVersion uint64
	// instances maps the ids of the registered entries to their instances.
	instances map[string]string
	// stateSequence numbers the states that are sent to peers.
	stateSequence uint64
}

func bodyMemory(maxBytes int64) int64 {
	if maxBytes <= 0 {
		return bufferedBodiesMaxBytes
	}
	return min(maxBytes, bufferedBodiesMaxBytes)
}

// New returns an Entry that does nothing until Run is called.
func New(o Options) *Entry {
	incarnation := rand.Uint64() | 1
	e := &Entry{
		options:     o,
		incarnation: incarnation,
		instance:    o.ID + "/" + strconv.FormatUint(incarnation, 36),
		loop:        loop.New(),
		startedAt:   time.Now(),
		bodyMemory:  semaphore.NewWeighted(bodyMemory(o.MaxBodyBytes)),
		log:         o.Log.With("entry", o.ID, "data-centre", o.DataCentre),
		loopState: loopState{
			agents:      map[string]*agentSession{},
			peers:       map[string]*peerSession{},
			liveEntries: map[string]*peerpb.EntryAddress{},
			instances:   map[string]string{},
		},
	}
	e.loopState.liveEntries[o.ID] = e.address()
	e.loopState.instances[o.ID] = e.instance
	e.registryReadAt.Store(&time.Time{})
	e.cells.init(e)
	return e
}

func (e *Entry) address() *peerpb.EntryAddress {
	return &peerpb.EntryAddress{Id: e.options.ID, DataCentre: e.options.DataCentre, Address: e.options.Advertise, PeerAddress: e.peerAddress()}
}

func (e *Entry) peerAddress() string {
	if e.options.AdvertisePeers == "" {
		return e.options.Advertise
	}
	return e.options.AdvertisePeers
}

// Run serves the listeners until ctx ends, then drains the requests in flight and returns.
func (e *Entry) Run(ctx context.Context, l Listeners) error {
	workContext, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	loopContext, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	go e.loop.Run(loopContext)
	connections := telemetry.NewConnections(e.options.Metrics)
	callers, operators := e.callerServer(connections), e.operatorServer(connections)
	stopped := []<-chan struct{}{
		goServe(callers, l.Callers), goServe(operators, l.Operators),
		e.goAccept(workContext, l.Peers), e.goDial(workContext), e.goRegister(workContext),
		loop.Go(workContext, e.options.Watcher.Run), loop.Go(workContext, e.publishPeriodically), loop.Go(workContext, e.followEvacuations),
	}
	cellsContext, stopCells := context.WithCancel(workContext)
	cellsDone := loop.Go(cellsContext, e.cells.run)
	e.log.Info("entry started", "incarnation", e.incarnation, "callers", l.Callers.Addr().String(),
		"operators", l.Operators.Addr().String(), "peers", l.Peers.Addr().String())
	<-ctx.Done()
	e.drain(ctx, callers)
	stopCells()
	<-cellsDone
	e.stopOperators(ctx, operators)
	stopWork()
	_ = l.Peers.Close()
	for _, done := range stopped {
		<-done
	}
	e.sessions.Wait()
	stopLoop()
	<-e.loop.Done()
	return nil
}

// drain waits until the requests in flight are complete, at most for the drain timeout.
func (e *Entry) drain(ctx context.Context, callers *http1.Server) {
	start := time.Now()
	inFlight := e.inFlight.Load()
	e.draining.Store(true)
	callers.Announce()
	e.log.Info("draining", "in-flight", inFlight, "timeout", e.options.DrainTimeout.String())
	time.Sleep(min(shutdownDelay, e.options.DrainTimeout/4))
	drainContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.DrainTimeout)
	defer cancel()
	err := callers.Stop(drainContext, answerTimeout)
	for e.inFlight.Load() > 0 && drainContext.Err() == nil {
		time.Sleep(pollInterval)
	}
	e.log.Info("drained", "in-flight-at-start", inFlight, "cut-off", e.inFlight.Load(), "seconds", time.Since(start).Seconds(), "error", errs.Text(err))
}

// stopOperators answers the operators' calls in progress, at most for answerTimeout.
func (e *Entry) stopOperators(ctx context.Context, operators *http1.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
	defer cancel()
	if err := operators.Stop(ctx, answerTimeout); err != nil {
		e.log.Warn("calls of operators cut off", "error", err.Error())
	}
}

// publishPeriodically publishes the routing table at an interval until ctx ends.
func (e *Entry) publishPeriodically(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = e.loop.Do(e.publishRoutes)
		case <-ctx.Done():
			return
		}
	}
}

// goServe serves l until the server is closed, and closes the returned channel then.
func goServe(s interface{ Serve(net.Listener) error }, l net.Listener) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	return done
}
