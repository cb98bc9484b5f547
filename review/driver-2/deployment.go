package main

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
	"github.com/jasminebay/jasminebay/platform/settings"
	"github.com/jasminebay/jasminebay/platform/standin"
)

//go:embed settings.txt
var settingsText string

var zones = []string{"zuerich-a", "lausanne-a", "basel-b"}

const (
	host    = "hub.example"
	service = "hub"
	// otherService is another service.
	otherService = "press"
	// storeDelay is how long the platform's store takes for an answer.
	storeDelay = 4 * time.Millisecond
)

// deployment is a small deployment: three entries, and agents with a runner each.
type deployment struct {
	w      *world
	folder string
	store  *standin.Store
	// network lies between the processes and the one that owns the cell.
	network *standin.Network
	// slow is how many times longer the store takes.
	slow atomic.Int64
	// acquired gets the time of each acquisition of the cell.
	acquired  chan time.Time
	adviceAt  string
	processes []*process
	// stopping is held while processes are started again or stopped for good.
	stopping sync.Mutex
	stopped  bool
	entries  []*process
	agents   []*process
	// grace is graceS of the settings.
	grace string
	// from is the entry to which clients send first.
	from int
	// version is that of the last configuration.
	version int
}

// process is one process of the project.
type process struct {
	name     string
	role     string
	settings string
	front    string
	control  string
	command  *exec.Cmd
	exited   chan struct{}
}

// Ports below those that the system picks for connections.
const firstPort, lastPort = 20000, 30000

// nextPort is the next port to be tried.
var nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)

// listen listens on a free port of the loopback address.
func listen() (net.Listener, error) {
	for range lastPort - firstPort {
		port := nextPort
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		if l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free port")
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (address, port string, err error) {
	l, err := listen()
	if err != nil {
		return "", "", err
	}
	defer l.Close()
	address = l.Addr().String()
	_, port, err = net.SplitHostPort(address)
	return address, port, err
}

func serve(handler http.Handler) (address string, err error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func newDeployment(w *world) (d *deployment, err error) {
	d = &deployment{w: w, store: standin.NewStore(), grace: "6", acquired: make(chan time.Time, 100)}
	d.network = standin.NewNetwork(d.store)
	d.slow.Store(1)
	if d.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	d.adviceAt, err = serve(http.HandlerFunc(w.advise))
	return d, err
}

// serveStore serves the store as one process sees it.
func (d *deployment) serveStore(name string) (address string, err error) {
	view := d.network.StoreOf(name)
	return serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			if bytes.Contains(body, []byte(ownerKey)) {
				d.acquired <- time.Now()
			}
		}
		answer := httptest.NewRecorder()
		view.ServeHTTP(answer, r)
		time.Sleep(storeDelay * time.Duration(d.slow.Load()))
		rw.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(answer.Body.Bytes())
	}))
}

// ownerKey is the key of the record that names the entry which decides.
const ownerKey = "jasminebay/0/owner"

// owner returns the number of the entry that owns the cell, or -1.
func (d *deployment) owner() int {
	record := &flowpb.Owner{}
	if proto.Unmarshal(d.store.Value(ownerKey), record) != nil {
		return -1
	}
	return slices.IndexFunc(d.entries, func(p *process) bool { return p.name == record.GetNode() })
}

// route is a queue of the configuration.
type route struct {
	Name, Prefix, Service string
	Priority              int
	Advised               bool
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(routes ...route) {
	d.version += 3
	list := []map[string]any{}
	for _, r := range routes {
		fields := map[string]any{
			"name": r.Name, "host": host, "prefix": r.Prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 5000,
			"priority": r.Priority, "service": cmp.Or(r.Service, service), "maxAttempts": 3, "stretch": 3.0,
		}
		if r.Advised {
			fields["advice"] = map[string]any{"decisionMs": decision.Milliseconds(), "eachMs": each.Milliseconds(), "validityMs": validity.Milliseconds()}
		}
		list = append(list, fields)
	}
	raw, _ := json.Marshal(map[string]any{
		"version": d.version, "routes": list, "services": []any{
			map[string]any{"name": service, "rejectsOverload": true, "standby": false}, map[string]any{"name": otherService, "rejectsOverload": true, "standby": false},
		},
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
	d.store.Put("op/config", raw)
	d.w.note("operator: configuration %d: %+v", d.version, routes)
}

func (d *deployment) start(role, class, name, zone, app string) (p *process, err error) {
	p = &process{name: name, exited: make(chan struct{})}
	var ports []string
	var addresses []string
	for range 4 {
		address, port, err := freeAddress()
		if err != nil {
			return nil, err
		}
		ports, addresses = append(ports, port), append(addresses, address)
	}
	p.front, p.control = addresses[2], addresses[3]
	inner := ports[:2]
	slices.SortFunc(inner, func(a, b string) int { return len(a)*100000 - len(b)*100000 + strings.Compare(a, b) })
	storeAt, err := d.serveStore(name)
	if err != nil {
		return nil, err
	}
	bind, appLine := fmt.Sprintf("front = %q\nready = %q", p.front, p.control), ""
	if class == "side" {
		bind, appLine = fmt.Sprintf("control = %q", p.control), fmt.Sprintf("app = %q", app)
	}
	text := strings.NewReplacer(
		"@node", name, "@role", role, "@class", class, "@zone", zone, "@peers", inner[0], "@metrics", inner[1], "@app", appLine, "@bind", bind,
		"@grace", d.grace, "@store", storeAt, "@advice", d.adviceAt,
	).Replace(settingsText)
	path := filepath.Join(d.folder, name+".toml")
	if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.role, p.settings = "platform-"+role, path
	d.processes = append(d.processes, p)
	return p, d.run(p)
}

// run starts the program of a process.
func (d *deployment) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command("target/jasminebay", p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", settings.PathVariable + "=" + p.settings}
	p.command.Stdout, p.command.Stderr = log, log
	if err = p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	exited, command := p.exited, p.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// startAll starts three entries, and an agent for each runner.
func (d *deployment) startAll(runners []*runner) error {
	for i, zone := range zones {
		p, err := d.start("entry", "edge", fmt.Sprintf("edge-%s-%d", zone, i+1), zone, "")
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for i, r := range runners {
		address, _, err := freeAddress()
		if err != nil {
			return err
		}
		r.address = address
		if err = r.listen(); err != nil {
			return err
		}
		if r.link, err = relay.New(r.address, relay.Mode{}); err != nil {
			return err
		}
		zone := zones[i%len(zones)]
		p, err := d.start("agent", "side", fmt.Sprintf("side-%s-%d", zone, i+1), zone, r.link.Address())
		if err != nil {
			return err
		}
		r.control = p.control
		d.agents = append(d.agents, p)
	}
	return nil
}

// stopAll kills all processes and removes the folder.
func (d *deployment) stopAll() {
	d.stopping.Lock()
	defer d.stopping.Unlock()
	d.stopped = true
	for _, p := range d.processes {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs are in", d.folder)
	}
}

// cut cuts an entry off from the entry that decides, and heal ends that.
func (d *deployment) cut(entry int) {
	d.w.note("%s is cut off from the other machines of the system", d.entries[entry].name)
	d.network.Set(d.entries[entry].name, relay.Mode{StallToServer: true, StallFromServer: true})
}

func (d *deployment) heal(entry int) {
	d.w.note("%s is no longer cut off", d.entries[entry].name)
	d.network.Set(d.entries[entry].name, relay.Mode{})
}

// kill ends the program of a process.
func (d *deployment) kill(p *process) {
	d.w.note("%s is killed", p.name)
	_ = p.command.Process.Kill()
	<-p.exited
}

// restart starts the program of a process again, with its settings.
func (d *deployment) restart(p *process) error {
	d.w.note("%s is started again", p.name)
	d.stopping.Lock()
	defer d.stopping.Unlock()
	if d.stopped {
		return nil
	}
	return d.run(p)
}

// send sends a request to an entry as a client does, and returns the status, or 0 if there was no answer.
func (d *deployment) send(entry int, method, path string, body any) (status int, answer map[string]any) {
	raw, _ := json.Marshal(body)
	request, err := http.NewRequest(method, "http://"+d.entries[entry].front+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(text, &answer)
	return response.StatusCode, answer
}

// submit submits a job until it is accepted.
func (d *deployment) submit(prefix, id string, steps ...step) error {
	return d.submitBody(prefix, id, steps, nil)
}

// submitTimed submits a job that runs once, at a time.
func (d *deployment) submitTimed(prefix, id string, due time.Time, steps ...step) error {
	return d.submitBody(prefix, id, steps, map[string]any{"repeats": 1, "startAtMs": due.UnixMilli(), "intervalMs": 1000})
}

func (d *deployment) submitBody(prefix, id string, steps []step, timing map[string]any) error {
	d.w.mu.Lock()
	d.w.jobs[id] = steps
	d.w.mu.Unlock()
	phases := []map[string]any{}
	for _, s := range steps {
		phase := map[string]any{"count": s.Count, "cpu": s.CPU, "memMb": s.MemMb, "estimateMs": max(s.WorkMs, 100)}
		for name, value := range map[string]any{"gang": s.Gang, "longRunning": s.Lasts} {
			if value == true {
				phase[name] = true
			}
		}
		if s.Apart > 0 {
			phase["antiAffinity"] = s.Apart
		}
		if s.Label != "" {
			phase["requires"] = s.Label
		}
		phases = append(phases, phase)
	}
	body := map[string]any{"spec": "work", "phases": phases}
	maps.Copy(body, timing)
	for try := range 20 {
		status, _ := d.send((d.from+try)%len(d.entries), http.MethodPost, prefix+id, body)
		d.w.note("client: POST %s%s -> %d", prefix, id, status)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// runningOn returns the machines on which a run of a task is. The caller holds no lock.
func (d *deployment) runningOn(task string) (machines []string) {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	for _, r := range d.w.runners {
		if r.up && r.runs[task] != nil && r.runs[task].stopAt.IsZero() {
			machines = append(machines, r.machine)
		}
	}
	return machines
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
