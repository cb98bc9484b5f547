package engine

import (
	"math"
	"time"

	"github.com/jasminebay/jasminebay/internal/saturate"
)

// Straggler handling covers runners that stall or become slow while their reports look healthy. A
// run that makes no progress is stopped and started elsewhere. If its step allows speculative
// execution, a run that takes far longer than expected gets a second copy. A runner with several
// stalled or slow runs is ejected.
const (
	stragglerInterval = 250 * time.Millisecond
	// stallTimeout is how long a run may report no progress. Since progress is reported in whole
	// percent, long runs are given stallTimeoutShare of their expected duration instead.
	stallTimeout      = 1500 * time.Millisecond
	stallTimeoutShare = 0.06
	// maxStallPatience is how often that time may double for a step that stalls wherever it runs.
	maxStallPatience = 6
	// ejectStalledRuns is the number of runs stalled at the same time at which their runner is
	// ejected.
	ejectStalledRuns = 2
	// speculationFactor is the multiple of the expected duration after which a run gets a second
	// copy.
	speculationFactor = 1.6
	// slowFactor is the mean slowdown above which a runner counts as slow. The mean covers at least
	// minSlowdownRuns runs and is a moving average in which each new run has slowdownWeight.
	slowFactor      = 2.5
	minSlowdownRuns = 4
	slowdownWeight  = 0.25
	// minSlowdown bounds the ratio of one run from below. A run whose start and end are reported at once
	// took no time at all.
	minSlowdown = 0.01
	// moveMaxProgress is the progress, in percent, up to which a run without checkpoints is moved
	// off its runner.
	moveMaxProgress = 30
)

// slowdown is the mean ratio of actual to expected duration of the runs on a runner.
type slowdown struct {
	// meanLog is the moving average of the logarithm of the ratio.
	meanLog float64
	runs    int
}

func (s *slowdown) observe(ratio float64) {
	s.runs++
	s.meanLog += max(slowdownWeight, 1/float64(s.runs)) * (math.Log(max(ratio, minSlowdown)) - s.meanLog)
}

func (s *slowdown) slow() bool { return s.runs >= minSlowdownRuns && s.meanLog > math.Log(slowFactor) }

// expectedDuration returns the expected total duration of a run.
func (e *Engine) expectedDuration(r *run) time.Duration {
	s := r.task.step
	return saturate.Of(e.estimates.expectedMillis(s.job().queue.Name, estimateMillis(s.def)), time.Millisecond)
}

// stallTimeout returns how long a run may report no progress.
func (e *Engine) stallTimeout(r *run) time.Duration {
	timeout := max(stallTimeout, time.Duration(stallTimeoutShare*float64(e.expectedDuration(r))))
	return saturate.Of(float64(timeout)*float64(int(1)<<r.task.step.patience), time.Nanosecond)
}

// handleStragglers stops stalled runs, starts speculative copies of late ones and ejects runners
// with stalled or slow runs, once per stragglerInterval.
func (e *Engine) handleStragglers(now time.Duration) {
	if now-e.lastStragglerCheck < stragglerInterval {
		return
	}
	e.lastStragglerCheck = now
	for _, w := range e.sortedWorkers() {
		if !w.connected || !w.synced || now-w.reportedAt > maxReportAge {
			continue
		}
		var stalled []evidence
		for _, r := range w.runs.list {
			if r.phase != phaseRunning || r.task.step.def.GetLasting() || r.pace < fullPace {
				continue
			}
			if w.reportedAt-r.progressedAt > e.stallTimeout(r) {
				stalled = append(stalled, e.recordStall(r, now))
				e.stopRun(r, now, "stalled")
			} else if r.task.step.def.GetSpeculative() && now >= w.health.ejectedUntil {
				e.speculate(r, now)
			}
		}
		if incriminates(stalled) && w.health.eject(now, stalled) {
			e.logEjection(w, "runs stalled")
		}
		if w.speed.slow() {
			e.options.Log.Warn("runner ejected", "node", w.node, "reason", "runs are slow", "times", math.Exp(w.speed.meanLog), "runs", w.speed.runs)
			w.health.eject(now, nil)
			w.speed = slowdown{}
			e.moveOff(w, now)
		}
	}
}

// speculate starts a second copy of a run on another worker if the run takes far longer than
// expected and would, at its rate of progress, need longer than a new run.
func (e *Engine) speculate(r *run, now time.Duration) {
	t := r.task
	duration := e.expectedDuration(r)
	if e.options.Policy.NoSpeculation || len(t.runs) != 1 || t.step.job().liveRuns >= maxLiveRuns || now-r.startedAt < time.Duration(speculationFactor*float64(duration)) {
		return
	}
	if r.progressPercent > 0 && time.Duration(float64(now-r.startedAt)*float64(fullPace-r.progressPercent)/float64(r.progressPercent)) < duration {
		return
	}
	var candidates []*candidate
	for _, c := range e.candidates(now) {
		if c.worker != r.worker {
			candidates = append(candidates, c)
		}
	}
	if best := e.bestCandidate(t, e.scoreCandidates(t.step, candidates, "", now)); best != nil {
		e.options.Log.Info("starting speculative copy of a run", "task", t.name(), "run", r.number, "age-ms", (now - r.startedAt).Milliseconds(), "expected-ms", duration.Milliseconds(), "percent", r.progressPercent)
		e.assign(t, best.candidate, t.lastRun+1, now)
	}
}

// moveOff stops the runs on a slow runner that lose little work, so that they start again
// elsewhere.
func (e *Engine) moveOff(w *worker, now time.Duration) {
	for _, r := range w.runs.list {
		s := r.task.step.def
		if r.phase == phaseRunning && !s.GetLasting() && !s.GetGang() && (s.GetCheckpoints() || r.progressPercent <= moveMaxProgress) {
			r.task.avoid(w)
			e.stopRun(r, now, "the runner is slow")
		}
	}
}
