// SPDX-License-Identifier: Apache-2.0

// Package storerelay lets the processes of a region share what two of its
// gateways read from the store: the list of endpoints, and the operator's
// records.
//
// A sidecar needs the list when a version is named, and so do all others at
// the same moment: read from the store, some hundred lists would cross the
// links between regions just when the version must. A gateway needs each
// change within a second; read by each of fifty, list and configurations would
// be most of what the store is asked for, and a series of large configurations
// would fill the links for seconds.
//
// Who does not get an answer, or one that is too old, reads the store itself.
package storerelay

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/tcpconn"
)

// Paths of the endpoints of the service in the query, of the whole list, and
// of the operator's records.
const (
	pathService = "/endpoints"
	pathList    = "/list"
	pathRecords = "/records"
)

// Bounds of a call.
const (
	// callTimeout is how long a gateway may take beyond what it is asked to
	// wait; the next one, or the store, is asked after it.
	callTimeout = 250 * time.Millisecond
	idleTimeout = 5 * time.Second
	maxResponseBytes   = 4 << 20
)

// Endpoint is an entry of the list.
type Endpoint struct {
	Address string `json:"address"` // IP:PORT
	Zone    string `json:"zone"`
	// Draining says that the endpoint takes nothing new.
	Draining bool `json:"draining,omitempty"`
}

// Source is a gateway that has the list; it returns false while it has none.
type Source interface {
	List() (ingress.List, bool)
}

// Handler serves the list and the operator's records.
func Handler(source Source, operator RecordSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathService, func(w http.ResponseWriter, r *http.Request) {
		list, known := source.List()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, Of(list.Records, r.URL.Query().Get("service")))
	})
	mux.HandleFunc("GET "+pathList, func(w http.ResponseWriter, r *http.Request) { serveList(w, r, source) })
	mux.HandleFunc("GET "+pathRecords, func(w http.ResponseWriter, r *http.Request) { serveRecords(w, r, operator) })
	return mux
}

// Of returns the endpoints of a service.
func Of(records []fleet.Record, service string) []Endpoint {
	out := []Endpoint{}
	for _, r := range records {
		if r.Service == service {
			out = append(out, Endpoint{Address: r.Address, Zone: r.Zone, Draining: r.Draining})
		}
	}
	return out
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a process that left asks again
}

// Client asks gateways.
type Client struct{ client *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	dialer := tcpconn.Dialer(callTimeout, tcpconn.ProbeLater)
	return &Client{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// Close closes connections that rest.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Service returns the endpoints of a service from the first of the gateways,
// given by IP:PORT, that answers.
func (c *Client) Service(ctx context.Context, gateways []string, service string) ([]Endpoint, error) {
	err := error(errors.NotFoundf("gateway"))
	for _, address := range gateways {
		var out []Endpoint
		err = c.get(ctx, address, pathService, url.Values{"service": {service}}, callTimeout, &out)
		if err == nil {
			return out, nil
		}
	}
	return nil, err
}

// get decodes a gateway's answer into out.
func (c *Client) get(ctx context.Context, address, path string, query url.Values, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("gateway %s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out)
	return errors.Annotatef(err, "list of gateway %s", address)
}
