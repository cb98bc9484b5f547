package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Flow holds the metrics of a process that owns or serves jobs made of steps.
type Flow struct {
	commits  *prometheus.HistogramVec
	changes  prometheus.Counter
	open     prometheus.Gauge
	runs     prometheus.Gauge
	synced   prometheus.Gauge
	calls    *prometheus.HistogramVec
	starts   *prometheus.CounterVec
	ends     *prometheus.CounterVec
	turn     prometheus.Histogram
	owning   prometheus.Gauge
	takeover prometheus.Counter
}

// NewFlow registers the metrics with those of the process.
func NewFlow(m *Metrics) *Flow {
	f := &Flow{
		commits:  histogram("flow_commit_duration_seconds", "Time of a commit of jobs to the key-value service.", "result"),
		changes:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasminebay", Name: "flow_commit_jobs_total", Help: "Jobs stored by commits."}),
		open:     gauge("flow_jobs_open", "Accepted jobs that have not ended."),
		runs:     gauge("flow_runs", "Runs of tasks that may be at work."),
		synced:   gauge("flow_runners", "Runners that take orders."),
		calls:    histogram("flow_call_duration_seconds", "Time from a client's call to its answer.", "call", "status"),
		starts:   counter("flow_starts_total", "Starts that a runner answered, by outcome.", "outcome"),
		ends:     counter("flow_ends_total", "Ends of runs, by kind.", "kind"),
		turn:     prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "jasminebay", Name: "flow_runner_call_duration_seconds", Help: "Time of a start at the runner.", Buckets: latencyBuckets}),
		owning:   gauge("flow_owner", "1 while this process owns the cell."),
		takeover: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasminebay", Name: "flow_takeovers_total", Help: "Times that this process took the cell."}),
	}
	m.registry.MustRegister(f.commits, f.changes, f.open, f.runs, f.synced, f.calls, f.starts, f.ends, f.turn, f.owning, f.takeover)
	return f
}

// Commit counts a commit of a number of jobs.
func (f *Flow) Commit(took time.Duration, jobs int, err error) {
	result := "committed"
	if err != nil {
		result = "failed"
	}
	f.commits.WithLabelValues(result).Observe(took.Seconds())
	f.changes.Add(float64(jobs))
}

// Observe shows how many open jobs, live runs and runners the owner knows.
func (f *Flow) Observe(open, runs, runners int) {
	f.open.Set(float64(open))
	f.runs.Set(float64(runs))
	f.synced.Set(float64(runners))
}

// Call counts a client's call.
func (f *Flow) Call(call, status string, took time.Duration) {
	f.calls.WithLabelValues(call, status).Observe(took.Seconds())
}

// Start counts the answer to a start, and how long the runner took.
func (f *Flow) Start(outcome string, took time.Duration) {
	f.starts.WithLabelValues(outcome).Inc()
	f.turn.Observe(took.Seconds())
}

// End counts an end of a run.
func (f *Flow) End(kind string) { f.ends.WithLabelValues(kind).Inc() }

// Owning shows whether this process owns the cell.
func (f *Flow) Owning(owns bool) {
	if owns {
		f.owning.Set(1)
		f.takeover.Inc()
		return
	}
	f.owning.Set(0)
}
