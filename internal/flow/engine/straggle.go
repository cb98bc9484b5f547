package engine

import (
	"math"
	"time"
)

// Stragglers answers runners that stand still or turn slow while their own word is good. A
// run that makes no progress is stopped and started elsewhere; a step that allows copies
// gets a second one of a run that takes far longer than others; a runner on which several
// runs stand still or are slow gets no new tasks for a while.
const (
	straggleInterval = 250 * time.Millisecond
	// stillAfter is how long a run may show no progress, and stillShare how long as a share
	// of its expected duration, since progress is told in whole percent.
	stillAfter = 1500 * time.Millisecond
	stillShare = 0.06
	// stillRuns is how many runs standing still at once set their runner aside.
	stillRuns = 2
	// copyAfter is how many times as long as expected a run may be before it gets a copy.
	copyAfter = 1.6
	// slowFactor is how many times as slow as others a runner is taken to be slow, judged by
	// at least slowRuns runs, of which each has slowWeight in the average.
	slowFactor = 2.5
	slowRuns   = 4
	slowWeight = 0.25
	// slowMove is the progress, in percent, up to which a run is moved off a slow runner if
	// it does not checkpoint.
	slowMove = 30
)

// speed is how long tasks take on a runner against what is expected of them.
type speed struct {
	// mean is the moving average of the logarithm of that ratio.
	mean float64
	runs int
}

func (s *speed) observe(ratio float64) {
	s.runs++
	s.mean += max(slowWeight, 1/float64(s.runs)) * (math.Log(ratio) - s.mean)
}

func (s *speed) slow() bool { return s.runs >= slowRuns && s.mean > math.Log(slowFactor) }

// expected returns how long a run is expected to take in all.
func (e *Engine) expected(r *run) time.Duration {
	s := r.task.step
	return time.Duration(e.estimates.millis(s.job().queue.Name, s.def.GetEstimateMillis())) * time.Millisecond
}

// straggle looks for runs that stand still or are slow.
func (e *Engine) straggle(now time.Duration) {
	if now-e.lastStragglerCheck < straggleInterval {
		return
	}
	e.lastStragglerCheck = now
	for _, w := range e.sortedWorkers() {
		if !w.connected || !w.synced || now-w.reportedAt > maxReportAge {
			continue
		}
		still := 0
		for _, r := range w.runs.list {
			if r.phase != phaseRunning || r.task.step.def.GetLasting() || r.pace < paceFull {
				continue
			}
			if now-r.progressedAt > max(stillAfter, time.Duration(stillShare*float64(e.expected(r)))) {
				still++
				r.task.avoid(w)
				e.stopRun(r, now, "stands still")
			} else if r.task.step.def.GetSpeculative() && now >= w.health.asideUntil {
				e.copyLate(r, now)
			}
		}
		if still >= stillRuns {
			e.options.Log.Warn("runner set aside", "node", w.node, "reason", "runs stand still", "runs", still)
			w.health.setAside(now)
		}
		if w.speed.slow() {
			e.options.Log.Warn("runner set aside", "node", w.node, "reason", "runs are slow", "times", math.Exp(w.speed.mean), "runs", w.speed.runs)
			w.health.setAside(now)
			w.speed = speed{}
			e.moveOff(w, now)
		}
	}
}

// copyLate starts a second copy of a run that takes far longer than expected.
func (e *Engine) copyLate(r *run, now time.Duration) {
	t := r.task
	expected := e.expected(r)
	if e.options.Policy.NoCopies || len(t.runs) != 1 || now-r.startedAt < time.Duration(copyAfter*float64(expected)) {
		return
	}
	if r.progressPercent > 0 && time.Duration(float64(now-r.startedAt)*float64(paceFull-r.progressPercent)/float64(r.progressPercent)) < expected {
		return
	}
	var others []*seat
	for _, p := range e.seats(now) {
		if p.worker != r.worker {
			others = append(others, p)
		}
	}
	if best := e.bestOffer(t, e.offers(t.step, others, "", now)); best != nil {
		e.options.Log.Info("run gets a copy", "task", t.name(), "run", r.number, "age-ms", (now - r.startedAt).Milliseconds(), "expected-ms", expected.Milliseconds(), "percent", r.progressPercent)
		e.plan(t, best.seat, t.lastRun+1, now)
	}
}

// moveOff stops the runs of a slow runner that lose little by it.
func (e *Engine) moveOff(w *worker, now time.Duration) {
	for _, r := range w.runs.list {
		s := r.task.step.def
		if r.phase == phaseRunning && !s.GetLasting() && !s.GetGang() && (s.GetCheckpoints() || r.progressPercent <= slowMove) {
			r.task.avoid(w)
			e.stopRun(r, now, "the runner is slow")
		}
	}
}
