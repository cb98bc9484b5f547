package interfere

import "time"

// Worker is what the model keeps of one worker; it is not safe for concurrent use.
type Worker struct {
	// speed is the worker's factor on all latencies.
	speed *estimate
	// steps are the processors that each class used, oldest first.
	steps []usage
	at    time.Time
	// learned is when each kind of request was learned from last.
	learned map[string]time.Time
}

// usage is the processors that each class used from a time on.
type usage struct {
	from       time.Time
	processors map[string]float64
}

// NewWorker returns a Worker of which nothing is known.
func NewWorker() *Worker {
	return &Worker{speed: newEstimate(time.Time{}, 1, unseenSpeed), learned: map[string]time.Time{}}
}

// RecordUsage takes in the processors that each class uses from now on. The map must not be
// changed afterwards.
func (w *Worker) RecordUsage(now time.Time, processors map[string]float64) {
	w.at = now
	w.speed.age(now)
	w.steps = append(w.steps, usage{now, processors})
	old := 0
	for old+1 < len(w.steps) && now.Sub(w.steps[old+1].from) >= span {
		old++
	}
	w.steps = append(w.steps[:0], w.steps[old:]...)
}

// news returns how much of the span that a report on a kind describes the one before it did
// not describe, in [0, 1].
func (w *Worker) news(kind string) float64 {
	since := min(w.at.Sub(w.learned[kind]), span)
	w.learned[kind] = w.at
	return float64(since) / float64(span)
}

// average returns the processors of each class, averaged over the span that ends with the
// newest report.
func (w *Worker) average() map[string]float64 {
	begin := w.at.Add(-span)
	sum := map[string]float64{}
	total := 0.0
	for i, s := range w.steps {
		end := w.at
		if i+1 < len(w.steps) {
			end = w.steps[i+1].from
		}
		from := s.from
		if from.Before(begin) {
			from = begin
		}
		seconds := end.Sub(from).Seconds()
		total += seconds
		for class, x := range s.processors {
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
