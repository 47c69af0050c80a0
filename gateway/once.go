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

// Bounds of talking to a key's home.
const (
	claimTries   = 3
	claimTimeout = 2 * time.Second
	// claimLife is how long a grant may be acted on. It is far shorter than
	// homes remember keys, so a gateway that was paused in between does not
	// run what its home has forgotten.
	claimLife   = 30 * time.Second
	finishTries = 3
)

// serveOnce runs a request that carries a caller's key: the key's home must
// grant it first, and learns how it ended.
func (d *Daemon) serveOnce(w http.ResponseWriter, q *request) *failure {
	asked := time.Now()
	home, claimed, no := d.claim(q)
	if no != nil {
		return no
	}
	if !claimed.Granted {
		return d.notGranted(w, q, claimed)
	}
	if time.Since(asked) > claimLife {
		d.finish(q, home, outcome.NotRun, nil)
		return notRun(http.StatusGatewayTimeout, "deadline", "the gateway was paused before the request could run")
	}
	result, answer := outcome.Unknown, (*dedup.Answer)(nil)
	defer func() { d.finish(q, home, result, answer) }()
	no, answer = d.admitAndRun(w, q)
	switch {
	case no != nil:
		result = no.outcome
	case answer != nil && answer.Status >= http.StatusInternalServerError:
		result = outcome.Failed
	default:
		result = outcome.Completed
	}
	return no
}

// claim asks the key's home; a lost answer is asked for again under the
// same request id.
func (d *Daemon) claim(q *request) (state.Home, peer.Claimed, *failure) {
	var last string
	for try := range claimTries {
		home, offset, ok := d.homeOf(q)
		if !ok {
			last = "no home is known for the key"
			break
		}
		address, ok := d.addressOf(home.Box)
		if !ok {
			last = "the key's home has left"
			break
		}
		ctx, cancel := context.WithTimeout(q.ctx, claimTimeout)
		var c peer.Claimed
		err := d.Peers.JSON(ctx, http.MethodPost, d.Peers.URL(address, peer.PathClaim), peer.Claim{Workspace: q.workspace.Name, Key: q.key, Request: q.id, Offset: offset}, &c)
		cancel()
		if err == nil && (c.Reason != peer.ReasonNotHome || try == claimTries-1) {
			return home, c, nil
		}
		if err != nil {
			last = "the key's home on box " + home.Box + " does not answer"
			continue
		}
		last = c.Message
		d.awaitOffset(q.ctx, c.Offset)
	}
	no := unknown("no_home", last+"; this attempt did not run, an earlier one may have")
	no.status, no.retry = http.StatusServiceUnavailable, shedRetry
	return state.Home{}, peer.Claimed{}, no
}

// homeOf finds a key's home in this gateway's state.
func (d *Daemon) homeOf(q *request) (home state.Home, offset int64, ok bool) {
	d.Replica.View(func(s *state.State) {
		offset = s.Offset
		home, ok = dedup.HomeOf(q.key, s.HomesOf(q.service))
	})
	return home, offset, ok
}

func (d *Daemon) addressOf(box string) (string, bool) {
	boxes, _ := d.Directory.Boxes()
	for _, b := range boxes {
		if b.ID == box {
			return b.Address, true
		}
	}
	return "", false
}

// awaitOffset gives this gateway a moment to read as far as a home has.
func (d *Daemon) awaitOffset(ctx context.Context, want int64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for {
		changed := d.Replica.Changed()
		if d.Replica.Offset() >= want {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// notGranted answers from what the home knows.
func (d *Daemon) notGranted(w http.ResponseWriter, q *request, c peer.Claimed) *failure {
	if c.Answer != nil {
		ref, _ := weights.ParseRef(c.Answer.Version) // empty for services
		d.head(w, q, ref, c.Answer.ContentType)
		w.Header().Set(peer.HeaderOutcome, string(c.Outcome))
		w.Header().Set(peer.HeaderReason, string(c.Reason))
		w.WriteHeader(c.Answer.Status)
		_, _ = w.Write(c.Answer.Body) // the caller has gone if this fails
		return nil
	}
	no := &failure{status: http.StatusConflict, code: string(c.Reason), outcome: c.Outcome, message: c.Message, retry: time.Duration(c.RetryMS) * time.Millisecond}
	if no.outcome == outcome.NotRun {
		no.status = http.StatusTooManyRequests
	}
	return no
}

// finish tells the home how a granted attempt ended. A home that never
// hears of it goes on saying that the key may have run.
func (d *Daemon) finish(q *request, home state.Home, result outcome.Outcome, answer *dedup.Answer) {
	if result == outcome.Unknown {
		return
	}
	if answer != nil && len(answer.Body) > dedup.MaxAnswer {
		answer = nil
	}
	f := peer.Finish{Workspace: q.workspace.Name, Key: q.key, Request: q.id, Outcome: result, Answer: answer}
	address, ok := d.addressOf(home.Box)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), claimTimeout)
	defer cancel()
	for range finishTries {
		if d.Peers.JSON(ctx, http.MethodPost, d.Peers.URL(address, peer.PathFinish), f, nil) == nil {
			return
		}
	}
}
