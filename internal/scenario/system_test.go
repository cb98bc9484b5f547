package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/standin"
	"github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
	"github.com/jasminebay/jasminebay/internal/standin/upstream"
	"github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

const (
	waitTimeout  = 40 * time.Second
	pollInterval = 20 * time.Millisecond
)

// system is a set of real processes of the program under test, together with the stand-ins for
// the key-value service, the workers and the upstreams that they talk to.
type system struct {
	dir          string
	document     *document.Document
	documentJSON []byte
	options      options
	store        *kv.Server
	storeURL     string
	processes    map[string]*process
	processNames []string
	machines     map[string]*machine
	relays       map[string]*relay.Relay
	cleanups     []func()
	mu           sync.Mutex
	senders      map[string]*sender
	callers      map[string]*openCallers
	jobIDs       map[string]string
	outcomes     []outcome
	// firstRevision is the revision of the first document.
	firstRevision uint64
	// acceptedRevision is the revision that the last accepted change returned to its operator.
	acceptedRevision int
}

// options set the size of a system and the settings of its processes and stand-ins.
type options struct {
	example            string
	entries            int
	dataCentres        int
	runners            int
	slots              int
	connections        int
	capacity           driver.Resources
	serviceTimes       map[string]time.Duration
	grant              time.Duration
	grantMargin        time.Duration
	storeSilence       time.Duration
	policy             string
	guards             bool
	cellsPerDataCentre int
	// processors limits the processors that each process uses at once; 0 sets no limit.
	processors int
}

// machine holds the stand-ins for the worker and the upstream that share a machine with an agent.
type machine struct {
	worker   *worker.Server
	upstream *upstream.Server
	agentURL string
	workerURL,
	dataCentre,
	rack string
}

// process is a process of the program under test. callersURL is empty for agents.
type process struct {
	name         string
	arguments    []string
	command      *exec.Cmd
	done         chan struct{}
	callersURL   string
	operatorsURL string
	logPath      string
	frozen       bool
	// terminatedAt is when the process got its last SIGTERM.
	terminatedAt time.Time
}

func (s *system) close() {
	for _, snd := range s.senders {
		snd.stop()
		<-snd.done
	}
	for _, r := range s.relays {
		r.Set(relay.Mode{})
	}
	for _, p := range s.processes {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
	for _, r := range s.relays {
		r.Close()
	}
}

// serve serves a stand-in within the test process and returns its address.
func (s *system) serve(h http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ConnState: state}
	go func() { _ = server.Serve(l) }()
	s.cleanups = append(s.cleanups, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// addRelay starts a relay in front of address and returns the address of the relay. Scripts refer
// to the link by name.
func (s *system) addRelay(name, address string) (string, error) {
	r, err := relay.New(address, relay.Mode{})
	if err != nil {
		return "", err
	}
	s.relays[name] = r
	return r.Address(), nil
}

func (s *system) boot() error {
	s.store = kv.New(kv.Options{})
	address, err := s.serve(s.store.Handler(), nil)
	if err != nil {
		return err
	}
	s.storeURL = "http://" + address
	for i := range s.options.entries {
		for _, dc := range s.document.DataCentres {
			if err := s.addEntry(fmt.Sprintf("%s-%d", dc.Name, i), dc.Name); err != nil {
				return err
			}
		}
	}
	if err := s.applyFirstDocument(); err != nil {
		return err
	}
	for i := range s.options.runners {
		if err := s.addMachine(i); err != nil {
			return err
		}
	}
	return s.waitReady()
}

func (s *system) applyFirstDocument() error {
	return eventually(func() error {
		revision, err := s.operatorClient(s.processNames[0]).Apply(context.Background(), s.document.Environment, 0, s.documentJSON)
		s.firstRevision = revision
		return err
	})
}

func (s *system) addEntry(name, dataCentre string) error {
	listenAddress, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	advertiseAddress, err := s.addRelay(name, listenAddress)
	if err != nil {
		return err
	}
	storeAddress, err := s.addRelay("store:"+name, strings.TrimPrefix(s.storeURL, "http://"))
	if err != nil {
		return err
	}
	callersAddress, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	operatorsAddress, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	p := &process{name: name, callersURL: "http://" + callersAddress, operatorsURL: "http://" + operatorsAddress, arguments: []string{
		"entry", "--id", name, "--data-centre", dataCentre, "--environment", s.document.Environment,
		"--callers", callersAddress, "--operators", operatorsAddress, "--listen", listenAddress, "--advertise", advertiseAddress,
		"--store", "http://" + storeAddress, "--drain-timeout", "10s", "--grant", s.options.grant.String(),
		"--grant-margin", s.options.grantMargin.String(), "--store-silence", s.options.storeSilence.String(),
	}}
	for _, other := range s.processNames {
		if r := s.relays[other]; r != nil {
			p.arguments = append(p.arguments, "--peer", r.Address())
		}
	}
	return s.launch(p)
}

func (s *system) addMachine(index int) error {
	dc := s.document.DataCentres[index%len(s.document.DataCentres)]
	name := fmt.Sprintf("runner-%d", index)
	m := &machine{dataCentre: dc.Name, rack: fmt.Sprintf("rack-%d", index/3)}
	m.worker = worker.New(worker.Options{Name: name, Capacity: s.options.capacity})
	workerAddress, err := s.serve(m.worker.Handler(), nil)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go m.worker.Run(done)
	s.cleanups = append(s.cleanups, func() { close(done) })
	workerAddress, err = s.addRelay("worker:"+name, workerAddress)
	if err != nil {
		return err
	}
	m.workerURL = "http://" + workerAddress
	agentAddress, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	m.agentURL = "http://" + agentAddress
	if err := s.addUpstream(name, m); err != nil {
		return err
	}
	s.machines[name] = m
	p := &process{name: name, operatorsURL: m.agentURL, arguments: []string{
		"agent", "--id", name, "--data-centre", dc.Name, "--rack", m.rack, "--listen", agentAddress,
		"--worker", m.workerURL, "--heartbeat", "500ms", "--drain-timeout", "10s",
	}}
	for _, e := range s.processNames {
		if r := s.relays[e]; r != nil && strings.HasPrefix(e, dc.Name) {
			p.arguments = append(p.arguments, "--entry", r.Address())
		}
	}
	return s.launch(p)
}

func (s *system) addUpstream(name string, m *machine) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address, err := s.addRelay("upstream:"+name, l.Addr().String())
	if err != nil {
		return err
	}
	m.upstream = upstream.New(upstream.Options{
		Service: s.document.Services[0].Name, Address: "http://" + address, Agent: m.agentURL,
		Slots: s.options.slots, Connections: s.options.connections,
		ServiceTime: func(kind string) time.Duration { return s.options.serviceTimes[kind] },
	})
	server := &http.Server{Handler: m.upstream.Handler(), ConnState: m.upstream.ConnState}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	go m.upstream.Announce(ctx)
	s.cleanups = append(s.cleanups, func() {
		cancel()
		_ = server.Close()
	})
	return nil
}

// launch starts a process and appends its standard error to the log file of the process.
func (s *system) launch(p *process) error {
	p.logPath = filepath.Join(s.dir, p.name+".log")
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.command = exec.Command(binaryPath, p.arguments...)
	p.command.Stderr = out
	if s.options.processors > 0 {
		p.command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", s.options.processors))
	}
	// The kernel kills the process if the test is killed or panics.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		defer close(done)
		_ = c.Wait()
	}(p.command, p.done)
	if s.processes[p.name] == nil {
		s.processes[p.name] = p
		s.processNames = append(s.processNames, p.name)
	}
	return nil
}

func (s *system) operatorClient(name string) *client.Client {
	return client.New(client.Options{Address: s.processes[name].operatorsURL, HTTP: &http.Client{Timeout: 8 * time.Second}})
}

// liveEntries returns the names of the entries that are running and not frozen.
func (s *system) liveEntries() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.processNames {
		p := s.processes[name]
		if p.callersURL == "" || p.frozen {
			continue
		}
		select {
		case <-p.done:
		default:
			names = append(names, name)
		}
	}
	return names
}

// waitReady waits until every live entry reports a ready upstream for each live agent of its data
// centre, has a configuration in force according to its readiness check, and can list jobs.
func (s *system) waitReady() error {
	return eventually(func() error {
		for _, name := range s.liveEntries() {
			upstreams, err := s.operatorClient(name).Upstreams(context.Background())
			if err != nil {
				return err
			}
			count := 0
			for _, u := range upstreams {
				if u.Ready && !u.Draining {
					count++
				}
			}
			if want := s.countLiveAgents(name); count < want {
				return fmt.Errorf("%s reports %d ready upstreams, want at least %d", name, count, want)
			}
			if _, err := s.get(s.processes[name].operatorsURL + "/readyz"); err != nil {
				return err
			}
		}
		return s.checkJobsListed()
	})
}

// checkJobsListed returns an error unless every live entry can list jobs.
func (s *system) checkJobsListed() error {
	for _, name := range s.liveEntries() {
		jobs, err := s.operatorClient(name).Jobs(context.Background())
		if err != nil || jobs == nil {
			return fmt.Errorf("%s did not list jobs: %v", name, err)
		}
	}
	return nil
}

// countLiveAgents returns the number of live agents in the data centre of an entry.
func (s *system) countLiveAgents(entry string) (count int) {
	for name, m := range s.machines {
		p := s.processes[name]
		if p == nil || p.frozen || !strings.HasPrefix(entry, m.dataCentre) {
			continue
		}
		select {
		case <-p.done:
		default:
			count++
		}
	}
	return count
}

// get returns the body of a response with status 200, and an error for any other status.
func (s *system) get(url string) (string, error) {
	r, err := (&http.Client{Timeout: 5 * time.Second}).Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return "", fmt.Errorf("GET %s: %s", url, r.Status)
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// eventually calls f until it succeeds or waitTimeout has passed, and returns its last error.
func eventually(f func() error) error { return eventuallyWithin(waitTimeout, f) }

// eventuallyWithin calls f until it succeeds or the timeout has passed, and returns its last error.
func eventuallyWithin(timeout time.Duration, f func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// standinRoleEnv is the environment variable that makes the test binary run as a stand-in. Its value
// is the role: kv, worker or upstream.
const standinRoleEnv = "JASMINEBAY_TEST_STANDIN"

// standinConfig is the configuration of a stand-in process.
type standinConfig struct {
	Listen  string `json:"listen"`
	Name    string `json:"name"`
	Agent   string `json:"agent"`
	Service string `json:"service"`
}

// runStandin serves a stand-in in this process until the process is killed.
func runStandin(role string) {
	var c standinConfig
	if err := json.Unmarshal([]byte(os.Getenv("JASMINEBAY_TEST_CONFIG")), &c); err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		panic(err)
	}
	server := &http.Server{}
	switch role {
	case "kv":
		server.Handler = kv.New(kv.Options{}).Handler()
	case "worker":
		w := worker.New(worker.Options{Name: c.Name, Capacity: driver.NewResources(64_000, 250<<30, 2)})
		go w.Run(make(chan struct{}))
		server.Handler = w.Handler()
	case "upstream":
		u := upstream.New(upstream.Options{Service: c.Service, Address: "http://" + c.Listen, Agent: c.Agent, Slots: 8, Connections: 64})
		go u.Announce(context.Background())
		server.Handler, server.ConnState = u.Handler(), u.ConnState
	}
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}
