// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/clock"
)

// abortReason is why the connection to the gateway was closed without a complete response.
type abortReason string

// The reasons. Silence of the endpoint is none of them.
const (
	abortNoResponse  abortReason = "no_response"  // the endpoint closed the connection before its response
	abortBrokeOff    abortReason = "broke_off"    // the endpoint's response broke off
	abortMismatch    abortReason = "mismatch"     // the response belongs to another request
	abortGatewayGone abortReason = "gateway_gone" // the gateway closed its connection
	abortDeadline    abortReason = "deadline"     // the time of the request is up
)

// abortReasonOf returns the reason for the end of the request's context, or otherwise if it
// has not ended.
func abortReasonOf(a *admitted, otherwise abortReason) abortReason {
	switch err := a.ctx.Err(); {
	case err == nil:
		return otherwise
	case errors.Is(err, context.DeadlineExceeded):
		return abortDeadline
	default:
		return abortGatewayGone
	}
}

// abort logs and counts the end of a request that was sent to the endpoint at sentAt, and
// closes the connection to the gateway, so that the response does not look complete. err may
// be nil.
func (d *Daemon) abort(a *admitted, reason abortReason, sentAt time.Time, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	d.Metrics.Counter("mintlift_requests_aborted_total", "reason", string(reason)).Inc()
	d.Log.Info("requests: response aborted", "request", a.id, "reason", string(reason), "ms", clock.Since(sentAt).Milliseconds(), "error", text)
	panic(http.ErrAbortHandler)
}
