// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
)

// readStream sends a request to /resumable/ and returns the body of its response.
func (g *testGateway) readStream(path string) (string, error) {
	response, err := g.send(g.t.Context(), "POST", path, "", withHeader(testHeaders.Deadline, "8000"))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// resumableRoute returns a stream route that allows a number of attempts.
func resumableRoute(prefix string, attempts int) *routing.Route {
	r := route(routing.Streaming, prefix, "engine", attempts)
	r.Timeout = 8 * time.Second
	return r
}

// Guards against streams that are moved from sound engines because the gateway's machine was
// suspended, or its process stopped, for longer than an engine may be silent.
func TestPauseOfGatewayIsNoSilenceOfEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVirtualGateway(t, fleet.Place{Zone: "z"})
		g.configure(1, patientRoutes()...)
		h := func(w http.ResponseWriter, r *http.Request) {
			for n := 1; n <= lastEvent; n++ {
				respondEvents(n, n)(w, r)
				r.Header.Set("Last-Event-Id", fmt.Sprint(n))
				sleep(r, 250*time.Millisecond)
			}
		}
		g.startEndpoint("a", "engine", h)
		g.startEndpoint("b", "engine", h)
		time.AfterFunc(260*time.Millisecond, func() { clock.SuspendForTest(t, 1500*time.Millisecond) })
		body, err := g.readStream("/resumable/1")
		assert.NilError(t, err)
		assert.Equal(t, body, eventsText(lastEvent))
		assert.Equal(t, len(g.requests()), 1)
	})
}

// The loser of a silent attempt and its standby must end at its engine at once, whichever of
// the two it is.
func TestLoserOfStandbyIsCanceled(t *testing.T) {
	for name, standbyWins := range map[string]bool{"silent attempt loses": true, "standby loses": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.configure(1, patientRoutes()...)
				ended := make(chan time.Time, 1)
				loser := func(w http.ResponseWriter, r *http.Request) {
					respondEvents(1, 1)(w, r)
					<-r.Context().Done()
					ended <- time.Now()
				}
				var won atomic.Pointer[time.Time]
				winner := func(w http.ResponseWriter, r *http.Request) {
					if !standbyWins {
						respondEvents(1, 1)(w, r)
						sleep(r, 1700*time.Millisecond)
						r.Header.Set("Last-Event-Id", "1")
					}
					now := time.Now()
					won.Store(&now)
					respondEvents(lastEvent, lastEvent)(w, r)
				}
				if standbyWins {
					g.startEndpoint("a", "engine", loser)
				} else {
					g.startEndpoint("a", "engine", winner)
					// The standby is in progress when the silent attempt delivers.
					loser = func(w http.ResponseWriter, r *http.Request) {
						<-r.Context().Done()
						ended <- time.Now()
					}
				}
				time.AfterFunc(500*time.Millisecond, func() {
					g.startEndpoint("b", "engine", map[bool]handler{true: winner, false: loser}[standbyWins])
				})
				body, err := g.readStream("/resumable/1")
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(lastEvent))
				assert.Assert(t, (<-ended).Sub(*won.Load()) < maxStopDelay)
				assert.Equal(t, len(g.requests()), 2)
			})
		})
	}
}

// A standby must be charged to the retry budget once, when it is sent, and must not be sent
// without budget.
func TestStandbyIsChargedWhenSent(t *testing.T) {
	for name, test := range map[string]struct {
		other  handler // nil if there is no other engine
		tokens float64
		spent  float64
		sent   int
	}{
		"no place":  {nil, 5, 0, 1},
		"sent":      {respondEvents(lastEvent, lastEvent), 5, 1, 2},
		"no budget": {respondEvents(lastEvent, lastEvent), 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.server.settings.Budget.Slack, g.server.settings.Budget.Ratio = 20, 0
				g.server.settings.Budget.Window = 1e6 * time.Hour
				g.configure(1, patientRoutes()...)
				g.startEndpoint("a", "engine", respondWithPause(3, 1900*time.Millisecond))
				budget := g.server.budget("engine", time.Now())
				for range 5 - int(test.tokens) {
					assert.Assert(t, budget.Take(time.Now()))
				}
				if test.other != nil {
					time.AfterFunc(500*time.Millisecond, func() { g.startEndpoint("b", "engine", test.other) })
				}
				body, err := g.readStream("/resumable/1")
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(lastEvent))
				left := 0.0
				for budget.Take(time.Now()) {
					left++
				}
				assert.Equal(t, test.tokens-left, test.spent)
				assert.Equal(t, len(g.requests()), test.sent)
			})
		})
	}
}

// A request that is not repeatable must have one attempt, however long its engine is silent.
func TestRequestThatRunsOnceHasNoStandby(t *testing.T) {
	for _, path := range []string{"/once/1", "/unsafe/1"} {
		synctest.Test(t, func(t *testing.T) {
			g := newVirtualGateway(t, fleet.Place{Zone: "z"})
			g.configure(1, patientRoutes()...)
			slow := func(w http.ResponseWriter, r *http.Request) {
				sleep(r, 1900*time.Millisecond)
				respondEvents(lastEvent, lastEvent)(w, r)
			}
			for _, service := range []string{"engine", "plain"} {
				g.startEndpoint("a-"+service, service, slow)
				g.startEndpoint("b-"+service, service, slow)
			}
			body, err := g.readStream(path)
			assert.NilError(t, err)
			assert.Equal(t, body, eventsText(lastEvent))
			assert.Equal(t, len(g.requests()), 1)
		})
	}
}

// If the silent attempt breaks off while its standby waits for the engine, the standby must
// continue, and a third attempt must be begun beside it if it is silent, too.
func TestStandbyContinuesAfterSilentAttemptBreaksOff(t *testing.T) {
	for name, third := range map[string]bool{"standby serves": false, "standby is silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				g.configure(1, resumableRoute("/resumable/", 3))
				g.startEndpoint("a", "engine", func(w http.ResponseWriter, r *http.Request) {
					respondEvents(2, 2)(w, r)
					sleep(r, 1800*time.Millisecond)
					panic(http.ErrAbortHandler)
				})
				time.AfterFunc(500*time.Millisecond, func() {
					g.startEndpoint("b", "engine", func(w http.ResponseWriter, r *http.Request) {
						if third {
							<-r.Context().Done()
							return
						}
						sleep(r, 900*time.Millisecond)
						respondEvents(lastEvent, lastEvent)(w, r)
					})
				})
				time.AfterFunc(2*time.Second, func() { g.startEndpoint("c", "engine", respondEvents(lastEvent, lastEvent)) })
				body, err := g.readStream("/resumable/1")
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(lastEvent))
				assert.Equal(t, len(g.requests()), map[bool]int{false: 2, true: 3}[third])
			})
		})
	}
}

// Streams of sound engines that fall silent at random, amid changes of the configuration and
// the list, must all be whole. SILENCE_SEEDS is the number of seeds.
func TestSilentEnginesCutNoStreamAtRandom(t *testing.T) {
	seeds := 40
	if n, err := strconv.Atoi(os.Getenv("SILENCE_SEEDS")); err == nil {
		seeds = n
	}
	failed := 0
	for seed := range seeds {
		if !t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { streamThroughSilences(t, uint64(seed)) })
		}) {
			failed++
		}
	}
	t.Logf("%d of %d seeds failed", failed, seeds)
}

// streamThroughSilences sends 25 streams to engines that fall silent by a seed.
func streamThroughSilences(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	g := newVirtualGateway(t, fleet.Place{Zone: "z"})
	g.configure(1, resumableRoute("/resumable/", 2+random.IntN(2)))
	engines := 1 + random.IntN(4)
	var mu sync.Mutex // guards random
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	for n := range engines {
		g.startEndpoint(fmt.Sprint("e", n), "engine", func(w http.ResponseWriter, r *http.Request) {
			if draw(8) == 0 {
				respondNotRun(w, r)
				return
			}
			var from int
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
			silentAt, silence := from+draw(lastEvent-from+1), time.Duration(draw(1900))*time.Millisecond
			for ; from < lastEvent; from++ {
				if from == silentAt && !sleep(r, silence) {
					return
				}
				r.Header.Set("Last-Event-Id", fmt.Sprint(from))
				respondEvents(from+1, from+1)(w, r)
				if !sleep(r, time.Duration(draw(60))*time.Millisecond) {
					return
				}
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var changes sync.WaitGroup
	changes.Go(func() {
		for version := int64(2); ; version++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(draw(400)) * time.Millisecond):
			}
			id := fmt.Sprint("e", draw(engines))
			switch draw(4) {
			case 0:
				g.configure(version)
			case 1:
				g.configure(version, resumableRoute("/resumable/", 3))
			case 2:
				g.server.RemoveEndpoint(id)
			default:
				g.server.PutEndpoint(g.records[id])
			}
		}
	})
	var streams sync.WaitGroup
	for n := range 25 {
		streams.Go(func() {
			time.Sleep(time.Duration(draw(2000)) * time.Millisecond)
			response, err := g.send(t.Context(), "POST", fmt.Sprint("/resumable/", n), "", withHeader(testHeaders.Deadline, "8000"))
			assert.Check(t, err)
			if err != nil || response.StatusCode != http.StatusOK {
				return // refused
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.Check(t, err, "seed %d, stream %d", seed, n)
			assert.Check(t, string(body) == eventsText(lastEvent), "seed %d, stream %d: %q", seed, n, body)
		})
	}
	streams.Wait()
	cancel()
	changes.Wait()
}

// A request at a connection that is silent for good must get a standby long before half of
// its time is over, and the request of an endpoint that is merely slow must not.
func TestUnacknowledgedRequestGetsStandbySoon(t *testing.T) {
	for _, unreachable := range []bool{true, false} {
		for _, path := range []string{"/long/", "/resumable/"} {
			synctest.Test(t, func(t *testing.T) {
				g := newVirtualGateway(t, fleet.Place{Zone: "z"})
				long := route(routing.Safe, "/long/", "plain", 2)
				long.Timeout = 8 * time.Second
				g.configure(1, long, resumableRoute("/resumable/", 2))
				service := map[string]string{"/long/": "plain", "/resumable/": "engine"}[path]
				g.startEndpoint("a", service, func(w http.ResponseWriter, r *http.Request) {
					if r.RequestURI != path+"1" {
						sleep(r, 1800*time.Millisecond)
					}
					respondEvents(lastEvent, lastEvent)(w, r)
				})
				if service == "engine" {
					g.reportIdle("a", 1) // the box is alive, the connection is not
				}
				_, err := g.readStream(path + "1") // leaves an idle connection
				assert.NilError(t, err)
				if unreachable {
					g.network.Silence(g.boxes["gateway"], g.boxes[g.records["a"].Address])
				}
				time.AfterFunc(500*time.Millisecond, func() { g.startEndpoint("b", service, respondEvents(lastEvent, lastEvent)) })
				began := time.Now()
				body, err := g.readStream(path + "2")
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(lastEvent))
				assert.Equal(t, time.Since(began) < 1500*time.Millisecond, unreachable, "%s: after %s", path, time.Since(began))
			})
		}
	}
}
