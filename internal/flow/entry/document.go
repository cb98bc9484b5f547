package entry

import (
	"strings"
	"sync"

	"github.com/jasminebay/jasminebay/internal/flow/engine"
)

// Route maps a host and a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  engine.Queue
}

// Document is the configuration of the queues.
type Document struct {
	Version uint64
	Routes  []Route
	// MaxBodyBytes limits the body of a call. 0 sets no limit here.
	MaxBodyBytes int64
}

func (d *Document) queues() map[string]engine.Queue {
	queues := make(map[string]engine.Queue, len(d.Routes))
	for _, r := range d.Routes {
		queues[r.Queue.Name] = r.Queue
	}
	return queues
}

// documentHolder holds the newest document. It is safe for concurrent use.
type documentHolder struct {
	mu       sync.RWMutex
	document *Document
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]Route
}

// apply puts a document in force and reports whether it did so. It ignores a document that is not
// newer than the one in force.
func (h *documentHolder) apply(d *Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.document != nil && d.Version <= h.document.Version {
		return false
	}
	h.document, h.byHost = d, map[string][]Route{}
	for _, r := range d.Routes {
		routes := h.byHost[r.Host]
		at := 0
		for at < len(routes) && len(routes[at].Prefix) >= len(r.Prefix) {
			at++
		}
		routes = append(routes[:at:at], append([]Route{r}, routes[at:]...)...)
		h.byHost[r.Host] = routes
	}
	return true
}

func (h *documentHolder) current() *Document {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.document
}

// match returns the route with the longest matching prefix.
func (h *documentHolder) match(host, path string) (Route, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, r := range h.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
