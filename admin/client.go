// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/intent"
	mcall "github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/workspace"
)

// Client is a client of the administration API. Errors of the API are returned as
// *Error.
type Client struct {
	Call    *mcall.Client
	Address string
}

// NewClient returns a client for the gateway at address, with an operator's
// key.
func NewClient(address, key string, o mcall.Options) *Client {
	o.Token = func() string { return key }
	return &Client{Call: mcall.New("admin", o), Address: address}
}

// do calls the API. It sends in as JSON, unless in is nil, and decodes the response
// into out, unless out is nil. Errors are of type *Error.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	err := c.Call.JSON(ctx, method, c.Call.URL(c.Address, Prefix+path), in, out)
	var se *mcall.StatusError
	if !errors.As(err, &se) {
		if err != nil {
			return Errorf(CodeUnavailable, "the gateway does not answer: %v", err)
		}
		return nil
	}
	var body errorBody
	if json.Unmarshal([]byte(se.Body), &body) == nil && body.Error != nil {
		return body.Error
	}
	return Errorf(CodeUnavailable, "the gateway answers %v", se)
}

// Status returns the status of the gateway.
func (c *Client) Status(ctx context.Context) (out Status, err error) {
	err = c.do(ctx, http.MethodGet, "/status", nil, &out)
	return out, err
}

// Boxes lists the boxes with the status of their processes.
func (c *Client) Boxes(ctx context.Context) (out []BoxStatus, err error) {
	err = c.do(ctx, http.MethodGet, "/boxes", nil, &out)
	return out, err
}

// Workspaces lists the workspaces by name, without keys.
func (c *Client) Workspaces(ctx context.Context) (out []workspace.Workspace, err error) {
	err = c.do(ctx, http.MethodGet, "/workspaces", nil, &out)
	return out, err
}

// SetWorkspace adds or changes a workspace and returns it without its key.
func (c *Client) SetWorkspace(ctx context.Context, name string, w WorkspaceChange) (out workspace.Workspace, err error) {
	err = c.do(ctx, http.MethodPut, "/workspaces/"+url.PathEscape(name), w, &out)
	return out, err
}

// RemoveWorkspace removes a workspace.
func (c *Client) RemoveWorkspace(ctx context.Context, name string) error {
	return c.do(ctx, http.MethodDelete, "/workspaces/"+url.PathEscape(name), nil, nil)
}

// SetOperator adds an operator or changes its key.
func (c *Client) SetOperator(ctx context.Context, name, key string) error {
	return c.do(ctx, http.MethodPut, "/operators/"+url.PathEscape(name), OperatorChange{Key: key}, nil)
}

// CreateIntent proposes a plan for an intent.
func (c *Client) CreateIntent(ctx context.Context, in intent.Intent) (out *intent.Plan, err error) {
	err = c.do(ctx, http.MethodPost, "/intents", in, &out)
	return out, err
}

// Plans lists the plans, oldest first.
func (c *Client) Plans(ctx context.Context) (out []*intent.Plan, err error) {
	err = c.do(ctx, http.MethodGet, "/plans", nil, &out)
	return out, err
}

// Plan returns one plan.
func (c *Client) Plan(ctx context.Context, id string) (out *intent.Plan, err error) {
	err = c.do(ctx, http.MethodGet, "/plans/"+url.PathEscape(id), nil, &out)
	return out, err
}

// Progress returns the progress of a plan.
func (c *Client) Progress(ctx context.Context, id string) (out *Progress, err error) {
	err = c.do(ctx, http.MethodGet, "/plans/"+url.PathEscape(id)+"/progress", nil, &out)
	return out, err
}

// Confirm confirms a proposed plan. After a conflict the returned *Error may
// carry a new plan for the same intent.
func (c *Client) Confirm(ctx context.Context, id string) (out *intent.Plan, err error) {
	err = c.do(ctx, http.MethodPost, "/plans/"+url.PathEscape(id)+"/confirm", nil, &out)
	return out, err
}

// Reject rejects a proposed plan.
func (c *Client) Reject(ctx context.Context, id string) (out *intent.Plan, err error) {
	err = c.do(ctx, http.MethodPost, "/plans/"+url.PathEscape(id)+"/reject", nil, &out)
	return out, err
}

// Cancel cancels a confirmed plan. The plan that was in force before takes effect again.
func (c *Client) Cancel(ctx context.Context, id string) (out *intent.Plan, err error) {
	err = c.do(ctx, http.MethodPost, "/plans/"+url.PathEscape(id)+"/cancel", nil, &out)
	return out, err
}
