// Package agent implements the process that runs on the VM of an upstream or a worker. It admits or
// refuses requests to its upstreams, deduplicates them by id, and runs task attempts on its worker
// under the grant of its cell's owner. What runs on the worker is decided by the agent alone.
package agent
