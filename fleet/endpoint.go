// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"slices"
	"time"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/slotgrant"
)

// Endpoint is one incarnation of an endpoint, that is, one run of its process, with
// the gateway's estimate of its state.
type Endpoint struct {
	Record
	// region is the region of the endpoint's availability zone.
	region string
	// evacuated is set while the operator has evacuated the endpoint's zone.
	evacuated bool
	// Signals holds the backpressure signals of this incarnation.
	Signals *backpressure.State
	// SlotGrants holds this gateway's wishes for slots of an engine, and its grants.
	SlotGrants slotgrant.Requester
	// inFlight counts this gateway's attempts in progress.
	inFlight int
	// othersInFlight estimates how many requests of other gateways the endpoint has.
	othersInFlight float64
	// unanswered is the number of this gateway's attempts that have not received a
	// response byte yet, and unansweredMS their total prefill time in milliseconds.
	unansweredMS float64
	unanswered   int
	// othersUnanswered estimates the number of unanswered requests of other gateways.
	othersUnanswered float64
	// sentSinceReport counts the attempts that this gateway has sent since the last
	// report arrived.
	sentSinceReport int
	// recentSends are the send times of this gateway's latest attempts, which an
	// arriving report may not include yet.
	recentSends []time.Time
	report      Report
	reportAt    time.Time // when the engine's state in report was read, without delays
	// servesAt is when the engine is expected to serve a permitted version, by the last
	// report; zero if that has no expectation.
	servesAt time.Time
	// verified is the last load that a report called verified; see VerifiedLoad.
	verified VerifiedLoad
	// sidecarAt is when the last report arrived from the endpoint's address, also if it
	// was of a former process of the endpoint; zero if none has.
	sidecarAt time.Time
	// gatewayStartedAt is Place.StartedAt.
	gatewayStartedAt time.Time
	// firstReportAt is when the first report arrived for this id.
	firstReportAt time.Time
	// roundTrip is the last round-trip time measured to the sidecar, and
	// roundTripAt when that was.
	roundTrip   time.Duration
	roundTripAt time.Time
	// receivedAt is when anything last arrived from the endpoint or its sidecar.
	receivedAt time.Time
	// firstByteLag is the moving average of the first bytes' delay: how much later
	// than estimated they arrived.
	firstByteLag time.Duration
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// brokenInRow counts consecutive attempts without a working connection.
	brokenInRow  int
	ejectedUntil time.Time
	// misdirected is set if the response showed that the address belongs to another
	// endpoint, or that the endpoint does not hold the weights. The endpoint gets no
	// attempts until its record changes.
	misdirected bool
	// probing is set while a request is in progress that probes the endpoint after
	// an ejection.
	probing bool
	// isolated is set while an attempt with Query.Isolated is in progress.
	isolated bool
}

// HeldVersion returns the version of model that the endpoint holds completely, or 0 if
// there is none. It is also 0 if the last report, of any age, called the engine's
// weights unverified: the engine may then hold other weights than the report or the
// record lists. A version that only the record lists is ignored for listedChangeDelay after
// the last report from the endpoint's address or, before the first one and if sidecars load
// versions, after the start of the gateway, which does not know what was reported before.
func (e *Endpoint) HeldVersion(model string, now time.Time) int {
	if e.report.Unverified {
		return 0
	}
	if e.fresh(now) && (e.report.Model == model || e.report.Version == 0) {
		return e.report.Version
	}
	listed, unknownSince := e.Models[model], e.sidecarAt
	if unknownSince.IsZero() && e.WeightsConfigured {
		unknownSince = e.gatewayStartedAt
	}
	switch {
	case unknownSince.IsZero(), now.Sub(unknownSince) >= listedChangeDelay:
		return listed
	case e.report.Version != 0 && (e.report.Model != model || e.report.Version == listed):
		return listed
	default:
		return 0
	}
}

// listedChangeDelay is how long after the last report of an engine's sidecar a version that
// the sidecar has not reported is ignored in the list. The engine may have accepted a
// delayed order of the sidecar's former process meanwhile, and hold other weights than the
// list shows. It exceeds the time for which an order may be delayed on the way.
const listedChangeDelay = 15 * time.Second

// ReportsMissing reports whether the last report is too old to show the version that the engine
// holds, and did not call it unverified.
func (e *Endpoint) ReportsMissing(now time.Time) bool { return !e.fresh(now) && !e.report.Unverified }

// fresh reports whether the last report is younger than reportTTL.
func (e *Endpoint) fresh(now time.Time) bool { return e.reportedWithin(reportTTL, now) }

// reportedWithin reports whether the last report is younger than ttl.
func (e *Endpoint) reportedWithin(ttl time.Duration, now time.Time) bool {
	return !e.reportAt.IsZero() && now.Sub(e.reportAt) < ttl
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

// overdueCost returns the cost added for an engine that has reported before, if
// nothing has arrived from the engine or its sidecar for more than reportOverdue.
// The box may be suspended, which at first shows in nothing else.
func (e *Endpoint) overdueCost(now time.Time) time.Duration {
	if e.reportAt.IsZero() {
		return 0
	}
	return min(max(e.ReceiveAge(now)-reportOverdue, 0)*overdueWeight, overdueCostMax)
}

// Parameters of overdueCost.
const (
	// reportOverdue is the time without data from an engine or its sidecar after which
	// the next report is overdue. It allows for one lost report.
	reportOverdue = 350 * time.Millisecond
	// overdueWeight is the cost of each millisecond beyond reportOverdue.
	overdueWeight = 4
	// overdueCostMax is the maximum of overdueCost. It is more than a queue usually
	// costs, so that a busy engine is preferred to one whose box may be suspended.
	overdueCostMax = 800 * time.Millisecond
)

// Parameters of the costs of a slow link and of late first bytes.
const (
	// roundTripInterval is the maximum time between two round-trip measurements.
	roundTripInterval = 700 * time.Millisecond
	// delayMax is the maximum of Endpoint.Delay.
	delayMax = 400 * time.Millisecond
	// delayNormal is the highest Endpoint.Delay that adds no cost.
	delayNormal = 25 * time.Millisecond
	// delayHigh is the delay or firstByteLag from which an engine is not expected to
	// begin a request at once. Shortly before a version's deadline, an engine with an
	// older version gets no requests then, since they could start too late.
	delayHigh = 100 * time.Millisecond
	// lagWeight is the weight of the newest attempt in the moving average
	// firstByteLag, from 0 to 1.
	lagWeight = 0.3
	// lagNormal is the highest firstByteLag that adds no cost.
	lagNormal = 150 * time.Millisecond
)

// Delay returns the estimated round-trip time to the endpoint's sidecar, at most
// delayMax. If the next measurement is overdue, the time since it was due is a
// lower bound of the estimate. The result is 0 before the first measurement.
func (e *Endpoint) Delay(now time.Time) time.Duration {
	if e.roundTripAt.IsZero() {
		return 0
	}
	overdue := now.Sub(e.roundTripAt) - roundTripInterval
	return min(max(e.roundTrip, overdue, 0), delayMax)
}

// Reported returns the numbers of running and queued requests in the newest report.
func (e *Endpoint) Reported() (running, queued int) { return e.report.Running, e.report.Queued }

// InFlight returns the number of this gateway's attempts in progress.
func (e *Endpoint) InFlight() int { return e.inFlight }

// reportLag is how long after an attempt was sent a report may arrive that does not
// include it yet, in addition to the link's delay: the attempt or the report was in
// transit.
const reportLag = 40 * time.Millisecond

// unreported returns the number of this gateway's attempts that a report of the given age
// that arrives now does not include yet.
func (e *Endpoint) unreported(age time.Duration, now time.Time) int {
	since := now.Add(-reportLag - e.Delay(now) - age)
	e.recentSends = slices.DeleteFunc(e.recentSends, func(at time.Time) bool { return at.Before(since) })
	return min(len(e.recentSends), e.inFlight)
}

// Load estimates the number of requests that the endpoint runs or has queued.
func (e *Endpoint) Load(now time.Time) float64 {
	if !e.fresh(now) {
		return float64(e.inFlight) + e.othersInFlight*0.5
	}
	return float64(e.inFlight) + e.othersInFlight + e.othersSinceReport(now)
}

// loadInTurn is like Load, but counts the requests of all gateways that come first by the
// newest report until the next report arrives. Load counts fewer of them as the report
// ages, so that no slot stays unused; but then all gateways find the same slots free at
// the same age of the report, and send more requests than the engine can begin.
func (e *Endpoint) loadInTurn() float64 {
	return float64(e.inFlight) + e.othersInFlight + e.demandAhead()
}

// Parameters of the estimate of how many attempts other gateways send after they
// all received the same report.
const (
	// activeGatewayShare is the assumed share of gateways that have a request waiting
	// to be sent.
	activeGatewayShare = 0.85
	// sentVisibleAfter is the age of the last report from which other gateways are
	// assumed to have sent nothing since: a change would have been reported by then.
	sentVisibleAfter = 100 * time.Millisecond
)

// othersSinceReport estimates how many attempts other gateways have sent since the
// last report that the engine gets before this gateway's next attempt.
func (e *Endpoint) othersSinceReport(now time.Time) float64 {
	age := now.Sub(e.reportAt)
	if age >= sentVisibleAfter {
		return 0
	}
	return activeGatewayShare * e.demandAhead() * (1 - float64(age)/float64(sentVisibleAfter))
}

// demandAhead estimates how many requests other gateways send before this gateway's next
// one if each of them sends what it may send by the order of the newest report.
func (e *Endpoint) demandAhead() float64 {
	return e.report.DemandAhead + float64(e.sentSinceReport)*e.report.othersPerRequest()
}

// othersPerRequest returns how many requests all other gateways together send, on
// average, for each request that this gateway sends.
func (r *Report) othersPerRequest() float64 {
	if r.DemandShare <= 0 {
		return float64(max(0, r.Gateways-1))
	}
	return (1 - r.DemandShare) / r.DemandShare
}

// slowdown returns how many times slower than normal the endpoint works. It is at
// least 1.
func (e *Endpoint) slowdown(now time.Time) float64 {
	if !e.fresh(now) || e.report.Pace < 1 {
		return 1
	}
	return e.report.Pace
}
