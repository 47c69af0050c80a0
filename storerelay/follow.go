// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/ingress"
)

// Timing of following another gateway.
const (
	// hold is how long a gateway lets a question wait for a change.
	hold = 800 * time.Millisecond
	// maxAge is how long ago the store may have been read by the gateway that
	// is followed: it does so each second, and a read may take a little.
	// Beyond it the follower reads the store itself, so that it is never much
	// further behind than one that always does.
	maxAge = 1300 * time.Millisecond
)

// shared is the list as one gateway tells it to another.
type shared struct {
	State string `json:"state"`
	// AgeMS is how long ago the store was read.
	AgeMS int64 `json:"age_ms"`
	// Records are left out where the asker has this state already.
	Records []fleet.Record `json:"records,omitempty"`
}

// serveList answers as soon as the list differs from the one that the asker
// has, or is too old, or hold has passed.
func serveList(w http.ResponseWriter, r *http.Request, source Source) {
	had := r.URL.Query().Get("had")
	end := time.Now().Add(hold)
	for {
		list, known := source.List()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		now := time.Now()
		age := now.Sub(list.Confirmed)
		out := shared{State: list.State, AgeMS: age.Milliseconds()}
		if list.State != had {
			out.Records = list.Records
		}
		wait := min(end.Sub(now), maxAge-age)
		if list.State != had || wait <= 0 {
			answer(w, out)
			return
		}
		select {
		case <-list.Changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
	}
}

// Target takes the list that another gateway told.
type Target interface {
	SetEndpoints(records []fleet.Record)
	Listed(now time.Time)
}

var _ Target = (*ingress.Server)(nil)

// Follower takes the list from a gateway of the region that reads it for the
// others.
type Follower struct {
	readers *Readers
	target  Target
	log     logr.Logger
	// had is the state that was taken last, and from the IP number of the
	// gateway that told it, or empty.
	had, from string
}

// NewFollower returns a follower of readers that hands on to target.
func NewFollower(readers *Readers, target Target, log logr.Logger) *Follower {
	return &Follower{readers: readers, target: target, log: log}
}

// Follow asks a gateway for the list, and waits there for a change. It
// returns false if this gateway must read the store itself.
func (f *Follower) Follow(ctx context.Context) bool {
	for _, ip := range f.readers.follow(time.Now()) {
		if f.ask(ctx, ip) {
			return true
		}
	}
	if f.from != "" {
		f.log.Info("list read from the store", "before", f.from)
		f.had, f.from = "", ""
	}
	return false
}

// ask takes the list from the gateway ip.
func (f *Follower) ask(ctx context.Context, ip string) bool {
	var got shared
	if !f.readers.ask(ctx, ip, pathList, url.Values{"had": {f.had}}, &got) {
		return false
	}
	age := time.Duration(got.AgeMS) * time.Millisecond
	if age >= maxAge {
		f.readers.leave(ip, time.Now().Add(maxAge))
		f.log.Info("list of a gateway too old", "gateway", ip, "age_ms", got.AgeMS)
		return false
	}
	if got.State != f.had {
		f.target.SetEndpoints(got.Records)
	}
	f.target.Listed(time.Now().Add(-age))
	if f.from != ip {
		f.log.Info("list taken from a gateway", "gateway", ip, "age_ms", got.AgeMS)
	}
	f.had, f.from = got.State, ip
	return true
}
