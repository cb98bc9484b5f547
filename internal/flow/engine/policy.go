package engine

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Policy replaces decisions of the engine by simpler ones, as a baseline for experiments. The zero
// value is the policy of the product.
type Policy struct {
	// Order is the order in which pending steps are placed.
	Order OrderBy
	// RandomPlacement places tasks on a random feasible runner.
	RandomPlacement bool
	// NoShedding accepts jobs regardless of load.
	NoShedding bool
	// NoSpeculation starts no speculative copies.
	NoSpeculation bool
	// NoPacing runs all tasks at full pace.
	NoPacing bool
}

// OrderBy is an order in which pending steps are placed.
type OrderBy uint8

// Values of OrderBy.
const (
	// OrderByValue is the order of SortPending.
	OrderByValue OrderBy = iota
	// OrderByArrival is first come, first served.
	OrderByArrival
	// OrderByWork places jobs with the least remaining work first.
	OrderByWork
)

// sort sorts steps into the order of the policy.
func (p Policy) sort(steps []PendingStep) {
	switch p.Order {
	case OrderByArrival:
		slices.SortFunc(steps, func(a, b PendingStep) int {
			return cmp.Or(cmp.Compare(a.step.job().arrivedAt, b.step.job().arrivedAt), cmp.Compare(a.Name, b.Name))
		})
	case OrderByWork:
		slices.SortFunc(steps, func(a, b PendingStep) int {
			return cmp.Or(cmp.Compare(a.RemainingWork, b.RemainingWork), cmp.Compare(a.Name, b.Name))
		})
	default:
		SortPending(steps)
	}
}

// randomScore returns a pseudo-random score for a task and a node, derived from a hash of their
// names.
func randomScore(task, node string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	_, _ = h.Write([]byte(node))
	return float64(h.Sum32())
}
