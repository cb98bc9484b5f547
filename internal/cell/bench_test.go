package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/interfere"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// BenchmarkDecision measures one placement decision, including its record, with different numbers
// of half-full workers.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{100, 450} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				o := newBenchmarkOwner(workers)
				b.StartTimer()
				o.placeWaiting(time.Now())
				if len(o.control.pendingRecords) != placementsPerRound {
					b.Fatalf("%d placements", len(o.control.pendingRecords))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*placementsPerRound), "us/decision")
		})
	}
}

// newBenchmarkOwner returns an owner with workers and a queue, without a running loop.
func newBenchmarkOwner(workers int) *Owner {
	o := &Owner{
		options: Options{
			Cell: testCell, Document: func() *document.Document { return nil }, Metrics: telemetry.NewMetrics(),
			Placer: place.NewPairScore(func() place.Weights { return place.Weights{Interference: 1, Packing: 1, Spread: 1} }),
		},
		log: discardLog, commitSignal: make(chan struct{}, 1),
		control: control{
			state: NewState(), workers: map[string]*worker{}, queue: newQueue(), reservedByTeam: map[string]driver.Resources{},
			model: interfere.New(), overuse: newOveruse(), nextPreempt: map[string]time.Time{}, holds: map[string]capacityHold{}, placementDue: true, takenAt: time.Now(),
		},
	}
	for i := range workers {
		w := o.ensureWorker(fmt.Sprintf("worker-%03d", i))
		w.Rack = fmt.Sprintf("rack-%d", i/20)
		w.capacity, w.lastReport = driver.NewResources(64_000, 250<<30, 2), time.Now()
		if i%4 == 0 {
			w.services = map[string]serviceUsage{"service": {slots: 8, busy: 2}}
		}
		for n := range 9 {
			w.assign(&assignment{task: fmt.Sprintf("old-%d-%d", i, n), class: "scan", reserved: driver.NewResources(3000, 1<<30, 0)})
		}
	}
	for i := range placementsPerRound {
		job := &cellpb.Job{Id: fmt.Sprintf("job-%d", i), Team: fmt.Sprintf("team-%d", i%40), Tasks: []*cellpb.Task{{
			Id: fmt.Sprintf("job-%d.0", i), Class: "scan", MaxAttempts: 1, Resources: &cellpb.Resources{MilliCpu: 2000, MemoryBytes: 1 << 30},
		}}}
		if err := o.control.state.Apply(acceptedRecord(job)); err != nil {
			panic(err)
		}
		o.control.queue.push(0, job.GetTeam(), job.GetTasks()[0].GetId(), false)
	}
	return o
}
