package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Intake holds the Prometheus metrics of what the connections of clients hold.
type Intake struct {
	refusals *prometheus.CounterVec
}

// NewIntake returns Intake metrics that are registered in the registry of m, of which usage returns the
// bytes that are held and the number of connections.
func NewIntake(m *Metrics, usage func() (bytes int64, conns int)) *Intake {
	i := &Intake{refusals: counter("intake_refusals_total", "Requests refused and connections closed since the budget of clients was used up: a head, a body or a newcomer (connection) that found no room, or a connection closed to free memory (closed).", "reason")}
	m.registry.MustRegister(i.refusals,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "jasminebay", Name: "intake_bytes", Help: "Bytes of the memory budget that connections of clients hold."}, func() float64 {
			bytes, _ := usage()
			return float64(bytes)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "jasminebay", Name: "intake_connections", Help: "Connections of clients that the memory budget counts."}, func() float64 {
			_, conns := usage()
			return float64(conns)
		}))
	return i
}

// RecordRefusal counts a refusal or a closed connection.
func (i *Intake) RecordRefusal(reason string) { i.refusals.WithLabelValues(reason).Inc() }
