// SPDX-License-Identifier: Apache-2.0

// Package eventlog is a client for the platform's log service, an ordered,
// append-only log with consecutive offsets. State that all processes must
// agree on, or that must be durable, is written to the log as a Record; the
// order of offsets is the order of events.
//
// Client implements the service's protocol. Gateways relay reads of the log in
// the same protocol, so a Client can read from the service or from a gateway.
// Commit appends a record and retries under the same record id until the
// record has been applied. A record therefore takes effect at most once, even
// if a response is lost.
package eventlog

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/call"
)

// Names of the streams in the log service.
const (
	// ConfigStream holds the records from which package state builds the state.
	ConfigStream = "mintlift-config"
	// CheckpointStream holds checkpoints of that state.
	CheckpointStream = "mintlift-checkpoints"
)

// Schema is the schema version of the records that this release writes, and the
// highest that it reads.
const Schema = 1

// Errors of reads and of Commit.
const (
	// ErrGone is returned by Client.Read if the requested offset is below the
	// first retained one.
	ErrGone = errors.ConstError("log records have been removed")
	// ErrEraChanged means that the log was restored from an older copy. Its
	// offsets may now refer to records other than the ones that were applied.
	ErrEraChanged = errors.ConstError("log came back from an older copy")
	// ErrOutcomeUnknown means that the record may or may not be in the log.
	ErrOutcomeUnknown = errors.ConstError("log did not confirm the record")
	// ErrUnavailable means that the record is not in the log: no attempt to
	// append it reached the log or was accepted by it.
	ErrUnavailable = errors.ConstError("log service is not available")
)

// Kind is the type of a record; it determines the type of its body.
type Kind string

// Record is one entry of the configuration stream.
type Record struct {
	// Offset is assigned by the log.
	Offset int64 `json:"-"`
	// ID is the idempotency key of the record: a later record with the same id
	// has no effect.
	ID     string `json:"id"`
	Schema int    `json:"schema"`
	Kind   Kind   `json:"kind"`
	// At is the time of writing by the writer's clock, in Unix milliseconds.
	At int64 `json:"at"`
	// By is the name of the operator or process that wrote the record.
	By   string          `json:"by,omitempty"`
	Body json.RawMessage `json:"body"`
}

// NewRecord returns a record of the current schema with a random id. It fails
// if body cannot be encoded as JSON.
func NewRecord(kind Kind, by string, at time.Time, body any) (Record, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return Record{}, errors.Trace(err)
	}
	return Record{ID: uuid.NewString(), Schema: Schema, Kind: kind, At: at.UnixMilli(), By: by, Body: b}, nil
}

// Entry is a record as the log service returns it.
type Entry struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// First is the lowest offset that is retained. Next is the offset that the
	// next appended record gets.
	First int64 `json:"first"`
	Next  int64 `json:"next"`
	// Era is incremented each time the log is restored from an older copy. The
	// restored log assigns some offsets a second time, so an offset is unique only
	// within an era.
	Era int64 `json:"era,omitempty"`
	// AgeMS is the time in milliseconds since a relay last read the log; the log
	// service omits it.
	AgeMS int64 `json:"age_ms,omitempty"`
	// BoxesTag is the entity tag of a relay's box list; the log service omits it.
	BoxesTag string  `json:"boxes_tag,omitempty"`
	Records  []Entry `json:"records"`
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Client calls the log service, or a gateway that relays it.
type Client struct {
	Call *call.Client
	// Address is the host:port of the service.
	Address string
}

// Limits of a Client.
const (
	// pageLimit is the maximum number of records that a read returns.
	pageLimit = 500
	// retryBackoffMin and retryBackoffMax bound the delay before Commit appends a
	// record again.
	retryBackoffMin = 200 * time.Millisecond
	retryBackoffMax = 3 * time.Second
)

// Read returns the records of a stream at offset from and above, at most
// pageLimit. If there is no such record, the service waits up to wait for one
// before it responds with an empty page. If from is below the first retained
// offset, the error is ErrGone and the page contains First and Next.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", c.url(stream), from, pageLimit, wait.Milliseconds())
	var p Page
	err := c.Call.JSON(ctx, http.MethodGet, url, nil, &p)
	var se *call.StatusError
	if errors.As(err, &se) && se.Code == http.StatusGone {
		if decodeErr := json.Unmarshal([]byte(se.Body), &p); decodeErr != nil {
			return p, errors.Annotate(decodeErr, "log's answer about removed records")
		}
		return p, errors.WithType(err, ErrGone)
	}
	return p, err
}

// Append appends data to a stream in a single attempt and returns its offset.
// After an error the data may have been appended nevertheless; see Commit.
func (c *Client) Append(ctx context.Context, stream string, data any) (int64, error) {
	var response AppendResponse
	err := c.Call.JSON(ctx, http.MethodPost, c.url(stream), data, &response)
	return response.Offset, err
}

// url returns the URL of a stream's records.
func (c *Client) url(stream string) string {
	return c.Call.URL(c.Address, "/streams/"+stream+"/records")
}

// AppliedChecker reports whether the record with an id was read back from the
// log and applied to the local state.
type AppliedChecker interface {
	Applied(id string) bool
}

// Commit appends r and waits until applied reports its id. After a failed
// append or a lost response it appends r again under the same id, with
// exponential backoff, until ctx ends. Only the first record with an id takes
// effect. When ctx ends, the error is ErrUnavailable if r is certainly not in
// the log, and ErrOutcomeUnknown if r may be in it. For a 4xx response other
// than 429, Commit returns an error at once.
func Commit(ctx context.Context, c *Client, applied AppliedChecker, r Record) error {
	maybeWritten, backoff := false, retryBackoffMin
	for {
		_, err := c.Append(ctx, ConfigStream, r)
		if err == nil {
			return waitApplied(ctx, applied, r.ID)
		}
		if !notWritten(err) {
			maybeWritten = true
		}
		if status := call.Status(err); status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return errors.Annotatef(err, "log refuses record %s", r.ID)
		}
		select {
		case <-ctx.Done():
			return commitOutcome(applied, r.ID, maybeWritten, err)
		case <-time.After(backoff):
			backoff = min(2*backoff, retryBackoffMax)
		}
		if applied.Applied(r.ID) {
			return nil
		}
	}
}

// notWritten reports whether an append that failed with err certainly did not
// add the record to the log.
func notWritten(err error) bool {
	if errors.Is(err, call.ErrNotSent) {
		return true
	}
	status := call.Status(err)
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// waitApplied polls until the record with this id is applied. The record is in
// the log already. If ctx ends first, waitApplied returns ErrOutcomeUnknown,
// since the effect of the record is not known.
func waitApplied(ctx context.Context, applied AppliedChecker, id string) error {
	const pollInterval = 5 * time.Millisecond
	for !applied.Applied(id) {
		select {
		case <-ctx.Done():
			return errors.WithType(errors.Errorf("record %s stands in the log but has not come back", id), ErrOutcomeUnknown)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// commitOutcome returns the result of a Commit whose ctx ended: nil if the record
// was applied after all, ErrOutcomeUnknown if an attempt may have written it, and
// ErrUnavailable otherwise. cause is the error of the last attempt.
func commitOutcome(applied AppliedChecker, id string, maybeWritten bool, cause error) error {
	switch {
	case applied.Applied(id):
		return nil
	case maybeWritten:
		return errors.WithType(errors.Annotatef(cause, "record %s", id), ErrOutcomeUnknown)
	default:
		return errors.WithType(errors.Annotatef(cause, "record %s", id), ErrUnavailable)
	}
}
