package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// finishTime is how long after the end of the traffic jobs have to be done, unless they run.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running then while there is room for it.
	idleTime = 3 * time.Second
	// lastingIdleTime is the same for a task that lasts, from 6 s after its last run.
	lastingIdleTime = 9 * time.Second
)

// relay is the network between the agents and an entry. A connection that has gone silent stays open and
// passes nothing on.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*atomic.Bool
	accepted int
	// held is set while the relay holds back what it gets, as a partition does.
	held atomic.Bool
}

func newRelay(target string) (r *relay, err error) {
	address, _, err := freePort()
	if err != nil {
		return nil, err
	}
	r = &relay{target: target}
	if r.listener, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		silent := &atomic.Bool{}
		r.mu.Lock()
		r.open = append(r.open, silent)
		r.accepted++
		r.mu.Unlock()
		go r.forward(from, to, silent)
		go r.forward(to, from, silent)
	}
}

func (r *relay) forward(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for r.held.Load() {
			time.Sleep(watchInterval)
		}
		if silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good. It returns how many there are.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.open {
		silent.Store(true)
	}
	return len(r.open)
}

// connections returns how many connections the processes have made to entries.
func (w *world) connections() (n int) {
	for _, r := range w.relays {
		r.mu.Lock()
		n += r.accepted
		r.mu.Unlock()
	}
	return n
}

// storeBehind returns the address of the store as the processes see it: the entries' addresses are those of
// their relays, as behind a router that translates addresses.
func (w *world) storeBehind() string {
	return strings.TrimPrefix(httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeTime)
		recorder := httptest.NewRecorder()
		w.store.ServeHTTP(recorder, r)
		answer := recorder.Body.Bytes()
		w.mu.Lock()
		relays := maps.Clone(w.relays)
		w.mu.Unlock()
		for entry, relay := range relays {
			answer = translate(answer, entry, relay.listener.Addr().String())
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(recorder.Code)
		_, _ = rw.Write(answer)
	})).URL, "http://")
}

// translate replaces an address by another of the same length in the values of an answer of the store.
func translate(answer []byte, from, to string) []byte {
	var body any
	decoder := json.NewDecoder(bytes.NewReader(answer))
	decoder.UseNumber()
	if decoder.Decode(&body) != nil {
		return answer
	}
	raw, err := json.Marshal(translateValues(body, from, to))
	if err != nil {
		return answer
	}
	return raw
}

func translateValues(node any, from, to string) any {
	switch n := node.(type) {
	case []any:
		for i := range n {
			n[i] = translateValues(n[i], from, to)
		}
	case map[string]any:
		for key, value := range n {
			if text, isText := value.(string); isText && key == "value" {
				if raw, err := base64.StdEncoding.DecodeString(text); err == nil {
					n[key] = base64.StdEncoding.EncodeToString(bytes.ReplaceAll(raw, []byte(from), []byte(to)))
				}
				continue
			}
			n[key] = translateValues(value, from, to)
		}
	}
	return node
}

// jobRuns returns how many runs of a job there are now.
func (w *world) jobRuns(job string) (n int) {
	for _, m := range w.machines {
		m.mu.Lock()
		if m.life != nil {
			for task := range m.life.runs {
				if strings.HasPrefix(task, job+".") {
					n++
				}
			}
		}
		m.mu.Unlock()
	}
	return n
}

// submit hands a job in until it is accepted, at most six times.
func (w *world) submit(id, body string) (accepted bool) {
	for range 6 {
		status, _ := w.call("POST", id, body)
		w.record("POST %s: %d", id, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// playSilent plays short jobs beside one that lasts. The disruption is that the connections between the
// processes go silent for good, while new ones work.
func playSilent(w *world, trouble bool) error {
	w.relays, w.storeAt = map[string]*relay{}, w.storeBehind()
	for _, name := range []string{"edge-kirishima-a-1", "edge-aso-b-1", "edge-ebino-c-1"} {
		if err := w.addEntry(name); err != nil {
			return err
		}
	}
	for entry, r := range w.relays {
		if len(r.listener.Addr().String()) != len(entry) {
			return fmt.Errorf("the addresses %s and %s differ in length", r.listener.Addr(), entry)
		}
	}
	if err := w.beginJob([]string{"m-1", "m-2", "m-3", "m-4"}, 2); err != nil {
		return err
	}
	const short = `{"spec":"work 500ms","phases":[{"count":2,"cpu":500,"memMb":100,"estimateMs":500}]}`
	if !w.submit("00000000000000a0", short) {
		return errTimeout
	}
	if err := waitFor(5*time.Second, func() bool { return w.jobState("00000000000000a0") == "completed" }); err != nil {
		return err
	}
	w.record("job 00000000000000a0 is completed; %d connections between processes so far", w.connections())
	if trouble {
		for entry, r := range w.relays {
			w.record("%d connections of others to the entry at %s go silent for good; new ones work", r.silence(), entry)
		}
	}
	time.Sleep(4 * time.Second)
	jobs := []string{}
	for i := range 5 {
		id := fmt.Sprintf("00000000000000b%d", i)
		if w.submit(id, short) {
			jobs = append(jobs, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.record("the traffic ends; %d jobs are accepted", len(jobs))
	if len(jobs) == 0 {
		return errTimeout
	}
	time.Sleep(finishTime)
	w.judgeIdle(jobs, 20*time.Second)
	w.record("%d connections between processes in all", w.connections())
	return nil
}

// jobState returns the state of a job that a client reads, or what it gets instead.
func (w *world) jobState(id string) string {
	status, answer := w.call("GET", id, "")
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// judgeIdle looks at jobs for a while. All machines are up and hold next to nothing, so that there is room
// for each job many times over.
func (w *world) judgeIdle(jobs []string, during time.Duration) {
	idleSince, told := map[string]time.Time{}, map[string]bool{}
	for until := time.Now().Add(during); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, id := range jobs {
			state := w.jobState(id)
			if state == "completed" || w.jobRuns(id) > 0 {
				delete(idleSince, id)
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
			if since := time.Since(idleSince[id]); since > idleTime && !told[id] {
				told[id] = true
				w.mu.Lock()
				w.broken = append(w.broken, "LOST")
				w.write("LOST: job %s is %q and has had nothing running for %.1f s, with room for it", id, state, since.Seconds())
				w.mu.Unlock()
			}
		}
		w.mu.Lock()
		for i := range w.count {
			if idle := time.Since(w.lastAtWork[w.task(i)]); idle > lastingIdleTime && !told[w.task(i)] {
				told[w.task(i)] = true
				w.broken = append(w.broken, "LOST")
				w.write("LOST: %s is to last and has not run for %.1f s, with room for it", w.task(i), idle.Seconds())
			}
		}
		w.mu.Unlock()
	}
	for _, id := range jobs {
		w.record("job %s is %s in the end", id, w.jobState(id))
	}
}
