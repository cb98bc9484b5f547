package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/errs"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/loop"
)

// orderKind is the kind of an order. Waiting orders are sent by kind: a stop frees room and makes
// starts needless, and a pace matters least.
type orderKind uint8

const (
	orderStop orderKind = iota
	orderStart
	orderPace
	orderKinds
)

// String returns the name for logs and metrics.
func (k orderKind) String() string { return [orderKinds]string{"stop", "start", "pace"}[k] }

// order is an order for the runner. It is sent until it is answered, maxOrderAttempts times at most,
// and only while it is valid.
type order struct {
	kind  orderKind
	id    driver.RunID
	token uint64
	// start is the order of a start, percent that of a pace.
	start   *flowpb.Start
	percent int
	// heardAt is when the agent sent the report on which a start is based.
	heardAt time.Duration
	// next is the pace that is to follow one that has been sent, or nil.
	next *int
	// withdrawn is set once the run of a start is to be stopped.
	withdrawn bool
	// done is set once the order waits no longer and is not under way.
	done       bool
	receivedAt time.Duration
	sentAt     time.Duration
	// attempts counts those that were sent, unanswered those of them that got no answer: the runner may
	// still carry them out, whatever it answers to a later one.
	attempts, unanswered int
	// err is the result of the last attempt, or why there was none.
	err error
}

// Reasons for which an order is not sent any more.
var (
	errTokenRevoked = errors.New("agent: the token of the order is revoked")
	errWithdrawn    = errors.New("agent: the run is to be stopped")
	errSuperseded   = errors.New("agent: a later pace replaces the order")
	errOverdue      = errors.New("agent: the start has waited for too long")
	errDraining     = errors.New("agent: the runner drains")
	errNoLease      = errors.New("agent: no lease for the run")
)

// orderQueue holds the orders that have not been answered. It is accessed only by the goroutine of the
// loop.
type orderQueue struct {
	// waiting holds the orders that wait for a slot, by kind, in the order in which they are sent.
	waiting [orderKinds][]*order
	// pending holds the orders that wait or are under way, by kind and run.
	pending [orderKinds]map[driver.RunID]*order
	// underWay is the number of orders that occupy a slot.
	underWay int
}

func newOrderQueue() (q orderQueue) {
	for k := range q.pending {
		q.pending[k] = map[driver.RunID]*order{}
	}
	return q
}

// addOrder adds an order under the current token.
func (a *Agent) addOrder(o *order) {
	o.token, o.receivedAt = a.state.token, a.options.Clock()
	q := &a.state.orders
	q.waiting[o.kind] = append(q.waiting[o.kind], o)
	q.pending[o.kind][o.id] = o
	a.sendOrders()
}

// sendOrders sends waiting orders while slots are free, and gives up those at the head of the queues
// that must not be sent any more. Orders wait when a burst of starts meets a runner that does not answer
// some of them, each of which keeps its slot for orderTimeout.
func (a *Agent) sendOrders() {
	q := &a.state.orders
	for k := range q.waiting {
		for len(q.waiting[k]) > 0 {
			o := q.waiting[k][0]
			err := a.checkOrder(o)
			if !o.done && err == nil && q.underWay >= maxParallelOrders {
				break
			}
			q.waiting[k] = q.waiting[k][1:]
			switch {
			case o.done:
			case err != nil:
				o.err = err
				a.finishOrder(o)
			default:
				a.sendOrder(o)
			}
		}
	}
}

// sendOrder takes a slot for an order and sends it.
func (a *Agent) sendOrder(o *order) {
	if o.attempts == 0 {
		o.sentAt = a.options.Clock()
	}
	a.state.orders.underWay++
	a.sendAttempt(o, 0)
}

// checkOrder returns why an order must not be sent any more, or nil.
func (a *Agent) checkOrder(o *order) error {
	switch {
	case o.token != a.state.token:
		return errTokenRevoked
	case o.withdrawn:
		return errWithdrawn
	case o.next != nil:
		return errSuperseded
	case o.kind != orderStart:
		return nil
	case a.state.runner.GetDraining():
		return errDraining
	case !a.state.tokenConfirmed || a.runnerLeaseEnd() == 0:
		return errNoLease
	case a.options.Clock()-o.receivedAt > maxStartDelay, a.options.Clock()-o.heardAt > driver.MaxStartAge:
		return errOverdue
	}
	return nil
}

// sendAttempt sends an order once, after a pause, from a goroutine of its own. The loop handles the
// answer.
func (a *Agent) sendAttempt(o *order, pause time.Duration) {
	send, clock := a.call(o)
	sentAt := a.options.Clock()
	if o.kind == orderStart {
		a.state.unanswered[o.id] = sentAt
	}
	o.attempts++
	a.calls.Go(func() {
		loop.Pause(a.ctx, pause)
		ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
		err := send(ctx)
		cancel()
		a.loop.Post(func() { a.handleAnswer(o, sentAt, *clock, err) })
	})
}

// call returns a function that sends an order to the runner once. For a start it sets clock to the
// runner's clock in the answer.
func (a *Agent) call(o *order) (send func(ctx context.Context) error, clock *driver.RunnerTime) {
	client, runner, id, token, clock := a.options.Runner, a.runnerID(), o.id, o.token, new(driver.RunnerTime)
	switch o.kind {
	case orderStop:
		return func(ctx context.Context) error { return client.Stop(ctx, runner, id, token) }, clock
	case orderPace:
		percent := o.percent
		return func(ctx context.Context) error { return client.Pace(ctx, runner, id, percent, token) }, clock
	}
	request := driver.StartRequest{
		RunID: id, Spec: o.start.GetSpec(), Checkpoint: o.start.GetCheckpoint(), Ticket: o.start.GetTicket(), Token: token, LeaseEnd: a.runnerLeaseEnd(),
	}
	repeated, heardAt := o.unanswered > 0, o.heardAt
	return func(ctx context.Context) (err error) {
		if repeated {
			if err = a.checkIncarnation(ctx, runner, token); err != nil {
				return err
			}
		}
		// The call before, or the wait for the processor, may have outlasted the age at which it was due.
		if a.options.Clock()-heardAt > driver.MaxStartAge {
			return errOverdue
		}
		*clock, err = client.Start(ctx, runner, request)
		return err
	}, clock
}

// handleAnswer handles the result of an attempt that was sent at sentAt. The order is sent again if there
// was no answer, or if an unhealthy runner refused a stop, which would leave a run that is not wanted.
func (a *Agent) handleAnswer(o *order, sentAt time.Duration, clock driver.RunnerTime, err error) {
	o.err = err
	if clock > 0 && o.token == a.state.token {
		if a.isOtherIncarnation(clock, sentAt) {
			o.err = errOtherIncarnation
			a.withdrawStart(o.id, a.validToken())
		} else {
			a.updateClockOffset(clock)
		}
	}
	silent := errors.Is(err, driver.ErrRunnerIndeterminate)
	if silent {
		o.unanswered++
		if o.kind == orderStart {
			a.watchIncarnation()
		}
	}
	refusedStop := o.kind == orderStop && errors.Is(err, driver.ErrUnhealthy)
	q := &a.state.orders
	switch {
	case !silent && !refusedStop, o.attempts >= maxOrderAttempts, a.checkOrder(o) != nil:
		q.underWay--
		a.finishOrder(o)
	case refusedStop:
		a.sendAttempt(o, unhealthyRetryPause)
	default:
		// It goes on before other orders of its kind, but after stops.
		q.underWay--
		q.waiting[o.kind] = slices.Insert(q.waiting[o.kind], 0, o)
	}
	a.sendOrders()
}

// finishOrder ends an order that was answered or is not sent any more.
func (a *Agent) finishOrder(o *order) {
	o.done = true
	pending := a.state.orders.pending[o.kind]
	if pending[o.id] == o {
		delete(pending, o.id)
	}
	attrs := a.recordOrder(o)
	switch {
	case o.kind == orderStart:
		a.finishStart(o, attrs)
	case o.err != nil || o.attempts > 1:
		a.options.Log.Info(o.kind.String()+" failed or answered late", append(attrs, "percent", o.percent)...)
	}
	if o.next != nil && o.token == a.state.token {
		a.addOrder(&order{kind: orderPace, id: o.id, percent: *o.next})
	}
}

// recordOrder records an order that has ended in the metrics, and returns what the log says of it.
func (a *Agent) recordOrder(o *order) (attrs []any) {
	now := a.options.Clock()
	waited := now - o.receivedAt
	if o.attempts > 0 {
		waited = o.sentAt - o.receivedAt
	}
	a.options.Metrics.RecordOrder(o.kind.String(), o.unanswered, o.attempts, waited)
	return []any{
		"task", o.id.Task, "run", o.id.Run, "runner", a.state.runner.GetId(), "token", o.token, "error", errs.Text(o.err), "attempts", o.attempts,
		"unanswered", o.unanswered, "waited-ms", waited.Milliseconds(), "took-ms", (now - o.receivedAt).Milliseconds(),
	}
}

// addStart adds a start, whose outcome is reported to the owner.
func (a *Agent) addStart(s *flowpb.Start, heardAt time.Duration) {
	a.addOrder(&order{kind: orderStart, id: driver.RunID{Task: s.GetTask(), Run: s.GetRun()}, start: s, heardAt: heardAt})
}

// finishStart reports the outcome of a start to the owner, unless a synchronisation has begun since,
// which determines it.
func (a *Agent) finishStart(o *order, attrs []any) {
	if o.unanswered == 0 {
		delete(a.state.unanswered, o.id)
	}
	outcome := o.startOutcome()
	a.options.Metrics.RecordStart(outcome.String(), a.options.Clock()-o.receivedAt)
	attrs = append(attrs, "outcome", outcome.String())
	switch {
	case o.err != nil:
		a.options.Log.Info("start failed", attrs...)
	case o.attempts > 1:
		a.options.Log.Info("start answered late", attrs...)
	}
	switch {
	case o.token != a.state.token:
	case outcome == flowpb.StartOutcome_START_OUTCOME_DOUBT:
		a.noteDoubt()
	default:
		a.state.results = append(a.state.results, &flowpb.StartResult{Task: o.id.Task, Run: o.id.Run, Outcome: outcome})
		a.sendReport(&flowpb.Report{})
	}
	a.settleDoubt()
}

// noteDoubt records that the outcome of a start under the current token is indeterminate.
func (a *Agent) noteDoubt() {
	if a.state.doubtToken == a.state.token {
		return
	}
	a.state.doubtToken, a.state.doubtSince = a.state.token, a.options.Clock()
	a.calls.Go(func() {
		loop.Pause(a.ctx, maxDoubtDelay)
		a.loop.Post(a.settleDoubt)
	})
}

// settleDoubt synchronises if the outcome of a start is indeterminate. A synchronisation gives up all
// starts that wait, so that these go first, for maxDoubtDelay at most.
func (a *Agent) settleDoubt() {
	if a.state.doubtToken == 0 || a.state.doubtToken != a.state.token {
		return
	}
	if len(a.state.orders.pending[orderStart]) == 0 || a.options.Clock()-a.state.doubtSince >= maxDoubtDelay {
		a.resync("the outcome of a start is indeterminate")
	}
}

// startOutcome returns what the answers to a start prove together. A refusal says nothing of attempts
// that got no answer, since the runner may carry them out later.
func (o *order) startOutcome() flowpb.StartOutcome {
	switch {
	case o.err == nil:
		return flowpb.StartOutcome_START_OUTCOME_STARTED
	case o.unanswered > 0:
		return flowpb.StartOutcome_START_OUTCOME_DOUBT
	case errors.Is(o.err, driver.ErrNoRoom), errors.Is(o.err, errOverdue):
		return flowpb.StartOutcome_START_OUTCOME_NO_ROOM
	case errors.Is(o.err, driver.ErrUnhealthy):
		return flowpb.StartOutcome_START_OUTCOME_UNHEALTHY
	case errors.Is(o.err, driver.ErrTicketRefused):
		return flowpb.StartOutcome_START_OUTCOME_TICKET
	case errors.Is(o.err, errDraining):
		return flowpb.StartOutcome_START_OUTCOME_DRAINING
	case errors.Is(o.err, driver.ErrLeaseExpired), errors.Is(o.err, driver.ErrInvalidRequest), o.attempts == 0:
		return flowpb.StartOutcome_START_OUTCOME_REFUSED
	}
	// A run reported as superseded may have been started by an earlier copy of the order.
	return flowpb.StartOutcome_START_OUTCOME_DOUBT
}

// addStop adds the stop of a run. A start of it that was not sent yet is given up, and one without an answer is
// not sent again.
func (a *Agent) addStop(id driver.RunID) {
	if o := a.state.orders.pending[orderStart][id]; o != nil && o.token == a.state.token {
		o.withdrawn = true
		if o.attempts == 0 {
			o.err = errWithdrawn
			a.finishOrder(o)
			return
		}
	}
	if o := a.state.orders.pending[orderStop][id]; o == nil || o.token != a.state.token {
		a.addOrder(&order{kind: orderStop, id: id})
	}
}

// addPace adds a pace of a run. It replaces a pace that was not sent yet, and follows one that was,
// since orders under way at the same time may overtake each other.
func (a *Agent) addPace(id driver.RunID, percent int) {
	switch o := a.state.orders.pending[orderPace][id]; {
	case o == nil || o.token != a.state.token:
		a.addOrder(&order{kind: orderPace, id: id, percent: percent})
	case o.attempts == 0:
		o.percent = percent
	default:
		o.next = &percent
	}
}
