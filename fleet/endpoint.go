// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/backpressure"
)

// Endpoint is one endpoint and what is believed of it.
type Endpoint struct {
	Record
	// Signals is what this life of the endpoint said of itself in answers.
	Signals *backpressure.State
	// own are the attempts of this gateway in progress there.
	own int
	// others estimates what everybody else has there.
	others float64
	// unread is the work, in milliseconds of the engine, of own attempts
	// that have brought nothing yet, and unreadCount their number.
	unread      float64
	unreadCount int
	// othersUnread is the same number for everybody else.
	othersUnread float64
	// sentCount are own attempts since the last report.
	sentCount int
	// sentAt are the times of own attempts of the last unsettled.
	sentAt   []time.Time
	report   Report
	reportAt time.Time
	// roundTrip is the last that was measured, to the sidecar and back.
	roundTrip time.Duration
	roundAt   time.Time
	heardAt   time.Time
	// lag is how much later than expected first bytes came, smoothed.
	lag      time.Duration
	failures float64 // share of attempts that failed, smoothed
	strikes  int     // broken connections in a row
	openTill time.Time
	// misdirected says that the endpoint denied being this one, or holding
	// the weights; it gets nothing until the list tells something new of it.
	misdirected bool
	// probing says that one request tries an endpoint that was left alone.
	probing bool
	// alone says that an attempt chosen with Query.Alone is in progress.
	alone bool
}

// Holds returns the version of model that the endpoint holds whole, or 0. One
// that its sidecar doubted when it was last heard holds none, however long ago
// that was and whatever the list says: the engine cannot know.
func (e *Endpoint) Holds(model string, now time.Time) int {
	if e.report.Doubted {
		return 0
	}
	if e.fresh(now) && e.report.Model == model {
		return e.report.Version
	}
	return e.Models[model]
}

func (e *Endpoint) fresh(now time.Time) bool {
	return !e.reportAt.IsZero() && now.Sub(e.reportAt) < reportLife
}

// ReportAge is the age of the newest report, or -1 ms if there is none.
func (e *Endpoint) ReportAge(now time.Time) time.Duration {
	if e.reportAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(e.reportAt)
}

// SilentFor is how long nothing at all came from the endpoint's box.
func (e *Endpoint) SilentFor(now time.Time) time.Duration { return now.Sub(e.heardAt) }

// silence is for how long the reports of an engine that used to report are
// overdue while nothing else comes from its box either, at most silenceMax:
// a box that stands still shows in nothing else at first.
func (e *Endpoint) silence(now time.Time) time.Duration {
	if e.reportAt.IsZero() {
		return 0
	}
	return min(max(e.SilentFor(now)-reportOverdue, 0)*silenceWeight, silenceMax)
}

// Bounds of what silence costs.
const (
	// reportOverdue is longer than the time between two reports, also when
	// nothing changes and one of them is lost.
	reportOverdue = 350 * time.Millisecond
	// silenceWeight is the cost of each millisecond beyond that: silenceMax,
	// which is more than any queue costs, is reached 550 ms after the last
	// word.
	silenceWeight = 4
	silenceMax    = 800 * time.Millisecond
)

// Bounds of what a slow link to an endpoint costs.
const (
	roundEvery = 700 * time.Millisecond
	delayMax   = 400 * time.Millisecond
	// delayOften is a delay that a working link may show.
	delayOften = 25 * time.Millisecond
	// delayHigh is one that a request must not meet near a deadline.
	delayHigh = 100 * time.Millisecond
	// lagWeight is the share of the newest attempt in lag, and lagOften what
	// a working engine may show.
	lagWeight = 0.3
	lagOften  = 150 * time.Millisecond
)

// Delay is what is known of the delay to the endpoint and back, at most
// delayMax: a link whose answers stay away counts as slow.
func (e *Endpoint) Delay(now time.Time) time.Duration {
	if e.roundAt.IsZero() {
		return 0
	}
	missing := now.Sub(e.roundAt) - roundEvery
	return min(max(e.roundTrip, missing, 0), delayMax)
}

// Own is the number of attempts of this gateway in progress.
func (e *Endpoint) Own() int { return e.own }

// unsettled is how long an own attempt may be missing in a report that comes
// in: it was on its way, or the report was.
const unsettled = 40 * time.Millisecond

// unseen counts own attempts that a report which comes in now does not count
// yet.
func (e *Endpoint) unseen(now time.Time) int {
	since := now.Add(-unsettled - e.Delay(now))
	e.sentAt = slices.DeleteFunc(e.sentAt, func(at time.Time) bool { return at.Before(since) })
	return min(len(e.sentAt), e.own)
}

// Load estimates the requests that the endpoint has, running and queued.
func (e *Endpoint) Load(now time.Time) float64 {
	if !e.fresh(now) {
		return float64(e.own) + e.others*0.5
	}
	return float64(e.own) + e.others + e.ahead(now)
}

// What other gateways are taken to send after a report that all of them got.
const (
	// takenShare is the part of them that has a request waiting.
	takenShare = 0.85
	// taken is how long a report may be unchanged before it shows that they
	// have sent nothing: a change is reported at once.
	takenFor = 100 * time.Millisecond
)

// ahead estimates the attempts that other gateways have sent since the last
// report, ahead of the next one of this gateway.
func (e *Endpoint) ahead(now time.Time) float64 {
	age := now.Sub(e.reportAt)
	if age >= takenFor {
		return 0
	}
	taken := e.report.Turn + float64(e.sentCount)*e.report.others()
	return takenShare * taken * (1 - float64(age)/float64(takenFor))
}

// others is how many requests all other gateways send for each of this one.
func (r *Report) others() float64 {
	if r.Share <= 0 {
		return float64(max(0, r.Gateways-1))
	}
	return (1 - r.Share) / r.Share
}

// pace is how many times slower than usual the endpoint works.
func (e *Endpoint) pace(now time.Time) float64 {
	if !e.fresh(now) || e.report.Pace < 1 {
		return 1
	}
	return e.report.Pace
}
