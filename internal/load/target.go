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
	// callers and operators return the addresses of the entry for the n-th data centre.
	callers(n int) string
	operators(n int) string
	// apply brings about a fault of the load file.
	apply(Fault) error
	// judge adds what became of the tasks and requests to the result.
	judge(ctx context.Context, r *run, out *Result)
	stop()
}

// ErrFaults tells that a load file has faults, which only a started system can have.
var ErrFaults = errors.New("load: a running system can't be given the faults of the load file")

// started is a system in this process whose stand-ins keep records.
type started struct{ cluster *local.Cluster }

func (s started) callers(n int) string {
	return s.cluster.Entries()[n%len(s.cluster.Entries())].Callers
}

func (s started) operators(n int) string {
	return s.cluster.Entries()[n%len(s.cluster.Entries())].Operators
}

func (s started) stop() { s.cluster.Stop() }

func (s started) apply(f Fault) error {
	m := s.cluster.Machines()[f.Runner]
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

// judge reads the stand-ins' own records.
func (s started) judge(_ context.Context, r *run, out *Result) {
	var events []standin.Event
	runs := map[string]int{}
	for _, m := range s.cluster.Machines() {
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

// Remote names a system that runs already.
type Remote struct {
	// Callers and Operators are addresses of entries, one for each data centre or one for all.
	Callers   []string
	Operators []string
}

// remote is a system of other processes, of which only the answers to callers and operators
// are known.
type remote struct{ Remote }

func (t remote) callers(n int) string   { return t.Callers[n%len(t.Callers)] }
func (t remote) operators(n int) string { return t.Operators[n%len(t.Operators)] }
func (t remote) apply(Fault) error      { return ErrFaults }
func (t remote) stop()                  {}

// judge asks for the jobs of this run.
func (t remote) judge(ctx context.Context, r *run, out *Result) {
	for i, id := range r.record.jobs {
		job, err := client.New(client.Options{Address: t.operators(i), HTTP: r.http}).Job(ctx, id)
		if err != nil {
			out.Faults = append(out.Faults, fmt.Sprintf("job %s: %v", id, err))
			continue
		}
		out.TasksFinished += job.Counts["finished"]
		for _, task := range job.Tasks {
			out.Evictions += int(task.Evictions)
			if j := r.file.job(task.Kind); j != nil && task.Phase == "finished" {
				out.CoreSeconds += j.coreSeconds()
			}
		}
	}
}

// attach returns the document that a running system has in force.
func attach(ctx context.Context, f *File, environment string, t Remote, c *http.Client) (raw []byte, err error) {
	if len(f.Faults) > 0 {
		return nil, ErrFaults
	}
	raw, _, err = client.New(client.Options{Address: t.Operators[0], HTTP: c}).Environment(ctx, environment)
	return raw, err
}
