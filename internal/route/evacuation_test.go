package route

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/driver/kv"
	"github.com/jasminebay/jasminebay/internal/driver/pick"
	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
	standin "github.com/jasminebay/jasminebay/internal/standin/kv"
	"github.com/jasminebay/jasminebay/internal/telemetry"
	"github.com/jasminebay/jasminebay/pkg/document"
)

func newDispatch(o Options, table *Table, r *Request) *dispatch {
	o.DataCentre = "here"
	d := &dispatch{
		Router: New(o), request: r, triedTargets: map[*Target]bool{}, triedPeers: map[string]bool{},
		service: &serviceState{routing: document.Routing{SpillAt: 1}, picker: pick.New("two-choices", 1)},
	}
	d.Publish(table)
	return d
}

// TestEvacuatedDataCentres guards against requests that are sent to an evacuated data centre, and against
// refusals while another one can queue them.
func TestEvacuatedDataCentres(t *testing.T) {
	is := is.New(t)
	here, away := NewTarget("a", "here", "s", 1, nil), NewTarget("b", "without-entry", "s", 1, nil)
	for _, target := range []*Target{here, away} {
		target.Update(time.Now(), &peerpb.UpstreamState{Slots: 8, Ready: true}, true)
	}
	full := &PeerEntry{ID: "p", DataCentre: "there", Slots: 8, Busy: 12}
	idle := &PeerEntry{ID: "q", DataCentre: "empty", Slots: 8}
	for _, c := range []struct {
		name      string
		targets   []*Target
		peers     []*PeerEntry
		evacuated []string
		spilled   bool
		target    *Target
		peer      *PeerEntry
	}{
		{name: "nothing evacuated", targets: []*Target{here}, peers: []*PeerEntry{full, idle}, target: here},
		{name: "here", targets: []*Target{here}, peers: []*PeerEntry{full, idle}, evacuated: []string{"here"}, peer: idle},
		{name: "here, the rest full", targets: []*Target{here}, peers: []*PeerEntry{full}, evacuated: []string{"here"}, peer: full},
		{name: "no target, the rest full", peers: []*PeerEntry{full}},
		{name: "here and the idle one", targets: []*Target{here}, peers: []*PeerEntry{full, idle}, evacuated: []string{"here", "empty"}, peer: full},
		{name: "without a target, the idle one evacuated", peers: []*PeerEntry{idle}, evacuated: []string{"empty"}},
		{name: "here, agents elsewhere", targets: []*Target{here, away}, evacuated: []string{"here"}, target: away},
		{name: "all", targets: []*Target{here, away}, peers: []*PeerEntry{full, idle}, evacuated: []string{"here", "there", "empty", "without-entry"}},
		{name: "spilled here", targets: []*Target{here}, peers: []*PeerEntry{idle}, evacuated: []string{"here"}, spilled: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Services: map[string][]*Target{"s": c.targets}, PeersByService: map[string][]*PeerEntry{"s": c.peers}, Evacuated: map[string]bool{}}
			for _, name := range c.evacuated {
				table.Evacuated[name] = true
			}
			d := newDispatch(Options{Metrics: telemetry.NewMetrics(), Log: slog.New(slog.DiscardHandler)}, table, &Request{Service: "s", Spilled: c.spilled})
			for range 20 {
				target, _ := d.choose(false)
				is.Equal(target, c.target)
				is.Equal(d.spillPeer(target), c.peer)
			}
			if c.target == nil && c.peer == nil {
				reply := d.run(t.Context())
				is.Equal(reply.Outcome, OutcomeNotRun)
				is.True(reply.RetryAfter > 0)
			}
		})
	}
	is.True(here.available(time.Now()))
}

// handlerTransport is a RoundTripper that calls a handler directly, without a network.
type handlerTransport struct{ handler http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// TestKeyOfEvacuatedDataCentre guards against a request with a key that leaves an evacuated data centre
// although an agent there may have run the key, and against one that stays behind for a key that no agent has.
func TestKeyOfEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := kv.New(kv.Options{Address: "http://kv", Timeout: time.Second, Transport: handlerTransport{standin.New(standin.Options{}).Handler()}})
		claims := claim.New(store)
		table := &Table{PeersByService: map[string][]*PeerEntry{"s": {{ID: "p", DataCentre: "there", Slots: 8}}}, Evacuated: map[string]bool{"here": true}}
		dispatchOf := func(key string, spilled bool) *dispatch {
			return newDispatch(Options{Claims: claims, Metrics: telemetry.NewMetrics(), Log: slog.New(slog.DiscardHandler)}, table, &Request{Service: "s", Key: key, Spilled: spilled, Deadline: time.Now().Add(time.Second)})
		}
		leaves := func(d *dispatch) bool { return d.releaseClaim(t.Context()) == nil && d.spillPeer(nil) != nil }

		is.True(leaves(dispatchOf("new", false)))
		c, _, err := claims.Create(t.Context(), claim.Claim{Service: "s", Key: "gone", Agent: "a", DataCentre: "here", Generation: 1})
		is.NoErr(err)
		reply := dispatchOf("gone", false).run(t.Context())
		is.Equal(reply.Outcome, OutcomeUnknown) // its agent can't tell
		_, _, err = claims.Reassign(t.Context(), c, "", "here", 0)
		is.NoErr(err)
		is.True(leaves(dispatchOf("gone", false)))

		// An entry elsewhere gives a key that was taken back to an agent of its own.
		d := dispatchOf("gone", true)
		d.Publish(&Table{})
		is.True(d.acquireClaim(t.Context(), NewTarget("b", "there", "s", 1, nil)) == nil)
		c, err = claims.Read(t.Context(), "s", "gone")
		is.NoErr(err)
		is.Equal(c.Agent, "b")
		is.Equal(dispatchOf("gone", false).run(t.Context()).Outcome, OutcomeUnknown) // no entry there is known
		is.Equal(dispatchOf("gone", true).run(t.Context()).Outcome, OutcomeUnknown)
	})
}
