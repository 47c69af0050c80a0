// SPDX-License-Identifier: Apache-2.0

package daycheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// at returns a time of a day, in milliseconds from its start.
func at(ms int) time.Time { return time.UnixMilli(int64(1e6 + ms)) }

// stream returns a stream of four events that has ended as complete.
func stream(change func(q *Request)) *Request {
	q := &Request{ID: "a", Service: "e", Repeatable: true, Events: 4, Sent: at(0), Limit: at(3000), Ended: at(1000), Status: 200, Complete: true, Got: []int{1, 2, 3, 4}}
	change(q)
	for n := range q.Got {
		q.GotAt = append(q.GotAt, at(100+100*n))
	}
	return q
}

// cut makes a stream one that was closed after two events, of which the last came at
// 200 ms.
func cut(q *Request) { q.Complete, q.Got = false, []int{1, 2} }

// run returns a run of a request that sent no event.
func run(endpoint string, from, until int, end End) *Run {
	return &Run{Request: "a", Service: "e", Endpoint: endpoint, At: at(from), Ended: at(until), End: end}
}

// events makes a run one that sent the events after from, up to to.
func (r *Run) events(from, to int) *Run {
	r.From, r.To = from, to
	return r
}

// unframed makes a run one with an unframed response, whose endpoint crashed later.
func (r *Run) unframed(crashed int) *Run {
	r.Unframed, r.Crashed = true, at(crashed)
	return r
}

// plain returns a plain request whose answer looks complete.
func plain(body string) *Request {
	return &Request{ID: "a", Service: "p", Sent: at(0), Limit: at(3000), Ended: at(1000), Status: 200, Complete: true, Body: body, Want: "answer"}
}

func TestCheck(t *testing.T) {
	nothing := func(*Request) {}
	for _, c := range []struct {
		name    string
		request *Request
		runs    []*Run
		want    string // rules that are broken
	}{
		{"served", stream(nothing), []*Run{run("x", 0, 1000, Finished)}, ""},
		{"closed while the endpoint would have gone on", stream(cut), []*Run{run("x", 0, 1000, Canceled)}, "LOST"},
		{"canceled, then closed for want of another", stream(func(q *Request) { cut(q); q.Ended = at(2500) }), []*Run{run("x", 0, 1200, Canceled)}, "LOST"},
		{"canceled, and broken off elsewhere without a delivery", stream(cut), []*Run{run("x", 0, 800, Canceled).events(0, 2), run("y", 810, 1000, Broke)}, "LOST"},
		{"canceled when another run delivered, which was broken off", stream(cut), []*Run{run("x", 0, 200, Canceled).events(0, 1), run("y", 150, 1000, Broke).events(1, 2)}, ""},
		{"canceled before another run delivered", stream(cut), []*Run{run("x", 0, 190, Canceled).events(0, 1), run("y", 150, 1000, Broke).events(1, 2)}, "LOST"},
		{"standby canceled when the first delivered, which was broken off", stream(cut), []*Run{run("x", 0, 200, Broke).events(0, 2), run("y", 150, 230, Canceled)}, ""},
		{"standby canceled when the first was broken off", stream(cut), []*Run{run("x", 0, 500, Broke).events(0, 2), run("y", 250, 530, Canceled)}, "LOST"},
		{"standby canceled for an event that came while its request was on its way", stream(cut), []*Run{run("x", 0, 900, Broke).events(0, 2), run("y", 220, 240, Canceled)}, ""},
		{"resumed after the last event, then canceled", stream(cut), []*Run{run("x", 0, 210, Broke).events(0, 2), run("y", 220, 900, Canceled)}, "LOST"},
		{"canceled on its way after another run delivered", stream(cut), []*Run{run("x", 300, 300, Canceled), run("y", 50, 1000, Broke).events(0, 2)}, ""},
		{"canceled on its way before another run delivered", stream(cut), []*Run{run("x", 40, 40, Canceled), run("y", 50, 1000, Broke).events(0, 2)}, "LOST"},
		{"broken off by the endpoint", stream(cut), []*Run{run("x", 0, 1000, Broke)}, ""},
		{"closed without a run", stream(cut), nil, "LOST"},
		{"crashed before the end of an unframed response arrived", stream(cut), []*Run{run("x", 0, 500, Finished).unframed(900)}, ""},
		{"crashed after the request had ended", stream(cut), []*Run{run("x", 0, 500, Finished).unframed(1100)}, "LOST"},
		{"crashed after a response with an end of its own", stream(cut), []*Run{run("x", 0, 500, Finished)}, "LOST"},
		{"half of a plain answer", plain("ans"), []*Run{run("x", 0, 500, Broke)}, "MIXED"},
		{"a whole plain answer", plain("answer"), []*Run{run("x", 0, 500, Finished)}, ""},
		{"closed after a refusal", stream(cut), []*Run{run("x", 0, 10, NotRun)}, "LOST"},
		{"the caller left", stream(func(q *Request) { cut(q); q.Left = true }), []*Run{run("x", 0, 1000, Canceled)}, ""},
		{"the time was up", stream(func(q *Request) { cut(q); q.Ended = at(2950) }), []*Run{run("x", 0, 2950, Canceled)}, ""},
		{"closed well before the time was up", stream(func(q *Request) { cut(q); q.Ended = at(2850) }), []*Run{run("x", 0, 2850, Canceled)}, "LOST"},
		{"no answer long after the time was up", stream(func(q *Request) { cut(q); q.Ended = at(3600) }), nil, "LOST"},
		{"refused", stream(func(q *Request) { q.Status, q.Got = 503, nil }), nil, ""},
		{"failed while the endpoint would have gone on", stream(func(q *Request) { q.Status, q.Got = 502, nil }), []*Run{run("x", 0, 990, Canceled)}, "LOST"},
		{"failed at the endpoint", stream(func(q *Request) { q.Status, q.Got = 502, nil }), []*Run{run("x", 0, 990, Broke)}, ""},
		{"event left out", stream(func(q *Request) { q.Got = []int{1, 3, 4} }), nil, "ORDER"},
		{"event repeated", stream(func(q *Request) { q.Got = []int{1, 2, 2, 3, 4} }), nil, "ORDER"},
		{"complete before the last event", stream(func(q *Request) { q.Got = []int{1, 2, 3} }), nil, "ORDER"},
		{"ran twice", stream(func(q *Request) { q.Repeatable = false }), []*Run{run("x", 0, 500, Broke), run("y", 500, 1000, Finished)}, "TWICE"},
		{"ran once after a refusal", stream(func(q *Request) { q.Repeatable = false }), []*Run{run("x", 0, 10, NotRun), run("y", 500, 1000, Finished)}, ""},
		{"refused, but ran", stream(func(q *Request) { q.Repeatable, q.Status, q.Got = false, 503, nil }), []*Run{run("x", 0, 500, Finished)}, "REFUSED"},
		{"refused after a run, may be repeated", stream(func(q *Request) { q.Status, q.Got = 503, nil }), []*Run{run("x", 0, 500, Broke)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var broken []string
			for _, v := range Check(&Day{Requests: []*Request{c.request}, Runs: c.runs, Budget: Budget{Slack: 5, Window: time.Second}}) {
				broken = append(broken, v.Rule)
			}
			assert.Equal(t, strings.Join(broken, " "), c.want)
		})
	}
}

// Repeats count also if they are refused, and the requests are those of the busiest of
// three windows.
func TestBudget(t *testing.T) {
	day := func(requests, repeats int, sent, repeated int) ([]*Request, []*Run) {
		var qs []*Request
		var runs []*Run
		for n := range requests {
			id := fmt.Sprint(n)
			qs = append(qs, &Request{ID: id, Service: "e", Sent: at(sent)})
			runs = append(runs, &Run{Request: id, Service: "e", At: at(sent), End: Finished})
			if n < repeats {
				runs = append(runs, &Run{Request: id, Service: "e", At: at(repeated), End: NotRun})
			}
		}
		return qs, runs
	}
	b := Budget{Ratio: 0.1, Slack: 2, Window: time.Second}
	for _, c := range []struct {
		name                              string
		requests, repeats, sent, repeated int
		broken                            bool
	}{
		{"within", 100, 12, 0, 500, false},
		{"beyond", 100, 13, 0, 500, true},
		{"requests in the window before", 100, 12, 0, 1500, false},
		{"requests too long ago", 100, 12, 0, 2500, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, len(b.Check(day(c.requests, c.repeats, c.sent, c.repeated))) > 0, c.broken)
		})
	}
}

// The requests with a bad part that are sent to endpoints late must be counted.
func TestBadParts(t *testing.T) {
	times := func(ms ...int) (out []time.Time) {
		for _, n := range ms {
			out = append(out, at(n))
		}
		return out
	}
	for _, c := range []struct {
		name              string
		crashes, received []time.Time
		broken            bool
	}{
		{"few crashes", times(0, 100, 200, 9000), times(0, 100, 200, 9000), false},
		{"many at once", times(0, 1, 2, 3, 4, 5, 6, 7, 8, 9), times(0, 1, 2, 3, 4, 5, 6, 7, 8, 3004), false},
		{"three late", times(0, 1, 2, 3, 4), times(3005, 3006, 3007), false},
		{"four late", times(0, 1, 2, 3, 4), times(3005, 3006, 3007, 9000), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations := Check(&Day{BadParts: []*BadPart{{Name: "a", Crashes: c.crashes, Received: c.received}}})
			assert.Equal(t, len(violations) > 0, c.broken, "%v", violations)
		})
	}
}
