package scenario

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jasminebay/jasminebay/internal/standin/worker"
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

// checkConfiguration returns the entries that went back to a lower revision of the configuration
// without a restart, according to their logs.
func (s *system) checkConfiguration() (violations []string) {
	for name, p := range s.processes {
		if p.callersURL == "" {
			continue
		}
		text, err := s.readLog(name)
		if err != nil {
			return []string{err.Error()}
		}
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

// checkTasks returns violations in the records of the workers: executions that are not allowed, and
// reservations above the capacity of a worker.
func (s *system) checkTasks() []string {
	violations := worker.CheckHistory(s.workerEvents())
	for name, m := range s.machines {
		if peak := m.worker.PeakReserved(); !peak.Fits(s.options.capacity) {
			violations = append(violations, fmt.Sprintf("%s had %s reserved at once, which exceeds its capacity", name, peak))
		}
	}
	return violations
}
