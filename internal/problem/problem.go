// Package problem writes HTTP errors as application/problem+json (RFC 9457).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Outcomes of a request that received no response from the upstream. OutcomeUnknown means that
// it is indeterminate whether the request ran; OutcomeRan, that it ran but its response is lost.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	OutcomeRan     = "ran"
)

// Problem is an error as reported to callers and operators.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   string  `json:"outcome,omitempty"`
	RequestID string  `json:"request-id,omitempty"`
	Revision  uint64  `json:"revision,omitempty"`
	Faults    []Fault `json:"faults,omitempty"`
}

// Fault is one error in the content of a request, at a path within it.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Write responds with a problem. kind is its type without the "urn:jasminebay:problem:" prefix.
func Write(w http.ResponseWriter, status int, kind, detail string) {
	Send(w, Problem{Type: kind, Status: status, Detail: detail})
}

// Send responds with p. p.Type is given without the "urn:jasminebay:problem:" prefix, and an
// empty title is set to the text of the status.
func Send(w http.ResponseWriter, p Problem) {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	p.Type = "urn:jasminebay:problem:" + p.Type
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// RetryAfter sets the Retry-After header to delay, rounded up to whole seconds, at least one.
func RetryAfter(w http.ResponseWriter, delay time.Duration) {
	seconds := max(1, int(math.Ceil(delay.Seconds())))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
}
