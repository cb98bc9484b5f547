package document

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestParse parses the documents in testdata/parse, which are given in full or as replacements in
// examples/verband.json, and compares the faults.
func TestParse(t *testing.T) {
	example, err := os.ReadFile("../../examples/verband.json")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			raw := d.Input
			if d.Cmd == "replace" {
				raw = replaceTexts(t, string(example), d.Input)
			}
			_, err := Parse([]byte(raw))
			return formatFaults(err)
		})
	})
}

// TestCheckChange replaces examples/verband.json by the documents in testdata/change, which are given
// as replacements in it, and compares the faults.
func TestCheckChange(t *testing.T) {
	example, err := os.ReadFile("../../examples/verband.json")
	if err != nil {
		t.Fatal(err)
	}
	before, err := Parse(example)
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, "testdata/change", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			next, err := Parse([]byte(replaceTexts(t, string(example), d.Input)))
			if err != nil {
				t.Fatal(err)
			}
			return formatFaults(before.CheckChange(next))
		})
	})
}

// replaceTexts applies replacements to a document, one a line in the form OLD => NEW. Each replaces
// the first occurrence of OLD, which must be there.
func replaceTexts(t *testing.T, raw, lines string) string {
	for _, line := range strings.Split(lines, "\n") {
		from, to, ok := strings.Cut(line, " => ")
		if !ok || !strings.Contains(raw, from) {
			t.Fatalf("%q is not in the document", from)
		}
		raw = strings.Replace(raw, from, to, 1)
	}
	return raw
}

// formatFaults returns one line for each fault, or "accepted" for any other error or none.
func formatFaults(err error) string {
	var faults Faults
	if !errors.As(err, &faults) {
		return "accepted\n"
	}
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"verband.json", "passline.json"} {
		raw, err := os.ReadFile("../../examples/" + name)
		is.NoErr(err)
		_, err = Parse(raw)
		is.NoErr(err)
	}
}

func TestTooLarge(t *testing.T) {
	is := is.New(t)
	_, err := Parse(make([]byte, MaxBytes+1))
	is.True(err != nil)
}

// FuzzParse checks that Parse does not panic, returns no other errors than a Faults that is not empty,
// and accepts no document without an environment. In an accepted one SetEvacuated changes its field alone.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"verband.json", "passline.json"} {
		raw, err := os.ReadFile("../../examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(`{"environment":[],"environment":{}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := Parse(raw)
		var faults Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("%v", err)
		}
		if err == nil && d.Environment == "" {
			t.Fatal("accepted without an environment")
		}
		if err == nil {
			if err := checkSetEvacuated(raw, d); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestDeepNesting checks that a document that is nested a million deep is refused, wherever that is.
func TestDeepNesting(t *testing.T) {
	deep := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	for _, text := range []string{deep, `{"x":` + deep + `}`, strings.Repeat(`{"services":`, 1_000_000)} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Fatal("accepted")
		}
	}
}
