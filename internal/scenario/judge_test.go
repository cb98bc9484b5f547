package scenario

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jasminebay/jasminebay/internal/standin/worker"
)

// cmdJudge checks the stand-ins' records and the entries' logs: judge requests|tasks|configuration
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
		return "", fmt.Errorf("judge what? %q", a.arg(0))
	}
	violations = append(violations, s.checkLogs()...)
	if len(violations) > 0 {
		return "", errors.New(strings.Join(violations, "\n"))
	}
	return "", nil
}

// judgeLogs finds data races and crashes that processes have written of.
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

// crashBytes is how much of a crash is shown.
const crashExcerptBytes = 1500

var inForceLine = regexp.MustCompile(`"msg":"entry started"|"msg":"configuration in force".*"revision":([0-9]+)`)

// judgeConfiguration reads from the logs whether a process ever went back to a lower revision.
func (s *system) checkConfiguration() (violations []string) {
	for name, p := range s.processes {
		if p.callersURL == "" {
			continue
		}
		text, err := s.readLog(name)
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
				violations = append(violations, fmt.Sprintf("%s went from revision %d back to %d", name, highest, revision))
			}
			highest = revision
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

func (s *system) checkTasks() []string {
	violations := worker.Judge(s.workerEvents())
	for name, m := range s.machines {
		if peak := m.worker.Peak(); !peak.Fits(s.options.capacity) {
			violations = append(violations, fmt.Sprintf("%s was given %s", name, peak))
		}
	}
	return violations
}
