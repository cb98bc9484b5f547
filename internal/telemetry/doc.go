// Package telemetry provides the logs and Prometheus metrics of a process.
package telemetry
