// Package worker is a test double of the platform's worker. It simulates tasks with timers, stops
// them when their lease expires and records the time of each start and end by its own clock.
package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	client "github.com/jasminebay/jasminebay/internal/driver/worker"
	"github.com/jasminebay/jasminebay/internal/standin"
)

// progressInterval is the time between updates of the progress of running tasks.
const progressInterval = 10 * time.Millisecond

// Options configures a Server.
type Options struct {
	Name     string
	Capacity driver.Resources
	// ActualRunTime returns how long a task of a class runs, given its declared run time; nil means
	// that tasks run for their declared time.
	ActualRunTime func(class string, declared time.Duration) time.Duration
	// UsageLag is the time from a task's start until its usage is reported.
	UsageLag time.Duration
}

// Faults selects the faults that the worker injects.
type Faults struct {
	// FailAll makes every task fail shortly after its start.
	FailAll bool `json:"fail-all"`
	// RefuseAll rejects the start of every task with 409.
	RefuseAll bool `json:"refuse-all"`
	// Hold keeps running tasks from making progress.
	Hold bool `json:"hold"`
}

// EventKind tells what happened to a task attempt.
type EventKind string

// Kinds of events. EventStop is a stop on request, EventLeaseExpired the stop at the end of the lease.
const (
	EventStart        EventKind = "start"
	EventFinish       EventKind = "finish"
	EventFail         EventKind = "fail"
	EventStop         EventKind = "stop"
	EventLeaseExpired EventKind = "lapse"
)

// Event is the start or the end of a task attempt, as recorded by the worker.
type Event struct {
	Worker     string    `json:"worker"`
	Task       string    `json:"task"`
	Attempt    uint32    `json:"attempt"`
	Kind       EventKind `json:"kind"`
	At         time.Time `json:"at"`
	Checkpoint string    `json:"checkpoint"`
	Class      string    `json:"class"`
}

type task struct {
	client.TaskJSON
	startedAt time.Time
	// progress is the part of runTime that is done, as of updatedAt.
	progress  time.Duration
	runTime   time.Duration
	cpuShare  float64
	updatedAt time.Time
}

// Server implements the worker's HTTP interface; it is safe for concurrent use.
type Server struct {
	options Options
	mu      sync.Mutex
	tasks   map[string]*task
	// stopped holds the keys of attempts that were stopped before their start arrived. Their start
	// is rejected.
	stopped map[string]bool
	events  []Event
	faults  Faults
	peak    driver.Resources
}

// New returns a Server. Run must be called for tasks to end while no request arrives.
func New(o Options) *Server {
	if o.ActualRunTime == nil {
		o.ActualRunTime = func(_ string, declared time.Duration) time.Duration { return declared }
	}
	return &Server{options: o, tasks: map[string]*task{}, stopped: map[string]bool{}}
}

// Run updates the progress of the tasks periodically until done is closed.
func (s *Server) Run(done <-chan struct{}) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.mu.Lock()
			s.advance(time.Now())
			s.mu.Unlock()
		case <-done:
			return
		}
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	s.faults = f
}

// Events returns a copy of the events recorded so far, in the order in which they were recorded.
func (s *Server) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events...)
}

// PeakReserved returns the largest amount of each resource that running tasks have reserved at once.
func (s *Server) PeakReserved() driver.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// CPUByClass returns the number of processors that the running tasks of each class use, with
// throttling taken into account.
func (s *Server) CPUByClass() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	processors := map[string]float64{}
	for _, t := range s.tasks {
		if t.Phase == string(driver.TaskPhaseRunning) {
			processors[t.Class] += float64(t.Reserved.MilliCPU) / 1000 * t.cpuShare
		}
	}
	return processors
}

// Handler returns the handler of the worker's API and of the endpoints below /standin that inject
// faults and return the recorded events.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/tasks", s.status)
	mux.HandleFunc("PUT /v1/lease", s.renew)
	mux.HandleFunc("PUT /v1/tasks/{task}/{attempt}", s.putTask)
	mux.HandleFunc("DELETE /v1/tasks/{task}/{attempt}", s.withTask(s.remove))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/checkpoint", s.withTask(s.checkpoint))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/throttle", s.withTask(s.throttle))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/stop", s.withTask(s.stop))
	mux.HandleFunc("PUT /standin/faults", standin.FaultsHandler(s.SetFaults))
	mux.HandleFunc("GET /standin/events", s.getEvents)
	return mux
}

func attemptKey(task string, attempt uint32) string { return task + "#" + strconv.Itoa(int(attempt)) }

// advance updates the progress of the running tasks and ends those that are due. The caller holds
// s.mu.
func (s *Server) advance(now time.Time) {
	for _, t := range s.tasks {
		if t.Phase != string(driver.TaskPhaseRunning) {
			continue
		}
		// A task makes no progress after the end of its lease.
		until := now
		lease := time.UnixMilli(t.LeaseUntilMillis)
		if lease.Before(until) {
			until = lease
		}
		if until.After(t.updatedAt) {
			if !s.faults.Hold {
				t.progress += time.Duration(float64(until.Sub(t.updatedAt)) * t.cpuShare)
			}
			t.updatedAt = until
		}
		switch {
		case s.faults.FailAll && now.Sub(t.startedAt) > 5*progressInterval:
			s.endTask(t, driver.TaskPhaseFailed, EventFail, now, "the worker fails every task")
		case t.progress >= t.runTime:
			s.endTask(t, driver.TaskPhaseFinished, EventFinish, until, "")
		case now.After(lease):
			s.endTask(t, driver.TaskPhaseStopped, EventLeaseExpired, lease, "the lease ended")
		}
	}
}

func (s *Server) endTask(t *task, phase driver.TaskPhase, kind EventKind, at time.Time, detail string) {
	t.Phase = string(phase)
	t.Detail = detail
	s.record(t, kind, at)
}

func (s *Server) record(t *task, kind EventKind, at time.Time) {
	s.events = append(s.events, Event{
		Worker: s.options.Name, Task: t.Task, Attempt: t.Attempt, Kind: kind, At: at, Checkpoint: t.Checkpoint, Class: t.Class,
	})
}

func (s *Server) reservedResources() (sum driver.Resources) {
	for _, t := range s.tasks {
		if t.Phase == string(driver.TaskPhaseRunning) {
			sum = sum.Plus(t.Reserved.Resources())
		}
	}
	return sum
}

func (s *Server) putTask(w http.ResponseWriter, r *http.Request) {
	var spec client.TaskJSON
	if err := json.NewDecoder(r.Body).Decode(&spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advance(now)
	if s.tasks[attemptKey(spec.Task, spec.Attempt)] != nil {
		return
	}
	switch {
	case s.stopped[attemptKey(spec.Task, spec.Attempt)]:
		http.Error(w, "the attempt was stopped", http.StatusConflict)
	case s.faults.RefuseAll:
		http.Error(w, "the worker refuses every task", http.StatusConflict)
	case !now.Before(time.UnixMilli(spec.LeaseUntilMillis)):
		http.Error(w, "the lease has ended", http.StatusConflict)
	default:
		s.startTask(now, spec)
	}
}

func (s *Server) startTask(now time.Time, spec client.TaskJSON) {
	t := &task{TaskJSON: spec, startedAt: now, updatedAt: now, cpuShare: 1}
	t.Phase = string(driver.TaskPhaseRunning)
	t.runTime = s.options.ActualRunTime(spec.Class, time.Duration(spec.RunMillis)*time.Millisecond)
	t.progress = checkpointProgress(spec.Checkpoint)
	s.tasks[attemptKey(spec.Task, spec.Attempt)] = t
	s.record(t, EventStart, now)
	s.peak = s.peak.Max(s.reservedResources())
}

// checkpointProgress returns the progress in a checkpoint's name, which ends in @ and milliseconds.
// It is 0 if the name has no such suffix.
func checkpointProgress(checkpoint string) time.Duration {
	_, millis, ok := strings.Cut(checkpoint, "@")
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(millis, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advance(now)
	response := client.StatusJSON{Capacity: client.FromResources(s.options.Capacity), Tasks: []client.TaskJSON{}}
	for _, t := range s.tasks {
		status := t.TaskJSON
		if now.Sub(t.startedAt) >= s.options.UsageLag {
			status.Used = t.Reserved
		}
		response.Tasks = append(response.Tasks, status)
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var lease client.LeaseJSON
	if err := json.NewDecoder(r.Body).Decode(&lease); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	for _, t := range s.tasks {
		if t.Phase == string(driver.TaskPhaseRunning) {
			t.LeaseUntilMillis = lease.UntilMillis
		}
	}
}

// withTask returns a handler that calls f with the attempt named by the path, holding s.mu. It
// answers 404 for an unknown attempt; a stop of one is recorded, so that a start which arrives
// later is rejected.
func (s *Server) withTask(f func(http.ResponseWriter, *http.Request, *task)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt, _ := strconv.ParseUint(r.PathValue("attempt"), 10, 32)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance(time.Now())
		t := s.tasks[attemptKey(r.PathValue("task"), uint32(attempt))]
		if t == nil && strings.HasSuffix(r.URL.Path, "/stop") {
			s.stopped[attemptKey(r.PathValue("task"), uint32(attempt))] = true
		}
		if t == nil {
			http.Error(w, "not found", http.StatusNotFound)
			return
		}
		f(w, r, t)
	}
}

func (s *Server) remove(w http.ResponseWriter, _ *http.Request, t *task) {
	if t.Phase == string(driver.TaskPhaseRunning) {
		http.Error(w, "the task is running", http.StatusConflict)
		return
	}
	delete(s.tasks, attemptKey(t.Task, t.Attempt))
}

func (s *Server) checkpoint(w http.ResponseWriter, _ *http.Request, t *task) {
	if t.Phase != string(driver.TaskPhaseRunning) {
		http.Error(w, "the attempt has ended", http.StatusConflict)
		return
	}
	t.Checkpoint = fmt.Sprintf("%s.%d@%d", t.Task, t.Attempt, t.progress.Milliseconds())
	_ = json.NewEncoder(w).Encode(t.TaskJSON)
}

func (s *Server) throttle(w http.ResponseWriter, r *http.Request, t *task) {
	var throttle client.ThrottleJSON
	if err := json.NewDecoder(r.Body).Decode(&throttle); err != nil || throttle.Share <= 0 || throttle.Share > 1 {
		http.Error(w, "share must be in (0, 1]", http.StatusBadRequest)
		return
	}
	t.cpuShare = throttle.Share
}

func (s *Server) stop(w http.ResponseWriter, _ *http.Request, t *task) {
	if t.Phase == string(driver.TaskPhaseRunning) {
		s.endTask(t, driver.TaskPhaseStopped, EventStop, time.Now(), "")
	}
	_ = json.NewEncoder(w).Encode(t.TaskJSON)
}

func (s *Server) getEvents(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Events())
}
