package entry

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/examples"
	"github.com/jasminebay/jasminebay/internal/config"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	"github.com/jasminebay/jasminebay/internal/route"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

// documentBytesPerSecond is the control traffic allowed for a node, 4 KB/s, less heartbeats
// (1.9 KB/s) and slices (0.2 KB/s); see docs/CAPACITY.md.
const documentBytesPerSecond = 4096 - 1900 - 200

// TestKeeperGetsDocumentsWithinItsBytes checks that an agent that stores the document is sent no
// more than documentBytesPerSecond by its four entries while a large document changes about 37,000
// times a day, and that it has the latest revision a minute after the changes stop.
func TestKeeperGetsDocumentsWithinItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changes, span = 100, 4 * time.Minute
		holder := exampleHolder(t)
		e := New(Options{ID: "entry-1", DataCentre: "zuerich-a", Holder: holder, Log: slog.New(slog.DiscardHandler)})
		go e.loop.Run(t.Context())
		sessions := make([]*agentSession, 4)
		for i := range sessions {
			sessions[i] = newAgentSession(&peerpb.Hello{Id: "runner-0", DataCentre: "zuerich-a"}, nil)
		}
		stored, applied, sent := uint64(0), uint64(0), 0
		report := func() {
			for _, a := range sessions {
				update := e.handleReport(a, &peerpb.Report{Revision: applied, DocumentRevision: stored})
				applied = max(applied, update.GetSlice().GetRevision())
				if n := len(update.GetSlice().GetDocument()); n > 0 {
					sent += n
					stored = update.GetSlice().GetRevision()
				}
			}
		}
		for n := range changes {
			applyLargeDocument(t, holder, uint64(n+2))
			report()
			if applied != holder.Current().Revision() {
				t.Fatalf("the agent applies revision %d, want %d", applied, holder.Current().Revision())
			}
			time.Sleep(span / changes)
		}
		t.Logf("%d bytes of documents in %v", sent, span)
		if rate := float64(sent) / span.Seconds(); rate > documentBytesPerSecond {
			t.Errorf("%.0f bytes of documents a second, want at most %d", rate, documentBytesPerSecond)
		}
		for range 60 {
			time.Sleep(time.Second)
			report()
		}
		if stored != holder.Current().Revision() {
			t.Errorf("the agent stores revision %d a minute after the last change, want %d", stored, holder.Current().Revision())
		}
	})
}

// TestSliceFollowsUpstreams checks that an agent is sent the kinds of an upstream that starts after
// the agent received its slice of the document.
func TestSliceFollowsUpstreams(t *testing.T) {
	is := is.New(t)
	e := New(Options{ID: "entry-1", DataCentre: "zuerich-a", Holder: exampleHolder(t), Router: route.New(route.Options{}), Metrics: telemetry.NewMetrics(), Log: slog.New(slog.DiscardHandler)})
	go e.loop.Run(t.Context())
	a := newAgentSession(&peerpb.Hello{Id: "runner-0", DataCentre: "zuerich-a"}, nil)
	first := e.handleReport(a, &peerpb.Report{}).GetSlice()
	is.Equal(len(first.GetKinds()), 0)
	report := &peerpb.Report{Revision: first.GetRevision(), DocumentRevision: first.GetRevision(), Upstreams: []*peerpb.UpstreamState{{Service: "servietten-hub"}}}
	second := e.handleReport(a, report).GetSlice()
	is.Equal(second.GetRevision(), first.GetRevision())
	is.Equal(len(second.GetKinds()), 3)
	is.True(e.handleReport(a, report).GetSlice() == nil) // the kinds were sent
	report.Upstreams = append(report.Upstreams, &peerpb.UpstreamState{Service: "unknown"})
	e.handleReport(a, report)
	is.True(e.handleReport(a, report).GetSlice() == nil) // an unknown service causes one more slice only
}

// applyLargeDocument puts a document of about 100 KB in force, most of it random quotas.
func applyLargeDocument(t *testing.T, h *config.Holder, revision uint64) {
	raw, err := examples.Files.ReadFile("verband.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := document.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, revision))
	for n := range 760 {
		d.Teams = append(d.Teams, document.Team{Name: fmt.Sprintf("team-%d", n), Quota: document.Resources{MilliCPU: random.Int64N(1 << 20), MemoryBytes: random.Int64N(1 << 40)}})
	}
	raw, err = json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Apply(revision, mustJSON(t, config.Record{Document: raw})); err != nil {
		t.Fatal(err)
	}
}

// TestMergeLeavesTheReport checks that merging does not modify the report, by merging it twice.
func TestMergeLeavesTheReport(t *testing.T) {
	is := is.New(t)
	states := []*peerpb.UpstreamState{{Service: "hub", Slots: 8, Ready: true}, {Service: "hub", Slots: 8, Ready: true, Yielding: true}}
	for range 2 {
		merged := mergeByService(states)["hub"]
		is.Equal(merged.GetSlots(), int32(16))
		is.True(merged.GetYielding())
	}
}
