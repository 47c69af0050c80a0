// SPDX-License-Identifier: Apache-2.0

// Package daycheck checks the promises to callers from outside, by what callers and
// endpoints saw of requests. It has a file for each rule.
package daycheck

import (
	"fmt"
	"slices"
	"time"
)

// Request is a request as its caller saw it. Its caller has sent all of it.
type Request struct {
	ID      string
	Service string
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Events is the number of events of a complete stream, 0 for a plain request.
	Events int
	Sent   time.Time
	// Limit is when the time of the request is up: the earlier of its caller's deadline
	// and the timeout of its route.
	Limit time.Time
	// Ended is when the response ended, or its caller gave up on it.
	Ended time.Time
	// Left is set if the caller left before the response had ended.
	Left bool
	// Status is the status of the response, 0 if there was none.
	Status int
	// Complete is set if the response has ended as HTTP demands.
	Complete bool
	// Got are the numbers of the received events, and GotAt when they came.
	Got   []int
	GotAt []time.Time
	// Body is that of a plain response, and Want what the endpoint sends.
	Body, Want string
	// Failure describes what the caller saw, for messages.
	Failure string
}

// Served reports whether the request got a complete answer.
func (r *Request) Served() bool { return r.Complete && r.Status == 200 }

// End says how a run has ended.
type End string

const (
	NotRun   End = "not run"  // the endpoint refused the request and never runs it
	Finished End = "finished" // the endpoint sent a complete response
	Broke    End = "broke"    // the endpoint broke the run off, by itself
	Replaced End = "replaced" // an order to the endpoint broke the run off
	Canceled End = "canceled" // the sender closed the connection while the run went on
)

// Run is a request as an endpoint received it.
type Run struct {
	Request  string // ID
	Service  string
	Endpoint string
	At       time.Time // when the request arrived
	// From and To say which events of a stream were sent: those after From, up to To.
	From, To int
	Ended    time.Time
	End      End
	// Unframed is set if the response has neither a length nor chunks.
	Unframed bool
	// Crashed is when the endpoint first crashed after the run had ended; zero if it has not.
	Crashed time.Time
}

// Day is what callers and endpoints saw.
type Day struct {
	Requests []*Request
	Runs     []*Run
	Budget   Budget
	BadParts []*BadPart
}

// Violation is a broken rule.
type Violation struct{ Rule, Text string }

func (v Violation) String() string { return v.Rule + ": " + v.Text }

// Check returns all violations of a day.
func Check(d *Day) []Violation {
	runs := make(map[string][]*Run)
	for _, r := range d.Runs {
		runs[r.Request] = append(runs[r.Request], r)
	}
	var out []Violation
	for _, q := range d.Requests {
		own := runs[q.ID]
		slices.SortStableFunc(own, func(a, b *Run) int { return a.At.Compare(b.At) })
		for _, rule := range []struct {
			name  string
			check func(*Request, []*Run) string
		}{{"LOST", Lost}, {"ORDER", func(q *Request, _ []*Run) string { return Order(q) }}, {"MIXED", func(q *Request, _ []*Run) string { return Mixed(q) }}, {"TWICE", Twice}, {"REFUSED", Refused}} {
			if text := rule.check(q, own); text != "" {
				out = append(out, Violation{rule.name, text + describe(q, own)})
			}
		}
	}
	for _, text := range d.Budget.Check(d.Requests, d.Runs) {
		out = append(out, Violation{"BUDGET", text})
	}
	for _, p := range d.BadParts {
		if text := p.check(); text != "" {
			out = append(out, Violation{"BUDGET", text})
		}
	}
	return out
}

// describe returns what was seen of a request, with times from its sending.
func describe(q *Request, runs []*Run) string {
	out := fmt.Sprintf("; %s of service %s, %d of %d events, status %d, ended after %s of %s: %s", q.ID, q.Service, len(q.Got), q.Events, q.Status, q.Ended.Sub(q.Sent), q.Limit.Sub(q.Sent), q.Failure)
	for _, r := range runs {
		out += fmt.Sprintf("; run at %s from %s to %s: %s", r.Endpoint, r.At.Sub(q.Sent), r.Ended.Sub(q.Sent), r.End)
		if r.To > r.From {
			out += fmt.Sprintf(" after events %d to %d", r.From+1, r.To)
		}
	}
	return out
}
