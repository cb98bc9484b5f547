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
	// bodiesMaxBytes bounds the request bodies that are held at a time.
	bodiesMaxBytes = 48 << 20
	expireInterval = 250 * time.Millisecond
	drainPoll      = 20 * time.Millisecond
	recordsSweep   = 10 * time.Second
)

// Agent is the process beside an upstream or a worker.
type Agent struct {
	options     Options
	incarnation uint64
	loop        *loop.Loop
	bodies      *semaphore.Weighted
	log         *slog.Logger
	control     control
}

// control is the state that only the loop's goroutine touches.
type control struct {
	upstreams  map[string]*upstream
	records    *fence.Records
	ledger     *ledger.Ledger
	attempts   map[string]*attempt
	tombstones map[string]time.Time
	grant      grant
	rebuilding bool
	draining   bool
	// yielding tells that the owner gives this worker to tasks that slow services.
	yielding bool
	slice    *peerpb.Slice
	// document is the newest slice that carried a whole document, or nil.
	document *peerpb.Slice
	entries  map[string]*peerpb.EntryAddress
	links    map[string]*link
	changed  chan struct{}
	sweptAt  time.Time
}

// upstream is one process that has announced itself to this agent.
type upstream struct {
	service  string
	address  string
	instance string
	// named is when the upstream last announced address.
	named  time.Time
	gate   *gate.Gate
	window *window
}

// New returns an Agent that does nothing until Run is called.
func New(o Options) *Agent {
	return &Agent{
		options:     o,
		incarnation: rand.Uint64() | 1,
		loop:        loop.New(),
		bodies:      semaphore.NewWeighted(bodiesMaxBytes),
		log:         o.Log.With("agent", o.ID, "data-centre", o.DataCentre),
		control: control{
			upstreams:  map[string]*upstream{},
			records:    fence.New(),
			ledger:     ledger.New(driver.Resources{}),
			attempts:   map[string]*attempt{},
			tombstones: map[string]time.Time{},
			rebuilding: o.Worker != nil,
			entries:    map[string]*peerpb.EntryAddress{},
			links:      map[string]*link{},
			changed:    make(chan struct{}),
		},
	}
}

// Incarnation returns the number that tells this process from its predecessors.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves until ctx ends, then drains and returns. Requests in flight are given
// DrainTimeout to end whole.
func (a *Agent) Run(ctx context.Context) error {
	traffic, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loopContext, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	go a.loop.Run(loopContext)
	ends := []<-chan struct{}{
		loop.Every(traffic, expireInterval, func() { a.loop.Post(a.expire) }),
		a.goSessions(traffic),
	}
	if a.options.Worker != nil {
		ends = append(ends, a.goPoll(traffic))
	}
	a.log.Info("agent started", "incarnation", a.incarnation, "rack", a.options.Rack)
	<-ctx.Done()
	a.drain()
	stop()
	for _, end := range ends {
		<-end
	}
	stopLoop()
	<-a.loop.Done()
	return nil
}

// drain refuses new work and waits for requests in flight.
func (a *Agent) drain() {
	began := time.Now()
	count := a.startDrain()
	a.log.Info("draining", "in-flight", count, "timeout", a.options.DrainTimeout.String())
	deadline := began.Add(a.options.DrainTimeout)
	for a.inFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	// Entries learn of the end from a last report; one heartbeat lets it out.
	time.Sleep(min(a.options.Heartbeat, time.Until(deadline)))
	a.log.Info("drained", "in-flight-at-start", count, "cut-off", a.inFlight(), "seconds", time.Since(began).Seconds())
}

func (a *Agent) startDrain() (count int) {
	_ = a.loop.Do(func() {
		a.control.draining = true
		for _, u := range a.control.upstreams {
			count += u.gate.Active()
			u.gate.Drain()
		}
		a.signal()
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

// expire drops what has outlived its deadline; it runs on the loop.
func (a *Agent) expire() {
	now := time.Now()
	for _, u := range a.control.upstreams {
		u.gate.Expire(now)
	}
	if now.Sub(a.control.sweptAt) < recordsSweep {
		return
	}
	a.control.sweptAt = now
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

// signal wakes everyone who reports state; it runs on the loop.
func (a *Agent) signal() {
	close(a.control.changed)
	a.control.changed = make(chan struct{})
}
