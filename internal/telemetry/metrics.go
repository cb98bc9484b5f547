package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are histogram bounds in seconds, from 0.5 ms to about 66 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 18)

// Metrics holds the Prometheus metrics of one process.
type Metrics struct {
	registry       *prometheus.Registry
	Requests       *prometheus.CounterVec
	RequestSeconds *prometheus.HistogramVec
	Attempts       *prometheus.CounterVec
	Refusals       *prometheus.CounterVec
	Ejections      *prometheus.CounterVec
	Spills         *prometheus.CounterVec
	Retries        *prometheus.CounterVec
	Placements     *prometheus.CounterVec
	TaskEndings    *prometheus.CounterVec
	Commits        *prometheus.HistogramVec
	CommitRecords  prometheus.Counter
	StoreErrors    *prometheus.CounterVec
	Revision       prometheus.Gauge
	Agents         prometheus.Gauge
	CellsOwned     prometheus.Gauge
	CellReserved   *prometheus.GaugeVec
	SlotsTaken     *prometheus.GaugeVec
	TasksRunning   prometheus.Gauge
	GuardActions   *prometheus.CounterVec
	// EvacuatedDataCentres is the number of data centres that are evacuated, EvacuatedTasks the attempts
	// that are left in each cell of one that this entry owns.
	EvacuatedDataCentres prometheus.Gauge
	EvacuatedTasks       *prometheus.GaugeVec
}

// NewMetrics returns Metrics that are registered in a new registry.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m := &Metrics{
		registry:       r,
		Requests:       counter("requests_total", "Requests by service, kind and outcome.", "service", "kind", "outcome"),
		RequestSeconds: histogram("request_duration_seconds", "Time from a request's arrival to its whole answer.", "service", "kind"),
		Attempts:       counter("request_attempts_total", "Requests sent to agents and peers.", "service", "target"),
		Refusals:       counter("request_refusals_total", "Refusals, each of which proves that nothing ran.", "reason"),
		Ejections:      counter("upstream_ejections_total", "Upstreams set aside for failing.", "service"),
		Spills:         counter("request_spills_total", "Requests sent to another data centre.", "service"),
		Retries:        counter("request_retries_total", "Retries after an attempt that may have run.", "service"),
		Placements:     counter("task_placements_total", "Placement decisions by result.", "result"),
		TaskEndings:    counter("task_endings_total", "Ends of task attempts.", "ending"),
		Commits:        histogram("cell_commit_duration_seconds", "Time of a group commit to the key-value service.", "result"),
		CommitRecords:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: "jasminebay", Name: "cell_commit_records_total", Help: "Records made durable."}),
		StoreErrors:    counter("store_errors_total", "Failed calls to the key-value service.", "operation"),
		Revision:       gauge("configuration_revision", "Revision of the configuration in force."),
		Agents:         gauge("agents", "Agents with a live session."),
		CellsOwned:     gauge("cells_owned", "Cells owned by this entry."),
		CellReserved:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "jasminebay", Name: "cell_reserved_processors", Help: "Processors reserved for tasks in each cell that this entry knows."}, []string{"cell"}),
		SlotsTaken:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "jasminebay", Name: "upstream_slots_taken", Help: "Slots in use at the upstream."}, []string{"service"}),
		TasksRunning:   gauge("tasks_running", "Task attempts running on the worker."),
		GuardActions:   counter("guard_actions_total", "Throttles, yields and evictions that protect services.", "action"),

		EvacuatedDataCentres: gauge("evacuated_data_centres", "Data centres that are evacuated according to the configuration in force."),
		EvacuatedTasks:       prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "jasminebay", Name: "evacuated_tasks", Help: "Task attempts left in each cell of an evacuated data centre that this entry owns."}, []string{"cell"}),
	}
	r.MustRegister(m.Requests, m.RequestSeconds, m.Attempts, m.Refusals, m.Ejections, m.Spills, m.Retries,
		m.Placements, m.TaskEndings, m.Commits, m.CommitRecords, m.StoreErrors, m.Revision, m.Agents,
		m.CellsOwned, m.CellReserved, m.SlotsTaken, m.TasksRunning, m.GuardActions,
		m.EvacuatedDataCentres, m.EvacuatedTasks)
	return m
}

// Handler returns an HTTP handler that serves the metrics to Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "jasminebay", Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "jasminebay", Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "jasminebay", Name: name, Help: help})
}
