package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// PendingVM is a VM whose maintenance has not begun.
type PendingVM struct {
	VM string
	// Runs counts the tasks on the VM, Pinned those of them that may not be moved now, because
	// their step's disruption budget is used up.
	Runs   int
	Pinned int
}

// Choose returns the VMs to evacuate and the VMs whose maintenance starts now. A wave may ask for
// many VMs under full load, so no more VMs are evacuated than may be down at once, those with the
// fewest tasks first. When time runs short, VMs are taken down with tasks on them, except VMs with
// pinned tasks.
func Choose(pending []PendingVM, down, maxDown int, remaining, downtime time.Duration) (evacuate, start []string) {
	pending = slices.Clone(pending)
	slices.SortFunc(pending, func(a, b PendingVM) int {
		return cmp.Or(cmp.Compare(a.Pinned, b.Pinned), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.VM, b.VM))
	})
	allowed := max(0, maxDown-down)
	rounds := (len(pending) + max(1, maxDown) - 1) / max(1, maxDown)
	late := remaining < time.Duration(rounds)*(downtime+evacuationTime)
	for i, vm := range pending {
		if i >= allowed {
			break
		}
		if vm.Runs == 0 || late && vm.Pinned == 0 {
			start = append(start, vm.VM)
			continue
		}
		evacuate = append(evacuate, vm.VM)
	}
	return evacuate, start
}

// evacuationTime is the expected time to evacuate a VM: to stop its tasks and to receive their
// ends.
const evacuationTime = 1500 * time.Millisecond
