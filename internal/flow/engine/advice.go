package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// maxApprovalRunners is the number of runners that one request may name. Each runner adds to
	// the response time, and the admission service handles one request at a time.
	maxApprovalRunners = 30
	// approvalRetryInterval is the least time between two requests for the same step.
	approvalRetryInterval = 500 * time.Millisecond
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used.
	ticketExpiryMargin = 300 * time.Millisecond
)

// ApprovalRequest asks the admission service which of some runners may run a step.
type ApprovalRequest struct {
	Step    string
	Runners []string
	step    *step
}

// ApprovalRequests returns the requests to send to the admission service now, the most urgent
// first.
func (e *Engine) ApprovalRequests(now Timestamp) (requests []ApprovalRequest) {
	for _, j := range e.openJobs {
		if !j.queue.Advised {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !o.done && s.remaining > 0 && s.ready && s.hasPending(now.Monotonic) && now.Monotonic-s.approvalRequestedAt > approvalRetryInterval && !s.hasTicket(now.Monotonic) {
					if request := e.approvalRequest(s, now.Monotonic); len(request.Runners) > 0 {
						s.approvalRequestedAt = now.Monotonic
						requests = append(requests, request)
					}
				}
			}
		}
	}
	slices.SortFunc(requests, func(a, b ApprovalRequest) int {
		return cmp.Or(cmp.Compare(a.step.job().queue.Priority, b.step.job().queue.Priority), cmp.Compare(a.Step, b.Step))
	})
	return requests
}

// approvalRequest names the eligible runners with the most free processors, without those that
// were denied before.
func (e *Engine) approvalRequest(s *step, now time.Duration) ApprovalRequest {
	request := ApprovalRequest{Step: s.name(), step: s}
	candidates := e.candidates(now)
	slices.SortStableFunc(candidates, func(a, b *candidate) int { return int(b.free.MilliCPU() - a.free.MilliCPU()) })
	for _, c := range candidates {
		id := c.worker.info.GetId()
		if len(request.Runners) < maxApprovalRunners && c.worker.info.GetService() == s.job().queue.Service && c.worker.hasLabel(s.def.GetRequiresLabel()) && !s.deniedRunners[id] {
			request.Runners = append(request.Runners, id)
		}
	}
	return request
}

// hasTicket reports whether the step has a ticket that has not expired, and drops expired ones.
func (s *step) hasTicket(now time.Duration) bool {
	for id, t := range s.tickets {
		if now < t.expiresAt {
			return true
		}
		delete(s.tickets, id)
	}
	return false
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
		s.tickets[a.Runner] = ticket{value: a.Ticket, expiresAt: requestedAt.Monotonic + valid - ticketExpiryMargin}
	}
	e.options.Log.Info("start approvals received", "step", request.Step, "asked", len(request.Runners), "approved", len(approvals), "valid-ms", valid.Milliseconds())
	e.placementDue = true
}
