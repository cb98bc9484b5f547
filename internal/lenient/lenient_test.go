package lenient

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestSplit splits the texts in testdata/split. DEEP stands for a million nested arrays.
func TestSplit(t *testing.T) {
	deep := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	datadriven.RunTest(t, "testdata/split", func(t *testing.T, d *datadriven.TestData) string {
		raw := []byte(strings.ReplaceAll(d.Input, "DEEP", deep))
		var out strings.Builder
		show := func(name string, value json.RawMessage) {
			fmt.Fprintf(&out, "%s%s\n", name, strings.ReplaceAll(string(value), deep, "DEEP"))
		}
		switch d.Cmd {
		case "fields":
			fields, err := Fields(raw)
			if err != nil {
				return err.Error() + "\n"
			}
			for _, name := range slices.Sorted(maps.Keys(fields)) {
				show(name+"=", fields[name])
			}
		case "elements":
			elements, err := Elements(raw)
			if err != nil {
				return err.Error() + "\n"
			}
			for _, e := range elements {
				show("", e)
			}
		case "numbers":
			list, err := List(raw, func(raw json.RawMessage) (n int, err error) {
				return n, json.Unmarshal(raw, &n)
			}, func(entry json.RawMessage, err error) { show("left out ", entry) })
			fmt.Fprintln(&out, list, err)
		}
		return out.String()
	})
}

// TestEntryIsLoggedOnce checks that an entry of a list that is read again and again gives one line of
// bounded length.
func TestEntryIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	l := NewLog(slog.New(slog.NewTextHandler(&out, nil)))
	for range 3 {
		l.LeftOut("runs", strings.Repeat("x", 1<<20), errors.New(strings.Repeat("y", 1<<20)))
	}
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(len(out.String()) < 1000)
	for i := range 3 * maxLoggedEntries {
		l.LeftOut("runs", fmt.Sprint(i), errors.New("y"))
	}
	is.True(len(l.logged) <= maxLoggedEntries)
}

// FuzzElements checks that valid arrays are split like encoding/json does, and that others do no harm.
func FuzzElements(f *testing.F) {
	for _, seed := range []string{`[]`, `[1,"a]",{"b":[null]}]`, `["\\"," \" "]`, `[1 2]`, `[,]`, "[\"\\"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var want []json.RawMessage
		got, err := Elements(raw)
		if json.Unmarshal(raw, &want) != nil {
			return
		}
		if err != nil || !slices.EqualFunc(got, want, func(a, b json.RawMessage) bool { return string(a) == string(b) }) {
			t.Fatalf("%q gives %q, %v, want %q", raw, got, err, want)
		}
	})
}
