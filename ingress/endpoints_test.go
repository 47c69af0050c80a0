// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// An entry of a service that the configuration does not name takes no endpoint's
// place, though it tells its address; it counts once the service is named, here
// and at gateways that take the list from this one.
func TestEndpointsOfUnconfiguredServices(t *testing.T) {
	for name, put := range map[string]func(w *testGateway, r fleet.Record){
		"as news": func(w *testGateway, r fleet.Record) { w.server.PutEndpoint(r) },
		"in a whole list": func(w *testGateway, r fleet.Record) {
			w.server.SetEndpoints([]fleet.Record{w.records["a"], r})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.configure(1)
			w.startEndpoint("a", "plain", respondOK("body"))
			unconfigured := fleet.Record{ID: "f", Service: "none", Address: w.records["a"].Address, Zone: "z"}
			put(w, unconfigured)
			r, _ := w.do("GET", "/safe/1", "")
			assert.Equal(t, r.StatusCode, http.StatusOK)
			list, _ := w.server.List()
			assert.Equal(t, len(list.Records), 2)

			w.server.RemoveEndpoint("a")
			w.server.Apply(routing.New(2, []*routing.Route{route(routing.Safe, "/safe/", "none", 1)}, []*routing.Service{{Name: "none"}},
				[]*routing.Workspace{{Name: "w", Keys: []string{testKey}}}, routing.Limits{}))
			r, _ = w.do("GET", "/safe/1", "")
			assert.Equal(t, r.StatusCode, http.StatusOK)
			assert.Equal(t, w.requests()[1].header.Get(testHeaders.ExpectEndpoint), "f")
			w.server.RemoveEndpoint("f")
			list, _ = w.server.List()
			assert.Equal(t, len(list.Records), 0)
		})
	}
}

// An endpoint whose entry is rewritten by another writer with a service that is
// not named gets nothing more.
func TestEndpointMovedToUnconfiguredService(t *testing.T) {
	w := newTestGateway(t)
	w.configure(1)
	w.startEndpoint("a", "plain", respondOK("body"))
	unconfigured := w.records["a"]
	unconfigured.Service = "none"
	w.server.PutEndpoint(unconfigured)
	r, _ := w.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	w.server.PutEndpoint(w.records["a"])
	r, _ = w.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK)
}
