// SPDX-License-Identifier: Apache-2.0

// Package engine defines the control protocol between a sidecar and the model
// engine on its box, and provides a client for it. The sidecar stages weights in
// the engine, that is, copies them to it before a load, and orders it to load and
// unload versions.
//
// Two numbers in each load or unload order protect against stale orders: the epoch,
// which each claim of the engine by a sidecar renews, and the fence, a fencing token.
// An engine that checks fences rejects an order if it has received a newer one of
// either number.
//
// Requests of callers are not part of this protocol: the sidecar forwards them
// unchanged.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/weights"
)

// Paths of the engine's HTTP API.
const (
	PathState       = "/control/state"
	PathClaim       = "/control/claim"
	PathLoad        = "/control/load"
	PathUnload      = "/control/unload"
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Headers of a request to the engine.
const (
	// HeaderRequest is the id of the request, which the engine returns in its
	// response.
	HeaderRequest = "X-Request-Id"
	// HeaderVersion is, in a request, the model version that must run it, and in a
	// response, the model version that ran the request.
	HeaderVersion = "X-Model-Version"
	// HeaderWorkspace and HeaderPriority are the caller's workspace and its priority.
	HeaderWorkspace = "X-Workspace"
	HeaderPriority  = "X-Priority"
	// HeaderKey is the idempotency key of a request that must run at most once.
	HeaderKey = "X-Once-Key"
)

// Headers of an engine's responses that carry backpressure signals.
const (
	// HeaderLimit is the rate limit in requests per second.
	HeaderLimit = "X-Limit-Rate"
	// HeaderDraining reports whether the engine is draining.
	HeaderDraining = "X-Draining"
	// headerRetryAfter is, with status 503, the seconds until the next request may be
	// sent.
	headerRetryAfter = "Retry-After"
)

// Signal decodes the backpressure signals of a response from its status and headers.
func Signal(status int, h http.Header) backpressure.Signal {
	return backpressure.Fields{Limit: HeaderLimit, Draining: HeaderDraining, RetryAfter: headerRetryAfter}.Decode(status, h)
}

// ErrStale reports that the engine rejected an order because it has already received
// a newer epoch or fence.
const ErrStale = errors.ConstError("engine rejected a stale order")

// Order is the body of a load or unload request. Epoch and Fence identify the request as
// stale if the engine has received a higher one of either.
type Order struct {
	weights.Ref
	Epoch int64 `json:"epoch"`
	Fence int64 `json:"fence"`
}

// Claim is the response to a claim, the call with which a sidecar takes control of the
// engine.
type Claim struct {
	Epoch int64 `json:"epoch"` // the epoch that the claim started
	Fence int64 `json:"fence"` // the highest fence that the engine has received
}

// Loaded is a version that the engine has loaded.
type Loaded struct {
	weights.Ref
	Bytes          int64          `json:"bytes"` // size of the weights
	ManifestDigest weights.Digest `json:"manifest_digest"`
	Fence          int64          `json:"fence"` // fence of the order that loaded the version
}

// Staged lists the staged chunks of a version. The engine loads a version from its
// staged chunks, and sidecars copy them to other boxes.
type Staged struct {
	weights.Ref
	ManifestDigest weights.Digest `json:"manifest_digest"`
	Chunks         []int          `json:"chunks"` // indexes of the chunks
}

// State is the state that an engine reports.
type State struct {
	Epoch        int64    `json:"epoch"`         // the newest that the engine has received
	Fence        int64    `json:"fence"`         // the highest that the engine has received
	ChecksFences bool     `json:"checks_fences"` // whether the engine rejects stale orders
	MemoryBytes  int64    `json:"memory_bytes"`
	Running      int      `json:"running"` // requests
	Waiting      int      `json:"waiting"` // requests
	Slots        int      `json:"slots"`
	Loaded       []Loaded `json:"loaded"`
	Staged       []Staged `json:"staged"`
}

// Client is a client for the control API of one engine.
type Client struct {
	Call    *call.Client
	Address string // host and port of the engine
}

// State returns the state of the engine.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.Call.JSON(ctx, http.MethodGet, c.Call.URL(c.Address, PathState), nil, &s)
	return s, err
}

// Claim claims the engine and starts a new epoch. An engine that checks fences
// rejects orders of older epochs from then on.
func (c *Client) Claim(ctx context.Context) (Claim, error) {
	var out Claim
	err := c.Call.JSON(ctx, http.MethodPost, c.Call.URL(c.Address, PathClaim), nil, &out)
	return out, err
}

// Stage sends the manifest of a version, so that the engine can receive its chunks.
func (c *Client) Stage(ctx context.Context, m *weights.Manifest) error {
	return c.Call.JSON(ctx, http.MethodPut, c.staging(m.Ref, "/manifest"), m, nil)
}

// Put stages a chunk of size bytes, read from r.
func (c *Client) Put(ctx context.Context, ref weights.Ref, chunk int, r io.Reader, size int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.staging(ref, fmt.Sprintf("/chunks/%d", chunk)), r)
	if err != nil {
		return errors.Trace(err)
	}
	req.ContentLength = size
	resp, err := c.Call.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return call.ReadStatusError(resp)
	}
	return nil
}

// Get returns the contents of a staged chunk. The caller must close the reader.
func (c *Client) Get(ctx context.Context, ref weights.Ref, chunk int) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.staging(ref, fmt.Sprintf("/chunks/%d", chunk)), bytes.NewReader(nil))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := c.Call.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer resp.Body.Close()
		return nil, call.ReadStatusError(resp)
	}
	return resp.Body, nil
}

// Drop removes the staged chunks of a version.
func (c *Client) Drop(ctx context.Context, ref weights.Ref) error {
	return c.Call.JSON(ctx, http.MethodDelete, c.staging(ref, ""), nil, nil)
}

// Load orders the engine to load a staged version. The error has the type ErrStale
// if the engine rejects the order as stale.
func (c *Client) Load(ctx context.Context, o Order) error { return c.order(ctx, PathLoad, o) }

// Unload orders the engine to unload a version. The error has the type ErrStale if
// the engine rejects the order as stale.
func (c *Client) Unload(ctx context.Context, o Order) error { return c.order(ctx, PathUnload, o) }

// order sends a load or unload command to a path. A command that the engine rejects as
// stale, with 409, is an error of type ErrStale.
func (c *Client) order(ctx context.Context, path string, o Order) error {
	err := c.Call.JSON(ctx, http.MethodPost, c.Call.URL(c.Address, path), o, nil)
	if call.Status(err) == http.StatusConflict {
		return errors.WithType(err, ErrStale)
	}
	return err
}

// staging returns the URL of a version's staged weights, or of a part of them.
func (c *Client) staging(ref weights.Ref, subpath string) string {
	return c.Call.URL(c.Address, "/control/staging/"+ref.Model+"/"+ref.Version+subpath)
}
