package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/internal/saturate"
)

// Attainability is whether the job of a pending step can still meet its objective.
type Attainability uint8

// Values of Attainability, the best first.
const (
	// Attainable steps belong to jobs that can still meet their objective.
	Attainable Attainability = iota
	// AttainableLate steps belong to jobs that miss their objective but still have a reduced value
	// when done late.
	AttainableLate
	// Unattainable steps belong to jobs that have no value any more by the time they can be done.
	Unattainable
)

// PendingStep is a step with pending tasks and the properties by which it is ordered.
type PendingStep struct {
	step          *step
	Name          string
	Priority      int
	LongRunning   bool
	Attainability Attainability
	// Begun reports whether any task of the job has started.
	Begun bool
	// RemainingWork is the estimated work that is left of the job, in milli-CPU times milliseconds.
	RemainingWork float64
}

// SortPending sorts steps into the order of placement:
//
//   - long-running steps first, since they have value from the moment they run
//   - unattainable steps last
//   - by priority
//   - attainable steps before late ones, so that under overload late jobs do not delay the others
//   - steps of jobs that have begun before those of new jobs
//   - by remaining work, the least first, since that gains the most value per processor
//   - by name
func SortPending(steps []PendingStep) {
	slices.SortFunc(steps, func(a, b PendingStep) int {
		return cmp.Or(
			compareTrueFirst(a.LongRunning, b.LongRunning),
			compareTrueFirst(a.Attainability != Unattainable, b.Attainability != Unattainable),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Attainability, b.Attainability),
			compareTrueFirst(a.Begun, b.Begun),
			cmp.Compare(a.RemainingWork, b.RemainingWork),
			strings.Compare(a.Name, b.Name),
		)
	})
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// pendingSteps returns the steps with pending tasks in the order of placement.
func (e *Engine) pendingSteps(now time.Duration) []PendingStep {
	var steps []PendingStep
	for _, j := range e.openJobs {
		// The remaining work takes a pass through all tasks of the job.
		work := -1.0
		for _, o := range j.occurrences {
			if o.done {
				continue
			}
			for _, s := range o.steps {
				if s.ready && s.remaining > 0 && s.hasPending(now) {
					if work < 0 {
						work = e.remainingWork(j)
					}
					steps = append(steps, e.pendingStep(s, work, now))
				}
			}
		}
	}
	e.options.Policy.sort(steps)
	return steps
}

// hasPending reports whether any task of the step is pending.
func (s *step) hasPending(now time.Duration) bool {
	for _, t := range s.tasks {
		if t.pending(now) {
			return true
		}
	}
	return false
}

// countPending returns the number of pending tasks of the step.
func (s *step) countPending(now time.Duration) (n int) {
	for _, t := range s.tasks {
		if t.pending(now) {
			n++
		}
	}
	return n
}

// pendingStep computes the ordering properties of a step of a job with the given remaining work. The objective of a job counts from its
// arrival, that of a recurring job from the start of each occurrence.
func (e *Engine) pendingStep(s *step, remainingWork float64, now time.Duration) PendingStep {
	j, o := s.job(), s.occurrence
	p := PendingStep{step: s, Name: s.name(), Priority: j.queue.Priority, LongRunning: s.def.GetLasting(), Begun: j.begun, RemainingWork: remainingWork}
	start := j.arrivedAt
	if j.def.GetOccurrences() > 0 {
		start = o.startedAt
	}
	objective := saturate.Of(j.queue.Stretch*e.estimates.expectedMillis(j.queue.Name, o.criticalPathMillis()), time.Millisecond) + j.queue.Target
	remaining := saturate.Of(e.estimates.expectedMillis(j.queue.Name, s.criticalPathMillis), time.Millisecond)
	slack := start + objective - now - remaining
	lateSlack := start + time.Duration(e.options.LateFactor*float64(objective)) - now - remaining
	switch {
	case slack >= 0:
		p.Attainability = Attainable
	case lateSlack >= 0:
		p.Attainability = AttainableLate
	default:
		p.Attainability = Unattainable
	}
	return p
}
