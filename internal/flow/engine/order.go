package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Prospect tells what a waiting step can still bring in.
type Prospect uint8

// Prospects, the best first.
const (
	// ProspectInTime steps belong to jobs that can still meet their objective.
	ProspectInTime Prospect = iota
	// ProspectLate steps belong to jobs that can be done late, for less.
	ProspectLate
	// ProspectNone steps belong to jobs that bring in nothing any more.
	ProspectNone
)

// Claim is a step with tasks that wait, as the order of the queue sees it.
type Claim struct {
	step     *step
	Name     string
	Priority int
	Lasting  bool
	Prospect Prospect
	// Begun tells that tasks of the job have run.
	Begun bool
	// Work is what is left of the job, in thousandths of a processor times milliseconds.
	Work float64
}

// Order sorts claims by who is to be placed first: lasting tasks, which earn from the
// moment they run; what brings in nothing any more comes last; then by priority; then jobs whose objective is in reach before those
// that are late, so that under overload the late don't drag the others with them; then jobs
// that have begun; and among equals the one with the least work left, which brings in most
// for each processor.
func Order(claims []Claim) {
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(
			compareTrueFirst(a.Lasting, b.Lasting),
			compareTrueFirst(a.Prospect != ProspectNone, b.Prospect != ProspectNone),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Prospect, b.Prospect),
			compareTrueFirst(a.Begun, b.Begun),
			cmp.Compare(a.Work, b.Work),
			strings.Compare(a.Name, b.Name),
		)
	})
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// claims lists the steps with tasks that wait, in order.
func (e *Engine) claims(now time.Duration) []Claim {
	var claims []Claim
	for _, j := range e.openJobs {
		for _, o := range j.occurrences {
			if o.done {
				continue
			}
			for _, s := range o.steps {
				if s.ready && s.remaining > 0 && s.waits(now) {
					claims = append(claims, e.claim(s, now))
				}
			}
		}
	}
	e.options.Policy.sort(claims)
	return claims
}

func (s *step) waits(now time.Duration) bool {
	for _, t := range s.tasks {
		if t.pending(now) {
			return true
		}
	}
	return false
}

// waiting counts the tasks of the step that wait.
func (s *step) waiting(now time.Duration) (n int) {
	for _, t := range s.tasks {
		if t.pending(now) {
			n++
		}
	}
	return n
}

func (e *Engine) claim(s *step, now time.Duration) Claim {
	j, o := s.job(), s.occurrence
	c := Claim{step: s, Name: s.name(), Priority: j.queue.Priority, Lasting: s.def.GetLasting(), Begun: j.begun}
	c.Work = e.remainingWork(j)
	began := j.arrivedAt
	if j.def.GetOccurrences() > 0 {
		began = o.startedAt
	}
	objective := time.Duration(j.queue.Stretch*e.estimates.millis(j.queue.Name, o.criticalPathMillis()))*time.Millisecond + j.queue.Target
	left := time.Duration(e.estimates.millis(j.queue.Name, s.criticalPathMillis)) * time.Millisecond
	slack := began + objective - now - left
	late := began + time.Duration(e.options.LateFactor*float64(objective)) - now - left
	switch {
	case slack >= 0:
		c.Prospect = ProspectInTime
	case late >= 0:
		c.Prospect = ProspectLate
	default:
		c.Prospect = ProspectNone
	}
	return c
}
