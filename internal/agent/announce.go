package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/gate"
	"github.com/jasminebay/jasminebay/internal/http1"
	"github.com/jasminebay/jasminebay/internal/intake"
	"github.com/jasminebay/jasminebay/internal/problem"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/internal/upload"
)

// Limits of an announcement.
const (
	maxAnnouncementBytes = 64 << 10
	maxSlots             = 4096
	maxConnections       = 65536
	maxUpstreams         = 16
)

const (
	// readHeaderTimeout bounds the read of a request's header.
	readHeaderTimeout = 5 * time.Second
	// announcementTimeout bounds the read of an announcement.
	announcementTimeout = 30 * time.Second
)

// NewServer returns a server of Handler.
func (a *Agent) NewServer() *http1.Server {
	return http1.New(http1.Options{
		Handler: a.Handler(), ReadHeaderTimeout: readHeaderTimeout, Log: a.options.Log, Metrics: telemetry.NewConnections(a.options.Metrics),
		Refuse: refuse, Limits: a.options.Limits,
	})
}

// refuse writes the response to a request that was not read.
func refuse(w http.ResponseWriter) {
	problem.RetryAfter(w, time.Second)
	problem.Write(w, http.StatusServiceUnavailable, "draining", "the connection was closed before the request came")
}

// Handler serves the announcements of upstreams, health checks and metrics.
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
	_ = a.loop.Do(func() { ready = !a.control.rebuilding && !a.control.draining && len(a.control.sessions) > 0 })
	if !ready {
		problem.Write(w, http.StatusServiceUnavailable, "not-ready", "the agent is rebuilding, draining or has no session to an entry")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *Agent) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	var announcement driver.Announcement
	raw, release, err := upload.Read(w, r, maxAnnouncementBytes, announcementTimeout)
	defer release()
	if errors.Is(err, intake.ErrFull) {
		refuse(w)
		return
	}
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(raw)).Decode(&announcement)
	}
	if err != nil {
		problem.Write(w, http.StatusBadRequest, "invalid", fmt.Sprintf("announcement: %v", err))
		return
	}
	if text := validateAnnouncement(announcement); text != "" {
		problem.Write(w, http.StatusUnprocessableEntity, "invalid", text)
		return
	}
	accepted := false
	_ = a.loop.Do(func() { accepted = a.applyAnnouncement(announcement) })
	if !accepted {
		problem.Write(w, http.StatusServiceUnavailable, "full", fmt.Sprintf("at most %d upstreams per agent", maxUpstreams))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// validateAnnouncement returns what is wrong with an announcement, or "".
func validateAnnouncement(a driver.Announcement) string {
	switch {
	case a.Service == "" || a.Address == "" || a.Instance == "":
		return "service, address and instance are needed"
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Sprintf("slots %d is not in 1 to %d", a.Slots, maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return fmt.Sprintf("connections %d is not in 1 to %d", a.Connections, maxConnections)
	}
	return ""
}

// applyAnnouncement updates or adds the upstream of an announcement, and reports false if there are
// too many upstreams; it runs on the loop.
func (a *Agent) applyAnnouncement(announcement driver.Announcement) bool {
	u := a.announcedUpstream(announcement)
	if u == nil && len(a.control.upstreams) >= maxUpstreams {
		return false
	}
	now := time.Now()
	if u == nil {
		u = &upstream{service: announcement.Service, address: announcement.Address, instance: announcement.Instance, gate: gate.New(), latencies: newLatencyWindow()}
		a.control.upstreams[upstreamKey(announcement.Service, announcement.Address)] = u
		a.log.Info("upstream announced", "service", announcement.Service, "address", announcement.Address, "slots", announcement.Slots)
	}
	if u.address == announcement.Address {
		u.addressAnnounced = now
	}
	if u.instance != announcement.Instance {
		a.log.Warn("upstream replaced at the same address", "service", announcement.Service, "address", announcement.Address)
		u.instance = announcement.Instance
	}
	a.options.Upstream.Limit(u.address, announcement.Connections)
	wasReady, wasDraining := u.gate.Ready(now), u.gate.Draining()
	u.gate.Announce(now, announcement.Slots, announcement.Draining || a.control.draining, announcement.Running)
	if u.gate.Ready(now) != wasReady || u.gate.Draining() != wasDraining {
		a.notifyChanged()
	}
	a.options.Metrics.SlotsTaken.WithLabelValues(announcement.Service).Set(float64(u.gate.InFlight()))
	return true
}

func upstreamKey(service, address string) string { return service + "@" + address }

// announcedUpstream returns the upstream that sent an announcement, or nil if it is new. An
// instance that announces several addresses is one upstream, which is called at the first address
// for as long as the instance announces that one.
func (a *Agent) announcedUpstream(announcement driver.Announcement) *upstream {
	if u := a.control.upstreams[upstreamKey(announcement.Service, announcement.Address)]; u != nil {
		return u
	}
	for key, u := range a.control.upstreams {
		if u.service != announcement.Service || u.instance != announcement.Instance {
			continue
		}
		if time.Since(u.addressAnnounced) >= driver.AnnouncementTTL {
			a.log.Info("upstream moved to another address", "service", announcement.Service, "from", u.address, "to", announcement.Address)
			delete(a.control.upstreams, key)
			u.address = announcement.Address
			a.control.upstreams[upstreamKey(announcement.Service, announcement.Address)] = u
		}
		return u
	}
	return nil
}

// leastLoadedUpstream returns the least loaded upstream of a service, or nil; it runs on the loop.
func (a *Agent) leastLoadedUpstream(service string) *upstream {
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

// preferred reports whether a is a better choice than b: it is the only one that accepts requests, or
// the less loaded one.
func preferred(now time.Time, a, b *gate.Gate) bool {
	if aOpen, bOpen := a.Ready(now) && !a.Draining(), b.Ready(now) && !b.Draining(); aOpen != bOpen {
		return aOpen
	}
	return (a.InFlight()+a.Queued())*max(b.Slots(), 1) < (b.InFlight()+b.Queued())*max(a.Slots(), 1)
}
