// Package agent is the process beside an upstream or a worker: the one authority over
// what its worker holds. It admits or refuses requests, runs task attempts under the
// grant of its cell's owner and remembers request ids.
package agent
