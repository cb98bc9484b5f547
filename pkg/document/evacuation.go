package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
)

// ErrNoDataCentre is returned by SetEvacuated if the document does not list the data centre.
var ErrNoDataCentre = errors.New("document: no such data centre")

const evacuatedField = "evacuated"

// SetEvacuated sets the field evacuated of a data centre in the text of a valid document and returns
// the new text. It changes no other part of the text; the result is raw itself if the data centre has
// that value already. The value false is set by removing the field, so that the document is again one
// that releases without the field accept.
func SetEvacuated(raw []byte, dataCentre string, evacuated bool) ([]byte, error) {
	document, err := scanObject(raw, span{0, len(raw)})
	if err != nil {
		return nil, err
	}
	list, ok := document.value("data-centres")
	if !ok {
		return nil, ErrNoDataCentre
	}
	elements, err := scanArray(raw, list)
	if err != nil {
		return nil, err
	}
	for _, element := range elements {
		members, err := scanObject(raw, element)
		if err != nil {
			return nil, err
		}
		var name string
		if v, ok := members.value("name"); !ok || json.Unmarshal(raw[v.start:v.end], &name) != nil || name != dataCentre {
			continue
		}
		return setEvacuated(raw, element, members, evacuated), nil
	}
	return nil, ErrNoDataCentre
}

func setEvacuated(raw []byte, element span, members members, evacuated bool) []byte {
	i := slices.IndexFunc(members, func(m member) bool { return m.name == evacuatedField })
	switch {
	case i < 0 && !evacuated:
		return raw
	case i < 0:
		// The element has a name, so that a comma is needed.
		end := members[len(members)-1].value.end
		return splice(raw, span{end, end}, `, "`+evacuatedField+`": true`)
	case evacuated && string(raw[members[i].value.start:members[i].value.end]) == "true":
		return raw
	case evacuated:
		return splice(raw, members[i].value, "true")
	case i > 0:
		return splice(raw, span{members[i-1].value.end, members[i].value.end}, "")
	}
	return splice(raw, span{members[0].start, members[1].start}, "")
}

func splice(raw []byte, at span, text string) []byte {
	return slices.Concat(raw[:at.start], []byte(text), raw[at.end:])
}

// span is a part of the text of a document.
type span struct{ start, end int }

// member is a member of an object. It starts with its name.
type member struct {
	name  string
	start int
	value span
}

type members []member

func (m members) value(name string) (span, bool) {
	i := slices.IndexFunc(m, func(each member) bool { return each.name == name })
	if i < 0 {
		return span{}, false
	}
	return m[i].value, true
}

// scanObject returns the members of the object at a place in raw.
func scanObject(raw []byte, at span) (list members, err error) {
	d := json.NewDecoder(bytes.NewReader(raw[at.start:at.end]))
	if token, err := d.Token(); err != nil || token != json.Delim('{') {
		return nil, errors.Join(errNotScanned, err)
	}
	for d.More() {
		before := at.start + int(d.InputOffset())
		token, err := d.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return nil, errors.Join(errNotScanned, err)
		}
		value, err := scanValue(d, at)
		if err != nil {
			return nil, err
		}
		list = append(list, member{name: name, start: before + bytes.IndexByte(raw[before:], '"'), value: value})
	}
	return list, nil
}

// scanArray returns the places of the elements of the array at a place in raw.
func scanArray(raw []byte, at span) (list []span, err error) {
	d := json.NewDecoder(bytes.NewReader(raw[at.start:at.end]))
	if token, err := d.Token(); err != nil || token != json.Delim('[') {
		return nil, errors.Join(errNotScanned, err)
	}
	for d.More() {
		value, err := scanValue(d, at)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	return list, nil
}

// scanValue returns the place of the next value of a decoder that reads the text at a place.
func scanValue(d *json.Decoder, at span) (span, error) {
	var value json.RawMessage
	if err := d.Decode(&value); err != nil {
		return span{}, errors.Join(errNotScanned, err)
	}
	end := at.start + int(d.InputOffset())
	return span{end - len(value), end}, nil
}

var errNotScanned = errors.New("document: not the text of a valid document")
