package experiment

import (
	"fmt"
	"time"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// Load describes the jobs of an experiment, the simulated runners that execute them, and faults.
type Load struct {
	Name string `json:"name"`
	// Jobs arrive during Length; the simulation continues for Drain after it.
	Length          document.Duration `json:"length"`
	Drain           document.Duration `json:"drain"`
	Runners         Runners           `json:"runners"`
	Streams         []Stream          `json:"streams"`
	Bursts          []Burst           `json:"bursts"`
	Faults          []Fault           `json:"faults"`
	LatencyCritical LatencyCritical   `json:"serving"`
	Interference    Interference      `json:"interference"`
	Clients         Clients           `json:"clients"`
	// CommitDelay is the time that the store takes to make a commit durable.
	CommitDelay document.Duration `json:"commit"`
}

// Runners describes the simulated runners. SizeFactors are applied to MilliCPU and MemoryMB of the
// runners in rotation.
type Runners struct {
	Count       int       `json:"count"`
	MilliCPU    int64     `json:"milli-cpu"`
	MemoryMB    int64     `json:"memory-mb"`
	SizeFactors []float64 `json:"sizes"`
	PerRack     int       `json:"per-rack"`
}

// LogNormal is a log-normal distribution with the given mean and coefficient of variation. Values
// are capped at Max unless it is 0.
type LogNormal struct {
	Mean      float64 `json:"mean"`
	Variation float64 `json:"spread"`
	Max       float64 `json:"most"`
}

// Stream describes the jobs of one queue, which arrive as a Poisson process.
type Stream struct {
	Queue       string `json:"queue"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"max-attempts"`
	// Stretch and Target define the objective of a job as in engine.Queue, but with the actual
	// durations: Stretch times the critical path, plus Target.
	Stretch float64           `json:"stretch"`
	Target  document.Duration `json:"target"`
	// Value is what a job with the mean processor time of its queue earns if it meets its objective,
	// LateValue what it earns if it is late by no more than lateFactor. A long-running job earns up to
	// Value for each credit interval.
	Value         float64 `json:"worth"`
	LateValue     float64 `json:"late-worth"`
	RatePerSecond float64 `json:"rate-per-second"`
	// AtStart is the number of jobs that are submitted before the others, at time 0.
	AtStart  int       `json:"at-start"`
	Steps    LogNormal `json:"steps"`
	Tasks    LogNormal `json:"tasks"`
	Millis   LogNormal `json:"millis"`
	MilliCPU LogNormal `json:"milli-cpu"`
	MemoryMB LogNormal `json:"memory-mb"`
	// TaskVariation is the standard deviation of the logarithm of the durations of the tasks of one
	// step, EstimateError that of the logarithm of the ratio of declared to actual durations.
	TaskVariation float64 `json:"uneven"`
	EstimateError float64 `json:"estimate-off"`
	// Checkpoints, LimitedPerRunner and AlwaysFailing are shares of the jobs: those that save
	// checkpoints, those of which a runner takes at most one or two tasks, and those whose tasks
	// always fail.
	Checkpoints      float64 `json:"checkpoints"`
	LimitedPerRunner float64 `json:"apart"`
	AlwaysFailing    float64 `json:"hopeless"`
	BestEffort       bool    `json:"fills"`
	LongRunning      bool    `json:"lasting"`
	// Images is the number of different images among the jobs, 0 for jobs without an image. Lifetime
	// is the time until a long-running job is cancelled, in milliseconds.
	Images   int       `json:"images"`
	Lifetime LogNormal `json:"stay"`
}

// Burst multiplies the arrival rate of a stream for a period.
type Burst struct {
	Queue    string            `json:"queue"`
	At       document.Duration `json:"at"`
	Duration document.Duration `json:"for"`
	Factor   float64           `json:"factor"`
}

// Fault impairs some runners for a period.
type Fault struct {
	At       document.Duration `json:"at"`
	Duration document.Duration `json:"for"`
	// Kind is slow (tasks take Factor times as long), still (tasks are stalled), failing (tasks fail)
	// or lost (the runner is disconnected, but its tasks continue). Long-running tasks are affected
	// by lost only.
	Kind    string  `json:"kind"`
	Runners int     `json:"runners"`
	Factor  float64 `json:"factor"`
}

// LatencyCritical describes the behaviour of latency-critical tasks. Their tail latency is
// TailMillis divided by the share of time in which their server is idle, and their latency target is
// TailMillis times TargetFactor. Their load is a sine wave of the given Period around Load, with an
// amplitude of LoadAmplitude times Load.
type LatencyCritical struct {
	TailMillis   float64 `json:"tail-millis"`
	TargetFactor float64 `json:"target-factor"`
	Load         float64 `json:"load"`
	// Utilization is the share of its reserved processors that a task uses at full load.
	Utilization   float64           `json:"use"`
	LoadAmplitude float64           `json:"swing"`
	Period        document.Duration `json:"period"`
}

// Interference describes by how much one processor of a best-effort image reduces the idle share of
// a latency-critical image. For a share HeavyShare of the pairs of images it is drawn from a
// log-normal distribution with the given Median and Sigma, and for the others uniformly between 0
// and LightMax.
type Interference struct {
	HeavyShare float64 `json:"heavy"`
	Median     float64 `json:"median"`
	Sigma      float64 `json:"spread"`
	LightMax   float64 `json:"light"`
	// Amplitude is the amplitude of the logarithm of a factor by which the interference of a
	// best-effort task varies over a few seconds.
	Amplitude float64 `json:"swing"`
}

// Clients describes how clients react to a refusal: they submit the job again under the same id up to
// MaxRetries times, unless RetryTimeout would have passed since the first submission; 0 is no limit. They
// are told the time in whole seconds and come back up to the share Early of it earlier.
type Clients struct {
	MaxRetries   int               `json:"retries"`
	RetryTimeout document.Duration `json:"patience"`
	Early        float64           `json:"early"`
}

// Limits of a load, so that a simulation ends in a reasonable time.
const (
	maxLength        = time.Hour
	maxRunners       = 20_000
	maxRatePerSecond = 5_000
)

// Parse parses a load. If it is invalid, the error lists every fault.
func Parse(raw []byte) (l *Load, err error) {
	l = &Load{}
	faults := document.Strict(raw, l)
	add := func(path, format string, args ...any) {
		faults = append(faults, document.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if l.Length.D() <= 0 || l.Length.D() > maxLength {
		add("$.length", "%v is not in 0s to %v", l.Length.D(), maxLength)
	}
	if l.Drain.D() < 0 || l.Drain.D() > maxLength {
		add("$.drain", "%v is not in 0s to %v", l.Drain.D(), maxLength)
	}
	if l.Runners.Count < 1 || l.Runners.Count > maxRunners {
		add("$.runners.count", "%d is not in 1 to %d", l.Runners.Count, maxRunners)
	}
	if l.Runners.MilliCPU < 1 {
		add("$.runners.milli-cpu", "%d is not above 0", l.Runners.MilliCPU)
	}
	if l.Runners.PerRack < 1 {
		add("$.runners.per-rack", "%d is not above 0", l.Runners.PerRack)
	}
	if l.Clients.Early < 0 || l.Clients.Early >= 1 {
		add("$.clients.early", "%g is not in 0 to 1", l.Clients.Early)
	}
	queues := map[string]bool{}
	for i := range l.Streams {
		s := &l.Streams[i]
		path := fmt.Sprintf("$.streams[%d]", i)
		if s.Queue == "" || queues[s.Queue] {
			add(path+".queue", "%q is empty or there twice", s.Queue)
		}
		queues[s.Queue] = true
		if s.RatePerSecond < 0 || s.RatePerSecond > maxRatePerSecond {
			add(path+".rate-per-second", "%g is not in 0 to %d", s.RatePerSecond, maxRatePerSecond)
		}
		if s.Millis.Mean <= 0 && !s.LongRunning {
			add(path+".millis.mean", "%g is not above 0", s.Millis.Mean)
		}
		if s.LongRunning && s.Lifetime.Mean <= 0 {
			add(path+".stay.mean", "%g is not above 0", s.Lifetime.Mean)
		}
	}
	for i, b := range l.Bursts {
		if !queues[b.Queue] || b.Factor <= 0 {
			add(fmt.Sprintf("$.bursts[%d]", i), "unknown queue %q, or a factor that is not above 0", b.Queue)
		}
	}
	kinds := map[string]bool{faultSlow: true, faultStalled: true, faultFailing: true, faultLost: true}
	for i, x := range l.Faults {
		if !kinds[x.Kind] {
			add(fmt.Sprintf("$.faults[%d].kind", i), "%q is not slow, still, failing or lost", x.Kind)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return l, nil
}
