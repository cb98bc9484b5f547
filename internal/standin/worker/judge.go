package worker

import (
	"fmt"
	"slices"
	"strings"
)

// Judge reads the records of all workers and returns what must not happen to a task: two
// attempts at once, two finishes, a start after a finish, or an attempt number used twice.
func Judge(events []Event) (faults []string) {
	tasks := map[string][]Event{}
	for _, e := range events {
		tasks[e.Task] = append(tasks[e.Task], e)
	}
	for task, record := range tasks {
		slices.SortStableFunc(record, func(a, b Event) int { return a.At.Compare(b.At) })
		for _, fault := range judgeTask(record) {
			faults = append(faults, task+": "+fault)
		}
	}
	slices.Sort(faults)
	return faults
}

func judgeTask(record []Event) (faults []string) {
	running := ""
	finished := false
	attempts := map[uint32]bool{}
	for _, e := range record {
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
