// Package upstream is a test double of an upstream of a service. It announces its slots and
// connections, answers requests after a configurable service time and records what it ran.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	client "github.com/jasminebay/jasminebay/internal/driver/upstream"
	"github.com/jasminebay/jasminebay/internal/standin"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
)

// Options configures a Server.
type Options struct {
	Service string
	// Address is the announced address, as host and port.
	Address string
	// Agent is the base URL of the agent that receives the announcements.
	Agent string
	// Slots and Connections are announced and not enforced.
	Slots       int
	Connections int
	// ServiceTime returns the time that a request of a kind takes; nil means that requests are
	// answered at once.
	ServiceTime func(kind string) time.Duration
}

// Faults selects the faults that the upstream injects.
type Faults struct {
	// FailAll answers every request with 500 at once.
	FailAll bool `json:"fail-all"`
	// CutAfter closes the connection after this many bytes of each response body; 0 means never.
	CutAfter int `json:"cut-after"`
	// SlowFactor multiplies the service time; values below 1 count as 1.
	SlowFactor float64 `json:"slow"`
	// IgnoreCancel keeps processing a request after its caller has disconnected.
	IgnoreCancel bool `json:"stubborn"`
	// Silent stops the announcements.
	Silent   bool `json:"silent"`
	Draining bool `json:"draining"`
	// AnnounceTwice also announces the upstream with localhost in the place of 127.0.0.1.
	AnnounceTwice bool `json:"twice"`
}

// Run is the record of one request that the upstream received.
type Run struct {
	ID      string    `json:"id"`
	Kind    string    `json:"kind"`
	Started time.Time `json:"began"`
	// Ended is the zero time while the request is processed.
	Ended time.Time `json:"ended"`
	Body  string    `json:"body"`
	// Partial tells that some but not all bytes of the response body were written.
	Partial bool `json:"partial"`
}

// Record lists the requests that the upstream received, with the peaks of the requests in progress
// and of the open connections.
type Record struct {
	Runs            []Run `json:"runs"`
	PeakRunning     int   `json:"peak-running"`
	PeakConnections int   `json:"peak-connections"`
}

// recordedBodyMaxBytes bounds the part of a request body that a Run keeps.
const recordedBodyMaxBytes = 64

// Server implements the upstream's HTTP interface; it is safe for concurrent use.
type Server struct {
	options Options
	// instance is random and identifies this upstream to the agent, also if it announces several
	// addresses or replaces another upstream at its address.
	instance string
	mu       sync.Mutex
	// running counts the requests in progress by request ID.
	running     map[string]int
	record      Record
	connections map[net.Conn]bool
	faults      Faults
}

// New returns a Server. Announce must be called for the agent to learn of it.
func New(o Options) *Server {
	if o.ServiceTime == nil {
		o.ServiceTime = func(string) time.Duration { return 0 }
	}
	return &Server{
		options:     o,
		instance:    strconv.FormatUint(rand.Uint64(), 36),
		running:     map[string]int{},
		connections: map[net.Conn]bool{},
	}
}

// SetFaults replaces the injected faults. A request in progress keeps those of its start.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record returns a copy of the record so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Runs = append([]Run(nil), r.Runs...)
	return r
}

// ConnState tracks the open connections; it is to be set as http.Server.ConnState.
func (s *Server) ConnState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, c)
	}
	s.record.PeakConnections = max(s.record.PeakConnections, len(s.connections))
}

// Announce announces the upstream to the agent periodically until ctx ends. An announcement that
// fails is not repeated before the next interval.
func (s *Server) Announce(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		s.announce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) announce(ctx context.Context) {
	s.mu.Lock()
	faults := s.faults
	a := driver.Announcement{
		Service: s.options.Service, Address: s.options.Address, Slots: s.options.Slots,
		Connections: s.options.Connections, Draining: faults.Draining, Instance: s.instance,
	}
	for id := range s.running {
		a.Running = append(a.Running, id)
	}
	s.mu.Unlock()
	if faults.Silent {
		return
	}
	s.sendAnnouncement(ctx, a)
	if faults.AnnounceTwice {
		a.Address = strings.Replace(a.Address, "127.0.0.1", "localhost", 1)
		s.sendAnnouncement(ctx, a)
	}
}

func (s *Server) sendAnnouncement(ctx context.Context, a driver.Announcement) {
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.options.Agent+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

// Handler returns the handler of the service and of the endpoints below /standin that inject faults
// and return the record.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", standin.FaultsHandler(s.SetFaults))
	mux.HandleFunc("GET /standin/record", s.getRecord)
	mux.HandleFunc("POST /", s.serve)
	return mux
}

// serve echoes the request body after the service time of its kind. The query parameter "bytes"
// asks for a generated body of that many bytes instead, and "chunked" for a response without a
// Content-Length.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id, kind := r.Header.Get(client.HeaderRequestID), r.Header.Get(client.HeaderKind)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	index, faults := s.startRun(id, kind, body)
	defer s.endRun(id, index)
	if faults.FailAll {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	factor := max(faults.SlowFactor, 1)
	timer := time.NewTimer(time.Duration(float64(s.options.ServiceTime(kind)) * factor))
	defer timer.Stop()
	cancelled := r.Context().Done()
	if faults.IgnoreCancel {
		cancelled = nil
	}
	select {
	case <-timer.C:
	case <-cancelled:
		return
	}
	size, content := int64(len(body)), io.Reader(bytes.NewReader(body))
	if n, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
		size, content = n, repeatingReader{}
	}
	sent := writeResponse(w, r, content, size, int64(faults.CutAfter))
	s.setPartial(index, sent > 0 && sent < size)
	if sent < size {
		panic(http.ErrAbortHandler)
	}
}

// repeatingReader yields an endless sequence of x.
type repeatingReader struct{}

func (repeatingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// writeResponse writes size bytes of content, or cutAfter bytes if that is positive and less, and
// returns the number of bytes written. It streams the content, so that a disconnect of the caller
// ends it early.
func writeResponse(w http.ResponseWriter, r *http.Request, content io.Reader, size, cutAfter int64) int64 {
	w.Header().Set("Content-Type", "application/octet-stream")
	chunked := r.URL.Query().Get("chunked") != ""
	if !chunked {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	limit := size
	if cutAfter > 0 && cutAfter < size {
		limit = cutAfter
	}
	sent, _ := io.CopyN(w, content, limit)
	if chunked || sent < size {
		_ = http.NewResponseController(w).Flush()
	}
	return sent
}

// setPartial records whether the response to the run at index was written in part.
func (s *Server) setPartial(index int, partial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Runs[index].Partial = partial
}

// startRun records the start of a request and returns the index of its Run and the faults that apply
// to it.
func (s *Server) startRun(id, kind string, body []byte) (int, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]++
	s.record.Runs = append(s.record.Runs, Run{ID: id, Kind: kind, Started: time.Now(), Body: string(body[:min(len(body), recordedBodyMaxBytes)])})
	total := 0
	for _, n := range s.running {
		total += n
	}
	s.record.PeakRunning = max(s.record.PeakRunning, total)
	return len(s.record.Runs) - 1, s.faults
}

func (s *Server) endRun(id string, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Runs[index].Ended = time.Now()
	if s.running[id]--; s.running[id] == 0 {
		delete(s.running, id)
	}
}

func (s *Server) getRecord(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Record())
}

// Address returns the announced address, as host and port.
func (s *Server) Address() string { return s.options.Address }
