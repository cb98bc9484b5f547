package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jasminebay/jasminebay/internal/standin"
	"github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
	"github.com/jasminebay/jasminebay/internal/standin/upstream"
	"github.com/jasminebay/jasminebay/internal/standin/worker"
)

var signals = map[string]syscall.Signal{"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT}

// cmdSignal sends a signal to processes, and for kill and term waits until they have exited:
//
//	signal kill|term|freeze|thaw NAME...
//
// The name owner:CELL stands for the live entry that took over the cell last.
func cmdSignal(s *system, a arguments) (string, error) {
	for _, name := range a.positional[1:] {
		if cell, ok := strings.CutPrefix(name, "owner:"); ok {
			name = s.ownerOf(cell)
		}
		p := s.processes[name]
		if p == nil {
			return "", fmt.Errorf("unknown process %q", name)
		}
		if a.arg(0) == "term" {
			p.terminatedAt = time.Now()
		}
		if err := p.command.Process.Signal(signals[a.arg(0)]); errors.Is(err, os.ErrProcessDone) {
			<-p.done
			return "", fmt.Errorf("%s has ended by itself: %v", name, p.command.ProcessState)
		} else if err != nil {
			return "", err
		}
		s.mu.Lock()
		p.frozen = a.arg(0) == "freeze"
		s.mu.Unlock()
		if a.arg(0) == "kill" || a.arg(0) == "term" {
			select {
			case <-p.done:
			case <-time.After(waitTimeout):
				return "", fmt.Errorf("%s did not exit", name)
			}
		}
	}
	return "", nil
}

// cmdTwin starts a second agent for the worker of an agent. The second agent cannot reach an entry:
//
//	twin NAME
func cmdTwin(s *system, a arguments) (string, error) {
	agentAddress, err := standin.FreeAddress()
	if err != nil {
		return "", err
	}
	unusedAddress, err := standin.FreeAddress()
	if err != nil {
		return "", err
	}
	m := s.machines[a.arg(0)]
	return "", s.launch(&process{name: a.arg(0) + "-twin", operatorsURL: "http://" + agentAddress, arguments: []string{
		"agent", "--id", a.arg(0) + "-twin", "--data-centre", m.dataCentre, "--listen", agentAddress,
		"--worker", m.workerURL, "--entry", unusedAddress, "--heartbeat", "500ms",
	}})
}

// cmdStart restarts processes that have exited: start NAME...
func cmdStart(s *system, a arguments) (string, error) {
	for _, name := range a.positional {
		p := s.processes[name]
		if p == nil {
			return "", fmt.Errorf("unknown process %q", name)
		}
		if err := s.launch(p); err != nil {
			return "", err
		}
	}
	return "", nil
}

// cmdLink changes the mode of a link, or of all links with a prefix if the name ends in an asterisk:
//
//	link NAME cut|pass|refuse|hold|hold-up|hold-down|delay|cut-after [VALUE]
func cmdLink(s *system, a arguments) (string, error) {
	for name, r := range s.relays {
		if name != a.arg(0) && !(strings.HasSuffix(a.arg(0), "*") && strings.HasPrefix(name, strings.TrimSuffix(a.arg(0), "*"))) {
			continue
		}
		switch a.arg(1) {
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
			d, err := time.ParseDuration(a.arg(2))
			if err != nil {
				return "", err
			}
			r.Set(relay.Mode{Delay: d, Jitter: d / 2})
		case "cut-after":
			n, err := strconv.Atoi(a.arg(2))
			if err != nil {
				return "", err
			}
			r.Set(relay.Mode{CutAfter: n})
		default:
			return "", fmt.Errorf("unknown link mode %q", a.arg(1))
		}
	}
	return "", nil
}

// cmdFault sets the faults that a stand-in injects:
//
//	fault store|upstream:NAME|worker:NAME JSON
//
// The name * stands for all workers. FIRST in the JSON text stands for the revision of the first document.
func cmdFault(s *system, a arguments) (string, error) {
	kind, name, _ := strings.Cut(a.arg(0), ":")
	data := []byte(strings.ReplaceAll(a.arg(1), "FIRST", strconv.FormatUint(s.firstRevision, 10)))
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
		for machine, m := range s.machines {
			if name == "*" || name == machine {
				m.worker.SetFaults(f)
			}
		}
	default:
		return "", fmt.Errorf("unknown stand-in %q", a.arg(0))
	}
	return "", nil
}
