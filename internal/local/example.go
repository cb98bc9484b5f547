package local

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// Sizes of the example.
const (
	exampleRequests = 300
	exampleRun      = 2500 * time.Millisecond
	exampleTimeout  = 20 * time.Second
	examplePlace    = 300 * time.Millisecond
	exampleInForce  = 3 * time.Second
)

// Result is one check of the example.
type Result struct {
	Check    string
	Held     bool
	Measured string
}

// example is one run of the example.
type example struct {
	cluster *Cluster
	results []Result
	jobs    []client.Job
	never   string
}

// Example sends requests of each kind, runs a job of each kind, evicts, replaces an entry
// and changes the configuration, and checks what must hold. step is told of each part.
func Example(ctx context.Context, c *Cluster, step func(string)) []Result {
	ctx, cancel := context.WithTimeout(ctx, exampleTimeout)
	defer cancel()
	e := &example{cluster: c}
	parts := []struct {
		name string
		run  func(context.Context)
	}{
		{"requests", e.requests}, {"jobs", e.submit}, {"eviction", e.eviction},
		{"configuration", e.configuration}, {"replacing an entry", e.replace}, {"waiting for the jobs", e.wait},
		{"judging", e.judge},
	}
	for _, p := range parts {
		step(p.name)
		p.run(ctx)
	}
	return e.results
}

func (e *example) add(check string, held bool, format string, args ...any) {
	e.results = append(e.results, Result{Check: check, Held: held, Measured: fmt.Sprintf(format, args...)})
}

// requests sends requests of every kind through every entry at once.
func (e *example) requests(ctx context.Context) {
	service := e.cluster.document.Services[0]
	for _, kind := range service.Kinds {
		whole, latencies := e.send(ctx, service.Name, kind.Name)
		slices.Sort(latencies)
		p99 := latencies[len(latencies)*99/100]
		e.add("every "+kind.Name+" gets its own whole answer", whole == exampleRequests, "%d of %d, p99 %v", whole, exampleRequests, p99.Round(time.Millisecond))
	}
}

func (e *example) send(ctx context.Context, service, kind string) (whole int, latencies []time.Duration) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	limit := make(chan struct{}, len(e.cluster.machines)*e.cluster.options.Slots/2)
	for i := range exampleRequests {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			body := fmt.Appendf(nil, "%s-%d-%s", kind, i, bytes.Repeat([]byte{'x'}, i))
			entry := e.cluster.entries[i%len(e.cluster.entries)]
			began := time.Now()
			answer, err := client.New(client.Options{Address: entry.Callers}).Do(ctx, client.Request{Service: service, Kind: kind, Body: body})
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(began))
			if err == nil && bytes.Equal(answer.Body, body) {
				whole++
			}
		})
	}
	wait.Wait()
	return whole, latencies
}

func (e *example) operator(i int) *client.Client {
	return client.New(client.Options{Address: e.cluster.entries[i].Operators})
}

// submit submits a job of each kind of task, one that can never run, and one twice.
func (e *example) submit(ctx context.Context) {
	team := e.cluster.document.Teams[0].Name
	for i, kind := range e.cluster.document.TaskKinds {
		spec := client.JobSpec{Team: team, Name: kind.Name, Tasks: []client.TaskSpec{{
			Kind: kind.Name, Count: 4, MilliCPU: 2000, MemoryBytes: 1 << 30, Run: document.Duration(exampleRun),
		}}}
		key := "example-" + kind.Name
		job, err := e.operator(i%len(e.cluster.entries)).Submit(ctx, spec, key)
		again, againErr := e.operator((i+1)%len(e.cluster.entries)).Submit(ctx, spec, key)
		e.add("the same key gives the same job of "+kind.Name, err == nil && againErr == nil && job.ID == again.ID, "%s", errorOr(errors.Join(err, againErr), job.ID))
		if err == nil {
			e.jobs = append(e.jobs, job)
		}
	}
	never, err := e.operator(0).Submit(ctx, client.JobSpec{Team: team, Name: "too-large", Tasks: []client.TaskSpec{{
		Kind: e.cluster.document.TaskKinds[0].Name, MilliCPU: 1 << 40, Run: document.Duration(exampleRun),
	}}}, "")
	e.never = never.ID
	if err != nil {
		e.add("a job that can never run is accepted", false, "%v", err)
	}
}

func detailOf(job client.Job) string {
	if len(job.Tasks) == 0 {
		return ""
	}
	return job.Tasks[0].Detail
}

func errorOr(err error, text string) string {
	if err != nil {
		return err.Error()
	}
	return text
}

func (e *example) await(ctx context.Context, id string) (job client.Job, err error) {
	for {
		job, err = e.operator(0).Job(ctx, id)
		if err == nil && job.State != client.JobStateActive {
			return job, nil
		}
		t := time.NewTimer(readyPoll)
		select {
		case <-t.C:
		case <-ctx.Done():
			return job, errors.Join(err, ctx.Err())
		}
	}
}

// configuration races two operators and waits until the change is in force everywhere.
func (e *example) configuration(ctx context.Context) {
	environment := e.cluster.document.Environment
	raw, revision, err := e.operator(0).Environment(ctx, environment)
	if err != nil {
		e.add("configuration can be read", false, "%v", err)
		return
	}
	began := time.Now()
	first, err := e.operator(0).Apply(ctx, environment, revision, raw)
	_, lost := e.operator(1).Apply(ctx, environment, revision, raw)
	var conflict *client.Error
	refused := errors.As(lost, &conflict) && conflict.Revision == first
	e.add("of two operators one wins and the other is told the current revision", err == nil && refused, "revision %d", first)
	inForce := e.inForce(ctx, environment, first)
	took := time.Since(began)
	e.add("an accepted configuration is in force in every data centre within 3 s", inForce && took < exampleInForce, "%v", took.Round(time.Millisecond))
}

func (e *example) inForce(ctx context.Context, environment string, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*exampleInForce)
	defer cancel()
	return poll(ctx, func(ctx context.Context) error {
		status, err := e.operator(len(e.cluster.entries)-1).Status(ctx, environment)
		if err != nil {
			return err
		}
		for _, dc := range status.DataCentres {
			if !dc.InForce || dc.Revision < revision {
				return errors.New("not in force")
			}
		}
		return nil
	}) == nil
}

// eviction drains a machine that runs tasks.
func (e *example) eviction(ctx context.Context) {
	for _, m := range e.cluster.machines {
		if !e.runsTask(ctx, m) {
			continue
		}
		drained := false
		for i := range e.cluster.entries {
			drained = drained || e.operator(i).Drain(ctx, m.ID) == nil
		}
		e.add("a worker can be drained", drained, "%s", m.ID)
		return
	}
	e.add("a worker can be drained", false, "no task is running")
}

// runsTask waits for a task on a machine for as long as one may take to be placed.
func (e *example) runsTask(ctx context.Context, m *Machine) bool {
	ctx, cancel := context.WithTimeout(ctx, examplePlace)
	defer cancel()
	return poll(ctx, func(context.Context) error {
		if len(m.Worker.CPUByClass()) == 0 {
			return errors.New("idle")
		}
		return nil
	}) == nil
}

// replace stops one entry and starts another in its data centre.
func (e *example) replace(_ context.Context) {
	last := e.cluster.entries[len(e.cluster.entries)-1]
	began := time.Now()
	last.Stop()
	_, err := e.cluster.StartEntry(last.ID+"-next", last.DataCentre)
	e.add("an entry can be replaced", err == nil, "%v", time.Since(began).Round(time.Millisecond))
}

func (e *example) wait(ctx context.Context) {
	never, err := e.await(ctx, e.never)
	e.add("a job that can never run is told so", err == nil && never.Counts["infeasible"] == 1, "%s", errorOr(err, detailOf(never)))
	evictions := uint32(0)
	for _, job := range e.jobs {
		done, err := e.await(ctx, job.ID)
		e.add("every task of "+job.Name+" finishes", err == nil && done.Counts["finished"] == len(job.Tasks), "%s", errorOr(err, fmt.Sprint(done.Counts)))
		for _, t := range done.Tasks {
			evictions += t.Evictions
		}
	}
	e.add("evicted tasks were resumed", evictions > 0, "%d evictions", evictions)
}

// judge reads the records of the workers and upstreams.
func (e *example) judge(context.Context) {
	var events []worker.Event
	over, peak, connections := 0, 0, 0
	for _, m := range e.cluster.machines {
		events = append(events, m.Worker.Events()...)
		if !m.Worker.PeakReserved().Fits(e.cluster.options.Capacity) {
			over++
		}
		r := m.Upstream.Record()
		peak, connections = max(peak, r.PeakRunning), max(connections, r.PeakConnections)
	}
	e.add("no worker is given more than it holds", over == 0, "%d workers over", over)
	e.add("slots and connections are never passed", peak <= e.cluster.options.Slots && connections <= e.cluster.options.Connections, "%d slots, %d connections", peak, connections)
	faults := worker.CheckHistory(events)
	e.add("no task runs twice at once, finishes twice or resumes wrongly", len(faults) == 0, "%d events, %v", len(events), faults)
}
