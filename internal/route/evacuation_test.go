package route

import (
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/claim"
	"github.com/jasminebay/jasminebay/internal/driver/kv"
	"github.com/jasminebay/jasminebay/internal/driver/pick"
	"github.com/jasminebay/jasminebay/internal/peer"
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

// sessionTo returns a session to a server that answers the first frame of each stream by serve.
func sessionTo(t *testing.T, serve func(*peerpb.Frame) *peerpb.Frame) *peer.Session {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		server, err := peer.ServerSession(conn)
		if err != nil {
			return
		}
		defer server.Close()
		for {
			stream, err := server.AcceptStream()
			if err != nil {
				return
			}
			if f, err := stream.Receive(); err == nil {
				_ = stream.Send(serve(f))
			}
			stream.Close()
		}
	}()
	s, err := peer.Connect(t.Context(), l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		_ = l.Close()
		<-done
	})
	return s
}

// TestKeyIsTakenBack guards against a key that is told unknown everywhere while a data centre is evacuated,
// although its agent there has proved that it did not run.
func TestKeyIsTakenBack(t *testing.T) {
	is := is.New(t)
	store := kv.New(kv.Options{Address: "http://kv", Timeout: time.Second, Transport: handlerTransport{standin.New(standin.Options{}).Handler()}})
	o := Options{Claims: claim.New(store), Metrics: telemetry.NewMetrics(), Log: slog.New(slog.DiscardHandler)}
	request := func(spilled bool) *Request {
		return &Request{Service: "s", Key: "k", Spilled: spilled, Deadline: time.Now().Add(5 * time.Second)}
	}
	_, _, err := o.Claims.Create(t.Context(), claim.Claim{Service: "s", Key: "k", Agent: "a", DataCentre: "here", Incarnation: 7, Generation: 1})
	is.NoErr(err)
	agent := NewTarget("a", "here", "s", 7, sessionTo(t, func(f *peerpb.Frame) *peerpb.Frame {
		is.True(f.GetLookup().GetId() != "")
		return peer.RefusalFrame(&peerpb.Refusal{Reason: peerpb.Reason_REASON_CANCELLED})
	}))
	agent.Update(time.Now(), &peerpb.UpstreamState{Slots: 8, Ready: true}, true)
	evacuated := &Table{Services: map[string][]*Target{"s": {agent}}, Evacuated: map[string]bool{"here": true}}
	here := sessionTo(t, func(f *peerpb.Frame) *peerpb.Frame {
		is.True(f.GetRequestHead().GetSpilled())
		reply := newDispatch(o, evacuated, request(true)).run(t.Context())
		is.Equal(reply.Outcome, OutcomeNotRun)
		return peer.RefusalFrame(&peerpb.Refusal{Reason: reply.Reason})
	})

	d := newDispatch(o, &Table{
		PeersByDataCentre: map[string][]*PeerEntry{"here": {{ID: "p", DataCentre: "here", Session: here}}}, Evacuated: map[string]bool{"here": true},
	}, request(false))
	d.options.DataCentre = "there"
	is.True(d.acquireClaim(t.Context(), NewTarget("b", "there", "s", 1, nil)) == nil)
	c, err := o.Claims.Read(t.Context(), "s", "k")
	is.NoErr(err)
	is.Equal(c.Agent, "b")
	is.Equal(c.Generation, uint64(3)) // taken back, then given to b
}
