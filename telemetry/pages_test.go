// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// loggingFolders are the folders or file patterns whose log lines and metrics
// docs/LOGS.md lists.
var loggingFolders = []string{"../ingress", "../installer", "../storerelay", "../storewatch", "../platform", "../cmd/mintlift/platform*.go"}

// logEvent holds the keys of the fields that the code logs with one message.
type logEvent struct{ fields []string }

// codeEvents parses the files of loggingFolders, except tests. It returns the log lines
// by message, and the set of the metrics' names.
func codeEvents(t *testing.T) (events map[string]logEvent, metrics map[string]bool) {
	t.Helper()
	events, metrics = map[string]logEvent{}, map[string]bool{}
	for _, folder := range loggingFolders {
		pattern := folder
		if !strings.HasSuffix(folder, ".go") {
			pattern = folder + "/*.go"
		}
		files, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, "no files in %s", pattern)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			assert.NilError(t, err)
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					addCall(call, events, metrics)
				}
				return true
			})
		}
	}
	return events, metrics
}

// addCall adds a call of a logger to events, or a call that creates a metric to
// metrics. It ignores other calls.
func addCall(call *ast.CallExpr, events map[string]logEvent, metrics map[string]bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	args := call.Args
	switch selector.Sel.Name {
	case "Error":
		if len(args) < 2 {
			return
		}
		args = args[1:]
	case "Info", "Counter", "Histogram", "Gauge":
	default:
		return
	}
	if len(args) == 0 || stringLiteral(args[0]) == "" {
		return
	}
	name := stringLiteral(args[0])
	if selector.Sel.Name != "Info" && selector.Sel.Name != "Error" {
		metrics[name] = true
		return
	}
	e := events[name]
	for at := 1; at < len(args); at += 2 {
		if field := stringLiteral(args[at]); field != "" && !slices.Contains(e.fields, field) {
			e.fields = append(e.fields, field)
		}
	}
	events[name] = e
}

// stringLiteral returns the value of a string literal, or "" for any other
// expression.
func stringLiteral(e ast.Expr) string {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	value, _ := strconv.Unquote(literal.Value)
	return value
}

// tableRow matches a row of a Markdown table whose first cell is code; the groups are
// the contents of the first two cells.
var tableRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|([^|]*)\\|")

// readLogsPage returns the table rows of docs/LOGS.md as a map from the name in
// the first cell to the text of the second.
func readLogsPage(t *testing.T) map[string]string {
	t.Helper()
	data, err := os.ReadFile("../docs/LOGS.md")
	assert.NilError(t, err)
	out := map[string]string{}
	for _, match := range tableRow.FindAllStringSubmatch(string(data), -1) {
		out[match[1]] = match[2]
	}
	return out
}

// TestLogsPage guards against a docs/LOGS.md that lacks a log line, a field or a
// metric of the code, or lists one that the code does not write.
func TestLogsPage(t *testing.T) {
	events, metrics := codeEvents(t)
	documented := readLogsPage(t)
	assert.Assert(t, len(events) > 20, "only %d events found in the code", len(events))
	for name, e := range events {
		fields, ok := documented[name]
		assert.Check(t, ok, "event %q is not on the page (fields %s)", name, strings.Join(e.fields, ", "))
		for _, field := range e.fields {
			assert.Check(t, strings.Contains(fields, field), "field %q of event %q is not on the page", field, name)
		}
	}
	for name := range metrics {
		_, ok := documented[name]
		assert.Check(t, ok, "metric %q is not on the page", name)
	}
	for name := range documented {
		_, ok := events[name]
		assert.Check(t, ok || metrics[name], "%q is on the page only", name)
	}
}
