package cell

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	standin "github.com/jasminebay/jasminebay/internal/standin/worker"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// TestEvacuation guards against tasks that start or keep running in an evacuated data centre, also after
// its owner is killed, and against work that is lost or repeated once it is taken back. Attempts are
// evicted with a checkpoint.
func TestEvacuation(t *testing.T) {
	for _, owner := range []string{"heal", "crash"} {
		t.Run(owner, func(t *testing.T) {
			is := is.New(t)
			var violations []string
			var running, evicted int
			synctest.Test(t, func(*testing.T) {
				sim := newSimulation(testDrifts)
				defer sim.end()
				jobs := map[string]bool{}
				for i, s := range []step{{kind: "heal", wait: time.Second}, {kind: "submit"}, {kind: "submit", wait: time.Second}, {kind: "evacuate"}, {kind: owner}, {kind: "owner"}, {kind: "submit", wait: 5 * time.Second}} {
					sim.applyStep(i, s, jobs)
					time.Sleep(s.wait)
				}
				running = sim.runningAttempts()
				for _, e := range sim.events {
					if e.Kind == standin.EventStop {
						evicted++
					}
				}
				violations = append(sim.recoverAndCheck(jobs), sim.violations...)
				is.Equal(len(jobs), 3)
			})
			is.Equal(running, 0)
			is.True(evicted > 0)
			is.Equal(strings.Join(violations, "\n"), "")
		})
	}
}

// runningAttempts returns the number of attempts that run on all agents.
func (sm *simulation) runningAttempts() (n int) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	for _, a := range sm.agents {
		sm.advance(a)
		for _, t := range a.attempts {
			if t.state.GetPhase() == peerpb.Phase_PHASE_RUNNING {
				n++
			}
		}
	}
	return n
}

// TestEvacuationIsLimited guards against an evacuation that stops all attempts of a cell at once, or that
// waits for the ones whose agents answer without an end, and against placements while it lasts.
func TestEvacuationIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var workers []string
		for i := range maxEvacuating {
			workers = append(workers, fmt.Sprintf("w%02d", i))
		}
		const stopDelay = time.Second
		h := newPreemptHarness(t, stopDelay, workers...)
		d := &document.Document{DataCentres: []document.DataCentre{{Name: testDataCentre, Evacuated: true}}}
		h.owner.options.Document, h.owner.options.DataCentre = func() *document.Document { return d }, testDataCentre
		tick := func() (evicted int) {
			h.NoErr(h.owner.loop.Do(func() {
				h.owner.evacuate(time.Now())
				for _, w := range h.owner.control.workers {
					for _, a := range w.assigned {
						if a.evictRequested {
							evicted++
						}
					}
					h.owner.retryStops(w, time.Now())
					w.lastReport, w.capacity = time.Now(), driver.NewResources(64_000, 64, 0)
				}
				h.owner.control.placementDue = true
				h.owner.placeWaiting(time.Now())
			}))
			return evicted
		}
		for round := 1; round <= 4; round++ {
			h.Equal(tick(), round*maxEvacuating)
			h.Equal(tick(), round*maxEvacuating)
			time.Sleep(stopDelay + stopRetryInterval/2)
		}
		h.Equal(h.placedOn("patient"), "")
		d = nil
		tick()
		h.True(h.placedOn("patient") != "")
		h.owner.calls.Wait()
	})
}
