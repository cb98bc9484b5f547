package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/jasminebay/jasminebay/internal/local"
	"github.com/jasminebay/jasminebay/internal/standin/upstream"
	standin "github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/pkg/client"
)

// target is the system under load.
type target interface {
	// callers and operators return the addresses of the entry of the n-th data centre.
	callers(n int) string
	operators(n int) string
	// applyFault applies a fault of the load file.
	applyFault(Fault) error
	// collect adds the outcomes of tasks and requests that the target knows of to the result.
	collect(ctx context.Context, r *run, out *Result)
	stop()
}

// ErrFaults is returned if a load file with faults is to run against a system that is already
// running. Only a system started for the load can be given faults.
var ErrFaults = errors.New("load: a running system can't be given the faults of the load file")

// localTarget is a system in this process, whose stand-ins for upstreams and workers record events.
type localTarget struct{ cluster *local.Cluster }

func (t localTarget) callers(n int) string {
	return t.cluster.Entries()[n%len(t.cluster.Entries())].Callers
}

func (t localTarget) operators(n int) string {
	return t.cluster.Entries()[n%len(t.cluster.Entries())].Operators
}

func (t localTarget) stop() { t.cluster.Stop() }

func (t localTarget) applyFault(f Fault) error {
	m := t.cluster.Machines()[f.Runner]
	switch f.Kind {
	case "slow":
		m.Upstream.SetFaults(upstream.Faults{SlowFactor: f.Factor})
	case "fail-all":
		m.Upstream.SetFaults(upstream.Faults{FailAll: true})
	case "lost":
		m.StopAgent()
	case "healed":
		m.Upstream.SetFaults(upstream.Faults{})
	}
	return nil
}

// collect evaluates the records of the stand-ins.
func (t localTarget) collect(_ context.Context, r *run, out *Result) {
	var events []standin.Event
	runs := map[string]int{}
	for _, m := range t.cluster.Machines() {
		events = append(events, m.Worker.Events()...)
		for _, x := range m.Upstream.Record().Runs {
			out.UpstreamRuns++
			id, _, _ := strings.Cut(x.Body, ";")
			if kind := r.document.Services[0].Kind(x.Kind); kind != nil && !kind.Idempotent {
				runs[id]++
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			out.Doubled++
		}
	}
	r.countTasks(out, events)
}

// Remote is the address of a system that is already running.
type Remote struct {
	// Callers and Operators are URLs of entries, one for each data centre or one for all.
	Callers   []string
	Operators []string
}

// remoteTarget is a system in other processes, which is observed only through the answers to
// callers and operators.
type remoteTarget struct{ Remote }

func (t remoteTarget) callers(n int) string   { return t.Callers[n%len(t.Callers)] }
func (t remoteTarget) operators(n int) string { return t.Operators[n%len(t.Operators)] }
func (t remoteTarget) applyFault(Fault) error { return ErrFaults }
func (t remoteTarget) stop()                  {}

// collect queries the states of the jobs that this run submitted.
func (t remoteTarget) collect(ctx context.Context, r *run, out *Result) {
	for i, id := range r.recorder.jobs {
		job, err := client.New(client.Options{Address: t.operators(i), HTTP: r.httpClient}).Job(ctx, id)
		if err != nil {
			out.Faults = append(out.Faults, fmt.Sprintf("job %s: %v", id, err))
			continue
		}
		out.TasksFinished += job.Counts["finished"]
		for _, task := range job.Tasks {
			out.Evictions += int(task.Evictions)
			if j := r.file.jobStream(task.Kind); j != nil && task.Phase == "finished" {
				out.CoreSeconds += j.coreSeconds()
			}
		}
	}
}

// fetchDocument returns the document that is in force in a running system for an environment.
func fetchDocument(ctx context.Context, f *File, environment string, t Remote, c *http.Client) (raw []byte, err error) {
	if len(f.Faults) > 0 {
		return nil, ErrFaults
	}
	raw, _, err = client.New(client.Options{Address: t.Operators[0], HTTP: c}).Environment(ctx, environment)
	return raw, err
}
