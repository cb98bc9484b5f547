package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const waitPollInterval = 200 * time.Millisecond

type applyCommand struct {
	clientFlags
	Revision uint64 `long:"revision" description:"revision that was read; 0 for a new document" value-name:"NUMBER"`
	Check    bool   `long:"check" description:"only check the document"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"document, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute checks a document and, without --check, applies it.
func (c *applyCommand) Execute([]string) error {
	raw, err := readFile(c.streams.in, c.Args.File)
	if err != nil {
		return err
	}
	d, err := document.Parse(raw)
	var faults document.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			_, _ = fmt.Fprintln(c.streams.err, f)
		}
		return usageError{fmt.Errorf("%s: %d fault(s)", c.Args.File, len(faults))}
	}
	if c.Check {
		_, err = fmt.Fprintln(c.streams.out, "no faults")
		return err
	}
	revision, err := c.client().Apply(c.ctx, d.Environment, c.Revision, raw)
	if err != nil {
		return err
	}
	return c.printResult(c.streams.out, map[string]any{"environment": d.Environment, "revision": revision},
		[][]string{{"ENVIRONMENT", "REVISION"}, {d.Environment, strconv.FormatUint(revision, 10)}})
}

type getCommand struct {
	clientFlags
	Args struct {
		Environment string `positional-arg-name:"ENVIRONMENT"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute prints the document to standard output and its revision to standard error.
func (c *getCommand) Execute([]string) error {
	raw, revision, err := c.client().Environment(c.ctx, c.Args.Environment)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.streams.err, "revision", revision)
	_, err = c.streams.out.Write(raw)
	return err
}

type promoteCommand struct {
	clientFlags
	Revision uint64 `long:"revision" description:"revision of the target that was read; 0 if it has no document" value-name:"NUMBER"`
	Args     struct {
		From string `positional-arg-name:"FROM"`
		To   string `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute applies the document of one environment to another.
func (c *promoteCommand) Execute([]string) error {
	revision, err := c.client().Promote(c.ctx, c.Args.From, c.Args.To, c.Revision)
	if err != nil {
		return err
	}
	return c.printResult(c.streams.out, map[string]any{"environment": c.Args.To, "revision": revision},
		[][]string{{"ENVIRONMENT", "REVISION"}, {c.Args.To, strconv.FormatUint(revision, 10)}})
}

type evacuateCommand struct {
	clientFlags
	Environment string `long:"environment" env:"JASMINEBAY_ENVIRONMENT" default:"production" description:"environment whose document is changed" value-name:"NAME"`
	End         bool   `long:"end" description:"take the data centre back"`
	Args        struct {
		DataCentre string `positional-arg-name:"DATA-CENTRE"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute evacuates a data centre, or takes it back with --end.
func (c *evacuateCommand) Execute([]string) error {
	change, state := c.client().Evacuate, "evacuated"
	if c.End {
		change, state = c.client().EndEvacuation, "in use"
	}
	revision, err := change(c.ctx, c.Environment, c.Args.DataCentre)
	if err != nil {
		return err
	}
	return c.printResult(c.streams.out, map[string]any{"data-centre": c.Args.DataCentre, "environment": c.Environment, "evacuated": !c.End, "revision": revision},
		[][]string{{"DATA-CENTRE", "STATE", "ENVIRONMENT", "REVISION"}, {c.Args.DataCentre, state, c.Environment, strconv.FormatUint(revision, 10)}})
}

type statusCommand struct {
	clientFlags
	Args struct {
		Environment string `positional-arg-name:"ENVIRONMENT"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute prints which revision is in force in each data centre, and which ones are evacuated.
func (c *statusCommand) Execute([]string) error {
	s, err := c.client().Status(c.ctx, c.Args.Environment)
	if err != nil {
		return err
	}
	rows := [][]string{{"DATA-CENTRE", "STATE", "IN-FORCE", "REVISION", "ENTRIES", "AGENTS", "AGENTS-REVISION", "HEARD"}}
	for _, d := range s.DataCentres {
		state := "in use"
		if d.Evacuated {
			state = "evacuated"
		}
		rows = append(rows, []string{
			d.Name, state, strconv.FormatBool(d.InForce), strconv.FormatUint(d.Revision, 10), strconv.Itoa(d.Entries),
			strconv.Itoa(d.Agents), strconv.FormatUint(d.AgentsRevision, 10), fmt.Sprintf("%d ms ago", d.HeardMillisAgo),
		})
	}
	return c.printResult(c.streams.out, s, rows)
}

type submitCommand struct {
	clientFlags
	Key  string `long:"key" description:"idempotency key; the same key gives the same job" value-name:"KEY"`
	Wait bool   `long:"wait" description:"wait until the job has ended; exit 1 unless every task finished"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"job, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute submits a job and prints it. With --wait it returns an error unless every task finished.
func (c *submitCommand) Execute([]string) error {
	raw, err := readFile(c.streams.in, c.Args.File)
	if err != nil {
		return err
	}
	var spec client.JobSpec
	if faults := document.Strict(raw, &spec); len(faults) > 0 {
		return usageError{faults}
	}
	job, err := c.client().Submit(c.ctx, spec, c.Key)
	if err != nil {
		return err
	}
	if c.Wait {
		if job, err = c.waitForEnd(job); err != nil {
			return err
		}
	}
	if err := printJob(&c.clientFlags, c.streams, job); err != nil {
		return err
	}
	if c.Wait && job.Counts["finished"] != len(job.Tasks) {
		return fmt.Errorf("job %s: %d of %d tasks finished", job.ID, job.Counts["finished"], len(job.Tasks))
	}
	return nil
}

// waitForEnd polls a job until it is no longer active.
func (c *submitCommand) waitForEnd(job client.Job) (client.Job, error) {
	defer showProgress(c.streams.err, "")
	for job.State == client.JobStateActive {
		showProgress(c.streams.err, "%s: %v", job.ID, job.Counts)
		select {
		case <-time.After(waitPollInterval):
		case <-c.ctx.Done():
			return job, c.ctx.Err()
		}
		next, err := c.client().Job(c.ctx, job.ID)
		if err != nil {
			return job, err
		}
		job = next
	}
	return job, nil
}

// printJob prints a job with its tasks.
func printJob(f *clientFlags, s streams, job client.Job) error {
	rows := [][]string{{"TASK", "KIND", "PHASE", "ATTEMPT", "WORKER", "EVICTIONS", "FAILURES", "DETAIL"}}
	for _, t := range job.Tasks {
		rows = append(rows, []string{
			t.ID, t.Kind, t.Phase, strconv.Itoa(int(t.Attempt)), t.Worker, strconv.Itoa(int(t.Evictions)), strconv.Itoa(int(t.Failures)), t.Detail,
		})
	}
	if f.Output == "table" {
		_, _ = fmt.Fprintf(s.out, "job %s  team %s  urgency %s  state %s\n", job.ID, job.Team, job.Urgency, job.State)
	}
	return f.printResult(s.out, job, rows)
}

type cancelCommand struct {
	clientFlags
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute cancels a job and prints it.
func (c *cancelCommand) Execute([]string) error {
	job, err := c.client().Cancel(c.ctx, c.Args.Job)
	if err != nil {
		return err
	}
	return printJob(&c.clientFlags, c.streams, job)
}

type jobsCommand struct {
	clientFlags
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes"`
	ctx     context.Context
	streams streams
}

// Execute prints the newest jobs, or one job with its tasks.
func (c *jobsCommand) Execute([]string) error {
	if c.Args.Job != "" {
		job, err := c.client().Job(c.ctx, c.Args.Job)
		if err != nil {
			return err
		}
		return printJob(&c.clientFlags, c.streams, job)
	}
	jobs, err := c.client().Jobs(c.ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"JOB", "TEAM", "NAME", "URGENCY", "STATE", "TASKS"}}
	for _, j := range jobs {
		counts, err := json.Marshal(j.Counts)
		if err != nil {
			return err
		}
		rows = append(rows, []string{j.ID, j.Team, j.Name, string(j.Urgency), j.State, string(counts)})
	}
	return c.printResult(c.streams.out, jobs, rows)
}

type settleCommand struct {
	clientFlags
	Outcome string `long:"outcome" description:"what became of the task" choice:"finished" choice:"not-run" required:"yes"`
	Args    struct {
		Job  string `positional-arg-name:"JOB"`
		Task string `positional-arg-name:"TASK"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute records the outcome of a task and prints its job.
func (c *settleCommand) Execute([]string) error {
	job, err := c.client().Settle(c.ctx, c.Args.Job, c.Args.Task, client.Settlement{Outcome: c.Outcome})
	if err != nil {
		return err
	}
	return printJob(&c.clientFlags, c.streams, job)
}

type drainCommand struct {
	clientFlags
	Args struct {
		Worker string `positional-arg-name:"WORKER"`
	} `positional-args:"yes" required:"yes"`
	ctx     context.Context
	streams streams
}

// Execute starts to drain a worker.
func (c *drainCommand) Execute([]string) error {
	if err := c.client().Drain(c.ctx, c.Args.Worker); err != nil {
		return err
	}
	return c.printResult(c.streams.out, map[string]string{"worker": c.Args.Worker, "state": "draining"},
		[][]string{{"WORKER", "STATE"}, {c.Args.Worker, "draining"}})
}

type workersCommand struct {
	clientFlags
	ctx     context.Context
	streams streams
}

// Execute prints the workers.
func (c *workersCommand) Execute([]string) error {
	workers, err := c.client().Workers(c.ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"WORKER", "DATA-CENTRE", "RACK", "CELL", "STATE", "FREE-CPU", "FREE-MEMORY", "FREE-ACCELERATORS", "TASKS"}}
	for _, w := range workers {
		rows = append(rows, workerRow(w))
	}
	return c.printResult(c.streams.out, workers, rows)
}

// workerRow returns the table row of a worker. It shows resources that the entry does not know
// as "-", and an unknown number of tasks as "some".
func workerRow(w client.Worker) []string {
	state := "ready"
	switch {
	case w.Draining:
		state = "draining"
	case w.Rebuilding:
		state = "rebuilding"
	case w.Yielding:
		state = "yielding"
	}
	row := []string{w.ID, w.DataCentre, w.Rack, w.Cell, state, "-", "-", "-", "0"}
	if w.Holding {
		row[len(row)-1] = "some"
	}
	if w.Free != nil && w.Tasks != nil {
		copy(row[5:], []string{
			fmt.Sprintf("%dm", w.Free.MilliCPU), strconv.FormatInt(w.Free.MemoryBytes, 10),
			strconv.FormatInt(w.Free.Accelerators, 10), strconv.Itoa(*w.Tasks),
		})
	}
	return row
}
