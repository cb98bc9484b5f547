package lenient

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// errSyntax is returned for bytes of which it isn't clear where a value ends.
var errSyntax = errors.New("lenient: malformed JSON")

// Fields returns the members of a JSON object by their names, and Elements the elements of a JSON
// array. Both look only for where each value ends, without recursion: encoding/json refuses a whole
// text for one value in it that is nested too deeply. null has neither members nor elements.
func Fields(raw []byte) (fields map[string]json.RawMessage, err error) {
	s := scanner{raw: raw}
	if s.null() {
		return nil, nil
	}
	fields = map[string]json.RawMessage{}
	err = s.list('{', '}', func() error {
		quoted, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err = json.Unmarshal(quoted, &name); err != nil {
			return err
		}
		if !s.take(':') {
			return errSyntax
		}
		fields[name], err = s.value()
		return err
	})
	return fields, err
}

// Elements returns the elements of a JSON array, see Fields.
func Elements(raw []byte) (elements []json.RawMessage, err error) {
	s := scanner{raw: raw}
	if s.null() {
		return nil, nil
	}
	err = s.list('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// List decodes each element of a JSON array by itself and returns those that can be decoded. It
// passes the others to leftOut. A missing array is empty.
func List[T any](raw json.RawMessage, decode func(json.RawMessage) (T, error), leftOut func(json.RawMessage, error)) (list []T, err error) {
	if len(raw) == 0 {
		return nil, nil
	}
	elements, err := Elements(raw)
	if err != nil {
		return nil, err
	}
	for _, element := range elements {
		entry, err := decode(element)
		if err != nil {
			leftOut(element, err)
			continue
		}
		list = append(list, entry)
	}
	return list, nil
}

// Member decodes a member of an object into target, which keeps its value if there is no such member.
func Member(fields map[string]json.RawMessage, name string, target any) error {
	raw, exists := fields[name]
	if !exists {
		return nil
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// scanner splits a JSON text into values.
type scanner struct {
	raw []byte
	at  int
}

// next skips white space and returns the byte after it, or 0 at the end.
func (s *scanner) next() byte {
	for s.at < len(s.raw) {
		switch c := s.raw[s.at]; c {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return c
		}
	}
	return 0
}

// take skips the byte if it is the next one.
func (s *scanner) take(c byte) bool {
	if s.next() != c {
		return false
	}
	s.at++
	return true
}

func (s *scanner) null() bool { return bytes.Equal(bytes.TrimSpace(s.raw), []byte("null")) }

// list calls entry at the begin of each entry between two delimiters, after which nothing follows.
func (s *scanner) list(begin, end byte, entry func() error) error {
	if !s.take(begin) {
		return errSyntax
	}
	for first := true; !s.take(end); first = false {
		if !first && !s.take(',') {
			return errSyntax
		}
		if err := entry(); err != nil {
			return err
		}
	}
	if s.next() != 0 || s.at < len(s.raw) {
		return errSyntax
	}
	return nil
}

// value returns the value that begins next.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	begin, depth := s.at, 0
	for s.at < len(s.raw) {
		c := s.raw[s.at]
		if depth == 0 && (c == ',' || c == ':' || c == ']' || c == '}' || c == ' ' || c == '\t' || c == '\r' || c == '\n') {
			break
		}
		s.at++
		switch c {
		case '"':
			if !s.endString() {
				return nil, errSyntax
			}
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth == 0 && (c == '"' || c == ']' || c == '}') {
			break
		}
	}
	if depth != 0 || s.at == begin {
		return nil, errSyntax
	}
	return s.raw[begin:s.at], nil
}

// endString skips the rest of a string and reports whether it has an end.
func (s *scanner) endString() bool {
	for s.at < len(s.raw) {
		c := s.raw[s.at]
		s.at++
		switch c {
		case '\\':
			s.at++
		case '"':
			return true
		}
	}
	return false
}
