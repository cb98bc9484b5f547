// Package problem writes errors as application/problem+json.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Outcomes of a request that brought no answer of the upstream.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	OutcomeRan     = "ran"
)

// Problem is an error as callers and operators see it.
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

// Fault is one thing that is wrong with what was sent.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Write answers with a problem of the given short type and detail.
func Write(w http.ResponseWriter, status int, kind, detail string) {
	Send(w, Problem{Type: kind, Status: status, Detail: detail})
}

// Send answers with p; an empty title is taken from the status.
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

// RetryAfter sets the Retry-After header to delay in whole seconds, at least one.
func RetryAfter(w http.ResponseWriter, delay time.Duration) {
	seconds := max(1, int(math.Ceil(delay.Seconds())))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
}
