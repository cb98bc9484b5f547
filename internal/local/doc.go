// Package local runs the whole system in one process on loopback, with stand-ins for the platform
// and the upstreams. It serves the local command, the load tool and benchmarks.
package local
