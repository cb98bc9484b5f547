package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	standin "github.com/jasminebay/jasminebay/internal/standin/worker"
)

const (
	maxLatencyMicros   = int64(2 * time.Minute / time.Microsecond)
	histogramPrecision = 3
)

// recorder collects the outcomes of requests and jobs. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex
	kinds       map[string]*kindRecord
	outstanding int
	tasks       int
	refusedJobs int
	jobs        []string
}

type kindRecord struct {
	histogram *hdrhistogram.Histogram
	outcomes  map[string]int
	onTime    int
	total     int
}

func newRecorder() *recorder { return &recorder{kinds: map[string]*kindRecord{}} }

// acquire adds an outstanding request, and reports whether fewer than limit were outstanding.
func (r *recorder) acquire(limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstanding >= limit {
		return false
	}
	r.outstanding++
	return true
}

func (r *recorder) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding--
}

// recordRequest records the outcome of a request; requests due before measureFrom are ignored.
func (r *recorder) recordRequest(kind, outcome string, due, now, measureFrom time.Time, withinTarget bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if due.Before(measureFrom) {
		return
	}
	k := r.kinds[kind]
	if k == nil {
		k = &kindRecord{histogram: hdrhistogram.New(1, maxLatencyMicros, histogramPrecision), outcomes: map[string]int{}}
		r.kinds[kind] = k
	}
	k.total++
	k.outcomes[outcome]++
	if outcome != "answered" {
		return
	}
	_ = k.histogram.RecordValue(min(now.Sub(due).Microseconds(), maxLatencyMicros))
	if withinTarget {
		k.onTime++
	}
}

func (r *recorder) recordJob(job string, tasks int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refusedJobs++
		return
	}
	r.tasks += tasks
	r.jobs = append(r.jobs, job)
}

// Result is the outcome of one run.
type Result struct {
	Variant       string       `json:"variant"`
	Scale         float64      `json:"scale"`
	Seconds       float64      `json:"seconds"`
	Kinds         []KindResult `json:"kinds"`
	TasksAccepted int          `json:"tasks-accepted"`
	TasksFinished int          `json:"tasks-finished"`
	CoreSeconds   float64      `json:"core-seconds-finished"`
	Evictions     int          `json:"evictions"`
	JobsRefused   int          `json:"jobs-refused"`
	// Doubled counts requests of kinds that are not idempotent and yet ran more than once.
	Doubled      int      `json:"doubled"`
	UpstreamRuns int      `json:"upstream-runs"`
	Faults       []string `json:"faults"`
}

// KindResult is the outcome of the requests of one kind.
type KindResult struct {
	Kind       string         `json:"kind"`
	Total      int            `json:"total"`
	OnTime     int            `json:"on-time"`
	Outcomes   map[string]int `json:"outcomes"`
	P50Millis  float64        `json:"p50-millis"`
	P99Millis  float64        `json:"p99-millis"`
	P999Millis float64        `json:"p999-millis"`
}

// result combines the outcomes that callers observed with the records of the target.
func (r *run) result(ctx context.Context) *Result {
	out := &Result{
		Variant: r.variant.Name(), Scale: r.variant.Scale, Seconds: (r.file.Duration.D() - r.file.WarmUp.D()).Seconds(),
		TasksAccepted: r.recorder.tasks, JobsRefused: r.recorder.refusedJobs,
	}
	r.target.collect(ctx, r, out)
	for _, kind := range r.document.Services[0].Kinds {
		if k := r.recorder.kinds[kind.Name]; k != nil {
			out.Kinds = append(out.Kinds, k.result(kind.Name))
		}
	}
	return out
}

func (k *kindRecord) result(name string) KindResult {
	millis := func(q float64) float64 {
		return float64(k.histogram.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return KindResult{
		Kind: name, Total: k.total, OnTime: k.onTime, Outcomes: k.outcomes,
		P50Millis: millis(50), P99Millis: millis(99), P999Millis: millis(99.9),
	}
}

// countTasks counts the tasks that finished and the evictions up to the end of the load, and checks
// the events of the workers for faults.
func (r *run) countTasks(out *Result, events []standin.Event) {
	cores := map[string]float64{}
	for _, j := range r.file.Jobs {
		if kind := r.document.TaskKind(j.Kind); kind != nil {
			cores[kind.Class] = j.coreSeconds()
		}
	}
	end := r.startedAt.Add(r.file.Duration.D())
	for _, e := range events {
		switch {
		case e.At.After(end):
		case e.Kind == standin.EventFinish:
			out.TasksFinished++
			out.CoreSeconds += cores[e.Class]
		case e.Kind == standin.EventStop, e.Kind == standin.EventLeaseExpired:
			out.Evictions++
		}
	}
	out.Faults = standin.CheckHistory(events)
}

// Header returns the header row of a table of results.
func Header() []string {
	return []string{"VARIANT", "SCALE", "KIND", "TOTAL", "ANSWERED", "ON-TIME", "P50-MS", "P99-MS", "P99.9-MS", "NOT-RUN", "UNKNOWN", "FAILED", "DOUBLED", "RUNS", "FINISHED", "CORE-S", "EVICTIONS"}
}

// Rows returns the result as table rows, one for each kind. Figures of the whole run are in the
// first row only.
func (r *Result) Rows() (rows [][]string) {
	for i, k := range r.Kinds {
		row := []string{
			r.Variant, fmt.Sprint(r.Scale), k.Kind, fmt.Sprint(k.Total), fmt.Sprint(k.Outcomes["answered"]),
			fmt.Sprintf("%.1f%%", 100*float64(k.OnTime)/float64(max(k.Total, 1))),
			fmt.Sprintf("%.1f", k.P50Millis), fmt.Sprintf("%.1f", k.P99Millis), fmt.Sprintf("%.1f", k.P999Millis),
			fmt.Sprint(k.Outcomes["not-run"]), fmt.Sprint(k.Outcomes["unknown"]),
			fmt.Sprint(k.Outcomes["failed"] + k.Outcomes["broken"] + k.Outcomes["wrong"] + k.Outcomes["not-sent"]),
		}
		if i == 0 {
			row = append(row, fmt.Sprint(r.Doubled), fmt.Sprint(r.UpstreamRuns), fmt.Sprint(r.TasksFinished), fmt.Sprintf("%.0f", r.CoreSeconds), fmt.Sprint(r.Evictions))
		} else {
			row = append(row, "", "", "", "", "")
		}
		rows = append(rows, row)
	}
	return rows
}
