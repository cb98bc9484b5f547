package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/cell"
	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/driver"
	"github.com/jasminebay/jasminebay/internal/driver/kv"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	standin "github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/telemetry"
)

// handlerTransport is a RoundTripper that calls a handler directly, without a network.
type handlerTransport struct{ handler http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// TestCells runs the scripts in testdata/cells: entry-1 of the data centre zuerich-a takes over and
// releases cells while other entries register and deregister. Each command prints the cells that it owns.
func TestCells(t *testing.T) {
	datadriven.Walk(t, "testdata/cells", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := kv.New(kv.Options{Address: "http://kv", Timeout: time.Second, Transport: handlerTransport{standin.New(standin.Options{}).Handler()}})
			holder := exampleHolder(t)
			e := New(Options{
				ID: "entry-1", DataCentre: "zuerich-a", Store: store, Placer: place.NewPairScore(func() place.Weights { return place.Weights{} }),
				Holder: holder, Watcher: newWatcher(store, holder), Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics(),
				Grant: time.Second, Margin: time.Second, StoreSilence: time.Second,
			})
			go e.loop.Run(ctx)
			e.cells.ctx = ctx
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				runCommand(t, ctx, e, store, strings.Fields(d.Cmd+" "+d.Input))
				return cmp.Or(strings.Join(ownedCells(&e.cells), " "), "none") + "\n"
			})
			cancel()
			e.cells.ownersRunning.Wait()
		})
	})
}

func exampleHolder(t *testing.T) *config.Holder {
	raw, err := examples.Files.ReadFile("verband.json")
	if err != nil {
		t.Fatal(err)
	}
	h := config.NewHolder("production")
	if _, err := h.Apply(1, mustJSON(t, config.Record{Document: raw})); err != nil {
		t.Fatal(err)
	}
	return h
}

func newWatcher(store driver.Store, h *config.Holder) *config.Watcher {
	return &config.Watcher{Store: store, Holder: h, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()}
}

// runCommand runs one command of a script.
func runCommand(t *testing.T, ctx context.Context, e *Entry, store driver.Store, words []string) {
	switch words[0] {
	case "registry":
		if err := e.readRegistry(ctx); err != nil {
			t.Fatal(err)
		}
		e.registered.Store(true)
	case "register":
		putItem(t, ctx, store, registryPrefix+words[1], mustJSON(t, registration{ID: words[1], DataCentre: words[2], Instance: words[1] + "/1"}))
	case "deregister":
		item, err := store.Get(ctx, registryPrefix+words[1])
		if err == nil {
			err = store.Delete(ctx, item.Key(), item.Revision())
		}
		if err != nil {
			t.Fatal(err)
		}
	case "head":
		value, err := proto.Marshal(&cellpb.Head{Epoch: 1, Owner: words[2] + "/1"})
		if err != nil {
			t.Fatal(err)
		}
		putItem(t, ctx, store, cell.HeadKey(words[1]), value)
	case "review":
		wait, err := time.ParseDuration(words[1])
		if err != nil {
			t.Fatal(err)
		}
		for start := time.Now(); time.Since(start) < wait; {
			e.cells.reconcile(ctx)
			time.Sleep(reconcileInterval)
		}
	default:
		t.Fatalf("unknown command %q", words[0])
	}
}

func ownedCells(c *cells) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.owners))
}

// TestWorkerStaysInItsCell checks that a worker with open attempts stays in the cell that started
// them, whereas others belong to the cell that the hash assigns, here zuerich-a.0.
func TestWorkerStaysInItsCell(t *testing.T) {
	e := New(Options{ID: "entry-1", DataCentre: "zuerich-a", Holder: exampleHolder(t), Log: slog.New(slog.DiscardHandler)})
	hello := &peerpb.Hello{Id: "runner-0", DataCentre: "zuerich-a"}
	for _, each := range []struct {
		report *peerpb.Report
		want   string
	}{
		{&peerpb.Report{}, "zuerich-a.0"},
		{&peerpb.Report{Cell: "zuerich-a.1"}, "zuerich-a.0"},
		// Only the report to the owner lists the tasks, so Holding decides.
		{&peerpb.Report{Cell: "zuerich-a.1", Holding: true}, "zuerich-a.1"},
	} {
		if got := e.cells.cellFor(hello, each.report); got != each.want {
			t.Errorf("%v: in %s, want %s", each.report, got, each.want)
		}
	}
}

// TestGrowthMovesWorkersToTheNewCell adds cells one by one and checks that workers move only to the
// new cell, and about as many as its share.
func TestGrowthMovesWorkersToTheNewCell(t *testing.T) {
	const workers = 1000
	for cells := 1; cells < 8; cells++ {
		moved := 0
		for n := range workers {
			worker := fmt.Sprintf("runner-%d", n)
			before, after := cellForWorker("a", worker, cells), cellForWorker("a", worker, cells+1)
			if before == after {
				continue
			}
			moved++
			if after != cellName("a", cells) {
				t.Fatalf("%s moved from %s to %s", worker, before, after)
			}
		}
		if share := workers / (cells + 1); moved < share/2 || moved > 2*share {
			t.Errorf("the last of %d cells got %d of %d workers", cells+1, moved, workers)
		}
	}
}

func mustJSON(t *testing.T, v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func putItem(t *testing.T, ctx context.Context, store driver.Store, key string, value []byte) {
	if _, err := store.CompareAndSwap(ctx, key, driver.RevisionAbsent, value, ""); err != nil {
		t.Fatal(err)
	}
}

// TestSubmitWaitsForAnOwner checks that a job which comes while no cell has an owner waits for the next
// one, for as long as a call may take.
func TestSubmitWaitsForAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{ID: "entry-1", DataCentre: "zuerich-a", Holder: exampleHolder(t), Log: slog.New(slog.DiscardHandler)})
		for _, each := range []struct {
			takeover time.Duration
			want     string
		}{{0, "zuerich-a.0"}, {3 * time.Second, "zuerich-a.0"}, {time.Minute, ""}} {
			e.cells.forgetPeer("entry-2")
			time.AfterFunc(each.takeover, func() {
				e.cells.recordPeerCells(&peerpb.PeerState{Id: "entry-2", Cells: []*peerpb.CellLoad{{Cell: "zuerich-a.0", Epoch: 2}}})
			})
			ctx, cancel := context.WithTimeout(t.Context(), jobCallTimeout)
			start := time.Now()
			name := e.awaitCell(ctx, &cellpb.Job{})
			cancel()
			if took, most := time.Since(start), min(each.takeover+ownerPollInterval, jobCallTimeout); name != each.want || took > most {
				t.Errorf("owner after %v: cell %q after %v, want %q within %v", each.takeover, name, took, each.want, most)
			}
		}
	})
}

// TestUnknownCell checks that a call for a job in a cell that the document does not name fails at
// once instead of waiting for an owner.
func TestUnknownCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{ID: "entry-1", DataCentre: "zuerich-a", Holder: exampleHolder(t), Log: slog.New(slog.DiscardHandler)})
		go e.loop.Run(t.Context())
		for cell, want := range map[string]int32{
			"": http.StatusNotFound, "nowhere.0": http.StatusNotFound, "zuerich-a.7": http.StatusNotFound,
			"zuerich-a.0": http.StatusServiceUnavailable,
		} {
			ctx, cancel := context.WithTimeout(t.Context(), jobCallTimeout)
			start := time.Now()
			reply := e.callJob(ctx, &peerpb.JobCall{Operation: operationGet, Cell: cell})
			cancel()
			if took := time.Since(start); reply.GetStatus() != want || want == http.StatusNotFound && took > 0 {
				t.Errorf("cell %q: %d after %v, want %d", cell, reply.GetStatus(), took, want)
			}
		}
	})
}

// TestLoadsAreFresh checks that what a task reserves in a cell of this entry is in the states that it
// sends to its peers, and in its metric, within a second.
func TestLoadsAreFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := kv.New(kv.Options{Address: "http://kv", Timeout: time.Second, Transport: handlerTransport{standin.New(standin.Options{}).Handler()}})
		holder := exampleHolder(t)
		e := New(Options{
			ID: "entry-1", DataCentre: "zuerich-a", Store: store, Placer: place.LeastLoaded{}, Holder: holder, Watcher: newWatcher(store, holder),
			Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics(), Grant: time.Minute, Margin: time.Second, StoreSilence: time.Minute,
		})
		go e.loop.Run(ctx)
		e.cells.ctx = ctx
		runCommand(t, ctx, e, store, []string{"registry"})
		runCommand(t, ctx, e, store, []string{"review", "5s"})
		o, capacity := e.cells.owner("zuerich-a.0"), &peerpb.Resources{MilliCpu: 8000, MemoryBytes: 1 << 30}
		o.Report(cell.WorkerInfo{Name: "runner-0"}, &peerpb.Report{Capacity: capacity, Free: capacity})
		e.cells.loads()
		job := &cellpb.Job{Id: "zuerich-a.0-1", Team: "press-room", Tasks: []*cellpb.Task{{Id: "zuerich-a.0-1.0", Resources: &cellpb.Resources{MilliCpu: 3000, MemoryBytes: 1}}}}
		if err := o.Submit(ctx, job); err != nil {
			t.Fatal(err)
		}
		for len(o.Load().GetTeams()) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second - gossipInterval)
		if teams := e.ownState(0).GetCells()[0].GetTeams(); len(teams) != 1 || teams[0].GetReserved().GetMilliCpu() != 3000 {
			t.Errorf("peers learn that %v is reserved, want 3000 millicpu of press-room", teams)
		}
		e.cells.reconcile(ctx)
		w := httptest.NewRecorder()
		e.options.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if want := `jasminebay_cell_reserved_processors{cell="zuerich-a.0"} 3`; !strings.Contains(w.Body.String(), want+"\n") {
			t.Errorf("the metrics lack %s", want)
		}
		cancel()
		e.cells.ownersRunning.Wait()
	})
}
