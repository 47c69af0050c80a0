// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/backpressure"
)

// Endpoint is one incarnation of an endpoint with the gateway's estimate of its
// state.
type Endpoint struct {
	Record
	// Signals holds the backpressure signals of this incarnation.
	Signals *backpressure.State
	// inFlight counts this gateway's attempts in progress.
	inFlight int
	// othersInFlight estimates the requests of all other senders there.
	othersInFlight float64
	// unansweredMS is the prefill time, in milliseconds, of this gateway's
	// attempts without a response byte yet, and unanswered their number.
	unansweredMS float64
	unanswered   int
	// othersUnanswered estimates the number of unanswered requests of all other
	// senders.
	othersUnanswered float64
	// sentSinceReport counts this gateway's attempts since the last report.
	sentSinceReport int
	// recentSends are the times of this gateway's attempts that a report may not
	// include yet.
	recentSends []time.Time
	report      Report
	reportAt    time.Time
	// roundTrip is the last round-trip time measured to the sidecar, and
	// roundTripAt when that was.
	roundTrip   time.Duration
	roundTripAt time.Time
	// receivedAt is when anything last arrived from the endpoint or its sidecar.
	receivedAt time.Time
	// firstByteLag is the moving average of how much later than estimated first
	// bytes arrived.
	firstByteLag time.Duration
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// brokenInRow counts consecutive attempts without a working connection.
	brokenInRow  int
	ejectedUntil time.Time
	// misdirected is set if the endpoint responded that it is another one or does
	// not hold the weights. It gets no attempts until its record changes.
	misdirected bool
	// probing is set while one request probes an endpoint that was ejected.
	probing bool
	// isolated is set while an attempt with Query.Isolated is in progress.
	isolated bool
}

// Holds returns the version of model that the endpoint holds completely, or 0.
// It is 0 if the last report called the version unverified, however old that
// report is and whatever the record lists, since the engine itself cannot tell.
func (e *Endpoint) Holds(model string, now time.Time) int {
	if e.report.Unverified {
		return 0
	}
	if e.fresh(now) && e.report.Model == model {
		return e.report.Version
	}
	return e.Models[model]
}

// fresh reports whether there is a report younger than reportTTL.
func (e *Endpoint) fresh(now time.Time) bool {
	return !e.reportAt.IsZero() && now.Sub(e.reportAt) < reportTTL
}

// ReportAge returns the age of the newest report, or -1 ms if there is none.
func (e *Endpoint) ReportAge(now time.Time) time.Duration {
	if e.reportAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(e.reportAt)
}

// ReceiveAge returns the time since anything last arrived from the endpoint or
// its sidecar.
func (e *Endpoint) ReceiveAge(now time.Time) time.Duration { return now.Sub(e.receivedAt) }

// overdueCost returns the cost of an engine that has reported before, but from
// whose box neither reports nor anything else has arrived for reportOverdue.
// This is the first sign of a box that is suspended.
func (e *Endpoint) overdueCost(now time.Time) time.Duration {
	if e.reportAt.IsZero() {
		return 0
	}
	return min(max(e.ReceiveAge(now)-reportOverdue, 0)*overdueWeight, overdueCostMax)
}

// Parameters of overdueCost.
const (
	// reportOverdue exceeds the interval between two reports, even if nothing
	// changes and one of them is lost.
	reportOverdue = 350 * time.Millisecond
	// overdueWeight is the cost of each millisecond beyond reportOverdue.
	overdueWeight = 4
	// overdueCostMax exceeds the cost of any queue.
	overdueCostMax = 800 * time.Millisecond
)

// Parameters of the costs of a slow link and of late first bytes.
const (
	// roundTripInterval is the interval after which another round-trip
	// measurement is expected.
	roundTripInterval = 700 * time.Millisecond
	delayMax          = 400 * time.Millisecond
	// delayNormal is the highest delay that costs nothing.
	delayNormal = 25 * time.Millisecond
	// delayHigh is too high for a request that must begin at once.
	delayHigh = 100 * time.Millisecond
	// lagWeight is the weight of the newest attempt in firstByteLag.
	lagWeight = 0.3
	// lagNormal is the highest firstByteLag that costs nothing.
	lagNormal = 150 * time.Millisecond
)

// Delay returns the estimated round-trip time to the endpoint's sidecar, at most
// delayMax. An overdue measurement counts as a slow link. It is 0 before the
// first measurement.
func (e *Endpoint) Delay(now time.Time) time.Duration {
	if e.roundTripAt.IsZero() {
		return 0
	}
	overdue := now.Sub(e.roundTripAt) - roundTripInterval
	return min(max(e.roundTrip, overdue, 0), delayMax)
}

// InFlight returns the number of this gateway's attempts in progress.
func (e *Endpoint) InFlight() int { return e.inFlight }

// reportLag is how long, beyond the link's delay, an attempt may be missing from
// arriving reports, because the attempt or the report was in transit.
const reportLag = 40 * time.Millisecond

// unreported returns the number of this gateway's attempts that a report
// arriving now does not include yet.
func (e *Endpoint) unreported(now time.Time) int {
	since := now.Add(-reportLag - e.Delay(now))
	e.recentSends = slices.DeleteFunc(e.recentSends, func(at time.Time) bool { return at.Before(since) })
	return min(len(e.recentSends), e.inFlight)
}

// Load estimates the number of requests that the endpoint has, running and
// queued.
func (e *Endpoint) Load(now time.Time) float64 {
	if !e.fresh(now) {
		return float64(e.inFlight) + e.othersInFlight*0.5
	}
	return float64(e.inFlight) + e.othersInFlight + e.othersSinceReport(now)
}

// Parameters of the estimate of what other gateways send after a report that
// all of them received.
const (
	// waitingShare is the share of gateways with a request waiting.
	waitingShare = 0.85
	// sentVisibleAfter is the age of a report at which it shows that other
	// gateways have sent nothing, since changes are reported at once.
	sentVisibleAfter = 100 * time.Millisecond
)

// othersSinceReport estimates how many attempts other gateways have sent since
// the last report, ahead of this gateway's next one.
func (e *Endpoint) othersSinceReport(now time.Time) float64 {
	age := now.Sub(e.reportAt)
	if age >= sentVisibleAfter {
		return 0
	}
	sent := e.report.DemandAhead + float64(e.sentSinceReport)*e.report.othersPerRequest()
	return waitingShare * sent * (1 - float64(age)/float64(sentVisibleAfter))
}

// othersPerRequest returns how many requests all other gateways together send
// for each request of this one.
func (r *Report) othersPerRequest() float64 {
	if r.DemandShare <= 0 {
		return float64(max(0, r.Gateways-1))
	}
	return (1 - r.DemandShare) / r.DemandShare
}

// slowdown returns how many times slower than normal the endpoint works, at
// least 1.
func (e *Endpoint) slowdown(now time.Time) float64 {
	if !e.fresh(now) || e.report.Pace < 1 {
		return 1
	}
	return e.report.Pace
}
