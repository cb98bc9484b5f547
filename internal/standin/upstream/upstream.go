// Package upstream is a stand-in for a runner of a service: it has slots and connections,
// an adjustable service time, and a record of what it ran.
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
	Service     string
	Address     string
	Agent       string
	Slots       int
	Connections int
	// ServiceTime gives the time that a request of a kind takes; nil means none.
	ServiceTime func(kind string) time.Duration
}

// Faults is what goes wrong at the upstream.
type Faults struct {
	// FailAll answers 500 at once.
	FailAll bool `json:"fail-all"`
	// CutAfter breaks the connection after this many bytes of each answer; 0 means never.
	CutAfter int `json:"cut-after"`
	// Slow multiplies the service time; 0 means 1.
	Slow float64 `json:"slow"`
	// Stubborn goes on with a request whose caller has gone.
	Stubborn bool `json:"stubborn"`
	// Silent stops the announcements.
	Silent   bool `json:"silent"`
	Draining bool `json:"draining"`
	// Twice announces the upstream under a second name of its address as well.
	Twice bool `json:"twice"`
}

// Run is a line of the upstream's own record.
type Run struct {
	ID    string    `json:"id"`
	Kind  string    `json:"kind"`
	Began time.Time `json:"began"`
	// Ended is zero while the request runs.
	Ended time.Time `json:"ended"`
	Body  string    `json:"body"`
	// Partial tells that the answer broke off after its first byte.
	Partial bool `json:"partial"`
}

// Record is what the upstream has seen.
type Record struct {
	Runs            []Run `json:"runs"`
	PeakRunning     int   `json:"peak-running"`
	PeakConnections int   `json:"peak-connections"`
}

// bodyRecordBytes bounds what a Run keeps of a body.
const bodyRecordBytes = 64

// Server implements the upstream's HTTP interface; it is safe for concurrent use.
type Server struct {
	options     Options
	instance    string
	mu          sync.Mutex
	running     map[string]int
	record      Record
	connections map[net.Conn]bool
	faults      Faults
}

// New returns a Server.
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

// SetFaults changes what goes wrong from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record returns what the upstream has seen.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Runs = append([]Run(nil), r.Runs...)
	return r
}

// ConnState counts connections; it is meant for http.Server.ConnState.
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

// Announce tells the agent of this upstream until ctx ends.
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
	n := driver.Announcement{
		Service: s.options.Service, Address: s.options.Address, Slots: s.options.Slots,
		Connections: s.options.Connections, Draining: faults.Draining, Instance: s.instance,
	}
	for id := range s.running {
		n.Running = append(n.Running, id)
	}
	s.mu.Unlock()
	if faults.Silent {
		return
	}
	s.send(ctx, n)
	if faults.Twice {
		n.Address = strings.Replace(n.Address, "127.0.0.1", "localhost", 1)
		s.send(ctx, n)
	}
}

func (s *Server) send(ctx context.Context, n driver.Announcement) {
	body, err := json.Marshal(n)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.options.Agent+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		return
	}
	if answer, err := http.DefaultClient.Do(r); err == nil {
		_ = answer.Body.Close()
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", standin.FaultsHandler(s.SetFaults))
	mux.HandleFunc("GET /standin/record", s.getRecord)
	mux.HandleFunc("POST /", s.serve)
	return mux
}

// serve echoes the body after the service time of its kind. The query "bytes" asks for an
// answer of that many bytes instead, "chunked" for one without a length.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id, kind := r.Header.Get(client.HeaderRequestID), r.Header.Get(client.HeaderKind)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	index, faults := s.begin(id, kind, body)
	defer s.end(id, index)
	if faults.FailAll {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	slow := max(faults.Slow, 1)
	timer := time.NewTimer(time.Duration(float64(s.options.ServiceTime(kind)) * slow))
	defer timer.Stop()
	gone := r.Context().Done()
	if faults.Stubborn {
		gone = nil
	}
	select {
	case <-timer.C:
	case <-gone:
		return
	}
	size, content := int64(len(body)), io.Reader(bytes.NewReader(body))
	if n, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
		size, content = n, filler{}
	}
	sent := answer(w, r, content, size, int64(faults.CutAfter))
	s.note(index, sent > 0 && sent < size)
	if sent < size {
		panic(http.ErrAbortHandler)
	}
}

// filler is an endless text.
type filler struct{}

func (filler) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// answer writes size bytes of content, or cut if that is less and not 0, and returns how
// many were written. It holds no more than a buffer, so that it ends when its caller goes.
func answer(w http.ResponseWriter, r *http.Request, content io.Reader, size, cut int64) int64 {
	w.Header().Set("Content-Type", "application/octet-stream")
	chunked := r.URL.Query().Get("chunked") != ""
	if !chunked {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	most := size
	if cut > 0 && cut < size {
		most = cut
	}
	sent, _ := io.CopyN(w, content, most)
	if chunked || sent < size {
		_ = http.NewResponseController(w).Flush()
	}
	return sent
}

// note records whether the answer to a run broke off after its first byte.
func (s *Server) note(index int, partial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Runs[index].Partial = partial
}

func (s *Server) begin(id, kind string, body []byte) (int, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]++
	s.record.Runs = append(s.record.Runs, Run{ID: id, Kind: kind, Began: time.Now(), Body: string(body[:min(len(body), bodyRecordBytes)])})
	sum := 0
	for _, n := range s.running {
		sum += n
	}
	s.record.PeakRunning = max(s.record.PeakRunning, sum)
	return len(s.record.Runs) - 1, s.faults
}

func (s *Server) end(id string, index int) {
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

// Address returns the address that the upstream announces.
func (s *Server) Address() string { return s.options.Address }
