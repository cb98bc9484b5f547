package scenario

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasminebay/jasminebay/pkg/client"
)

// outcome is the result of one request as reported to its caller.
type outcome struct {
	id         string
	kind       string
	key        string
	idempotent bool
	result     string
}

// sender sends requests and records their results.
type sender struct {
	system      *system
	name        string
	kind        string
	entries     []string
	count       int
	concurrency int
	size        int
	key         string
	path        string
	timeout     time.Duration
	// cancelAfter is the time after which a caller cancels its request; 0 means never.
	cancelAfter time.Duration
	quit        chan struct{}
	stopOnce    sync.Once
	// left is closed when all callers cancel their requests.
	left      chan struct{}
	leftOnce  sync.Once
	done      chan struct{}
	mu        sync.Mutex
	counts    map[string]int
	latencies []time.Duration
	upstreams map[string]int
	details   map[string]int
}

// run sends count requests, or if count is 0 sends requests until stop is called.
func (s *sender) run() {
	defer close(s.done)
	var wg sync.WaitGroup
	limit := make(chan struct{}, s.concurrency)
	for i := 0; s.count == 0 || i < s.count; i++ {
		limit <- struct{}{}
		if isClosed(s.quit) && s.count == 0 {
			break
		}
		wg.Go(func() {
			defer func() { <-limit }()
			s.sendOne(i)
		})
	}
	wg.Wait()
}

// stop ends a sender that has no count; it does not wait for requests in flight.
func (s *sender) stop() { s.stopOnce.Do(func() { close(s.quit) }) }

// leave cancels the requests in flight.
func (s *sender) leave() { s.leftOnce.Do(func() { close(s.left) }) }

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (s *sender) sendOne(i int) {
	id := fmt.Sprintf("%s/%d;", s.name, i)
	key := s.key
	if key == "each" {
		key = "key-" + id
	}
	if key != "" {
		// Requests with the same key have the same identity for the checks, whichever caller sends them.
		id = key + ";"
	}
	body := append([]byte(id), bytes.Repeat([]byte{'.'}, max(0, s.size-len(id)))...)
	entries := s.entries
	if len(entries) == 0 {
		entries = s.system.liveEntries()
	}
	if len(entries) == 0 {
		return
	}
	result, upstream, latency := s.call(entries[i%len(entries)], key, body)
	result, detail, _ := strings.Cut(result, ": ")
	s.mu.Lock()
	s.details[detail]++
	s.counts[result]++
	s.upstreams[upstream]++
	s.latencies = append(s.latencies, latency)
	s.mu.Unlock()
	kind := s.system.document.Services[0].Kind(s.kind)
	s.system.mu.Lock()
	s.system.outcomes = append(s.system.outcomes, outcome{id: id, kind: s.kind, key: key, idempotent: kind != nil && kind.Idempotent, result: result})
	s.system.mu.Unlock()
}

var callerHTTP = &http.Client{Timeout: 90 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (s *sender) call(entry, key string, body []byte) (result, upstream string, latency time.Duration) {
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.left:
			cancel()
		case <-ctx.Done():
		}
	}()
	if s.cancelAfter > 0 {
		defer time.AfterFunc(s.cancelAfter, cancel).Stop()
	}
	response, err := client.New(client.Options{Address: s.system.processes[entry].callersURL, HTTP: callerHTTP}).Do(ctx, client.Request{
		Service: s.system.document.Services[0].Name, Kind: s.kind, Body: body, Key: key, Path: s.path, Timeout: s.timeout,
	})
	latency = time.Since(start)
	var problem *client.Error
	switch {
	case errors.As(err, &problem) && problem.Outcome != "":
		return problem.Outcome + ": " + problem.Detail, "", latency
	case errors.As(err, &problem):
		return fmt.Sprintf("status-%d", problem.Status), "", latency
	case ctx.Err() != nil:
		return "left", "", latency
	case err != nil:
		return "broken", "", latency
	case response.Status != http.StatusOK:
		return fmt.Sprintf("status-%d", response.Status), response.Upstream, latency
	case s.path == "" && !bytes.Equal(response.Body, body), s.path != "" && len(response.Body) != requestedBytes(s.path):
		return "wrong", response.Upstream, latency
	}
	return "answered", response.Upstream, latency
}

// requestedBytes returns the length of the response that the path requests from the stand-in.
func requestedBytes(path string) (n int) {
	_, query, _ := strings.Cut(path, "bytes=")
	_, _ = fmt.Sscanf(query, "%d", &n)
	return n
}

// summary returns the number of requests by result as text for scripts to match.
func (s *sender) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	var b strings.Builder
	for _, result := range []string{"answered", "not-run", "unknown", "ran", "broken", "wrong", "left"} {
		fmt.Fprintf(&b, "%s=%d ", result, s.counts[result])
	}
	for result, n := range s.counts {
		if strings.HasPrefix(result, "status-") {
			fmt.Fprintf(&b, "%s=%d ", result, n)
		}
		total += n
	}
	slices.Sort(s.latencies)
	maxLatency := time.Duration(0)
	if len(s.latencies) > 0 {
		maxLatency = s.latencies[len(s.latencies)-1]
	}
	fmt.Fprintf(&b, "total=%d worst=%v upstreams=%v\ndetails: %v\n", total, maxLatency.Round(time.Millisecond), s.upstreams, s.details)
	return b.String()
}

// checkRequests compares the results that callers received with the records of the upstreams.
func (s *system) checkRequests() (violations []string) {
	runCounts := map[string]int{}
	ran := map[string]bool{}
	for name, m := range s.machines {
		r := m.upstream.Record()
		if r.PeakRunning > s.options.slots {
			violations = append(violations, fmt.Sprintf("%s ran %d requests at once in %d slots", name, r.PeakRunning, s.options.slots))
		}
		if r.PeakConnections > s.options.connections {
			violations = append(violations, fmt.Sprintf("%s had %d open connections, want at most %d", name, r.PeakConnections, s.options.connections))
		}
		for _, run := range r.Runs {
			id, _, _ := strings.Cut(run.Body, ";")
			runCounts[id+";"]++
			ran[id+";"] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		if o.result == "not-run" && ran[o.id] {
			violations = append(violations, o.id+" was reported as not-run but ran")
		}
		if o.result == "wrong" {
			violations = append(violations, o.id+" got a wrong response body")
		}
		if !o.idempotent && runCounts[o.id] > 1 {
			violations = append(violations, fmt.Sprintf("%s is not idempotent but ran %d times", o.id, runCounts[o.id]))
		}
	}
	slices.Sort(violations)
	return slices.Compact(violations)
}
