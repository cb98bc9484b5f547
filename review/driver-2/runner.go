package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/internal/standin/relay"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	maxHold           = 6 * time.Second
	// stopTime is how long a stop takes, which may be 400 ms.
	stopTime = 100 * time.Millisecond
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 200 * time.Millisecond
	maxEnds     = 500
)

// runner is a stand-in for the runner of a machine, over all its lives.
type runner struct {
	w         *world
	machine   string
	service   string
	address   string
	control   string
	cpu, mem  int64
	labels    []string
	id        string
	born      int64
	startedAt time.Time
	// up is set while the runner runs. While it is not, calls get no answer.
	up bool
	// beats is closed when the present life ends.
	beats     chan struct{}
	firstBeat time.Duration
	announced bool
	token     uint64
	leaseEnd  time.Duration
	runs      map[string]*activeRun
	newest    map[string]uint32
	ended     [][]any
	lastEnd   uint64
	changed   chan struct{}
	server    *http.Server
	// link lies between the agent and the runner. While it is cut, the heartbeats are lost as well.
	link  *relay.Relay
	isCut bool
	// lateStart is how long the first start of a task is held up on its way to the runner, by task. Its sender
	// gets no answer, and it is carried out when it arrives.
	lateStart map[string]time.Duration
}

// activeRun is a run of a task on a runner.
type activeRun struct {
	on         *runner
	task       string
	run        uint32
	step       step
	startedAt  time.Time
	togetherAt time.Time
	stopAt     time.Time
}

func (a *activeRun) work() time.Duration { return time.Duration(a.step.WorkMs) * time.Millisecond }

// begin starts a life of the runner. The first heartbeat comes after firstBeat. The caller holds the lock.
func (r *runner) begin(id string, labels []string, firstBeat time.Duration) {
	r.id, r.labels, r.up, r.announced, r.firstBeat = id, labels, true, false, firstBeat
	r.startedAt, r.born = time.Now(), time.Now().UnixMilli()
	r.token, r.leaseEnd, r.lastEnd = 0, 0, 0
	r.runs, r.newest, r.ended = map[string]*activeRun{}, map[string]uint32{}, nil
	r.changed, r.beats = make(chan struct{}), make(chan struct{})
	r.w.note("runner %s on %s starts, labels %v, born %d", id, r.machine, labels, r.born)
	go r.sendHeartbeats(id, r.born, r.beats)
}

// crash ends the life of the runner with all that it runs. The caller holds the lock.
func (r *runner) crash() {
	r.w.note("runner %s on %s crashes with %d runs", r.id, r.machine, len(r.runs))
	r.up = false
	r.runs = map[string]*activeRun{}
	close(r.beats)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) clock() time.Duration { return time.Since(r.startedAt) }

func (r *runner) sortedRuns() []*activeRun {
	var list []*activeRun
	for _, a := range r.runs {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *activeRun) int { return strings.Compare(a.task, b.task) })
	return list
}

// advance ends what is due. The caller holds the lock.
func (r *runner) advance() {
	if !r.up {
		return
	}
	now := time.Now()
	for _, a := range r.sortedRuns() {
		switch {
		case r.clock() >= r.leaseEnd:
			r.end(a, "lapsed")
		case !a.stopAt.IsZero() && now.After(a.stopAt):
			r.end(a, "stopped")
		case a.stopAt.IsZero() && !a.step.Gang && !a.step.Lasts && now.Sub(a.startedAt) >= a.work():
			r.end(a, "done")
		}
	}
}

// end ends a run. The caller holds the lock.
func (r *runner) end(a *activeRun, how string) {
	if r.runs[a.task] != a {
		return
	}
	delete(r.runs, a.task)
	r.newest[a.task] = max(r.newest[a.task], a.run)
	r.lastEnd++
	r.ended = append(r.ended, []any{r.lastEnd, a.task, a.run, how, ""})
	r.w.note("run %s %d ends %s on %s (%s)", a.task, a.run, how, r.id, r.machine)
	close(r.changed)
	r.changed = make(chan struct{})
}

// used returns what the runs take. The caller holds the lock.
func (r *runner) used() (cpu, mem int64) {
	for _, a := range r.runs {
		cpu, mem = cpu+a.step.CPU, mem+a.step.MemMb
	}
	return cpu, mem
}

func (r *runner) sendHeartbeats(id string, born int64, ended <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	wait := r.firstBeat
	for seq := 1; ; seq++ {
		select {
		case <-time.After(wait):
		case <-ended:
			return
		}
		wait = heartbeatInterval
		r.w.mu.Lock()
		if r.isCut {
			r.w.mu.Unlock()
			continue
		}
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": "zuerich-a", "version": "v1", "slots": 8, "state": "ready", wire("cold"): 0,
			"capacity": map[string]any{"cpu": r.cpu, "memMb": r.mem, "gpu": 0}, "labels": r.labels, wire("clock"): r.clock().Milliseconds(), "born": born, "seq": seq,
		})
		r.w.mu.Unlock()
		response, err := client.Post("http://"+r.control+wire("heartbeat")+id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		r.w.mu.Lock()
		if response.StatusCode/100 == 2 && r.id == id && r.born == born && !r.announced {
			r.announced = true
			r.w.note("heartbeat of %s (%s, labels %v) acknowledged", id, r.machine, r.labels)
		}
		r.w.mu.Unlock()
	}
}

// listen serves the runner's calls at its address.
func (r *runner) listen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	return nil
}

// request is a decoded call.
type request struct {
	Task, Spec, Ticket, Expect string
	Run                        uint32
	Token, LastSeen            uint64
	Deadline, Wait             time.Duration
}

func decodeRequest(h *http.Request) (q request, err error) {
	fields := map[string]json.RawMessage{}
	if err = json.NewDecoder(h.Body).Decode(&fields); err != nil {
		return q, err
	}
	var deadline, wait int64
	for name, target := range map[string]any{
		"task": &q.Task, "run": &q.Run, "spec": &q.Spec, "ticket": &q.Ticket, wire("token"): &q.Token, wire("acknowledged"): &q.LastSeen,
		wire("deadline"): &deadline, wire("waitMs"): &wait,
	} {
		if raw, present := fields[name]; present {
			if err = json.Unmarshal(raw, target); err != nil {
				return q, err
			}
		}
	}
	q.Deadline, q.Wait = time.Duration(deadline)*time.Millisecond, time.Duration(wait)*time.Millisecond
	q.Expect = h.Header.Get(wire("expect"))
	return q, nil
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(rw http.ResponseWriter, h *http.Request) {
	q, err := decodeRequest(h)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	r.w.mu.Lock()
	if !r.up {
		r.w.mu.Unlock()
		// A runner that is down answers nothing.
		<-h.Context().Done()
		return
	}
	if late := r.lateStart[q.Task]; late > 0 && h.URL.Path == wire("start") {
		delete(r.lateStart, q.Task)
		r.w.lateOn = r
		r.w.note("start of %s %d is held up on its way to %s (%s) for %v and gets no answer", q.Task, q.Run, r.id, r.machine, late)
		time.AfterFunc(late, func() { r.carryOutLate(h.URL.Path, q) })
		r.w.mu.Unlock()
		<-h.Context().Done()
		return
	}
	status, answer := r.carryOut(h.Context(), h.URL.Path, q)
	r.w.mu.Unlock()
	if status == 0 {
		<-h.Context().Done()
		return
	}
	raw, _ := json.Marshal(answer)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

// carryOutLate carries out a call that was held up on its way and whose caller has given up.
func (r *runner) carryOutLate(path string, q request) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if !r.up {
		r.w.note("late start of %s %d meets no runner on %s", q.Task, q.Run, r.machine)
		return
	}
	status, answer := r.carryOut(context.Background(), path, q)
	r.w.note("late start of %s %d is carried out by %s (%s): %d %v", q.Task, q.Run, r.id, r.machine, status, answer)
}

// cut cuts the runner off from its agent, or ends that. The caller holds the lock.
func (r *runner) cut(isCut bool) {
	r.w.note("%s is cut off from the machines of the system: %v", r.machine, isCut)
	r.isCut = isCut
	r.link.Set(relay.Mode{StallToServer: isCut, StallFromServer: isCut})
}

func (r *runner) answer() map[string]any {
	return map[string]any{wire("clock"): r.clock().Milliseconds(), "born": r.born}
}

func (r *runner) refusal(reason string) (int, map[string]any) {
	answer := r.answer()
	answer["reason"] = reason
	return http.StatusConflict, answer
}

// carryOut carries out a call. The caller holds the lock. The status is 0 if the life that got the call has
// ended meanwhile.
func (r *runner) carryOut(ctx context.Context, path string, q request) (status int, answer map[string]any) {
	if q.Expect != "" && q.Expect != r.id {
		return http.StatusMisdirectedRequest, r.answer()
	}
	r.advance()
	if q.Token < r.token {
		return r.refusal("fence")
	}
	r.token = q.Token
	switch path {
	case wire("start"):
		r.leaseEnd = max(r.leaseEnd, min(q.Deadline, r.clock()+maxHold))
		return r.start(q)
	case wire("stop"):
		r.newest[q.Task] = max(r.newest[q.Task], q.Run)
		if a := r.runs[q.Task]; a != nil && a.run == q.Run && a.stopAt.IsZero() {
			a.stopAt = time.Now().Add(stopTime)
			r.w.note("stop of %s %d ordered on %s (%s)", q.Task, q.Run, r.id, r.machine)
		}
		return http.StatusOK, r.answer()
	case wire("pace"):
		return http.StatusOK, r.answer()
	case wire("hold"):
		r.leaseEnd = max(r.leaseEnd, min(q.Deadline, r.clock()+maxHold))
		return r.hold(ctx, q)
	}
	return http.StatusNotFound, r.answer()
}

func (r *runner) start(q request) (int, map[string]any) {
	if a := r.runs[q.Task]; a != nil && a.run == q.Run {
		return http.StatusOK, r.answer()
	}
	s, known := r.w.stepOf(q.Task)
	if !known {
		r.w.breaks("UNASKED: %s started on %s, which no client sent", q.Task, r.id)
		return http.StatusBadRequest, r.answer()
	}
	cpu, mem := r.used()
	switch {
	case q.Deadline <= r.clock():
		return r.refusal("late")
	case q.Run <= r.newest[q.Task] || r.runs[q.Task] != nil:
		return r.refusal("old")
	case r.w.ticketed && !r.holdsTicket(q):
		if r.w.refusals++; r.w.refusals <= 10 || r.w.refusals%500 == 0 {
			r.w.note("start of %s %d refused by %s (%s): no valid ticket; refusal %d", q.Task, q.Run, r.id, r.machine, r.w.refusals)
		}
		return r.refusal("ticket")
	case cpu+s.CPU > r.cpu || mem+s.MemMb > r.mem:
		r.w.note("start of %s %d refused by %s (%s): no room", q.Task, q.Run, r.id, r.machine)
		return r.refusal("room")
	}
	r.runs[q.Task] = &activeRun{on: r, task: q.Task, run: q.Run, step: s, startedAt: time.Now()}
	r.w.note("run %s %d starts on %s (%s, labels %v)", q.Task, q.Run, r.id, r.machine, r.labels)
	r.check(q.Task, s)
	return http.StatusOK, r.answer()
}

// check judges a start by ROUTE and TWICE. The caller holds the lock.
func (r *runner) check(task string, s step) {
	if s.Label != "" && !slices.Contains(r.labels, s.Label) {
		r.w.breaks("ROUTE: %s requires %q and started on %s (%s), whose labels are %v", task, s.Label, r.id, r.machine, r.labels)
	}
	if r.w.service != "" && r.service != r.w.service {
		r.w.breaks("CONFIG: %s, sent after the change, runs on %s (%s) of service %s, and the queue is that of %s", task, r.id, r.machine, r.service, r.w.service)
	}
	_, name, _ := splitTask(task)
	beside := 0
	for _, a := range r.runs {
		if _, other, _ := splitTask(a.task); other == name {
			beside++
		}
	}
	if s.Apart > 0 && beside > s.Apart {
		r.w.breaks("ROUTE: %d tasks of step %s run on %s (%s), and at most %d may", beside, name, r.id, r.machine, s.Apart)
	}
	if r.w.settled[task] {
		r.w.breaks("TWICE: %s starts on %s (%s) after a run has ended done, which was taken note of", task, r.id, r.machine)
	}
	for _, other := range r.w.runners {
		if other != r && other.up && other.runs[task] != nil {
			r.w.breaks("TWICE: %s runs on %s and on %s", task, r.machine, other.machine)
		}
	}
}

func (r *runner) holdsTicket(q request) bool {
	t, known := r.w.tickets[q.Ticket]
	_, name, _ := splitTask(q.Task)
	return known && t.step == name && t.runner == r.id && t.born == r.born && time.Now().Before(t.until)
}

func (r *runner) hold(ctx context.Context, q request) (int, map[string]any) {
	for _, e := range r.ended {
		if e[0].(uint64) <= q.LastSeen && e[3] == "done" {
			r.w.note("end done of %s %v on %s (%s) is taken note of", e[1], e[2], r.id, r.machine)
			r.w.settled[e[1].(string)] = true
		}
	}
	r.ended = slices.DeleteFunc(r.ended, func(e []any) bool { return e[0].(uint64) <= q.LastSeen })
	if q.Wait > 0 && len(r.ended) == 0 {
		changed, born := r.changed, r.born
		r.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(q.Wait, 2*time.Second)):
		case <-ctx.Done():
		}
		r.w.mu.Lock()
		if !r.up || r.born != born {
			return 0, nil
		}
		r.advance()
	}
	answer := r.answer()
	running, ended := [][]any{}, [][]any{}
	for _, a := range r.sortedRuns() {
		running = append(running, []any{a.task, a.run, "", a.percent(), 1})
	}
	ended = append(ended, r.ended[:min(len(r.ended), maxEnds)]...)
	answer["running"], answer["finishedRuns"] = running, ended
	return http.StatusOK, answer
}

// percent is the progress of a run, or whether one that lasts is at work.
func (a *activeRun) percent() int {
	worked := time.Since(a.startedAt)
	if a.step.Gang {
		if a.togetherAt.IsZero() {
			return 0
		}
		worked = time.Since(a.togetherAt)
	}
	if a.step.Lasts {
		if worked > startupTime {
			return 100
		}
		return 0
	}
	return min(99, int(100*worked/max(a.work(), 1)))
}

// advise serves the admission service.
func (w *world) advise(rw http.ResponseWriter, h *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if h.URL.Path != wire("advise") || json.NewDecoder(h.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	// One call takes decisionMs and eachMs for each worker.
	time.Sleep(decision + time.Duration(len(body.Workers))*each)
	w.mu.Lock()
	approved := [][]string{}
	for _, r := range w.runners {
		if r.up && slices.Contains(body.Workers, r.id) && w.approve(body.Step, r) {
			ticket := fmt.Sprintf("t-%d", len(w.tickets)+1)
			w.tickets[ticket] = issuedTicket{step: body.Step, runner: r.id, born: r.born, until: time.Now().Add(validity)}
			approved = append(approved, []string{r.id, ticket})
		}
	}
	w.note("advice for %s on %v: approved %v", body.Step, body.Workers, approved)
	w.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"approved": approved, "validityMs": validity.Milliseconds()})
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(raw)
}

// The figures of the queue's advice.
const (
	decision = 20 * time.Millisecond
	each     = 5 * time.Millisecond
	validity = 3 * time.Second
)
