package worker

import (
	"fmt"
	"slices"
	"strings"
)

// CheckHistory returns the violations in the events of all workers, sorted. For each task it
// reports attempts that overlap, a second finish, a start after a finish, an attempt number that
// is used twice and an attempt that resumes from another task's checkpoint.
func CheckHistory(events []Event) (faults []string) {
	tasks := map[string][]Event{}
	for _, e := range events {
		tasks[e.Task] = append(tasks[e.Task], e)
	}
	for task, history := range tasks {
		slices.SortStableFunc(history, func(a, b Event) int { return a.At.Compare(b.At) })
		for _, fault := range checkTask(history) {
			faults = append(faults, task+": "+fault)
		}
	}
	slices.Sort(faults)
	return faults
}

func checkTask(history []Event) (faults []string) {
	running := ""
	finished := false
	attempts := map[uint32]bool{}
	for _, e := range history {
		name := fmt.Sprintf("attempt %d on %s", e.Attempt, e.Worker)
		if e.Kind != EventStart {
			if running == name {
				running = ""
			}
			if e.Kind == EventFinish && finished {
				faults = append(faults, name+" finished again")
			}
			finished = finished || e.Kind == EventFinish
			continue
		}
		if running != "" {
			faults = append(faults, name+" started beside "+running)
		}
		if finished {
			faults = append(faults, name+" started after the task had finished")
		}
		if attempts[e.Attempt] {
			faults = append(faults, name+" started again")
		}
		if e.Checkpoint != "" && !strings.HasPrefix(e.Checkpoint, e.Task+".") {
			faults = append(faults, name+" resumed from the checkpoint of another task")
		}
		attempts[e.Attempt] = true
		running = name
	}
	return faults
}
