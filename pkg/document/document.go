package document

import (
	"encoding/json"
	"fmt"
	"time"
)

// MaxBytes is the largest accepted size of a document. The platform limits a stored value to 1 MiB;
// the remaining 4 KiB are for the record that contains the document.
const MaxBytes = 1<<20 - 4096

// Urgency is the priority of a request or task: one of higher urgency goes first.
type Urgency string

// Urgencies, from the highest to the lowest.
const (
	UrgencyUrgent   Urgency = "urgent"
	UrgencyOrdinary Urgency = "ordinary"
	UrgencyPatient  Urgency = "patient"
)

// Rank returns 0 for the lowest urgency, larger numbers for higher ones, or -1 if u is unknown.
func (u Urgency) Rank() int {
	switch u {
	case UrgencyUrgent:
		return 2
	case UrgencyOrdinary:
		return 1
	case UrgencyPatient:
		return 0
	}
	return -1
}

// Duration is a time span that is written as a JSON string in the notation of time.ParseDuration,
// such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler. It fails if data is not a string in the notation of
// time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("want a duration such as \"250ms\"")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("want a duration such as \"250ms\", got %q", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Document is the configuration of one environment.
type Document struct {
	Environment string       `json:"environment"`
	Objective   Objective    `json:"objective"`
	Guards      Guards       `json:"guards"`
	Placement   Placement    `json:"placement"`
	Services    []Service    `json:"services"`
	TaskKinds   []TaskKind   `json:"task-kinds"`
	Teams       []Team       `json:"teams"`
	DataCentres []DataCentre `json:"data-centres"`
}

// Objective holds the weights by which the placement policy pair-score chooses a worker for a task.
// Each is in [0, 1].
type Objective struct {
	// TailLatency weighs the interference with the services on the worker, if Guards are enabled. The
	// higher it is, the more conservatively the interference of rarely observed classes is estimated.
	TailLatency float64 `json:"tail-latency"`
	// Throughput weighs the imbalance of the capacity left on the worker, so that large tasks still
	// fit.
	Throughput float64 `json:"throughput"`
	// Evictions weighs the number of tasks of the same job in the worker's rack.
	Evictions float64 `json:"evictions"`
}

// Guards configures the protection of services from batch tasks on the same worker. The pressure of
// a worker is the highest ratio of p99 latency to target latency among the kinds of requests that
// it serves. The ranges below apply if Enabled is set.
type Guards struct {
	Enabled bool `json:"enabled"`
	// ThrottleAt and EvictAt are the pressures from which batch tasks are throttled and evicted, each
	// in [0.1, 10]. EvictAt is at least ThrottleAt.
	ThrottleAt float64 `json:"throttle-at"`
	EvictAt    float64 `json:"evict-at"`
	// Hold is how long the pressure must stay at EvictAt or above before a task is evicted, at most
	// 10 minutes.
	Hold Duration `json:"hold"`
	// EvictionsPerMinute limits the rate of these evictions in each cell, in [0, 1000].
	EvictionsPerMinute float64 `json:"evictions-per-minute"`
}

// Placement configures how a worker is chosen for a task.
type Placement struct {
	// Policy is one of Placements.
	Policy string `json:"policy"`
}

// Service is a latency-critical service whose requests are handled by upstreams.
type Service struct {
	Name    string  `json:"name"`
	Kinds   []Kind  `json:"kinds"`
	Routing Routing `json:"routing"`
}

// Kind is a kind of request of a service.
type Kind struct {
	Name    string  `json:"name"`
	Urgency Urgency `json:"urgency"`
	// Idempotent tells that a request may be run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout applies to requests that set none, from 1 millisecond to 10 minutes.
	Timeout Duration `json:"timeout"`
	// Target is the target for the p99 latency, from 1 millisecond to Timeout.
	Target Duration `json:"target"`
}

// Routing configures how an upstream is chosen for a request of a service.
type Routing struct {
	// Policy is one of Policies.
	Policy string `json:"policy"`
	// SpillAt is the load, in requests per slot, from which requests go to another data centre if that
	// is less loaded; it is also the threshold of the policy threshold-neighbour. It is in [0.1, 10].
	SpillAt float64 `json:"spill-at"`
	// RetryBudget is the number of retries allowed per request on average, in [0, 1].
	RetryBudget float64 `json:"retry-budget"`
	// EjectShare is the largest share of the upstreams that may be ejected at a time, in [0, 0.5].
	EjectShare float64 `json:"eject-share"`
}

// TaskKind is a kind of batch task.
type TaskKind struct {
	Name string `json:"name"`
	// Class groups task kinds that are assumed to cause the same interference.
	Class   string  `json:"class"`
	Urgency Urgency `json:"urgency"`
	// Idempotent tells that a task may be run more than once, so that it is restarted after a failure.
	Idempotent bool `json:"idempotent"`
	// MaxAttempts is the number of failed attempts after which a task has failed, from 1 to 100.
	MaxAttempts int `json:"max-attempts"`
}

// Team owns jobs. Its quota limits the resources that its running tasks may reserve in total.
type Team struct {
	Name  string    `json:"name"`
	Quota Resources `json:"quota"`
}

// Resources is an amount of each resource of a worker.
type Resources struct {
	// MilliCPU is in thousandths of a processor.
	MilliCPU     int64 `json:"milli-cpu"`
	MemoryBytes  int64 `json:"memory-bytes"`
	Accelerators int64 `json:"accelerators"`
}

// DataCentre describes a data centre.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Cells is the number of cells into which the workers are divided, from 1 to 64.
	Cells int `json:"cells"`
	// Evacuated tells that the data centre is to be emptied: requests go to other data centres, no
	// task starts and those that run are evicted. All data centres may be evacuated at once.
	Evacuated bool `json:"evacuated,omitempty"`
}

// Service returns the service with the given name, or nil if there is none.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Kind returns the kind with the given name, or nil if there is none; s may be nil.
func (s *Service) Kind(name string) *Kind {
	if s == nil {
		return nil
	}
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// TaskKind returns the task kind with the given name, or nil if there is none.
func (d *Document) TaskKind(name string) *TaskKind {
	for i := range d.TaskKinds {
		if d.TaskKinds[i].Name == name {
			return &d.TaskKinds[i]
		}
	}
	return nil
}

// Team returns the team with the given name, or nil if there is none.
func (d *Document) Team(name string) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}

// Evacuated reports whether the data centre with the given name is evacuated; d may be nil.
func (d *Document) Evacuated(dataCentre string) bool {
	if d == nil {
		return false
	}
	for _, c := range d.DataCentres {
		if c.Name == dataCentre {
			return c.Evacuated
		}
	}
	return false
}

// TotalCells returns the number of cells of all data centres together, counting at least 1 for each.
func (d *Document) TotalCells() (total int) {
	for _, c := range d.DataCentres {
		total += max(c.Cells, 1)
	}
	return total
}

// Cells returns the number of cells of the data centre with the given name. It is at least 1, also
// for a data centre that d does not list.
func (d *Document) Cells(dataCentre string) int {
	for _, c := range d.DataCentres {
		if c.Name == dataCentre {
			return max(c.Cells, 1)
		}
	}
	return 1
}
