package engine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// BenchmarkPlace measures a placement round with a backlog of best-effort steps on 240 workers of
// which half have latency-critical tasks.
func BenchmarkPlace(b *testing.B) {
	const workers, waiting = 240, 60
	now := Timestamp{Monotonic: time.Hour}
	e := New(Options{AcquiredAt: now.Monotonic, Lease: time.Hour, Retention: time.Hour, LateFactor: 3, Log: slog.New(slog.DiscardHandler), Policy: Policy{NoShedding: true}})
	e.Configure(map[string]Queue{testQueue.Name: testQueue})
	for i := range workers {
		node := fmt.Sprintf("n%03d", i)
		info := &flowpb.Runner{Id: "i-" + node, Service: testQueue.Service, MilliCpu: 64_000, MemoryMb: 250_000}
		e.Connect(node)
		e.Sync(node, &flowpb.Sync{Runner: info}, now)
		e.Report(node, &flowpb.Report{Token: e.workers[node].token, Sequence: 1, Runner: info, Listed: true}, now)
	}
	submit := func(id string, s *flowpb.Step) {
		e.Submit(0, &flowpb.Job{Id: id, Queue: testQueue.Name, Steps: []*flowpb.Step{s}}, now)
	}
	for i := range 20 {
		submit(fmt.Sprintf("critical%d", i), &flowpb.Step{Count: 24, MilliCpu: 13_000, MemoryMb: 26_000, Lasting: true, TargetMillis: 18, Image: fmt.Sprintf("c%d", i%16)})
	}
	e.Place(now)
	for i := range 40 {
		submit(fmt.Sprintf("running%d", i), &flowpb.Step{Count: 40, MilliCpu: 7000, MemoryMb: 13_000, Fills: true, EstimateMillis: 1700, Image: fmt.Sprintf("b%d", i%30)})
	}
	e.Place(now)
	for i := range waiting {
		submit(fmt.Sprintf("waiting%d", i), &flowpb.Step{Count: 40, MilliCpu: 7000, MemoryMb: 13_000, Fills: true, EstimateMillis: 1700, Image: fmt.Sprintf("b%d", i%30)})
	}
	e.Place(now)
	b.ResetTimer()
	for b.Loop() {
		e.placementDue = true
		e.Place(now)
	}
}
