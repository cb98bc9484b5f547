package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSetEvacuated guards against a change of anything but the field, and against an evacuation that
// leaves a trace in the document once it has ended.
func TestSetEvacuated(t *testing.T) {
	for _, c := range []struct{ before, on, off string }{
		{`{"name": "a"}`, `{"name": "a", "evacuated": true}`, `{"name": "a"}`},
		{`{ "name":"a" , "cells":1 }`, `{ "name":"a" , "cells":1, "evacuated": true }`, `{ "name":"a" , "cells":1 }`},
		{`{"name":"a","evacuated":false,"cells":1}`, `{"name":"a","evacuated":true,"cells":1}`, `{"name":"a","cells":1}`},
		{`{"evacuated" : true , "name":"a"}`, `{"evacuated" : true , "name":"a"}`, `{"name":"a"}`},
	} {
		t.Run(c.before, func(t *testing.T) {
			is := is.New(t)
			text := func(dataCentre string) []byte {
				return []byte(`{"data-centre": [], "data-centres": [ {"name": "evacuated", "evacuated": true}, ` + dataCentre + ` ]} `)
			}
			on, err := SetEvacuated(text(c.before), "a", true)
			is.NoErr(err)
			is.Equal(string(on), string(text(c.on)))
			off, err := SetEvacuated(on, "a", false)
			is.NoErr(err)
			is.Equal(string(off), string(text(c.off)))
			_, err = SetEvacuated(on, "b", false)
			is.True(errors.Is(err, ErrNoDataCentre))
		})
	}
}

// TestSetEvacuatedInExamples evacuates each data centre of the examples and takes it back.
func TestSetEvacuatedInExamples(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"verband.json", "passline.json"} {
		raw, err := os.ReadFile("../../examples/" + name)
		is.NoErr(err)
		d, err := Parse(raw)
		is.NoErr(err)
		encoded, err := json.Marshal(d)
		is.NoErr(err)
		is.True(!strings.Contains(string(encoded), evacuatedField)) // not written unless it is set
		changed := raw
		for _, dc := range d.DataCentres {
			changed, err = SetEvacuated(changed, dc.Name, true)
			is.NoErr(err)
		}
		d, err = Parse(changed)
		is.NoErr(err)
		for _, dc := range d.DataCentres {
			is.True(d.Evacuated(dc.Name))
			changed, err = SetEvacuated(changed, dc.Name, false)
			is.NoErr(err)
		}
		is.Equal(string(changed), string(raw))
	}
}

// checkSetEvacuated checks that a valid document differs only in the given value after SetEvacuated.
func checkSetEvacuated(raw []byte, d *Document) error {
	for i, dc := range d.DataCentres {
		changed, err := SetEvacuated(raw, dc.Name, !dc.Evacuated)
		if err != nil {
			return err
		}
		next, err := Parse(changed)
		if err != nil {
			return err
		}
		next.DataCentres[i].Evacuated = dc.Evacuated
		want, _ := json.Marshal(d)
		if got, _ := json.Marshal(next); string(got) != string(want) {
			return fmt.Errorf("%s differs from %s", got, want)
		}
	}
	return nil
}
