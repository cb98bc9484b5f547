package driver

import "time"

// UpstreamState is an upstream as an entry sees it at the moment of a choice.
type UpstreamState struct {
	Agent    string
	Slots    int
	InFlight int
	Queued   int
	// Reported is the in-flight count of the last heartbeat alone.
	Reported int
	Latency  time.Duration
	// Weight is in (0, 1]; it is below 1 while an upstream returns from ejection.
	Weight float64
}

// Load returns the share of the candidate's slots that is taken or waited for.
func (c UpstreamState) Load() float64 {
	if c.Slots <= 0 {
		return 1
	}
	return float64(c.InFlight+c.Queued) / (float64(c.Slots) * c.Weight)
}

// Picker chooses an upstream for a request; implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the index of the chosen candidate; candidates is not empty.
	Pick(candidates []UpstreamState) int
	// Name returns the policy's name for logs.
	Name() string
}
