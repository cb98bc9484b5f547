package route

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Limits of an upstream's health.
const (
	// ejectRun is the number of failures in a row that sets an upstream aside.
	ejectRun = 5
	// ejectWindow and ejectRate set aside an upstream that fails most of what it gets.
	ejectWindow   = 20
	ejectRate     = 0.5
	ejectMin      = 2 * time.Second
	ejectMax      = time.Minute
	slowStart     = 10 * time.Second
	slowStartLeft = 0.1
)

// verdict is what the end of a request says of its upstream's health.
type verdict int

const (
	verdictNone verdict = iota
	verdictSucceeded
	verdictFailed
)

// judge returns what the end of an attempt under ctx says of the upstream.
func judge(ctx context.Context, reply *Reply) verdict {
	switch {
	case reply.Outcome == OutcomeNotRun, reply.Outcome == OutcomeRan:
		return verdictNone
	case reply.Outcome == OutcomeAnswered && !retryable(reply.Head):
		return verdictSucceeded
	case reply.Outcome != OutcomeAnswered && callerLeft(ctx):
		return verdictNone
	}
	return verdictFailed
}

// callerLeft reports whether the caller has gone, as opposed to having run out of time.
func callerLeft(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// health tells whether an upstream answers; it is safe for concurrent use.
type health struct {
	mu        sync.Mutex
	run       int
	results   []bool
	ejections int
	// until is when an ejected upstream is probed; zero if it is not ejected.
	until   time.Time
	probing bool
	back    time.Time
}

// available reports whether requests may go to the upstream. After an ejection one
// request at a time may, as a probe.
func (h *health) available(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open(now)
}

func (h *health) open(now time.Time) bool {
	return h.until.IsZero() || now.After(h.until) && !h.probing
}

// begin notes that a request is to be sent and reports whether it may be, which can have
// changed since available was asked, and whether it is the probe of an ejected upstream.
func (h *health) begin(now time.Time) (allowed, probe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.open(now) {
		return false, false
	}
	h.probing = !h.until.IsZero()
	return true, h.probing
}

// ejected reports whether the upstream is set aside.
func (h *health) ejected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.until.IsZero()
}

// weight is below 1 while the upstream returns from an ejection.
func (h *health) weight(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := now.Sub(h.back)
	if h.back.IsZero() || since >= slowStart {
		return 1
	}
	return slowStartLeft + (1-slowStartLeft)*float64(since)/float64(slowStart)
}

// skipped notes that a request ended in a way that says nothing of the upstream's health.
func (h *health) skipped(probe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if probe {
		h.probing = false
	}
}

// ended takes in how a request ended. It returns for how long the upstream is set aside
// because of that, which is 0 if it is not or mayEject is false.
func (h *health) ended(now time.Time, ok, probe, mayEject bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if probe {
		h.probing = false
	}
	h.results = append(h.results, ok)
	if len(h.results) > ejectWindow {
		h.results = h.results[1:]
	}
	if ok {
		h.succeeded(now, probe)
		return 0
	}
	h.run++
	failing := h.until.IsZero() && (h.run >= ejectRun || h.mostlyFails())
	if mayEject && (probe || failing) {
		return h.eject(now)
	}
	return 0
}

func (h *health) succeeded(now time.Time, probe bool) {
	h.run = 0
	if probe {
		h.until, h.back, h.results = time.Time{}, now, nil
	}
}

func (h *health) mostlyFails() bool {
	failures := 0
	for _, ok := range h.results {
		if !ok {
			failures++
		}
	}
	return len(h.results) == ejectWindow && float64(failures) > ejectRate*ejectWindow
}

// eject sets the upstream aside, longer each time.
func (h *health) eject(now time.Time) time.Duration {
	delay := min(ejectMin<<min(h.ejections, 8), ejectMax)
	h.ejections++
	h.until = now.Add(delay)
	h.run = 0
	return delay
}
