package main

import (
	_ "embed"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

//go:embed wire.txt
var wireText string

// wireNames holds the platform's names for calls and fields.
var wireNames = func() map[string]string {
	names := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(wireText), "\n") {
		key, name, _ := strings.Cut(line, " ")
		names[key] = name
	}
	return names
}()

func wire(key string) string {
	name, known := wireNames[key]
	if !known {
		panic("no name on the wire for " + key)
	}
	return name
}

// world is what the stand-ins share: one lock, the record, and what clients have submitted.
type world struct {
	mu     sync.Mutex
	began  time.Time
	record *os.File
	// jobs holds the steps of the jobs that were submitted, by id.
	jobs    map[string][]step
	runners []*runner
	// ticketed is set if runners refuse starts without a ticket.
	ticketed bool
	tickets  map[string]issuedTicket
	// refusals counts the starts that were refused for want of a ticket.
	refusals int
	// approve decides whether a runner may run a step.
	approve func(step string, r *runner) bool
	// lateOn is the runner that got the start which is carried out late.
	lateOn *runner
	// settled holds the tasks of which an end done was taken note of.
	settled map[string]bool
	// service is the one that runs the queue, if starts on another are judged.
	service string
	broken  []string
}

// step is a step of a job as its client has submitted it.
type step struct {
	Count  int
	CPU    int64
	MemMb  int64
	Gang   bool
	Apart  int
	Label  string
	Lasts  bool
	WorkMs int64
}

// issuedTicket is a ticket of the admission service.
type issuedTicket struct {
	step, runner string
	born         int64
	until        time.Time
}

func newWorld(path string) (*world, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &world{began: time.Now(), record: f, jobs: map[string][]step{}, tickets: map[string]issuedTicket{}, settled: map[string]bool{}}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken. The caller holds the lock.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.note("BROKEN %s", text)
}

// splitTask splits ID.K.STEP.INDEX.
func splitTask(task string) (job, stepName string, number int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", "", 0
	}
	_, _ = fmt.Sscan(parts[2], &number)
	return parts[0], strings.Join(parts[:3], "."), number
}

// stepOf returns the step of a task. The caller holds the lock.
func (w *world) stepOf(task string) (s step, known bool) {
	job, _, number := splitTask(task)
	steps := w.jobs[job]
	if number >= len(steps) {
		return step{}, false
	}
	return steps[number], true
}

// runEvery advances the stand-ins until stop is closed.
func (w *world) runEvery(interval time.Duration, stop <-chan struct{}) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.mu.Lock()
			for _, r := range w.runners {
				r.advance()
			}
			w.advanceGangs()
			w.mu.Unlock()
		case <-stop:
			return
		}
	}
}

// members returns the members of one run of a gang that are present. The caller holds the lock.
func (w *world) members(stepName string, number uint32) (present []*activeRun) {
	for _, r := range w.runners {
		for _, a := range r.runs {
			if _, name, _ := splitTask(a.task); name == stepName && a.run == number && a.stopAt.IsZero() {
				present = append(present, a)
			}
		}
	}
	return present
}

// advanceGangs lets gangs work once all members are present, ends them together, and ends members that
// have waited too long. The caller holds the lock.
func (w *world) advanceGangs() {
	const gangWait = 3 * time.Second
	now := time.Now()
	for _, r := range w.runners {
		for _, a := range r.sortedRuns() {
			if !a.step.Gang || !a.stopAt.IsZero() {
				continue
			}
			_, name, _ := splitTask(a.task)
			present := w.members(name, a.run)
			switch {
			case len(present) == a.step.Count && a.togetherAt.IsZero():
				for _, m := range present {
					m.togetherAt = now
				}
			case len(present) == a.step.Count && !a.step.Lasts && now.Sub(a.togetherAt) >= a.work():
				for _, m := range present {
					m.on.end(m, "done")
				}
			case len(present) < a.step.Count && !a.togetherAt.IsZero():
				for _, m := range present {
					m.on.end(m, "broken")
				}
			case a.togetherAt.IsZero() && now.Sub(a.startedAt) > gangWait:
				a.on.end(a, "alone")
			}
		}
	}
}
