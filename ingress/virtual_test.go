// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/memnet"
)

// newVirtualGateway is like newTestGatewayAt, but connects callers, gateway and endpoints
// by a network in memory without delays. It must be called in a bubble of testing/synctest:
// there the time that a request takes is what the gateway and the handlers of endpoints
// wait, whatever else the machine does.
func newVirtualGateway(t testing.TB, place fleet.Place) *testGateway {
	t.Helper()
	g := &testGateway{t: t, network: memnet.New(memnet.Config{}), boxes: make(map[string]*memnet.Box), records: make(map[string]fleet.Record)}
	box := g.network.Box("10.0.0.1", "")
	g.boxes["gateway"] = box
	g.start(place, box, box.Dialer(time.Second, 0))
	return g
}

// serve starts a server on the network of the gateway that stops at the end of the test.
func (g *testGateway) serve(h http.Handler) *httptest.Server {
	g.t.Helper()
	if g.network == nil {
		s := httptest.NewServer(h)
		g.t.Cleanup(s.Close)
		return s
	}
	g.servers++
	ip := fmt.Sprintf("10.0.1.%d", g.servers)
	box := g.network.Box(ip, "")
	g.boxes[ip+":80"] = box
	l, err := box.Listen(g.t.Context(), "tcp4", ip+":80", 0)
	assert.NilError(g.t, err)
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
	s.Start()
	g.t.Cleanup(s.Close)
	return s
}
