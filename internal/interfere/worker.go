package interfere

import "time"

// Worker is the model's state for one worker; it is not safe for concurrent use.
type Worker struct {
	// latencyFactor scales all latencies on the worker.
	latencyFactor *estimate
	// history holds the usage over the last reportWindow, oldest first.
	history []usage
	updated time.Time
	// reported is the time of the last report for each kind of request.
	reported map[string]time.Time
}

// usage is the number of processors used by each class from a point in time on.
type usage struct {
	from       time.Time
	processors map[string]float64
}

// NewWorker returns a Worker without observations.
func NewWorker() *Worker {
	return &Worker{latencyFactor: newEstimate(time.Time{}, 1, priorLatencyFactorDev), reported: map[string]time.Time{}}
}

// RecordUsage records the processors that each class uses from now on. The map must not be
// modified afterwards.
func (w *Worker) RecordUsage(now time.Time, processors map[string]float64) {
	w.updated = now
	w.latencyFactor.advance(now)
	w.history = append(w.history, usage{now, processors})
	expired := 0
	for expired+1 < len(w.history) && now.Sub(w.history[expired+1].from) >= reportWindow {
		expired++
	}
	w.history = append(w.history[:0], w.history[expired:]...)
}

// uncoveredShare returns the share of the current report window, in [0, 1], that the previous
// report on the kind did not cover, and marks the window as covered.
func (w *Worker) uncoveredShare(kind string) float64 {
	since := min(w.updated.Sub(w.reported[kind]), reportWindow)
	w.reported[kind] = w.updated
	return float64(since) / float64(reportWindow)
}

// averageUsage returns the processors of each class, averaged over the report window that
// ends with the newest usage record.
func (w *Worker) averageUsage() map[string]float64 {
	windowStart := w.updated.Add(-reportWindow)
	sum := map[string]float64{}
	total := 0.0
	for i, u := range w.history {
		end := w.updated
		if i+1 < len(w.history) {
			end = w.history[i+1].from
		}
		from := u.from
		if from.Before(windowStart) {
			from = windowStart
		}
		seconds := end.Sub(from).Seconds()
		total += seconds
		for class, x := range u.processors {
			sum[class] += x * seconds
		}
	}
	for class := range sum {
		if total > 0 {
			sum[class] /= total
		}
	}
	return sum
}
