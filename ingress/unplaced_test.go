// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// repeated marks a request as a caller's retry: little time is left.
var repeated = withHeader(testHeaders.Deadline, "1700")

// confirmList passes the started endpoints to the gateway as the complete list.
func (g *testGateway) confirmList() {
	var records []fleet.Record
	for _, r := range g.records {
		records = append(records, r)
	}
	g.server.SetEndpoints(records)
}

// checkRefused checks that a response says that the request has not run and when to retry.
func checkRefused(t *testing.T, response *http.Response) {
	t.Helper()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0)
}

// A request that its caller repeats must not be held while all zones with endpoints of its
// service are evacuated, or while its regions have none.
func TestRepeatedRequestWithoutPlaceIsRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		regions []string
		key     string
		prepare func(g *testGateway)
	}{
		{"zones evacuated", nil, testKey, func(g *testGateway) { g.server.SetEvacuated("west-1", true, clock.Now()) }},
		{"region without endpoints", []string{"east"}, keptKey, func(*testGateway) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, threeRegions)
				g.server.Apply(regionalConfig(1, test.regions...))
				g.startEndpointIn("west-1", "a", "engine", respondEvents(lastEvent, lastEvent))
				g.confirmList()
				test.prepare(g)
				for _, options := range [][]requestOption{{}, {repeated}} {
					began := clock.Now()
					response, cause := g.do("POST", "/stream/1", "x", append(options, withHeader("Authorization", "Bearer "+test.key))...)
					took := clock.Since(began)
					checkRefused(t, response)
					assert.Check(t, strings.HasPrefix(cause, "all endpoints are in evacuated zones or other regions"), cause)
					assert.Equal(t, took, time.Duration(0))
				}
				assert.Equal(t, len(g.requests()), 0)
			})
		})
	}
}

// While the list is not known to be complete, a repeated request waits: an endpoint where
// it may go may be about to be listed.
func TestRepeatedRequestWaitsForList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, threeRegions)
		g.server.Apply(regionalConfig(1, "east"))
		g.startEndpointIn("west-1", "a", "engine", respondEvents(lastEvent, lastEvent))
		done := make(chan string)
		go func() {
			_, body := g.do("POST", "/stream/1", "x", repeated, withHeader("Authorization", "Bearer "+keptKey))
			done <- body
		}()
		time.Sleep(300 * time.Millisecond)
		g.startEndpointIn("east-1", "b", "engine", respondEvents(lastEvent, lastEvent))
		assert.Equal(t, <-done, eventsText(lastEvent))
	})
}

// A request that waits while its last zone is evacuated, or while a configuration takes
// its last region away, must be refused then.
func TestWaitingRequestIsRefusedWhenItsPlaceGoes(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(g *testGateway)
	}{
		{"evacuation", func(g *testGateway) { g.server.SetEvacuated("west-1", true, clock.Now()) }},
		{"configuration", func(g *testGateway) { g.server.Apply(regionalConfig(2, "east")) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, threeRegions)
				g.server.Apply(regionalConfig(1, "west"))
				release := make(chan struct{})
				defer close(release)
				g.startEndpointIn("west-1", "a", "engine", func(w http.ResponseWriter, r *http.Request) {
					<-release
					respondEvents(lastEvent, lastEvent)(w, r)
				})
				g.confirmList()
				for range 4 {
					go func() {
						response, err := g.send(t.Context(), "POST", "/stream/full", "x", withHeader("Authorization", "Bearer "+keptKey))
						if err == nil {
							_, _ = io.Copy(io.Discard, response.Body)
							_ = response.Body.Close()
						}
					}()
				}
				synctest.Wait()
				assert.Equal(t, len(g.requests()), 4)
				type result struct {
					response *http.Response
					at       time.Time
				}
				done := make(chan result, 1)
				go func() {
					response, _ := g.do("POST", "/stream/1", "x", repeated, withHeader("Authorization", "Bearer "+keptKey))
					done <- result{response, clock.Now()}
				}()
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				assert.Equal(t, len(done), 0, "it did not wait")
				changed := clock.Now()
				test.change(g)
				got := <-done
				checkRefused(t, got.response)
				assert.Equal(t, got.at, changed)
			})
		})
	}
}

// A retry by the gateway must not wait if all other endpoints are in evacuated zones. Of a
// request that an endpoint may have run, no status may promise that it has not.
func TestRetryWithoutPlaceEndsAtOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		first handler
		want  int
	}{
		{"not run", respondNotRun, http.StatusServiceUnavailable},
		{"may have run", abortConnection, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, threeRegions)
				g.server.Apply(regionalConfig(1))
				evacuated := make(chan time.Time, 1)
				g.startEndpointIn("west-1", "a", "engine", func(w http.ResponseWriter, r *http.Request) {
					g.server.SetEvacuated("west-1", true, clock.Now())
					evacuated <- clock.Now()
					test.first(w, r)
				})
				g.confirmList()
				response, _ := g.do("POST", "/stream/1", "x")
				held := clock.Since(<-evacuated)
				assert.Equal(t, response.StatusCode, test.want)
				assert.Equal(t, held, time.Duration(0))
				if test.want == http.StatusServiceUnavailable {
					checkRefused(t, response)
				}
			})
		})
	}
}
