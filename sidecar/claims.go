// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/state"
)

// scopedKey returns the key under which the table stores a workspace's idempotency key,
// so that equal keys of different workspaces do not collide.
func scopedKey(workspace, key string) string { return workspace + "\x00" + key }

// handleClaim responds to a gateway's claim: a request for permission to run the request
// with an idempotency key whose home is this sidecar.
func (d *Daemon) handleClaim(w http.ResponseWriter, r *http.Request) {
	var claim peer.Claim
	if err := httpserve.ReadJSON(r, &claim); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.awaitOffset(r.Context(), claim.Offset)
	claimed := d.claimKey(claim, time.Now())
	claimed.Offset = d.Replica.Offset()
	httpserve.WriteJSON(w, http.StatusOK, claimed)
}

// claimKey grants the idempotency key to an attempt to run its request, or returns the
// reason why the attempt must not run.
func (d *Daemon) claimKey(claim peer.Claim, now time.Time) peer.ClaimResult {
	key := scopedKey(claim.Workspace, claim.Key)
	if e, ok := d.keys.Lookup(key, now); ok && e.Status != dedup.Refused && e.Attempt != claim.Request {
		return claimedFromEntry(e)
	}
	if d.Requests.Draining() || d.replaced() {
		return peer.ClaimResult{Reason: peer.ReasonDraining, Outcome: outcome.Unknown, Message: "the key's home is leaving", RetryMS: busyRetryAfter.Milliseconds()}
	}
	if denied := d.admitKey(claim.Key, now); denied != nil {
		return *denied
	}
	e := d.keys.Begin(key, claim.Request, now)
	if e.Status != dedup.New {
		return claimedFromEntry(e)
	}
	return peer.ClaimResult{Granted: true}
}

// admitKey applies dedup.Admit to a key that the table does not hold. It returns nil if
// the key may be granted, and otherwise a denial. The outcome of a denial is Unknown,
// since an earlier attempt may have run elsewhere.
func (d *Daemon) admitKey(key string, now time.Time) *peer.ClaimResult {
	verdict := dedup.Run
	self := dedup.Self{Box: d.settings.Node.Box, Incarnation: d.Incarnation, Service: d.settings.Service}
	contact := d.lastContact(now)
	d.Replica.View(func(s *state.State) { verdict = dedup.Admit(key, self, s, contact, now) })
	denied := &peer.ClaimResult{Reason: peer.ReasonUnknown, Outcome: outcome.Unknown}
	switch verdict {
	case dedup.Run:
		return nil
	case dedup.NotHome:
		denied.Reason, denied.Message = peer.ReasonNotHome, "another sidecar is the home of this key"
	case dedup.LeaseExpired:
		denied.Message = "this attempt did not run; the log is silent, so another home may hold an earlier one"
		denied.RetryMS = busyRetryAfter.Milliseconds()
	default:
		denied.Message = "this attempt did not run; a former home of the key may have run an earlier one"
	}
	return denied
}

// lastContact returns the time of the last contact with the event log. It returns the
// zero time if this process was paused after that contact; see fencing.
func (d *Daemon) lastContact(now time.Time) time.Time {
	contact := d.Replica.Contact()
	d.orders.mu.Lock()
	defer d.orders.mu.Unlock()
	d.orders.fencing.recordTick(now)
	if resumedAt := d.orders.fencing.resumedAt; !resumedAt.IsZero() && !contact.After(resumedAt) {
		return time.Time{}
	}
	return contact
}

// awaitOffset waits, for at most 1 s, until the replica has reached the offset want. It
// is called with the offset of a gateway that may have read further in the event log.
func (d *Daemon) awaitOffset(ctx context.Context, want int64) {
	const timeout = time.Second
	deadline := time.After(timeout)
	for {
		changed := d.Replica.Changed()
		if d.Replica.Offset() >= want {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// claimedFromEntry returns the response to a claim that is denied because of e, the
// table's entry for the key.
func claimedFromEntry(e dedup.Entry) peer.ClaimResult {
	claimed := peer.ClaimResult{Reason: peer.ReasonSeen, Response: e.Response}
	switch {
	case e.Status == dedup.Done && e.Failed:
		claimed.Outcome, claimed.Message = outcome.Failed, "the request ran before and failed"
	case e.Status == dedup.Done:
		claimed.Outcome, claimed.Message = outcome.Completed, "the request ran before"
	case e.Status == dedup.Refused:
		claimed.Outcome, claimed.Message = outcome.NotRun, "an attempt with this key was refused a moment ago"
		claimed.RetryMS = dedup.RefusalTTL.Milliseconds()
	case e.Status == dedup.Full:
		claimed.Outcome, claimed.Message = outcome.NotRun, "the memory of keys is full"
		claimed.RetryMS = dedup.RefusalTTL.Milliseconds()
	default:
		claimed.Outcome, claimed.Message = outcome.Unknown, "an attempt with this key runs or may have run"
	}
	return claimed
}

// handleFinish processes a gateway's report of the outcome of a granted attempt. With
// the outcome Unknown the key's entry stays as it is.
func (d *Daemon) handleFinish(w http.ResponseWriter, r *http.Request) {
	var finish peer.Finish
	if err := httpserve.ReadJSON(r, &finish); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := scopedKey(finish.Workspace, finish.Key)
	switch finish.Outcome {
	case outcome.NotRun:
		d.keys.Refuse(key, finish.Request, time.Now())
	case outcome.Completed, outcome.Failed:
		d.keys.Finish(key, finish.Request, finish.Outcome == outcome.Failed, finish.Response)
	}
}
