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

// Arrival is a job that is handed in at a moment, and what is true of it.
type Arrival struct {
	At  time.Duration
	Job *flowpb.Job
	// Millis is how long each task takes on a sound runner, by step and index.
	Millis [][]float64
	// Stay is how long a lasting job stays until it is cancelled.
	Stay time.Duration
	// Hopeless tells that all its tasks fail.
	Hopeless bool
	stream   *Stream
}

// GenerateArrivals draws the arrivals of a load; the same seed gives the same ones.
func GenerateArrivals(l *Load, seed uint64) (arrivals []Arrival) {
	for i := range l.Streams {
		// Each stream has random numbers of its own, so that a change of one leaves the others.
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		s := &l.Streams[i]
		for range s.AtStart {
			arrivals = append(arrivals, s.draw(r, 0))
		}
		if s.RatePerSecond == 0 {
			continue
		}
		for at := time.Duration(0); ; {
			rate := s.RatePerSecond * l.factor(s.Queue, at)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at > l.Length.D() {
				break
			}
			arrivals = append(arrivals, s.draw(r, at))
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range arrivals {
		arrivals[i].Job.Id = fmt.Sprintf("%016x", i+1)
	}
	return arrivals
}

func (l *Load) factor(queue string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		if b.Queue == queue && at >= b.At.D() && at < b.At.D()+b.For.D() {
			factor *= b.Factor
		}
	}
	return factor
}

func (s Spread) draw(r *rand.Rand) float64 {
	sigma := math.Sqrt(math.Log(1 + s.Spread*s.Spread))
	v := s.Mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	if s.Most > 0 {
		v = min(v, s.Most)
	}
	return v
}

// estimateLeast is the shortest duration that a job declares, in milliseconds.
const estimateLeast = 20

func (s *Stream) draw(r *rand.Rand, at time.Duration) Arrival {
	a := Arrival{At: at, stream: s, Hopeless: r.Float64() < s.Hopeless, Job: &flowpb.Job{Queue: s.Queue, Spec: "{}"}}
	saves, apart, image := r.Float64() < s.Checkpoints, uint32(0), ""
	if r.Float64() < s.Apart {
		apart = 1 + uint32(r.IntN(2))
	}
	if s.Images > 0 {
		image = fmt.Sprintf("%s-%d", s.Queue, r.IntN(s.Images))
	}
	cpu, memory := s.MilliCPU.draw(r), s.MemoryMB.draw(r)
	for i := range max(1, int(math.Round(s.Steps.draw(r)))) {
		mean := s.Millis.draw(r)
		step := &flowpb.Step{
			Count: uint32(max(1, math.Round(s.Tasks.draw(r)))), MilliCpu: int64(cpu), MemoryMb: int64(memory), Checkpoints: saves,
			MaxPerRunner: apart, Image: image, Fills: s.Fills, Lasting: s.Lasting,
			EstimateMillis: max(estimateLeast, int64(mean*math.Exp(s.EstimateOff*r.NormFloat64()))),
		}
		if i > 0 {
			step.After = []uint32{uint32(i - 1)}
		}
		millis := make([]float64, step.GetCount())
		for k := range millis {
			millis[k] = mean * math.Exp(s.Uneven*r.NormFloat64())
		}
		a.Job.Steps = append(a.Job.Steps, step)
		a.Millis = append(a.Millis, millis)
	}
	if s.Lasting {
		a.Stay = time.Duration(s.Stay.draw(r)) * time.Millisecond
	}
	return a
}

// work returns the processor time of the job, in core-seconds.
func (a *Arrival) work() (work float64) {
	for i, step := range a.Job.GetSteps() {
		for _, millis := range a.Millis[i] {
			work += millis / 1000 * float64(step.GetMilliCpu()) / 1000
		}
	}
	return work
}

// chain returns how long the job takes where nothing makes it wait.
func (a *Arrival) chain() (chain time.Duration) {
	for _, millis := range a.Millis {
		chain += time.Duration(slices.Max(millis) * float64(time.Millisecond))
	}
	return chain
}

// objective returns the time within which the job is to be done.
func (a *Arrival) objective() time.Duration {
	return time.Duration(a.stream.Stretch*float64(a.chain())) + a.stream.Target.D()
}

// recorded is an arrival in a file of recorded ones.
type recorded struct {
	At       string          `json:"at"`
	Job      json.RawMessage `json:"job"`
	Millis   [][]float64     `json:"millis"`
	Stay     float64         `json:"stay-millis"`
	Hopeless bool            `json:"hopeless"`
}

// WriteArrivals records arrivals, one line of JSON each.
func WriteArrivals(w io.Writer, arrivals []Arrival) (err error) {
	e := json.NewEncoder(w)
	for _, a := range arrivals {
		job, err := protojson.Marshal(a.Job)
		if err != nil {
			return fmt.Errorf("experiment: job %s: %w", a.Job.GetId(), err)
		}
		line := recorded{At: a.At.String(), Job: job, Millis: a.Millis, Stay: a.Stay.Seconds() * 1000, Hopeless: a.Hopeless}
		if err := e.Encode(line); err != nil {
			return fmt.Errorf("experiment: arrivals: %w", err)
		}
	}
	return nil
}

// ReadArrivals reads recorded arrivals; each job's queue must be one of the load.
func ReadArrivals(l *Load, in io.Reader) (arrivals []Arrival, err error) {
	streams := map[string]*Stream{}
	for i := range l.Streams {
		streams[l.Streams[i].Queue] = &l.Streams[i]
	}
	d := json.NewDecoder(in)
	for line := 1; d.More(); line++ {
		var r recorded
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
		if len(r.Millis) != len(job.GetSteps()) {
			return nil, fmt.Errorf("experiment: arrival %d: durations of %d steps, want %d", line, len(r.Millis), len(job.GetSteps()))
		}
		for i, step := range job.GetSteps() {
			if len(r.Millis[i]) != int(step.GetCount()) || step.GetCount() == 0 {
				return nil, fmt.Errorf("experiment: arrival %d: step %d has %d durations, want %d", line, i, len(r.Millis[i]), step.GetCount())
			}
		}
		arrivals = append(arrivals, Arrival{At: at, Job: job, Millis: r.Millis, Stay: time.Duration(math.Round(r.Stay * float64(time.Millisecond))), Hopeless: r.Hopeless, stream: s})
	}
	return arrivals, nil
}
