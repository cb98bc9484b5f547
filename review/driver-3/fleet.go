package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// config is the first configuration: one queue for each priority that the cases use.
const config = `{"version":%d,"routes":[{"name":"q-urgent","host":"hub.example","prefix":"/urgent/","service":"hub","priority":0,"maxAttempts":%d,"stretch":2,"targetDurationMs":300},{"name":"q-patient","host":"hub.example","prefix":"/patient/","service":"hub","priority":2,"maxAttempts":%d,"stretch":2,"targetDurationMs":1000}],"services":[{"name":"hub","rejectsOverload":true}],"limits":{"maxBodyBytes":262144}}`

// entryMemoryMB is the memory of a machine with an entry, as on the small sites.
const entryMemoryMB = 284

// process is one process of the project.
type process struct {
	name, role, settings string
	cmd                  *exec.Cmd
	exited               chan struct{}
	log                  *os.File
}

// fleet is a small deployment on loopback addresses, and what its clients and runners have seen.
type fleet struct {
	dir     string
	binary  string
	store   *store
	began   time.Time
	entries []string
	mu      sync.Mutex
	record  *os.File
	procs   map[string]*process
	order   []string
	runners []*runner
	servers []*http.Server
	broken  []string
	// onlyCounts leaves single runs out of the record, which gets their number instead.
	onlyCounts bool
	// guarded means that processes that exceed their memory are killed.
	guarded bool

	gangs  map[string]*gang
	starts map[string][]string
	done   map[string]int
	fails  map[string]int
	alive  map[string]map[string]int
	acked  map[string]int
}

func newFleet(record string) (*fleet, error) {
	f := &fleet{
		binary: "target/jasminebay", store: newStore(), began: time.Now(), procs: map[string]*process{},
		gangs: map[string]*gang{}, starts: map[string][]string{}, done: map[string]int{}, fails: map[string]int{}, alive: map[string]map[string]int{}, acked: map[string]int{},
	}
	var err error
	if f.record, err = os.Create(record); err != nil {
		return nil, err
	}
	f.dir, err = os.MkdirTemp("", "review-3-")
	return f, err
}

// note writes a line of the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (f *fleet) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.note("BROKEN: %s", text)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, text)
}

func (f *fleet) started(r *runner, a *activeRun) {
	if !f.onlyCounts {
		f.note("runner %s starts %s run %d", r.id, a.task, a.run)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[a.task] = append(f.starts[a.task], r.id)
	if f.alive[a.task] == nil {
		f.alive[a.task] = map[string]int{}
	}
	f.alive[a.task][r.id]++
}

func (f *fleet) ended(r *runner, a *activeRun, how string) {
	if !f.onlyCounts {
		f.note("runner %s ends %s run %d: %s", r.id, a.task, a.run, how)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[a.task][r.id]--
	switch how {
	case "done":
		f.done[a.task]++
	case "failed":
		f.fails[a.task]++
	}
}

func (f *fleet) acknowledged(r *runner, e endedRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acked[e.task]++
}

// startCount returns how many runs of a job's tasks were started.
func (f *fleet) startCount(job string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, starts := range f.starts {
		if strings.HasPrefix(task, job+".") {
			n += len(starts)
		}
	}
	return n
}

// given holds the ports that freeAddress has returned. They are free until a process listens there.
var given = map[int]bool{}

// freeAddress returns an address with a free port, each only once, below those that the system gives to outgoing
// connections.
func freeAddress() string {
	for {
		n := 12000 + rand.IntN(18000)
		if given[n] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", n))
		if err == nil {
			given[n] = true
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
}

// serve serves a handler on a free loopback address.
func (f *fleet) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ErrorLog: nil}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func port(address string) int {
	_, text, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(text)
	return n
}

// add starts a process with the settings of a small deployment.
func (f *fleet) add(name, role, zone, app string, binds map[string]string, more string) error {
	ports := []int{port(freeAddress()), port(freeAddress())}
	slices.Sort(ports)
	var b strings.Builder
	class, cpu, mem := "edge", 0.4, entryMemoryMB
	if app != "" {
		class, cpu, mem = "side", 0.24, 152
	}
	fmt.Fprintf(&b, "nodeName = %q\nmachineClass = %q\nip = \"127.0.0.1\"\nzone = %q\nregion = \"r\"\nportRange = [%d,%d]\nbootstrap = true\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1100\norders = \"invocation\"\n", name, class, zone, ports[0], ports[1])
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n")
	if app != "" {
		fmt.Fprintf(&b, "app = %q\n", app)
	}
	fmt.Fprintf(&b, "[bindAddrs]\n")
	for key, address := range binds {
		fmt.Fprintf(&b, "%s = %q\n", key, address)
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = %v\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n", cpu, mem)
	fmt.Fprintf(&b, "[bounds]\ncontactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeMs = 250\nmaxStretchMs = 5000\nrecoveryS = 12\nmaxHoldMs = 6000\nstopGraceMs = 200\ngangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarFactor = 1.5\ncheckpointS = 2\nrestoreMs = 250\nnoticeMs = 4500\nmigrateS = 1.5\nmaintenanceS = 2\nrequireFencing = true\nleaseMs = 3000\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nretentionS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n%s", f.serve(f.store.serving(name)), more)
	p := &process{name: name, role: role, settings: filepath.Join(f.dir, name+".toml")}
	if err := os.WriteFile(p.settings, []byte(b.String()), 0o600); err != nil {
		return err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return err
	}
	f.procs[name] = p
	f.order = append(f.order, name)
	return f.start(name)
}

// start starts a process, also after it has ended.
func (f *fleet) start(name string) error {
	p := f.procs[name]
	p.cmd = exec.Command(f.binary, p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", wire["boot"] + "=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	f.note("process %s started", name)
	return nil
}

// signal sends a signal to a process.
func (f *fleet) signal(name string, s syscall.Signal) {
	f.note("process %s gets %v", name, s)
	_ = f.procs[name].cmd.Process.Signal(s)
}

// noteCounts writes how many runs were started and how they ended.
func (f *fleet) noteCounts() {
	f.mu.Lock()
	starts, done := 0, 0
	for _, runners := range f.starts {
		starts += len(runners)
	}
	for _, n := range f.done {
		done += n
	}
	f.mu.Unlock()
	f.note("%d runs were started, %d have ended done", starts, done)
}

// kill ends a process at once.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	<-f.procs[name].exited
}

// hasEnded reports whether a process has ended.
func (f *fleet) hasEnded(name string) bool {
	select {
	case <-f.procs[name].exited:
		return true
	default:
		return false
	}
}

// addEntries starts entries, the first of which has the largest share of a processor.
func (f *fleet) addEntries(n int, more string) error {
	for i := range n {
		address := freeAddress()
		f.entries = append(f.entries, address)
		zone := string(rune('a' + i))
		if err := f.add("edge-"+zone+"-1", "platform-entry", zone, "", map[string]string{"front": address, "ready": freeAddress(), "control": freeAddress()}, more); err != nil {
			return err
		}
	}
	return nil
}

// addRunner starts an agent with its runner.
func (f *fleet) addRunner(r *runner) error {
	control := freeAddress()
	f.runners = append(f.runners, r)
	if err := f.add("side-"+r.id, "platform-agent", r.zone, f.serve(r), map[string]string{"control": control}, ""); err != nil {
		return err
	}
	go r.sendHeartbeats(control)
	return nil
}

// close ends everything that was started.
func (f *fleet) close() {
	for _, name := range f.order {
		p := f.procs[name]
		if !f.hasEnded(name) {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		_ = p.log.Close()
	}
	for _, r := range f.runners {
		close(r.stop)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
	_ = f.record.Close()
}

// answer is the answer to a call of a client.
type answer struct {
	status int
	body   string
	after  string
}

// call makes one call of a client at an entry. The status is 0 if there was no answer.
func (f *fleet) call(entry int, method, path, body string, deadline time.Duration) answer {
	request, err := http.NewRequest(method, "http://"+f.entries[entry%len(f.entries)]+path, bytes.NewBufferString(body))
	if err != nil {
		panic(err)
	}
	request.Host = "hub.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, body: string(text), after: response.Header.Get("Retry-After")}
}

// submit hands in a job as a client does, with up to tries attempts at one entry after another.
func (f *fleet) submit(entry int, path, body string, tries int) (accepted bool, statuses []int) {
	for try := range tries {
		a := f.call(entry+try, http.MethodPost, path, body, 3*time.Second)
		statuses = append(statuses, a.status)
		if a.status/100 == 2 {
			return true, statuses
		}
		if a.status == http.StatusBadRequest || a.status == http.StatusNotFound || a.status == http.StatusRequestEntityTooLarge {
			return false, statuses
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false, statuses
}

// state returns the state of a job, or the status in brackets.
func (f *fleet) state(entry int, path string) string {
	a := f.call(entry, http.MethodGet, path, "", 3*time.Second)
	var b struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &b) != nil {
		return fmt.Sprintf("(%d)", a.status)
	}
	return b.State
}

// await waits until a condition holds.
func await(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// ready waits until the deployment takes and completes a job.
func (f *fleet) ready(timeout time.Duration) bool {
	n := 0
	return await(timeout, func() bool {
		n++
		path := fmt.Sprintf("/urgent/%016x", 0xffff0000+n)
		if ok, _ := f.submit(0, path, `{"spec":"work-ms=20 cpu=100","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":20}]}`, 1); !ok {
			return false
		}
		return await(2*time.Second, func() bool { return f.state(0, path) == "completed" })
	})
}

// deploy starts a deployment and waits until it serves.
func (f *fleet) deploy(entries, runners int, cpu int64) error {
	if err := f.addEntries(entries, ""); err != nil {
		return err
	}
	f.store.put("op/config", fmt.Appendf(nil, config, 1, 3, 2))
	for i := range runners {
		if err := f.addRunner(newRunner(f, fmt.Sprintf("i-%d", i), "hub", string(rune('a'+i%entries)), cpu, "a", fmt.Sprintf("r1-%d", i))); err != nil {
			return err
		}
	}
	return f.serves()
}

// serves returns an error unless the deployment takes a job, with all its processes.
func (f *fleet) serves() error {
	if !f.ready(15 * time.Second) {
		return errors.New("the deployment serves nothing")
	}
	for _, name := range f.order {
		if f.hasEnded(name) {
			return fmt.Errorf("process %s could not start", name)
		}
	}
	return nil
}
