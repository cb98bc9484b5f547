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
	// maxRefusals bounds the refusals after which the request is sent elsewhere.
	maxRefusals = 3
	// maxRetries bounds the retries of attempts that may have run.
	maxRetries = 2
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// minRetryTime is the time that must be left before the deadline for a retry.
	minRetryTime = 200 * time.Millisecond
	// spillMargin is by how much the load of another data centre must be lower.
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

// Router routes requests to upstreams; it is safe for concurrent use.
type Router struct {
	options  Options
	table    atomic.Pointer[Table]
	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the routing state of one service.
type serviceState struct {
	routing document.Routing
	picker  driver.Picker
	budget  retryBudget
	// ejectMu serializes ejections, so that two upstreams that fail at the same time don't exceed
	// the maximum share of ejected ones.
	ejectMu sync.Mutex
}

// New returns a Router with an empty routing table.
func New(o Options) *Router {
	r := &Router{options: o, services: map[string]*serviceState{}}
	r.table.Store(&Table{})
	return r
}

// Publish replaces the routing table.
func (r *Router) Publish(t *Table) { r.table.Store(t) }

// service returns the state of a service. It is reset if the routing configuration has changed.
func (r *Router) service(name string) *serviceState {
	routing := document.Routing{Policy: "two-choices", SpillAt: 1, EjectShare: 0.34}
	if s := r.options.Document().Service(name); s != nil {
		routing = s.Routing
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil || s.routing != routing {
		s = &serviceState{routing: routing, picker: pick.New(routing.Policy, routing.SpillAt)}
		r.services[name] = s
	}
	return s
}

// dispatch is the state of routing one request.
type dispatch struct {
	*Router
	request      *Request
	service      *serviceState
	triedTargets map[*Target]bool
	triedPeers   map[string]bool
	claim        *claim.Claim
	refusals     int
	retries      int
	// bestRefusal is the refusal to return if no attempt succeeds; see preferredRefusal.
	bestRefusal *Reply
	// indeterminate is the reply to an attempt that may have run and was retried, or nil. Once it
	// is set, the request can't be reported as not run any more.
	indeterminate *Reply
	// eligible is the number of targets in the latest choice, and load the load of the chosen one.
	eligible int
	load     float64
	// skippedYielding reports whether the latest choice left out yielding targets, skippedEvacuated
	// whether it left out targets in evacuated data centres.
	skippedYielding  bool
	skippedEvacuated bool
	// claimReleased is set once the key's claim has been looked at to send the request to another
	// data centre; see releaseClaim.
	claimReleased bool
}

// Serve sends the request to an upstream and returns its response, or the reason why there is
// none.
func (r *Router) Serve(ctx context.Context, request *Request) *Reply {
	start := time.Now()
	d := &dispatch{Router: r, request: request, service: r.service(request.Service), triedTargets: map[*Target]bool{}, triedPeers: map[string]bool{}}
	d.service.budget.deposit(d.service.routing.RetryBudget)
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	reply := d.run(ctx)
	onEnd := reply.onEnd
	reply.onEnd = func(signal healthSignal) {
		if onEnd != nil {
			onEnd(signal)
		}
		cancel()
		r.options.Metrics.RequestSeconds.WithLabelValues(request.Service, request.Kind).Observe(time.Since(start).Seconds())
	}
	r.options.Metrics.Requests.WithLabelValues(request.Service, request.Kind, reply.Outcome.String()).Inc()
	return reply
}

// run makes attempts and returns the reply for the caller. The reply is OutcomeNotRun only if no
// attempt may have run.
func (d *dispatch) run(ctx context.Context) *Reply {
	reply := d.attempts(ctx)
	switch {
	case reply.Outcome == OutcomeNotRun && d.indeterminate != nil:
		return d.indeterminate
	case reply.Outcome == OutcomeNotRun && d.claim != nil && d.cancelledElsewhere():
		return unknownReply("another request with the same key may have run it")
	}
	return reply
}

// attempts makes attempts until one is neither refused nor retried, or a limit is reached.
func (d *dispatch) attempts(ctx context.Context) *Reply {
	for {
		reply := d.attempt(ctx)
		switch {
		case reply.Outcome == OutcomeNotRun && reply != d.bestRefusal && d.mayTryAnother(ctx):
			d.refusals++
			d.bestRefusal = d.preferredRefusal(reply)
			if d.request.needsClaim() && d.cancelledElsewhere() {
				clear(d.triedTargets)
			}
		case d.mayRetry(ctx, reply):
			d.retries++
			d.indeterminate = reply
			d.options.Metrics.Retries.WithLabelValues(d.request.Service).Inc()
			d.backoff(ctx)
		default:
			return reply
		}
	}
}

// preferredRefusal returns the refusal with the shorter RetryAfter. With a claim it returns the
// latest one, since cancelledElsewhere depends on the latest refusal.
func (d *dispatch) preferredRefusal(reply *Reply) *Reply {
	if d.bestRefusal == nil || d.request.needsClaim() || reply.RetryAfter < d.bestRefusal.RetryAfter {
		return reply
	}
	return d.bestRefusal
}

// mayTryAnother reports whether a refused request may be sent to another agent or peer entry.
func (d *dispatch) mayTryAnother(ctx context.Context) bool {
	return d.refusals < maxRefusals && ctx.Err() == nil
}

// mayRetry reports whether an attempt that may have run may be retried. It takes the retry from
// the budget.
func (d *dispatch) mayRetry(ctx context.Context, reply *Reply) bool {
	failed := reply.Outcome == OutcomeUnknown || reply.Outcome == OutcomeAnswered && !reply.Partial && retryableStatus(reply.Head)
	return failed && d.request.Idempotent && d.retries < maxRetries && ctx.Err() == nil &&
		time.Until(d.request.Deadline) > minRetryTime && d.service.budget.withdraw()
}

// retryableStatus reports whether the response has a status of a failed upstream.
func retryableStatus(head *peerpb.ResponseHead) bool {
	switch head.GetStatus() {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// backoff waits before a retry, longer before the second one and with jitter.
func (d *dispatch) backoff(ctx context.Context) {
	delay := min(minBackoff<<(2*d.retries), maxBackoff)
	timer := time.NewTimer(delay/2 + rand.N(delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// attempt sends the request once, in this data centre or to another one. It returns bestRefusal
// if no target or peer entry is left.
func (d *dispatch) attempt(ctx context.Context) *Reply {
	if d.leavesDataCentre() && d.request.needsClaim() && !d.claimReleased {
		if reply := d.releaseClaim(ctx); reply != nil {
			return reply
		}
	}
	target, reason := d.choose(false)
	if spillPeer := d.spillPeer(target); spillPeer != nil {
		return d.spill(ctx, spillPeer)
	}
	if d.skippedYielding && (target == nil || d.load >= 1) {
		// An upstream slowed by tasks is better than a queue or none.
		target, reason = d.choose(true)
		reason += ", including yielding upstreams"
	}
	if target == nil {
		if d.bestRefusal == nil {
			detail := "no upstream of the service can take the request"
			if d.skippedEvacuated {
				detail += "; others are in evacuated data centres"
			}
			d.bestRefusal = notRunReply(peerpb.Reason_REASON_NO_UPSTREAM, detail, time.Second)
		}
		return d.bestRefusal
	}
	d.triedTargets[target] = true
	allowed, probe := target.health.begin(time.Now())
	if !allowed {
		// Another request is probing the upstream, or its probe has just failed.
		return d.attempt(ctx)
	}
	id := d.request.ID
	if d.retries > 0 {
		id += "." + strconv.Itoa(d.retries)
	}
	if d.request.needsClaim() {
		if reply := d.acquireClaim(ctx, target); reply != nil {
			target.health.recordNeutral(probe)
			return reply
		}
		id = d.claim.RequestID()
	}
	d.logChoice(target.agent, reason, id)
	return d.sendToAgent(ctx, target, id, probe)
}

// choose returns a target of the service and the name of the policy that chose it, or nil. Targets
// that yield to tasks are included only if includeYielding is true. A retry may return a
// target that has been tried if there is no other.
func (d *dispatch) choose(includeYielding bool) (*Target, string) {
	target, policy := d.chooseUntried(includeYielding)
	if target == nil && d.retries > 0 && len(d.triedTargets) > 0 {
		clear(d.triedTargets)
		return d.chooseUntried(includeYielding)
	}
	return target, policy
}

// chooseUntried is choose without the targets that have been tried.
func (d *dispatch) chooseUntried(includeYielding bool) (*Target, string) {
	now := time.Now()
	table := d.table.Load()
	targets := table.Services[d.request.Service]
	eligible := make([]*Target, 0, len(targets))
	snapshots := make([]driver.UpstreamSnapshot, 0, len(targets))
	d.skippedYielding, d.skippedEvacuated = false, false
	for _, target := range targets {
		switch {
		case d.triedTargets[target] || !target.available(now):
		case table.Evacuated[target.dataCentre]:
			d.skippedEvacuated = true
		case target.Yielding() && !includeYielding:
			d.skippedYielding = true
		default:
			eligible = append(eligible, target)
			snapshots = append(snapshots, target.snapshot(now))
		}
	}
	if len(eligible) == 0 {
		return nil, ""
	}
	i := d.service.picker.Pick(snapshots)
	d.eligible = len(eligible)
	d.load = snapshots[i].Load()
	return eligible[i], d.service.picker.Name()
}

// leavesDataCentre reports whether this entry's data centre is evacuated.
func (d *dispatch) leavesDataCentre() bool { return d.table.Load().Evacuated[d.options.DataCentre] }

// spillPeer returns the entry to which the request is spilled, or nil. A request is spilled if
// there is no local target, or its load has reached the threshold and a data centre with lower
// load serves the service. From an evacuated data centre it is spilled to the least loaded one, whatever
// the load there, as it could be queued nowhere else.
func (d *dispatch) spillPeer(target *Target) *PeerEntry {
	if d.request.Spilled || (d.claim != nil && !d.claim.Unassigned()) || (target != nil && d.load < d.service.routing.SpillAt) {
		return nil
	}
	// Another entry may have assigned the key to an agent in this data centre, where a remote entry
	// can't look it up.
	if d.request.needsClaim() && target != nil {
		return nil
	}
	var best *PeerEntry
	table := d.table.Load()
	peers := table.PeersByService[d.request.Service]
	offset := 0
	if len(peers) > 0 {
		offset = rand.IntN(len(peers))
	}
	for k := range peers {
		p := peers[(k+offset)%len(peers)]
		if !d.triedPeers[p.ID] && p.Slots > 0 && !table.Evacuated[p.DataCentre] && (best == nil || p.load() < best.load()) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	full := best.load() >= d.service.routing.SpillAt && (target != nil || !table.Evacuated[d.options.DataCentre])
	if full || (target != nil && best.load() > d.load-spillMargin) {
		return nil
	}
	return best
}

func (d *dispatch) requestHead(id string) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Id: id, Service: d.request.Service, Kind: d.request.Kind, Urgency: int32(d.request.Urgency), Idempotent: d.request.Idempotent,
		TimeoutMicros: time.Until(d.request.Deadline).Microseconds(), ContentType: d.request.ContentType,
		BodyBytes: int64(len(d.request.Body)), Path: d.request.Path, AgeMicros: time.Since(d.request.ReceivedAt).Microseconds(),
	}
}

// spill sends the request to an entry in another data centre.
func (d *dispatch) spill(ctx context.Context, p *PeerEntry) *Reply {
	d.triedPeers[p.ID] = true
	d.logChoice(p.ID, "spill to "+p.DataCentre, d.request.ID)
	d.options.Metrics.Spills.WithLabelValues(d.request.Service).Inc()
	return d.sendToPeer(ctx, p)
}

// sendToPeer sends the request to a peer entry, which serves it in its own data centre.
func (d *dispatch) sendToPeer(ctx context.Context, p *PeerEntry) *Reply {
	d.options.Metrics.Attempts.WithLabelValues(d.request.Service, "peer").Inc()
	head := d.requestHead(d.request.ID)
	head.Spilled = true
	head.Key = d.request.Key
	return roundTrip(ctx, p.Session, head, d.request.Body)
}

// sendToAgent sends the request to the agent of target and records the result.
func (d *dispatch) sendToAgent(ctx context.Context, target *Target, id string, probe bool) *Reply {
	d.options.Metrics.Attempts.WithLabelValues(d.request.Service, "agent").Inc()
	head := d.requestHead(id)
	head.Incarnation = target.incarnation
	head.Keyed = d.request.needsClaim()
	target.inFlight.Add(1)
	reply := roundTrip(ctx, target.session, head, d.request.Body)
	if !reply.Partial {
		target.inFlight.Add(-1)
		d.recordAttempt(target, reply, healthSignalOf(ctx, reply), probe)
		return reply
	}
	reply.onEnd = func(signal healthSignal) {
		target.inFlight.Add(-1)
		if signal == signalFailure && callerCancelled(ctx) {
			signal = signalNone
		}
		d.recordAttempt(target, reply, signal, probe)
	}
	return reply
}

// recordAttempt updates the state and health of target after an attempt.
func (d *dispatch) recordAttempt(target *Target, reply *Reply, signal healthSignal, probe bool) {
	now := time.Now()
	if reply.upstreamState != nil {
		target.Update(now, reply.upstreamState, false)
	}
	switch signal {
	case signalSuccess:
		target.health.recordResult(now, true, probe, false)
	case signalFailure:
		d.recordFailure(target, now, probe)
	default:
		target.health.recordNeutral(probe)
	}
}

// recordFailure records a failed attempt and ejects the target if it has failed too often.
func (d *dispatch) recordFailure(target *Target, now time.Time, probe bool) {
	d.service.ejectMu.Lock()
	defer d.service.ejectMu.Unlock()
	delay := target.health.recordResult(now, false, probe, d.mayEject(target))
	if delay == 0 {
		return
	}
	d.options.Metrics.Ejections.WithLabelValues(d.request.Service).Inc()
	d.options.Log.Warn("upstream ejected: it fails", "service", d.request.Service, "agent", target.agent, "seconds", delay.Seconds())
}

// mayEject reports whether one more ejection keeps within the maximum share of ejected upstreams.
func (d *dispatch) mayEject(target *Target) bool {
	targets := d.table.Load().Services[d.request.Service]
	ejected := 1
	for _, other := range targets {
		if other != target && other.health.ejected() {
			ejected++
		}
	}
	return float64(ejected) <= d.service.routing.EjectShare*float64(len(targets))
}

func (d *dispatch) logChoice(choice, reason, id string) {
	d.options.Log.Info("request routed", "request", d.request.ID, "sent-as", id, "service", d.request.Service, "kind", d.request.Kind,
		"candidates", d.eligible, "choice", choice, "load", d.load, "reason", reason, "refusals", d.refusals, "retries", d.retries)
}
