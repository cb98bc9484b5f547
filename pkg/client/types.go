package client

import (
	"fmt"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// Headers of requests and answers.
const (
	HeaderKind           = "Jasminebay-Kind"
	HeaderTimeout        = "Jasminebay-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Jasminebay-Request-Id"
	HeaderUpstream       = "Jasminebay-Upstream"
	HeaderSource         = "Jasminebay-Source"
)

// Outcomes of a request that brought no answer of the upstream.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	OutcomeRan     = "ran"
)

// JobSpec is a job to submit.
type JobSpec struct {
	Team string `json:"team"`
	Name string `json:"name"`
	// Urgency is taken from the task kind if it is empty.
	Urgency document.Urgency `json:"urgency"`
	// Gang starts all tasks together or none.
	Gang  bool       `json:"gang"`
	Tasks []TaskSpec `json:"tasks"`
}

// TaskSpec is one or more equal tasks of a job.
type TaskSpec struct {
	Kind string `json:"kind"`
	// Count is the number of tasks; 0 means 1.
	Count        int               `json:"count"`
	MilliCPU     int64             `json:"milli-cpu"`
	MemoryBytes  int64             `json:"memory-bytes"`
	Accelerators int64             `json:"accelerators"`
	Run          document.Duration `json:"run"`
	// MaxAttempts is taken from the task kind if it is 0.
	MaxAttempts int `json:"max-attempts"`
}

// Job is a job as the system knows it.
type Job struct {
	ID        string           `json:"id"`
	Team      string           `json:"team"`
	Name      string           `json:"name"`
	Urgency   document.Urgency `json:"urgency"`
	State     string           `json:"state"`
	Cancelled bool             `json:"cancelled"`
	Tasks     []Task           `json:"tasks,omitempty"`
	Counts    map[string]int   `json:"counts"`
}

// States of a job.
const (
	JobStateActive   = "active"
	JobStateDone     = "done"
	JobStateInDoubt  = "in-doubt"
	TaskPhaseUnknown = "unknown"
)

// Task is a task as the system knows it.
type Task struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	Phase      string `json:"phase"`
	Attempt    uint32 `json:"attempt"`
	Worker     string `json:"worker,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Evictions  uint32 `json:"evictions"`
	Failures   uint32 `json:"failures"`
	Detail     string `json:"detail,omitempty"`
}

// Settlement is an operator's verdict on a task whose fate is unknown.
type Settlement struct {
	// Outcome is "finished" or "not-run".
	Outcome string `json:"outcome"`
}

// Promotion copies the document of one environment to another.
type Promotion struct {
	From string `json:"from"`
}

// Status tells which revision of an environment's document is in force where.
type Status struct {
	Environment string             `json:"environment"`
	Revision    uint64             `json:"revision"`
	DataCentres []DataCentreStatus `json:"data-centres"`
}

// DataCentreStatus is the status of one data centre, as the entry that answers knows it.
type DataCentreStatus struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	// Revision is the lowest in force at an entry, AgentsRevision the lowest at an agent.
	Revision       uint64 `json:"revision"`
	Agents         int    `json:"agents"`
	AgentsRevision uint64 `json:"agents-revision"`
	InForce        bool   `json:"in-force"`
	// HeardMillisAgo is how old the oldest word behind this line is.
	HeardMillisAgo int64 `json:"heard-millis-ago"`
}

// Worker is a worker as the entry that answers knows it.
type Worker struct {
	ID         string             `json:"id"`
	DataCentre string             `json:"data-centre"`
	Rack       string             `json:"rack"`
	Cell       string             `json:"cell"`
	Draining   bool               `json:"draining"`
	Yielding   bool               `json:"yielding"`
	Rebuilding bool               `json:"rebuilding"`
	Capacity   document.Resources `json:"capacity"`
	// Holding tells that the worker has tasks whose end is not settled.
	Holding bool `json:"holding"`
	// Free and Tasks are known to the owner of the worker's cell alone; an entry that is not
	// the owner leaves them out.
	Free       *document.Resources `json:"free,omitempty"`
	Tasks      *int                `json:"tasks,omitempty"`
	Revision   uint64              `json:"revision"`
	SeenMillis int64               `json:"seen-millis-ago"`
}

// Upstream is a service's upstreams behind one agent.
type Upstream struct {
	Agent      string `json:"agent"`
	DataCentre string `json:"data-centre"`
	Service    string `json:"service"`
	Slots      int    `json:"slots"`
	InFlight   int    `json:"in-flight"`
	Queued     int    `json:"queued"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining"`
	// Yielding tells that the worker is given to tasks that slow services, so that entries
	// prefer other upstreams.
	Yielding bool `json:"yielding"`
}

// Fault is one thing that is wrong with what was sent.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error is an answer of the system's own that is not a success.
type Error struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail"`
	Outcome   string  `json:"outcome"`
	RequestID string  `json:"request-id"`
	Revision  uint64  `json:"revision"`
	Faults    []Fault `json:"faults"`
}

// Error implements error.
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
