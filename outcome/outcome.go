// SPDX-License-Identifier: Apache-2.0

// Package outcome names what became of a request and says what may be done
// next. Outcomes are values: every part of mintlift that gives up on a
// request says one of four words, and Retry is the one table that decides
// whether the request may be sent again.
package outcome

// Outcome is what became of a request.
type Outcome string

// The four outcomes.
const (
	// Completed says that the whole answer was delivered.
	Completed Outcome = "completed"
	// NotRun says that the endpoint certainly did not run the request.
	NotRun Outcome = "not_run"
	// Failed says that the endpoint ran the request and answered with an error.
	Failed Outcome = "failed"
	// Unknown says that the endpoint may have run the request.
	Unknown Outcome = "unknown"
)

// Stage is the point that an attempt had reached when it ended. It decides
// what may be said about the attempt.
type Stage int

// The stages of an attempt, in order.
const (
	// Waiting: no byte has been written towards the endpoint.
	Waiting Stage = iota
	// Sending: some byte of the request may have been written.
	Sending
	// Refused: the sidecar refused at admission and said so.
	Refused
	// Answering: the answer's head has arrived, its end has not.
	Answering
	// Answered: the whole answer has arrived and the endpoint reports an error.
	AnsweredError
	// Done: the whole answer has arrived.
	Done
)

// Of returns what is certain about an attempt that ended at stage s.
func Of(s Stage) Outcome {
	switch s {
	case Waiting, Refused:
		return NotRun
	case AnsweredError:
		return Failed
	case Done:
		return Completed
	default:
		return Unknown
	}
}

// Retry reports whether a request whose attempt ended with o may be sent to
// an endpoint again. A repeatable request may be sent again while nothing
// of its answer has reached the caller; one that is not repeatable only
// when it certainly did not run.
func Retry(o Outcome, repeatable, answerStarted bool) bool {
	switch o {
	case NotRun:
		return true
	case Unknown:
		return repeatable && !answerStarted
	default:
		return false
	}
}
