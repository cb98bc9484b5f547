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

// maxLineBytes is the length of the longest log line; a longer one makes Read fail.
const maxLineBytes = 1 << 20

// Line is one structured log line.
type Line struct {
	time    time.Time
	process string
	level   string
	message string
	// fields holds the attributes other than time, level and message, formatted as text.
	fields map[string]string
	// related is set if the line does not mention the id itself, but concerns the cell's owner or a
	// worker that ran its tasks.
	related bool
}

// Timeline holds the log lines that concern one id.
type Timeline struct {
	lines   []Line
	skipped int
}

// Lines returns the lines in order of time.
func (s *Timeline) Lines() []Line { return s.lines }

// Skipped returns the number of lines that are not structured log lines.
func (s *Timeline) Skipped() int { return s.skipped }

// Source is a log with the lines of one or more processes.
type Source struct {
	Name   string
	Reader io.Reader
}

// Read returns the lines that mention an id, or a step or task of the job with that id. Between the
// first and the last of them, it adds warnings and errors of the workers that they name, and all
// changes of the cell's owner.
func Read(id string, sources []Source) (s *Timeline, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("explain: %w", err)
		}
	}()
	s = &Timeline{}
	var lines []Line
	for _, source := range sources {
		scanner := bufio.NewScanner(source.Reader)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			line, ok := parse(source.Name, scanner.Bytes())
			if !ok {
				s.skipped++
				continue
			}
			lines = append(lines, line)
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("log %s: %w", source.Name, err)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.time.Compare(b.time) })
	s.selectLines(id, lines)
	return s, nil
}

// parse parses a log line. The last word before the JSON object, such as the process name that a
// log collector prepends, is taken as the process; without one it is the name of the source.
func parse(source string, raw []byte) (line Line, ok bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return line, false
	}
	var attributes map[string]any
	d := json.NewDecoder(bytes.NewReader(raw[start:]))
	d.UseNumber()
	if d.Decode(&attributes) != nil {
		return line, false
	}
	line.fields = map[string]string{}
	for key, value := range attributes {
		line.fields[key] = fmt.Sprint(value)
	}
	var err error
	if line.time, err = time.Parse(time.RFC3339Nano, line.fields["time"]); err != nil {
		return line, false
	}
	line.level, line.message = line.fields["level"], line.fields["msg"]
	line.process = source
	if prefix := strings.Fields(string(raw[:start])); len(prefix) > 0 {
		line.process = prefix[len(prefix)-1]
	}
	for _, key := range []string{"time", "level", "msg"} {
		delete(line.fields, key)
	}
	return line, true
}

func (s *Timeline) selectLines(id string, lines []Line) {
	workers := map[string]bool{}
	var first, last time.Time
	for _, line := range lines {
		if !line.mentions(id) {
			continue
		}
		if first.IsZero() {
			first = line.time
		}
		last = line.time
		if node := line.fields["node"]; node != "" {
			workers[node] = true
		}
	}
	for _, line := range lines {
		switch {
		case line.mentions(id):
		case line.time.Before(first) || line.time.After(last):
			continue
		case strings.HasPrefix(line.message, "cell "), line.isWarning() && workers[line.fields["node"]]:
			line.related = true
		default:
			continue
		}
		s.lines = append(s.lines, line)
	}
}

func (l *Line) isWarning() bool { return l.level == "WARN" || l.level == "ERROR" }

// mentions reports whether an attribute equals the id, or begins with the id and a dot, as the names
// of a job's steps and tasks do.
func (l *Line) mentions(id string) bool {
	for _, value := range l.fields {
		if value == id || strings.HasPrefix(value, id+".") {
			return true
		}
	}
	return false
}

// Rows returns the lines as table rows: milliseconds since the first line, process, "near" for a
// related line, message, and attributes.
func (s *Timeline) Rows() (rows [][]string) {
	for _, line := range s.lines {
		relation := ""
		if line.related {
			relation = "near"
		}
		var fields []string
		for _, key := range slices.SortedFunc(maps.Keys(line.fields), compareFields) {
			fields = append(fields, key+"="+line.fields[key])
		}
		rows = append(rows, []string{fmt.Sprintf("%+.1f", float64(line.time.Sub(s.lines[0].time).Microseconds())/1000), line.process, relation, line.message, strings.Join(fields, " ")})
	}
	return rows
}

// compareFields orders attribute keys: those that identify the subject and the outcome come first,
// the others follow alphabetically.
func compareFields(a, b string) int {
	fieldOrder := []string{"job", "task", "run", "node", "reason", "outcome", "status"}
	position := func(key string) int {
		if i := slices.Index(fieldOrder, key); i >= 0 {
			return i
		}
		return len(fieldOrder)
	}
	return cmp.Or(cmp.Compare(position(a), position(b)), cmp.Compare(a, b))
}
