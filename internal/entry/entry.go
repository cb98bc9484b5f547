package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// bufferedBodiesMaxBytes bounds the request bodies that are held at a time.
	bufferedBodiesMaxBytes = 256 << 20
	pollInterval           = 20 * time.Millisecond
	publishInterval        = 250 * time.Millisecond
	// shutdownDelay is how long a leaving entry goes on accepting callers, so that the
	// balancer sees that it is not ready.
	shutdownDelay = 500 * time.Millisecond
	// warmUpTimeout is how long an entry that knows no upstream is not ready: agents that can reach
	// it dial it within that time.
	warmUpTimeout = 6 * time.Second
)

// Listeners are the sockets that an Entry serves.
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
	// registryReadAt is when the reading of the registry that known comes from began.
	registryReadAt     atomic.Pointer[time.Time]
	log                *slog.Logger
	sessions           sync.WaitGroup
	loopState          loopState
	cells              cells
	startedAt          time.Time
	compressedDocument atomic.Pointer[compressedDocument]
	// warmedUp tells that this process has known an upstream, here or through a peer.
	warmedUp atomic.Bool
}

// loopState is the state that only the loop's goroutine touches.
type loopState struct {
	agents map[string]*agentSession
	peers  map[string]*peerSession
	// liveEntries lists the live entries, this one included.
	liveEntries        map[string]*peerpb.EntryAddress
	liveEntriesVersion uint64
	instances          map[string]string
	stateSequence      uint64
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
		bodyMemory:  semaphore.NewWeighted(bufferedBodiesMaxBytes),
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

// Run serves the listeners until ctx ends, then ends the requests in flight and returns.
func (e *Entry) Run(ctx context.Context, l Listeners) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loopContext, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	go e.loop.Run(loopContext)
	callers, operators := e.callerServer(), e.operatorServer()
	ends := []<-chan struct{}{
		goServe(callers, l.Callers), goServe(operators, l.Operators),
		e.goAccept(work, l.Peers), e.goDial(work), e.goRegister(work),
		loop.Go(work, e.options.Watcher.Run), loop.Go(work, e.publishPeriodically),
	}
	cellsContext, stopCells := context.WithCancel(work)
	cellsEnd := loop.Go(cellsContext, e.cells.run)
	e.log.Info("entry started", "incarnation", e.incarnation, "callers", l.Callers.Addr().String(),
		"operators", l.Operators.Addr().String(), "peers", l.Peers.Addr().String())
	<-ctx.Done()
	e.drain(ctx, callers)
	stopCells()
	<-cellsEnd
	stop()
	_ = operators.Close()
	_ = l.Peers.Close()
	for _, end := range ends {
		<-end
	}
	e.sessions.Wait()
	stopLoop()
	<-e.loop.Done()
	return nil
}

// drain ends the requests in flight whole, within the drain timeout.
func (e *Entry) drain(ctx context.Context, callers *http.Server) {
	began := time.Now()
	count := e.inFlight.Load()
	e.draining.Store(true)
	e.log.Info("draining", "in-flight", count, "timeout", e.options.DrainTimeout.String())
	time.Sleep(min(shutdownDelay, e.options.DrainTimeout/4))
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.DrainTimeout)
	defer cancel()
	if err := callers.Shutdown(bounded); err != nil {
		_ = callers.Close()
	}
	for e.inFlight.Load() > 0 && bounded.Err() == nil {
		time.Sleep(pollInterval)
	}
	e.log.Info("drained", "in-flight-at-start", count, "cut-off", e.inFlight.Load(), "seconds", time.Since(began).Seconds())
}

// publishPeriodically publishes the routing table and what peers are told, until ctx ends.
func (e *Entry) publishPeriodically(ctx context.Context) {
	t := time.NewTicker(publishInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			_ = e.loop.Do(e.publishRoutes)
		case <-ctx.Done():
			return
		}
	}
}

func goServe(s *http.Server, l net.Listener) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	return done
}
