// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// respondWithPause sends the events of a stream and falls silent for pause after the first
// before events.
func respondWithPause(before int, pause time.Duration) handler {
	return func(w http.ResponseWriter, r *http.Request) {
		if before == 0 && !sleep(r, pause) {
			return
		}
		for n := 1; n <= lastEvent; n++ {
			respondEvents(n, n)(w, r)
			r.Header.Set("Last-Event-Id", fmt.Sprint(n))
			if n == before && !sleep(r, pause) {
				return
			}
		}
	}
}

// sleep waits for d, and returns false if the request is canceled before.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// silenceCase is a request to a sound engine that falls silent.
type silenceCase struct {
	name  string
	pause time.Duration
	// before is the number of events that the engine sends before it falls silent.
	before int
	// other responds to requests at another engine; nil if there is no other one.
	other handler
	// meanwhile is called while the engine is silent; it may be nil.
	meanwhile func(g *testGateway)
}

var silenceCases = []silenceCase{
	{name: "only engine", pause: 1500 * time.Millisecond, before: 3},
	{name: "only engine, long", pause: 2500 * time.Millisecond, before: 3},
	{name: "other engine refuses", pause: 1500 * time.Millisecond, before: 3, other: respondNotRun},
	{name: "other engine closes", pause: 1500 * time.Millisecond, before: 3, other: abortConnection},
	{name: "other engine fails", pause: 1500 * time.Millisecond, before: 3, other: respondStatus(http.StatusInternalServerError)},
	{name: "other engine serves", pause: 1500 * time.Millisecond, before: 3, other: respondEvents(lastEvent, lastEvent)},
	{name: "other engine is silent, too", pause: 1500 * time.Millisecond, before: 3, other: respondWithPause(0, time.Hour)},
	{name: "before the first event", pause: 2500 * time.Millisecond, before: 0},
	{name: "before the first event, other engine refuses", pause: 2500 * time.Millisecond, before: 0, other: respondNotRun},
	{name: "configuration drops the route", pause: 1500 * time.Millisecond, before: 3, meanwhile: func(g *testGateway) { g.configure(2) }},
	{name: "configuration drops the service", pause: 1500 * time.Millisecond, before: 3, meanwhile: func(g *testGateway) {
		g.server.Apply(routing.New(2, nil, nil, nil, routing.Limits{}))
	}},
	{name: "engine leaves the list", pause: 1500 * time.Millisecond, before: 3, meanwhile: func(g *testGateway) { g.server.RemoveEndpoint("a") }},
	{name: "zone is evacuated", pause: 1500 * time.Millisecond, before: 3, meanwhile: func(g *testGateway) {
		g.server.SetEvacuated("z", true, time.Now())
	}},
	{name: "new version is past its deadline", pause: 1500 * time.Millisecond, before: 3, meanwhile: func(g *testGateway) {
		g.server.SetTargetVersion(testModel, 2, false, time.Now().Add(-g.server.settings.VersionDeadline))
	}},
}

// A sound engine may fall silent for a second or two. Its stream must not be cut unless
// another engine continues it.
func TestSilenceOfSoundEngineCutsNoStream(t *testing.T) {
	for _, c := range silenceCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.configure(1, patientRoutes()...)
				g.startEndpoint("a", "engine", respondWithPause(c.before, c.pause))
				time.AfterFunc(500*time.Millisecond, func() {
					if c.other != nil {
						g.startEndpoint("b", "engine", c.other)
					}
					if c.meanwhile != nil {
						c.meanwhile(g)
					}
				})
				response, err := g.send(t.Context(), "POST", "/resumable/1", "", withHeader(testHeaders.Deadline, "8000"))
				assert.NilError(t, err)
				defer response.Body.Close()
				assert.Equal(t, response.StatusCode, http.StatusOK)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), eventsText(lastEvent))
			})
		})
	}
}

// A plain request must not be given up at an endpoint that is silent for long but answers in
// time, unless another one answers.
func TestSilenceOfSoundEndpointFailsNoRequest(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		sleep(r, 1500*time.Millisecond) // of 2 s
		respondOK("x")(w, r)
	}
	for name, other := range map[string]handler{"none": nil, "refuses": respondNotRun, "closes": abortConnection, "fails": respondStatus(http.StatusInternalServerError), "serves": respondOK("x"), "silent": respondWithPause(0, time.Hour)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.configure(1)
				g.startEndpoint("a", "plain", slow)
				time.AfterFunc(500*time.Millisecond, func() {
					if other != nil {
						g.startEndpoint("b", "plain", other)
					}
				})
				response, body := g.do("GET", "/safe/1", "")
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, "x")
			})
		})
	}
}
