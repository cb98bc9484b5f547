package route

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Thresholds for the ejection of upstreams.
const (
	// failuresToEject is the number of consecutive failures after which an upstream is ejected.
	failuresToEject = 5
	// An upstream is also ejected if more than failureRateToEject of its last failureRateWindow
	// requests failed.
	failureRateWindow  = 20
	failureRateToEject = 0.5
	minEjection        = 2 * time.Second
	maxEjection        = time.Minute
	// After an ejection the weight of an upstream rises from slowStartWeight to 1 within
	// slowStartDuration.
	slowStartDuration = 10 * time.Second
	slowStartWeight   = 0.1
)

// healthSignal is the effect of a finished request on the health of its upstream.
type healthSignal int

const (
	signalNone healthSignal = iota
	signalSuccess
	signalFailure
)

// healthSignalOf returns the health signal of an attempt that ran under ctx.
func healthSignalOf(ctx context.Context, reply *Reply) healthSignal {
	switch {
	case reply.Outcome == OutcomeNotRun, reply.Outcome == OutcomeRan:
		return signalNone
	case reply.Outcome == OutcomeAnswered && !retryableStatus(reply.Head):
		return signalSuccess
	case reply.Outcome != OutcomeAnswered && callerCancelled(ctx):
		return signalNone
	}
	return signalFailure
}

// callerCancelled reports whether the caller disconnected, as opposed to a passed deadline.
func callerCancelled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// health tracks the failures of an upstream and its ejection; it is safe for concurrent use.
type health struct {
	mu                  sync.Mutex
	consecutiveFailures int
	results             []bool
	// ejections counts all ejections so far.
	ejections int
	// ejectedUntil is when an ejected upstream may be probed; zero if it is not ejected.
	ejectedUntil time.Time
	// probing reports whether a probe is in flight.
	probing bool
	// recoveredAt is when a probe last ended an ejection; zero if none did.
	recoveredAt time.Time
}

// available reports whether requests may be sent to the upstream. After the ejection time, one
// request at a time may be sent as a probe.
func (h *health) available(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.availableLocked(now)
}

// availableLocked is available for callers that hold the mutex.
func (h *health) availableLocked(now time.Time) bool {
	return h.ejectedUntil.IsZero() || now.After(h.ejectedUntil) && !h.probing
}

// begin reports whether a request may be sent, since the upstream may have become unavailable
// after the call of available, and whether it is the probe of an ejected upstream.
func (h *health) begin(now time.Time) (allowed, probe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.availableLocked(now) {
		return false, false
	}
	h.probing = !h.ejectedUntil.IsZero()
	return true, h.probing
}

// ejected reports whether the upstream is ejected; it is until a probe succeeds.
func (h *health) ejected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.ejectedUntil.IsZero()
}

// weight returns the load-balancing weight, which rises linearly to 1 after an ejection.
func (h *health) weight(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	sinceRecovery := now.Sub(h.recoveredAt)
	if h.recoveredAt.IsZero() || sinceRecovery >= slowStartDuration {
		return 1
	}
	return slowStartWeight + (1-slowStartWeight)*float64(sinceRecovery)/float64(slowStartDuration)
}

// recordNeutral ends a request without effect on the health of the upstream.
func (h *health) recordNeutral(probe bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if probe {
		h.probing = false
	}
}

// recordResult records the success or failure of a request. It returns for how long the upstream
// is ejected because of it, or 0 if it is not. It is never ejected if mayEject is false.
func (h *health) recordResult(now time.Time, ok, probe, mayEject bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if probe {
		h.probing = false
	}
	h.results = append(h.results, ok)
	if len(h.results) > failureRateWindow {
		h.results = h.results[1:]
	}
	if ok {
		h.recordSuccess(now, probe)
		return 0
	}
	h.consecutiveFailures++
	failing := h.ejectedUntil.IsZero() && (h.consecutiveFailures >= failuresToEject || h.failureRateExceeded())
	if mayEject && (probe || failing) {
		return h.eject(now)
	}
	return 0
}

// recordSuccess resets the failures and, after a probe, ends the ejection.
func (h *health) recordSuccess(now time.Time, probe bool) {
	h.consecutiveFailures = 0
	if probe {
		h.ejectedUntil, h.recoveredAt, h.results = time.Time{}, now, nil
	}
}

// failureRateExceeded reports whether too many of the last failureRateWindow requests failed.
func (h *health) failureRateExceeded() bool {
	failures := 0
	for _, ok := range h.results {
		if !ok {
			failures++
		}
	}
	return len(h.results) == failureRateWindow && float64(failures) > failureRateToEject*failureRateWindow
}

// eject ejects the upstream for a time that doubles with each ejection, up to maxEjection.
func (h *health) eject(now time.Time) time.Duration {
	delay := min(minEjection<<min(h.ejections, 8), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(delay)
	h.consecutiveFailures = 0
	return delay
}
