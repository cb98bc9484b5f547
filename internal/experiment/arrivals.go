package experiment

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"google.golang.org/protobuf/encoding/protojson"
)

// Arrival is the submission of a job at a time, with the actual behaviour of the job, which the
// engine does not know in advance.
type Arrival struct {
	At  time.Duration
	Job *flowpb.Job
	// TaskMillis is the duration of each task on a healthy runner, by step and index.
	TaskMillis [][]float64
	// Lifetime is the time from acceptance to cancellation of a long-running job, and 0 for others.
	Lifetime time.Duration
	// AlwaysFails is set if all tasks of the job fail.
	AlwaysFails bool
	stream      *Stream
}

// GenerateArrivals generates the arrivals of a load at random. They depend on the load and the seed
// only.
func GenerateArrivals(l *Load, seed uint64) (arrivals []Arrival) {
	for i := range l.Streams {
		// Each stream has its own random source, so that a change to one stream leaves the arrivals
		// of the others as they were.
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s := &l.Streams[i]
		for range s.AtStart {
			arrivals = append(arrivals, s.newArrival(r, 0))
		}
		if s.RatePerSecond == 0 {
			continue
		}
		for at := time.Duration(0); ; {
			rate := s.RatePerSecond * l.burstFactor(s.Queue, at)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at > l.Length.D() {
				break
			}
			arrivals = append(arrivals, s.newArrival(r, at))
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range arrivals {
		arrivals[i].Job.Id = fmt.Sprintf("%016x", i+1)
	}
	return arrivals
}

// burstFactor returns the factor by which bursts multiply the arrival rate of a queue at a time.
func (l *Load) burstFactor(queue string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if b.Queue == queue && at >= b.At.D() && at < b.At.D()+b.Duration.D() {
			factor *= b.Factor
		}
	}
	return factor
}

func (s LogNormal) sample(r *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + s.Variation*s.Variation))
	v := s.Mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	if s.Max > 0 {
		v = min(v, s.Max)
	}
	return v
}

// minEstimateMillis is the shortest duration that a step declares.
const minEstimateMillis = 20

func (s *Stream) newArrival(r *rand.Rand, at time.Duration) Arrival {
	a := Arrival{At: at, stream: s, AlwaysFails: r.Float64() < s.AlwaysFailing, Job: &flowpb.Job{Queue: s.Queue, Spec: "{}"}}
	checkpoints, maxPerRunner, image := r.Float64() < s.Checkpoints, uint32(0), ""
	if r.Float64() < s.LimitedPerRunner {
		maxPerRunner = 1 + uint32(r.IntN(2))
	}
	if s.Images > 0 {
		image = fmt.Sprintf("%s-%d", s.Queue, r.IntN(s.Images))
	}
	cpu, memory := s.MilliCPU.sample(r), s.MemoryMB.sample(r)
	for i := range max(1, int(math.Round(s.Steps.sample(r)))) {
		meanMillis := s.Millis.sample(r)
		step := &flowpb.Step{
			Count: uint32(max(1, math.Round(s.Tasks.sample(r)))), MilliCpu: int64(cpu), MemoryMb: int64(memory), Checkpoints: checkpoints,
			MaxPerRunner: maxPerRunner, Image: image, Fills: s.BestEffort, Lasting: s.LongRunning,
			EstimateMillis: max(minEstimateMillis, int64(meanMillis*math.Exp(s.EstimateError*r.NormFloat64()))),
		}
		if i > 0 {
			step.After = []uint32{uint32(i - 1)}
		}
		taskMillis := make([]float64, step.GetCount())
		for k := range taskMillis {
			taskMillis[k] = meanMillis * math.Exp(s.TaskVariation*r.NormFloat64())
		}
		a.Job.Steps = append(a.Job.Steps, step)
		a.TaskMillis = append(a.TaskMillis, taskMillis)
	}
	if s.LongRunning {
		a.Lifetime = time.Duration(s.Lifetime.sample(r)) * time.Millisecond
	}
	return a
}

// coreSeconds returns the processor time that the job needs.
func (a *Arrival) coreSeconds() (total float64) {
	for i, step := range a.Job.GetSteps() {
		for _, millis := range a.TaskMillis[i] {
			total += millis / 1000 * float64(step.GetMilliCpu()) / 1000
		}
	}
	return total
}

// criticalPath returns the time that the job takes if none of its tasks has to wait. Each step
// depends on the one before it.
func (a *Arrival) criticalPath() (total time.Duration) {
	for _, millis := range a.TaskMillis {
		total += time.Duration(slices.Max(millis) * float64(time.Millisecond))
	}
	return total
}

// objective returns the time within which the job is to be done, counted from its submission.
func (a *Arrival) objective() time.Duration {
	return time.Duration(a.stream.Stretch*float64(a.criticalPath())) + a.stream.Target.D()
}

// arrivalRecord is the encoded form of an arrival in a file of recorded arrivals.
type arrivalRecord struct {
	At             string          `json:"at"`
	Job            json.RawMessage `json:"job"`
	TaskMillis     [][]float64     `json:"millis"`
	LifetimeMillis float64         `json:"stay-millis"`
	AlwaysFails    bool            `json:"hopeless"`
}

// WriteArrivals writes arrivals as lines of JSON, one for each arrival.
func WriteArrivals(w io.Writer, arrivals []Arrival) (err error) {
	e := json.NewEncoder(w)
	for _, a := range arrivals {
		job, err := protojson.Marshal(a.Job)
		if err != nil {
			return fmt.Errorf("experiment: job %s: %w", a.Job.GetId(), err)
		}
		line := arrivalRecord{At: a.At.String(), Job: job, TaskMillis: a.TaskMillis, LifetimeMillis: a.Lifetime.Seconds() * 1000, AlwaysFails: a.AlwaysFails}
		if err := e.Encode(line); err != nil {
			return fmt.Errorf("experiment: arrivals: %w", err)
		}
	}
	return nil
}

// ReadArrivals reads arrivals written by WriteArrivals. The queue of each job must be one of the
// load.
func ReadArrivals(l *Load, in io.Reader) (arrivals []Arrival, err error) {
	streams := map[string]*Stream{}
	for i := range l.Streams {
		streams[l.Streams[i].Queue] = &l.Streams[i]
	}
	d := json.NewDecoder(in)
	for line := 1; d.More(); line++ {
		var r arrivalRecord
		if err := d.Decode(&r); err != nil {
			return nil, fmt.Errorf("experiment: arrival %d: %w", line, err)
		}
		at, err := time.ParseDuration(r.At)
		if err != nil {
			return nil, fmt.Errorf("experiment: arrival %d: %w", line, err)
		}
		job := &flowpb.Job{}
		if err := protojson.Unmarshal(r.Job, job); err != nil {
			return nil, fmt.Errorf("experiment: arrival %d: %w", line, err)
		}
		s := streams[job.GetQueue()]
		if s == nil {
			return nil, fmt.Errorf("experiment: arrival %d: the load has no queue %q", line, job.GetQueue())
		}
		if len(r.TaskMillis) != len(job.GetSteps()) {
			return nil, fmt.Errorf("experiment: arrival %d: durations of %d steps, want %d", line, len(r.TaskMillis), len(job.GetSteps()))
		}
		for i, step := range job.GetSteps() {
			if len(r.TaskMillis[i]) != int(step.GetCount()) || step.GetCount() == 0 {
				return nil, fmt.Errorf("experiment: arrival %d: step %d has %d durations, want %d", line, i, len(r.TaskMillis[i]), step.GetCount())
			}
		}
		arrivals = append(arrivals, Arrival{At: at, Job: job, TaskMillis: r.TaskMillis, Lifetime: time.Duration(math.Round(r.LifetimeMillis * float64(time.Millisecond))), AlwaysFails: r.AlwaysFails, stream: s})
	}
	return arrivals, nil
}
