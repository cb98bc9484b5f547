package entry

import (
	"slices"
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

// hostRoutes finds the routes of one host. A lookup costs one access for each length of prefix, and
// not one for each route, of which there may be thousands.
type hostRoutes struct {
	// lengths holds the lengths of the prefixes, the longest first.
	lengths  []int
	byPrefix map[string]*Route
}

// routesByHost returns the routes of the document by their hosts. Of routes with the same host and
// prefix the first applies.
func (d *Document) routesByHost() map[string]*hostRoutes {
	hosts := map[string]*hostRoutes{}
	for i := range d.Routes {
		r := &d.Routes[i]
		h := hosts[r.Host]
		if h == nil {
			h = &hostRoutes{byPrefix: map[string]*Route{}}
			hosts[r.Host] = h
		}
		if _, known := h.byPrefix[r.Prefix]; known {
			continue
		}
		h.byPrefix[r.Prefix] = r
		if at, found := slices.BinarySearchFunc(h.lengths, len(r.Prefix), func(a, b int) int { return b - a }); !found {
			h.lengths = slices.Insert(h.lengths, at, len(r.Prefix))
		}
	}
	return hosts
}

// match returns the route with the longest matching prefix, or nil. It may be called for nil.
func (h *hostRoutes) match(path string) *Route {
	if h == nil {
		return nil
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r := h.byPrefix[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}

// documentHolder holds the newest document. It is safe for concurrent use.
type documentHolder struct {
	mu       sync.RWMutex
	document *Document
	byHost   map[string]*hostRoutes
}

// apply puts a document in force and reports whether it did so. It ignores a document that is not
// newer than the one in force.
func (h *documentHolder) apply(d *Document) bool {
	if !h.precedes(d) {
		return false
	}
	// Calls are matched with the document before while the routes of this one are arranged.
	byHost := d.routesByHost()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.document != nil && d.Version <= h.document.Version {
		return false
	}
	h.document, h.byHost = d, byHost
	return true
}

// precedes reports whether a document is newer than the one in force.
func (h *documentHolder) precedes(d *Document) bool {
	current := h.current()
	return current == nil || d.Version > current.Version
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
	if r := h.byHost[host].match(path); r != nil {
		return *r, true
	}
	return Route{}, false
}
