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

// documentBytesPerSecond is what is left of the 4 KB a second that a node may spend for
// control when heartbeats (1.9 KB) and slices (0.2 KB) have had theirs; see docs/CAPACITY.md.
const documentBytesPerSecond = 4096 - 1900 - 200

// TestKeeperGetsDocumentsWithinItsBytes changes a large document as often as 37,000 changes
// a day come, and reports as an agent with sessions to four entries does.
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
		kept, known, sent := uint64(0), uint64(0), 0
		report := func() {
			for _, a := range sessions {
				update := e.handleReport(a, &peerpb.Report{Revision: known, DocumentRevision: kept})
				known = max(known, update.GetSlice().GetRevision())
				if n := len(update.GetSlice().GetDocument()); n > 0 {
					sent += n
					kept = update.GetSlice().GetRevision()
				}
			}
		}
		for n := range changes {
			applyLargeDocument(t, holder, uint64(n+2))
			report()
			if known != holder.Current().Revision() {
				t.Fatalf("the agent obeys revision %d, want %d", known, holder.Current().Revision())
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
		if kept != holder.Current().Revision() {
			t.Errorf("the agent keeps revision %d a minute after the last change to %d", kept, holder.Current().Revision())
		}
	})
}

// TestSliceFollowsUpstreams reports an upstream only after the agent has got its slice of the
// document, as when the upstream starts later than the agent.
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
	is.True(e.handleReport(a, report).GetSlice() == nil) // it has them now
	report.Upstreams = append(report.Upstreams, &peerpb.UpstreamState{Service: "unknown"})
	e.handleReport(a, report)
	is.True(e.handleReport(a, report).GetSlice() == nil) // a service that the document does not name is asked for once
}

// applyLargeDocument puts a document of about 100 KB in force.
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

func TestMergeLeavesTheReport(t *testing.T) {
	is := is.New(t)
	states := []*peerpb.UpstreamState{{Service: "hub", Slots: 8, Ready: true}, {Service: "hub", Slots: 8, Ready: true, Yielding: true}}
	for range 2 {
		merged := mergeByService(states)["hub"]
		is.Equal(merged.GetSlots(), int32(16))
		is.True(merged.GetYielding())
	}
}
