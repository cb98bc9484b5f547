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

// measurePeriod is the length of each measurement.
const measurePeriod = 8 * time.Second

// bootForBenchmark starts a small system for a benchmark.
func bootForBenchmark(b *testing.B, entries, runners int) *system {
	s := &system{
		dir: b.TempDir(), processes: map[string]*process{}, machines: map[string]*machine{},
		relays: map[string]*relay.Relay{}, senders: map[string]*sender{}, jobIDs: map[string]string{},
	}
	b.Cleanup(s.close)
	a := arguments{named: map[string]string{"entries": fmt.Sprint(entries), "runners": fmt.Sprint(runners), "grant": "15s"}}
	if _, err := cmdSystem(s, a); err != nil {
		b.Fatal(err)
	}
	return s
}

// usage returns the processor time and the resident memory that a process reports in its metrics.
func (s *system) usage(b *testing.B, name string) (cpuSeconds, rssBytes float64) {
	text, err := s.get(s.processes[name].operatorsURL + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	return sumMetric(text, "process_cpu_seconds_total"), sumMetric(text, "process_resident_memory_bytes")
}

// reportUsage measures a process for measurePeriod and reports its use of processor and memory.
func (s *system) reportUsage(b *testing.B, name string) {
	before, _ := s.usage(b, name)
	start := time.Now()
	time.Sleep(measurePeriod)
	after, rss := s.usage(b, name)
	b.ReportMetric((after-before)/time.Since(start).Seconds()*1000, "cpu-ms/s")
	b.ReportMetric(rss/(1<<20), "rss-MB")
}

// BenchmarkAgent measures the cost of control traffic for an agent by the number of entries and
// tasks, at two heartbeats per second. With more than one entry, bytes/s includes the traffic
// between entries.
func BenchmarkAgent(b *testing.B) {
	for _, c := range []struct{ entries, tasks int }{{1, 0}, {1, 9}, {1, 18}, {4, 9}} {
		b.Run(fmt.Sprintf("entries=%d/tasks=%d", c.entries, c.tasks), func(b *testing.B) {
			s := bootForBenchmark(b, c.entries, 1)
			if c.tasks > 0 {
				a := arguments{positional: []string{"job", "colour-index"}, named: map[string]string{"count": fmt.Sprint(c.tasks), "run": "10m"}}
				if _, err := cmdSubmit(s, a); err != nil {
					b.Fatal(err)
				}
				if _, err := cmdTasks(s, arguments{named: map[string]string{"start": fmt.Sprint(c.tasks)}}); err != nil {
					b.Fatal(err)
				}
			}
			before := s.peerBytes()
			start := time.Now()
			s.reportUsage(b, "runner-0")
			b.ReportMetric(float64(s.peerBytes()-before)/time.Since(start).Seconds(), "bytes/s")
		})
	}
}

// peerBytes returns the total number of bytes that the relays in front of live entries have passed.
func (s *system) peerBytes() (bytes int64) {
	for _, name := range s.liveEntries() {
		bytes += s.relays[name].BytesForwarded()
	}
	return bytes
}

// BenchmarkEntry measures the cost for an entry of the heartbeats of its agents, each of which has one
// upstream.
func BenchmarkEntry(b *testing.B) {
	for _, agents := range []int{0, 450, 900, 1800} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			s := bootForBenchmark(b, 1, 1)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			b.Cleanup(func() {
				cancel()
				wg.Wait()
			})
			for i := range agents {
				wg.Go(func() { sendHeartbeats(ctx, s.relays["zuerich-a-0"].Address(), i) })
			}
			time.Sleep(2 * time.Second)
			s.reportUsage(b, "zuerich-a-0")
			counts := s.store.Counts()
			b.ReportMetric(float64(counts.Writes), "store-writes")
		})
	}
}

// sendHeartbeats acts as an agent that sends a report once per second.
func sendHeartbeats(ctx context.Context, address string, agent int) {
	capacity := &peerpb.Resources{MilliCpu: 64_000, MemoryBytes: 250 << 30}
	session, control, _, err := peer.Dial(ctx, address, &peerpb.Hello{
		Version: peer.Version, System: "jasminebay", Id: fmt.Sprintf("load-%04d", agent), Role: peer.RoleAgent,
		Incarnation: 1, DataCentre: "zuerich-a", Rack: fmt.Sprint(agent / 20), Capacity: capacity,
	})
	if err != nil {
		return
	}
	defer session.Close()
	time.Sleep(time.Duration(agent%1000) * time.Millisecond)
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

// BenchmarkEntryRequests measures the cost of a request for an entry and an agent by the number of
// concurrent callers.
func BenchmarkEntryRequests(b *testing.B) {
	for _, callers := range []int{2, 8} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := bootForBenchmark(b, 1, 3)
			if _, err := cmdSend(s, arguments{positional: []string{"x", "proof-check"}, named: map[string]string{"concurrency": fmt.Sprint(callers), "background": "yes"}}); err != nil {
				b.Fatal(err)
			}
			time.Sleep(time.Second)
			requestsTotal := func() float64 {
				text, err := s.get(s.processes["zuerich-a-0"].operatorsURL + "/metrics")
				if err != nil {
					b.Fatal(err)
				}
				return sumMetric(text, "jasminebay_requests_total")
			}
			before, _ := s.usage(b, "zuerich-a-0")
			agentBefore, _ := s.usage(b, "runner-0")
			requests, start := requestsTotal(), time.Now()
			time.Sleep(measurePeriod)
			after, rss := s.usage(b, "zuerich-a-0")
			agentAfter, agentRSS := s.usage(b, "runner-0")
			completed := requestsTotal() - requests
			b.ReportMetric(completed/time.Since(start).Seconds(), "req/s")
			b.ReportMetric((after-before)/completed*1e6, "entry-us/req")
			b.ReportMetric((agentAfter-agentBefore)/(completed/3)*1e6, "agent-us/req")
			b.ReportMetric(rss/(1<<20), "entry-rss-MB")
			b.ReportMetric(agentRSS/(1<<20), "agent-rss-MB")
		})
	}
}

// BenchmarkStarts measures the writes to the store in relation to the rate of task starts.
func BenchmarkStarts(b *testing.B) {
	for _, jobs := range []int{2, 10} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := bootForBenchmark(b, 1, 6)
			before := s.store.Counts()
			start := time.Now()
			for i := range jobs {
				a := arguments{positional: []string{fmt.Sprint("j", i), "colour-index"}, named: map[string]string{"count": "100", "run": "200ms", "milli-cpu": "1000"}}
				if _, err := cmdSubmit(s, a); err != nil {
					b.Fatal(err)
				}
			}
			if _, err := cmdTasks(s, arguments{named: map[string]string{"finish": fmt.Sprint(jobs * 100)}}); err != nil {
				b.Fatal(err)
			}
			seconds := time.Since(start).Seconds()
			after := s.store.Counts()
			b.ReportMetric(float64(jobs*100)/seconds, "starts/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
			b.ReportMetric(float64(after.BytesWritten-before.BytesWritten)/float64(jobs*100), "bytes/start")
		})
	}
}
