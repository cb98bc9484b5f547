package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Flow holds the Prometheus metrics of a process that owns jobs made of steps, accepts calls
// for them or runs their tasks.
type Flow struct {
	commits       *prometheus.HistogramVec
	committedJobs prometheus.Counter
	openJobs      prometheus.Gauge
	runs          prometheus.Gauge
	runners       prometheus.Gauge
	calls         *prometheus.HistogramVec
	starts        *prometheus.CounterVec
	ends          *prometheus.CounterVec
	runnerCalls   prometheus.Histogram
	orders        *prometheus.CounterVec
	orderWaits    *prometheus.HistogramVec
	owner         prometheus.Gauge
	takeovers     prometheus.Counter
	returns       *prometheus.CounterVec
	places        prometheus.Gauge
	evacuated     prometheus.Gauge
	evacuatedRuns prometheus.Gauge
	ejected       prometheus.Gauge
	failingSteps  prometheus.Gauge
}

// NewFlow returns Flow metrics that are registered in the registry of m.
func NewFlow(m *Metrics) *Flow {
	f := &Flow{
		commits:       histogram("flow_commit_duration_seconds", "Time of a commit of jobs to the key-value service.", "result"),
		committedJobs: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasminebay", Name: "flow_commit_jobs_total", Help: "Jobs stored by commits."}),
		openJobs:      gauge("flow_jobs_open", "Accepted jobs that have not ended."),
		runs:          gauge("flow_runs", "Runs of tasks that may be at work."),
		runners:       gauge("flow_runners", "Runners that take orders."),
		calls:         histogram("flow_call_duration_seconds", "Time from a client's call to its answer.", "call", "status"),
		starts:        counter("flow_starts_total", "Starts that a runner answered, by outcome.", "outcome"),
		ends:          counter("flow_ends_total", "Ends of runs, by kind.", "kind"),
		runnerCalls:   prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "jasminebay", Name: "flow_runner_call_duration_seconds", Help: "Time of a start at the runner.", Buckets: latencyBuckets}),
		orders:        counter("flow_order_attempts_total", "Attempts to send an order to the runner.", "order", "result"),
		orderWaits:    histogram("flow_order_wait_seconds", "Time from the receipt of an order to the first attempt to send it to the runner.", "order"),
		owner:         gauge("flow_owner", "1 while this process owns the cell."),
		takeovers:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasminebay", Name: "flow_takeovers_total", Help: "Times that this process took the cell."}),
		returns:       counter("flow_returns_total", "Retries of refused jobs by timing, and places whose callers did not return.", "timing"),
		places:        gauge("flow_places", "Refused callers whose retry the owner expects."),
		evacuated:     gauge("flow_evacuated_data_centres", "Data centres that are evacuated."),
		evacuatedRuns: gauge("flow_evacuated_runs", "Runs that are left in evacuated data centres."),
		ejected:       gauge("flow_ejected_runners", "Runners that get no tasks or single ones as probes, since their runs failed."),
		failingSteps:  gauge("flow_failing_steps", "Steps of open jobs that fail wherever they run."),
	}
	m.registry.MustRegister(f.commits, f.committedJobs, f.openJobs, f.runs, f.runners, f.calls, f.starts, f.ends, f.runnerCalls, f.orders, f.orderWaits, f.owner, f.takeovers, f.returns, f.places, f.evacuated, f.evacuatedRuns, f.ejected, f.failingSteps)
	return f
}

// RecordCommit records the duration and result of a commit of the given number of jobs.
func (f *Flow) RecordCommit(took time.Duration, jobs int, err error) {
	result := "committed"
	if err != nil {
		result = "failed"
	}
	f.commits.WithLabelValues(result).Observe(took.Seconds())
	f.committedJobs.Add(float64(jobs))
}

// SetCounts sets the numbers of open jobs, live runs and runners that the owner knows of.
func (f *Flow) SetCounts(open, runs, runners int) {
	f.openJobs.Set(float64(open))
	f.runs.Set(float64(runs))
	f.runners.Set(float64(runners))
}

// SetPlaces sets the number of refused callers whose retry the owner expects.
func (f *Flow) SetPlaces(places int) { f.places.Set(float64(places)) }

// AddReturns counts retries of refused jobs with the given timing, or places that have expired.
func (f *Flow) AddReturns(timing string, count int) {
	f.returns.WithLabelValues(timing).Add(float64(count))
}

// SetEvacuated sets the numbers of evacuated data centres and of the runs that are left there.
func (f *Flow) SetEvacuated(dataCentres, runs int) {
	f.evacuated.Set(float64(dataCentres))
	f.evacuatedRuns.Set(float64(runs))
}

// SetFailing sets the numbers of runners that are ejected or probed and of steps that fail wherever they
// run.
func (f *Flow) SetFailing(runners, steps int) {
	f.ejected.Set(float64(runners))
	f.failingSteps.Set(float64(steps))
}

// RecordCall records the duration and status of a client's call.
func (f *Flow) RecordCall(call, status string, took time.Duration) {
	f.calls.WithLabelValues(call, status).Observe(took.Seconds())
}

// RecordStart records the outcome of a start and the time that the runner took to answer it.
func (f *Flow) RecordStart(outcome string, took time.Duration) {
	f.starts.WithLabelValues(outcome).Inc()
	f.runnerCalls.Observe(took.Seconds())
}

// RecordOrder counts the attempts to send an order to the runner, of which some got no answer, and
// records how long the order waited for the first.
func (f *Flow) RecordOrder(order string, unanswered, attempts int, waited time.Duration) {
	f.orders.WithLabelValues(order, "unanswered").Add(float64(unanswered))
	f.orders.WithLabelValues(order, "answered").Add(float64(attempts - unanswered))
	f.orderWaits.WithLabelValues(order).Observe(waited.Seconds())
}

// RecordEnd counts the end of a run.
func (f *Flow) RecordEnd(kind string) { f.ends.WithLabelValues(kind).Inc() }

// SetOwner records whether this process owns the cell. With owns set it also counts a takeover.
func (f *Flow) SetOwner(owns bool) {
	if owns {
		f.owner.Set(1)
		f.takeovers.Inc()
		return
	}
	f.owner.Set(0)
}
