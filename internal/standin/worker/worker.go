// Package worker is a stand-in for the platform's worker. It runs tasks as timers, keeps
// them under a lease and records each start and end with its clock.
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

const tick = 10 * time.Millisecond

// Options configures a Server.
type Options struct {
	Name     string
	Capacity driver.Resources
	// TrueRun maps a declared run time to the true one; nil means that they agree.
	TrueRun func(class string, declared time.Duration) time.Duration
	// UsageLag is how late the reported usage is.
	UsageLag time.Duration
}

// Faults is what goes wrong at the worker.
type Faults struct {
	// FailAll makes every task fail soon after its start.
	FailAll bool `json:"fail-all"`
	// RefuseAll makes the worker refuse every task.
	RefuseAll bool `json:"refuse-all"`
}

// EventKind is what happened to a task attempt.
type EventKind string

// Kinds of events.
const (
	EventStart  EventKind = "start"
	EventFinish EventKind = "finish"
	EventFail   EventKind = "fail"
	EventStop   EventKind = "stop"
	EventLapse  EventKind = "lapse"
)

// Event is a line of the worker's own record.
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
	started  time.Time
	progress time.Duration
	total    time.Duration
	share    float64
	last     time.Time
}

// Server implements the worker's HTTP interface; it is safe for concurrent use.
type Server struct {
	options Options
	mu      sync.Mutex
	tasks   map[string]*task
	// stopped holds attempts that were stopped before they were run.
	stopped map[string]bool
	events  []Event
	faults  Faults
	peak    driver.Resources
}

// New returns a Server; Run must be called for its tasks to progress.
func New(o Options) *Server {
	if o.TrueRun == nil {
		o.TrueRun = func(_ string, declared time.Duration) time.Duration { return declared }
	}
	return &Server{options: o, tasks: map[string]*task{}, stopped: map[string]bool{}}
}

// Run moves the tasks on until done is closed.
func (s *Server) Run(done <-chan struct{}) {
	t := time.NewTicker(tick)
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

// SetFaults changes what goes wrong from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Events returns the record so far.
func (s *Server) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events...)
}

// Peak returns the most that was reserved at a time.
func (s *Server) Peak() driver.Resources {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Noise returns the processors, in thousands, that tasks of each class use at the moment.
func (s *Server) Noise() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	noise := map[string]float64{}
	for _, t := range s.tasks {
		if t.Phase == string(driver.TaskPhaseRunning) {
			noise[t.Class] += float64(t.Reserved.MilliCPU) / 1000 * t.share
		}
	}
	return noise
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/tasks", s.status)
	mux.HandleFunc("PUT /v1/lease", s.renew)
	mux.HandleFunc("PUT /v1/tasks/{task}/{attempt}", s.run)
	mux.HandleFunc("DELETE /v1/tasks/{task}/{attempt}", s.withTask(s.remove))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/checkpoint", s.withTask(s.checkpoint))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/throttle", s.withTask(s.throttle))
	mux.HandleFunc("POST /v1/tasks/{task}/{attempt}/stop", s.withTask(s.stop))
	mux.HandleFunc("PUT /standin/faults", standin.FaultsHandler(s.SetFaults))
	mux.HandleFunc("GET /standin/events", s.getEvents)
	return mux
}

func key(name string, attempt uint32) string { return name + "#" + strconv.Itoa(int(attempt)) }

// advance moves the tasks on to now; the lock is held.
func (s *Server) advance(now time.Time) {
	for _, t := range s.tasks {
		if t.Phase != string(driver.TaskPhaseRunning) {
			continue
		}
		// A task whose lease has ended has run only up to that moment.
		until := now
		lease := time.UnixMilli(t.LeaseUntilMillis)
		if lease.Before(until) {
			until = lease
		}
		if until.After(t.last) {
			t.progress += time.Duration(float64(until.Sub(t.last)) * t.share)
			t.last = until
		}
		switch {
		case s.faults.FailAll && now.Sub(t.started) > 5*tick:
			s.end(t, driver.TaskPhaseFailed, EventFail, now, "the worker fails every task")
		case t.progress >= t.total:
			s.end(t, driver.TaskPhaseFinished, EventFinish, until, "")
		case now.After(lease):
			s.end(t, driver.TaskPhaseStopped, EventLapse, lease, "the lease ended")
		}
	}
}

func (s *Server) end(t *task, phase driver.TaskPhase, kind EventKind, at time.Time, detail string) {
	t.Phase = string(phase)
	t.Detail = detail
	s.record(t, kind, at)
}

func (s *Server) record(t *task, kind EventKind, at time.Time) {
	s.events = append(s.events, Event{
		Worker: s.options.Name, Task: t.Task, Attempt: t.Attempt, Kind: kind, At: at, Checkpoint: t.Checkpoint, Class: t.Class,
	})
}

func (s *Server) reserved() (sum driver.Resources) {
	for _, t := range s.tasks {
		if t.Phase == string(driver.TaskPhaseRunning) {
			sum = sum.Plus(t.Reserved.Resources())
		}
	}
	return sum
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var spec client.TaskJSON
	if err := json.NewDecoder(r.Body).Decode(&spec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advance(now)
	if s.tasks[key(spec.Task, spec.Attempt)] != nil {
		return
	}
	switch {
	case s.stopped[key(spec.Task, spec.Attempt)]:
		http.Error(w, "the attempt was stopped", http.StatusConflict)
	case s.faults.RefuseAll:
		http.Error(w, "the worker refuses every task", http.StatusConflict)
	case !now.Before(time.UnixMilli(spec.LeaseUntilMillis)):
		http.Error(w, "the lease has ended", http.StatusConflict)
	default:
		s.start(now, spec)
	}
}

func (s *Server) start(now time.Time, spec client.TaskJSON) {
	t := &task{TaskJSON: spec, started: now, last: now, share: 1}
	t.Phase = string(driver.TaskPhaseRunning)
	t.total = s.options.TrueRun(spec.Class, time.Duration(spec.RunMillis)*time.Millisecond)
	t.progress = progressOf(spec.Checkpoint)
	s.tasks[key(spec.Task, spec.Attempt)] = t
	s.record(t, EventStart, now)
	s.peak = s.peak.Max(s.reserved())
}

// progressOf reads the progress out of a checkpoint's name.
func progressOf(checkpoint string) time.Duration {
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
	answer := client.StatusJSON{Capacity: client.FromResources(s.options.Capacity), Tasks: []client.TaskJSON{}}
	for _, t := range s.tasks {
		status := t.TaskJSON
		if now.Sub(t.started) >= s.options.UsageLag {
			status.Used = t.Reserved
		}
		answer.Tasks = append(answer.Tasks, status)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var l client.LeaseJSON
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
	for _, t := range s.tasks {
		if t.Phase == string(driver.TaskPhaseRunning) {
			t.LeaseUntilMillis = l.UntilMillis
		}
	}
}

// withTask finds the attempt that the path names and calls f with the lock held.
func (s *Server) withTask(f func(http.ResponseWriter, *http.Request, *task)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt, _ := strconv.ParseUint(r.PathValue("attempt"), 10, 32)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance(time.Now())
		t := s.tasks[key(r.PathValue("task"), uint32(attempt))]
		if t == nil && strings.HasSuffix(r.URL.Path, "/stop") {
			s.stopped[key(r.PathValue("task"), uint32(attempt))] = true
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
	delete(s.tasks, key(t.Task, t.Attempt))
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
	t.share = throttle.Share
}

func (s *Server) stop(w http.ResponseWriter, _ *http.Request, t *task) {
	if t.Phase == string(driver.TaskPhaseRunning) {
		s.end(t, driver.TaskPhaseStopped, EventStop, time.Now(), "")
	}
	_ = json.NewEncoder(w).Encode(t.TaskJSON)
}

func (s *Server) getEvents(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Events())
}
