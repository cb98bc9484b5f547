package document

import (
	"encoding/json"
	"fmt"
	"time"
)

// MaxBytes is the size of the largest document that is accepted; the rest of the
// platform's value limit of 1 MiB is left to the record around it.
const MaxBytes = 1<<20 - 4096

// Urgency orders requests and tasks; a higher one goes first.
type Urgency string

// Urgencies of requests and tasks.
const (
	UrgencyUrgent   Urgency = "urgent"
	UrgencyOrdinary Urgency = "ordinary"
	UrgencyPatient  Urgency = "patient"
)

// Rank returns a number that is higher the more urgent u is, or -1 if u is unknown.
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

// Duration is a time span that is written like "250ms".
type Duration time.Duration

// UnmarshalJSON reads a duration in Go's notation.
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

// MarshalJSON writes a duration in Go's notation.
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

// Objective weighs the measures against each other; each weight is in [0, 1].
type Objective struct {
	TailLatency float64 `json:"tail-latency"`
	Throughput  float64 `json:"throughput"`
	Evictions   float64 `json:"evictions"`
}

// Guards protects services from the batch tasks beside them.
type Guards struct {
	Enabled bool `json:"enabled"`
	// ThrottleAt and EvictAt are shares of a kind's target latency.
	ThrottleAt float64 `json:"throttle-at"`
	EvictAt    float64 `json:"evict-at"`
	// Hold is how long a worker must be past EvictAt before a task is evicted.
	Hold Duration `json:"hold"`
	// EvictionsPerMinute bounds the evictions of a cell.
	EvictionsPerMinute float64 `json:"evictions-per-minute"`
}

// Placement tells how tasks find a worker.
type Placement struct {
	Policy string `json:"policy"`
}

// Service is a latency-critical service that upstreams serve.
type Service struct {
	Name    string  `json:"name"`
	Kinds   []Kind  `json:"kinds"`
	Routing Routing `json:"routing"`
}

// Kind is a kind of request.
type Kind struct {
	Name       string   `json:"name"`
	Urgency    Urgency  `json:"urgency"`
	Idempotent bool     `json:"idempotent"`
	Timeout    Duration `json:"timeout"`
	Target     Duration `json:"target"`
}

// Routing tunes how requests of a service find an upstream.
type Routing struct {
	Policy      string  `json:"policy"`
	SpillAt     float64 `json:"spill-at"`
	RetryBudget float64 `json:"retry-budget"`
	EjectShare  float64 `json:"eject-share"`
}

// TaskKind is a kind of batch task.
type TaskKind struct {
	Name        string  `json:"name"`
	Class       string  `json:"class"`
	Urgency     Urgency `json:"urgency"`
	Idempotent  bool    `json:"idempotent"`
	MaxAttempts int     `json:"max-attempts"`
}

// Team owns jobs and has a quota of what its running tasks may reserve.
type Team struct {
	Name  string    `json:"name"`
	Quota Resources `json:"quota"`
}

// Resources is an amount of each thing that a worker holds.
type Resources struct {
	MilliCPU     int64 `json:"milli-cpu"`
	MemoryBytes  int64 `json:"memory-bytes"`
	Accelerators int64 `json:"accelerators"`
}

// DataCentre names a data centre and the number of cells that its workers form.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Cells  int    `json:"cells"`
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Kind returns the kind with the given name, or nil; s may be nil.
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

// TaskKind returns the task kind with the given name, or nil.
func (d *Document) TaskKind(name string) *TaskKind {
	for i := range d.TaskKinds {
		if d.TaskKinds[i].Name == name {
			return &d.TaskKinds[i]
		}
	}
	return nil
}

// Team returns the team with the given name, or nil.
func (d *Document) Team(name string) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}

// TotalCells returns the number of cells of all data centres.
func (d *Document) TotalCells() (total int) {
	for _, c := range d.DataCentres {
		total += max(c.Cells, 1)
	}
	return total
}

// Cells returns the number of cells of a data centre, at least 1.
func (d *Document) Cells(dataCentre string) int {
	for _, c := range d.DataCentres {
		if c.Name == dataCentre {
			return max(c.Cells, 1)
		}
	}
	return 1
}
