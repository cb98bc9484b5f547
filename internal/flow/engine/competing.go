package engine

import "math"

// Competing work addresses long jobs beside short ones. A job whose chain of steps takes a minute can use only
// a part of the runners in the few seconds that a short job has. If all of its remaining work counted as ahead
// of the short job, short jobs would be refused while runners are idle.

// competingWork returns the part of a job's remaining work, in the same unit, that it can do within a window.
// pathMillis is the expected duration of its remaining critical path, over which its work is taken to be
// spread evenly.
func competingWork(work, pathMillis, windowMillis float64) float64 {
	if pathMillis <= windowMillis {
		return work
	}
	return work * max(0, windowMillis) / pathMillis
}

// workWithin returns the expected work that a job can do within a window, in thousandths of a processor times
// milliseconds.
func (e *Engine) workWithin(j *job, windowMillis float64) float64 {
	return competingWork(e.remainingWork(j), e.estimates.expectedMillis(j.queue.Name, j.remainingPathMillis()), windowMillis)
}

// remainingPathMillis returns the declared duration of what remains of the longest path of steps, over all
// occurrences of a job. Long-running steps never end and don't count.
func (j *job) remainingPathMillis() (longest int64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if o.done || s.remaining == 0 || s.def.GetLasting() {
				continue
			}
			own := estimateMillis(s.def)
			longest = max(longest, s.criticalPathMillis-own+int64(math.Ceil(float64(own)*s.remainingShare())))
		}
	}
	return longest
}

// remainingShare returns the largest share of a task of the step that is left to do.
func (s *step) remainingShare() (share float64) {
	for _, t := range s.tasks {
		switch {
		case t.done:
		case len(t.runs) == 0:
			return 1
		default:
			share = max(share, float64(fullPace-min(t.runs[0].progressPercent, fullPace))/fullPace)
		}
	}
	return share
}
