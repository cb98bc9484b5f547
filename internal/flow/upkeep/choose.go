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
	// Unreported is set while it is not known which tasks run on the VM.
	Unreported bool
	// Evacuated is set if the VM is in an evacuated data centre, where it becomes empty without costing others room.
	Evacuated bool
	// Unanswered is how many orders to take the VM down got no answer.
	Unanswered int
	// Ordered reports whether one of them may still be carried out, so that the VM counts as down.
	// Resting reports whether no further one is sent until then.
	Ordered, Resting bool
}

// Choose returns the VMs to evacuate and the VMs whose maintenance starts now. A wave may ask for
// many VMs under full load, so no more VMs are evacuated than may be down at once, those of
// evacuated data centres and with the fewest tasks first. When time runs short, VMs are taken down with tasks on them, except VMs with
// pinned tasks. A VM whose tasks are not known stays up. VMs that may go down for an earlier order are among those that are down, and go on.
func Choose(pending []PendingVM, down, maxDown int, remaining, downtime time.Duration) (evacuate, start []string) {
	pending = slices.Clone(pending)
	slices.SortFunc(pending, func(a, b PendingVM) int {
		return cmp.Or(compareBool(a.Unreported, b.Unreported), cmp.Compare(a.Pinned, b.Pinned), cmp.Compare(a.Unanswered, b.Unanswered), compareBool(!a.Evacuated, !b.Evacuated), cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.VM, b.VM))
	})
	allowed := max(0, maxDown-down)
	rounds := (len(pending) + max(1, maxDown) - 1) / max(1, maxDown)
	late := remaining < time.Duration(rounds)*(downtime+evacuationTime)
	for _, vm := range pending {
		if !vm.Ordered {
			if allowed == 0 {
				continue
			}
			allowed--
		}
		if !vm.Resting && !vm.Unreported && (vm.Runs == 0 || late && vm.Pinned == 0) {
			start = append(start, vm.VM)
			continue
		}
		evacuate = append(evacuate, vm.VM)
	}
	return evacuate, start
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// evacuationTime is the expected time to evacuate a VM: to stop its tasks and to receive their
// ends.
const evacuationTime = 1500 * time.Millisecond
