package scenario

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// cmdJudge checks the records of the stand-ins and the logs of all processes against the guarantees:
//
//	judge requests|tasks|configuration
func cmdJudge(s *system, a arguments) (string, error) {
	var violations []string
	switch a.arg(0) {
	case "requests":
		violations = s.checkRequests()
	case "tasks":
		violations = s.checkTasks()
	case "configuration":
		violations = s.checkConfiguration()
	default:
		return "", fmt.Errorf("unknown check %q, want requests, tasks or configuration", a.arg(0))
	}
	violations = append(violations, s.checkLogs()...)
	if len(violations) > 0 {
		return "", errors.New(strings.Join(violations, "\n"))
	}
	return "", nil
}

// checkLogs returns the data races and crashes in the logs of the processes.
func (s *system) checkLogs() (violations []string) {
	for name := range s.processes {
		text, err := s.readLog(name)
		if err != nil {
			return []string{err.Error()}
		}
		for _, marker := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
			if i := strings.Index(text, marker); i >= 0 {
				violations = append(violations, name+": "+text[i:min(len(text), i+crashExcerptBytes)])
			}
		}
	}
	return violations
}

// crashExcerptBytes is the length of the excerpt from the log of a crash.
const crashExcerptBytes = 1500

// inForceLine matches the start of an entry, and each revision that an entry puts in force.
var inForceLine = regexp.MustCompile(`"msg":"entry started"|"msg":"configuration in force".*"revision":([0-9]+)`)

// entryLogs returns the logs of the entries by their names.
func (s *system) entryLogs() (logs map[string]string, err error) {
	logs = map[string]string{}
	for name, p := range s.processes {
		if p.callersURL == "" {
			continue
		}
		if logs[name], err = s.readLog(name); err != nil {
			return nil, err
		}
	}
	return logs, nil
}

// checkConfiguration returns the entries that went back to a lower revision of the configuration
// without a restart, according to their logs.
func (s *system) checkConfiguration() (violations []string) {
	logs, err := s.entryLogs()
	if err != nil {
		return []string{err.Error()}
	}
	for name, text := range logs {
		previous := 0
		for _, match := range inForceLine.FindAllStringSubmatch(text, -1) {
			if match[1] == "" {
				previous = 0
				continue
			}
			revision, _ := strconv.Atoi(match[1])
			if revision < previous {
				violations = append(violations, fmt.Sprintf("%s reverted from revision %d to %d", name, previous, revision))
			}
			previous = revision
		}
	}
	return violations
}

func (s *system) workerEvents() (events []worker.Event) {
	for _, m := range s.machines {
		events = append(events, m.worker.Events()...)
	}
	return events
}

// attemptEndLine matches the line in which an owner records the end of an attempt.
var attemptEndLine = regexp.MustCompile(`"msg":"attempt ended".*"task":"([^"]+)","attempt":([0-9]+),.*"ending":"ENDING_(FINISHED|LOST)".*"detail":"([^"]*)"`)

// lostAttempts returns the attempts that owners counted as lost because the agent fell silent, and
// whose finish no owner has recorded, according to the logs of the entries.
func lostAttempts(logs []string) map[string]bool {
	lost, heard := map[string]bool{}, map[string]bool{}
	for _, text := range logs {
		for _, match := range attemptEndLine.FindAllStringSubmatch(text, -1) {
			key := match[1] + "#" + match[2]
			heard[key] = heard[key] || match[3] == "FINISHED"
			lost[key] = lost[key] || match[4] == "the worker fell silent"
		}
	}
	maps.DeleteFunc(lost, func(key string, silent bool) bool { return !silent || heard[key] })
	return lost
}

// withoutUnheardFinishes returns events in which a finish of an idempotent task that was lost is a
// stop, as such a task runs again.
func withoutUnheardFinishes(events []worker.Event, kinds []document.TaskKind, lost map[string]bool) []worker.Event {
	events = slices.Clone(events)
	for i, e := range events {
		ofClass := slices.DeleteFunc(slices.Clone(kinds), func(k document.TaskKind) bool { return k.Class != e.Class })
		idempotent := len(ofClass) > 0 && !slices.ContainsFunc(ofClass, func(k document.TaskKind) bool { return !k.Idempotent })
		if e.Kind == worker.EventFinish && idempotent && lost[fmt.Sprintf("%s#%d", e.Task, e.Attempt)] {
			events[i].Kind = worker.EventStop
		}
	}
	return events
}

// checkTasks returns violations in the records of the workers: executions that are not allowed, and
// reservations above the capacity of a worker.
func (s *system) checkTasks() []string {
	logs, err := s.entryLogs()
	if err != nil {
		return []string{err.Error()}
	}
	events := withoutUnheardFinishes(s.workerEvents(), s.document.TaskKinds, lostAttempts(slices.Collect(maps.Values(logs))))
	violations := worker.CheckHistory(events)
	for name, m := range s.machines {
		if peak := m.worker.PeakReserved(); !peak.Fits(s.options.capacity) {
			violations = append(violations, fmt.Sprintf("%s had %s reserved at once, which exceeds its capacity", name, peak))
		}
	}
	return violations
}

// TestUnheardFinishes checks that the judge allows a second run only of an idempotent task whose
// finish no owner has recorded, and that was lost with a silent agent.
func TestUnheardFinishes(t *testing.T) {
	line := func(ending, detail string) string {
		return fmt.Sprintf(`{"level":"info","msg":"attempt ended","task":"j.0","attempt":1,"worker":"a","ending":"ENDING_%s","phase":"x","checkpoint":"","detail":"%s"}`+"\n", ending, detail)
	}
	silent, finished := line("LOST", "the worker fell silent"), line("FINISHED", "")
	for _, c := range []struct {
		name, class string
		logs        []string
		violations  int
	}{
		{"lost", "idempotent", []string{silent}, 0},
		{"lost before a takeover", "idempotent", []string{silent, ""}, 0},
		{"at-most-once", "once", []string{silent}, 2},
		{"unknown class", "other", []string{silent}, 2},
		{"finish recorded", "idempotent", []string{finished}, 2},
		{"finish recorded by another owner", "idempotent", []string{silent, finished}, 2},
		{"not held any more", "idempotent", []string{line("LOST", "the worker does not hold it any more")}, 2},
		{"evicted", "idempotent", []string{line("EVICTED", "the worker fell silent")}, 2},
		{"no record", "idempotent", nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1_000_000, 0)
			var events []worker.Event
			for i, kind := range []worker.EventKind{worker.EventStart, worker.EventFinish, worker.EventStart, worker.EventFinish} {
				events = append(events, worker.Event{Worker: "a", Task: "j.0", Attempt: uint32(1 + i/2), Kind: kind, Class: c.class, At: start.Add(time.Duration(i) * time.Second)})
			}
			kinds := []document.TaskKind{{Class: "idempotent", Idempotent: true}, {Class: "once"}}
			is.Equal(len(worker.CheckHistory(withoutUnheardFinishes(events, kinds, lostAttempts(c.logs)))), c.violations)
		})
	}
}
