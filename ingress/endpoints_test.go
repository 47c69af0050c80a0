// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// An entry of a service that is not configured must not replace the endpoint at the same
// address, must be used once the service is configured, and must be in the list that
// other gateways read.
func TestEndpointsOfUnconfiguredServices(t *testing.T) {
	for name, put := range map[string]func(g *testGateway, r fleet.Record){
		"as single update": func(g *testGateway, r fleet.Record) { g.server.PutEndpoint(r) },
		"in a whole list": func(g *testGateway, r fleet.Record) {
			g.server.SetEndpoints([]fleet.Record{g.records["a"], r})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t)
			g.configure(1)
			g.startEndpoint("a", "plain", respondOK("body"))
			unconfigured := fleet.Record{ID: "f", Service: "none", Address: g.records["a"].Address, Zone: "z"}
			put(g, unconfigured)
			r, _ := g.do("GET", "/safe/1", "")
			assert.Equal(t, r.StatusCode, http.StatusOK)
			list, _ := g.server.List()
			assert.Equal(t, len(list.Records), 2)

			g.server.RemoveEndpoint("a")
			g.server.Apply(routing.New(2, []*routing.Route{route(routing.Safe, "/safe/", "none", 1)}, []*routing.Service{{Name: "none"}},
				[]*routing.Workspace{{Name: "w", Keys: []string{testKey}}}, routing.Limits{}))
			r, _ = g.do("GET", "/safe/1", "")
			assert.Equal(t, r.StatusCode, http.StatusOK)
			assert.Equal(t, g.requests()[1].header.Get(testHeaders.ExpectEndpoint), "f")
			g.server.RemoveEndpoint("f")
			list, _ = g.server.List()
			assert.Equal(t, len(list.Records), 0)
		})
	}
}

// An endpoint whose entry changes to a service that is not configured must get no more
// requests, until it changes back.
func TestEndpointMovedToUnconfiguredService(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startEndpoint("a", "plain", respondOK("body"))
	unconfigured := g.records["a"]
	unconfigured.Service = "none"
	g.server.PutEndpoint(unconfigured)
	r, _ := g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	g.server.PutEndpoint(g.records["a"])
	r, _ = g.do("GET", "/safe/1", "")
	assert.Equal(t, r.StatusCode, http.StatusOK)
}
