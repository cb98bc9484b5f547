package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Attainability tells what a waiting step can still bring in.
type Attainability uint8

// Prospects, the best first.
const (
	// Attainable steps belong to jobs that can still meet their objective.
	Attainable Attainability = iota
	// AttainableLate steps belong to jobs that can be done late, for less.
	AttainableLate
	// Unattainable steps belong to jobs that bring in nothing any more.
	Unattainable
)

// PendingStep is a step with tasks that wait, as the order of the queue sees it.
type PendingStep struct {
	step          *step
	Name          string
	Priority      int
	LongRunning   bool
	Attainability Attainability
	// Begun tells that tasks of the job have run.
	Begun bool
	// RemainingWork is what is left of the job, in thousandths of a processor times milliseconds.
	RemainingWork float64
}

// SortPending sorts claims by who is to be placed first: lasting tasks, which earn from the
// moment they run; what brings in nothing any more comes last; then by priority; then jobs whose objective is in reach before those
// that are late, so that under overload the late don't drag the others with them; then jobs
// that have begun; and among equals the one with the least work left, which brings in most
// for each processor.
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

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// pendingSteps lists the steps with tasks that wait, in order.
func (e *Engine) pendingSteps(now time.Duration) []PendingStep {
	var steps []PendingStep
	for _, j := range e.open {
		for _, o := range j.occurrences {
			if o.done {
				continue
			}
			for _, s := range o.steps {
				if s.ready && s.left > 0 && s.hasPending(now) {
					steps = append(steps, e.pendingStep(s, now))
				}
			}
		}
	}
	e.options.Policy.sort(steps)
	return steps
}

func (s *step) hasPending(now time.Duration) bool {
	for _, t := range s.tasks {
		if t.waits(now) {
			return true
		}
	}
	return false
}

// countPending counts the tasks of the step that wait.
func (s *step) countPending(now time.Duration) (n int) {
	for _, t := range s.tasks {
		if t.waits(now) {
			n++
		}
	}
	return n
}

func (e *Engine) pendingStep(s *step, now time.Duration) PendingStep {
	j, o := s.job(), s.occurrence
	p := PendingStep{step: s, Name: s.name(), Priority: j.queue.Priority, LongRunning: s.def.GetLasting(), Begun: j.begun}
	p.RemainingWork = e.workLeft(j)
	start := j.arrived
	if j.def.GetOccurrences() > 0 {
		start = o.began
	}
	objective := time.Duration(j.queue.Stretch*e.estimates.expectedMillis(j.queue.Name, o.longestChain()))*time.Millisecond + j.queue.Target
	remaining := time.Duration(e.estimates.expectedMillis(j.queue.Name, s.chain)) * time.Millisecond
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
