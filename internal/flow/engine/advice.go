package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

const (
	// maxApprovalRunners is the number of runners that one request may name. Each runner adds to
	// the response time, and the admission service handles one request at a time.
	maxApprovalRunners = 30
	// approvalRetryInterval is the least time between two requests for the same step.
	approvalRetryInterval = 500 * time.Millisecond
	// unadvisedRetryDelay is how long a task waits that was refused for lack of a ticket, though no configuration
	// that the owner knows asks for one.
	unadvisedRetryDelay = 500 * time.Millisecond
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used.
	ticketExpiryMargin = 300 * time.Millisecond
)

// ApprovalRequest asks the admission service which of some runners may run a step.
type ApprovalRequest struct {
	Step    string
	Runners []string
	step    *step
	// incarnations are those of the runners, by id.
	incarnations map[string]*flowpb.Runner
}

// ApprovalRequests returns the requests to send to the admission service now, the most urgent
// first.
func (e *Engine) ApprovalRequests(now Timestamp) (requests []ApprovalRequest) {
	var candidates []*candidate
	for _, j := range e.openJobs {
		if !j.queue.Advised {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if o.done || s.remaining == 0 || !s.ready || now.Monotonic-s.approvalRequestedAt <= approvalRetryInterval || !s.hasPending(now.Monotonic) {
					continue
				}
				if candidates == nil {
					candidates = e.candidates(now.Monotonic)
				}
				if request := newApprovalRequest(s, candidates, now.Monotonic); len(request.Runners) > 0 {
					s.approvalRequestedAt = now.Monotonic
					requests = append(requests, request)
				}
			}
		}
	}
	slices.SortFunc(requests, func(a, b ApprovalRequest) int {
		return cmp.Or(cmp.Compare(a.step.job().queue.Priority, b.step.job().queue.Priority), cmp.Compare(a.Step, b.Step))
	})
	return requests
}

// newApprovalRequest names the runners with the most free processors that may run the step and for which it has no ticket,
// without those that were denied before. It names none while the runners with a ticket have room for all tasks that wait,
// and while there are any, only others that have room themselves: on a full fleet, where no ticket helps, it asks for none.
func newApprovalRequest(s *step, candidates []*candidate, now time.Duration) ApprovalRequest {
	request := ApprovalRequest{Step: s.name(), step: s, incarnations: map[string]*flowpb.Runner{}}
	waiting, hasTickets := s.countPending(now), false
	var others []*candidate
	for _, c := range candidates {
		switch {
		case !s.suits(c.worker):
		case s.hasTicket(c.worker, now):
			hasTickets = true
			waiting -= s.countFitting(c, waiting)
		case !s.deniedRunners[c.worker.info.GetId()]:
			others = append(others, c)
		}
	}
	if waiting <= 0 {
		return request
	}
	slices.SortStableFunc(others, func(a, b *candidate) int { return cmp.Compare(b.free.MilliCPU(), a.free.MilliCPU()) })
	for _, c := range others {
		if len(request.Runners) < maxApprovalRunners && (!hasTickets || s.countFitting(c, 1) > 0) {
			request.Runners = append(request.Runners, c.worker.info.GetId())
			request.incarnations[c.worker.info.GetId()] = c.worker.info
		}
	}
	return request
}

// countFitting returns how many more tasks of the step have room on a candidate, at most limit.
func (s *step) countFitting(c *candidate, limit int) (n int) {
	if perRunner := int(s.def.GetMaxPerRunner()); perRunner > 0 {
		limit = min(limit, perRunner-c.worker.countRuns(s))
	}
	for free := c.free; n < limit && s.resources().Fits(free); n++ {
		free = free.Minus(s.resources())
	}
	return n
}

// hasTicket reports whether the step has a ticket for the present incarnation of a worker's runner that has not expired.
func (s *step) hasTicket(w *worker, now time.Duration) bool {
	t, known := s.tickets[w.info.GetId()]
	return known && now < t.expiresAt && sameIncarnation(t.incarnation, w.info)
}

// HandleApprovals applies the response to a request sent at requestedAt. Runners that were not
// approved are not named again for the step, since the response for them does not change.
func (e *Engine) HandleApprovals(request ApprovalRequest, approvals []driver.Approval, valid time.Duration, requestedAt Timestamp) {
	s := request.step
	if s.tickets == nil {
		s.tickets, s.deniedRunners = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range request.Runners {
		s.deniedRunners[id] = true
	}
	for _, a := range approvals {
		delete(s.deniedRunners, a.Runner)
		s.tickets[a.Runner] = ticket{value: a.Ticket, expiresAt: requestedAt.Monotonic + valid - ticketExpiryMargin, incarnation: request.incarnations[a.Runner]}
	}
	e.options.Log.Info("start approvals received", "step", request.Step, "asked", len(request.Runners), "approved", len(approvals), "valid-ms", valid.Milliseconds())
	e.placementDue = true
}
