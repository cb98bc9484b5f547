// Package place implements the policies that choose a worker for a task.
package place

import (
	"github.com/jasminebay/jasminebay/internal/driver"
)

// Selector delegates each placement to the policy with the name that is configured at that time.
type Selector struct {
	name     func() string
	policies map[string]driver.Placer
	fallback driver.Placer
}

// NewSelector returns a Selector that uses pairScore unless name returns the name of another policy.
func NewSelector(name func() string, pairScore *PairScore) *Selector {
	return &Selector{name: name, fallback: pairScore, policies: map[string]driver.Placer{
		FirstFit{}.Name(): FirstFit{}, LeastLoaded{}.Name(): LeastLoaded{},
	}}
}

func (s *Selector) current() driver.Placer {
	if p := s.policies[s.name()]; p != nil {
		return p
	}
	return s.fallback
}

// Place implements driver.Placer.
func (s *Selector) Place(need driver.Resources, candidates []driver.Candidate) int {
	return s.current().Place(need, candidates)
}

// Name implements driver.Placer.
func (s *Selector) Name() string { return s.current().Name() }

// FirstFit chooses the first worker with enough free capacity.
type FirstFit struct{}

// Place implements driver.Placer.
func (FirstFit) Place(need driver.Resources, candidates []driver.Candidate) int {
	for i := range candidates {
		if !candidates[i].Blocked && need.Fits(candidates[i].Free) {
			return i
		}
	}
	return -1
}

// Name implements driver.Placer.
func (FirstFit) Name() string { return "first-fit" }

// LeastLoaded chooses the worker with the largest share of free processors.
type LeastLoaded struct{}

// Place implements driver.Placer.
func (LeastLoaded) Place(need driver.Resources, candidates []driver.Candidate) int {
	return lowestCost(need, candidates, func(c *driver.Candidate) float64 { return -freeShare(c) })
}

// Name implements driver.Placer.
func (LeastLoaded) Name() string { return "least-loaded" }

// Weights are the weights in the cost of a placement; none is negative.
type Weights struct {
	// Interference weighs the latency increase of the services on the worker.
	Interference float64
	// Packing weighs the imbalance of the remaining capacity, so that large tasks still fit.
	Packing float64
	// Spread weighs the number of tasks of the same job in the same rack.
	Spread float64
}

// PairScore chooses the worker with the lowest weighted sum of the interference with its services,
// the imbalance of its remaining capacity and the tasks of the same job in its rack.
type PairScore struct {
	weights func() Weights
}

// NewPairScore returns a PairScore that calls weights at each placement.
func NewPairScore(weights func() Weights) *PairScore { return &PairScore{weights: weights} }

// Place implements driver.Placer.
func (p *PairScore) Place(need driver.Resources, candidates []driver.Candidate) int {
	w := p.weights()
	return lowestCost(need, candidates, func(c *driver.Candidate) float64 {
		return w.Interference*c.Interference + w.Packing*imbalance(need, c) + w.Spread*float64(c.SameJobInRack)
	})
}

// Name implements driver.Placer.
func (p *PairScore) Name() string { return "pair-score" }

// lowestCost returns the index of the eligible candidate with the lowest cost, the first of equals,
// or -1.
func lowestCost(need driver.Resources, candidates []driver.Candidate, cost func(*driver.Candidate) float64) int {
	chosen, lowest := -1, 0.0
	for i := range candidates {
		if candidates[i].Blocked || !need.Fits(candidates[i].Free) {
			continue
		}
		if c := cost(&candidates[i]); chosen < 0 || c < lowest {
			chosen, lowest = i, c
		}
	}
	return chosen
}

// freeShare returns the share of the processors that is free.
func freeShare(c *driver.Candidate) float64 {
	if c.Capacity.MilliCPU() <= 0 {
		return 0
	}
	return float64(c.Free.MilliCPU()) / float64(c.Capacity.MilliCPU())
}

// imbalance returns the difference between the shares of processors and memory that the task would
// leave free, plus a penalty if the worker has free accelerators that the task does not need.
func imbalance(need driver.Resources, c *driver.Candidate) float64 {
	left := c.Free.Minus(need)
	cpu := share(left.MilliCPU(), c.Capacity.MilliCPU())
	memory := share(left.MemoryBytes(), c.Capacity.MemoryBytes())
	cost := cpu - memory
	if cost < 0 {
		cost = -cost
	}
	if need.Accelerators() == 0 && c.Free.Accelerators() > 0 {
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
