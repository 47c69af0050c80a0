// SPDX-License-Identifier: Apache-2.0

// Package call is the HTTP client for calls between mintlift's processes. It uses
// go-zero's httpc with its own transport, adds JSON helpers, and returns ErrNotSent for
// requests that were certainly not sent.
//
// The circuit breaker of httpc is disabled, since it would reject calls by its own
// rules; package route decides which endpoints receive calls.
package call

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/mintlift/mintlift/internal/meter"
	"github.com/mintlift/mintlift/internal/network"
)

// Limits of the transport and of bodies that are read into memory.
const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 60 * time.Second
	maxIdlePerHost = 64
	// connBufferBytes is the size of each read and write buffer. It is small
	// because a gateway or a sidecar has connections to hundreds of processes.
	connBufferBytes   = 8 << 10
	maxErrorBodyBytes = 64 << 10
	maxJSONBodyBytes  = 64 << 20
	headerRetryAfter  = "Retry-After"
	contentTypeJSON   = "application/json"
)

// ErrNotSent is the type of the error if no byte of a request was written.
const ErrNotSent = errors.ConstError("request was not sent")

// StatusError is a response with a status of 300 or above.
type StatusError struct {
	Code int
	// Body is the response body, at most maxErrorBodyBytes of it.
	Body string
	// RetryAfter is the value of the Retry-After header; 0 if the header is missing or
	// is not a number of seconds.
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, strings.TrimSpace(e.Body))
}

// Status returns the status code of a StatusError in err's chain, or 0.
func Status(err error) int {
	var se *StatusError
	if errors.As(err, &se) {
		return se.Code
	}
	return 0
}

// Client sends requests. It is safe for concurrent use. Use New.
type Client struct {
	service httpc.Service
	http    *http.Client
	token   func() string
	scheme  string
}

// Options configure a Client. The zero value is a client for plain HTTP without
// authentication.
type Options struct {
	// TLS, if set, configures TLS and makes URL return https URLs.
	TLS *tls.Config
	// Token, if set, returns the bearer token that authenticates this process. It is
	// called for each request.
	Token func() string
	// NoReuse opens a new connection for each request. A client for non-idempotent
	// requests needs this option, because net/http's transport may retry a request by
	// itself on a reused connection.
	NoReuse bool
	// Meter, if set, counts the bytes of the connections.
	Meter *meter.Meter
	// Network opens the connections; nil stands for the operating system's.
	Network network.Network
}

// New returns a client. name is the service name of its trace spans.
func New(name string, o Options) *Client {
	tr := &http.Transport{
		DialContext:            o.Meter.Dial(network.OrSystem(o.Network).Dialer(dialTimeout, 0)),
		TLSClientConfig:        o.TLS,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      o.NoReuse,
		WriteBufferSize:        connBufferBytes,
		ReadBufferSize:         connBufferBytes,
		MaxResponseHeaderBytes: network.MaxResponseHeadBytes,
	}
	breaker.NoBreakerFor(name)
	hc := &http.Client{Transport: tr}
	c := &Client{service: httpc.NewServiceWithClient(name, hc), http: hc, token: o.Token, scheme: "http"}
	if o.TLS != nil {
		c.scheme = "https"
	}
	return c
}

// URL returns the URL of path at address, a host and port.
func (c *Client) URL(address, path string) string { return c.scheme + "://" + address + path }

// Do sends r. The caller must close the response body. If the connection could not
// be established, the error has the type ErrNotSent.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("User-Agent", "") // omits the header to save bytes
	if c.token != nil {
		r.Header.Set("Authorization", "Bearer "+c.token())
	}
	resp, err := c.service.DoRequest(r)
	if err == nil {
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, errors.WithType(err, ErrNotSent)
	}
	return nil, err
}

// JSON sends in as JSON (nil for no body) and decodes the response, at most
// maxJSONBodyBytes, into out (nil to discard it). A status of 300 or above is
// returned as a *StatusError.
func (c *Client) JSON(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Trace(err)
	}
	if in != nil {
		r.Header.Set("Content-Type", contentTypeJSON)
	}
	resp, err := c.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return ReadStatusError(resp)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxJSONBodyBytes)).Decode(out)
}

// ErrNotModified reports that the resource still has the given entity tag.
const ErrNotModified = errors.ConstError("not modified")

// JSONIfChanged sends a conditional GET with the entity tag of the last response. If
// the resource has changed, it decodes the response into out and returns the new
// entity tag; else it returns tag and ErrNotModified. An empty tag makes the GET
// unconditional.
func (c *Client) JSONIfChanged(ctx context.Context, url, tag string, out any) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", errors.Trace(err)
	}
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	resp, err := c.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified:
		return tag, ErrNotModified
	case resp.StatusCode >= http.StatusMultipleChoices:
		return "", ReadStatusError(resp)
	}
	return resp.Header.Get("ETag"), json.NewDecoder(io.LimitReader(resp.Body, maxJSONBodyBytes)).Decode(out)
}

// Bytes sends b as the body (nil for none) and returns the response body. It returns
// at most limit+1 bytes; more than limit bytes show the caller that the body exceeds
// limit.
func (c *Client) Bytes(ctx context.Context, method, url string, b []byte, limit int64) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, ReadStatusError(resp)
	}
	return io.ReadAll(io.LimitReader(resp.Body, limit+1))
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// ReadStatusError reads a response with an error status into a StatusError. The
// caller must close the response body.
func ReadStatusError(resp *http.Response) *StatusError {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes)) // a truncated body is acceptable; the status is known
	e := &StatusError{Code: resp.StatusCode, Body: string(b)}
	if s, err := strconv.Atoi(resp.Header.Get(headerRetryAfter)); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}
