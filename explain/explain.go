// SPDX-License-Identifier: Apache-2.0

// Package explain tells the story of one request, endpoint or version from
// the log lines of several processes.
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

// Line is one log line.
type Line struct {
	Time time.Time `json:"time"`
	// Source is what stood ahead of the line, for instance the name of the
	// process, or the file's name.
	Source  string `json:"source"`
	Message string `json:"message"`
	// Fields are all others, by name.
	Fields map[string]any `json:"fields"`
}

// Filter chooses lines: those with one of the values in one of the fields.
type Filter struct {
	Fields []string
	Value  string
}

// Filters for what can be explained.
var (
	requestFields  = []string{"request"}
	endpointFields = []string{"endpoint"}
	versionFields  = []string{"version", "holds"}
	identityFields = []string{"identity"}
)

// Request chooses the lines about a request.
func Request(id string) Filter { return Filter{requestFields, id} }

// Endpoint chooses the lines about an endpoint.
func Endpoint(id string) Filter { return Filter{endpointFields, id} }

// Identity chooses the lines about all tries of a request, by its identity.
func Identity(id string) Filter { return Filter{identityFields, id} }

// Version chooses the lines about a version of the weights.
func Version(version string) Filter { return Filter{versionFields, version} }

func (f Filter) matches(fields map[string]any) bool {
	for _, name := range f.Fields {
		if value, ok := fields[name]; ok && fmt.Sprint(value) == f.Value {
			return true
		}
	}
	return false
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// Read returns the lines of r that f chooses. Text ahead of a line's JSON
// is its source; lines that hold no JSON are left out.
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

// Sort puts lines in the order of their times.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write prints lines for people: the time since the first, the source, the
// event, and its fields by name.
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
