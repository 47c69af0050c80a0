// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"os"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/route"
)

// cutReason is why a response of which the caller has received a part was not completed.
type cutReason string

// The reasons. Silence of the endpoint is none of them.
const (
	cutCallerGone    cutReason = "caller_gone"    // the caller has closed its connection
	cutCallerStalled cutReason = "caller_stalled" // the caller has read nothing for writeTimeout
	cutDeadline      cutReason = "deadline"       // the time of the request is up
	cutMismatch      cutReason = "mismatch"       // an event belongs to another request
	cutRunEnded      cutReason = "run_ended"      // the engine no longer has the run of an interrupted stream
	cutNotResumed    cutReason = "not_resumed"    // an interrupted stream had no event within resumeTimeout
	cutBrokeOff      cutReason = "broke_off"      // the body of a response that cannot be resumed broke off
)

// callerCut returns the reason for a failed write to the caller.
func callerCut(err error) cutReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return cutCallerStalled
	}
	return cutCallerGone
}

// contextEnded returns the reason for the end of a request's context.
func contextEnded(ctx context.Context) cutReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return cutDeadline
	}
	return cutCallerGone
}

// recordCut logs and counts a response of which the caller has received a part and that is
// not completed.
func (d *Daemon) recordCut(q *request, ep route.Endpoint, reason cutReason, details ...any) {
	d.Metrics.Counter("mintlift_responses_cut_total", "reason", string(reason)).Inc()
	d.Log.Info("requests: response cut", append([]any{"request", q.id, "box", ep.Box, "reason", string(reason)}, details...)...)
}
