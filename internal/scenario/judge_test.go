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
	faults := worker.CheckHistory(s.events())
	for name, m := range s.machines {
		if peak := m.worker.PeakReserved(); !peak.Fits(s.options.capacity) {
			faults = append(faults, fmt.Sprintf("%s was given %s", name, peak))
		}
	}
	return faults
}
