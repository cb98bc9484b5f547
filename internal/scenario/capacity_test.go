package scenario

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jasminebay/jasminebay/internal/peer"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/standin/relay"
)

// measureTime is how long each slope is measured.
const measureTime = 8 * time.Second

// bootFor starts a small system for a benchmark.
func bootFor(b *testing.B, entries, runners int) *system {
	s := &system{
		dir: b.TempDir(), processes: map[string]*process{}, machines: map[string]*machine{},
		relays: map[string]*relay.Relay{}, senders: map[string]*sender{}, jobs: map[string]string{},
	}
	b.Cleanup(s.close)
	a := arguments{named: map[string]string{"entries": fmt.Sprint(entries), "runners": fmt.Sprint(runners), "grant": "15s"}}
	if _, err := cmdSystem(s, a); err != nil {
		b.Fatal(err)
	}
	return s
}

// usage reads a process's own metrics.
func (s *system) usage(b *testing.B, name string) (cpuSeconds, rssBytes float64) {
	text, err := s.ask(s.processes[name].operators + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	return sumMetric(text, "process_cpu_seconds_total"), sumMetric(text, "process_resident_memory_bytes")
}

func (s *system) report(b *testing.B, name string) {
	before, _ := s.usage(b, name)
	began := time.Now()
	time.Sleep(measureTime)
	after, rss := s.usage(b, name)
	b.ReportMetric((after-before)/time.Since(began).Seconds()*1000, "cpu-ms/s")
	b.ReportMetric(rss/(1<<20), "rss-MB")
}

// BenchmarkAgent measures what an agent spends on control by entries and tasks, at two
// heartbeats a second. With more than one entry, bytes/s holds what entries tell each other.
func BenchmarkAgent(b *testing.B) {
	for _, c := range []struct{ entries, tasks int }{{1, 0}, {1, 9}, {1, 18}, {4, 9}} {
		b.Run(fmt.Sprintf("entries=%d/tasks=%d", c.entries, c.tasks), func(b *testing.B) {
			s := bootFor(b, c.entries, 1)
			if c.tasks > 0 {
				a := arguments{words: []string{"job", "colour-index"}, named: map[string]string{"count": fmt.Sprint(c.tasks), "run": "10m"}}
				if _, err := cmdSubmit(s, a); err != nil {
					b.Fatal(err)
				}
				if _, err := cmdTasks(s, arguments{named: map[string]string{"start": fmt.Sprint(c.tasks)}}); err != nil {
					b.Fatal(err)
				}
			}
			before := s.traffic()
			began := time.Now()
			s.report(b, "runner-0")
			b.ReportMetric(float64(s.traffic()-before)/time.Since(began).Seconds(), "bytes/s")
		})
	}
}

// traffic sums the bytes that the relays in front of the entries have passed.
func (s *system) traffic() (bytes int64) {
	for _, name := range s.live() {
		bytes += s.relays[name].BytesForwarded()
	}
	return bytes
}

// BenchmarkEntry measures what an entry spends on the heartbeats of its agents, each of
// which has nine tasks and one upstream.
func BenchmarkEntry(b *testing.B) {
	for _, agents := range []int{0, 450, 900, 1800} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			s := bootFor(b, 1, 1)
			ctx, cancel := context.WithCancel(context.Background())
			var wait sync.WaitGroup
			b.Cleanup(func() {
				cancel()
				wait.Wait()
			})
			for i := range agents {
				wait.Go(func() { heartbeats(ctx, s.relays["zuerich-a-0"].Address(), i) })
			}
			time.Sleep(2 * time.Second)
			s.report(b, "zuerich-a-0")
			counts := s.store.Counts()
			b.ReportMetric(float64(counts.Writes), "store-writes")
		})
	}
}

// heartbeats plays an agent that reports once a second.
func heartbeats(ctx context.Context, address string, i int) {
	capacity := &peerpb.Resources{MilliCpu: 64_000, MemoryBytes: 250 << 30}
	session, control, _, err := peer.Dial(ctx, address, &peerpb.Hello{
		Version: peer.Version, System: "jasminebay", Id: fmt.Sprintf("load-%04d", i), Role: peer.RoleAgent,
		Incarnation: 1, DataCentre: "zuerich-a", Rack: fmt.Sprint(i / 20), Capacity: capacity,
	})
	if err != nil {
		return
	}
	defer session.Close()
	time.Sleep(time.Duration(i%1000) * time.Millisecond)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var revision uint64
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		r := &peerpb.Report{
			Sequence: sequence, Capacity: capacity, Free: capacity, Revision: revision,
			Upstreams: []*peerpb.UpstreamState{{Service: "servietten-hub", Slots: 8, Ready: true, InFlight: 8}},
		}
		if control.Send(peer.ReportFrame(r)) != nil {
			return
		}
		f, err := control.Receive()
		if err != nil {
			return
		}
		revision = max(revision, f.GetUpdate().GetRevision())
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// BenchmarkEntryRequests measures what an entry spends on requests by their rate.
func BenchmarkEntryRequests(b *testing.B) {
	for _, callers := range []int{2, 8} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := bootFor(b, 1, 3)
			if _, err := cmdSend(s, arguments{words: []string{"x", "proof-check"}, named: map[string]string{"concurrency": fmt.Sprint(callers), "background": "yes"}}); err != nil {
				b.Fatal(err)
			}
			time.Sleep(time.Second)
			metrics := func() float64 {
				text, err := s.ask(s.processes["zuerich-a-0"].operators + "/metrics")
				if err != nil {
					b.Fatal(err)
				}
				return sumMetric(text, "jasminebay_requests_total")
			}
			before, _ := s.usage(b, "zuerich-a-0")
			agentBefore, _ := s.usage(b, "runner-0")
			requests, began := metrics(), time.Now()
			time.Sleep(measureTime)
			after, rss := s.usage(b, "zuerich-a-0")
			agentAfter, agentRSS := s.usage(b, "runner-0")
			n := metrics() - requests
			b.ReportMetric(n/time.Since(began).Seconds(), "req/s")
			b.ReportMetric((after-before)/n*1e6, "entry-us/req")
			b.ReportMetric((agentAfter-agentBefore)/(n/3)*1e6, "agent-us/req")
			b.ReportMetric(rss/(1<<20), "entry-rss-MB")
			b.ReportMetric(agentRSS/(1<<20), "agent-rss-MB")
		})
	}
}

// BenchmarkStarts measures the store's writes by the rate of task starts.
func BenchmarkStarts(b *testing.B) {
	for _, jobs := range []int{2, 10} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := bootFor(b, 1, 6)
			before := s.store.Counts()
			began := time.Now()
			for i := range jobs {
				a := arguments{words: []string{fmt.Sprint("j", i), "colour-index"}, named: map[string]string{"count": "100", "run": "200ms", "milli-cpu": "1000"}}
				if _, err := cmdSubmit(s, a); err != nil {
					b.Fatal(err)
				}
			}
			if _, err := cmdTasks(s, arguments{named: map[string]string{"finish": fmt.Sprint(jobs * 100)}}); err != nil {
				b.Fatal(err)
			}
			took := time.Since(began).Seconds()
			after := s.store.Counts()
			b.ReportMetric(float64(jobs*100)/took, "starts/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/took, "writes/s")
			b.ReportMetric(float64(after.BytesWritten-before.BytesWritten)/float64(jobs*100), "bytes/start")
		})
	}
}
