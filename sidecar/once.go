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

// scoped keeps the keys of workspaces apart.
func scopedKey(workspace, key string) string { return workspace + "\x00" + key }

// handleClaim is a gateway asking this sidecar, as a key's home, for the
// right to run a request that is not repeatable.
func (d *Daemon) handleClaim(w http.ResponseWriter, r *http.Request) {
	var c peer.Claim
	if err := httpserve.ReadJSON(r, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.awaitOffset(r.Context(), c.Offset)
	out := d.claimKey(c, time.Now())
	out.Offset = d.Replica.Offset()
	httpserve.WriteJSON(w, http.StatusOK, out)
}

func (d *Daemon) claimKey(c peer.Claim, now time.Time) peer.Claimed {
	key := scopedKey(c.Workspace, c.Key)
	if e, ok := d.keys.Lookup(key, now); ok && e.Status != dedup.Refused && e.Attempt != c.Request {
		return claimedFromEntry(e)
	}
	if d.Requests.Draining() || d.replaced() {
		return peer.Claimed{Reason: peer.ReasonDraining, Outcome: outcome.Unknown, Message: "the key's home is leaving", RetryMS: busyRetryAfter.Milliseconds()}
	}
	if no := d.admitKey(c.Key, now); no != nil {
		return *no
	}
	e := d.keys.Begin(key, c.Request, now)
	if e.Status != dedup.New {
		return claimedFromEntry(e)
	}
	return peer.Claimed{Granted: true}
}

// admitKey asks the rule of package dedup; nil means that the key may run.
// What is not certain is unknown, never "not run".
func (d *Daemon) admitKey(key string, now time.Time) *peer.Claimed {
	verdict := dedup.Run
	self := dedup.Self{Box: d.settings.Node.Box, Incarnation: d.Incarnation, Service: d.settings.Service}
	contact := d.lastContact(now)
	d.Replica.View(func(s *state.State) { verdict = dedup.Admit(key, self, s, contact, now) })
	no := &peer.Claimed{Reason: peer.ReasonUnknown, Outcome: outcome.Unknown}
	switch verdict {
	case dedup.Run:
		return nil
	case dedup.NotHome:
		no.Reason, no.Message = peer.ReasonNotHome, "another sidecar is the home of this key"
	case dedup.LeaseExpired:
		no.Message = "this attempt did not run; the log is silent, so another home may hold an earlier one"
		no.RetryMS = busyRetryAfter.Milliseconds()
	default:
		no.Message = "this attempt did not run; a former home of the key may have run an earlier one"
	}
	return no
}

// lastContact is when the log was last heard, or the zero time after a
// pause of this process that the log has not been heard since.
func (d *Daemon) lastContact(now time.Time) time.Time {
	contact := d.Replica.Contact()
	d.orders.mu.Lock()
	defer d.orders.mu.Unlock()
	d.orders.fencing.recordTick(now)
	if woke := d.orders.fencing.resumedAt; !woke.IsZero() && !contact.After(woke) {
		return time.Time{}
	}
	return contact
}

// awaitOffset gives this process a moment to catch up with a gateway that
// has read further in the log.
func (d *Daemon) awaitOffset(ctx context.Context, want int64) {
	const patience = time.Second
	deadline := time.After(patience)
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

// seen answers a claim of a key that the memory holds.
func claimedFromEntry(e dedup.Entry) peer.Claimed {
	out := peer.Claimed{Reason: peer.ReasonSeen, Answer: e.Response}
	switch {
	case e.Status == dedup.Done && e.Failed:
		out.Outcome, out.Message = outcome.Failed, "the request ran before and failed"
	case e.Status == dedup.Done:
		out.Outcome, out.Message = outcome.Completed, "the request ran before"
	case e.Status == dedup.Refused:
		out.Outcome, out.Message = outcome.NotRun, "an attempt with this key was refused a moment ago"
		out.RetryMS = dedup.RefusalTTL.Milliseconds()
	case e.Status == dedup.Full:
		out.Outcome, out.Message = outcome.NotRun, "the memory of keys is full"
		out.RetryMS = dedup.RefusalTTL.Milliseconds()
	default:
		out.Outcome, out.Message = outcome.Unknown, "an attempt with this key runs or may have run"
	}
	return out
}

// handleFinish is a gateway telling how a granted attempt ended.
func (d *Daemon) handleFinish(w http.ResponseWriter, r *http.Request) {
	var f peer.Finish
	if err := httpserve.ReadJSON(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := scopedKey(f.Workspace, f.Key)
	switch f.Outcome {
	case outcome.NotRun:
		d.keys.Refuse(key, f.Request, time.Now())
	case outcome.Completed, outcome.Failed:
		d.keys.Finish(key, f.Request, f.Outcome == outcome.Failed, f.Answer)
	}
}
