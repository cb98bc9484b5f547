package engine

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Policy replaces decisions by simpler ones, for comparisons. The zero value is what the
// product does.
type Policy struct {
	// Order is by what waiting steps are sorted.
	Order OrderBy
	// RandomPlacement places tasks on any runner with room.
	RandomPlacement bool
	// NoShedding accepts all jobs, NoCopies starts no second copies, NoPacing holds no task
	// back.
	NoShedding bool
	NoCopies   bool
	NoPacing   bool
}

// OrderBy names an order of what waits.
type OrderBy uint8

// Orders.
const (
	// OrderByValue is what Order does.
	OrderByValue OrderBy = iota
	// OrderByArrival is first come, first served.
	OrderByArrival
	// OrderByWork has the job with the least work left first.
	OrderByWork
)

// sort sorts claims by the policy.
func (p Policy) sort(claims []Claim) {
	switch p.Order {
	case OrderByArrival:
		slices.SortFunc(claims, func(a, b Claim) int {
			return cmp.Or(cmp.Compare(a.step.job().arrivedAt, b.step.job().arrivedAt), cmp.Compare(a.Name, b.Name))
		})
	case OrderByWork:
		slices.SortFunc(claims, func(a, b Claim) int {
			return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.Name, b.Name))
		})
	default:
		Order(claims)
	}
}

// chance returns a number that is as good as random for a task and a node.
func chance(task, node string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	_, _ = h.Write([]byte(node))
	return float64(h.Sum32())
}
