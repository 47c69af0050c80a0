// SPDX-License-Identifier: Apache-2.0

// Package outcome classifies the results of request attempts and decides whether a
// request may be retried.
package outcome

// Outcome is the result of a request or of one attempt at it.
type Outcome string

// The four outcomes.
const (
	// Completed: the whole response was delivered.
	Completed Outcome = "completed"
	// NotRun: the endpoint certainly did not run the request.
	NotRun Outcome = "not_run"
	// Failed: the endpoint ran the request and responded with an error.
	Failed Outcome = "failed"
	// Unknown: the endpoint may have run the request.
	Unknown Outcome = "unknown"
)

// Stage is the last stage that an attempt reached. It determines the outcome of the
// attempt.
type Stage int

// The stages of an attempt, in order.
const (
	// Waiting: no byte of the request has been written to the endpoint.
	Waiting Stage = iota
	// Sending: some byte of the request may have been written.
	Sending
	// Refused: the sidecar rejected the request at admission.
	Refused
	// Responding: the head of the response has arrived, but the end has not.
	Responding
	// ErrorResponse: a complete response that reports an error has arrived.
	ErrorResponse
	// Done: the complete response has arrived.
	Done
)

// Of returns the outcome of an attempt that ended at stage s.
func Of(s Stage) Outcome {
	switch s {
	case Waiting, Refused:
		return NotRun
	case ErrorResponse:
		return Failed
	case Done:
		return Completed
	default:
		return Unknown
	}
}

// Retry reports whether a request may be retried after an attempt with the outcome o.
// A request that was not run may always be retried. A request with an unknown outcome
// may be retried if it is idempotent and no byte of a response has been sent to the
// caller. Other requests may not be retried.
func Retry(o Outcome, idempotent, responseStarted bool) bool {
	switch o {
	case NotRun:
		return true
	case Unknown:
		return idempotent && !responseStarted
	default:
		return false
	}
}
