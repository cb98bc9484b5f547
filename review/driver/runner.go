package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	// startUp is how long a task that lasts takes until it is at work.
	startUp = 300 * time.Millisecond
	// stopTime is how long a stop takes, which is less than the longest time that the pages allow.
	stopTime = 100 * time.Millisecond
	// watchInterval is how often a runner looks at its lease.
	watchInterval = 10 * time.Millisecond
)

// run is a task that a runner executes. Its work takes a time; a task that lasts has none.
type run struct {
	task      string
	number    uint32
	startedAt time.Time
	work      time.Duration
	stopping  bool
}

func (r *run) atWork() bool { return r.work == 0 && time.Since(r.startedAt) > startUp }

func (r *run) percent() int {
	switch {
	case r.work > 0:
		return int(min(99, 100*time.Since(r.startedAt)/r.work))
	case r.atWork():
		return 100
	}
	return 0
}

// life is one life of a machine's runner.
type life struct {
	id        string
	born      time.Time
	token     uint64
	leaseEnd  time.Duration
	runs      map[string]*run
	newest    map[string]uint32
	ends      [][]any
	lastEnd   uint64
	listening net.Listener
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

// machine is a machine with a runner. life is nil while it has none.
type machine struct {
	world   *world
	name    string
	cpu     int64
	address string
	control string
	mu      sync.Mutex
	life    *life
	lives   int
	changed chan struct{}
	// dark is set while the runner is down and nothing on the machine says so.
	dark bool
	// state is what the platform lists of the machine.
	state string
	// token is the highest that orders for the machine have used, and waves are those it had its upkeep in.
	token uint64
	waves map[uint64]bool
}

// begin starts a new life of the runner.
func (m *machine) begin() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.lives++
	l := &life{id: fmt.Sprintf("i-%s-%d", m.name, m.lives), born: time.Now(), runs: map[string]*run{}, newest: map[string]uint32{}, listening: listener}
	m.life, m.state = l, "up"
	m.mu.Unlock()
	m.world.record("%s: runner %s begins", m.name, l.id)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(l, w, r) }), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go m.beats(l, server)
	return nil
}

// end ends the life of the runner with all that runs on it.
func (m *machine) end(state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLocked(state)
}

func (m *machine) endLocked(state string) {
	m.state = state
	if m.life == nil {
		return
	}
	_ = m.life.listening.Close()
	m.life = nil
	m.notify()
}

func (m *machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// beats sends the heartbeats of a life and ends its runs when the lease does.
func (m *machine) beats(l *life, server *http.Server) {
	client := &http.Client{Timeout: time.Second}
	sequence, next := 0, time.Now()
	for {
		m.mu.Lock()
		alive := m.life == l
		if alive {
			m.passTime(l)
		}
		m.mu.Unlock()
		if !alive {
			_ = server.Close()
			return
		}
		if time.Now().After(next) && !m.isDark() {
			sequence++
			next = time.Now().Add(beatInterval)
			m.beat(client, l, sequence)
		}
		time.Sleep(watchInterval)
	}
}

func (m *machine) beat(client *http.Client, l *life, sequence int) {
	body, err := json.Marshal(map[string]any{
		"service": service, "address": m.address, "zone": "kirishima-a", "version": "v1", "slots": 8, "state": "ready", words["coldLeft"]: 0,
		"capacity": map[string]int64{"cpu": m.cpu, "memMb": 64000, "gpu": 0}, "labels": []string{"a", "r1-" + m.name}, "clockMs": l.clock().Milliseconds(),
		"born": l.born.UnixMilli(), "seq": sequence,
	})
	if err != nil {
		panic(err)
	}
	if response, err := client.Post("http://"+m.control+words["heartbeat"]+l.id, "application/json", bytes.NewReader(body)); err == nil {
		_ = response.Body.Close()
	}
}

// passTime ends the runs whose work is done, and all of them once the lease has expired.
func (m *machine) passTime(l *life) {
	for _, r := range l.runs {
		if r.work > 0 && !r.stopping && time.Since(r.startedAt) >= r.work && l.clock() < l.leaseEnd {
			m.endRun(l, r, "done")
		}
	}
	if l.clock() >= l.leaseEnd {
		for _, r := range l.runs {
			m.endRun(l, r, "lapsed")
		}
	}
}

func (m *machine) endRun(l *life, r *run, how string) {
	if l.runs[r.task] != r {
		return
	}
	delete(l.runs, r.task)
	l.newest[r.task] = max(l.newest[r.task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, r.task, r.number, how, ""})
	m.world.record("%s: %s run %d ends %s", m.name, r.task, r.number, how)
	m.notify()
}

// order is the body of a call.
type order struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	WaitMs     int64  `json:"waitMs"`
	token      uint64
	seen       uint64
}

func readOrder(r *http.Request) (o order, err error) {
	var raw json.RawMessage
	if err = json.NewDecoder(r.Body).Decode(&raw); err != nil {
		return o, err
	}
	fields := map[string]json.RawMessage{}
	if err = json.Unmarshal(raw, &fields); err != nil {
		return o, err
	}
	for name, target := range map[string]*uint64{words["token"]: &o.token, words["acknowledged"]: &o.seen} {
		if value, exists := fields[name]; exists {
			if err = json.Unmarshal(value, target); err != nil {
				return o, err
			}
		}
	}
	return o, json.Unmarshal(raw, &o)
}

func (m *machine) serve(l *life, w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(words["expectHeader"]); expected != "" && expected != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == words["start"] && m.crashes(o.Task) || m.isDark() {
		<-r.Context().Done()
		return
	}
	status, answer := m.carryOut(r.Context(), l, r.URL.Path, o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func (m *machine) isDark() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

func reply(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// carryOut carries out a call. The status is 0 if the runner has ended.
func (m *machine) carryOut(ctx context.Context, l *life, path string, o order) (status int, answer map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != l {
		return 0, nil
	}
	m.passTime(l)
	answer = map[string]any{"clockMs": l.clock().Milliseconds(), "born": l.born.UnixMilli()}
	refuse := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if o.token < l.token {
		return refuse("fence")
	}
	l.token = o.token
	if path == words["start"] || path == words["hold"] {
		deadline := min(time.Duration(o.DeadlineMs)*time.Millisecond, l.clock()+maxHold)
		l.leaseEnd = max(l.leaseEnd, deadline)
	}
	switch path {
	case words["start"]:
		present := l.runs[o.Task]
		switch {
		case present != nil && present.number == o.Run:
			return http.StatusOK, answer
		case time.Duration(o.DeadlineMs)*time.Millisecond <= l.clock():
			return refuse("late")
		case present != nil || o.Run <= l.newest[o.Task]:
			return refuse("old")
		}
		l.runs[o.Task] = &run{task: o.Task, number: o.Run, startedAt: time.Now(), work: workOf(o.Spec)}
		m.world.record("%s: %s run %d starts", m.name, o.Task, o.Run)
	case words["stop"]:
		l.newest[o.Task] = max(l.newest[o.Task], o.Run)
		if r := l.runs[o.Task]; r != nil && r.number == o.Run && !r.stopping {
			m.world.judgeEnd(m.name, "stop", r)
			r.stopping = true
			time.AfterFunc(stopTime, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.endRun(l, r, "stopped")
			})
		}
	case words["pace"]:
	case words["hold"]:
		return m.hold(ctx, l, o, answer)
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// workOf returns how long the tasks of a job work, or 0 if they last.
func workOf(spec string) time.Duration {
	d, err := time.ParseDuration(strings.TrimPrefix(spec, "work "))
	if err != nil {
		return 0
	}
	return d
}

func (m *machine) hold(ctx context.Context, l *life, o order, answer map[string]any) (status int, body map[string]any) {
	for len(l.ends) > 0 && l.ends[0][0].(uint64) <= o.seen {
		l.ends = l.ends[1:]
	}
	if len(l.ends) == 0 && o.WaitMs > 0 {
		changed, born := m.changed, l.born
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-ctx.Done():
		}
		m.mu.Lock()
		if m.life != l {
			return 0, nil
		}
		if born != l.born {
			// The runner that got the call has crashed without a word.
			m.mu.Unlock()
			<-ctx.Done()
			m.mu.Lock()
			return 0, nil
		}
	}
	running := [][]any{}
	for _, r := range l.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(), 1000})
	}
	answer["clockMs"], answer["running"], answer["finishedRuns"] = l.clock().Milliseconds(), running, append([][]any{}, l.ends...)
	return http.StatusOK, answer
}
