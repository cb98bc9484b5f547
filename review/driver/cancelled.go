package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	// slowFactor is how many times as long the store's answers take while it is slow.
	slowFactor = 60
	// clientTime is how long a message takes between a client and an entry.
	clientTime = 3 * time.Millisecond
	// contactTime, cancelTime and stopGrace are the bounds of the deployment.
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	stopGrace   = 200 * time.Millisecond
	ownerKey    = "jasminebay/0/owner"
)

// views hands each entry the store with the addresses of the other entries translated to relays of its
// own, so that it can be cut off from them alone.
type views struct {
	mu     sync.Mutex
	relays map[string]map[string]*relay
	delay  time.Duration
}

func (v *views) slow(factor int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = storeTime * time.Duration(factor)
}

func (v *views) pause() {
	v.mu.Lock()
	d := v.delay / 2
	v.mu.Unlock()
	time.Sleep(d)
}

// relaysOf returns the relays of an entry to all others that exist, which it adds where they lack.
func (v *views) relaysOf(w *world, viewer string) map[string]*relay {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range w.entries() {
		if p.name == viewer || v.relays[viewer][p.peer] != nil {
			continue
		}
		r, err := newRelay(p.peer)
		if err != nil {
			continue
		}
		if v.relays[viewer] == nil {
			v.relays[viewer] = map[string]*relay{}
		}
		v.relays[viewer][p.peer] = r
	}
	return v.relays[viewer]
}

// entries returns the processes that are entries.
func (w *world) entries() (entries []*process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.front != "" {
			entries = append(entries, p)
		}
	}
	return entries
}

// serveView returns the address of the store as one process sees it.
func (v *views) serveView(w *world, viewer string) string {
	return strings.TrimPrefix(httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		v.pause()
		recorder := httptest.NewRecorder()
		w.store.ServeHTTP(recorder, r)
		v.pause()
		answer := recorder.Body.Bytes()
		if viewer != "" {
			for entry, relay := range v.relaysOf(w, viewer) {
				answer = translate(answer, entry, relay.listener.Addr().String())
			}
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(recorder.Code)
		_, _ = rw.Write(answer)
	})).URL, "http://")
}

// cut cuts an entry off from the other entries, in both directions, or ends that.
func (v *views) cut(name, peer string, cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for viewer, relays := range v.relays {
		for target, r := range relays {
			if viewer == name || target == peer {
				r.held.Store(cut)
			}
		}
	}
}

// jobsCancelled is how many jobs are handed in and cancelled.
const jobsCancelled = 6

// openClient keeps its connections, newClient makes a new one for each call.
var (
	openClient = &http.Client{Timeout: callTime, Transport: &http.Transport{MaxIdleConnsPerHost: 2 * jobsCancelled}}
	newClient  = &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
)

// openConnections opens as many connections to an entry as jobs are handed in.
func openConnections(w *world, front string) {
	var calls sync.WaitGroup
	for range jobsCancelled {
		calls.Go(func() { _, _ = w.callOver(openClient, front, "GET", w.job, "") })
	}
	calls.Wait()
}

// awaitOutOfRotation asks an entry once a second whether it is ready, as the platform does, until it
// has missed twice and gets no new connections.
func awaitOutOfRotation(w *world, entry *process) error {
	client := &http.Client{Timeout: time.Second}
	for misses, tries := 0, 0; misses < 2; tries++ {
		if tries > 8 {
			return errTimeout
		}
		response, err := client.Get("http://" + entry.ready + "/api/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			misses++
		} else {
			misses = 0
		}
		w.record("%s is asked whether it is ready, misses: %d", entry.name, misses)
		if misses < 2 {
			time.Sleep(time.Second)
		}
	}
	return nil
}

// cancelled is a job of which the cancel was answered.
type cancelled struct {
	id     string
	status int
	at     time.Time
}

// playCancelled plays clients that hand a job in at one entry and cancel it at another at once. The
// disruptions are that the first entry is cut off from the other processes, but not from the store, and
// that the store is slow meanwhile. The platform gives the entry no new connections once it isn't ready.
func playCancelled(w *world, trouble bool) error {
	v := &views{relays: map[string]map[string]*relay{}, delay: storeTime}
	for _, name := range []string{"edge-kirishima-a-1", "edge-aso-b-1", "edge-ebino-c-1"} {
		w.storeAt = v.serveView(w, name)
		if err := w.addEntry(name); err != nil {
			return err
		}
	}
	w.storeAt = v.serveView(w, "")
	if err := w.beginJob([]string{"m-1", "m-2", "m-3", "m-4"}, 2); err != nil {
		return err
	}
	var owner, other *process
	for _, p := range w.entries() {
		if bytes.Contains(w.store.Value(ownerKey), []byte(p.name)) {
			owner = p
		} else {
			other = p
		}
	}
	if owner == nil || other == nil {
		return errTimeout
	}
	w.record("%s leads, jobs are handed in at %s and cancelled at %s", owner.name, other.name, owner.name)
	// Clients have connections open to the entry. They go on with them when it is out of rotation.
	openConnections(w, other.front)
	if trouble {
		v.cut(other.name, other.peer, true)
		w.record("%s is cut off from the other entries", other.name)
		if err := awaitOutOfRotation(w, other); err != nil {
			return err
		}
		v.slow(slowFactor)
		w.record("the store's answers take %v", slowFactor*storeTime)
	}
	var jobs []cancelled
	const body = `{"spec":"watch","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":1000,"longRunning":true}]}`
	var calls sync.WaitGroup
	var mu sync.Mutex
	for i := range jobsCancelled {
		id := fmt.Sprintf("00000000000000c%x", i)
		calls.Go(func() {
			if status, _ := w.callOver(openClient, other.front, "POST", id, body); status != http.StatusOK {
				w.record("POST %s at %s: %d", id, other.name, status)
				return
			}
			accepted := time.Now()
			time.Sleep(2 * clientTime)
			status, _ := w.callOver(newClient, owner.front, "DELETE", id, "")
			w.record("POST %s at %s: 200; DELETE at %s: %d after %d ms", id, other.name, owner.name, status, time.Since(accepted).Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK || status == http.StatusGone {
				jobs = append(jobs, cancelled{id, status, time.Now()})
			}
		})
		time.Sleep(80 * time.Millisecond)
	}
	calls.Wait()
	v.slow(1)
	v.cut(other.name, other.peer, false)
	w.record("all is well again; %d cancels were answered", len(jobs))
	if len(jobs) == 0 {
		return errTimeout
	}
	time.Sleep(contactTime + cancelTime + stopGrace + time.Second)
	for _, j := range jobs {
		state := w.jobState(j.id)
		if n := w.jobRuns(j.id); n > 0 {
			w.mu.Lock()
			w.broken = append(w.broken, "UNASKED")
			w.write("UNASKED: the cancel of %s was answered with %d %.1f s ago; %d of its tasks run, and it is shown as %s", j.id, j.status, time.Since(j.at).Seconds(), n, state)
			w.mu.Unlock()
		}
	}
	return nil
}
