package load

import (
	"fmt"
	"time"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// File describes a load and the system that it runs against.
type File struct {
	// Document names the example document.
	Document string            `json:"document"`
	Seed     uint64            `json:"seed"`
	Duration document.Duration `json:"duration"`
	WarmUp   document.Duration `json:"warm-up"`
	System   System            `json:"system"`
	Requests []Requests        `json:"requests"`
	Bursts   []Burst           `json:"bursts"`
	Jobs     []Jobs            `json:"jobs"`
	Classes  []Class           `json:"classes"`
	Faults   []Fault           `json:"faults"`
}

// System sizes the system that the load starts for itself.
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

// Requests is a stream of requests of one kind, spread over the data centres.
type Requests struct {
	Kind          string            `json:"kind"`
	RatePerSecond float64           `json:"rate-per-second"`
	Service       document.Duration `json:"service-time"`
	Bytes         int               `json:"bytes"`
	// Timeout is that of the kind if it is 0.
	Timeout document.Duration `json:"timeout"`
}

// Burst multiplies the arrivals for a while, in one data centre or, without a name, in all.
type Burst struct {
	At         document.Duration `json:"at"`
	For        document.Duration `json:"for"`
	Factor     float64           `json:"factor"`
	DataCentre string            `json:"data-centre"`
}

// Jobs is a stream of equal jobs.
type Jobs struct {
	Kind        string            `json:"kind"`
	Every       document.Duration `json:"every"`
	From        document.Duration `json:"from"`
	Until       document.Duration `json:"until"`
	Tasks       int               `json:"tasks"`
	MilliCPU    int64             `json:"milli-cpu"`
	MemoryBytes int64             `json:"memory-bytes"`
	Run         document.Duration `json:"run"`
}

// coreSeconds is what one task of the jobs declares.
func (j *Jobs) coreSeconds() float64 { return float64(j.MilliCPU) / 1000 * j.Run.D().Seconds() }

// job returns the jobs of a task kind, or nil.
func (f *File) job(kind string) *Jobs {
	for i := range f.Jobs {
		if f.Jobs[i].Kind == kind {
			return &f.Jobs[i]
		}
	}
	return nil
}

// Class tells how tasks of a class truly behave.
type Class struct {
	Class string `json:"class"`
	// Harm is the latency inflation per processor in use.
	Harm float64 `json:"harm"`
	// RunFactor is the true run time over the declared one.
	RunFactor float64 `json:"run-factor"`
}

// Fault changes an upstream at a time.
type Fault struct {
	At     document.Duration `json:"at"`
	Runner int               `json:"runner"`
	// Kind is slow, fail-all, lost or healed.
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor"`
}

// Ranges of a load file, so that a load ends by itself.
const (
	durationMax = 10 * time.Minute
	rateMax     = 50_000
	runnersMax  = 200
)

// Parse reads a load file and reports all that is wrong with it.
func Parse(raw []byte) (*File, error) {
	f := &File{}
	faults := document.Strict(raw, f)
	add := func(path, format string, args ...any) {
		faults = append(faults, document.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if f.Duration.D() <= 0 || f.Duration.D() > durationMax {
		add("$.duration", "%v is not in 0s to %v", f.Duration.D(), durationMax)
	}
	if f.WarmUp.D() < 0 || f.WarmUp.D() >= f.Duration.D() {
		add("$.warm-up", "%v is not shorter than the duration", f.WarmUp.D())
	}
	if f.System.Runners < 1 || f.System.Runners > runnersMax {
		add("$.system.runners", "%d is not in 1 to %d", f.System.Runners, runnersMax)
	}
	for i, r := range f.Requests {
		if r.RatePerSecond <= 0 || r.RatePerSecond > rateMax {
			add(fmt.Sprintf("$.requests[%d].rate-per-second", i), "%g is not in 0 to %d", r.RatePerSecond, rateMax)
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
