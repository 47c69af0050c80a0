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
// Package readerset decides which gateways are the readers, and which gateway reads the
// store in place of one that does not respond or has only stale data.
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
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/internal/tcpconn"
	"github.com/mintlift/mintlift/loadreport"
)

// Paths of a Handler.
const (
	pathService = "/endpoints" // the endpoints of the service in the query
	pathList    = "/list"      // the whole endpoint list
	pathRecords = "/records"   // the operator's records
	pathNotice  = "/notice"    // the notice for sidecars of the service in the query
	pathLoad    = "/load"      // the verified load of the engine at the address in the query
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
	// ListSince returns the changes of the list since a state, or the whole list; false
	// while there is none.
	ListSince(state string) (ingress.List, bool)
	// ListState returns the state of the list, and a channel that is closed when it
	// changes; false while there is no list.
	ListState() (string, <-chan struct{}, bool)
	// VerifiedLoad returns the last load of the engine at an address that was reported
	// as verified, and when the list was last confirmed; false if there is none.
	VerifiedLoad(address string) (fleet.VerifiedLoad, time.Time, bool)
}

// NoticeSource makes the notices that sidecars get from gateways.
type NoticeSource interface {
	// Notice returns the notice for the sidecars of a service, or false if it has none.
	Notice(service string) (loadreport.Notice, bool)
}

// Handler returns a handler that serves the endpoint list, the operator's records and the
// notices for sidecars.
func Handler(source Source, operator RecordSource, notices NoticeSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathService, func(w http.ResponseWriter, r *http.Request) {
		list, known := source.List()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, EndpointsOf(list.Records, r.URL.Query().Get("service")))
	})
	mux.HandleFunc("GET "+pathNotice, func(w http.ResponseWriter, r *http.Request) {
		notice, ok := notices.Notice(r.URL.Query().Get("service"))
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, notice)
	})
	mux.HandleFunc("GET "+pathLoad, func(w http.ResponseWriter, r *http.Request) {
		load, confirmed, ok := source.VerifiedLoad(r.URL.Query().Get("address"))
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, EngineLoad{VerifiedLoad: load, ListAgeMS: clock.Since(confirmed).Milliseconds()})
	})
	mux.HandleFunc("GET "+pathList, func(w http.ResponseWriter, r *http.Request) { serveList(w, r, source) })
	cache := &recordsCache{}
	mux.HandleFunc("GET "+pathRecords, func(w http.ResponseWriter, r *http.Request) { serveRecords(w, r, operator, cache) })
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
func NewClient(n network.Network) *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{
		DialContext: n.Dialer(callTimeout, tcpconn.ProbeLater), IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: network.MaxResponseHeadBytes,
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

// Notice returns the notice for the sidecars of a service from the gateway at address,
// IP:PORT.
func (c *Client) Notice(ctx context.Context, address, service string) (loadreport.Notice, error) {
	var out loadreport.Notice
	err := c.get(ctx, address, pathNotice, url.Values{"service": {service}}, callTimeout, &out)
	return out, err
}

// EngineLoad is what a gateway knows of the load of an engine.
type EngineLoad struct {
	fleet.VerifiedLoad
	// ListAgeMS is the time since the store last confirmed the gateway's endpoint list,
	// in milliseconds.
	ListAgeMS int64 `json:"list_age_ms"`
}

// EngineLoad returns the last load of the engine at an address that the gateway, given by
// IP:PORT, received a report of as verified.
func (c *Client) EngineLoad(ctx context.Context, gateway, address string) (EngineLoad, error) {
	var out EngineLoad
	err := c.get(ctx, gateway, pathLoad, url.Values{"address": {address}}, callTimeout, &out)
	return out, err
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
