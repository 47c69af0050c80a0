// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
)

// Bounds of calls to a key's home. The home of an idempotency key is the sidecar
// process that stores what is known of the key; see package dedup.
const (
	maxClaimAttempts = 3
	claimTimeout     = 2 * time.Second
	// grantTTL is how long a grant may be used. It must be shorter than
	// dedup.KeyTTL, so that a gateway that was paused does not run a request whose
	// key has expired at its home.
	grantTTL          = 30 * time.Second
	maxFinishAttempts = 3
)

// serveKeyed runs a request with an idempotency key if the key's home grants it, and
// reports the outcome to the home afterwards. If the home does not grant it,
// serveKeyed responds with what the home knows of an earlier attempt.
func (d *Daemon) serveKeyed(w http.ResponseWriter, q *request) *failure {
	claimedAt := time.Now()
	home, claimed, fail := d.claimKey(q)
	if fail != nil {
		return fail
	}
	if !claimed.Granted {
		return d.respondNotGranted(w, q, claimed)
	}
	if time.Since(claimedAt) > grantTTL {
		d.reportFinish(q, home, outcome.NotRun, nil)
		return notRun(http.StatusGatewayTimeout, "deadline", "the gateway was paused before the request could run")
	}
	result, response := outcome.Unknown, (*dedup.Response)(nil)
	defer func() { d.reportFinish(q, home, result, response) }()
	fail, response = d.admitAndRun(w, q)
	switch {
	case fail != nil:
		result = fail.outcome
	case response != nil && response.Status >= http.StatusInternalServerError:
		result = outcome.Failed
	default:
		result = outcome.Completed
	}
	return fail
}

// claimKey requests a grant for the key, permission to run its request, from its home. It
// retries, with the same request ID, if no response arrives or if the sidecar is not the
// key's home. The result may be a denial. The failure is not nil if there is no result.
func (d *Daemon) claimKey(q *request) (state.Home, peer.ClaimResult, *failure) {
	var lastError string
	for attempt := range maxClaimAttempts {
		home, offset, ok := d.homeOf(q)
		if !ok {
			lastError = "no home is known for the key"
			break
		}
		address, ok := d.addressOf(home.Box)
		if !ok {
			lastError = "the key's home has left"
			break
		}
		ctx, cancel := context.WithTimeout(q.ctx, claimTimeout)
		var result peer.ClaimResult
		err := d.Peers.JSON(ctx, http.MethodPost, d.Peers.URL(address, peer.PathClaim), peer.Claim{Workspace: q.workspace.Name, Key: q.key, Request: q.id, Offset: offset}, &result)
		cancel()
		if err == nil && (result.Reason != peer.ReasonNotHome || attempt == maxClaimAttempts-1) {
			return home, result, nil
		}
		if err != nil {
			lastError = "the key's home on box " + home.Box + " does not answer"
			continue
		}
		lastError = result.Message
		d.awaitOffset(q.ctx, result.Offset)
	}
	fail := unknownOutcome("no_home", lastError+"; this attempt did not run, an earlier one may have")
	fail.status, fail.retryAfter = http.StatusServiceUnavailable, shedRetryAfter
	return state.Home{}, peer.ClaimResult{}, fail
}

// homeOf returns the home of the request's key, the sidecar process that stores what is
// known of it, according to this gateway's replica, and the replica's offset.
func (d *Daemon) homeOf(q *request) (home state.Home, offset int64, ok bool) {
	d.Replica.View(func(s *state.State) {
		offset = s.Offset
		home, ok = dedup.HomeOf(q.key, s.HomesOf(q.service))
	})
	return home, offset, ok
}

// addressOf returns the address of a listed box.
func (d *Daemon) addressOf(box string) (string, bool) {
	boxes, _ := d.Directory.Boxes()
	for _, b := range boxes {
		if b.ID == box {
			return b.Address, true
		}
	}
	return "", false
}

// awaitOffset waits, for at most one second, until the replica has reached the
// given offset.
func (d *Daemon) awaitOffset(ctx context.Context, offset int64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for {
		changed := d.Replica.Changed()
		if d.Replica.Offset() >= offset {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// respondNotGranted writes the response of an earlier attempt with the key if the
// home has stored one. Otherwise it returns the home's reason as a failure.
func (d *Daemon) respondNotGranted(w http.ResponseWriter, q *request, claim peer.ClaimResult) *failure {
	if claim.Response != nil {
		ref, _ := weights.ParseRef(claim.Response.Version) // empty for services
		d.setResponseHeaders(w, q, ref, claim.Response.ContentType)
		w.Header().Set(peer.HeaderOutcome, string(claim.Outcome))
		w.Header().Set(peer.HeaderReason, string(claim.Reason))
		w.WriteHeader(claim.Response.Status)
		_, _ = w.Write(claim.Response.Body) // an error means that the caller has disconnected
		return nil
	}
	fail := &failure{status: http.StatusConflict, code: string(claim.Reason), outcome: claim.Outcome, message: claim.Message, retryAfter: time.Duration(claim.RetryMS) * time.Millisecond}
	if fail.outcome == outcome.NotRun {
		fail.status = http.StatusTooManyRequests
	}
	return fail
}

// reportFinish reports the outcome of a granted attempt to the key's home. It reports
// nothing if the outcome is Unknown. Without a report, the home responds to later
// attempts that an earlier one may have run.
func (d *Daemon) reportFinish(q *request, home state.Home, result outcome.Outcome, response *dedup.Response) {
	if result == outcome.Unknown {
		return
	}
	if response != nil && len(response.Body) > dedup.MaxResponseBytes {
		response = nil
	}
	report := peer.Finish{Workspace: q.workspace.Name, Key: q.key, Request: q.id, Outcome: result, Response: response}
	address, ok := d.addressOf(home.Box)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), claimTimeout)
	defer cancel()
	for range maxFinishAttempts {
		if d.Peers.JSON(ctx, http.MethodPost, d.Peers.URL(address, peer.PathFinish), report, nil) == nil {
			return
		}
	}
}
