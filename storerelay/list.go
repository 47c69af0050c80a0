// SPDX-License-Identifier: Apache-2.0

// Package storerelay distributes the endpoint list and the operator's records within a
// region. A few gateways, the readers, read them from the store; the other processes
// of the region receive them from the readers.
//
// This limits the load on the store and on the links between regions. The load would be
// highest when the operator sets a new target version, the version of a model to be
// served: all sidecars then need the endpoint list, while the weights are transferred
// over the same links.
//
// A process that gets no response from a reader, or stale data, reads the store itself.
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

// Paths of a Handler.
const (
	pathService = "/endpoints" // the endpoints of the service in the query
	pathList    = "/list"      // the whole endpoint list
	pathRecords = "/records"   // the operator's records
)

// Limits of the client.
const (
	// callTimeout bounds connecting to a gateway, and requests that do not wait for a
	// change.
	callTimeout      = 250 * time.Millisecond
	idleTimeout      = 5 * time.Second
	maxResponseBytes = 4 << 20
)

// Endpoint is an endpoint of a service as listed by a gateway.
type Endpoint struct {
	Address string `json:"address"` // IP:PORT
	Zone    string `json:"zone"`
	// Draining is set if the endpoint accepts no new requests.
	Draining bool `json:"draining,omitempty"`
}

// Source is a gateway that holds the endpoint list.
type Source interface {
	// List returns the list, or false while there is none.
	List() (ingress.List, bool)
}

// Handler returns a handler that serves the endpoint list and the operator's records.
func Handler(source Source, operator RecordSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathService, func(w http.ResponseWriter, r *http.Request) {
		list, known := source.List()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, EndpointsOf(list.Records, r.URL.Query().Get("service")))
	})
	mux.HandleFunc("GET "+pathList, func(w http.ResponseWriter, r *http.Request) { serveList(w, r, source) })
	mux.HandleFunc("GET "+pathRecords, func(w http.ResponseWriter, r *http.Request) { serveRecords(w, r, operator) })
	return mux
}

// EndpointsOf returns the endpoints of a service.
func EndpointsOf(records []fleet.Record, service string) []Endpoint {
	out := []Endpoint{}
	for _, r := range records {
		if r.Service == service {
			out = append(out, Endpoint{Address: r.Address, Zone: r.Zone, Draining: r.Draining})
		}
	}
	return out
}

// writeJSON responds with v, encoded as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client has disconnected, and will request it again
}

// Client sends requests to the Handlers of gateways. It is safe for concurrent use.
type Client struct{ client *http.Client }

// NewClient returns a client with timeouts for requests within a region.
func NewClient() *Client {
	dialer := tcpconn.Dialer(callTimeout, tcpconn.ProbeLater)
	return &Client{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Service returns the endpoints of a service. It queries the gateways, given by IP:PORT,
// in order until one responds. If none does, it returns the last error.
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

// get makes a request to the gateway at address and decodes its response into out.
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
	return errors.Annotatef(err, "decode response of gateway %s", address)
}
