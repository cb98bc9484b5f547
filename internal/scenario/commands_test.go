package scenario

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
	"github.com/jasminebay/jasminebay/internal/standin/upstream"
	"github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/pkg/client"
	"github.com/jasminebay/jasminebay/pkg/document"
)

type systemKey struct{}

func setup(env *testscript.Env) error {
	s := &system{
		dir: env.WorkDir, processes: map[string]*process{}, machines: map[string]*machine{},
		relays: map[string]*relay.Relay{}, senders: map[string]*sender{}, jobs: map[string]string{},
	}
	env.Values[systemKey{}] = s
	env.Defer(s.close)
	return nil
}

// arguments are the words of a command: NAME=VALUE pairs and others in order.
type arguments struct {
	words []string
	named map[string]string
}

func (a arguments) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	return ""
}

func (a arguments) number(name string, otherwise int) int {
	if n, err := strconv.Atoi(a.named[name]); err == nil {
		return n
	}
	return otherwise
}

func (a arguments) duration(name string, otherwise time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.named[name]); err == nil {
		return d
	}
	return otherwise
}

func (a arguments) text(name, otherwise string) string {
	if v, ok := a.named[name]; ok {
		return v
	}
	return otherwise
}

// command turns a function over the system into a script command. What it returns as text
// becomes the command's standard output.
func command(f func(*system, arguments) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, words []string) {
		a := arguments{named: map[string]string{}}
		for _, w := range words {
			name, value, ok := strings.Cut(w, "=")
			if ok && !strings.HasPrefix(w, "{") {
				a.named[name] = value
			} else {
				a.words = append(a.words, w)
			}
		}
		s := ts.Value(systemKey{}).(*system)
		out, err := f(s, a)
		if out != "" {
			_, _ = fmt.Fprint(ts.Stdout(), out)
			ts.Logf("%s", out)
		}
		if err != nil && !neg {
			ts.Fatalf("%v", err)
		}
		if err != nil {
			_, _ = fmt.Fprintln(ts.Stdout(), err)
		}
		if err == nil && neg {
			ts.Fatalf("unexpected success")
		}
	}
}

// cmdSystem starts a system: system [example=] [entries=] [data-centres=] [runners=] …
func cmdSystem(s *system, a arguments) (string, error) {
	s.options = options{
		example: a.text("example", "verband"), entries: a.number("entries", 1), dataCentres: a.number("data-centres", 1),
		runners: a.number("runners", 3), slots: a.number("slots", 8), connections: a.number("connections", 64),
		capacity: driver.NewResources(int64(a.number("milli-cpu", 64_000)), 250<<30, int64(a.number("accelerators", 2))),
		times:    map[string]time.Duration{}, grant: a.duration("grant", 4*time.Second),
		margin: a.duration("margin", time.Second), silence: a.duration("silence", 10*time.Minute),
		policy: a.text("policy", ""), guards: a.text("guards", "on") == "on",
		cells: a.number("cells", 1),
	}
	raw, err := examples.Files.ReadFile(s.options.example + ".json")
	if err != nil {
		return "", err
	}
	if s.document, err = document.Parse(raw); err != nil {
		return "", err
	}
	s.document.DataCentres = s.document.DataCentres[:s.options.dataCentres]
	s.document.Guards.Enabled = s.options.guards
	for i := range s.document.Services {
		if s.options.policy != "" {
			s.document.Services[i].Routing.Policy = s.options.policy
		}
		for _, k := range s.document.Services[i].Kinds {
			s.options.times[k.Name] = a.duration(k.Name, 2*time.Millisecond)
		}
	}
	if quota := a.number("quota", 0); quota > 0 {
		s.document.Teams[0].Quota.MilliCPU = int64(quota)
	}
	if err := s.setCells(s.options.cells); err != nil {
		return "", err
	}
	return "", s.boot()
}

// setCells changes the number of cells of each data centre in the document.
func (s *system) setCells(cells int) (err error) {
	s.options.cells = cells
	for i := range s.document.DataCentres {
		s.document.DataCentres[i].Cells = cells
	}
	s.raw, err = json.Marshal(s.document)
	return err
}

// cmdSend sends requests: send NAME KIND [count=] [entry=] [concurrency=] [size=] [key=]
// [path=] [timeout=] [leave=] [background=yes]. Without a count it sends until finish.
func cmdSend(s *system, a arguments) (string, error) {
	n := &sender{
		system: s, name: a.word(0), kind: a.word(1), count: a.number("count", 0), concurrency: a.number("concurrency", 8),
		size: a.number("size", 0), key: a.text("key", ""), path: a.text("path", ""), timeout: a.duration("timeout", 0), leave: a.duration("leave", 0),
		until: make(chan struct{}), done: make(chan struct{}), counts: map[string]int{}, upstreams: map[string]int{}, details: map[string]int{},
	}
	if e := a.text("entry", ""); e != "" {
		n.entries = strings.Split(e, ",")
	}
	s.senders[n.name] = n
	go n.run()
	if a.text("background", "") != "" {
		return "", nil
	}
	<-n.done
	return n.summary(), nil
}

// cmdFinish ends a sender: finish NAME
func cmdFinish(s *system, a arguments) (string, error) {
	n := s.senders[a.word(0)]
	if n == nil {
		return "", fmt.Errorf("no sender %q", a.word(0))
	}
	n.stop()
	<-n.done
	return n.summary(), nil
}

// cmdJudge checks the stand-ins' records and the entries' logs: judge requests|tasks|configuration
func cmdJudge(s *system, a arguments) (string, error) {
	var faults []string
	switch a.word(0) {
	case "requests":
		faults = s.judgeRequests()
	case "tasks":
		faults = s.judgeTasks()
	case "configuration":
		faults = s.judgeConfiguration()
	default:
		return "", fmt.Errorf("judge what? %q", a.word(0))
	}
	faults = append(faults, s.judgeLogs()...)
	if len(faults) > 0 {
		return "", errors.New(strings.Join(faults, "\n"))
	}
	return "", nil
}

// judgeLogs finds data races and crashes that processes have written of.
func (s *system) judgeLogs() (faults []string) {
	for name := range s.processes {
		text, err := s.tail(name)
		if err != nil {
			return []string{err.Error()}
		}
		for _, sign := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
			if i := strings.Index(text, sign); i >= 0 {
				faults = append(faults, name+": "+text[i:min(len(text), i+crashBytes)])
			}
		}
	}
	return faults
}

// crashBytes is how much of a crash is shown.
const crashBytes = 1500

var inForceLine = regexp.MustCompile(`"msg":"entry started"|"msg":"configuration in force".*"revision":([0-9]+)`)

// judgeConfiguration reads from the logs whether a process ever went back to a lower revision.
func (s *system) judgeConfiguration() (faults []string) {
	for name, p := range s.processes {
		if p.callers == "" {
			continue
		}
		text, err := s.tail(name)
		if err != nil {
			return []string{err.Error()}
		}
		highest := 0
		for _, match := range inForceLine.FindAllStringSubmatch(text, -1) {
			if match[1] == "" {
				highest = 0
				continue
			}
			revision, _ := strconv.Atoi(match[1])
			if revision < highest {
				faults = append(faults, fmt.Sprintf("%s went from revision %d back to %d", name, highest, revision))
			}
			highest = revision
		}
	}
	return faults
}

func (s *system) events() (events []worker.Event) {
	for _, m := range s.machines {
		events = append(events, m.worker.Events()...)
	}
	return events
}

func (s *system) judgeTasks() []string {
	faults := worker.Judge(s.events())
	for name, m := range s.machines {
		if peak := m.worker.Peak(); !peak.Fits(s.options.capacity) {
			faults = append(faults, fmt.Sprintf("%s was given %s", name, peak))
		}
	}
	return faults
}

var signals = map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT}

// cmdSignal signals processes: signal kill|term|freeze|thaw NAME… ; term waits for the end.
func cmdSignal(s *system, a arguments) (string, error) {
	for _, name := range a.words[1:] {
		p := s.processes[name]
		if p == nil {
			return "", fmt.Errorf("no process %q", name)
		}
		if err := p.command.Process.Signal(signals[a.word(0)]); err != nil {
			return "", err
		}
		s.mu.Lock()
		p.frozen = a.word(0) == "freeze"
		s.mu.Unlock()
		if a.word(0) == "kill" || a.word(0) == "term" {
			select {
			case <-p.done:
			case <-time.After(processWait):
				return "", fmt.Errorf("%s did not end", name)
			}
		}
	}
	return "", nil
}

// cmdTwin starts a second agent for a worker, which reaches no entry: twin NAME
func cmdTwin(s *system, a arguments) (string, error) {
	listen, err := freePort()
	if err != nil {
		return "", err
	}
	nobody, err := freePort()
	if err != nil {
		return "", err
	}
	m := s.machines[a.word(0)]
	return "", s.launch(&process{name: a.word(0) + "-twin", operators: "http://" + listen, arguments: []string{
		"agent", "--id", a.word(0) + "-twin", "--data-centre", m.dataCentre, "--listen", listen,
		"--worker", m.workerURL, "--entry", nobody, "--heartbeat", "500ms",
	}})
}

// cmdStart starts processes again: start NAME…
func cmdStart(s *system, a arguments) (string, error) {
	for _, name := range a.words {
		p := s.processes[name]
		if p == nil {
			return "", fmt.Errorf("no process %q", name)
		}
		if err := s.launch(p); err != nil {
			return "", err
		}
	}
	return "", nil
}

// cmdLink changes a link: link NAME cut|pass|refuse|hold|hold-up|hold-down|delay|cut-after [VALUE]
func cmdLink(s *system, a arguments) (string, error) {
	for name, r := range s.relays {
		if name != a.word(0) && !(strings.HasSuffix(a.word(0), "*") && strings.HasPrefix(name, strings.TrimSuffix(a.word(0), "*"))) {
			continue
		}
		switch a.word(1) {
		case "cut":
			r.Cut()
		case "pass":
			r.Set(relay.Mode{})
		case "refuse":
			r.Set(relay.Mode{Refuse: true})
			r.Cut()
		case "hold":
			r.Set(relay.Mode{HoldUp: true, HoldDown: true})
		case "hold-up":
			r.Set(relay.Mode{HoldUp: true})
		case "hold-down":
			r.Set(relay.Mode{HoldDown: true})
		case "delay":
			d, err := time.ParseDuration(a.word(2))
			if err != nil {
				return "", err
			}
			r.Set(relay.Mode{Delay: d, Jitter: d / 2})
		case "cut-after":
			n, err := strconv.Atoi(a.word(2))
			if err != nil {
				return "", err
			}
			r.Set(relay.Mode{CutAfter: n})
		default:
			return "", fmt.Errorf("unknown mode %q", a.word(1))
		}
	}
	return "", nil
}

// cmdFault sets a stand-in's faults: fault store|upstream:NAME|worker:NAME JSON, where FIRST
// stands for the revision of the first document
func cmdFault(s *system, a arguments) (string, error) {
	kind, name, _ := strings.Cut(a.word(0), ":")
	data := []byte(strings.ReplaceAll(a.word(1), "FIRST", strconv.FormatUint(s.first, 10)))
	switch kind {
	case "store":
		var f kv.Faults
		if err := json.Unmarshal(data, &f); err != nil {
			return "", err
		}
		s.store.SetFaults(f)
	case "upstream":
		var f upstream.Faults
		if err := json.Unmarshal(data, &f); err != nil {
			return "", err
		}
		s.machines[name].upstream.SetFaults(f)
	case "worker":
		var f worker.Faults
		if err := json.Unmarshal(data, &f); err != nil {
			return "", err
		}
		s.machines[name].worker.SetFaults(f)
	default:
		return "", fmt.Errorf("no stand-in %q", a.word(0))
	}
	return "", nil
}

// cmdSubmit submits a job: submit NAME KIND [count=] [run=] [milli-cpu=] [key=] [entry=] [gang=yes]
func cmdSubmit(s *system, a arguments) (string, error) {
	spec := client.JobSpec{
		Team: s.document.Teams[0].Name, Name: a.word(0), Gang: a.text("gang", "") != "",
		Urgency: document.Urgency(a.text("urgency", "")),
		Tasks: []client.TaskSpec{{
			Kind: a.word(1), Count: a.number("count", 1), MilliCPU: int64(a.number("milli-cpu", 1000)), MemoryBytes: 1 << 30,
			Accelerators: int64(a.number("accelerators", 0)), Run: document.Duration(a.duration("run", time.Second)),
		}},
	}
	entry := a.text("entry", "")
	if entry == "" {
		entry = s.live()[0]
	}
	job, err := s.operator(entry).Submit(context.Background(), spec, a.text("key", ""))
	if err != nil {
		return "", err
	}
	s.jobs[a.word(0)] = job.ID
	return job.ID + "\n", nil
}

// cmdAwait waits for a job's counts: await NAME [within=] PHASE=COUNT…
func cmdAwait(s *system, a arguments) (string, error) {
	var text string
	err := untilWithin(a.duration("within", processWait), func() error {
		live := s.live()
		if len(live) == 0 {
			return errors.New("no entry is live")
		}
		job, err := s.operator(live[0]).Job(context.Background(), s.jobs[a.word(0)])
		if err != nil {
			return err
		}
		text = describe(job)
		for phase, want := range a.named {
			if phase != "within" && strconv.Itoa(job.Counts[phase]) != want {
				return fmt.Errorf("%s is %s, want %v", a.word(0), text, a.named)
			}
		}
		return nil
	})
	return text, err
}

func describe(job client.Job) string {
	var b strings.Builder
	evictions, attempts := 0, 0
	for _, t := range job.Tasks {
		evictions += int(t.Evictions)
		attempts += int(t.Attempt)
		if t.Detail != "" {
			fmt.Fprintf(&b, "detail: %s\n", t.Detail)
		}
	}
	return fmt.Sprintf("state=%s counts=%v evictions=%d attempts=%d\n%s", job.State, job.Counts, evictions, attempts, b.String())
}

// cmdJob calls on a job: job cancel NAME | job settle NAME OUTCOME | job drain WORKER ; or
// checks that two jobs lie in different cells: job apart NAME NAME
func cmdJob(s *system, a arguments) (string, error) {
	operator := s.operator(s.live()[0])
	id := s.jobs[a.word(1)]
	switch a.word(0) {
	case "apart":
		cell := id[:strings.LastIndexByte(id, '-')+1]
		if strings.HasPrefix(s.jobs[a.word(2)], cell) {
			return "", fmt.Errorf("both jobs lie in %s", cell)
		}
		return "", nil
	case "cancel":
		return "", until(func() error {
			_, err := operator.Cancel(context.Background(), id)
			return err
		})
	case "settle":
		job, err := operator.Job(context.Background(), id)
		for _, t := range job.Tasks {
			if err == nil && t.Phase == client.TaskPhaseUnknown {
				_, err = operator.Settle(context.Background(), id, t.ID, client.Settlement{Outcome: a.word(2)})
			}
		}
		return "", err
	case "drain":
		var errs []error
		for _, e := range s.live() {
			if err := s.operator(e).Drain(context.Background(), a.word(1)); err == nil {
				return "", nil
			} else {
				errs = append(errs, err)
			}
		}
		return "", errors.Join(errs...)
	}
	return "", fmt.Errorf("unknown call %q", a.word(0))
}

// cmdApply changes the configuration: apply ENTRY [revision=] [bytes=] [cells=] ; without a
// revision it is the one that is read first, and bytes pads the document.
func cmdApply(s *system, a arguments) (string, error) {
	operator := s.operator(a.word(0))
	revision := uint64(a.number("revision", 0))
	if revision == 0 {
		_, current, err := operator.Environment(context.Background(), s.document.Environment)
		if err != nil {
			return "", err
		}
		revision = current
	}
	before := s.options.cells
	if err := s.setCells(a.number("cells", before)); err != nil {
		return "", err
	}
	raw := append(bytes.Repeat([]byte{' '}, max(0, a.number("bytes", 0)-len(s.raw))), s.raw...)
	next, err := operator.Apply(context.Background(), s.document.Environment, revision, raw)
	if err != nil {
		return "", errors.Join(err, s.setCells(before))
	}
	s.accepted = int(next)
	return fmt.Sprintf("from %d to %d\n", revision, next), nil
}

// cmdRace lets operators change the same revision at once, through all entries in turn, and
// checks that one wins and the others are told the current revision: race operators= rounds=
func cmdRace(s *system, a arguments) (string, error) {
	live := s.live()
	for range a.number("rounds", 1) {
		_, revision, err := s.operator(live[0]).Environment(context.Background(), s.document.Environment)
		if err != nil {
			return "", err
		}
		results := make([]error, a.number("operators", 2))
		accepted := make([]uint64, len(results))
		var wait sync.WaitGroup
		for i := range results {
			wait.Go(func() {
				accepted[i], results[i] = s.operator(live[i%len(live)]).Apply(context.Background(), s.document.Environment, revision, s.raw)
			})
		}
		wait.Wait()
		next := slices.Max(accepted)
		winners := 0
		for _, err := range results {
			var problem *client.Error
			switch {
			case err == nil:
				winners++
			case !errors.As(err, &problem) || problem.Status != http.StatusPreconditionFailed || problem.Revision != next:
				return "", fmt.Errorf("revision %d became %d and an operator was told: %w", revision, next, err)
			}
		}
		if winners != 1 {
			return "", fmt.Errorf("%d operators won over revision %d", winners, revision)
		}
		s.accepted = int(next)
	}
	return "", nil
}

// cmdPromote promotes a document: promote ENTRY FROM TO ; the target's revision is read first
// if it is the system's own environment, and taken to be none otherwise.
func cmdPromote(s *system, a arguments) (string, error) {
	operator := s.operator(a.word(0))
	revision := uint64(0)
	if a.word(2) == s.document.Environment {
		_, current, err := operator.Environment(context.Background(), a.word(2))
		if err != nil {
			return "", err
		}
		revision = current
	}
	next, err := operator.Promote(context.Background(), a.word(1), a.word(2), revision)
	if err != nil {
		return "", err
	}
	if a.word(2) == s.document.Environment {
		s.accepted = int(next)
	}
	return fmt.Sprintf("from %s to %s: %d\n", a.word(1), a.word(2), next), nil
}

// cmdInForce waits until the newest accepted revision is in force in every data centre: inforce
// [within=]
func cmdInForce(s *system, a arguments) (string, error) {
	var text string
	began := time.Now()
	err := untilWithin(a.duration("within", 3*time.Second), func() error {
		for _, name := range s.live() {
			status, err := s.operator(name).Status(context.Background(), s.document.Environment)
			if err != nil {
				return err
			}
			text = fmt.Sprintf("revision=%d after %v %+v\n", status.Revision, time.Since(began).Round(time.Millisecond), status.DataCentres)
			if status.Revision < uint64(s.accepted) || len(status.DataCentres) != a.number("data-centres", len(s.document.DataCentres)) {
				return errors.New(name + " " + text)
			}
			for _, dc := range status.DataCentres {
				if !dc.InForce {
					return errors.New(name + " " + text)
				}
			}
		}
		return nil
	})
	return text, err
}

func cmdSleep(_ *system, a arguments) (string, error) {
	d, err := time.ParseDuration(a.word(0))
	time.Sleep(d)
	return "", err
}

// cmdReady waits until the system is whole, or until a balancer would send callers to each
// live entry: ready [balancer]
func cmdReady(s *system, a arguments) (string, error) {
	if a.word(0) != "balancer" {
		return "", s.ready()
	}
	return "", until(func() error {
		for _, name := range s.live() {
			if _, err := s.ask(s.processes[name].callers + "/readyz"); err != nil {
				return err
			}
		}
		return nil
	})
}

// cmdOwners waits until the head of each cell names a live owner: owners [epoch=]
func cmdOwners(s *system, a arguments) (string, error) {
	return "", until(func() error {
		for _, dc := range s.document.DataCentres {
			for n := range dc.Cells {
				if err := s.taken(fmt.Sprintf("%s.%d", dc.Name, n), a.text("epoch", "")); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// taken reports whether a live entry has logged that it took a cell, under an epoch if it
// is not "".
func (s *system) taken(cell, epoch string) error {
	for _, name := range s.live() {
		text, err := s.tail(name)
		if err != nil {
			return err
		}
		if strings.Contains(text, `"cell taken"`) && strings.Contains(text, `"cell":"`+cell+`","epoch":`+epoch) {
			return nil
		}
	}
	return fmt.Errorf("nobody has taken %s under epoch %s", cell, cmp.Or(epoch, "any"))
}

func (s *system) tail(name string) (string, error) {
	data, err := os.ReadFile(s.processes[name].log)
	return string(data), err
}

// cmdLogged waits for a line of a process's log: logged NAME PATTERN
func cmdLogged(s *system, a arguments) (string, error) {
	pattern, err := regexp.Compile(a.word(1))
	if err != nil {
		return "", err
	}
	var found string
	err = until(func() error {
		text, err := s.tail(a.word(0))
		if err != nil {
			return err
		}
		if found = pattern.FindString(text); found == "" {
			return fmt.Errorf("%s has not logged %q", a.word(0), a.word(1))
		}
		return nil
	})
	return found + "\n", err
}

// cmdRuns prints how many requests began at an upstream after it was last asked: runs NAME
func cmdRuns(s *system, a arguments) (string, error) {
	runs := s.machines[a.word(0)].upstream.Record().Runs
	newest := time.Time{}
	open := 0
	for _, r := range runs {
		if r.Began.After(newest) {
			newest = r.Began
		}
		if r.Ended.IsZero() {
			open++
		}
	}
	if quiet := a.duration("quiet", 0); quiet > 0 && time.Since(newest) < quiet {
		return "", fmt.Errorf("a request began %v ago", time.Since(newest))
	}
	return fmt.Sprintf("runs=%d open=%d\n", len(runs), open), nil
}

// cmdTasks prints the events of the workers by kind, or waits for a count of one:
// tasks [KIND=COUNT] [within=]
func cmdTasks(s *system, a arguments) (string, error) {
	var text string
	err := untilWithin(a.duration("within", processWait), func() error {
		counts := map[string]int{}
		for _, e := range s.events() {
			counts[string(e.Kind)]++
		}
		text = fmt.Sprintf("%v\n", counts)
		for kind, want := range a.named {
			if kind == "within" {
				continue
			}
			if n, err := strconv.Atoi(want); err != nil || counts[kind] < n {
				return fmt.Errorf("events are %v, want at least %v", counts, a.named)
			}
		}
		return nil
	})
	return text, err
}

// cmdRaw sends bytes to a port of an entry and prints what comes back: raw callers|peers ENTRY TEXT
func cmdRaw(s *system, a arguments) (string, error) {
	address := strings.TrimPrefix(s.processes[a.word(1)].callers, "http://")
	if a.word(0) == "peers" {
		address = s.relays[a.word(1)].Address()
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	text, err := strconv.Unquote(`"` + a.word(2) + `"`)
	if err != nil {
		return "", err
	}
	if _, err := conn.Write([]byte(strings.Repeat(text, a.number("times", 1)))); err != nil {
		return "broken: " + err.Error() + "\n", nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(a.duration("within", 15*time.Second)))
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if n == 0 {
		return fmt.Sprintf("closed: %v\n", err), nil
	}
	return string(answer[:n]) + "\n", nil
}

// cmdCalls checks that the store gets at most so many calls in any second: calls most= for=
func cmdCalls(s *system, a arguments) (string, error) {
	var totals []int
	for began := time.Now(); time.Since(began) < a.duration("for", time.Second); time.Sleep(callsSample) {
		c := s.store.Counts()
		totals = append(totals, c.Reads+c.Writes+c.Refused)
	}
	peak := 0
	second := int(time.Second / callsSample)
	for i := range totals {
		peak = max(peak, totals[i]-totals[max(0, i-second)])
	}
	text := fmt.Sprintf("peak=%d a second\n", peak)
	if most := a.number("most", 0); peak > most {
		return text, fmt.Errorf("the store got %d calls in a second, want at most %d", peak, most)
	}
	return text, nil
}

// callsSample is how often the store's calls are counted.
const callsSample = 100 * time.Millisecond

// cmdAmplification checks that the entries have sent at most so many times as many
// requests as they got: amplification MOST
func cmdAmplification(s *system, a arguments) (string, error) {
	most, err := strconv.ParseFloat(a.word(0), 64)
	if err != nil {
		return "", err
	}
	retries, requests := 0.0, 0.0
	for _, name := range s.live() {
		metrics, err := s.ask(s.processes[name].operators + "/metrics")
		if err != nil {
			return "", err
		}
		retries += sumMetric(metrics, "jasminebay_request_retries_total")
		requests += sumMetric(metrics, "jasminebay_requests_total")
	}
	text := fmt.Sprintf("requests=%.0f retries=%.0f\n", requests, retries)
	if requests == 0 || (requests+retries)/requests > most {
		return text, fmt.Errorf("amplification over %v: %s", most, text)
	}
	return text, nil
}

func sumMetric(metrics, name string) (sum float64) {
	for _, line := range strings.Split(metrics, "\n") {
		if !strings.HasPrefix(line, name) {
			continue
		}
		if v, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64); err == nil {
			sum += v
		}
	}
	return sum
}
