package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/gate"
	"github.com/jasminebay/jasminebay/internal/problem"
)

// Limits of an announcement.
const (
	announcementMaxBytes = 64 << 10
	slotsMax             = 4096
	connectionsMax       = 65536
	upstreamsMax         = 16
)

// Handler serves the upstream beside the agent, health checks and metrics.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announcements", a.serveAnnouncement)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.Handle("GET /metrics", a.options.Metrics.Handler())
	return mux
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	_ = a.loop.Do(func() { ready = !a.control.rebuilding && !a.control.draining && len(a.control.links) > 0 })
	if !ready {
		problem.Write(w, http.StatusServiceUnavailable, "not-ready", "the agent is rebuilding, draining or has no session to an entry")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *Agent) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	var n driver.Announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, announcementMaxBytes))
	if err := d.Decode(&n); err != nil {
		problem.Write(w, http.StatusBadRequest, "invalid", fmt.Sprintf("announcement: %v", err))
		return
	}
	if text := checkAnnouncement(n); text != "" {
		problem.Write(w, http.StatusUnprocessableEntity, "invalid", text)
		return
	}
	accepted := false
	_ = a.loop.Do(func() { accepted = a.announce(n) })
	if !accepted {
		problem.Write(w, http.StatusServiceUnavailable, "full", fmt.Sprintf("at most %d upstreams per agent", upstreamsMax))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func checkAnnouncement(n driver.Announcement) string {
	switch {
	case n.Service == "" || n.Address == "" || n.Instance == "":
		return "service, address and instance are needed"
	case n.Slots < 1 || n.Slots > slotsMax:
		return fmt.Sprintf("slots %d is not in 1 to %d", n.Slots, slotsMax)
	case n.Connections < 1 || n.Connections > connectionsMax:
		return fmt.Sprintf("connections %d is not in 1 to %d", n.Connections, connectionsMax)
	}
	return ""
}

// announce takes in what an upstream says; it runs on the loop.
func (a *Agent) announce(n driver.Announcement) bool {
	u := a.announced(n)
	if u == nil && len(a.control.upstreams) >= upstreamsMax {
		return false
	}
	now := time.Now()
	if u == nil {
		u = &upstream{service: n.Service, address: n.Address, instance: n.Instance, gate: gate.New(), window: newWindow()}
		a.control.upstreams[upstreamKey(n.Service, n.Address)] = u
		a.log.Info("upstream announced", "service", n.Service, "address", n.Address, "slots", n.Slots)
	}
	if u.address == n.Address {
		u.named = now
	}
	if u.instance != n.Instance {
		a.log.Warn("upstream replaced at the same address", "service", n.Service, "address", n.Address)
		u.instance = n.Instance
	}
	a.options.Upstream.Limit(u.address, n.Connections)
	wasReady, wasDraining := u.gate.Ready(now), u.gate.Draining()
	u.gate.Announce(now, n.Slots, n.Draining || a.control.draining, n.Running)
	if u.gate.Ready(now) != wasReady || u.gate.Draining() != wasDraining {
		a.signal()
	}
	a.options.Metrics.SlotsTaken.WithLabelValues(n.Service).Set(float64(u.gate.InFlight()))
	return true
}

func upstreamKey(service, address string) string { return service + "@" + address }

// announced returns the upstream that an announcement is of, or nil if it is a new one. An
// instance that announces several addresses is one upstream, which is called at the first
// of them for as long as it announces that one.
func (a *Agent) announced(n driver.Announcement) *upstream {
	if u := a.control.upstreams[upstreamKey(n.Service, n.Address)]; u != nil {
		return u
	}
	for key, u := range a.control.upstreams {
		if u.service != n.Service || u.instance != n.Instance {
			continue
		}
		if time.Since(u.named) >= driver.AnnouncementTTL {
			a.log.Info("upstream moved", "service", n.Service, "from", u.address, "to", n.Address)
			delete(a.control.upstreams, key)
			u.address = n.Address
			a.control.upstreams[upstreamKey(n.Service, n.Address)] = u
		}
		return u
	}
	return nil
}

// upstreamFor returns the least loaded upstream of a service, or nil; it runs on the loop.
func (a *Agent) upstreamFor(service string) *upstream {
	now := time.Now()
	var best *upstream
	for _, u := range a.control.upstreams {
		if u.service != service {
			continue
		}
		if best == nil || preferred(now, u.gate, best.gate) {
			best = u
		}
	}
	return best
}

func preferred(now time.Time, g, o *gate.Gate) bool {
	if open, other := g.Ready(now) && !g.Draining(), o.Ready(now) && !o.Draining(); open != other {
		return open
	}
	return (g.InFlight()+g.Queued())*max(o.Slots(), 1) < (o.InFlight()+o.Queued())*max(g.Slots(), 1)
}
