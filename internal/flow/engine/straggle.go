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
	stragglerInterval = 250 * time.Millisecond
	// stallTimeout is how long a run may show no progress, and stillShare how long as a share
	// of its expected duration, since progress is told in whole percent.
	stallTimeout      = 1500 * time.Millisecond
	stallTimeoutShare = 0.06
	// ejectStalledRuns is how many runs standing still at once set their runner aside.
	ejectStalledRuns = 2
	// speculationFactor is how many times as long as expected a run may be before it gets a copy.
	speculationFactor = 1.6
	// slowFactor is how many times as slow as others a runner is taken to be slow, judged by
	// at least slowRuns runs, of which each has slowWeight in the average.
	slowFactor      = 2.5
	minSlowdownRuns = 4
	slowdownWeight  = 0.25
	// moveMaxProgress is the progress, in percent, up to which a run is moved off a slow runner if
	// it does not checkpoint.
	moveMaxProgress = 30
)

// slowdown is how long tasks take on a runner against what is expected of them.
type slowdown struct {
	// meanLog is the moving average of the logarithm of that ratio.
	meanLog float64
	runs    int
}

func (s *slowdown) observe(ratio float64) {
	s.runs++
	s.meanLog += max(slowdownWeight, 1/float64(s.runs)) * (math.Log(ratio) - s.meanLog)
}

func (s *slowdown) slow() bool { return s.runs >= minSlowdownRuns && s.meanLog > math.Log(slowFactor) }

// expectedDuration returns how long a run is expectedDuration to take in all.
func (e *Engine) expectedDuration(r *run) time.Duration {
	s := r.task.step
	return time.Duration(e.estimates.expectedMillis(s.job().queue.Name, s.def.GetEstimateMillis())) * time.Millisecond
}

// handleStragglers looks for runs that stand still or are slow.
func (e *Engine) handleStragglers(now time.Duration) {
	if now-e.straggled < stragglerInterval {
		return
	}
	e.straggled = now
	for _, w := range e.sortedWorkers() {
		if !w.connected || !w.synced || now-w.reported > reportSilence {
			continue
		}
		stalled := 0
		for _, r := range w.runs.list {
			if r.phase != phaseStarted || r.task.step.def.GetLasting() || r.pace < fullPace {
				continue
			}
			if now-r.advanced > max(stallTimeout, time.Duration(stallTimeoutShare*float64(e.expectedDuration(r)))) {
				stalled++
				r.task.avoid(w)
				e.stop(r, now, "stands still")
			} else if r.task.step.def.GetSpeculative() && now >= w.health.ejectedUntil {
				e.speculate(r, now)
			}
		}
		if stalled >= ejectStalledRuns {
			e.options.Log.Warn("runner set aside", "node", w.node, "reason", "runs stand still", "runs", stalled)
			w.health.eject(now)
		}
		if w.speed.slow() {
			e.options.Log.Warn("runner set aside", "node", w.node, "reason", "runs are slow", "times", math.Exp(w.speed.meanLog), "runs", w.speed.runs)
			w.health.eject(now)
			w.speed = slowdown{}
			e.moveOff(w, now)
		}
	}
}

// speculate starts a second copy of a run that takes far longer than expected.
func (e *Engine) speculate(r *run, now time.Duration) {
	t := r.task
	duration := e.expectedDuration(r)
	if e.options.Policy.NoSpeculation || len(t.runs) != 1 || now-r.started < time.Duration(speculationFactor*float64(duration)) {
		return
	}
	if r.percent > 0 && time.Duration(float64(now-r.started)*float64(fullPace-r.percent)/float64(r.percent)) < duration {
		return
	}
	var candidates []*candidate
	for _, p := range e.candidates(now) {
		if p.worker != r.worker {
			candidates = append(candidates, p)
		}
	}
	if best := e.bestCandidate(t, e.scoreCandidates(t.step, candidates, "", now)); best != nil {
		e.options.Log.Info("run gets a copy", "task", t.name(), "run", r.number, "age-ms", (now - r.started).Milliseconds(), "expected-ms", duration.Milliseconds(), "percent", r.percent)
		e.assign(t, best.candidate, t.lastRun+1, now)
	}
}

// moveOff stops the runs of a slow runner that lose little by it.
func (e *Engine) moveOff(w *worker, now time.Duration) {
	for _, r := range w.runs.list {
		s := r.task.step.def
		if r.phase == phaseStarted && !s.GetLasting() && !s.GetGang() && (s.GetCheckpoints() || r.percent <= moveMaxProgress) {
			r.task.avoid(w)
			e.stop(r, now, "the runner is slow")
		}
	}
}
