package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// lineMost is the longest line that is read; longer ones are passed over.
const lineMost = 1 << 20

// Line is one line of a log.
type Line struct {
	time    time.Time
	process string
	level   string
	message string
	// fields are the other attributes, as text.
	fields map[string]string
	// nearby tells that the line does not name the id, but a worker or owner of its.
	nearby bool
}

// Timeline is what logs say of one id.
type Timeline struct {
	lines   []Line
	skipped int
}

// Lines returns the lines in order of time.
func (s *Timeline) Lines() []Line { return s.lines }

// Skipped returns how many lines could not be read as structured ones.
func (s *Timeline) Skipped() int { return s.skipped }

// Source is the log of one or several processes.
type Source struct {
	Name   string
	Reader io.Reader
}

// Read returns the lines that name an id, or a task of the job with that id. Lines of at least
// the level warn that name a worker on which its tasks were, or that tell of a change of the
// cell's owner, are added for the time in which the id was spoken of.
func Read(id string, sources []Source) (s *Timeline, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("explain: %w", err)
		}
	}()
	s = &Timeline{}
	var all []Line
	for _, source := range sources {
		scanner := bufio.NewScanner(source.Reader)
		scanner.Buffer(make([]byte, 0, 64<<10), lineMost)
		for scanner.Scan() {
			line, ok := parse(source.Name, scanner.Bytes())
			if !ok {
				s.skipped++
				continue
			}
			all = append(all, line)
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("log %s: %w", source.Name, err)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.time.Compare(b.time) })
	s.pick(id, all)
	return s, nil
}

// parse reads a line; what stands before the JSON object, such as the name that a collector
// puts there, is the process if the object names none.
func parse(source string, raw []byte) (line Line, ok bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return line, false
	}
	var object map[string]any
	d := json.NewDecoder(bytes.NewReader(raw[begin:]))
	d.UseNumber()
	if d.Decode(&object) != nil {
		return line, false
	}
	line.fields = map[string]string{}
	for key, value := range object {
		line.fields[key] = fmt.Sprint(value)
	}
	var err error
	if line.time, err = time.Parse(time.RFC3339Nano, line.fields["time"]); err != nil {
		return line, false
	}
	line.level, line.message = line.fields["level"], line.fields["msg"]
	line.process = source
	if prefix := strings.Fields(string(raw[:begin])); len(prefix) > 0 {
		line.process = prefix[len(prefix)-1]
	}
	for _, key := range []string{"time", "level", "msg"} {
		delete(line.fields, key)
	}
	return line, true
}

func (s *Timeline) pick(id string, all []Line) {
	nodes := map[string]bool{}
	var first, last time.Time
	for _, line := range all {
		if !line.names(id) {
			continue
		}
		if first.IsZero() {
			first = line.time
		}
		last = line.time
		if node := line.fields["node"]; node != "" {
			nodes[node] = true
		}
	}
	for _, line := range all {
		switch {
		case line.names(id):
		case line.time.Before(first) || line.time.After(last):
			continue
		case strings.HasPrefix(line.message, "cell "), line.isWarning() && nodes[line.fields["node"]]:
			line.nearby = true
		default:
			continue
		}
		s.lines = append(s.lines, line)
	}
}

func (l *Line) isWarning() bool { return l.level == "WARN" || l.level == "ERROR" }

// names reports whether a field of the line is the id, or begins with it and a point, as the
// names of a job's steps and tasks do.
func (l *Line) names(id string) bool {
	for _, value := range l.fields {
		if value == id || strings.HasPrefix(value, id+".") {
			return true
		}
	}
	return false
}

// Rows returns the lines as rows of a table: milliseconds since the first one, process, what
// happened, and the fields by name.
func (s *Timeline) Rows() (rows [][]string) {
	for _, line := range s.lines {
		mark := ""
		if line.nearby {
			mark = "near"
		}
		var fields []string
		for _, key := range slices.SortedFunc(maps.Keys(line.fields), compareFields) {
			fields = append(fields, key+"="+line.fields[key])
		}
		rows = append(rows, []string{fmt.Sprintf("%+.1f", float64(line.time.Sub(s.lines[0].time).Microseconds())/1000), line.process, mark, line.message, strings.Join(fields, " ")})
	}
	return rows
}

// compareFields sorts what happened and to whom before the rest.
func compareFields(a, b string) int {
	order := []string{"job", "task", "run", "node", "reason", "outcome", "status"}
	rank := func(key string) int {
		if i := slices.Index(order, key); i >= 0 {
			return i
		}
		return len(order)
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
}
