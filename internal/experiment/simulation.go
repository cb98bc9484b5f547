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
	"github.com/jasminebay/jasminebay/internal/flow/owner"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	// service is the name of the service that all runners belong to.
	service = "runners"
	// warmUpTime is the time before the first job, in which the engine receives reports of all
	// runners.
	warmUpTime = 3 * time.Second
	// tickInterval is the interval of engine ticks, as in a cell owner.
	tickInterval = 50 * time.Millisecond
	// pollInterval is the interval at which clients read the states of their jobs.
	pollInterval = 50 * time.Millisecond
	runnerLease  = 5 * time.Second
	// lateFactor bounds the value of late results: a job that takes more than this many times its
	// objective earns nothing.
	lateFactor = 3
	// maxValueFactor limits the value of a job that needs more processor time than the mean of its
	// queue, as a multiple of the value of a mean job.
	maxValueFactor = 4
)

// Options configures a simulation.
type Options struct {
	Load     *Load
	Arrivals []Arrival
	Policy   engine.Policy
	// PolicyName is the name of the policy in the result.
	PolicyName string
	Seed       uint64
}

// simulation is the state of a simulation.
type simulation struct {
	load    *Load
	seed    uint64
	now     time.Duration
	engine  *engine.Engine
	runners []*runner
	// jobs holds the clients by the id of their job.
	jobs map[string]*client
	// calls holds the clients of submissions and cancellations that are not answered yet, reads those
	// of reads, by the number of the call.
	calls map[uint64]*client
	reads map[uint64]*client
	// lastCall is the number of the last call of the engine.
	lastCall uint64
	// pending holds the clients that will submit or cancel a job, ordered by nextAction.
	pending []*client
	// interferenceByPair caches the results of interference.
	interferenceByPair map[string]float64
	// batch is the commit in progress, or nil.
	batch          *engine.Batch
	batchDurableAt time.Duration
	counters       counters
}

// Simulate runs the engine in virtual time with the given arrivals.
func Simulate(ctx context.Context, o Options) (r *Result, err error) {
	startedAt := time.Now()
	sim := &simulation{load: o.Load, seed: o.Seed, jobs: map[string]*client{}, calls: map[uint64]*client{}, reads: map[uint64]*client{}, interferenceByPair: map[string]float64{}}
	sim.engine = engine.New(engine.Options{Epoch: 1, Lease: runnerLease, Retention: time.Hour, LateFactor: lateFactor, Policy: o.Policy, Log: slog.New(slog.DiscardHandler)})
	sim.engine.SetGrantUntil(maxLength * 4)
	queues := map[string]engine.Queue{}
	for i := range o.Load.Streams {
		s := &o.Load.Streams[i]
		queues[s.Queue] = engine.Queue{Name: s.Queue, Service: service, Priority: s.Priority, MaxAttempts: s.MaxAttempts, Stretch: s.Stretch, Target: s.Target.D()}
	}
	sim.engine.Configure(queues)
	sim.addRunners()
	clients := make([]*client, len(o.Arrivals))
	for i := range o.Arrivals {
		a := o.Arrivals[i]
		a.Job = sim.withLatencyTargets(a.Job)
		c := &client{arrival: &a, nextAction: warmUpTime + a.At, submittedAt: warmUpTime + a.At}
		clients[i], sim.jobs[a.Job.GetId()] = c, c
	}
	sim.pending = clients
	end := warmUpTime + o.Load.Length.D() + o.Load.Drain.D()
	for sim.now = 0; sim.now < end; sim.now += timeStep {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		sim.advance()
	}
	return sim.result(o, clients, time.Since(startedAt)), nil
}

// withLatencyTargets returns a copy of a job with latency targets on the long-running steps, which
// makes their tasks latency-critical.
func (sm *simulation) withLatencyTargets(job *flowpb.Job) *flowpb.Job {
	job = proto.CloneOf(job)
	for _, s := range job.GetSteps() {
		if s.GetLasting() {
			s.TargetMillis = int64(sm.load.LatencyCritical.TailMillis * sm.load.LatencyCritical.TargetFactor)
		}
	}
	return job
}

func (sm *simulation) timestamp() engine.Timestamp {
	return engine.Timestamp{Monotonic: time.Hour + sm.now, UnixMillis: time.Hour.Milliseconds() + sm.now.Milliseconds()}
}

func (sm *simulation) addRunners() {
	l := sm.load.Runners
	for i := range l.Count {
		size := 1.0
		if len(l.SizeFactors) > 0 {
			size = l.SizeFactors[i%len(l.SizeFactors)]
		}
		name := "runner-" + strconv.Itoa(i)
		r := &runner{
			node: name, cores: size * float64(l.MilliCPU) / 1000, rng: rand.New(rand.NewPCG(sm.seed, uint64(i))),
			info: &flowpb.Runner{Id: name, Born: 1, Service: service, MilliCpu: int64(size * float64(l.MilliCPU)), MemoryMb: int64(size * float64(l.MemoryMB)), Labels: []string{"rack-" + strconv.Itoa(i/l.PerRack)}},
			// Spreads the reports of the runners over the report interval.
			lastReport: -time.Duration(i%int(reportInterval/timeStep)) * timeStep,
		}
		sm.runners = append(sm.runners, r)
		sm.engine.Connect(name)
		sm.engine.Sync(name, &flowpb.Sync{Runner: r.info}, sm.timestamp())
	}
	sm.applyEffects()
}

func (sm *simulation) advance() {
	sm.startFaults()
	for len(sm.pending) > 0 && sm.pending[0].nextAction <= sm.now {
		c := sm.pending[0]
		sm.pending = sm.pending[1:]
		c.act(sm)
	}
	for _, r := range sm.runners {
		r.advance(sm)
		if !r.lost() && (len(r.ends) > 0 || len(r.results) > 0 || sm.now-r.lastReport >= reportInterval) {
			r.sendReport(sm)
		}
	}
	if sm.now%tickInterval == 0 {
		sm.engine.Tick(sm.timestamp())
	}
	if sm.batch != nil && sm.now >= sm.batchDurableAt {
		b := sm.batch
		sm.batch = nil
		sm.engine.Committed(b, sm.timestamp())
	}
	if sm.batch == nil {
		sm.engine.Place(sm.timestamp())
		if b := sm.engine.TakeBatch(owner.BatchLimits(), nil); b != nil {
			sm.batch, sm.batchDurableAt = b, sm.now+sm.load.CommitDelay.D()
		}
	}
	sm.applyEffects()
	sm.pollJobs()
	sm.observe()
}

// pollJobs reads the states of accepted jobs that have not ended, as their clients would.
func (sm *simulation) pollJobs() {
	if sm.now%pollInterval != 0 {
		return
	}
	for id, c := range sm.jobs {
		if !c.accepted || c.endedAt > 0 || c.arrival.longRunning() {
			continue
		}
		sm.lastCall++
		sm.reads[sm.lastCall] = c
		sm.engine.Read(sm.lastCall, id)
	}
	sm.applyEffects()
}

// startFaults starts the faults that are due, on runners spread evenly over the racks.
func (sm *simulation) startFaults() {
	for i := range sm.load.Faults {
		f := &sm.load.Faults[i]
		begin := warmUpTime + f.At.D()
		if sm.now < begin || sm.now >= begin+timeStep {
			continue
		}
		active := *f
		active.At = document.Duration(begin)
		for k := range min(f.Runners, len(sm.runners)) {
			sm.runners[k*len(sm.runners)/f.Runners].fault = &active
		}
	}
}

func (sm *simulation) applyEffects() {
	effects := sm.engine.TakeEffects()
	for _, reply := range effects.Replies {
		if c := sm.calls[reply.Call]; c != nil {
			delete(sm.calls, reply.Call)
			c.handleReply(sm, reply)
		}
		if c := sm.reads[reply.Call]; c != nil {
			delete(sm.reads, reply.Call)
			if reply.State == "completed" || reply.State == "failed" {
				c.endedAt, c.outcome = sm.now, reply.State
			}
		}
	}
	for _, r := range sm.runners {
		if o := effects.Orders[r.node]; o != nil && !r.lost() {
			r.applyOrders(sm, o)
		}
	}
}

// newRun returns the run that a start order asks for. Task names are JOB.OCCURRENCE.STEP.INDEX.
func (sm *simulation) newRun(s *flowpb.Start) *run {
	parts := strings.Split(s.GetTask(), ".")
	c := sm.jobs[parts[0]]
	number, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	return &run{id: driver.RunID{Task: s.GetTask(), Run: s.GetRun()}, step: c.arrival.Job.GetSteps()[number], arrival: c.arrival, needMillis: c.arrival.TaskMillis[number][index]}
}

// client submits one job, submits it again after a refusal, and cancels it if it is long-running.
type client struct {
	arrival *Arrival
	// nextAction is the time of the next submission or cancellation, submittedAt that of the first
	// submission.
	nextAction, submittedAt time.Duration
	submissions             int
	accepted                bool
	refused                 bool
	cancelled               bool
	startedAt               time.Duration
	endedAt                 time.Duration
	outcome                 string
	// earned is the credit of a long-running job so far, possible the largest credit that it could
	// have: 1 for each credit interval.
	earned, possible float64
}

func (c *client) act(sim *simulation) {
	sim.lastCall++
	sim.calls[sim.lastCall] = c
	if c.accepted {
		c.cancelled = true
		sim.engine.Cancel(sim.lastCall, c.arrival.Job.GetId(), sim.timestamp())
		return
	}
	c.submissions++
	sim.engine.Submit(sim.lastCall, proto.CloneOf(c.arrival.Job), sim.timestamp())
}

func (c *client) handleReply(sim *simulation, reply engine.Reply) {
	switch {
	case c.accepted:
	case reply.Status == flowpb.Status_STATUS_OK:
		c.accepted = true
		if c.arrival.Lifetime > 0 {
			sim.schedule(c, sim.now+c.arrival.Lifetime)
		}
	case c.submissions <= sim.load.Clients.MaxRetries && sim.isPatient(c, reply.RetryAfter):
		sim.counters.retries++
		sim.schedule(c, sim.now+c.retryDelay(sim, reply.RetryAfter))
	default:
		c.refused = true
	}
}

// isPatient reports whether a client that is told to come back after a time does so.
func (sm *simulation) isPatient(c *client, after time.Duration) bool {
	limit := sm.load.Clients.RetryTimeout.D()
	return limit == 0 || sm.now+after-c.submittedAt < limit
}

// retryDelay returns how long a client waits that is told to come back after a time. The time is sent in
// whole seconds, rounded up.
func (c *client) retryDelay(sim *simulation, after time.Duration) time.Duration {
	told := max(1, (after+time.Second-1)/time.Second) * time.Second
	early := sim.load.Clients.Early * hashFraction(c.arrival.Job.GetId()+strconv.Itoa(c.submissions))
	return time.Duration(float64(told) * (1 - early)).Round(timeStep)
}

// schedule inserts a client into pending, which is ordered by nextAction.
func (sm *simulation) schedule(c *client, due time.Duration) {
	c.nextAction = due
	i, _ := slices.BinarySearchFunc(sm.pending, due, func(other *client, due time.Duration) int { return cmp.Compare(other.nextAction, due) })
	sm.pending = slices.Insert(sm.pending, i, c)
}

// recordStart records the time of the first start of a job.
func (sm *simulation) recordStart(x *run) {
	if c := sm.jobs[x.id.Task[:strings.IndexByte(x.id.Task, '.')]]; c.startedAt == 0 {
		c.startedAt = sm.now
	}
}
