// Package pick holds the policies that choose an upstream for a request.
package pick

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// New returns the policy with a name of the configuration document; an unknown name
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

// Random takes any upstream.
type Random struct{}

// Pick implements driver.Picker.
func (Random) Pick(c []driver.UpstreamSnapshot) int { return rand.IntN(len(c)) }

// Name implements driver.Picker.
func (Random) Name() string { return "random" }

// RoundRobin takes the upstreams in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements driver.Picker.
func (r *RoundRobin) Pick(c []driver.UpstreamSnapshot) int { return int(r.next.Add(1) % uint64(len(c))) }

// Name implements driver.Picker.
func (r *RoundRobin) Name() string { return "round-robin" }

// LeastLoaded takes the upstream with the lowest load of the last heartbeat.
type LeastLoaded struct{}

// Pick implements driver.Picker.
func (LeastLoaded) Pick(c []driver.UpstreamSnapshot) int { return leastReported(c) }

// Name implements driver.Picker.
func (LeastLoaded) Name() string { return "least-loaded" }

func leastReported(c []driver.UpstreamSnapshot) int {
	lowest, offset := 0, rand.IntN(len(c))
	for k := range c {
		i := (k + offset) % len(c)
		if k == 0 || reported(c[i]) < reported(c[lowest]) {
			lowest = i
		}
	}
	return lowest
}

func reported(c driver.UpstreamSnapshot) float64 {
	return float64(c.Reported) / float64(max(c.Slots, 1))
}

// Threshold stays with one upstream until its load exceeds a threshold and then goes to the
// least loaded of the others, after the LBNUC algorithm of Gupta and Garg, "Optimizing and
// Load Balancing for Flash Crowd", 2019, section IV.
type Threshold struct{ threshold float64 }

// Pick implements driver.Picker.
func (t Threshold) Pick(c []driver.UpstreamSnapshot) int {
	home := rand.IntN(len(c))
	if reported(c[home]) < t.threshold {
		return home
	}
	return leastReported(c)
}

// Name implements driver.Picker.
func (Threshold) Name() string { return "threshold-neighbour" }

// latencyFloorMicros keeps the scores of upstreams without samples comparable.
const latencyFloorMicros = 100

// TwoChoices compares two upstreams at random by load and latency and takes the better.
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

// score estimates the time to an answer: the queue in front and the service itself.
func score(c driver.UpstreamSnapshot) float64 {
	return (1 + c.Load()) * float64(c.Latency.Microseconds()+latencyFloorMicros) * (1 + overload(c))
}

// overload penalizes an upstream whose slots are all taken.
func overload(c driver.UpstreamSnapshot) float64 { return max(0, c.Load()-1) * 4 }

// Name implements driver.Picker.
func (TwoChoices) Name() string { return "two-choices" }
