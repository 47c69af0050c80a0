// SPDX-License-Identifier: Apache-2.0

// Package explain selects and merges the log lines of several processes about
// one request, endpoint or version, and counts how requests ended.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Line is a parsed log line.
type Line struct {
	Time time.Time `json:"time"`
	// Source is the text before the line's JSON, such as the name of the
	// process, or the name of the file if there is none.
	Source  string `json:"source"`
	Message string `json:"message"`
	// Fields are the other fields of the JSON, by name. The level is left out.
	Fields map[string]any `json:"fields"`
}

// Filter selects the log lines in which at least one of Fields has Value.
type Filter struct {
	Fields []string
	Value  string
}

// Names of the log fields that the filters below compare.
var (
	requestFields  = []string{"request"}
	endpointFields = []string{"endpoint"}
	versionFields  = []string{"version", "holds"}
	identityFields = []string{"identity"}
)

// Request selects the lines about a request.
func Request(id string) Filter { return Filter{requestFields, id} }

// Endpoint selects the lines about an endpoint.
func Endpoint(id string) Filter { return Filter{endpointFields, id} }

// Identity selects the lines about a request and its retries. Each retry has a
// request id of its own; the identity is the same for all of them.
func Identity(id string) Filter { return Filter{identityFields, id} }

// Version selects the lines about a version of the weights.
func Version(version string) Filter { return Filter{versionFields, version} }

// matches reports whether any of the filter's fields has the filter's value.
func (f Filter) matches(fields map[string]any) bool {
	for _, name := range f.Fields {
		if value, ok := fields[name]; ok && fmt.Sprint(value) == f.Value {
			return true
		}
	}
	return false
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read returns the lines of r that f selects. The Source of a line is the text
// before its JSON, or the parameter source if there is no such text. Lines without
// JSON are ignored. A line longer than maxLine is an error.
func Read(r io.Reader, source string, f Filter) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var out []Line
	for scanner.Scan() {
		prefix, text, found := strings.Cut(scanner.Text(), "{")
		if !found || !strings.Contains(text, f.Value) {
			continue
		}
		line, ok := parse("{"+text, f)
		if !ok {
			continue
		}
		line.Source = cmp.Or(strings.TrimSpace(prefix), source)
		out = append(out, line)
	}
	return out, errors.Trace(scanner.Err())
}

// parse parses the JSON of a line. It returns false if the JSON is invalid or f does
// not select the line.
func parse(text string, f Filter) (Line, bool) {
	var fields map[string]any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil || !f.matches(fields) {
		return Line{}, false
	}
	line := Line{Fields: fields, Message: fmt.Sprint(fields["msg"])}
	line.Time, _ = time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"])) // a line without time sorts first
	for _, name := range []string{"time", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

// Sort sorts lines by time. Lines of the same time keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write writes lines as text: the time since the first, the source, the message
// and the fields sorted by name.
func Write(w io.Writer, lines []Line) error {
	for _, line := range lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		var fields strings.Builder
		for _, name := range names {
			fmt.Fprintf(&fields, " %s=%v", name, line.Fields[name])
		}
		since := line.Time.Sub(lines[0].Time)
		if _, err := fmt.Fprintf(w, "%9.3fs  %-24s %-28s%s\n", since.Seconds(), line.Source, line.Message, fields.String()); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
