package load

import (
	"fmt"
	"time"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// File is a load file: the load, and the system that it runs against.
type File struct {
	// Document is the name of an example document.
	Document string            `json:"document"`
	Seed     uint64            `json:"seed"`
	Duration document.Duration `json:"duration"`
	WarmUp   document.Duration `json:"warm-up"`
	System   System            `json:"system"`
	Requests []RequestStream   `json:"requests"`
	Bursts   []Burst           `json:"bursts"`
	Jobs     []JobStream       `json:"jobs"`
	Classes  []Class           `json:"classes"`
	Faults   []Fault           `json:"faults"`
}

// System describes the system that is started for the load if none is running.
type System struct {
	Runners      int               `json:"runners"`
	Slots        int               `json:"slots"`
	Connections  int               `json:"connections"`
	MilliCPU     int64             `json:"milli-cpu"`
	MemoryBytes  int64             `json:"memory-bytes"`
	Accelerators int64             `json:"accelerators"`
	PeerDelay    document.Duration `json:"peer-delay"`
	PeerJitter   document.Duration `json:"peer-jitter"`
	CallerDelay  document.Duration `json:"caller-delay"`
	StoreDelay   document.Duration `json:"store-delay"`
	UsageLag     document.Duration `json:"usage-lag"`
}

// RequestStream is a stream of requests of one kind, spread evenly over the data centres.
type RequestStream struct {
	Kind          string            `json:"kind"`
	RatePerSecond float64           `json:"rate-per-second"`
	ServiceTime   document.Duration `json:"service-time"`
	BodyBytes     int               `json:"bytes"`
	// Timeout defaults to the timeout of the kind.
	Timeout document.Duration `json:"timeout"`
}

// Burst multiplies the arrival rate of requests for a period, in one data centre, or in all of them
// if DataCentre is empty.
type Burst struct {
	At         document.Duration `json:"at"`
	Duration   document.Duration `json:"for"`
	Factor     float64           `json:"factor"`
	DataCentre string            `json:"data-centre"`
}

// JobStream is a stream of identical jobs, submitted at a fixed interval.
type JobStream struct {
	Kind        string            `json:"kind"`
	Every       document.Duration `json:"every"`
	From        document.Duration `json:"from"`
	Until       document.Duration `json:"until"`
	Tasks       int               `json:"tasks"`
	MilliCPU    int64             `json:"milli-cpu"`
	MemoryBytes int64             `json:"memory-bytes"`
	RunTime     document.Duration `json:"run"`
}

// coreSeconds returns the processor time that one task of the jobs declares.
func (j *JobStream) coreSeconds() float64 {
	return float64(j.MilliCPU) / 1000 * j.RunTime.D().Seconds()
}

// jobStream returns the first stream of jobs of a task kind, or nil.
func (f *File) jobStream(kind string) *JobStream {
	for i := range f.Jobs {
		if f.Jobs[i].Kind == kind {
			return &f.Jobs[i]
		}
	}
	return nil
}

// Class describes the actual behaviour of the tasks of a class, as opposed to the declared one.
type Class struct {
	Class string `json:"class"`
	// Interference is the latency inflation per processor that the class uses.
	Interference float64 `json:"harm"`
	// RunFactor is the actual run time divided by the declared one; 0 means 1.
	RunFactor float64 `json:"run-factor"`
}

// Fault changes the state of a runner at a time.
type Fault struct {
	At     document.Duration `json:"at"`
	Runner int               `json:"runner"`
	// Kind is slow (the upstream takes Factor times as long), fail-all (it fails every request),
	// lost (the agent is stopped) or healed (ends slow and fail-all).
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor"`
}

// Limits of a load file, so that every load ends in a reasonable time.
const (
	maxDuration      = 10 * time.Minute
	maxRatePerSecond = 50_000
	maxRunners       = 200
)

// Parse parses a load file. If it is invalid, the error lists every fault.
func Parse(raw []byte) (*File, error) {
	f := &File{}
	faults := document.Strict(raw, f)
	add := func(path, format string, args ...any) {
		faults = append(faults, document.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if f.Duration.D() <= 0 || f.Duration.D() > maxDuration {
		add("$.duration", "%v is not in 0s to %v", f.Duration.D(), maxDuration)
	}
	if f.WarmUp.D() < 0 || f.WarmUp.D() >= f.Duration.D() {
		add("$.warm-up", "%v is not shorter than the duration", f.WarmUp.D())
	}
	if f.System.Runners < 1 || f.System.Runners > maxRunners {
		add("$.system.runners", "%d is not in 1 to %d", f.System.Runners, maxRunners)
	}
	for i, r := range f.Requests {
		if r.RatePerSecond <= 0 || r.RatePerSecond > maxRatePerSecond {
			add(fmt.Sprintf("$.requests[%d].rate-per-second", i), "%g is not in 0 to %d", r.RatePerSecond, maxRatePerSecond)
		}
	}
	for i, j := range f.Jobs {
		if j.Every.D() <= 0 {
			add(fmt.Sprintf("$.jobs[%d].every", i), "%v is not above 0s", j.Every.D())
		}
	}
	for i, x := range f.Faults {
		if x.Runner < 0 || x.Runner >= f.System.Runners {
			add(fmt.Sprintf("$.faults[%d].runner", i), "%d is not in 0 to %d", x.Runner, f.System.Runners-1)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return f, nil
}
