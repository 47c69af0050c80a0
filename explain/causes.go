// SPDX-License-Identifier: Apache-2.0

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

// Cause is a count of requests. It counts the requests that ended in the same time
// window with the same outcome, cause and value of CallerRetry.
type Cause struct {
	// Window is the start of the window.
	Window  time.Time `json:"window"`
	Outcome string    `json:"outcome"`
	Cause   string    `json:"cause"`
	// CallerRetry reports whether the requests were retries by callers after a
	// refusal.
	CallerRetry bool `json:"returned"`
	Requests    int  `json:"requests"`
}

// Causes counts requests by time window, outcome, cause and CallerRetry. Use Add for
// each log file.
type Causes struct {
	window time.Duration
	counts map[Cause]int // by Cause with Requests set to 0
}

// NewCauses returns an empty count with windows of the given length.
func NewCauses(window time.Duration) *Causes {
	return &Causes{window: window, counts: make(map[Cause]int)}
}

// requestEnd holds the fields of the log line that a gateway writes at the end of a
// request.
type requestEnd struct {
	Time        time.Time `json:"time"`
	Request     string    `json:"request"`
	Outcome     string    `json:"outcome"`
	Cause       string    `json:"cause"`
	CallerRetry bool      `json:"returned"`
}

// Add counts the requests whose end is logged in r. It ignores text before the JSON
// of a line, and lines without JSON. A line longer than maxLine is an error.
func (c *Causes) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found || !strings.Contains(text, `"outcome"`) {
			continue
		}
		var line requestEnd
		if err := json.Unmarshal([]byte("{"+text), &line); err != nil || line.Request == "" || line.Outcome == "" {
			continue // truncated, or not the end of a request
		}
		c.counts[Cause{
			Window:      line.Time.Truncate(c.window),
			Outcome:     line.Outcome,
			Cause:       causeKind(line.Cause),
			CallerRetry: line.CallerRetry,
		}]++
	}
	return errors.Trace(scanner.Err())
}

// causeKind returns the part of a cause before the first colon. The rest, such as an
// address, differs between requests and would split their count.
func causeKind(cause string) string {
	kind, _, _ := strings.Cut(cause, ": ")
	return kind
}

// List returns the counts sorted by window, and by descending number of
// requests within a window.
func (c *Causes) List() []Cause {
	out := make([]Cause, 0, len(c.counts))
	for cause, n := range c.counts {
		cause.Requests = n
		out = append(out, cause)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(a.Window.Compare(b.Window), cmp.Compare(b.Requests, a.Requests),
			cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// WriteCauses writes list, in the order of List, as a table. Windows are written in
// seconds since the first window.
func WriteCauses(w io.Writer, list []Cause) error {
	if _, err := fmt.Fprintf(w, "%8s %8s  %-12s %-9s %s\n", "second", "requests", "outcome", "returned", "cause"); err != nil {
		return errors.Trace(err)
	}
	for _, c := range list {
		since := c.Window.Sub(list[0].Window)
		if _, err := fmt.Fprintf(w, "%8.1f %8d  %-12s %-9t %s\n", since.Seconds(), c.Requests, c.Outcome, c.CallerRetry, c.Cause); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
