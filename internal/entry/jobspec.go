package entry

import (
	"fmt"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// assignTaskIDs sets the ids of a job's tasks to the job's id and their index.
func assignTaskIDs(job *cellpb.Job) {
	for i, t := range job.GetTasks() {
		t.Id = job.GetId() + "." + strconv.Itoa(i)
	}
}

// parseJob parses a job and applies the settings of its task kinds. The job is valid only if there
// are no faults.
func (e *Entry) parseJob(raw []byte) (*cellpb.Job, document.Faults) {
	d := e.options.Holder.Document()
	if d == nil {
		return nil, document.Faults{{Path: "$", Message: "no configuration is known yet"}}
	}
	var spec client.JobSpec
	faults := document.Strict(raw, &spec)
	if len(faults) > 0 {
		return nil, faults
	}
	addFault := func(path, format string, args ...any) {
		faults = append(faults, document.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if d.Team(spec.Team) == nil {
		addFault("$.team", "the configuration has no team %q", spec.Team)
	}
	if spec.Name == "" || len(spec.Name) > jobNameMaxBytes {
		addFault("$.name", "want 1 to %d bytes", jobNameMaxBytes)
	}
	if spec.Urgency != "" && spec.Urgency.Rank() < 0 {
		addFault("$.urgency", "%q is not one of urgent, ordinary, patient", string(spec.Urgency))
	}
	job := &cellpb.Job{
		Environment: d.Environment, Team: spec.Team, Name: spec.Name, Gang: spec.Gang,
		Urgency: int32(spec.Urgency.Rank()), AcceptedUnixMillis: time.Now().UnixMilli(),
	}
	for i, t := range spec.Tasks {
		path := fmt.Sprintf("$.tasks[%d]", i)
		kind := d.TaskKind(t.Kind)
		if kind == nil {
			addFault(path+".kind", "the configuration has no task kind %q", t.Kind)
			continue
		}
		validateTask(t, path, addFault)
		if spec.Urgency == "" {
			job.Urgency = max(job.Urgency, int32(kind.Urgency.Rank()))
		}
		job.Tasks = append(job.Tasks, expandTasks(t, kind)...)
	}
	if n := len(job.GetTasks()); len(faults) == 0 && (n == 0 || n > jobTasksMax) {
		addFault("$.tasks", "%d tasks are not in 1 to %d", n, jobTasksMax)
	}
	return job, faults
}

// validateTask calls addFault for each invalid field of a task.
func validateTask(t client.TaskSpec, path string, addFault func(path, format string, args ...any)) {
	if t.Count < 0 || t.Count > jobTasksMax {
		addFault(path+".count", "%d is not in 0 to %d", t.Count, jobTasksMax)
	}
	if t.MilliCPU < 1 {
		addFault(path+".milli-cpu", "%d is not at least 1", t.MilliCPU)
	}
	if t.MemoryBytes < 0 {
		addFault(path+".memory-bytes", "%d is not at least 0", t.MemoryBytes)
	}
	if t.Accelerators < 0 {
		addFault(path+".accelerators", "%d is not at least 0", t.Accelerators)
	}
	if t.Run.D() < 0 {
		addFault(path+".run", "%v is not at least 0s", t.Run.D())
	}
	if t.MaxAttempts < 0 {
		addFault(path+".max-attempts", "%d is not at least 0", t.MaxAttempts)
	}
}

// expandTasks returns the t.Count tasks that a specification stands for.
func expandTasks(t client.TaskSpec, kind *document.TaskKind) (tasks []*cellpb.Task) {
	attempts := t.MaxAttempts
	if attempts == 0 {
		attempts = kind.MaxAttempts
	}
	for range min(max(t.Count, 1), jobTasksMax) {
		tasks = append(tasks, &cellpb.Task{
			Kind: kind.Name, Class: kind.Class, Idempotent: kind.Idempotent, MaxAttempts: uint32(attempts),
			Resources: &cellpb.Resources{MilliCpu: t.MilliCPU, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators},
			RunMillis: t.Run.D().Milliseconds(),
		})
	}
	return tasks
}
