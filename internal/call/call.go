// SPDX-License-Identifier: Apache-2.0

// Package call is the HTTP client of mintlift's processes: go-zero's httpc
// over one transport whose time-outs and pools are chosen here, with JSON
// helpers and errors that say whether a request can have been sent.
//
// httpc's breaker is switched off by name: it would refuse by itself, and
// package route decides who is asked.
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
)

// Bounds of the shared transport.
const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 60 * time.Second
	maxIdlePerHost = 64
	// connBuffer is small, because a gateway or a sidecar holds a connection
	// to hundreds of others.
	connBuffer      = 8 << 10
	maxErrorBody    = 64 << 10
	maxJSONBody     = 64 << 20
	headerRetry     = "Retry-After"
	contentTypeJSON = "application/json"
)

// ErrNotSent says that no byte of the request was written.
const ErrNotSent = errors.ConstError("request was not sent")

// StatusError is an answer with a status of 300 or above.
type StatusError struct {
	Code       int
	Body       string
	RetryAfter time.Duration
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, strings.TrimSpace(e.Body))
}

// Status returns the status code that err carries, or 0.
func Status(err error) int {
	var se *StatusError
	if errors.As(err, &se) {
		return se.Code
	}
	return 0
}

// Client sends requests. Use New.
type Client struct {
	service httpc.Service
	http    *http.Client
	token   func() string
	scheme  string
}

// Options configure a Client. The zero value is a plain client.
type Options struct {
	// TLS, when set, is used for https addresses and makes URL say https.
	TLS *tls.Config
	// Token, when set, returns the key that authenticates this process.
	Token func() string
	// NoReuse opens a connection for each request. The transport of net/http
	// repeats a request by itself only on a reused connection, so this is
	// what a request that is not repeatable needs.
	NoReuse bool
	// Meter, when set, counts the connections' bytes.
	Meter *meter.Meter
}

// New returns a client whose spans carry name.
func New(name string, o Options) *Client {
	tr := &http.Transport{
		DialContext:         o.Meter.Dial(&net.Dialer{Timeout: dialTimeout}),
		TLSClientConfig:     o.TLS,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   o.NoReuse,
		WriteBufferSize:     connBuffer,
		ReadBufferSize:      connBuffer,
	}
	breaker.NoBreakerFor(name)
	hc := &http.Client{Transport: tr}
	c := &Client{service: httpc.NewServiceWithClient(name, hc), http: hc, token: o.Token, scheme: "http"}
	if o.TLS != nil {
		c.scheme = "https"
	}
	return c
}

// URL joins an address and a path.
func (c *Client) URL(address, path string) string { return c.scheme + "://" + address + path }

// Do sends r. The caller closes the answer's body. A failure before the
// first byte has the type ErrNotSent.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("User-Agent", "") // a few bytes less on every call between processes
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

// JSON sends in (nil for no body) and decodes the answer into out (nil to
// ignore it).
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
	return json.NewDecoder(io.LimitReader(resp.Body, maxJSONBody)).Decode(out)
}

// ErrNotModified says that what was asked for still has the given tag.
const ErrNotModified = errors.ConstError("not modified")

// JSONIfChanged is JSON for a GET that asks only for what does not have the
// tag any more; it returns the new tag, or ErrNotModified.
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
	return resp.Header.Get("ETag"), json.NewDecoder(io.LimitReader(resp.Body, maxJSONBody)).Decode(out)
}

// Bytes sends a body of b (nil for none) and reads the whole answer, at
// most limit bytes.
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

// CloseIdle closes connections that carry no request.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// ReadStatusError turns an answer with an error status into a StatusError.
func ReadStatusError(resp *http.Response) *StatusError {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody)) // a cut body still leaves the status
	e := &StatusError{Code: resp.StatusCode, Body: string(b)}
	if s, err := strconv.Atoi(resp.Header.Get(headerRetry)); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}
