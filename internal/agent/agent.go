package agent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/fence"
	"github.com/jasminebay/jasminebay/internal/gate"
	"github.com/jasminebay/jasminebay/internal/ledger"
	"github.com/jasminebay/jasminebay/internal/loop"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

const (
	// maxHeldBodyBytes bounds the total size of the request bodies in memory.
	maxHeldBodyBytes = 48 << 20
	// expireInterval is the time between checks for queued requests past their deadline.
	expireInterval    = 250 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// sweepInterval is the time between removals of old records, tombstones and upstreams.
	sweepInterval = 10 * time.Second
)

// Agent controls the upstreams and the worker on one VM.
type Agent struct {
	options     Options
	incarnation uint64
	loop        *loop.Loop
	bodies      *semaphore.Weighted
	log         *slog.Logger
	control     control
}

// control is the state that is accessed only on the goroutine of the loop.
type control struct {
	upstreams map[string]*upstream
	records   *fence.Records
	ledger    *ledger.Ledger
	attempts  map[string]*attempt
	// tombstones holds the attempts that must not start any more, and since when.
	tombstones map[string]time.Time
	grant      grant
	// rebuilding reports whether the worker's status has yet to be read after the agent's start.
	rebuilding bool
	draining   bool
	// yielding reports whether the owner gives this worker to tasks that slow services down.
	yielding bool
	slice    *peerpb.Slice
	// document is the newest slice with the whole configuration document, or nil.
	document *peerpb.Slice
	entries  map[string]*peerpb.EntryAddress
	sessions map[string]*entrySession
	// changed is closed and replaced when the state in reports changes.
	changed   chan struct{}
	lastSweep time.Time
}

// upstream is a process that has announced itself to this agent.
type upstream struct {
	service  string
	address  string
	instance string
	// addressAnnounced is when the upstream last announced address.
	addressAnnounced time.Time
	gate             *gate.Gate
	latencies        *latencyWindow
}

// New returns an Agent that does nothing until Run is called.
func New(o Options) *Agent {
	return &Agent{
		options:     o,
		incarnation: rand.Uint64() | 1,
		loop:        loop.New(),
		bodies:      semaphore.NewWeighted(maxHeldBodyBytes),
		log:         o.Log.With("agent", o.ID, "data-centre", o.DataCentre),
		control: control{
			upstreams:  map[string]*upstream{},
			records:    fence.New(),
			ledger:     ledger.New(driver.Resources{}),
			attempts:   map[string]*attempt{},
			tombstones: map[string]time.Time{},
			rebuilding: o.Worker != nil,
			entries:    map[string]*peerpb.EntryAddress{},
			sessions:   map[string]*entrySession{},
			changed:    make(chan struct{}),
		},
	}
}

// Incarnation returns the random number that distinguishes this process from earlier ones.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves until ctx ends, then drains and returns. Requests in flight may take DrainTimeout to
// complete.
func (a *Agent) Run(ctx context.Context) error {
	workContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loopContext, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	go a.loop.Run(loopContext)
	done := []<-chan struct{}{
		loop.Every(workContext, expireInterval, func() { a.loop.Post(a.expire) }),
		a.startSessions(workContext),
	}
	if a.options.Worker != nil {
		done = append(done, a.startPolling(workContext))
	}
	a.log.Info("agent started", "incarnation", a.incarnation, "rack", a.options.Rack)
	<-ctx.Done()
	a.drain()
	stop()
	for _, c := range done {
		<-c
	}
	stopLoop()
	<-a.loop.Done()
	return nil
}

// drain refuses new work and waits for requests in flight, up to DrainTimeout.
func (a *Agent) drain() {
	start := time.Now()
	count := a.startDrain()
	a.log.Info("draining", "in-flight", count, "timeout", a.options.DrainTimeout.String())
	deadline := start.Add(a.options.DrainTimeout)
	for a.inFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	// Wait one heartbeat, so that a last report tells the entries about the end of the requests.
	time.Sleep(min(a.options.Heartbeat, time.Until(deadline)))
	a.log.Info("drained", "in-flight-at-start", count, "cut-off", a.inFlight(), "seconds", time.Since(start).Seconds())
}

// startDrain refuses new work from now on and returns the number of requests in flight.
func (a *Agent) startDrain() (count int) {
	_ = a.loop.Do(func() {
		a.control.draining = true
		for _, u := range a.control.upstreams {
			count += u.gate.Active()
			u.gate.Drain()
		}
		a.notifyChanged()
	})
	return count
}

func (a *Agent) inFlight() (count int) {
	_ = a.loop.Do(func() {
		for _, u := range a.control.upstreams {
			count += u.gate.Active()
		}
	})
	return count
}

// expire refuses queued requests past their deadline and, every sweepInterval, removes old records,
// tombstones and upstreams; it runs on the loop.
func (a *Agent) expire() {
	now := time.Now()
	for _, u := range a.control.upstreams {
		u.gate.Expire(now)
	}
	if now.Sub(a.control.lastSweep) < sweepInterval {
		return
	}
	a.control.lastSweep = now
	a.control.records.Expire(now)
	for key, at := range a.control.tombstones {
		if now.Sub(at) > tombstoneRetention {
			delete(a.control.tombstones, key)
		}
	}
	for key, u := range a.control.upstreams {
		if !u.gate.Present(now) && u.gate.InFlight() == 0 {
			delete(a.control.upstreams, key)
		}
	}
}

// notifyChanged triggers a report in each session; it runs on the loop.
func (a *Agent) notifyChanged() {
	close(a.control.changed)
	a.control.changed = make(chan struct{})
}
