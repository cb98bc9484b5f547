package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner of the platform, with the calls that the pages name.
type runner struct {
	id, service, zone string
	cpu, memMb        int64
	labels            []string
	fleet             *fleet
	stopGrace         time.Duration
	maxHold           time.Duration

	mu       sync.Mutex
	born     int64
	began    time.Time
	token    uint64
	leaseEnd time.Duration
	runs     map[string]*activeRun
	highest  map[string]int
	ends     []endedRun
	lastEnd  int
	changed  chan struct{}
	draining bool
	// failing makes all that is started fail soon after it.
	failing bool
	// down makes the runner refuse all connections' calls without an answer.
	down bool
	stop chan struct{}
	// before, if set, may delay or drop a call, before or after it was carried out.
	before func(path string, c *runnerCall) (drop bool)
	after  func(path string, c *runnerCall) (drop bool)
}

// startup is how long a task that lasts takes until it is at work.
const startup = 300 * time.Millisecond

// activeRun is a run that holds room on a runner.
type activeRun struct {
	task       string
	run        int
	spec       string
	startedAt  time.Duration
	work       time.Duration
	lasting    bool
	failsAfter time.Duration
	stoppingAt time.Duration
	cpu, memMb int64
	gang       *gang
	checkpoint string
}

type endedRun struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

// runnerCall is the body of a call to a runner.
type runnerCall struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMs     int64  `json:"deadlineMs"`
	FencingToken   uint64 `json:"-"`
	LastCheckpoint string `json:"lastCheckpoint"`
	LastSeen       int    `json:"-"`
	WaitMs         int64  `json:"waitMs"`
	Percent        int    `json:"percent"`
}

func newRunner(f *fleet, id, service, zone string, cpu int64, labels ...string) *runner {
	r := &runner{
		id: id, service: service, zone: zone, cpu: cpu, memMb: 64000, labels: labels, fleet: f, stopGrace: 200 * time.Millisecond, maxHold: 6 * time.Second,
		born: time.Now().UnixMilli(), began: time.Now(), runs: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}), stop: make(chan struct{}),
	}
	go r.work()
	return r
}

func (r *runner) clock() time.Duration { return time.Since(r.began) }

func (r *runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// work ends the runs whose time has come.
func (r *runner) work() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
		r.endDue()
		r.mu.Unlock()
	}
}

func (r *runner) endDue() {
	now := r.clock()
	for _, a := range r.sorted() {
		switch {
		case now >= r.leaseEnd:
			r.end(a, "lapsed")
		case a.stoppingAt > 0 && now >= a.stoppingAt:
			r.end(a, "stopped")
		case a.stoppingAt > 0:
		case a.failsAfter > 0 && now >= a.startedAt+a.failsAfter:
			r.end(a, "failed")
		case a.gang != nil:
			if how := a.gang.ends(now-a.startedAt, a.work); how != "" {
				r.end(a, how)
			}
		case !a.lasting && now >= a.startedAt+a.work:
			r.end(a, "done")
		}
	}
}

func (r *runner) sorted() (runs []*activeRun) {
	for _, a := range r.runs {
		runs = append(runs, a)
	}
	slices.SortFunc(runs, func(a, b *activeRun) int { return strings.Compare(a.task, b.task) })
	return runs
}

func (r *runner) end(a *activeRun, how string) {
	delete(r.runs, a.task)
	r.highest[a.task] = max(r.highest[a.task], a.run)
	r.lastEnd++
	if a.gang != nil && how != "done" {
		a.gang.breakUp()
	}
	r.ends = append(r.ends, endedRun{number: r.lastEnd, task: a.task, run: a.run, how: how, saved: a.checkpoint})
	r.fleet.ended(r, a, how)
	r.notify()
}

func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var c runnerCall
	if err := readRunnerCall(request.Body, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	before, after, down := r.before, r.after, r.down
	r.mu.Unlock()
	if down || before != nil && before(request.URL.Path, &c) {
		panic(http.ErrAbortHandler)
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, answer := r.carryOut(request, &c)
	if after != nil && after(request.URL.Path, &c) {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func (r *runner) carryOut(request *http.Request, c *runnerCall) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endDue()
	if c.FencingToken < r.token {
		return r.refusal("fence")
	}
	r.token = c.FencingToken
	switch request.URL.Path {
	case wire["start"]:
		return r.start(c)
	case wire["stop"]:
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		if a := r.runs[c.Task]; a != nil && a.run == c.Run && a.stoppingAt == 0 {
			a.stoppingAt = r.clock() + r.stopGrace
			r.fleet.note("runner %s stops %s run %d", r.id, c.Task, c.Run)
		}
		return r.answer()
	case wire["pace"]:
		return r.answer()
	case wire["hold"]:
		return r.hold(request, c)
	}
	return http.StatusNotFound, map[string]any{}
}

func (r *runner) extend(deadlineMs int64) {
	deadline := min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+r.maxHold)
	r.leaseEnd = max(r.leaseEnd, deadline)
}

func (r *runner) refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born, "reason": reason}
}

func (r *runner) answer() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born}
}

func (r *runner) start(c *runnerCall) (int, map[string]any) {
	if time.Duration(c.DeadlineMs)*time.Millisecond <= r.clock() {
		return r.refusal("late")
	}
	a := r.runs[c.Task]
	if a != nil && a.run == c.Run {
		r.extend(c.DeadlineMs)
		return r.answer()
	}
	if a != nil || c.Run <= r.highest[c.Task] {
		r.extend(c.DeadlineMs)
		return r.refusal("old")
	}
	a = &activeRun{task: c.Task, run: c.Run, spec: c.Spec, startedAt: r.clock(), work: 20 * time.Millisecond, checkpoint: c.LastCheckpoint}
	members := 0
	for _, field := range strings.Fields(c.Spec) {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "work-ms":
			a.work = time.Duration(number) * time.Millisecond
		case "cpu":
			a.cpu = number
		case "mem":
			a.memMb = number
		case "lasting":
			a.lasting = true
		case "fails-ms":
			a.failsAfter = time.Duration(number) * time.Millisecond
		case "gang":
			members = int(number)
		}
	}
	used := a.cpu
	for _, other := range r.runs {
		used += other.cpu
	}
	if used > r.cpu {
		r.extend(c.DeadlineMs)
		return r.refusal("room")
	}
	if r.failing {
		a.failsAfter = 5 * time.Millisecond
	}
	if members > 0 {
		a.gang = r.fleet.joinGang(c.Task, c.Run, members)
	}
	r.extend(c.DeadlineMs)
	r.runs[c.Task] = a
	r.fleet.started(r, a)
	return r.answer()
}

func (r *runner) hold(request *http.Request, c *runnerCall) (int, map[string]any) {
	r.extend(c.DeadlineMs)
	for len(r.ends) > 0 && r.ends[0].number <= c.LastSeen {
		r.fleet.acknowledged(r, r.ends[0])
		r.ends = r.ends[1:]
	}
	if len(r.ends) == 0 && c.WaitMs > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMs) * time.Millisecond):
		case <-request.Context().Done():
		}
		r.mu.Lock()
		r.endDue()
	}
	running, ended := [][]any{}, [][]any{}
	now := r.clock()
	for _, a := range r.sorted() {
		percent := 100
		switch {
		case a.lasting && now < a.startedAt+startup:
			percent = 0
		case !a.lasting:
			percent = min(99, int(100*(now-a.startedAt)/max(1, a.work)))
		}
		running = append(running, []any{a.task, a.run, a.checkpoint, percent, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	status, answer := r.answer()
	answer["running"], answer["finishedRuns"] = running, ended
	return status, answer
}

// sendHeartbeats sends heartbeats to the agent until the runner is closed.
func (r *runner) sendHeartbeats(agent string) {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		r.mu.Lock()
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": "127.0.0.1:1", "zone": r.zone, "version": "v1", "slots": 8, "state": state, wire["cold"]: 0,
			"capacity": map[string]any{"cpu": r.cpu, "memMb": r.memMb, "gpu": 0}, "labels": r.labels, "clockMs": r.clock().Milliseconds(), "born": r.born, "seq": seq,
		})
		down := r.down
		r.mu.Unlock()
		if !down {
			if response, err := client.Post("http://"+agent+wire["heartbeat"]+r.id, "application/json", bytes.NewReader(body)); err == nil {
				_ = response.Body.Close()
			}
		}
		select {
		case <-r.stop:
			return
		case <-time.After(1100 * time.Millisecond):
		}
	}
}
