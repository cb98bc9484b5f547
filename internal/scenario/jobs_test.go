package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// cmdSubmit submits a job and prints its ID:
//
//	submit NAME KIND [count=] [run=] [milli-cpu=] [accelerators=] [urgency=] [key=] [entry=] [gang=yes]
func cmdSubmit(s *system, a arguments) (string, error) {
	spec := client.JobSpec{
		Team: s.document.Teams[0].Name, Name: a.arg(0), Gang: a.text("gang", "") != "",
		Urgency: document.Urgency(a.text("urgency", "")),
		Tasks: []client.TaskSpec{{
			Kind: a.arg(1), Count: a.number("count", 1), MilliCPU: int64(a.number("milli-cpu", 1000)), MemoryBytes: 1 << 30,
			Accelerators: int64(a.number("accelerators", 0)), Run: document.Duration(a.duration("run", time.Second)),
		}},
	}
	entry := a.text("entry", "")
	if entry == "" {
		entry = s.liveEntries()[0]
	}
	job, err := s.operatorClient(entry).Submit(context.Background(), spec, a.text("key", ""))
	if err != nil {
		return "", err
	}
	s.jobIDs[a.arg(0)] = job.ID
	return job.ID + "\n", nil
}

// cmdAwait waits until a job has the given numbers of tasks by phase: await NAME [within=] PHASE=COUNT...
func cmdAwait(s *system, a arguments) (string, error) {
	var text string
	err := eventuallyWithin(a.duration("within", waitTimeout), func() error {
		live := s.liveEntries()
		if len(live) == 0 {
			return errors.New("no live entry")
		}
		job, err := s.operatorClient(live[0]).Job(context.Background(), s.jobIDs[a.arg(0)])
		if err != nil {
			return err
		}
		text = jobSummary(job)
		for phase, want := range a.named {
			if phase != "within" && strconv.Itoa(job.Counts[phase]) != want {
				return fmt.Errorf("%s is %s, want %v", a.arg(0), text, a.named)
			}
		}
		return nil
	})
	return text, err
}

// jobSummary returns the state, counts and details of a job as text for scripts to match.
func jobSummary(job client.Job) string {
	var b strings.Builder
	evictions, attempts := 0, 0
	for _, t := range job.Tasks {
		evictions += int(t.Evictions)
		attempts += int(t.Attempt)
		if t.Detail != "" {
			fmt.Fprintf(&b, "detail: %s\n", t.Detail)
		}
	}
	return fmt.Sprintf("state=%s counts=%v evictions=%d attempts=%d\n%s", job.State, job.Counts, evictions, attempts, b.String())
}

// cmdJob cancels a job, settles its tasks of unknown outcome, drains a worker, or checks that two
// jobs belong to different cells:
//
//	job cancel NAME
//	job settle NAME OUTCOME
//	job drain WORKER
//	job apart NAME NAME
func cmdJob(s *system, a arguments) (string, error) {
	operator := s.operatorClient(s.liveEntries()[0])
	id := s.jobIDs[a.arg(1)]
	switch a.arg(0) {
	case "apart":
		cell := id[:strings.LastIndexByte(id, '-')+1]
		if strings.HasPrefix(s.jobIDs[a.arg(2)], cell) {
			return "", fmt.Errorf("both jobs have the cell prefix %s", cell)
		}
		return "", nil
	case "cancel":
		return "", eventually(func() error {
			_, err := operator.Cancel(context.Background(), id)
			return err
		})
	case "settle":
		job, err := operator.Job(context.Background(), id)
		for _, t := range job.Tasks {
			if err == nil && t.Phase == client.TaskPhaseUnknown {
				_, err = operator.Settle(context.Background(), id, t.ID, client.Settlement{Outcome: a.arg(2)})
			}
		}
		return "", err
	case "drain":
		var errs []error
		for _, e := range s.liveEntries() {
			if err := s.operatorClient(e).Drain(context.Background(), a.arg(1)); err == nil {
				return "", nil
			} else {
				errs = append(errs, err)
			}
		}
		return "", errors.Join(errs...)
	}
	return "", fmt.Errorf("unknown job command %q", a.arg(0))
}

// cmdTasks waits until the workers have recorded at least the given numbers of events, and prints
// the number of events of each kind:
//
//	tasks [KIND=COUNT]... [within=]
func cmdTasks(s *system, a arguments) (string, error) {
	var text string
	err := eventuallyWithin(a.duration("within", waitTimeout), func() error {
		counts := map[string]int{}
		for _, e := range s.workerEvents() {
			counts[string(e.Kind)]++
		}
		text = fmt.Sprintf("%v\n", counts)
		for kind, want := range a.named {
			if kind == "within" {
				continue
			}
			if n, err := strconv.Atoi(want); err != nil || counts[kind] < n {
				return fmt.Errorf("worker events are %v, want at least %v", counts, a.named)
			}
		}
		return nil
	})
	return text, err
}
