package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a VM whose maintenance has not begun.
type Candidate struct {
	VM string
	// Runs counts the tasks on it, Held those that may not be moved off now.
	Runs int
	Held int
}

// Choose returns the VMs to empty and the VMs to take down now. Load pattern: a wave asks for
// many VMs under full load, so that only as many are emptied as may be down, those with the
// fewest tasks first; when time runs short, VMs are taken down with tasks on them, but for
// those with tasks that may not be moved off.
func Choose(candidates []Candidate, down, most int, left, each time.Duration) (empty, take []string) {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Held, b.Held), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.VM, b.VM))
	})
	room := max(0, most-down)
	rounds := (len(candidates) + max(1, most) - 1) / max(1, most)
	short := left < time.Duration(rounds)*(each+emptyTime)
	for i, c := range candidates {
		if i >= room {
			break
		}
		if c.Runs == 0 || short && c.Held == 0 {
			take = append(take, c.VM)
			continue
		}
		empty = append(empty, c.VM)
	}
	return empty, take
}

// emptyTime is what emptying a VM is expected to take: a task's stop and its end's way.
const emptyTime = 1500 * time.Millisecond
