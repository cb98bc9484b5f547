package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages name them.
const (
	pageItems     = 500
	pageBytes     = 1 << 20
	valueBytes    = 1 << 20
	maxTxnEntries = 32
)

// item is a key of the store with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It loses nothing and answers at once.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// lastWriter is the process that last wrote under a condition.
	lastWriter string
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, changed: make(chan struct{})}
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.notify()
}

// writer returns the process that last wrote under a condition.
func (s *store) writer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

func (s *store) set(key string, value []byte) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created}
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.items[key] = i
	s.history = append(s.history, i)
	// Older history is forgotten, as the pages allow.
	if len(s.history) > 4000 {
		s.history = slices.Clone(s.history[len(s.history)-2000:])
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serving returns the handler for the calls of one process.
func (s *store) serving(process string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET " + wire["key"]:
			s.serveKey(w, r)
		case "GET " + wire["range"]:
			s.serveRange(w, r)
		case "GET " + wire["watch"]:
			s.serveWatch(w, r)
		case "POST " + wire["txn"]:
			s.serveTxn(w, r, process)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, exists := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page, size := []item{}, 0
	for _, i := range found {
		if len(page) == pageItems || len(page) > 0 && size+len(i.Value) > pageBytes {
			break
		}
		page, size = append(page, i), size+len(i.Value)
	}
	reply(w, http.StatusOK, map[string]any{"items": page, "truncated": len(page) < len(found), "currentRev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	millis, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(millis) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		if len(s.history) > 0 && after+1 < s.history[0].Revision && s.history[0].Revision > 2 {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// txn is the body of a transaction.
type txn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// isRefused reports whether the store refuses a transaction whatever it holds.
func (t *txn) isRefused() (status int, refused bool) {
	if len(t.Precondition)+len(t.Writes)+len(t.Remove) > maxTxnEntries {
		return http.StatusBadRequest, true
	}
	for _, p := range t.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, true
		}
		if len(p.Value) > valueBytes {
			return http.StatusBadRequest, true
		}
	}
	return 0, false
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, process string) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status, refused := t.isRefused(); refused {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			current := []item{}
			for _, c := range t.Precondition {
				current = append(current, s.items[c.Key])
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	s.revision++
	if len(t.Precondition) > 0 {
		s.lastWriter = process
	}
	for _, p := range t.Writes {
		s.set(p.Key, p.Value)
	}
	for _, key := range t.Remove {
		if _, exists := s.items[key]; exists {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
