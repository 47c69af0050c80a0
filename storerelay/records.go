// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/internal/clock"
)

// Record is the newest of the operator's records of a key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// Records are the operator's records as a process knows them.
type Records struct {
	// Newest of each key, by offset, from the offset that was asked for.
	Newest []Record
	// Next is up to where they have been read.
	Next int64
	// Confirmed is when the store last said that there are no more.
	Confirmed time.Time
	// Behind says that another process is known to have read further.
	Behind bool
	// Changed is closed when the process has read further.
	Changed <-chan struct{}
}

// RecordSource is a gateway that reads the operator's records; it returns
// false while it has read none.
type RecordSource interface {
	Since(offset int64) (Records, bool)
}

// sharedRecords are Records as one gateway tells them to another.
type sharedRecords struct {
	Newest []Record `json:"newest,omitempty"`
	Next   int64    `json:"next"`
	AgeMS  int64    `json:"age_ms"`
	Behind bool     `json:"behind,omitempty"`
}

// serveRecords answers as soon as there are records from the offset that the
// asker names, or the time has passed for which it can wait.
func serveRecords(w http.ResponseWriter, r *http.Request, source RecordSource) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := clock.Now().Add(holdAsked(r))
	for {
		records, known := source.Since(from)
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		out := sharedRecords{Newest: records.Newest, Next: records.Next, AgeMS: clock.Since(records.Confirmed).Milliseconds(), Behind: records.Behind}
		if records.Next != from || records.Behind || !clock.Now().Before(end) {
			answer(w, out)
			return
		}
		if !await(r.Context(), records.Changed, end) {
			return
		}
	}
}

// RecordFollower takes the operator's records from a gateway that reads them
// for the others.
type RecordFollower struct {
	readers *Readers
	budget  freshness.Budget
	log     logr.Logger
	from    string // the IP number of the gateway that told last, or empty
}

// NewRecordFollower returns a follower of readers; budget is within what the
// records must be in force.
func NewRecordFollower(readers *Readers, budget freshness.Budget, log logr.Logger) *RecordFollower {
	return &RecordFollower{readers: readers, budget: budget, log: log}
}

// Since asks a gateway for the records from an offset on, -1 for all, and
// waits there for one for as long as the age of what is known allows. It
// returns false if the store must be read instead.
func (f *RecordFollower) Since(ctx context.Context, offset int64, age time.Duration) (Records, bool) {
	var got Records
	told := f.readers.tryEach(f.budget, clock.Now().Add(-age), func(ip string, hold time.Duration) (ok bool) {
		got, ok = f.ask(ctx, ip, offset, hold)
		return ok
	})
	if told {
		return got, true
	}
	if f.from != "" {
		f.log.Info("records read from the store", "before", f.from, "offset", offset)
		f.from = ""
	}
	return Records{}, false
}

func (f *RecordFollower) ask(ctx context.Context, ip string, offset int64, hold time.Duration) (Records, bool) {
	var got sharedRecords
	query := url.Values{"from": {strconv.FormatInt(offset, 10)}}
	if !f.readers.ask(ctx, ip, pathRecords, query, hold, f.budget.Relay(), &got) {
		return Records{}, false
	}
	age := time.Duration(got.AgeMS) * time.Millisecond
	if got.Behind || got.Next < offset || f.budget.Hold(age) <= 0 {
		f.readers.leave(ip, clock.Now().Add(avoidFor))
		f.log.Info("records of a gateway too old", "gateway", ip, "age_ms", got.AgeMS, "offset", offset, "theirs", got.Next)
		return Records{}, false
	}
	if f.from != ip {
		f.log.Info("records taken from a gateway", "gateway", ip, "age_ms", got.AgeMS, "offset", offset)
	}
	f.from = ip
	return Records{Newest: got.Newest, Next: got.Next, Confirmed: clock.Now().Add(-age)}, true
}
