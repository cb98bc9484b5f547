package experiment

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/flow/engine"
	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	// service is the service that all runners of an experiment belong to.
	service = "runners"
	// settleTime lets the engine hear from all runners before the first job.
	settleTime = 3 * time.Second
	// tickInterval is how often the owner of a cell ticks.
	tickInterval = 50 * time.Millisecond
	// readInterval is how often the states of jobs are read.
	readInterval = 50 * time.Millisecond
	lease        = 5 * time.Second
	lateFactor   = 3
	// commitJobs is how many jobs one commit holds.
	commitJobs = 12
	// workMost bounds the worth of a job by its work, against the mean of its stream.
	workMost = 4
)

// Options configures a run.
type Options struct {
	Load     *Load
	Arrivals []Arrival
	Policy   engine.Policy
	// PolicyName is the policy's name in the result.
	PolicyName string
	Seed       uint64
}

// world is a run under way.
type world struct {
	load    *Load
	seed    uint64
	now     time.Duration
	engine  *engine.Engine
	runners []*runner
	jobs    map[string]*client
	calls   map[uint64]*client
	reads   map[uint64]*client
	call    uint64
	later   []*client
	presses map[string]float64
	batch   *engine.Batch
	batchAt time.Duration
	tally   tally
}

// Simulate plays arrivals against the engine.
func Simulate(ctx context.Context, o Options) (r *Result, err error) {
	began := time.Now()
	w := &world{load: o.Load, seed: o.Seed, jobs: map[string]*client{}, calls: map[uint64]*client{}, reads: map[uint64]*client{}, presses: map[string]float64{}}
	w.engine = engine.New(engine.Options{Epoch: 1, Lease: lease, Retention: time.Hour, LateFactor: lateFactor, Policy: o.Policy, Log: slog.New(slog.DiscardHandler)})
	w.engine.SetGrantUntil(lengthMost * 4)
	queues := map[string]engine.Queue{}
	for i := range o.Load.Streams {
		s := &o.Load.Streams[i]
		queues[s.Queue] = engine.Queue{Name: s.Queue, Service: service, Priority: s.Priority, MaxAttempts: s.MaxAttempts, Stretch: s.Stretch, Target: s.Target.D()}
	}
	w.engine.Configure(queues)
	w.addRunners()
	clients := make([]*client, len(o.Arrivals))
	for i := range o.Arrivals {
		a := o.Arrivals[i]
		a.Job = w.withTargets(a.Job)
		c := &client{arrival: &a, due: settleTime + a.At, first: settleTime + a.At}
		clients[i], w.jobs[a.Job.GetId()] = c, c
	}
	w.later = clients
	end := settleTime + o.Load.Length.D() + o.Load.Drain.D()
	for w.now = 0; w.now < end; w.now += pass {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		w.step()
	}
	return w.result(o, clients, time.Since(began)), nil
}

// withTargets returns a copy of a job whose lasting tasks serve users of their own.
func (w *world) withTargets(job *flowpb.Job) *flowpb.Job {
	job = proto.CloneOf(job)
	for _, s := range job.GetSteps() {
		if s.GetLasting() {
			s.TargetMillis = int64(w.load.Serving.TailMillis * w.load.Serving.TargetFactor)
		}
	}
	return job
}

func (w *world) moment() engine.Timestamp {
	return engine.Timestamp{Monotonic: time.Hour + w.now, UnixMillis: time.Hour.Milliseconds() + w.now.Milliseconds()}
}

func (w *world) addRunners() {
	l := w.load.Runners
	for i := range l.Count {
		size := 1.0
		if len(l.Sizes) > 0 {
			size = l.Sizes[i%len(l.Sizes)]
		}
		name := "runner-" + strconv.Itoa(i)
		r := &runner{
			node: name, cores: size * float64(l.MilliCPU) / 1000, random: rand.New(rand.NewPCG(w.seed, uint64(i))),
			info: &flowpb.Runner{Id: name, Born: 1, Service: service, MilliCpu: int64(size * float64(l.MilliCPU)), MemoryMb: int64(size * float64(l.MemoryMB)), Labels: []string{"rack-" + strconv.Itoa(i/l.PerRack)}},
			// Reports of different runners fall on different passes.
			reported: -time.Duration(i%int(reportInterval/pass)) * pass,
		}
		w.runners = append(w.runners, r)
		w.engine.Connect(name)
		w.engine.Sync(name, &flowpb.Sync{Runner: r.info}, w.moment())
	}
	w.carryOut()
}

func (w *world) step() {
	w.beginFaults()
	for len(w.later) > 0 && w.later[0].due <= w.now {
		c := w.later[0]
		w.later = w.later[1:]
		c.act(w)
	}
	for _, r := range w.runners {
		r.advance(w)
		if !r.lost() && (len(r.ends) > 0 || len(r.results) > 0 || w.now-r.reported >= reportInterval) {
			r.report(w)
		}
	}
	if w.now%tickInterval == 0 {
		w.engine.Tick(w.moment())
	}
	if w.batch != nil && w.now >= w.batchAt {
		b := w.batch
		w.batch = nil
		w.engine.Committed(b, w.moment())
	}
	if w.batch == nil {
		w.engine.Place(w.moment())
		if b := w.engine.TakeBatch(commitJobs); b != nil {
			w.batch, w.batchAt = b, w.now+w.load.Commit.D()
		}
	}
	w.carryOut()
	w.readStates()
	w.observe()
}

// readStates reads the states of the jobs that are under way, as their clients would.
func (w *world) readStates() {
	if w.now%readInterval != 0 {
		return
	}
	for id, c := range w.jobs {
		if !c.accepted || c.ended > 0 || c.arrival.lasting() {
			continue
		}
		w.call++
		w.reads[w.call] = c
		w.engine.Read(w.call, id)
	}
	w.carryOut()
}

// beginFaults begins the faults whose time has come, on runners spread over the racks.
func (w *world) beginFaults() {
	for i := range w.load.Faults {
		f := &w.load.Faults[i]
		begin := settleTime + f.At.D()
		if w.now < begin || w.now >= begin+pass {
			continue
		}
		hit := *f
		hit.At = document.Duration(begin)
		for k := range min(f.Runners, len(w.runners)) {
			w.runners[k*len(w.runners)/f.Runners].fault = &hit
		}
	}
}

func (w *world) carryOut() {
	effects := w.engine.TakeEffects()
	for _, reply := range effects.Replies {
		if c := w.calls[reply.Call]; c != nil {
			delete(w.calls, reply.Call)
			c.answered(w, reply)
		}
		if c := w.reads[reply.Call]; c != nil {
			delete(w.reads, reply.Call)
			if reply.State == "completed" || reply.State == "failed" {
				c.ended, c.outcome = w.now, reply.State
			}
		}
	}
	for _, r := range w.runners {
		if o := effects.Orders[r.node]; o != nil && !r.lost() {
			r.obey(w, o)
		}
	}
}

// newRun returns the run that a start asks for.
func (w *world) newRun(s *flowpb.Start) *run {
	parts := strings.Split(s.GetTask(), ".")
	c := w.jobs[parts[0]]
	number, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	return &run{id: driver.RunID{Task: s.GetTask(), Run: s.GetRun()}, step: c.arrival.Job.GetSteps()[number], arrival: c.arrival, need: c.arrival.Millis[number][index]}
}

// client hands in one job, and once more after a refusal.
type client struct {
	arrival *Arrival
	// due is when it acts next, first when it first handed the job in.
	due, first time.Duration
	tries      int
	accepted   bool
	refused    bool
	cancelled  bool
	begun      time.Duration
	ended      time.Duration
	outcome    string
	// earned is the credit of a lasting job so far, as a share of what could be.
	earned, owed float64
}

func (c *client) act(w *world) {
	w.call++
	w.calls[w.call] = c
	if c.accepted {
		c.cancelled = true
		w.engine.Cancel(w.call, c.arrival.Job.GetId(), w.moment())
		return
	}
	c.tries++
	w.engine.Submit(w.call, proto.CloneOf(c.arrival.Job), w.moment())
}

func (c *client) answered(w *world, reply engine.Reply) {
	switch {
	case c.accepted:
	case reply.Status == flowpb.Status_STATUS_OK:
		c.accepted = true
		if c.arrival.Stay > 0 {
			w.schedule(c, w.now+c.arrival.Stay)
		}
	case c.tries <= w.load.Clients.Retries && w.now+reply.RetryAfter-c.first < w.load.Clients.Patience.D():
		w.tally.retries++
		w.schedule(c, w.now+reply.RetryAfter)
	default:
		c.refused = true
	}
}

func (w *world) schedule(c *client, due time.Duration) {
	c.due = due
	i, _ := slices.BinarySearchFunc(w.later, due, func(other *client, due time.Duration) int { return cmp.Compare(other.due, due) })
	w.later = slices.Insert(w.later, i, c)
}

// first notes the first start of a job.
func (w *world) first(x *run) {
	if c := w.jobs[x.id.Task[:strings.IndexByte(x.id.Task, '.')]]; c.begun == 0 {
		c.begun = w.now
	}
}
