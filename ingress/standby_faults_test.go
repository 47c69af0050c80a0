// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// Guards against a standby that is sent although the silent attempt has delivered while the
// standby waited for an endpoint.
func TestCanceledStandbyIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		g.configure(1, resumableRoute("/resumable/", 2))
		var asked time.Time
		g.startEndpoint("b", "engine", func(w http.ResponseWriter, r *http.Request) {
			asked = time.Now()
			respondEvents(lastEvent, lastEvent)(w, r)
		})
		_, err := g.readStream("/resumable/1") // leaves an idle connection
		assert.NilError(t, err)
		g.server.RemoveEndpoint("b")
		g.startEndpoint("a", "engine", respondWithPause(3, 950*time.Millisecond))
		time.AfterFunc(500*time.Millisecond, func() { g.server.PutEndpoint(g.records["b"]) })
		began := time.Now()
		// No engine sends the first event of so long a prompt within the target gap.
		response, err := g.send(t.Context(), "POST", "/resumable/2", "", withHeader(testHeaders.Deadline, "8000"), withHeader(testHeaders.TokenUsage, "10000,10"))
		assert.NilError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), eventsText(lastEvent))
		time.Sleep(time.Second)
		assert.Equal(t, len(g.requests()), 2, "sent %s after the request, the silent attempt delivered after 950 ms", asked.Sub(began))
	})
}

// Guards against a silent attempt that is canceled for a standby whose first event cannot be
// forwarded, so that the stream is cut although the silent engine goes on.
func TestStandbyWithoutNextEventCancelsNothing(t *testing.T) {
	events := func(text string, silent bool) handler {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testHeaders.Seal, "seal")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, text)
			w.(http.Flusher).Flush()
			if silent {
				<-r.Context().Done()
			}
		}
	}
	for name, other := range map[string]handler{
		"gap":                     events("id: 5\ndata: token 5\n\nid: 6\ndata: token 6\n\n", false),
		"comment, then silent":    events(": hello\n\n", true),
		"old event, then silent":  events("id: 1\ndata: token 1\n\n", true),
		"old event, then the end": events("id: 1\ndata: token 1\n\n", false),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.configure(1, resumableRoute("/resumable/", 2))
				g.startEndpoint("a", "engine", respondWithPause(3, 1900*time.Millisecond))
				time.AfterFunc(500*time.Millisecond, func() { g.startEndpoint("b", "engine", other) })
				body, err := g.readStream("/resumable/1")
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(lastEvent))
			})
		})
	}
}

// Guards against a request that the kernel still delivers to a silent endpoint after its
// standby has delivered.
func TestUndeliveredRequestIsDroppedWhenStandbyWins(t *testing.T) {
	g := newTestGateway(t)
	r := route(routing.Safe, "/frozen/", "plain", 2)
	r.Timeout, r.TargetLatency = 4*time.Second, 4*time.Second
	g.configure(1, r)
	thaw, ended := g.startFrozenEndpoint()
	time.AfterFunc(500*time.Millisecond, func() { g.startEndpoint("b", "plain", respondOK("x")) })
	response, body := g.do("POST", "/frozen/1", strings.Repeat("x", 1<<20), withHeader(testHeaders.Deadline, "4000"))
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "x")
	time.Sleep(2 * time.Second) // longer than the user timeout of a connection that may not be silent
	close(thaw)
	err := <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against a slow request that closes the idle connections to its endpoint again and
// again, so that the others each open one.
func TestSlowRequestLeavesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		long := route(routing.Safe, "/long/", "plain", 2)
		long.Timeout = 8 * time.Second
		g.configure(1, long)
		g.startEndpoint("a", "plain", func(w http.ResponseWriter, r *http.Request) {
			if r.RequestURI == "/long/slow" {
				sleep(r, 7*time.Second)
			}
			respondOK("x")(w, r)
		})
		time.AfterFunc(3*time.Second, func() { g.startEndpoint("b", "plain", respondNotRun) })
		time.AfterFunc(4200*time.Millisecond, func() { g.server.RemoveEndpoint("b") })
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = g.readStream("/long/slow")
		}()
		time.Sleep(4500 * time.Millisecond)
		before := g.server.pool.Opened()
		for n := range 24 {
			time.Sleep(100 * time.Millisecond)
			body, err := g.readStream(fmt.Sprint("/long/", n))
			assert.NilError(t, err)
			assert.Equal(t, body, "x")
		}
		<-done
		assert.Assert(t, g.server.pool.Opened()-before <= 2, "%d connections opened", g.server.pool.Opened()-before)
	})
}

// An attempt that was not sent must not be charged to the retry budget: a stream whose engine
// breaks off must go on with one token although the first engine tried refuses connections.
func TestUnsentRetryIsNotCharged(t *testing.T) {
	for name, pause := range map[string]time.Duration{"retry": 300 * time.Millisecond, "standby that continues": 950 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.server.settings.Budget.Slack, g.server.settings.Budget.Ratio = 4, 0 // one token at the start
				g.server.settings.Budget.Window = 1e6 * time.Hour
				g.configure(1, resumableRoute("/resumable/", 3))
				g.startEndpoint("a", "engine", func(w http.ResponseWriter, r *http.Request) {
					respondEvents(3, 3)(w, r)
					sleep(r, pause)
					panic(http.ErrAbortHandler)
				})
				time.AfterFunc(100*time.Millisecond, func() {
					r := g.records["a"]
					r.ID, r.Address = "b", "10.0.1.99:80" // no box answers there
					g.server.PutEndpoint(r)
				})
				time.AfterFunc(pause+50*time.Millisecond, func() { g.startEndpoint("c", "engine", respondEvents(lastEvent, lastEvent)) })
				body, err := g.readStream("/resumable/1")
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(lastEvent))
			})
		})
	}
}

// A standby that waits for a place must not keep the only token from a stream whose engine has
// broken off and that has a place.
func TestWaitingStandbyHoldsNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		g.server.settings.Budget.Slack, g.server.settings.Budget.Ratio = 4, 0 // one token at the start
		g.server.settings.Budget.Window = 1e6 * time.Hour
		g.configure(1, resumableRoute("/resumable/", 2))
		bodies, errs := make([]string, 2), make([]error, 2)
		done := make(chan int, 2)
		read := func(n int) {
			bodies[n], errs[n] = g.readStream(fmt.Sprint("/resumable/", n))
			done <- n
		}
		g.startEndpoint("a", "engine", func(w http.ResponseWriter, r *http.Request) {
			if r.RequestURI == "/resumable/0" {
				respondEvents(lastEvent, lastEvent)(w, r)
				return
			}
			respondWithPause(3, 1900*time.Millisecond)(w, r)
		})
		go read(1)
		time.Sleep(600 * time.Millisecond)
		g.server.RemoveEndpoint("a")
		g.startEndpoint("b", "engine", func(w http.ResponseWriter, r *http.Request) {
			respondEvents(3, 3)(w, r)
			sleep(r, 800*time.Millisecond)
			panic(http.ErrAbortHandler)
		})
		go read(0)
		time.Sleep(50 * time.Millisecond)
		g.server.RemoveEndpoint("b")
		g.server.PutEndpoint(g.records["a"])
		<-done
		<-done
		for n := range 2 {
			assert.Check(t, errs[n], "stream %d", n)
			assert.Check(t, bodies[n] == eventsText(lastEvent), "stream %d: %q", n, bodies[n])
		}
	})
}

// Guards against plain requests that are sent again after a pause of the gateway's machine,
// although their responses are about to be read.
func TestPauseOfGatewayIsNoSilenceOfPlainEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		long := route(routing.Safe, "/long/", "plain", 2)
		long.Timeout = 8 * time.Second
		g.configure(1, long)
		h := func(w http.ResponseWriter, r *http.Request) {
			sleep(r, 2850*time.Millisecond)
			respondOK("x")(w, r)
		}
		g.startEndpoint("a", "plain", h)
		g.startEndpoint("b", "plain", h)
		time.AfterFunc(2600*time.Millisecond, func() { clock.SuspendForTest(t, 1500*time.Millisecond) })
		body, err := g.readStream("/long/1")
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
		assert.Equal(t, len(g.requests()), 1)
	})
}

// Guards against a request that waits until its time is up because its standby is silent, too,
// although the route allows a third attempt and another endpoint would serve it. The boxes of
// a zone fall silent together.
func TestSilentStandbyIsNotTheLastAttempt(t *testing.T) {
	for _, cut := range []bool{true, false} {
		for _, path := range []string{"/long/", "/resumable/"} {
			t.Run(fmt.Sprint(path, " connections silent: ", cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newVirtualGateway(t, fleet.Place{Zone: "z"})
					long := route(routing.Safe, "/long/", "plain", 3)
					long.Timeout = 8 * time.Second
					g.configure(1, long, resumableRoute("/resumable/", 3))
					service := map[string]string{"/long/": "plain", "/resumable/": "engine"}[path]
					h := func(w http.ResponseWriter, r *http.Request) {
						if !strings.HasSuffix(r.RequestURI, "warm") {
							<-r.Context().Done()
							return
						}
						sleep(r, 100*time.Millisecond)
						respondEvents(lastEvent, lastEvent)(w, r)
					}
					for _, id := range []string{"a", "b"} {
						g.startEndpoint(id, service, h)
						_, err := g.readStream(path + "warm") // leaves an idle connection
						assert.NilError(t, err)
						g.server.RemoveEndpoint(id)
					}
					for _, id := range []string{"a", "b"} {
						g.server.PutEndpoint(g.records[id])
						if cut {
							box := g.boxes[g.records[id].Address]
							g.network.Silence(g.boxes["gateway"], box)
							g.network.Silence(box, g.boxes["gateway"])
						}
					}
					// By then the standby has been begun at the other silent one.
					time.AfterFunc(map[string]time.Duration{"/long/": 4500 * time.Millisecond, "/resumable/": 2500 * time.Millisecond}[path], func() { g.startEndpoint("c", service, respondEvents(lastEvent, lastEvent)) })
					began := time.Now()
					body, err := g.readStream(path + "1")
					assert.Check(t, err, "after %s", time.Since(began))
					assert.Equal(t, body, eventsText(lastEvent))
				})
			})
		}
	}
}

// With -race: the list must not change an endpoint's record while attempts read its ID and
// address.
func TestChangedRecordIsNoRaceWithAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		g.configure(1, resumableRoute("/resumable/", 2))
		g.startEndpoint("a", "engine", respondWithPause(3, 1900*time.Millisecond))
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, err := g.readStream("/resumable/1")
			assert.Check(t, err)
		}()
		for n := 1; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				r := g.records["a"]
				r.Models = map[string]int{testModel: 1 + n%2}
				g.server.PutEndpoint(r)
			}
		}
	})
}
