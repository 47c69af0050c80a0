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

// maxWait bounds how long a gateway holds a long-poll request until there is a change.
const maxWait = 2 * time.Second

// waitField is the query parameter of a long poll with the time, in milliseconds, for
// which the gateway may hold the request until there is a change. The client limits it
// so that its own data does not become stale meanwhile.
const waitField = "hold_ms"

// requestedWait returns how long the request may be held, at most maxWait. It is zero if
// the request has no waitField.
func requestedWait(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.URL.Query().Get(waitField), 10, 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}

// waitForChange waits until changed is closed or the time end has passed. It returns
// false if ctx ended first, because the client disconnected.
func waitForChange(ctx context.Context, changed <-chan struct{}, end time.Time) bool {
	select {
	case <-changed:
	case <-time.After(clock.Until(end)):
	case <-ctx.Done():
		return false
	}
	return true
}

// batchTime is how long a gateway collects further changes of the list before it responds
// with the first one. Without it, each change at a rollout would be a
// response of its own to each follower.
const batchTime = 50 * time.Millisecond

// listResponse is the endpoint list, or its changes, as one gateway sends it to another.
type listResponse struct {
	// State identifies the content of the list; see ingress.List.
	State string `json:"state"`
	// Delta is set if Records and Removed are the changes since the state in the query,
	// and not set if Records are the whole list.
	Delta bool `json:"delta,omitempty"`
	// Era is the store's era in which the list was read. It increases each time the
	// store is restored from an older copy.
	Era int64 `json:"era,omitempty"`
	// AgeMS is the time since the store last confirmed the list, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Records are the endpoints that were added or have changed, or all of them. Removed
	// are the IDs of endpoints that have left the list.
	Records []fleet.Record `json:"records,omitempty"`
	Removed []string       `json:"removed,omitempty"`
}

// serveList serves a long poll for the list. It responds as soon as the state of the list
// differs from the one in the query, or when the requested wait has passed.
func serveList(w http.ResponseWriter, r *http.Request, source Source) {
	clientState := r.URL.Query().Get("had")
	end := clock.Now().Add(requestedWait(r))
	for {
		state, changed, known := source.ListState()
		timedOut := !clock.Now().Before(end)
		switch {
		case known && (state != clientState || timedOut):
			writeList(w, source, clientState)
			return
		case timedOut:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !waitForChange(r.Context(), changed, end) {
			return
		}
		clock.Sleep(r.Context(), min(batchTime, clock.Until(end)))
	}
}

// writeList responds with the changes of the list since a state that the client has, or
// with the whole list.
func writeList(w http.ResponseWriter, source Source, clientState string) {
	list, _ := source.ListSince(clientState)
	writeJSON(w, listResponse{
		State: list.State, Delta: list.Delta, Era: list.Era, AgeMS: clock.Since(list.Confirmed).Milliseconds(),
		Records: list.Records, Removed: list.Removed,
	})
}

// Target receives the endpoint list from a Follower.
type Target interface {
	// SetEra sets the store's era in which the next list was read. It returns false if
	// that era is earlier than the current one. See platform.EndpointHandler.
	SetEra(era int64) bool
	// SetEndpoints replaces the list.
	SetEndpoints(records []fleet.Record)
	// PutEndpoint adds or replaces one endpoint, and RemoveEndpoint removes one.
	PutEndpoint(r fleet.Record)
	RemoveEndpoint(id string)
	// ConfirmList records that the list is complete as of a time.
	ConfirmList(now time.Time)
}

// ingress.Server must implement Target.
var _ Target = (*ingress.Server)(nil)

// Follower receives the endpoint list from a reader gateway: one of the gateways of the
// region that read the store for the others. It is not safe for concurrent use.
type Follower struct {
	readers *Readers
	target  Target
	budget  freshness.Budget
	log     logr.Logger
	// confirmed is the time as of which the last list received is complete.
	confirmed time.Time
	// state is the state of the last list received; see listResponse. source is the IP
	// address of the gateway that sent it. Both are empty while no gateway supplies it.
	state, source string
}

// NewFollower returns a follower that requests the list from readers and passes it
// to target. budget bounds the time within which changes of the list must take
// effect.
func NewFollower(readers *Readers, target Target, budget freshness.Budget, log logr.Logger) *Follower {
	return &Follower{readers: readers, target: target, budget: budget, log: log}
}

// Poll makes one long poll for the list at other gateways. Its duration is limited so that
// the list does not become stale. It returns false if none has supplied a recent list.
func (f *Follower) Poll(ctx context.Context) bool {
	if f.state == "" {
		f.confirmed = clock.Now() // there is no list yet that could be stale
	}
	received := f.readers.tryEach(f.budget, f.confirmed, func(ip string, wait time.Duration) bool { return f.fetch(ctx, ip, wait) })
	if received {
		return true
	}
	if f.source != "" {
		// The value of "before" is the gateway that the list was read from until now.
		f.log.Info("no gateway supplies the endpoint list", "before", f.source)
		f.state, f.source = "", ""
	}
	return false
}

// fetch requests the list from the gateway with the address ip, which may hold the
// request for the duration wait, and passes the list to the target. If the gateway does
// not respond, or if its list is stale or from before the last restore of the store,
// fetch backs off from the gateway and returns false.
func (f *Follower) fetch(ctx context.Context, ip string, wait time.Duration) bool {
	var got listResponse
	if !f.readers.fetch(ctx, ip, pathList, url.Values{"had": {f.state}}, wait, f.budget.RelayTimeout(), &got) {
		return false
	}
	age := time.Duration(got.AgeMS) * time.Millisecond
	if f.budget.Hold(age) <= 0 {
		f.readers.stale(ip)
		f.log.Info("endpoint list from gateway too old", "gateway", ip, "age_ms", got.AgeMS)
		return false
	}
	if !f.target.SetEra(got.Era) {
		f.readers.stale(ip)
		f.log.Info("endpoint list from gateway is of an earlier store era", "gateway", ip, "their_era", got.Era)
		return false
	}
	switch {
	case got.Delta:
		for _, id := range got.Removed {
			f.target.RemoveEndpoint(id)
		}
		for _, r := range got.Records {
			f.target.PutEndpoint(r)
		}
	case got.State != f.state:
		f.target.SetEndpoints(got.Records)
	}
	f.confirmed = clock.Now().Add(-age)
	f.target.ConfirmList(f.confirmed)
	if f.source != ip {
		f.log.Info("endpoint list received from gateway", "gateway", ip, "age_ms", got.AgeMS)
	}
	f.state, f.source = got.State, ip
	return true
}
