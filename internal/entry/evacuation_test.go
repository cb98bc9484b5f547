package entry

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/cell/cellpb"
	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/driver/kv"
	"github.com/jasminebay/jasminebay/internal/driver/place"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	standin "github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// evacuatedRecord returns the record of the document in force with the given data centres evacuated.
func evacuatedRecord(t *testing.T, h *config.Holder, names ...string) []byte {
	raw, err := h.Current().DocumentRaw()
	for _, name := range names {
		if err == nil {
			raw, err = document.SetEvacuated(raw, name, true)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return mustJSON(t, config.Record{Document: raw})
}

// TestJobsAvoidEvacuatedDataCentres guards against jobs that are accepted where nothing starts, against
// refusals that are not sent at once, and against a refusal of a job that was accepted before.
func TestJobsAvoidEvacuatedDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder := exampleHolder(t)
		store := kv.New(kv.Options{Address: "http://kv", Timeout: time.Second, Transport: handlerTransport{standin.New(standin.Options{}).Handler()}})
		e := New(Options{ID: "entry-1", DataCentre: "zuerich-a", Store: store, Holder: holder, Log: slog.New(slog.DiscardHandler)})
		go e.loop.Run(t.Context())
		free := &peerpb.Resources{MilliCpu: 64_000, MemoryBytes: 1 << 40}
		e.cells.recordPeerCells(&peerpb.PeerState{Id: "entry-2", Cells: []*peerpb.CellLoad{
			{Cell: "zuerich-a.0", Epoch: 1, Free: free, Largest: free}, {Cell: "basel-b.0", Epoch: 1},
		}})
		is.Equal(e.awaitCell(t.Context(), &cellpb.Job{}), "zuerich-a.0")
		id, err := e.claimJobKey(t.Context(), "known", "zuerich-a.0-1")
		is.NoErr(err)
		_, err = holder.Apply(2, evacuatedRecord(t, holder, "zuerich-a"))
		is.NoErr(err)
		is.Equal(e.awaitCell(t.Context(), &cellpb.Job{}), "basel-b.0")
		_, err = holder.Apply(3, evacuatedRecord(t, holder, "basel-b", "lausanne-a"))
		is.NoErr(err)

		post := func(key string) *httptest.ResponseRecorder {
			body := `{"team": "press-room", "name": "j", "tasks": [{"kind": "colour-index", "milli-cpu": 1000, "memory-bytes": 1, "run": "1s"}]}`
			r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
			r.Header.Set("Idempotency-Key", key)
			w := httptest.NewRecorder()
			e.postJob(restful.NewRequest(r), restful.NewResponse(w))
			return w
		}
		for _, key := range []string{"", "other"} {
			start := time.Now()
			w := post(key)
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(w.Body.String(), "all data centres are evacuated") && w.Header().Get("Retry-After") != "")
			is.True(time.Since(start) < ownerPollInterval)
		}
		// The job of a known key is asked for at the owner of its cell, which is not reached here.
		is.True(!strings.Contains(post("known").Body.String(), "evacuated"))
		again, err := e.jobOfKey(t.Context(), "known")
		is.NoErr(err)
		is.Equal(again, id)
	})
}

// TestTakeoverReadsDocument guards against a new owner that starts tasks by a document from before an
// evacuation, because its entry has not yet received the newer one.
func TestTakeoverReadsDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		server := standin.New(standin.Options{})
		store := kv.New(kv.Options{Address: "http://kv", Timeout: time.Second, Transport: handlerTransport{server.Handler()}})
		holder := exampleHolder(t)
		e := New(Options{
			ID: "entry-1", DataCentre: "zuerich-a", Store: store, Placer: place.LeastLoaded{}, Holder: holder, Watcher: newWatcher(store, holder),
			Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics(), Grant: time.Second, Margin: time.Second, StoreSilence: time.Second,
		})
		go e.loop.Run(ctx)
		e.cells.ctx = ctx
		putItem(t, ctx, store, "other", []byte("{}")) // takes the revision of the document in force
		putItem(t, ctx, store, config.Key("production"), evacuatedRecord(t, holder, "zuerich-a"))
		runCommand(t, ctx, e, store, []string{"registry"})
		server.SetFaults(standin.Faults{Down: true})
		runCommand(t, ctx, e, store, []string{"review", "5s"})
		is.Equal(cmp.Or(strings.Join(ownedCells(&e.cells), " "), "none"), "none")
		server.SetFaults(standin.Faults{})
		runCommand(t, ctx, e, store, []string{"review", "5s"})
		is.Equal(strings.Join(ownedCells(&e.cells), " "), "zuerich-a.0")
		is.True(holder.Document().Evacuated("zuerich-a"))
		cancel()
		e.cells.ownersRunning.Wait()
	})
}
