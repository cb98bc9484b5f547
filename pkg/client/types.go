package client

import (
	"fmt"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// Headers of requests and responses.
const (
	// HeaderKind is the kind of a request.
	HeaderKind = "Jasminebay-Kind"
	// HeaderTimeout is the timeout of a request in the notation of time.ParseDuration.
	HeaderTimeout        = "Jasminebay-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID is the ID of a request, HeaderUpstream the upstream that answered it.
	HeaderRequestID = "Jasminebay-Request-Id"
	HeaderUpstream  = "Jasminebay-Upstream"
	// HeaderSource tells where a document comes from: "store", or "in-force" if the key-value service
	// did not answer and the document is the one in force at the entry.
	HeaderSource = "Jasminebay-Source"
)

// Outcomes of a request that was not answered by an upstream.
const (
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that it is indeterminate whether the request was run.
	OutcomeUnknown = "unknown"
	// OutcomeRan means that the request was run but its response is not available.
	OutcomeRan = "ran"
)

// JobSpec is a job to submit.
type JobSpec struct {
	Team string `json:"team"`
	Name string `json:"name"`
	// Urgency is the highest one of the kinds of the tasks if it is empty.
	Urgency document.Urgency `json:"urgency"`
	// Gang starts either all tasks at once or none.
	Gang  bool       `json:"gang"`
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec describes one or more identical tasks of a job. Its resources are those of one task.
type TaskSpec struct {
	Kind string `json:"kind"`
	// Count is the number of tasks; 0 means 1.
	Count int `json:"count"`
	// MilliCPU is in thousandths of a processor, at least 1.
	MilliCPU     int64 `json:"milli-cpu"`
	MemoryBytes  int64 `json:"memory-bytes"`
	Accelerators int64 `json:"accelerators"`
	// Run is the expected run time.
	Run document.Duration `json:"run"`
	// MaxAttempts is the number of failed attempts after which the task has failed; 0 means that of the
	// task kind.
	MaxAttempts int `json:"max-attempts"`
}

// Job is the state of a job.
type Job struct {
	ID      string           `json:"id"`
	Team    string           `json:"team"`
	Name    string           `json:"name"`
	Urgency document.Urgency `json:"urgency"`
	// State is one of the JobState constants.
	State string `json:"state"`
	// Cancelled tells that the job was cancelled; its tasks may still be ending.
	Cancelled bool `json:"cancelled"`
	// Tasks is empty in a list of jobs.
	Tasks []Task `json:"tasks,omitempty"`
	// Counts is the number of tasks in each phase that occurs.
	Counts map[string]int `json:"counts"`
}

// States of a job, and a phase of a task.
const (
	JobStateActive = "active"
	JobStateDone   = "done"
	// JobStateInDoubt means that the outcome of at least one task is unknown and all others have ended.
	JobStateInDoubt = "in-doubt"
	// TaskPhaseUnknown means that it is indeterminate whether the task was run; see Client.Settle.
	TaskPhaseUnknown = "unknown"
)

// Task is the state of a task.
type Task struct {
	ID    string `json:"id"`
	Kind  string `json:"kind"`
	Phase string `json:"phase"`
	// Attempt is the number of the latest attempt.
	Attempt uint32 `json:"attempt"`
	Worker  string `json:"worker,omitempty"`
	// Checkpoint names the latest checkpoint, from which the next attempt resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
	Evictions  uint32 `json:"evictions"`
	// Failures is the number of attempts that failed.
	Failures uint32 `json:"failures"`
	// Detail explains the phase in words.
	Detail string `json:"detail,omitempty"`
}

// Settlement states the outcome of a task that the system could not determine.
type Settlement struct {
	// Outcome is "finished", or "not-run", after which the task is run again unless its job was
	// cancelled.
	Outcome string `json:"outcome"`
}

// Promotion is a request to copy the document of one environment to another.
type Promotion struct {
	// From is the environment whose document is copied.
	From string `json:"from"`
}

// Status tells which revision of an environment's document is in force in each data centre, as known to
// the entry that answers.
type Status struct {
	Environment string `json:"environment"`
	// Revision is the highest revision in force at an entry.
	Revision    uint64             `json:"revision"`
	DataCentres []DataCentreStatus `json:"data-centres"`
}

// DataCentreStatus is the status of one data centre, as known to the entry that answers.
type DataCentreStatus struct {
	Name string `json:"name"`
	// Entries and Agents are the numbers of entries and agents that are known.
	Entries int `json:"entries"`
	// Revision is the lowest revision in force at an entry, AgentsRevision the lowest at an agent.
	Revision       uint64 `json:"revision"`
	Agents         int    `json:"agents"`
	AgentsRevision uint64 `json:"agents-revision"`
	// InForce tells that all entries and agents have the revision in Status.Revision.
	InForce bool `json:"in-force"`
	// Evacuated tells that the data centre is evacuated according to the revision in force at the entry
	// that answers.
	Evacuated bool `json:"evacuated"`
	// HeardMillisAgo is the age in milliseconds of the oldest report that this status is based on.
	HeardMillisAgo int64 `json:"heard-millis-ago"`
}

// Worker is the state of a worker, as known to the entry that answers.
type Worker struct {
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Cell       string `json:"cell"`
	Draining   bool   `json:"draining"`
	// Yielding tells that an upstream on the worker is yielding; see Upstream.
	Yielding bool `json:"yielding"`
	// Rebuilding is true while the agent rebuilds its state after a start.
	Rebuilding bool               `json:"rebuilding"`
	Capacity   document.Resources `json:"capacity"`
	// Holding tells that the worker has tasks that run or whose end is not yet acknowledged.
	Holding bool `json:"holding"`
	// Free is the unreserved capacity and Tasks the number of tasks. They are nil unless the entry that
	// answers owns the worker's cell.
	Free  *document.Resources `json:"free,omitempty"`
	Tasks *int                `json:"tasks,omitempty"`
	// Revision is the revision of the document in force at the worker's agent.
	Revision uint64 `json:"revision"`
	// SeenMillis is the time in milliseconds since the agent's last report.
	SeenMillis int64 `json:"seen-millis-ago"`
}

// Upstream is the state of an upstream of a service, as reported by its agent to the entry that
// answers.
type Upstream struct {
	Agent      string `json:"agent"`
	DataCentre string `json:"data-centre"`
	Service    string `json:"service"`
	// Slots is the number of requests that the upstream processes at a time. InFlight requests are in
	// progress and Queued ones wait at the agent.
	Slots    int  `json:"slots"`
	InFlight int  `json:"in-flight"`
	Queued   int  `json:"queued"`
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Yielding tells that the worker runs tasks with high interference, so that entries prefer other
	// upstreams.
	Yielding bool `json:"yielding"`
}

// Fault is a single error in what was sent; see document.Fault.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error is a problem (RFC 9457) returned by the system itself, as opposed to an error response of an
// upstream.
type Error struct {
	// Type is a URN that identifies the kind of problem, such as urn:jasminebay:problem:conflict.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome is one of the Outcome constants, or empty if the problem does not state the outcome.
	Outcome string `json:"outcome"`
	// RequestID is set for requests to a service.
	RequestID string `json:"request-id"`
	// Revision is the current revision of the document if a change was rejected because that differs
	// from the expected one, and otherwise 0.
	Revision uint64 `json:"revision"`
	// Faults lists the errors in a document or job that was rejected.
	Faults []Fault `json:"faults"`
}

// Error returns the status, title, outcome and detail, each fault in a line of its own, and the current
// revision if it is set.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s", e.Status, e.Title)
	if e.Outcome != "" {
		text += " (" + e.Outcome + ")"
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	for _, f := range e.Faults {
		text += "\n  " + f.Path + ": " + f.Message
	}
	if e.Revision > 0 {
		text += fmt.Sprintf("; the current revision is %d", e.Revision)
	}
	return text
}
