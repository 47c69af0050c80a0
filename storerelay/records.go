// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/clock"
)

// Record is the operator's newest record of a key; see storewatch.Record.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// Records are the operator's records that a process holds, from a position on.
type Records struct {
	// Newest holds the newest record of each key, sorted by offset. It contains the
	// records from the requested position on, or all records if that position is of
	// another era.
	Newest []Record
	// Next is the position to read from next.
	Next history.Position
	// Confirmed is the time at which the store had no records beyond Next.
	Confirmed time.Time
	// Behind is set if another process has reported that it has read further.
	Behind bool
	// Changed is closed when the process that holds the records has read further, also
	// for the first time. It is nil in records received from another process.
	Changed <-chan struct{}
}

// RecordSource provides the operator's records that a gateway holds.
type RecordSource interface {
	// Since returns the records from a position on. Before the first read it returns
	// false, and only Records.Changed is set.
	Since(from history.Position) (Records, bool)
}

// recordsResponse are Records as one gateway sends them to another. Next and Era are
// the offset and era of Records.Next, and AgeMS is the time since Confirmed, in
// milliseconds.
type recordsResponse struct {
	Newest []Record `json:"newest,omitempty"`
	Next   int64    `json:"next"`
	Era    int64    `json:"era,omitempty"`
	AgeMS  int64    `json:"age_ms"`
	Behind bool     `json:"behind,omitempty"`
}

// recordsCache holds the encoded records of the last response. After a change, all
// followers request the same ones at once, and a configuration is large.
type recordsCache struct {
	mu      sync.Mutex
	from    history.Position
	next    history.Position
	encoded json.RawMessage
}

// encode returns the encoded records of a response to a request from a position on.
func (c *recordsCache) encode(from history.Position, records Records) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.from == from && c.next == records.Next {
		return c.encoded, nil
	}
	encoded, err := json.Marshal(records.Newest)
	if err != nil {
		return nil, err
	}
	c.from, c.next, c.encoded = from, records.Next, encoded
	return encoded, nil
}

// encodedResponse is a recordsResponse whose records are encoded already.
type encodedResponse struct {
	recordsResponse
	Newest json.RawMessage `json:"newest,omitempty"`
}

// serveRecords serves a long poll for the operator's records. It responds when the
// position up to which this gateway has read differs from the one in the query, or when
// the requested wait has passed. If this gateway is behind another process, it responds
// at once.
func serveRecords(w http.ResponseWriter, r *http.Request, source RecordSource, cache *recordsCache) {
	from, err := requestedPosition(r.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := clock.Now().Add(requestedWait(r))
	for {
		records, known := source.Since(from)
		timedOut := !clock.Now().Before(end)
		switch {
		case known && (records.Next != from || records.Behind || timedOut):
			writeRecords(w, from, records, cache)
			return
		case timedOut:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !waitForChange(r.Context(), records.Changed, end) {
			return
		}
	}
}

// writeRecords responds with records from a position on.
func writeRecords(w http.ResponseWriter, from history.Position, records Records, cache *recordsCache) {
	newest, err := cache.encode(from, records)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeJSON(w, encodedResponse{
		recordsResponse: recordsResponse{Next: records.Next.Offset, Era: records.Next.Era, AgeMS: clock.Since(records.Confirmed).Milliseconds(), Behind: records.Behind},
		Newest:          newest,
	})
}

// RecordFollower receives the operator's records from a reader gateway: one of the
// gateways of the region that read the store for the others. It is not safe for
// concurrent use.
type RecordFollower struct {
	readers *Readers
	budget  freshness.Budget
	log     logr.Logger
	source  string // IP address of the gateway that sent the last records, or empty
}

// NewRecordFollower returns a follower that requests records from readers. budget
// bounds the time within which the records must take effect.
func NewRecordFollower(readers *Readers, budget freshness.Budget, log logr.Logger) *RecordFollower {
	return &RecordFollower{readers: readers, budget: budget, log: log}
}

// Since makes one long poll at the reader gateways for the records from a position on.
// With history.Unread it requests all records. age is the age of the records that the
// caller holds; it bounds the wait. Since returns false if no gateway has supplied recent
// records.
func (f *RecordFollower) Since(ctx context.Context, from history.Position, age time.Duration) (Records, bool) {
	var got Records
	received := f.readers.tryEach(f.budget, clock.Now().Add(-age), func(ip string, wait time.Duration) (ok bool) {
		got, ok = f.fetch(ctx, ip, from, wait)
		return ok
	})
	if received {
		return got, true
	}
	if f.source != "" {
		f.log.Info("no gateway supplies operator records", "before", f.source, "offset", from.Offset)
		f.source = ""
	}
	return Records{}, false
}

// fetch requests the records from the gateway with the address ip, which may hold the
// request for the duration wait. If the gateway does not respond, or if its records are
// stale or end before the position from, fetch backs off from the gateway and returns
// false.
func (f *RecordFollower) fetch(ctx context.Context, ip string, from history.Position, wait time.Duration) (Records, bool) {
	var got recordsResponse
	if !f.readers.fetch(ctx, ip, pathRecords, positionQuery(from), wait, f.budget.RelayTimeout(), &got) {
		return Records{}, false
	}
	age := time.Duration(got.AgeMS) * time.Millisecond
	next := history.Position{Era: got.Era, Offset: got.Next}
	if got.Behind || next.Before(from) || f.budget.Hold(age) <= 0 {
		f.readers.stale(ip)
		f.log.Info("operator records from gateway too old", "gateway", ip, "age_ms", got.AgeMS, "era", from.Era, "offset", from.Offset, "their_era", got.Era, "theirs", got.Next)
		return Records{}, false
	}
	if f.source != ip {
		f.log.Info("operator records received from gateway", "gateway", ip, "age_ms", got.AgeMS, "offset", from.Offset)
	}
	f.source = ip
	return Records{Newest: got.Newest, Next: next, Confirmed: clock.Now().Add(-age)}, true
}

// FetchRecords requests all operator's records from the gateway with the address ip. If
// the request fails, it logs the error and returns false.
func (r *Readers) FetchRecords(ctx context.Context, ip string) ([]Record, bool) {
	var got recordsResponse
	ok := r.fetch(ctx, ip, pathRecords, positionQuery(history.Unread), 0, callTimeout, &got)
	return got.Newest, ok
}

// Query parameters of a request for records: the offset and era of the position.
const (
	fromField = "from"
	eraField  = "era"
)

// positionQuery returns the query parameters for a position.
func positionQuery(p history.Position) url.Values {
	return url.Values{fromField: {strconv.FormatInt(p.Offset, 10)}, eraField: {strconv.FormatInt(p.Era, 10)}}
}

// requestedPosition parses the position in a query. The era is 0 if missing.
func requestedPosition(query url.Values) (p history.Position, err error) {
	if p.Offset, err = strconv.ParseInt(query.Get(fromField), 10, 64); err != nil {
		return p, err
	}
	if query.Get(eraField) != "" {
		p.Era, err = strconv.ParseInt(query.Get(eraField), 10, 64)
	}
	return p, err
}
