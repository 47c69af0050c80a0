// SPDX-License-Identifier: Apache-2.0

// Package peerlist carries the list of a service's endpoints from gateways to
// sidecars.
//
// A sidecar needs the list when a version is named, and so do all others at
// the same moment. Gateways have it, a second or two old, and one is near: read
// from the store instead, some hundred lists cross the links between regions
// just when the version must.
package peerlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// path of the list; the service is in the query.
const path = "/endpoints"

// Bounds of a call.
const (
	// callTimeout is how long a gateway may take; the next one, or the store,
	// is asked after it.
	callTimeout = 250 * time.Millisecond
	maxAnswer   = 4 << 20
)

// Endpoint is an entry of the list.
type Endpoint struct {
	Address string `json:"address"` // IP:PORT
	Zone    string `json:"zone"`
	// Draining says that the endpoint takes nothing new.
	Draining bool `json:"draining,omitempty"`
}

// Handler serves the lists that list returns; nil stands for a list that is
// not known yet.
func Handler(list func(service string) []Endpoint) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		endpoints := list(r.URL.Query().Get("service"))
		if endpoints == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(endpoints) // a sidecar that left asks again
	})
	return mux
}

// Client asks gateways.
type Client struct{ client *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: callTimeout, KeepAlive: -1}
	return &Client{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// Get returns the list of a service from the first of the gateways, given by
// IP:PORT, that answers.
func (c *Client) Get(ctx context.Context, gateways []string, service string) ([]Endpoint, error) {
	err := error(errors.NotFoundf("gateway"))
	for _, address := range gateways {
		var out []Endpoint
		if out, err = c.get(ctx, address, service); err == nil {
			return out, nil
		}
	}
	return nil, err
}

func (c *Client) get(ctx context.Context, address, service string) ([]Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: url.Values{"service": {service}}.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("gateway %s: status %d", address, response.StatusCode)
	}
	var out []Endpoint
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&out); err != nil {
		return nil, errors.Annotatef(err, "list of gateway %s", address)
	}
	return out, nil
}
