// Package engine is the control state of a cell's multi-step jobs: it admits jobs, orders and
// places their tasks, sets the pace of running tasks and handles the ends of runs. It reads no
// clock and performs no I/O. The caller passes in the current time, stores the changes that the
// engine returns, and carries out the resulting effects once these changes are durable.
package engine
