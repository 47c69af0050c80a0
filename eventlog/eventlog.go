// SPDX-License-Identifier: Apache-2.0

// Package eventlog is mintlift's side of the platform's log service. What
// must be agreed or kept is a Record on the log; the order of offsets is
// the order in which everything happened.
//
// Client speaks the service's protocol. Append settles an append whose
// answer was lost by looking for the record's id, so that a record counts
// once however often it was sent. Reader yields records in offset order and
// reports a gap instead of skipping it. The same protocol is served by
// gateways as a relay, so a Client can read from either.
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

// Streams of the log service.
const (
	// ConfigStream holds the records that the state is folded from.
	ConfigStream = "mintlift-config"
	// CheckpointStream holds checkpoints of the state.
	CheckpointStream = "mintlift-checkpoints"
)

// Schema is the number that records of this release carry.
const Schema = 1

// Errors of this package.
const (
	// ErrGone says that the offsets asked for have left the log's retention.
	ErrGone = errors.ConstError("log records have been removed")
	// ErrOtherEra says that the log has come back from an older copy: its offsets
	// are those of another history.
	ErrOtherEra = errors.ConstError("log came back from an older copy")
	// ErrUnsettled says that a record may or may not stand in the log.
	ErrUnsettled = errors.ConstError("log did not confirm the record")
	// ErrUnavailable says that the record does not stand in the log: every
	// attempt was refused before it could take effect.
	ErrUnavailable = errors.ConstError("log service is not available")
)

// Kind names what a record says.
type Kind string

// Record is one entry of the configuration stream.
type Record struct {
	// Offset is given by the log.
	Offset int64 `json:"-"`
	// ID identifies the record; a second record with the same id counts for
	// nothing.
	ID     string `json:"id"`
	Schema int    `json:"schema"`
	Kind   Kind   `json:"kind"`
	// At is the writer's clock in Unix milliseconds. Only expiry uses it.
	At int64 `json:"at"`
	// By names the operator or process that wrote the record.
	By   string          `json:"by,omitempty"`
	Body json.RawMessage `json:"body"`
}

// NewRecord returns a record with a fresh id.
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

// Page is an answer of the log service to a read.
type Page struct {
	// First is the lowest offset still kept; Next is the one after the last.
	First int64 `json:"first"`
	Next  int64 `json:"next"`
	// Era rises when the log comes back from an older copy and gives offsets out
	// again.
	Era int64 `json:"era,omitempty"`
	// AgeMS is how long ago a relay itself heard the log; the log service
	// leaves it out.
	AgeMS int64 `json:"age_ms,omitempty"`
	// BoxesTag is the tag of the box list that a relay has.
	BoxesTag string  `json:"boxes_tag,omitempty"`
	Records  []Entry `json:"records"`
}

// Appended is an answer of the log service to an append.
type Appended struct {
	Offset int64 `json:"offset"`
}

// Client speaks to the log service, or to a gateway that relays it.
type Client struct {
	Call *call.Client
	// Address is the IP and port of the service.
	Address string
}

// Bounds of a read.
const (
	pageLimit     = 500
	retryPause    = 200 * time.Millisecond
	retryPauseMax = 3 * time.Second
)

// Read returns the records from offset on; it waits up to wait for one.
// ErrGone says that from lies before the first offset kept; the page then
// carries First and Next.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", c.url(stream), from, pageLimit, wait.Milliseconds())
	var p Page
	err := c.Call.JSON(ctx, http.MethodGet, url, nil, &p)
	var se *call.StatusError
	if errors.As(err, &se) && se.Code == http.StatusGone {
		if bad := json.Unmarshal([]byte(se.Body), &p); bad != nil {
			return p, errors.Annotate(bad, "log's answer about removed records")
		}
		return p, errors.WithType(err, ErrGone)
	}
	return p, err
}

// Append adds data once, without settling a lost answer.
func (c *Client) Append(ctx context.Context, stream string, data any) (int64, error) {
	var a Appended
	err := c.Call.JSON(ctx, http.MethodPost, c.url(stream), data, &a)
	return a.Offset, err
}

func (c *Client) url(stream string) string {
	return c.Call.URL(c.Address, "/streams/"+stream+"/records")
}

// Settler tells whether a record with this id has been applied, as the
// state that follows the log does.
type Settler interface {
	Applied(id string) bool
}

// Commit appends r until its id is seen by the settler, and no longer than
// ctx lasts. An answer that was lost is never guessed at: the record is
// sent again under the same id, and the log's order decides which counts.
// ErrUnavailable says that it certainly does not stand; ErrUnsettled that
// this is not known.
func Commit(ctx context.Context, c *Client, s Settler, r Record) error {
	sent, pause := false, retryPause
	for {
		_, err := c.Append(ctx, ConfigStream, r)
		if err == nil {
			return waitApplied(ctx, s, r.ID)
		}
		if !refused(err) {
			sent = true
		}
		if status := call.Status(err); status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return errors.Annotatef(err, "log refuses record %s", r.ID)
		}
		select {
		case <-ctx.Done():
			return unsettled(s, r.ID, sent, err)
		case <-time.After(pause):
			pause = min(2*pause, retryPauseMax)
		}
		if s.Applied(r.ID) {
			return nil
		}
	}
}

// refused reports whether the log certainly did not take the record.
func refused(err error) bool {
	if errors.Is(err, call.ErrNotSent) {
		return true
	}
	status := call.Status(err)
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func waitApplied(ctx context.Context, s Settler, id string) error {
	const step = 5 * time.Millisecond
	for !s.Applied(id) {
		select {
		case <-ctx.Done():
			return errors.WithType(errors.Errorf("record %s stands in the log but has not come back", id), ErrUnsettled)
		case <-time.After(step):
		}
	}
	return nil
}

func unsettled(s Settler, id string, sent bool, cause error) error {
	switch {
	case s.Applied(id):
		return nil
	case sent:
		return errors.WithType(errors.Annotatef(cause, "record %s", id), ErrUnsettled)
	default:
		return errors.WithType(errors.Annotatef(cause, "record %s", id), ErrUnavailable)
	}
}
