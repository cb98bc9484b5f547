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

// cmdSystem starts a system:
//
//	system [example=] [entries=] [data-centres=] [runners=] [slots=] [connections=] [milli-cpu=]
//	       [accelerators=] [grant=] [margin=] [silence=] [policy=] [guards=] [cells=] [quota=]
//	       [processors=]
//	       [KIND=SERVICE-TIME]...
func cmdSystem(s *system, a arguments) (string, error) {
	s.options = options{
		example: a.text("example", "verband"), entries: a.number("entries", 1), dataCentres: a.number("data-centres", 1),
		runners: a.number("runners", 3), slots: a.number("slots", 8), connections: a.number("connections", 64),
		capacity:     driver.NewResources(int64(a.number("milli-cpu", 64_000)), 250<<30, int64(a.number("accelerators", 2))),
		serviceTimes: map[string]time.Duration{}, grant: a.duration("grant", 4*time.Second),
		grantMargin: a.duration("margin", time.Second), storeSilence: a.duration("silence", 10*time.Minute),
		policy: a.text("policy", ""), guards: a.text("guards", "on") == "on",
		cellsPerDataCentre: a.number("cells", 1), processors: a.number("processors", 0),
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
			s.options.serviceTimes[k.Name] = a.duration(k.Name, 2*time.Millisecond)
		}
	}
	if quota := a.number("quota", 0); quota > 0 {
		s.document.Teams[0].Quota.MilliCPU = int64(quota)
	}
	if err := s.setCells(s.options.cellsPerDataCentre); err != nil {
		return "", err
	}
	return "", s.boot()
}

// cmdSend sends requests, without a count until the command finish:
//
//	send NAME KIND [count=] [entry=] [concurrency=] [size=] [key=] [path=] [timeout=] [leave=]
//	     [background=yes]
//
// leave is the time after which callers cancel their requests. The key "each" gives each request a
// key of its own.
func cmdSend(s *system, a arguments) (string, error) {
	snd := &sender{
		system: s, name: a.arg(0), kind: a.arg(1), count: a.number("count", 0), concurrency: a.number("concurrency", 8),
		size: a.number("size", 0), key: a.text("key", ""), path: a.text("path", ""), timeout: a.duration("timeout", 0), cancelAfter: a.duration("leave", 0),
		quit: make(chan struct{}), left: make(chan struct{}), done: make(chan struct{}), counts: map[string]int{}, upstreams: map[string]int{}, details: map[string]int{},
	}
	if e := a.text("entry", ""); e != "" {
		snd.entries = strings.Split(e, ",")
	}
	s.senders[snd.name] = snd
	go snd.run()
	if a.text("background", "") != "" {
		return "", nil
	}
	<-snd.done
	return snd.summary(), nil
}

// cmdLoad runs the load tool against the live entries: load FILE [OPTION...]
func cmdLoad(s *system, a arguments) (string, error) {
	var callerURLs, operatorURLs []string
	for _, name := range s.liveEntries() {
		callerURLs = append(callerURLs, s.processes[name].callersURL)
		operatorURLs = append(operatorURLs, s.processes[name].operatorsURL)
	}
	args := append([]string{"load", filepath.Join(s.dir, a.arg(0)), "--callers", strings.Join(callerURLs, ","), "--operators", strings.Join(operatorURLs, ",")}, a.positional[1:]...)
	out, err := exec.Command(binaryPath, args...).CombinedOutput()
	return string(out), err
}

// cmdOperate runs an operator's command against an entry: operate ENTRY COMMAND [OPTION...]
func cmdOperate(s *system, a arguments) (string, error) {
	args := append([]string{a.arg(1), "--address", s.processes[a.arg(0)].operatorsURL}, a.positional[2:]...)
	out, err := exec.Command(binaryPath, args...).CombinedOutput()
	return string(out), err
}

// cmdFinish stops a sender and prints the summary of its requests. With leave its callers cancel
// those in flight:
//
//	finish NAME [leave=yes]
func cmdFinish(s *system, a arguments) (string, error) {
	snd := s.senders[a.arg(0)]
	if snd == nil {
		return "", fmt.Errorf("unknown sender %q", a.arg(0))
	}
	snd.stop()
	if a.text("leave", "") != "" {
		snd.leave()
	}
	<-snd.done
	return snd.summary(), nil
}
