package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
	"github.com/jasminebay/jasminebay/internal/standin/upstream"
	"github.com/jasminebay/jasminebay/internal/standin/worker"
)

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
			r.CloseConnections()
		case "pass":
			r.Set(relay.Mode{})
		case "refuse":
			r.Set(relay.Mode{Refuse: true})
			r.CloseConnections()
		case "hold":
			r.Set(relay.Mode{StallToServer: true, StallFromServer: true})
		case "hold-up":
			r.Set(relay.Mode{StallToServer: true})
		case "hold-down":
			r.Set(relay.Mode{StallFromServer: true})
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
