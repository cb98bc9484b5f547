package engine

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// liveStateTypes are the types whose values an owner holds between events.
var liveStateTypes = []reflect.Type{
	reflect.TypeFor[Engine](), reflect.TypeFor[job](), reflect.TypeFor[occurrence](), reflect.TypeFor[step](), reflect.TypeFor[task](),
	reflect.TypeFor[run](), reflect.TypeFor[worker](), reflect.TypeFor[ticket](), reflect.TypeFor[heldEnd](), reflect.TypeFor[health](),
	reflect.TypeFor[evidence](), reflect.TypeFor[failureRecord](),
	reflect.TypeFor[places](), reflect.TypeFor[place](),
	reflect.TypeFor[dataCentres](),
}

// Ways in which the next owner comes by a field, as docs/STEPS.md lists them.
const (
	fieldStored    = "stored"
	fieldComputed  = "computed"
	fieldReported  = "reported"
	fieldForgotten = "forgotten"
)

// readLiveState reads the table of docs/STEPS.md, whose rows are a type, its fields, how the next owner comes by them, and
// where from or why not. It returns the ways by type and field.
func readLiveState(is *is.I) map[string]string {
	page, err := os.ReadFile("../../../docs/STEPS.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "\n## What the next owner knows\n")
	is.True(found) // docs/STEPS.md has the section
	section, _, _ = strings.Cut(section, "\n## ")
	ways := map[string]string{}
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) != 6 || !strings.Contains(cells[1], "`") {
			continue
		}
		way := strings.TrimSpace(cells[3])
		is.True(way == fieldStored || way == fieldComputed || way == fieldReported || way == fieldForgotten) // a known way
		is.True(strings.TrimSpace(cells[4]) != "")                                                           // where from, or why not
		for name := range strings.SplitSeq(cells[2], ",") {
			name = strings.Trim(cells[1], " `") + "." + strings.Trim(name, " `")
			is.Equal(ways[name], "") // a field listed twice
			ways[name] = way
		}
	}
	return ways
}

// TestLiveStateIsListed guards against a field that decides something and that nobody has asked about: whether the next
// owner has it. Those that decided review/6 and 7 were not in the store.
func TestLiveStateIsListed(t *testing.T) {
	is := is.New(t)
	ways := readLiveState(is)
	for _, kind := range liveStateTypes {
		for i := range kind.NumField() {
			name := kind.Name() + "." + kind.Field(i).Name
			if ways[name] == "" {
				t.Errorf("%s is not in the table of docs/STEPS.md", name)
			}
			delete(ways, name)
		}
	}
	for name := range ways {
		t.Errorf("docs/STEPS.md lists %s, which is no field", name)
	}
}
