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
	"github.com/mintlift/mintlift/history"
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
	// Newest of each key, by offset, from the position that was asked for, or
	// all if that is of another era.
	Newest []Record
	// Next is up to where they have been read.
	Next history.Position
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
	Since(from history.Position) (Records, bool)
}

// sharedRecords are Records as one gateway tells them to another.
type recordsResponse struct {
	Newest []Record `json:"newest,omitempty"`
	Next   int64    `json:"next"`
	Era    int64    `json:"era,omitempty"`
	AgeMS  int64    `json:"age_ms"`
	Behind bool     `json:"behind,omitempty"`
}

// serveRecords answers as soon as there are records from the offset that the
// asker names, or the time has passed for which it can wait.
func serveRecords(w http.ResponseWriter, r *http.Request, source RecordSource) {
	from, err := requestedPosition(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := clock.Now().Add(requestedWait(r))
	for {
		records, known := source.Since(from)
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		out := recordsResponse{Newest: records.Newest, Next: records.Next.Offset, Era: records.Next.Era, AgeMS: clock.Since(records.Confirmed).Milliseconds(), Behind: records.Behind}
		if records.Next != from || records.Behind || !clock.Now().Before(end) {
			writeJSON(w, out)
			return
		}
		if !waitForChange(r.Context(), records.Changed, end) {
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
	source    string // the IP number of the gateway that told last, or empty
}

// NewRecordFollower returns a follower of readers; budget is within what the
// records must be in force.
func NewRecordFollower(readers *Readers, budget freshness.Budget, log logr.Logger) *RecordFollower {
	return &RecordFollower{readers: readers, budget: budget, log: log}
}

// Since asks a gateway for the records from an offset on, -1 for all, and
// waits there for one for as long as the age of what is known allows. It
// returns false if the store must be read instead.
func (f *RecordFollower) Since(ctx context.Context, from history.Position, age time.Duration) (Records, bool) {
	var got Records
	told := f.readers.tryEach(f.budget, clock.Now().Add(-age), func(ip string, hold time.Duration) (ok bool) {
		got, ok = f.fetch(ctx, ip, from, hold)
		return ok
	})
	if told {
		return got, true
	}
	if f.source != "" {
		f.log.Info("records read from the store", "before", f.source, "offset", from.Offset)
		f.source = ""
	}
	return Records{}, false
}

func (f *RecordFollower) fetch(ctx context.Context, ip string, from history.Position, hold time.Duration) (Records, bool) {
	var got recordsResponse
	if !f.readers.query(ctx, ip, pathRecords, positionQuery(from), hold, f.budget.Relay(), &got) {
		return Records{}, false
	}
	age := time.Duration(got.AgeMS) * time.Millisecond
	next := history.Position{Era: got.Era, Offset: got.Next}
	if got.Behind || next.Before(from) || f.budget.Hold(age) <= 0 {
		f.readers.backOff(ip, clock.Now().Add(backoff))
		f.log.Info("records of a gateway too old", "gateway", ip, "age_ms", got.AgeMS, "era", from.Era, "offset", from.Offset, "their_era", got.Era, "theirs", got.Next)
		return Records{}, false
	}
	if f.source != ip {
		f.log.Info("records taken from a gateway", "gateway", ip, "age_ms", got.AgeMS, "offset", from.Offset)
	}
	f.source = ip
	return Records{Newest: got.Newest, Next: next, Confirmed: clock.Now().Add(-age)}, true
}

// All asks one gateway, by its IP number, for all operator's records that it
// knows.
func (r *Readers) All(ctx context.Context, ip string) ([]Record, bool) {
	var got recordsResponse
	ok := r.query(ctx, ip, pathRecords, positionQuery(history.Unread), 0, callTimeout, &got)
	return got.Newest, ok
}

// Fields of the query for records.
const (
	fromField = "from"
	eraField  = "era"
)

func positionQuery(p history.Position) url.Values {
	return url.Values{fromField: {strconv.FormatInt(p.Offset, 10)}, eraField: {strconv.FormatInt(p.Era, 10)}}
}

// positionAsked reads the position of a query; one without an era is of era 0.
func requestedPosition(query url.Values) (p history.Position, err error) {
	if p.Offset, err = strconv.ParseInt(query.Get(fromField), 10, 64); err != nil {
		return p, err
	}
	if query.Get(eraField) != "" {
		p.Era, err = strconv.ParseInt(query.Get(eraField), 10, 64)
	}
	return p, err
}
