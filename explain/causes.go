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

// Cause counts the requests that ended in one way within one window.
type Cause struct {
	// Window is the begin of the window.
	Window  time.Time `json:"window"`
	Outcome string    `json:"outcome"`
	Cause   string    `json:"cause"`
	// CallerRetry says that the callers had been refused before.
	CallerRetry bool `json:"returned"`
	Requests    int  `json:"requests"`
}

// Causes counts requests by window, outcome and cause. Use Add for each log
// file.
type Causes struct {
	window time.Duration
	counts map[Cause]int // by what Cause says but for Requests
}

// NewCauses counts by windows of this length.
func NewCauses(window time.Duration) *Causes {
	return &Causes{window: window, counts: make(map[Cause]int)}
}

// requestEnd is the log line with which a request ends.
type requestEnd struct {
	Time        time.Time `json:"time"`
	Request     string    `json:"request"`
	Outcome     string    `json:"outcome"`
	Cause       string    `json:"cause"`
	CallerRetry bool      `json:"returned"`
}

// Add counts the requests that end in the lines of r. Text ahead of a line's
// JSON and lines that hold none are left out.
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
			continue // a cut line, or one about something else
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

// causeKind leaves out of a cause what differs from request to request: what
// follows the first colon of an error is addresses and system calls.
func causeKind(cause string) string {
	kind, _, _ := strings.Cut(cause, ": ")
	return kind
}

// List returns the counts in the order of their windows, the largest of each
// first.
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

// WriteCauses prints counts for people: seconds since the first window.
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
