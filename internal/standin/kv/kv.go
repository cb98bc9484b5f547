// Package kv is a test double of the platform's key-value service that keeps its data in memory.
package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/jasminebay/jasminebay/internal/driver"
	client "github.com/jasminebay/jasminebay/internal/driver/kv"
	"github.com/jasminebay/jasminebay/internal/standin"
)

// Default rate limits, and the interval between searches for expired leases.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	leaseScanInterval      = 50 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the rate of calls, with bursts of one second; zero
	// means the default.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults selects the faults that the service injects.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// DelayMillis delays every call by this many milliseconds.
	DelayMillis int64 `json:"delay-millis"`
	// DropResponses is the number of writes whose connection is closed in the place of a response
	// after they took effect. Each such write counts it down.
	DropResponses int `json:"lose-answers"`
	// ReadRevision makes reads return values as of this revision; 0 means the current one. Only keys
	// below environments/ have a history.
	ReadRevision uint64 `json:"past"`
}

// Counts holds the numbers of calls by outcome and the sizes of the values written. Refused counts
// calls that were rejected by the rate limit or by Faults.Down.
type Counts struct {
	Reads             int `json:"reads"`
	Writes            int `json:"writes"`
	Refused           int `json:"refused"`
	BytesWritten      int `json:"bytes-written"`
	LargestValueBytes int `json:"largest-value-bytes"`
}

type item struct {
	value    []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type change struct {
	key      string
	revision uint64
}

// Server implements the service's HTTP interface; it is safe for concurrent use.
type Server struct {
	mu    sync.Mutex
	items map[string]item
	// history holds the versions of the keys below environments/, oldest first.
	history  map[string][]item
	leases   map[string]*lease
	changes  []change
	revision uint64
	// changed is closed and replaced at each change of a key.
	changed       chan struct{}
	faults        Faults
	counts        Counts
	reads         *rate.Limiter
	writes        *rate.Limiter
	lastLeaseScan time.Time
}

// New returns an empty Server.
func New(o Options) *Server {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	return &Server{
		items:   map[string]item{},
		history: map[string][]item{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
		reads:   rate.NewLimiter(rate.Limit(o.ReadsPerSecond), int(o.ReadsPerSecond)),
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), int(o.WritesPerSecond)),
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the handler of the service's API and of the endpoints below /standin that inject
// faults and return the counts.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys", s.withLimits(s.reads, s.list))
	mux.HandleFunc("GET /v1/keys/{key}", s.withLimits(s.reads, s.get))
	mux.HandleFunc("PUT /v1/keys/{key}", s.withLimits(s.writes, s.put))
	mux.HandleFunc("DELETE /v1/keys/{key}", s.withLimits(s.writes, s.remove))
	mux.HandleFunc("POST /v1/leases", s.withLimits(s.writes, s.grant))
	mux.HandleFunc("POST /v1/leases/{id}/renewals", s.withLimits(s.writes, s.renew))
	mux.HandleFunc("GET /v1/watch", s.withLimits(s.reads, s.watch))
	mux.HandleFunc("PUT /standin/faults", standin.FaultsHandler(s.SetFaults))
	mux.HandleFunc("GET /standin/counts", s.getCounts)
	return mux
}

// withLimits returns a handler that calls f subject to the rate limit l and the faults Down and
// DelayMillis.
func (s *Server) withLimits(l *rate.Limiter, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		allowed := !faults.Down && l.Allow()
		s.count(l == s.writes, allowed)
		s.mu.Unlock()
		if !allowed {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		f(w, r)
	}
}

func (s *Server) count(write, allowed bool) {
	switch {
	case !allowed:
		s.counts.Refused++
	case write:
		s.counts.Writes++
	default:
		s.counts.Reads++
	}
}

// respondToWrite answers a successful write with its revision, or closes the connection if
// Faults.DropResponses is positive.
func (s *Server) respondToWrite(w http.ResponseWriter, revision uint64) {
	s.mu.Lock()
	drop := s.faults.DropResponses > 0
	if drop {
		s.faults.DropResponses--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(client.HeaderRevision, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expireLeases()
	i, ok := s.lookUp(r.PathValue("key"))
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set(client.HeaderRevision, strconv.FormatUint(i.revision, 10))
	_, _ = w.Write(i.value)
}

// lookUp returns the item at key, as of Faults.ReadRevision if that is set. The caller holds s.mu.
func (s *Server) lookUp(key string) (item, bool) {
	if s.faults.ReadRevision == 0 {
		i, ok := s.items[key]
		return i, ok
	}
	versions := s.history[key]
	for n := len(versions) - 1; n >= 0; n-- {
		if versions[n].revision <= s.faults.ReadRevision {
			return versions[n], true
		}
	}
	return item{}, false
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	s.expireLeases()
	list := []client.ItemJSON{}
	for key := range s.items {
		if i, ok := s.lookUp(key); ok && strings.HasPrefix(key, prefix) {
			list = append(list, client.ItemJSON{Key: key, Value: i.value, Revision: i.revision})
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b client.ItemJSON) int { return strings.Compare(a.Key, b.Key) })
	w.Header().Set(client.HeaderRevision, strconv.FormatUint(revision, 10))
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, driver.StoreMaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match is needed", http.StatusBadRequest)
		return
	}
	revision, status := s.write(r.PathValue("key"), expected, value, r.URL.Query().Get("lease"))
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	s.respondToWrite(w, revision)
}

// write stores value at key if the key's current revision is expected, where 0 stands for a key that
// does not exist. It returns the new revision and an HTTP status.
func (s *Server) write(key string, expected uint64, value []byte, leaseID string) (uint64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.items[key].revision != expected {
		return 0, http.StatusPreconditionFailed
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return 0, http.StatusNotFound
	}
	s.counts.BytesWritten += len(value)
	s.counts.LargestValueBytes = max(s.counts.LargestValueBytes, len(value))
	s.revision++
	i := item{value: value, revision: s.revision, lease: leaseID}
	s.items[key] = i
	if strings.HasPrefix(key, "environments/") {
		s.history[key] = append(s.history[key], i)
	}
	s.recordChange(key)
	return s.revision, http.StatusOK
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	expected, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	s.mu.Lock()
	i, ok := s.items[key]
	if !ok || i.revision != expected {
		s.mu.Unlock()
		status := http.StatusPreconditionFailed
		if !ok {
			status = http.StatusNotFound
		}
		http.Error(w, http.StatusText(status), status)
		return
	}
	delete(s.items, key)
	s.revision++
	s.recordChange(key)
	revision := s.revision
	s.mu.Unlock()
	s.respondToWrite(w, revision)
}

// recordChange records that key changed at the current revision and wakes the watches. The caller
// holds s.mu.
func (s *Server) recordChange(key string) {
	s.changes = append(s.changes, change{key: key, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var l client.LeaseJSON
	if json.NewDecoder(r.Body).Decode(&l) != nil || l.TTLMillis <= 0 {
		http.Error(w, "ttl-millis is needed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.revision++
	l.ID = "lease-" + strconv.FormatUint(s.revision, 10)
	ttl := time.Duration(l.TTLMillis) * time.Millisecond
	s.leases[l.ID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[r.PathValue("id")]
	if l == nil {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
}

// expireLeases removes expired leases and their keys, at most once per leaseScanInterval. The caller
// holds s.mu.
func (s *Server) expireLeases() {
	now := time.Now()
	if now.Sub(s.lastLeaseScan) < leaseScanInterval {
		return
	}
	s.lastLeaseScan = now
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.lease == id {
				delete(s.items, key)
				s.revision++
				s.recordChange(key)
			}
		}
	}
}

// watch answers with the current revision once a key under the prefix has changed since the revision
// "after", or when "wait-millis" have passed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-millis"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	scan := time.NewTicker(leaseScanInterval)
	defer scan.Stop()
	for {
		s.mu.Lock()
		s.expireLeases()
		revision, matched, changed := s.revision, s.changedSince(query.Get("prefix"), after), s.changed
		s.mu.Unlock()
		if matched {
			w.Header().Set(client.HeaderRevision, strconv.FormatUint(revision, 10))
			return
		}
		select {
		case <-changed:
		case <-scan.C:
		case <-timer.C:
			w.Header().Set(client.HeaderRevision, strconv.FormatUint(revision, 10))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changedSince reports whether a key under prefix has changed at a revision later than after. The
// caller holds s.mu.
func (s *Server) changedSince(prefix string, after uint64) bool {
	for n := len(s.changes) - 1; n >= 0 && s.changes[n].revision > after; n-- {
		if strings.HasPrefix(s.changes[n].key, prefix) {
			return true
		}
	}
	return false
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counts())
}
