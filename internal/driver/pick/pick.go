// Package pick implements the load-balancing policies that choose an upstream for a request.
package pick

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// New returns the policy with the given name in the configuration document. An unknown name
// gives two-choices.
func New(name string, threshold float64) driver.Picker {
	switch name {
	case "random":
		return Random{}
	case "round-robin":
		return &RoundRobin{}
	case "least-loaded":
		return LeastLoaded{}
	case "threshold-neighbour":
		return Threshold{threshold: threshold}
	}
	return TwoChoices{}
}

// Random chooses an upstream at random.
type Random struct{}

// Pick implements driver.Picker.
func (Random) Pick(c []driver.UpstreamSnapshot) int { return rand.IntN(len(c)) }

// Name implements driver.Picker.
func (Random) Name() string { return "random" }

// RoundRobin chooses the upstreams in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements driver.Picker.
func (r *RoundRobin) Pick(c []driver.UpstreamSnapshot) int {
	return int(r.next.Add(1) % uint64(len(c)))
}

// Name implements driver.Picker.
func (r *RoundRobin) Name() string { return "round-robin" }

// LeastLoaded chooses the upstream with the lowest load in the last heartbeat.
type LeastLoaded struct{}

// Pick implements driver.Picker.
func (LeastLoaded) Pick(c []driver.UpstreamSnapshot) int { return leastReported(c) }

// Name implements driver.Picker.
func (LeastLoaded) Name() string { return "least-loaded" }

// leastReported returns the upstream with the lowest reported load, a random one of equals.
func leastReported(c []driver.UpstreamSnapshot) int {
	lowest, offset := 0, rand.IntN(len(c))
	for k := range c {
		i := (k + offset) % len(c)
		if k == 0 || reportedLoad(c[i]) < reportedLoad(c[lowest]) {
			lowest = i
		}
	}
	return lowest
}

// reportedLoad returns the load in the last heartbeat, relative to the slots.
func reportedLoad(c driver.UpstreamSnapshot) float64 {
	return float64(c.Reported) / float64(max(c.Slots, 1))
}

// Threshold chooses a random upstream if its load is below the threshold, and the least loaded
// one otherwise. It is a stateless variant of the LBNUC algorithm, which stays with one upstream
// until its load exceeds a threshold: Gupta and Garg, "Optimizing and Load Balancing for Flash
// Crowd", 2019, section IV.
type Threshold struct{ threshold float64 }

// Pick implements driver.Picker.
func (t Threshold) Pick(c []driver.UpstreamSnapshot) int {
	first := rand.IntN(len(c))
	if reportedLoad(c[first]) < t.threshold {
		return first
	}
	return leastReported(c)
}

// Name implements driver.Picker.
func (Threshold) Name() string { return "threshold-neighbour" }

// minLatencyMicros is added to latencies so that upstreams without samples get comparable scores.
const minLatencyMicros = 100

// TwoChoices compares two random upstreams by load and latency and chooses the better one.
type TwoChoices struct{}

// Pick implements driver.Picker.
func (TwoChoices) Pick(c []driver.UpstreamSnapshot) int {
	if len(c) == 1 {
		return 0
	}
	a := rand.IntN(len(c))
	b := rand.IntN(len(c) - 1)
	if b >= a {
		b++
	}
	if score(c[b]) < score(c[a]) {
		return b
	}
	return a
}

// score estimates the response time from the queue and the service time; lower is better.
func score(c driver.UpstreamSnapshot) float64 {
	return (1 + c.Load()) * float64(c.Latency.Microseconds()+minLatencyMicros) * (1 + overloadPenalty(c))
}

// overloadPenalty penalizes an upstream that has more requests than slots.
func overloadPenalty(c driver.UpstreamSnapshot) float64 { return max(0, c.Load()-1) * 4 }

// Name implements driver.Picker.
func (TwoChoices) Name() string { return "two-choices" }
