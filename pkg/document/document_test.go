package document

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestParse checks the documents in testdata/parse, each of which is the Verband's document
// with one text replaced by another.
func TestParse(t *testing.T) {
	example, err := os.ReadFile("../../examples/verband.json")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			raw := d.Input
			if d.Cmd == "replace" {
				raw = replaced(t, string(example), d.Input)
			}
			_, err := Parse([]byte(raw))
			return verdict(err)
		})
	})
}

// TestCheckChange puts the documents in testdata/change, each of which is the Verband's
// document with some texts replaced, in the place of the Verband's document.
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
			next, err := Parse([]byte(replaced(t, string(example), d.Input)))
			if err != nil {
				t.Fatal(err)
			}
			return verdict(before.CheckChange(next))
		})
	})
}

// replaced replaces the texts on the left of each line by those on the right.
func replaced(t *testing.T, raw, lines string) string {
	for _, line := range strings.Split(lines, "\n") {
		old, with, ok := strings.Cut(line, " => ")
		if !ok || !strings.Contains(raw, old) {
			t.Fatalf("%q is not in the document", old)
		}
		raw = strings.Replace(raw, old, with, 1)
	}
	return raw
}

func verdict(err error) string {
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

// FuzzParse checks that no input makes the reader fail other than by its own faults.
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
	})
}
