package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

var durationType = reflect.TypeFor[Duration]()

// Strict decodes JSON into target, a pointer to a struct, and returns a fault for each unknown or
// duplicate field, null, value of the wrong type and data after the end. Unlike encoding/json it goes
// on after a fault and matches the names of fields exactly. It returns nil if there are no faults.
func Strict(data []byte, target any) Faults {
	var faults Faults
	decodeInto(data, "$", reflect.ValueOf(target).Elem(), &faults)
	return faults
}

func decodeInto(data []byte, path string, v reflect.Value, faults *Faults) {
	switch {
	case v.Type() == durationType:
		decodeScalar(data, path, v, faults)
	case v.Kind() == reflect.Struct:
		decodeStruct(data, path, v, faults)
	case v.Kind() == reflect.Slice:
		decodeSlice(data, path, v, faults)
	default:
		decodeScalar(data, path, v, faults)
	}
}

func decodeScalar(data []byte, path string, v reflect.Value, faults *Faults) {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		faults.add(path, "must not be null")
		return
	}
	if err := json.Unmarshal(data, v.Addr().Interface()); err != nil {
		faults.add(path, "%s", scalarMessage(err, v.Type()))
	}
}

func scalarMessage(err error, t reflect.Type) string {
	if mismatch, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("want a %s, got a %s", t.Kind(), mismatch.Value)
	}
	return err.Error()
}

func decodeStruct(data []byte, path string, v reflect.Value, faults *Faults) {
	fields := structFields(v.Type())
	seen := map[string]bool{}
	d := json.NewDecoder(bytes.NewReader(data))
	if !openDelimiter(d, '{', "an object", path, faults) {
		return
	}
	for d.More() {
		name, value, ok := nextMember(d, path, faults)
		if !ok {
			return
		}
		fieldPath := path + "." + name
		index, known := fields[name]
		switch {
		case seen[name]:
			faults.add(fieldPath, "duplicate field")
		case !known:
			faults.add(fieldPath, "unknown field")
		default:
			decodeInto(value, fieldPath, v.Field(index), faults)
		}
		seen[name] = true
	}
	closeDelimiter(d, path, faults)
}

func decodeSlice(data []byte, path string, v reflect.Value, faults *Faults) {
	d := json.NewDecoder(bytes.NewReader(data))
	if !openDelimiter(d, '[', "an array", path, faults) {
		return
	}
	for i := 0; d.More(); i++ {
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			faults.add(path, "not valid JSON: %v", err)
			return
		}
		element := reflect.New(v.Type().Elem()).Elem()
		decodeInto(raw, fmt.Sprintf("%s[%d]", path, i), element, faults)
		v.Set(reflect.Append(v, element))
	}
	closeDelimiter(d, path, faults)
}

// openDelimiter reads the opening delimiter want, which a fault calls what, and reports whether it was
// there.
func openDelimiter(d *json.Decoder, want json.Delim, what, path string, faults *Faults) bool {
	token, err := d.Token()
	if err != nil {
		faults.add(path, "not valid JSON: %v", err)
		return false
	}
	if token != want {
		faults.add(path, "want %s", what)
		return false
	}
	return true
}

func closeDelimiter(d *json.Decoder, path string, faults *Faults) {
	if _, err := d.Token(); err != nil {
		faults.add(path, "not valid JSON: %v", err)
		return
	}
	if d.More() {
		faults.add(path, "data after the end of the value")
	}
}

// nextMember reads the name and the undecoded value of the next member of an object. It reports
// false after a fault.
func nextMember(d *json.Decoder, path string, faults *Faults) (string, json.RawMessage, bool) {
	token, err := d.Token()
	if err != nil {
		faults.add(path, "not valid JSON: %v", err)
		return "", nil, false
	}
	var raw json.RawMessage
	if err := d.Decode(&raw); err != nil {
		faults.add(path, "not valid JSON: %v", err)
		return "", nil, false
	}
	return token.(string), raw, true
}

// structFields maps the JSON names of the fields of t to their indexes.
func structFields(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}
