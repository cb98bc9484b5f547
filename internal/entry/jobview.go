package entry

import (
	"strings"

	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// urgencyNames maps the rank of an urgency to its name.
var urgencyNames = [...]document.Urgency{document.UrgencyPatient, document.UrgencyOrdinary, document.UrgencyUrgent}

// toJob converts a job of a cell to its representation in the API.
func toJob(job *cellpb.Job) client.Job {
	j := client.Job{
		ID: job.GetId(), Team: job.GetTeam(), Name: job.GetName(), Cancelled: job.GetCancelled(), State: client.JobStateActive,
		Urgency: urgencyNames[min(max(job.GetUrgency(), 0), int32(len(urgencyNames)-1))], Counts: map[string]int{},
	}
	if cell.JobDone(job) {
		j.State = client.JobStateDone
	}
	for _, t := range job.GetTasks() {
		phase := strings.ToLower(strings.TrimPrefix(t.GetPhase().String(), "PHASE_"))
		j.Counts[phase]++
		j.Tasks = append(j.Tasks, client.Task{
			ID: t.GetId(), Kind: t.GetKind(), Phase: phase, Attempt: t.GetAttempt(), Worker: t.GetWorker(),
			Checkpoint: t.GetCheckpoint(), Evictions: t.GetEvictions(), Failures: t.GetFailures(), Detail: t.GetDetail(),
		})
	}
	if open := len(job.GetTasks()) - j.Counts[client.TaskPhaseUnknown]; j.State != client.JobStateDone && j.Counts[client.TaskPhaseUnknown] > 0 && countEnded(j) == open {
		j.State = client.JobStateInDoubt
	}
	return j
}

// countEnded counts the tasks of a job that have reached a terminal phase.
func countEnded(j client.Job) int {
	return j.Counts["finished"] + j.Counts["failed"] + j.Counts["cancelled"] + j.Counts["infeasible"]
}
