package route

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/pick"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Limits of the attempts for one request.
const (
	// refusalsMax bounds the agents that are asked in turn while each refuses.
	refusalsMax  = 3
	retriesMax   = 2
	backoffMin   = 10 * time.Millisecond
	backoffMax   = 200 * time.Millisecond
	retryMinimum = 200 * time.Millisecond
	// spillMargin is how much less loaded another data centre must be.
	spillMargin = 0.1
)

// Options configures a Router.
type Options struct {
	DataCentre string
	Document   func() *document.Document
	Claims     *claim.Registry
	Log        *slog.Logger
	Metrics    *telemetry.Metrics
}

// Router sends requests; it is safe for concurrent use.
type Router struct {
	options  Options
	table    atomic.Pointer[Table]
	mu       sync.Mutex
	services map[string]*service
}

// service is what the router keeps of one service.
type service struct {
	routing document.Routing
	picker  driver.Picker
	budget  budget
	// ejecting is held while an upstream's failure is judged, so that two that fail at
	// once do not both take the last place in the share of ejected ones.
	ejecting sync.Mutex
}

// New returns a Router with an empty table.
func New(o Options) *Router {
	r := &Router{options: o, services: map[string]*service{}}
	r.table.Store(&Table{})
	return r
}

// Publish replaces the table.
func (r *Router) Publish(t *Table) { r.table.Store(t) }

// service returns what is kept of a service, renewed if its routing has changed.
func (r *Router) service(name string) *service {
	routing := document.Routing{Policy: "two-choices", SpillAt: 1, EjectShare: 0.34}
	if s := r.options.Document().Service(name); s != nil {
		routing = s.Routing
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil || s.routing != routing {
		s = &service{routing: routing, picker: pick.New(routing.Policy, routing.SpillAt)}
		r.services[name] = s
	}
	return s
}

// trip is one request on its way through the router.
type trip struct {
	*Router
	q        *Request
	service  *service
	tried    map[*Target]bool
	asked    map[string]bool
	claim    *claim.Claim
	refusals int
	retries  int
	// last is the best of the refusals so far.
	last *Reply
	// doubt is an attempt that may have run and was retried; after it the request can't
	// be called "not run" any more.
	doubt *Reply
	// candidates and load describe the latest choice.
	candidates int
	load       float64
	// passedOver tells that it left out targets that yield.
	passedOver bool
}

// Serve finds an upstream for the request and returns its answer, or why there is none.
func (r *Router) Serve(ctx context.Context, q *Request) *Reply {
	began := time.Now()
	t := &trip{Router: r, q: q, service: r.service(q.Service), tried: map[*Target]bool{}, asked: map[string]bool{}}
	t.service.budget.deposit(t.service.routing.RetryBudget)
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	reply := t.run(ctx)
	finish := reply.finish
	reply.finish = func(v verdict) {
		if finish != nil {
			finish(v)
		}
		cancel()
		r.options.Metrics.RequestSeconds.WithLabelValues(q.Service, q.Kind).Observe(time.Since(began).Seconds())
	}
	r.options.Metrics.Requests.WithLabelValues(q.Service, q.Kind, reply.Outcome.String()).Inc()
	return reply
}

// run makes attempts until one of them ends the trip.
func (t *trip) run(ctx context.Context) *Reply {
	reply := t.attempts(ctx)
	switch {
	case reply.Outcome == OutcomeNotRun && t.doubt != nil:
		return t.doubt
	case reply.Outcome == OutcomeNotRun && t.claim != nil && t.overtaken():
		return unknown("another request with the same key may have run it")
	}
	return reply
}

func (t *trip) attempts(ctx context.Context) *Reply {
	for {
		reply := t.attempt(ctx)
		switch {
		case reply.Outcome == OutcomeNotRun && reply != t.last && t.mayAskAgain(ctx):
			t.refusals++
			t.last = t.better(reply)
			if t.q.fenced() && t.overtaken() {
				clear(t.tried)
			}
		case t.mayRetry(ctx, reply):
			t.retries++
			t.doubt = reply
			t.options.Metrics.Retries.WithLabelValues(t.q.Service).Inc()
			t.backoff(ctx)
		default:
			return reply
		}
	}
}

// better keeps the refusal that promises room the soonest.
func (t *trip) better(reply *Reply) *Reply {
	if t.last == nil || t.q.fenced() || reply.RetryAfter < t.last.RetryAfter {
		return reply
	}
	return t.last
}

func (t *trip) mayAskAgain(ctx context.Context) bool {
	return t.refusals < refusalsMax && ctx.Err() == nil
}

// mayRetry reports whether an attempt that may have run is to be repeated.
func (t *trip) mayRetry(ctx context.Context, reply *Reply) bool {
	failed := reply.Outcome == OutcomeUnknown || reply.Outcome == OutcomeAnswered && !reply.Partial && retryable(reply.Head)
	return failed && t.q.Idempotent && t.retries < retriesMax && ctx.Err() == nil &&
		time.Until(t.q.Deadline) > retryMinimum && t.service.budget.withdraw()
}

func retryable(head *peerpb.ResponseHead) bool {
	switch head.GetStatus() {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (t *trip) backoff(ctx context.Context) {
	delay := min(backoffMin<<(2*t.retries), backoffMax)
	timer := time.NewTimer(delay/2 + rand.N(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt sends the request once, here or in another data centre. It returns t.last if
// there is nobody left to ask.
func (t *trip) attempt(ctx context.Context) *Reply {
	target, reason := t.choose(false)
	if neighbour := t.neighbour(target); neighbour != nil {
		return t.spill(ctx, neighbour)
	}
	if t.passedOver && (target == nil || t.load >= 1) {
		// Rather a slow upstream than a queue or none.
		target, reason = t.choose(true)
		reason += ", yielding ones included"
	}
	if target == nil {
		if t.last == nil {
			t.last = notRun(peerpb.Reason_REASON_NO_UPSTREAM, "no upstream of the service can take the request", time.Second)
		}
		return t.last
	}
	t.tried[target] = true
	allowed, probe := target.health.begin(time.Now())
	if !allowed {
		// Another request probes the upstream or did so just now.
		return t.attempt(ctx)
	}
	id := t.q.ID
	if t.retries > 0 {
		id += "." + strconv.Itoa(t.retries)
	}
	if t.q.fenced() {
		if reply := t.fence(ctx, target); reply != nil {
			target.health.skipped(probe)
			return reply
		}
		id = t.claim.RequestID()
	}
	t.log(target.agent, reason, id)
	return t.send(ctx, target, id, probe)
}

// choose picks one of the local targets, those that yield to tasks among them if yielding is
// true, or returns nil. A retry prefers those that have not been tried.
func (t *trip) choose(yielding bool) (*Target, string) {
	target, policy := t.chooseUntried(yielding)
	if target == nil && t.retries > 0 && len(t.tried) > 0 {
		clear(t.tried)
		return t.chooseUntried(yielding)
	}
	return target, policy
}

func (t *trip) chooseUntried(yielding bool) (*Target, string) {
	now := time.Now()
	targets := t.table.Load().Services[t.q.Service]
	open := make([]*Target, 0, len(targets))
	candidates := make([]driver.UpstreamSnapshot, 0, len(targets))
	t.passedOver = false
	for _, target := range targets {
		switch {
		case t.tried[target] || !target.available(now):
		case target.Yielding() && !yielding:
			t.passedOver = true
		default:
			open = append(open, target)
			candidates = append(candidates, target.candidate(now))
		}
	}
	if len(open) == 0 {
		return nil, ""
	}
	i := t.service.picker.Pick(candidates)
	t.candidates = len(open)
	t.load = candidates[i].Load()
	return open[i], t.service.picker.Name()
}

// neighbour returns an entry of a less loaded data centre if the local choice is over the
// threshold or missing, or nil.
func (t *trip) neighbour(target *Target) *PeerEntry {
	if t.q.Spilled || t.claim != nil || (target != nil && t.load < t.service.routing.SpillAt) {
		return nil
	}
	// A key that another entry has given to an agent here can't be looked up from afar.
	if t.q.fenced() && target != nil {
		return nil
	}
	var best *PeerEntry
	neighbours := t.table.Load().PeersByService[t.q.Service]
	offset := 0
	if len(neighbours) > 0 {
		offset = rand.IntN(len(neighbours))
	}
	for k := range neighbours {
		n := neighbours[(k+offset)%len(neighbours)]
		if !t.asked[n.ID] && n.Slots > 0 && (best == nil || n.load() < best.load()) {
			best = n
		}
	}
	if best == nil || best.load() >= t.service.routing.SpillAt || (target != nil && best.load() > t.load-spillMargin) {
		return nil
	}
	return best
}

func (t *trip) head(id string) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Id: id, Service: t.q.Service, Kind: t.q.Kind, Urgency: int32(t.q.Urgency), Idempotent: t.q.Idempotent,
		TimeoutMicros: time.Until(t.q.Deadline).Microseconds(), ContentType: t.q.ContentType,
		BodyBytes: int64(len(t.q.Body)), Path: t.q.Path, AgeMicros: time.Since(t.q.ReceivedAt).Microseconds(),
	}
}

func (t *trip) spill(ctx context.Context, n *PeerEntry) *Reply {
	t.asked[n.ID] = true
	t.log(n.ID, "spill to "+n.DataCentre, t.q.ID)
	t.options.Metrics.Spills.WithLabelValues(t.q.Service).Inc()
	return t.sendPeer(ctx, n)
}

// sendPeer gives the request to a peer entry, which serves it in its own data centre.
func (t *trip) sendPeer(ctx context.Context, n *PeerEntry) *Reply {
	t.options.Metrics.Attempts.WithLabelValues(t.q.Service, "peer").Inc()
	head := t.head(t.q.ID)
	head.Spilled = true
	head.Key = t.q.Key
	return send(ctx, n.Session, head, t.q.Body)
}

// send gives the request to the agent of a target and takes in how it went.
func (t *trip) send(ctx context.Context, target *Target, id string, probe bool) *Reply {
	t.options.Metrics.Attempts.WithLabelValues(t.q.Service, "agent").Inc()
	head := t.head(id)
	head.Incarnation = target.incarnation
	head.Keyed = t.q.fenced()
	target.inFlight.Add(1)
	reply := send(ctx, target.session, head, t.q.Body)
	if !reply.Partial {
		target.inFlight.Add(-1)
		t.learn(target, reply, judge(ctx, reply), probe)
		return reply
	}
	reply.finish = func(v verdict) {
		target.inFlight.Add(-1)
		if v == verdictFailed && callerLeft(ctx) {
			v = verdictNone
		}
		t.learn(target, reply, v, probe)
	}
	return reply
}

// learn takes in how an attempt ended.
func (t *trip) learn(target *Target, reply *Reply, v verdict, probe bool) {
	now := time.Now()
	if reply.fresh != nil {
		target.Update(now, reply.fresh, false)
	}
	switch v {
	case verdictSucceeded:
		target.health.ended(now, true, probe, false)
	case verdictFailed:
		t.failed(target, now, probe)
	default:
		target.health.skipped(probe)
	}
}

// failed takes in that an attempt failed and sets the target aside if that is called for.
func (t *trip) failed(target *Target, now time.Time, probe bool) {
	t.service.ejecting.Lock()
	defer t.service.ejecting.Unlock()
	delay := target.health.ended(now, false, probe, t.mayEject(target))
	if delay == 0 {
		return
	}
	t.options.Metrics.Ejections.WithLabelValues(t.q.Service).Inc()
	t.options.Log.Warn("upstream set aside: it fails", "service", t.q.Service, "agent", target.agent, "seconds", delay.Seconds())
}

// mayEject reports whether the share of ejected upstreams leaves room for one more.
func (t *trip) mayEject(target *Target) bool {
	targets := t.table.Load().Services[t.q.Service]
	ejected := 1
	for _, other := range targets {
		if other != target && other.health.ejected() {
			ejected++
		}
	}
	return float64(ejected) <= t.service.routing.EjectShare*float64(len(targets))
}

func (t *trip) log(choice, reason, id string) {
	t.options.Log.Info("request routed", "request", t.q.ID, "sent-as", id, "service", t.q.Service, "kind", t.q.Kind,
		"candidates", t.candidates, "choice", choice, "load", t.load, "reason", reason, "refusals", t.refusals, "retries", t.retries)
}
