// Package place holds the policies that choose a worker for a task.
package place

import (
	"github.com/jasminebay/jasminebay/internal/driver"
)

// Selector asks for the name of the policy at each placement.
type Selector struct {
	name     func() string
	policies map[string]driver.Placer
	standard driver.Placer
}

// NewSelector returns a Switch that uses pairs unless name returns another policy's name.
func NewSelector(name func() string, pairs *PairScore) *Selector {
	return &Selector{name: name, standard: pairs, policies: map[string]driver.Placer{
		FirstFit{}.Name(): FirstFit{}, LeastLoaded{}.Name(): LeastLoaded{},
	}}
}

func (s *Selector) current() driver.Placer {
	if p := s.policies[s.name()]; p != nil {
		return p
	}
	return s.standard
}

// Place implements driver.Placer.
func (s *Selector) Place(need driver.Resources, seats []driver.Candidate) int {
	return s.current().Place(need, seats)
}

// Name implements driver.Placer.
func (s *Selector) Name() string { return s.current().Name() }

// FirstFit takes the first worker that has room.
type FirstFit struct{}

// Place implements driver.Placer.
func (FirstFit) Place(need driver.Resources, seats []driver.Candidate) int {
	for i := range seats {
		if !seats[i].Blocked && need.Fits(seats[i].Free) {
			return i
		}
	}
	return -1
}

// Name implements driver.Placer.
func (FirstFit) Name() string { return "first-fit" }

// LeastLoaded takes the worker with the largest share of its processors free.
type LeastLoaded struct{}

// Place implements driver.Placer.
func (LeastLoaded) Place(need driver.Resources, seats []driver.Candidate) int {
	return best(need, seats, func(s *driver.Candidate) float64 { return -freeShare(s) })
}

// Name implements driver.Placer.
func (LeastLoaded) Name() string { return "least-loaded" }

// Weights tell what a placement costs; each is at least 0.
type Weights struct {
	// Interference weighs the latency inflation of services on the worker.
	Interference float64
	// Packing weighs what is left over, so that large tasks find room.
	Packing float64
	// Spread weighs tasks of the same job in the same rack.
	Spread float64
}

// PairScore weighs the harm that the task does to the services on the worker against how
// well it packs and how far it spreads its job.
type PairScore struct {
	weights func() Weights
}

// NewPairScore returns a PairScore that asks for its weights at each placement.
func NewPairScore(weights func() Weights) *PairScore { return &PairScore{weights: weights} }

// Place implements driver.Placer.
func (p *PairScore) Place(need driver.Resources, seats []driver.Candidate) int {
	w := p.weights()
	return best(need, seats, func(s *driver.Candidate) float64 {
		return w.Interference*s.Interference + w.Packing*imbalance(need, s) + w.Spread*float64(s.SameJobInRack)
	})
}

// Name implements driver.Placer.
func (p *PairScore) Name() string { return "pair-score" }

// best returns the seat with room and the lowest cost, the first of equals, or -1.
func best(need driver.Resources, seats []driver.Candidate, cost func(*driver.Candidate) float64) int {
	chosen, lowest := -1, 0.0
	for i := range seats {
		if seats[i].Blocked || !need.Fits(seats[i].Free) {
			continue
		}
		if c := cost(&seats[i]); chosen < 0 || c < lowest {
			chosen, lowest = i, c
		}
	}
	return chosen
}

func freeShare(s *driver.Candidate) float64 {
	if s.Capacity.MilliCPU() <= 0 {
		return 0
	}
	return float64(s.Free.MilliCPU()) / float64(s.Capacity.MilliCPU())
}

// imbalance is how unevenly the task would leave processors and memory, plus a price for
// accelerators that the task does not need.
func imbalance(need driver.Resources, s *driver.Candidate) float64 {
	left := s.Free.Minus(need)
	cpu := share(left.MilliCPU(), s.Capacity.MilliCPU())
	memory := share(left.MemoryBytes(), s.Capacity.MemoryBytes())
	cost := cpu - memory
	if cost < 0 {
		cost = -cost
	}
	if need.Accelerators() == 0 && s.Free.Accelerators() > 0 {
		cost++
	}
	return cost
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
