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

// Parameters of the example.
const (
	// exampleRequests is the number of requests of each kind.
	exampleRequests = 300
	// exampleRunTime is the declared run time of a task.
	exampleRunTime = 2500 * time.Millisecond
	exampleTimeout = 20 * time.Second
	// examplePlacementTimeout is how long a machine is given to be assigned a task.
	examplePlacementTimeout = 300 * time.Millisecond
	// exampleInForceLimit is how long an accepted configuration may take to be in force.
	exampleInForceLimit = 3 * time.Second
)

// Result is the result of one check of the example.
type Result struct {
	Check  string
	Passed bool
	// Measured is the value that the check was made on, as text.
	Measured string
}

// example holds the state of one run of the example.
type example struct {
	cluster      *Cluster
	results      []Result
	jobs         []client.Job
	infeasibleID string
}

// Example sends requests of each kind, runs a job of each kind of task, drains a worker, changes the
// configuration and replaces an entry, and returns the results of its checks. It calls step with the
// name of each part before it runs the part.
func Example(ctx context.Context, c *Cluster, step func(string)) []Result {
	ctx, cancel := context.WithTimeout(ctx, exampleTimeout)
	defer cancel()
	e := &example{cluster: c}
	parts := []struct {
		name string
		run  func(context.Context)
	}{
		{"requests", e.sendRequests}, {"jobs", e.submitJobs}, {"eviction", e.drainWorker},
		{"configuration", e.changeConfiguration}, {"replacing an entry", e.replaceEntry}, {"waiting for the jobs", e.awaitJobs},
		{"checking the records", e.checkRecords},
	}
	for _, p := range parts {
		step(p.name)
		p.run(ctx)
	}
	return e.results
}

func (e *example) addResult(check string, passed bool, format string, args ...any) {
	e.results = append(e.results, Result{Check: check, Passed: passed, Measured: fmt.Sprintf(format, args...)})
}

// sendRequests sends concurrent requests of every kind through every entry and checks that each
// gets its own answer.
func (e *example) sendRequests(ctx context.Context) {
	service := e.cluster.document.Services[0]
	for _, kind := range service.Kinds {
		intact, latencies := e.send(ctx, service.Name, kind.Name)
		slices.Sort(latencies)
		p99 := latencies[len(latencies)*99/100]
		e.addResult("every "+kind.Name+" gets its own complete answer", intact == exampleRequests, "%d of %d, p99 %v", intact, exampleRequests, p99.Round(time.Millisecond))
	}
}

// send sends requests of a kind, at most half as many at once as there are slots. It returns how
// many answers echoed their request, and the latencies of all.
func (e *example) send(ctx context.Context, service, kind string) (intact int, latencies []time.Duration) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	semaphore := make(chan struct{}, len(e.cluster.machines)*e.cluster.options.Slots/2)
	for i := range exampleRequests {
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			body := fmt.Appendf(nil, "%s-%d-%s", kind, i, bytes.Repeat([]byte{'x'}, i))
			entry := e.cluster.entries[i%len(e.cluster.entries)]
			began := time.Now()
			answer, err := client.New(client.Options{Address: entry.Callers}).Do(ctx, client.Request{Service: service, Kind: kind, Body: body})
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(began))
			if err == nil && bytes.Equal(answer.Body, body) {
				intact++
			}
		})
	}
	wait.Wait()
	return intact, latencies
}

func (e *example) operatorClient(i int) *client.Client {
	return client.New(client.Options{Address: e.cluster.entries[i].Operators})
}

// submitJobs submits a job of each kind of task, each twice with the same key, and one job that can
// never run.
func (e *example) submitJobs(ctx context.Context) {
	team := e.cluster.document.Teams[0].Name
	for i, kind := range e.cluster.document.TaskKinds {
		spec := client.JobSpec{Team: team, Name: kind.Name, Tasks: []client.TaskSpec{{
			Kind: kind.Name, Count: 4, MilliCPU: 2000, MemoryBytes: 1 << 30, Run: document.Duration(exampleRunTime),
		}}}
		key := "example-" + kind.Name
		job, err := e.operatorClient(i%len(e.cluster.entries)).Submit(ctx, spec, key)
		repeated, repeatErr := e.operatorClient((i+1)%len(e.cluster.entries)).Submit(ctx, spec, key)
		e.addResult("the same key gives the same job of "+kind.Name, err == nil && repeatErr == nil && job.ID == repeated.ID, "%s", errorOr(errors.Join(err, repeatErr), job.ID))
		if err == nil {
			e.jobs = append(e.jobs, job)
		}
	}
	infeasible, err := e.operatorClient(0).Submit(ctx, client.JobSpec{Team: team, Name: "too-large", Tasks: []client.TaskSpec{{
		Kind: e.cluster.document.TaskKinds[0].Name, MilliCPU: 1 << 40, Run: document.Duration(exampleRunTime),
	}}}, "")
	e.infeasibleID = infeasible.ID
	if err != nil {
		e.addResult("a job that can never run is accepted", false, "%v", err)
	}
}

func firstTaskDetail(job client.Job) string {
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

// waitForEnd polls a job until it is no longer active.
func (e *example) waitForEnd(ctx context.Context, id string) (job client.Job, err error) {
	for {
		job, err = e.operatorClient(0).Job(ctx, id)
		if err == nil && job.State != client.JobStateActive {
			return job, nil
		}
		t := time.NewTimer(pollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			return job, errors.Join(err, ctx.Err())
		}
	}
}

// changeConfiguration applies two changes to the same revision, of which the second must be refused,
// and waits until the first is in force in every data centre.
func (e *example) changeConfiguration(ctx context.Context) {
	environment := e.cluster.document.Environment
	raw, revision, err := e.operatorClient(0).Environment(ctx, environment)
	if err != nil {
		e.addResult("configuration can be read", false, "%v", err)
		return
	}
	began := time.Now()
	accepted, err := e.operatorClient(0).Apply(ctx, environment, revision, raw)
	_, secondErr := e.operatorClient(1).Apply(ctx, environment, revision, raw)
	var conflict *client.Error
	conflicted := errors.As(secondErr, &conflict) && conflict.Revision == accepted
	e.addResult("of two operators that change one revision the first succeeds and the other is told the current revision", err == nil && conflicted, "revision %d", accepted)
	inForce := e.waitInForce(ctx, environment, accepted)
	took := time.Since(began)
	e.addResult("an accepted configuration is in force in every data centre within 3 s", inForce && took < exampleInForceLimit, "%v", took.Round(time.Millisecond))
}

func (e *example) waitInForce(ctx context.Context, environment string, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*exampleInForceLimit)
	defer cancel()
	return poll(ctx, func(ctx context.Context) error {
		status, err := e.operatorClient(len(e.cluster.entries)-1).Status(ctx, environment)
		if err != nil {
			return err
		}
		for _, dc := range status.DataCentres {
			if !dc.InForce || dc.Revision < revision {
				return errors.New("local: revision is not in force in every data centre")
			}
		}
		return nil
	}) == nil
}

// drainWorker drains the worker of a machine that runs a task, so that the task is evicted.
func (e *example) drainWorker(ctx context.Context) {
	for _, m := range e.cluster.machines {
		if !e.runsTask(ctx, m) {
			continue
		}
		drained := false
		for i := range e.cluster.entries {
			drained = drained || e.operatorClient(i).Drain(ctx, m.ID) == nil
		}
		e.addResult("a worker can be drained", drained, "%s", m.ID)
		return
	}
	e.addResult("a worker can be drained", false, "no task is running")
}

// runsTask reports whether a task runs on a machine within examplePlacementTimeout.
func (e *example) runsTask(ctx context.Context, m *Machine) bool {
	ctx, cancel := context.WithTimeout(ctx, examplePlacementTimeout)
	defer cancel()
	return poll(ctx, func(context.Context) error {
		if len(m.Worker.CPUByClass()) == 0 {
			return errors.New("local: no task is running")
		}
		return nil
	}) == nil
}

// replaceEntry stops an entry and starts another one in the same data centre.
func (e *example) replaceEntry(_ context.Context) {
	last := e.cluster.entries[len(e.cluster.entries)-1]
	began := time.Now()
	last.Stop()
	_, err := e.cluster.StartEntry(last.ID+"-next", last.DataCentre)
	e.addResult("an entry can be replaced", err == nil, "%v", time.Since(began).Round(time.Millisecond))
}

// awaitJobs waits until the jobs have ended and checks their outcomes.
func (e *example) awaitJobs(ctx context.Context) {
	infeasible, err := e.waitForEnd(ctx, e.infeasibleID)
	e.addResult("a job that can never run is reported as infeasible", err == nil && infeasible.Counts["infeasible"] == 1, "%s", errorOr(err, firstTaskDetail(infeasible)))
	evictions := uint32(0)
	for _, job := range e.jobs {
		done, err := e.waitForEnd(ctx, job.ID)
		e.addResult("every task of "+job.Name+" finishes", err == nil && done.Counts["finished"] == len(job.Tasks), "%s", errorOr(err, fmt.Sprint(done.Counts)))
		for _, t := range done.Tasks {
			evictions += t.Evictions
		}
	}
	e.addResult("evicted tasks were resumed", evictions > 0, "%d evictions", evictions)
}

// checkRecords checks the records of the workers and upstreams.
func (e *example) checkRecords(context.Context) {
	var events []worker.Event
	overcommitted, peakSlots, peakConnections := 0, 0, 0
	for _, m := range e.cluster.machines {
		events = append(events, m.Worker.Events()...)
		if !m.Worker.PeakReserved().Fits(e.cluster.options.Capacity) {
			overcommitted++
		}
		record := m.Upstream.Record()
		peakSlots, peakConnections = max(peakSlots, record.PeakRunning), max(peakConnections, record.PeakConnections)
	}
	e.addResult("no worker is allocated more than its capacity", overcommitted == 0, "%d workers over capacity", overcommitted)
	e.addResult("limits on slots and connections are never exceeded", peakSlots <= e.cluster.options.Slots && peakConnections <= e.cluster.options.Connections, "%d slots, %d connections", peakSlots, peakConnections)
	violations := worker.CheckHistory(events)
	e.addResult("no task runs twice at once, finishes twice or resumes from another task's checkpoint", len(violations) == 0, "%d events, %v", len(events), violations)
}
