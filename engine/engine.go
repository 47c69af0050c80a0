// SPDX-License-Identifier: Apache-2.0

// Package engine is the protocol between a sidecar and the model engine on
// its box, and a client for it. Callers' requests go through the sidecar
// unchanged; this package adds the orders: stage, load and unload, each
// with a fence and the epoch under which the sidecar holds the engine.
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

// Paths of the engine's API.
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
	// HeaderRequest carries the request's id, and comes back with the answer.
	HeaderRequest = "X-Request-Id"
	// HeaderVersion names the version that must answer.
	HeaderVersion = "X-Model-Version"
	// HeaderWorkspace and HeaderPriority say for whom.
	HeaderWorkspace = "X-Workspace"
	HeaderPriority  = "X-Priority"
	// HeaderKey carries the key of a request that is not repeatable.
	HeaderKey = "X-Once-Key"
)

// Headers of any of an engine's answers by which it speaks of itself, as
// backpressure.Fields: how many requests a second it takes, that it is about to end,
// and, with a 503, for how many seconds it wants nothing.
const (
	HeaderLimit    = "X-Limit-Rate"
	HeaderDraining = "X-Draining"
	headerRetry    = "Retry-After"
)

// Signal decodes what an answer says of the engine.
func Signal(status int, h http.Header) backpressure.Signal {
	return backpressure.Fields{Limit: HeaderLimit, Draining: HeaderDraining, RetryAfter: headerRetry}.Decode(status, h)
}

// ErrStale says that the engine has seen a newer holder or fence.
const ErrStale = errors.ConstError("engine refuses a stale order")

// Order is a load or an unload.
type Order struct {
	weights.Ref
	Epoch int64 `json:"epoch"`
	Fence int64 `json:"fence"`
}

// Claim is the answer to a claim: the epoch under which the claimer now
// holds the engine, and the highest fence that the engine has seen.
type Claim struct {
	Epoch int64 `json:"epoch"`
	Fence int64 `json:"fence"`
}

// Loaded is a version in the engine's memory.
type Loaded struct {
	weights.Ref
	Bytes          int64          `json:"bytes"`
	ManifestDigest weights.Digest `json:"manifest_digest"`
	Fence          int64          `json:"fence"`
}

// Staged is what the engine holds of a version that it has not loaded yet,
// or that it can pass on.
type Staged struct {
	weights.Ref
	ManifestDigest weights.Digest `json:"manifest_digest"`
	Chunks         []int          `json:"chunks"`
}

// State is what an engine says about itself.
type State struct {
	Epoch        int64    `json:"epoch"`
	Fence        int64    `json:"fence"`
	ChecksFences bool     `json:"checks_fences"`
	MemoryBytes  int64    `json:"memory_bytes"`
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	Slots        int      `json:"slots"`
	Loaded       []Loaded `json:"loaded"`
	Staged       []Staged `json:"staged"`
}

// Client gives orders to one engine.
type Client struct {
	Call    *call.Client
	Address string
}

// State asks the engine about itself.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.Call.JSON(ctx, http.MethodGet, c.Call.URL(c.Address, PathState), nil, &s)
	return s, err
}

// Claim takes hold of the engine: orders under an older epoch are refused
// from now on by an engine that checks.
func (c *Client) Claim(ctx context.Context) (Claim, error) {
	var out Claim
	err := c.Call.JSON(ctx, http.MethodPost, c.Call.URL(c.Address, PathClaim), nil, &out)
	return out, err
}

// Stage prepares the engine's memory for a version's chunks.
func (c *Client) Stage(ctx context.Context, m *weights.Manifest) error {
	return c.Call.JSON(ctx, http.MethodPut, c.staging(m.Ref, "/manifest"), m, nil)
}

// Put writes a chunk of size bytes from r into staging.
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

// Get opens a staged chunk.
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

// Drop frees a version's staging.
func (c *Client) Drop(ctx context.Context, ref weights.Ref) error {
	return c.Call.JSON(ctx, http.MethodDelete, c.staging(ref, ""), nil, nil)
}

// Load orders the engine to load what is staged.
func (c *Client) Load(ctx context.Context, o Order) error { return c.order(ctx, PathLoad, o) }

// Unload orders the engine to drop a version from its memory.
func (c *Client) Unload(ctx context.Context, o Order) error { return c.order(ctx, PathUnload, o) }

func (c *Client) order(ctx context.Context, path string, o Order) error {
	err := c.Call.JSON(ctx, http.MethodPost, c.Call.URL(c.Address, path), o, nil)
	if call.Status(err) == http.StatusConflict {
		return errors.WithType(err, ErrStale)
	}
	return err
}

func (c *Client) staging(ref weights.Ref, rest string) string {
	return c.Call.URL(c.Address, "/control/staging/"+ref.Model+"/"+ref.Version+rest)
}
