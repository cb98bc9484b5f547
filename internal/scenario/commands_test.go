package scenario

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/pkg/document"
)

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

// cmdLoad runs the load tool against the system's entries: load FILE [options…]
func cmdLoad(s *system, a arguments) (string, error) {
	var callers, operators []string
	for _, name := range s.live() {
		callers = append(callers, s.processes[name].callers)
		operators = append(operators, s.processes[name].operators)
	}
	arguments := append([]string{"load", filepath.Join(s.dir, a.word(0)), "--callers", strings.Join(callers, ","), "--operators", strings.Join(operators, ",")}, a.words[1:]...)
	out, err := exec.Command(binary, arguments...).CombinedOutput()
	return string(out), err
}

// cmdOperate runs an operator's command against an entry: operate ENTRY COMMAND [options…]
func cmdOperate(s *system, a arguments) (string, error) {
	arguments := append([]string{a.word(1), "--address", s.processes[a.word(0)].operators}, a.words[2:]...)
	out, err := exec.Command(binary, arguments...).CombinedOutput()
	return string(out), err
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
