// Package kv is a stand-in for the platform's key-value service, kept in memory.
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

// Rates of the service.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	leaseScan              = 50 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	// WritesPerSecond and ReadsPerSecond cap the calls; zero means the defaults.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults is what goes wrong at the service.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay is added to every call.
	DelayMillis int64 `json:"delay-millis"`
	// LoseAnswers drops the answers of this many writes after they took effect.
	LoseAnswers int `json:"lose-answers"`
	// Past answers reads as of this revision if it is not zero.
	Past uint64 `json:"past"`
}

// Counts tells how often the service was called.
type Counts struct {
	Reads    int `json:"reads"`
	Writes   int `json:"writes"`
	Refused  int `json:"refused"`
	Bytes    int `json:"bytes-written"`
	MaxValue int `json:"largest-value-bytes"`
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

type event struct {
	key      string
	revision uint64
}

// Server implements the service's HTTP interface; it is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	items    map[string]item
	history  map[string][]item
	leases   map[string]*lease
	events   []event
	revision uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
	reads    *rate.Limiter
	writes   *rate.Limiter
	scanned  time.Time
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

// SetFaults changes what goes wrong from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns how often the service was called.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys", s.limited(s.reads, s.list))
	mux.HandleFunc("GET /v1/keys/{key}", s.limited(s.reads, s.get))
	mux.HandleFunc("PUT /v1/keys/{key}", s.limited(s.writes, s.put))
	mux.HandleFunc("DELETE /v1/keys/{key}", s.limited(s.writes, s.remove))
	mux.HandleFunc("POST /v1/leases", s.limited(s.writes, s.grant))
	mux.HandleFunc("POST /v1/leases/{id}/renewals", s.limited(s.writes, s.renew))
	mux.HandleFunc("GET /v1/watch", s.limited(s.reads, s.watch))
	mux.HandleFunc("PUT /standin/faults", standin.FaultsHandler(s.SetFaults))
	mux.HandleFunc("GET /standin/counts", s.getCounts)
	return mux
}

// limited applies the rate cap and the faults around a call.
func (s *Server) limited(l *rate.Limiter, f http.HandlerFunc) http.HandlerFunc {
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

// answerWrite loses the answer of a write that took effect, if that fault is set.
func (s *Server) answerWrite(w http.ResponseWriter, revision uint64) {
	s.mu.Lock()
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(client.HeaderRevision, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lapse()
	i, ok := s.at(r.PathValue("key"))
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set(client.HeaderRevision, strconv.FormatUint(i.revision, 10))
	_, _ = w.Write(i.value)
}

// at returns the item at key, as of the past revision if that fault is set.
func (s *Server) at(key string) (item, bool) {
	if s.faults.Past == 0 {
		i, ok := s.items[key]
		return i, ok
	}
	old := s.history[key]
	for n := len(old) - 1; n >= 0; n-- {
		if old[n].revision <= s.faults.Past {
			return old[n], true
		}
	}
	return item{}, false
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	s.lapse()
	list := []client.ItemJSON{}
	for key := range s.items {
		if i, ok := s.at(key); ok && strings.HasPrefix(key, prefix) {
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
	s.answerWrite(w, revision)
}

func (s *Server) write(key string, expected uint64, value []byte, id string) (uint64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.items[key].revision != expected {
		return 0, http.StatusPreconditionFailed
	}
	if id != "" && s.leases[id] == nil {
		return 0, http.StatusNotFound
	}
	s.counts.Bytes += len(value)
	s.counts.MaxValue = max(s.counts.MaxValue, len(value))
	s.revision++
	i := item{value: value, revision: s.revision, lease: id}
	s.items[key] = i
	if strings.HasPrefix(key, "environments/") {
		s.history[key] = append(s.history[key], i)
	}
	s.notify(key)
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
	s.notify(key)
	revision := s.revision
	s.mu.Unlock()
	s.answerWrite(w, revision)
}

// notify wakes the watches; the lock is held.
func (s *Server) notify(key string) {
	s.events = append(s.events, event{key: key, revision: s.revision})
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
	s.lapse()
	l := s.leases[r.PathValue("id")]
	if l == nil {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
}

// lapse removes ended leases and their keys; the lock is held.
func (s *Server) lapse() {
	now := time.Now()
	if now.Sub(s.scanned) < leaseScan {
		return
	}
	s.scanned = now
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.lease == id {
				delete(s.items, key)
				s.revision++
				s.notify(key)
			}
		}
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-millis"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	scan := time.NewTicker(leaseScan)
	defer scan.Stop()
	for {
		s.mu.Lock()
		s.lapse()
		revision, hit, changed := s.revision, s.changedSince(query.Get("prefix"), after), s.changed
		s.mu.Unlock()
		if hit {
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

// changedSince reports whether a key under prefix has changed; the lock is held.
func (s *Server) changedSince(prefix string, after uint64) bool {
	for n := len(s.events) - 1; n >= 0 && s.events[n].revision > after; n-- {
		if strings.HasPrefix(s.events[n].key, prefix) {
			return true
		}
	}
	return false
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counts())
}
