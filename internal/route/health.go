package route

import (
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
	return h.until.IsZero() || now.After(h.until) && !h.probing
}

// begin notes that a request is to be sent, which is a probe if the upstream is ejected.
// It reports false if there is a probe already.
func (h *health) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until.IsZero() {
		return true
	}
	if h.probing {
		return false
	}
	h.probing = true
	return true
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

// skipped notes that a request was refused, which says nothing of the upstream's health.
func (h *health) skipped() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
}

// ended takes in how a request ended. It reports whether the upstream should be set
// aside, which the caller decides with eject.
func (h *health) ended(now time.Time, ok bool) (eject bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	probed := h.probing
	h.probing = false
	h.results = append(h.results, ok)
	if len(h.results) > ejectWindow {
		h.results = h.results[1:]
	}
	if ok {
		h.run = 0
		if probed {
			h.until, h.back, h.results = time.Time{}, now, nil
		}
		return false
	}
	h.run++
	if probed {
		return true
	}
	return h.until.IsZero() && (h.run >= ejectRun || h.mostlyFails())
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
	h.mu.Lock()
	defer h.mu.Unlock()
	delay := min(ejectMin<<min(h.ejections, 8), ejectMax)
	h.ejections++
	h.until = now.Add(delay)
	h.run = 0
	return delay
}
