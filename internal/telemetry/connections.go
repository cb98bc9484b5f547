package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Connections holds the Prometheus metrics of connections from clients.
type Connections struct {
	closed *prometheus.CounterVec
}

// NewConnections returns Connections that are registered in the registry of m.
func NewConnections(m *Metrics) *Connections {
	c := &Connections{
		closed: counter("http_connections_closed_total", "Closed connections from clients, by the state of their request and by who closed them first. A request got no answer if the server closed its connection as unread, reading or serving; one that crossed the close of its connection was refused unread.", "state", "by"),
	}
	m.registry.MustRegister(c.closed)
	return c
}

// RecordClosed counts a closed connection.
func (c *Connections) RecordClosed(state, by string) { c.closed.WithLabelValues(state, by).Inc() }
