// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
)

// maxHold bounds how long a gateway lets a question wait for a change.
const maxWait = 2 * time.Second

// holdField names, in milliseconds, how long the asker can wait for a change:
// what it knows must be confirmed, or the store read, before it is too old.
const waitField = "hold_ms"

// holdAsked is how long the answer to a question may wait; a question that
// does not say is answered at once.
func requestedWait(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.URL.Query().Get(waitField), 10, 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}

// await waits for a change until end; it returns false if the asker has left.
func waitForChange(ctx context.Context, changed <-chan struct{}, end time.Time) bool {
	select {
	case <-changed:
	case <-time.After(clock.Until(end)):
	case <-ctx.Done():
		return false
	}
	return true
}

// shared is the list as one gateway tells it to another.
type listResponse struct {
	State string `json:"state"`
	// Era of the store that the list was read in.
	Era int64 `json:"era,omitempty"`
	// AgeMS is how long ago the store was read.
	AgeMS int64 `json:"age_ms"`
	// Records are left out where the asker has this state already.
	Records []fleet.Record `json:"records,omitempty"`
}

// serveList answers as soon as the list differs from the one that the asker
// has, or the time has passed for which it can wait.
func serveList(w http.ResponseWriter, r *http.Request, source Source) {
	had := r.URL.Query().Get("had")
	end := clock.Now().Add(requestedWait(r))
	for {
		list, known := source.List()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		out := listResponse{State: list.State, Era: list.Era, AgeMS: clock.Since(list.Confirmed).Milliseconds()}
		if list.State != had {
			out.Records = list.Records
		}
		if list.State != had || !clock.Now().Before(end) {
			writeJSON(w, out)
			return
		}
		if !waitForChange(r.Context(), list.Changed, end) {
			return
		}
	}
}

// Target takes the list that another gateway told.
type Target interface {
	// SetEra is that of platform.Endpoints; it returns false for an era that has
	// passed.
	SetEra(era int64) bool
	SetEndpoints(records []fleet.Record)
	Listed(now time.Time)
}

var _ Target = (*ingress.Server)(nil)

// Follower takes the list from a gateway of the region that reads it for the
// others.
type Follower struct {
	readers *Readers
	target  Target
	budget  freshness.Budget
	log     logr.Logger
	// confirmed is as of when the list that was taken last holds.
	confirmed time.Time
	// had is the state that was taken last, and from the IP number of the
	// gateway that told it, or empty.
	state, source string
}

// NewFollower returns a follower of readers that hands on to target; budget
// is within what changes of the list must be in force.
func NewFollower(readers *Readers, target Target, budget freshness.Budget, log logr.Logger) *Follower {
	return &Follower{readers: readers, target: target, budget: budget, log: log}
}

// Follow asks a gateway for the list, and waits there for a change for as long
// as the age of the list allows. It returns false if this gateway must read
// the store itself.
func (f *Follower) Follow(ctx context.Context) bool {
	if f.state == "" {
		f.confirmed = clock.Now() // nothing is known that could be too old
	}
	told := f.readers.tryEach(f.budget, f.confirmed, func(ip string, hold time.Duration) bool { return f.fetch(ctx, ip, hold) })
	if told {
		return true
	}
	if f.source != "" {
		f.log.Info("list read from the store", "before", f.source)
		f.state, f.source = "", ""
	}
	return false
}

// ask takes the list from the gateway ip.
func (f *Follower) fetch(ctx context.Context, ip string, hold time.Duration) bool {
	var got listResponse
	if !f.readers.query(ctx, ip, pathList, url.Values{"had": {f.state}}, hold, f.budget.Relay(), &got) {
		return false
	}
	age := time.Duration(got.AgeMS) * time.Millisecond
	if f.budget.Hold(age) <= 0 {
		f.readers.backOff(ip, clock.Now().Add(backoff))
		f.log.Info("list of a gateway too old", "gateway", ip, "age_ms", got.AgeMS)
		return false
	}
	if !f.target.SetEra(got.Era) {
		f.readers.backOff(ip, clock.Now().Add(backoff))
		f.log.Info("list of a gateway is of an era that has passed", "gateway", ip, "their_era", got.Era)
		return false
	}
	if got.State != f.state {
		f.target.SetEndpoints(got.Records)
	}
	f.confirmed = clock.Now().Add(-age)
	f.target.Listed(f.confirmed)
	if f.source != ip {
		f.log.Info("list taken from a gateway", "gateway", ip, "age_ms", got.AgeMS)
	}
	f.state, f.source = got.State, ip
	return true
}
