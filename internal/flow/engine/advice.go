package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
)

const (
	// adviceRunners is how many runners one question names: each adds to the answer's time,
	// and the service takes one question at a time.
	adviceRunners = 30
	// adviceRetry is how long a step waits before it is asked about again.
	adviceRetry = 500 * time.Millisecond
	// adviceMargin is how long before its end a ticket is taken to have ended.
	adviceMargin = 300 * time.Millisecond
)

// Question asks the admission service which runners may run a step.
type Question struct {
	Step    string
	Runners []string
	asked   *step
}

// Questions lists what the admission service is to be asked now.
func (e *Engine) Questions(now Timestamp) (questions []Question) {
	for _, j := range e.open {
		if !j.queue.RequiresTicket {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !o.done && s.remaining > 0 && s.ready && s.hasPending(now.Monotonic) && now.Monotonic-s.approvalRequestedAt > adviceRetry && !s.ticketed(now.Monotonic) {
					if q := e.question(s, now.Monotonic); len(q.Runners) > 0 {
						s.approvalRequestedAt = now.Monotonic
						questions = append(questions, q)
					}
				}
			}
		}
	}
	slices.SortFunc(questions, func(a, b Question) int {
		return cmp.Or(cmp.Compare(a.asked.job().queue.Priority, b.asked.job().queue.Priority), cmp.Compare(a.Step, b.Step))
	})
	return questions
}

// question names the runners with most room among those that were not refused before.
func (e *Engine) question(s *step, now time.Duration) Question {
	q := Question{Step: s.name(), asked: s}
	seats := e.candidates(now)
	slices.SortStableFunc(seats, func(a, b *candidate) int { return int(b.free.MilliCPU() - a.free.MilliCPU()) })
	for _, p := range seats {
		id := p.worker.info.GetId()
		if len(q.Runners) < adviceRunners && p.worker.info.GetService() == s.job().queue.Service && p.worker.hasLabel(s.def.GetRequiresLabel()) && !s.deniedRunners[id] {
			q.Runners = append(q.Runners, id)
		}
	}
	return q
}

// ticketed reports whether the step holds a ticket that is still good.
func (s *step) ticketed(now time.Duration) bool {
	for id, t := range s.tickets {
		if now < t.expiresAt {
			return true
		}
		delete(s.tickets, id)
	}
	return false
}

// Advised takes in the answer to a question, which does not change for those refused.
func (e *Engine) Advised(q Question, approvals []driver.Approval, valid time.Duration, asked Timestamp) {
	s := q.asked
	if s.tickets == nil {
		s.tickets, s.deniedRunners = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range q.Runners {
		s.deniedRunners[id] = true
	}
	for _, a := range approvals {
		delete(s.deniedRunners, a.Runner)
		s.tickets[a.Runner] = ticket{value: a.Ticket, expiresAt: asked.Monotonic + valid - adviceMargin}
	}
	e.options.Log.Info("runners advised", "step", q.Step, "asked", len(q.Runners), "approved", len(approvals), "valid-ms", valid.Milliseconds())
	e.stirred = true
}
