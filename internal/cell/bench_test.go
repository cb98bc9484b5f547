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

// BenchmarkDecision measures one placement decision, its record included, among a number
// of workers that are half full.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{100, 450} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				o := decisionOwner(workers)
				b.StartTimer()
				o.place(time.Now())
				if len(o.c.pending) != placementsPerRound {
					b.Fatalf("%d placements", len(o.c.pending))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*placementsPerRound), "us/decision")
		})
	}
}

// decisionOwner returns an owner with workers and a queue, which nothing runs.
func decisionOwner(workers int) *Owner {
	o := &Owner{
		options: Options{
			Cell: testCell, Document: func() *document.Document { return nil }, Metrics: telemetry.NewMetrics(),
			Placer: place.NewPairScore(func() place.Weights { return place.Weights{Interference: 1, Packing: 1, Spread: 1} }),
		},
		log: quiet, work: make(chan struct{}, 1),
		c: control{
			state: NewState(), workers: map[string]*worker{}, queue: newQueue(), use: map[string]driver.Resources{},
			model: interfere.New(), sizes: newSizes(), preempted: map[string]time.Time{}, holds: map[string]hold{}, dirty: true, taken: time.Now(),
		},
	}
	for i := range workers {
		w := o.workerNamed(fmt.Sprintf("worker-%03d", i))
		w.Rack = fmt.Sprintf("rack-%d", i/20)
		w.capacity, w.seen = driver.NewResources(64_000, 250<<30, 2), time.Now()
		if i%4 == 0 {
			w.serving = map[string]serving{"service": {slots: 8, busy: 2}}
		}
		for n := range 9 {
			w.assign(&assignment{task: fmt.Sprintf("old-%d-%d", i, n), class: "scan", reserved: driver.NewResources(3000, 1<<30, 0)})
		}
	}
	for i := range placementsPerRound {
		job := &cellpb.Job{Id: fmt.Sprintf("job-%d", i), Team: fmt.Sprintf("team-%d", i%40), Tasks: []*cellpb.Task{{
			Id: fmt.Sprintf("job-%d.0", i), Class: "scan", MaxAttempts: 1, Resources: &cellpb.Resources{MilliCpu: 2000, MemoryBytes: 1 << 30},
		}}}
		if err := o.c.state.Apply(acceptedRecord(job)); err != nil {
			panic(err)
		}
		o.c.queue.push(0, job.GetTeam(), job.GetTasks()[0].GetId(), false)
	}
	return o
}
