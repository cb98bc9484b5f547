package driver

import "time"

// UpstreamSnapshot describes an upstream as known to an entry at the time of a pick.
type UpstreamSnapshot struct {
	Agent    string
	Slots    int
	InFlight int
	Queued   int
	// Reported is the number of requests in flight and queued in the last heartbeat, not corrected
	// by anything known since.
	Reported int
	Latency  time.Duration
	// Weight is in (0, 1]; it is below 1 while the upstream recovers from an ejection.
	Weight float64
}

// Load returns the in-flight and queued requests relative to the slots, scaled up by a low
// weight; it is 1 for an upstream without slots.
func (u UpstreamSnapshot) Load() float64 {
	if u.Slots <= 0 {
		return 1
	}
	return float64(u.InFlight+u.Queued) / (float64(u.Slots) * u.Weight)
}

// Picker is a load-balancing policy; implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen upstream; upstreams is not empty.
	Pick(upstreams []UpstreamSnapshot) int
	// Name returns the name of the policy for logs.
	Name() string
}
