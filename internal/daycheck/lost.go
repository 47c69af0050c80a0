// SPDX-License-Identifier: Apache-2.0

package daycheck

import (
	"fmt"
	"time"
)

const (
	// limitSlack is the time by which a request may end before its time is up: the
	// answer that says so has to reach the caller.
	limitSlack = 100 * time.Millisecond
	// answerSlack is the time after which a request has an answer once its time is up.
	answerSlack = 500 * time.Millisecond
	// deliverySlack is the time that an event may take from a gateway to its caller.
	deliverySlack = 5 * time.Millisecond
	// cancelOnArrival is the length below which a canceled run was canceled before its
	// request arrived: both were held up on the way.
	cancelOnArrival = time.Millisecond
	// travelTime is what a request and its cancel take on their way, together, when nothing
	// holds them up. An event may come before the request has arrived.
	travelTime = 100 * time.Millisecond
)

// Lost returns what is wrong if a request was accepted and lost. It must get a complete
// answer or a refusal, unless its caller left, its endpoint broke it off, or its time was
// up. A run must not be canceled while its endpoint would have gone on, unless another
// run of the request has delivered by then.
func Lost(q *Request, runs []*Run) string {
	switch {
	case q.Ended.Sub(q.Limit) > answerSlack:
		return fmt.Sprintf("no end of the response %s after the request's time was up", q.Ended.Sub(q.Limit))
	case q.Left || q.Served() || q.Limit.Sub(q.Ended) < limitSlack:
		return ""
	}
	if cut := cutRun(q, runs); cut != nil && (!q.Complete || q.Status >= 500) {
		return fmt.Sprintf("the run at %s was canceled although nothing better was there", cut.Endpoint)
	}
	if !q.Complete && !brokenOff(q, runs) {
		return "the connection was closed without a complete response"
	}
	return ""
}

// cutRun returns a run that was canceled although no other had delivered, or nil.
func cutRun(q *Request, runs []*Run) *Run {
	for _, r := range runs {
		if r.End == Canceled && !deliveredBeside(q, r, runs) {
			return r
		}
	}
	return nil
}

// deliveredBeside reports whether the caller got an event from another run while r went
// on.
func deliveredBeside(q *Request, r *Run, runs []*Run) bool {
	from := r.At
	if r.Ended.Sub(r.At) < cancelOnArrival {
		from = q.Sent // the request was on its way until then
	}
	for n, id := range q.Got {
		at := q.GotAt[n]
		if at.Before(from) && r.Ended.Sub(at) > travelTime || at.After(r.Ended.Add(deliverySlack)) {
			continue
		}
		for _, other := range runs {
			if other != r && other.From < id && id <= other.To {
				return true
			}
		}
	}
	return false
}

// brokenOff reports whether an endpoint broke off the request, or crashed after an unframed
// response of which the end had not arrived: that is then the end of a crash to its receiver.
func brokenOff(q *Request, runs []*Run) bool {
	for _, r := range runs {
		if r.End == Broke || r.End == Replaced || r.Unframed && !r.Crashed.IsZero() && r.Crashed.Before(q.Ended) {
			return true
		}
	}
	return false
}

// LostToOrders reports whether a request got no complete response because an order to its
// endpoint broke it off.
func LostToOrders(q *Request, runs []*Run) bool {
	return !q.Left && !q.Complete && len(runs) > 0 && runs[len(runs)-1].End == Replaced
}
