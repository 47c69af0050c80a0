// SPDX-License-Identifier: Apache-2.0

package loadreport

import "time"

const (
	// expectationStep is the step of fleet.Report.ServesInMS.
	expectationStep = 100 * time.Millisecond
	// expectationTolerance is the difference from the time that gateways count down to from
	// which a new expectation is sent at once. Otherwise the next report carries it.
	expectationTolerance = 200 * time.Millisecond
)

// expectation is when the engine is expected to serve, as an instant, so that it remains
// the same while the time until then decreases. The zero value stands for no expectation.
type expectation struct {
	current time.Time // by the last call of observe
	sent    time.Time // as gateways have it from the last report
}

// observe records the ServesInMS of a report that may be sent at the time now, and returns
// whether it differs so much from what gateways have that the report must be sent.
func (e *expectation) observe(servesInMS int64, now time.Time) bool {
	e.current = time.Time{}
	if servesInMS > 0 {
		e.current = now.Add(time.Duration(servesInMS) * time.Millisecond)
	}
	if e.current.IsZero() || e.sent.IsZero() {
		return e.current.IsZero() != e.sent.IsZero()
	}
	// An expectation that is due is sent as one step, so that it moves with the time.
	sent := e.sent
	if due := now.Add(expectationStep); sent.Before(due) {
		sent = due
	}
	return e.current.Sub(sent).Abs() > expectationTolerance
}

// remainingMS returns the ServesInMS of a report that is sent at the time now: at least one
// step if there is an expectation.
func (e *expectation) remainingMS(now time.Time) int64 {
	if e.current.IsZero() {
		return 0
	}
	return max(e.current.Sub(now).Round(expectationStep), expectationStep).Milliseconds()
}
