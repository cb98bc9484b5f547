package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	standin "github.com/jasminebay/jasminebay/internal/standin/worker"
)

// Bounds of the histograms, in microseconds.
const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// recorder gathers what came of the requests; it is safe for concurrent use.
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
	counts    map[string]int
	onTime    int
	total     int
}

func newRecorder() *recorder { return &recorder{kinds: map[string]*kindRecord{}} }

// enter counts a request that is under way and reports whether there is room for it.
func (r *recorder) enter(limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstanding >= limit {
		return false
	}
	r.outstanding++
	return true
}

func (r *recorder) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outstanding--
}

// add records one request; those that were due before from are left out.
func (r *recorder) add(kind, outcome string, due, now, from time.Time, onTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if due.Before(from) {
		return
	}
	k := r.kinds[kind]
	if k == nil {
		k = &kindRecord{histogram: hdrhistogram.New(1, histogramMax, histogramDigits), counts: map[string]int{}}
		r.kinds[kind] = k
	}
	k.total++
	k.counts[outcome]++
	if outcome != "answered" {
		return
	}
	_ = k.histogram.RecordValue(min(now.Sub(due).Microseconds(), histogramMax))
	if onTime {
		k.onTime++
	}
}

func (r *recorder) submitted(job string, tasks int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refusedJobs++
		return
	}
	r.tasks += tasks
	r.jobs = append(r.jobs, job)
}

// Result is what came out of one run.
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
	Doubled       int          `json:"doubled"`
	UpstreamRuns  int          `json:"upstream-runs"`
	Faults        []string     `json:"faults"`
}

// KindResult is what came of the requests of one kind.
type KindResult struct {
	Kind       string         `json:"kind"`
	Total      int            `json:"total"`
	OnTime     int            `json:"on-time"`
	Outcomes   map[string]int `json:"outcomes"`
	P50Millis  float64        `json:"p50-millis"`
	P99Millis  float64        `json:"p99-millis"`
	P999Millis float64        `json:"p999-millis"`
}

// result sums what callers were told and what the target knows of it.
func (r *run) result(ctx context.Context) *Result {
	out := &Result{
		Variant: r.variant.Name(), Scale: r.variant.Scale, Seconds: (r.file.Duration.D() - r.file.WarmUp.D()).Seconds(),
		TasksAccepted: r.record.tasks, JobsRefused: r.record.refusedJobs,
	}
	r.target.judge(ctx, r, out)
	for _, kind := range r.document.Services[0].Kinds {
		if k := r.record.kinds[kind.Name]; k != nil {
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
		Kind: name, Total: k.total, OnTime: k.onTime, Outcomes: k.counts,
		P50Millis: millis(50), P99Millis: millis(99), P999Millis: millis(99.9),
	}
}

// countTasks sums the events of the workers after the warm-up.
func (r *run) countTasks(out *Result, events []standin.Event) {
	cores := map[string]float64{}
	for _, j := range r.file.Jobs {
		if kind := r.document.TaskKind(j.Kind); kind != nil {
			cores[kind.Class] = j.coreSeconds()
		}
	}
	end := r.began.Add(r.file.Duration.D())
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

// Head is the first row of a table of results.
func Head() []string {
	return []string{"VARIANT", "SCALE", "KIND", "TOTAL", "ANSWERED", "ON-TIME", "P50-MS", "P99-MS", "P99.9-MS", "NOT-RUN", "UNKNOWN", "FAILED", "DOUBLED", "RUNS", "FINISHED", "CORE-S", "EVICTIONS"}
}

// Rows returns the result as rows of a table, one for each kind.
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
