package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/jasminebay/jasminebay/internal/standin"
	platform "github.com/jasminebay/jasminebay/platform/standin"
)

const (
	service  = "notice-desk"
	host     = "hub.example"
	prefix   = "/watches/"
	maxHold  = 10 * time.Second
	downtime = 2 * time.Second
	notice   = 4500 * time.Millisecond
	// storeTime is how long the platform's store takes for an answer.
	storeTime    = 4 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	callTime     = 3 * time.Second
)

//go:embed words.json settings.tmpl
var files embed.FS

// words are the names of the operators' pages that the Go files of the project don't hold.
var words = map[string]string{}

var settingsTemplate = template.Must(template.ParseFS(files, "settings.tmpl"))

func init() {
	raw, err := files.ReadFile("words.json")
	if err != nil {
		panic(err)
	}
	if err = json.Unmarshal(raw, &words); err != nil {
		panic(err)
	}
}

// world is a small deployment: the project's processes, and stand-ins for all others.
type world struct {
	mu        sync.Mutex
	log       *os.File
	startedAt time.Time
	program   string
	folder    string
	store     *platform.Store
	storeAt   string
	cloudAt   string
	front     string
	machines  []*machine
	processes []*process
	waves     map[uint64][]string
	caps      map[uint64]int
	// mayMiss is the budget of the job's step, which has count tasks.
	job     string
	mayMiss int
	count   int
	// away holds the tasks that an order of the system has ended, until they are at work again.
	away map[string]string
	// lastAtWork is when each task was last seen at work.
	lastAtWork map[string]time.Time
	broken     []string
	// crashTask is the task at whose start a runner crashes, and crashed is called then.
	crashTask string
	crashed   func(m *machine)
	// relays stand before the entries, by their addresses, if the case has any.
	relays map[string]*relay
}

// process is a process of the project.
type process struct {
	name, role, settings string
	// peer is the address for other processes of the project, front that for clients.
	peer   string
	front  string
	ready  string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

func newWorld(program, folder string) (*world, error) {
	log, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		log: log, startedAt: time.Now(), program: program, folder: temporary, store: platform.NewStore(), waves: map[uint64][]string{}, caps: map[uint64]int{},
		away: map[string]string{}, lastAtWork: map[string]time.Time{},
	}
	w.storeAt = strings.TrimPrefix(httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeTime)
		w.store.ServeHTTP(rw, r)
	})).URL, "http://")
	w.cloudAt = strings.TrimPrefix(httptest.NewServer(http.HandlerFunc(w.serveCloud)).URL, "http://")
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":1,"routes":[{"name":"r-1","host":%q,"prefix":%q,"targetDurationMs":2500,"priority":0,"service":%q,"maxAttempts":3,"stretch":2.2}],"services":[{"name":%q,"rejectsOverload":true}],"limits":{"maxBodyBytes":262144}}`, host, prefix, service, service))
	return w, nil
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(format, args...)
}

func (w *world) write(format string, args ...any) {
	_, _ = fmt.Fprintf(w.log, "%7.3f s  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func freePort() (address string, port int, err error) {
	if address, err = standin.FreeAddress(); err != nil {
		return "", 0, err
	}
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	return address, port, err
}

// addEntry starts an entry.
func (w *world) addEntry(name string) error {
	front, _, err := freePort()
	if err != nil {
		return err
	}
	ready, _, err := freePort()
	if err != nil {
		return err
	}
	if w.front == "" {
		w.front = front
	}
	return w.addProcess(name, "platform-entry", "edge", fmt.Sprintf("front = %q\nready = %q", front, ready), "", front, ready)
}

// addMachine adds a machine with a runner and an agent.
func (w *world) addMachine(name string, cpu int64) error {
	address, _, err := freePort()
	if err != nil {
		return err
	}
	control, _, err := freePort()
	if err != nil {
		return err
	}
	m := &machine{world: w, name: name, cpu: cpu, address: address, control: control, changed: make(chan struct{}), waves: map[uint64]bool{}}
	w.machines = append(w.machines, m)
	if err := m.begin(); err != nil {
		return err
	}
	return w.addProcess("side-"+name, "platform-agent", "side", fmt.Sprintf("control = %q", control), address, "", "")
}

func (w *world) addProcess(name, role, class, bind, app, front, ready string) error {
	_, first, err := freePort()
	if err != nil {
		return err
	}
	_, last, err := freePort()
	if err != nil {
		return err
	}
	var text bytes.Buffer
	values := map[string]any{
		"Name": name, "Role": role, "Class": class, "Bind": bind, "App": app, "FirstPort": min(first, last), "LastPort": max(first, last),
		"Store": w.storeAt, "Cloud": w.cloudAt,
	}
	if err = settingsTemplate.Execute(&text, values); err != nil {
		return err
	}
	p := &process{name: name, role: role, settings: filepath.Join(w.folder, name+".toml"), peer: fmt.Sprintf("127.0.0.1:%d", min(first, last)), front: front, ready: ready}
	if err = os.WriteFile(p.settings, text.Bytes(), 0o600); err != nil {
		return err
	}
	if p.log, err = os.Create(filepath.Join(w.folder, name+".log")); err != nil {
		return err
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	if w.relays != nil && class == "edge" {
		r, err := newRelay(p.peer)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.relays[p.peer] = r
		w.mu.Unlock()
	}
	return w.start(p)
}

func (w *world) start(p *process) error {
	p.cmd = exec.Command(w.program, p.role)
	p.cmd.Env = append(os.Environ(), words["bootVariable"]+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), p.cmd
	p.exited = exited
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
	w.record("%s starts", p.name)
	return nil
}

// killAndRestart kills processes at the same moment, and starts them again after a short delay.
func (w *world) killAndRestart(processes []*process) error {
	w.record("%d processes are killed", len(processes))
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.exited
	}
	time.Sleep(restartDelay)
	for _, p := range processes {
		if err := w.start(p); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes.
func (w *world) stop() {
	for _, p := range w.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if os.Getenv("LOGS") != "" {
			if raw, err := os.ReadFile(p.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(os.Getenv("LOGS"), p.name+".log"), raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.folder)
}

// call sends a client's call to the first entry.
func (w *world) call(method, path, body string) (status int, answer string) {
	return w.callOver(defaultClient, w.front, method, path, body)
}

var defaultClient = &http.Client{Timeout: callTime}

// callOver sends a client's call to an entry.
func (w *world) callOver(client *http.Client, front, method, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+front+prefix+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, "no answer"
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(raw))
}

// serveCloud stands in for the platform's list of machines and for their upkeep.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET " + words["machines"]:
		list := []map[string]any{}
		for _, m := range w.machines {
			list = append(list, m.listed())
		}
		reply(rw, http.StatusOK, map[string]any{"machines": list})
	case "POST " + words["upkeep"]:
		w.serveUpkeep(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (m *machine) listed() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := map[string]any{
		"machine": m.name, "pool": service, "state": m.state, "zone": "kirishima-a", "labels": []string{"a", "r1-" + m.name},
		"capacity": map[string]int64{"cpu": m.cpu, "memMb": 64000, "gpu": 0},
	}
	if m.life != nil {
		entry["id"] = m.life.id
	}
	return entry
}

func (w *world) serveUpkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    uint64 `json:"wave"`
	}
	token, err := strconv.ParseUint(r.Header.Get(words["tokenHeader"]), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, m := range w.machines {
		if m.name == body.Machine {
			status, reason := m.upkeep(body.Wave, token)
			w.record("upkeep of %s for wave %d under token %d: %d %s", m.name, body.Wave, token, status, reason)
			reply(rw, status, map[string]string{"reason": reason})
			return
		}
	}
	rw.WriteHeader(http.StatusBadRequest)
}

func (m *machine) upkeep(wave, token uint64) (status int, reason string) {
	w := m.world
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case token < m.token:
		return http.StatusConflict, "fence"
	case !w.inWave(wave, m.name):
		return http.StatusConflict, "wave"
	case m.waves[wave]:
		return http.StatusOK, ""
	case m.life == nil:
		return http.StatusConflict, "busy"
	}
	m.token, m.waves[wave] = token, true
	for _, r := range m.life.runs {
		w.judgeEnd(m.name, "upkeep", r)
	}
	w.judgeCap(wave, m)
	m.endLocked("upkeep")
	time.AfterFunc(downtime, func() {
		if err := m.begin(); err != nil {
			w.record("%s: %v", m.name, err)
		}
	})
	return http.StatusOK, ""
}

func (w *world) inWave(wave uint64, name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.waves[wave] {
		if other == name {
			return true
		}
	}
	return false
}

// judgeCap records an upkeep that begins while as many machines of the wave are down as may be.
func (w *world) judgeCap(wave uint64, begins *machine) {
	down := 0
	for _, m := range w.machines {
		if m != begins && w.inWave(wave, m.name) {
			m.mu.Lock()
			if m.state == "upkeep" {
				down++
			}
			m.mu.Unlock()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if down >= w.caps[wave] {
		w.broken = append(w.broken, "LIMIT")
		w.write("LIMIT: upkeep of %s begins while %d are down", begins.name, down)
	}
}

// judgeEnd records an order of the system that ends a run while as many others of its step are away as
// may be: ended by such an order and not at work again since, or not at work for the notice time.
func (w *world) judgeEnd(machine, how string, r *run) {
	if r.work > 0 || !r.atWork() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var others []string
	for i := range w.count {
		task := w.task(i)
		if task == r.task {
			continue
		}
		if by := w.away[task]; by != "" {
			others = append(others, task+" ("+by+")")
		} else if since := time.Since(w.lastAtWork[task]); since > notice {
			others = append(others, fmt.Sprintf("%s (not at work for %.1f s)", task, since.Seconds()))
		}
	}
	w.write("%s: %s ends %s run %d, which is at work; away are %v", machine, how, r.task, r.number, others)
	if len(others) >= w.mayMiss {
		w.broken = append(w.broken, "AVAIL")
		w.write("AVAIL: %d others of the step are away, mayMiss is %d", len(others), w.mayMiss)
	}
	w.away[r.task] = how
}

func (w *world) task(index int) string { return fmt.Sprintf("%s.0.0.%d", w.job, index) }

// observe notes which tasks are at work, until done is closed.
func (w *world) observe(done <-chan struct{}) {
	for {
		atWork := map[string]bool{}
		for _, m := range w.machines {
			m.mu.Lock()
			if m.life != nil {
				for task, r := range m.life.runs {
					atWork[task] = atWork[task] || r.work == 0 && r.atWork() && !r.stopping
				}
			}
			m.mu.Unlock()
		}
		w.mu.Lock()
		for task, is := range atWork {
			if is {
				w.lastAtWork[task] = time.Now()
				delete(w.away, task)
			}
		}
		w.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(watchInterval):
		}
	}
}

// tasksAtWork returns how many tasks of the job are at work.
func (w *world) tasksAtWork() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.count {
		if at, seen := w.lastAtWork[w.task(i)]; seen && time.Since(at) < 100*time.Millisecond {
			n++
		}
	}
	return n
}
