package entry

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/jasminebay/jasminebay/internal/flow/engine"
)

// newDocument returns a document of a version with routes of one host.
func newDocument(version uint64, routes int) *Document {
	d := &Document{Version: version}
	for i := range routes {
		d.Routes = append(d.Routes, Route{Host: "a.example", Prefix: fmt.Sprintf("/%08d/", i), Queue: engine.Queue{Name: fmt.Sprintf("r-%07d", i), Service: "hub", MaxAttempts: 2}})
	}
	return d
}

// TestLargeDocumentStallsCalls guards against a second in which an entry with a fifth of a
// processor matched no calls, since the time to arrange 1,645 routes grew with their square.
func TestLargeDocumentStallsCalls(t *testing.T) {
	allocated := func(routes int) uint64 {
		d, h := newDocument(1, routes), documentHolder{}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		h.apply(d)
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	small, large := allocated(500), allocated(4000)
	if large > 2*8*small {
		t.Errorf("500 routes took %d bytes, 4000 took %d, want at most %d", small, large, 2*8*small)
	}
}

// TestLongestPrefixOfTheHostMatches compares with a search through all routes.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Document{Version: 1}
		hosts, prefixes := rapid.SampledFrom([]string{"a.example", "b.example"}), rapid.StringMatching(`/?[xy/]{0,4}`)
		for i := range rapid.IntRange(0, 20).Draw(t, "routes") {
			d.Routes = append(d.Routes, Route{Host: hosts.Draw(t, "host"), Prefix: prefixes.Draw(t, "prefix"), Queue: engine.Queue{Name: fmt.Sprintf("r-%d", i)}})
		}
		var h documentHolder
		h.apply(d)
		host, path := hosts.Draw(t, "called host"), "/"+rapid.StringMatching(`[xy/]{0,6}`).Draw(t, "path")
		var want Route
		known := false
		for _, r := range d.Routes {
			if r.Host == host && strings.HasPrefix(path, r.Prefix) && (!known || len(r.Prefix) > len(want.Prefix)) {
				want, known = r, true
			}
		}
		got, found := h.match(host, path)
		if found != known || got != want {
			t.Fatalf("%s%s matched %+v, want %+v", host, path, got, want)
		}
	})
}

// TestVersionsNeverGoBack applies versions out of order.
func TestVersionsNeverGoBack(t *testing.T) {
	var h documentHolder
	for _, c := range []struct {
		version uint64
		applied bool
	}{{2, true}, {2, false}, {1, false}, {7, true}, {6, false}} {
		before := h.current()
		d := newDocument(c.version, int(c.version))
		want := before
		if c.applied {
			want = d
		}
		if applied := h.apply(d); applied != c.applied || h.current() != want {
			t.Fatalf("version %d: applied %v, version %d is in force", c.version, applied, h.current().Version)
		}
		if _, found := h.match("a.example", fmt.Sprintf("/%08d/x", want.Version-1)); !found {
			t.Fatalf("version %d: a route of version %d is missing", c.version, want.Version)
		}
	}
}

// BenchmarkApply puts documents of several sizes in force.
func BenchmarkApply(b *testing.B) {
	for _, routes := range []int{245, 1645, 3290} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			d := newDocument(1, routes)
			b.ReportAllocs()
			for b.Loop() {
				var h documentHolder
				h.apply(d)
			}
		})
	}
}

// BenchmarkQueues makes the queues of documents of several sizes for the owner.
func BenchmarkQueues(b *testing.B) {
	for _, routes := range []int{245, 1645, 3290} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			d := newDocument(1, routes)
			b.ReportAllocs()
			for b.Loop() {
				d.queues()
			}
		})
	}
}

// BenchmarkMatch finds the last of many routes.
func BenchmarkMatch(b *testing.B) {
	var h documentHolder
	h.apply(newDocument(1, 1645))
	for b.Loop() {
		if _, found := h.match("a.example", "/00001644/5c0e7a21d94b36f8"); !found {
			b.Fatal("no route")
		}
	}
}
