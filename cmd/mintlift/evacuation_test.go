// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/storetest"
)

// evacuateTimeout is the time after the store has taken an evacuation from which the zone's
// endpoints get no new request.
const evacuateTimeout = configApplyTimeout

// Zones of the endpoints. The gateways are in the one that the tests evacuate, so that they
// prefer its endpoints.
const (
	evacuatedZone = "z"
	otherZone     = "y"
)

// zonedEndpoints are endpoints of both services in each of two zones.
type zonedEndpoints struct {
	*engineDeployment
	staying, leaving []*signalingEndpoint
}

// startZonedEndpoints starts gateways, and endpoints of which half are in evacuatedZone.
// It must be called within a bubble of testing/synctest.
func startZonedEndpoints(t *testing.T, gateways int) *zonedEndpoints {
	t.Helper()
	z := &zonedEndpoints{}
	z.engineDeployment = startEnginesWith(t, newMemoryNetwork(), gateways, 4, func(d *engineDeployment, t *testing.T, ip, store string) {
		z.engineDeployment = d
		n := len(z.staying) + len(z.leaving)
		engine := serveEndpoint(t, &signalingEndpoint{deployment: d, service: "e", address: net.JoinHostPort(ip, "8320"), zone: []string{otherZone, evacuatedZone}[n%2]})
		startSidecarOn(t, d.on(ip), ip, store, engine.address)
		z.add(engine)
	})
	for n := range 4 {
		z.add(serveEndpoint(t, &signalingEndpoint{deployment: z.engineDeployment, service: "p", address: z.plainAddress(), zone: []string{otherZone, evacuatedZone}[n%2]}))
	}
	for n := range z.gateways {
		z.awaitPath(t, plainPath, n)
	}
	return z
}

// add adds an endpoint to those of its zone.
func (z *zonedEndpoints) add(e *signalingEndpoint) {
	if e.zone == evacuatedZone {
		z.leaving = append(z.leaving, e)
	} else {
		z.staying = append(z.staying, e)
	}
}

// setEvacuated writes that the zone is evacuated or is no longer, and returns when.
func (z *zonedEndpoints) setEvacuated(evacuated bool) time.Time {
	z.store.Put(storetest.Operator, "evacuate/"+evacuatedZone, map[bool]string{true: "{}"}[evacuated])
	return time.Now()
}

// leavingArrivals returns the requests at the zone's endpoints between two times, by
// service.
func (z *zonedEndpoints) leavingArrivals(from, until time.Time) map[string]int {
	count := make(map[string]int)
	for _, e := range z.leaving {
		for _, a := range e.arrivals() {
			if !a.at.Before(from) && a.at.Before(until) {
				count[e.service]++
			}
		}
	}
	return count
}

// newcomerID is the number in the IDs of requests to the gateway that starts during the
// evacuation.
const newcomerID = 100

// longStream is the result of a long stream through a gateway.
type longStream struct {
	seal   string
	events int
	err    error
}

// sendLong sends a request for a long stream to the gateway with the index n.
func (z *zonedEndpoints) sendLong(n int) (out longStream) {
	r, err := http.NewRequest(http.MethodPost, "http://"+z.gateways[n%len(z.gateways)]+enginePath, strings.NewReader(fmt.Sprint(longBody, n)))
	if err != nil {
		return longStream{err: err}
	}
	r.Host = "h.example"
	r.Header.Set(platform.Headers().RequestID, fmt.Sprintf("id-%d-%s%d", n, longBody, n))
	response, err := z.client.Do(r)
	if err != nil {
		return longStream{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return longStream{response.Header.Get(platform.Headers().Seal), strings.Count(string(body), "data: token"), err}
}

// An evacuated zone must get no new request from any gateway once the bound has passed,
// also from one that starts meanwhile, and requests again when it is taken back. Streams
// that run there end there.
func TestEvacuatedZoneIsLeftAndTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZonedEndpoints(t, 3)
		stop := make(chan struct{})
		var load sync.WaitGroup
		var mu sync.Mutex
		unserved, sent := 0, 0
		stopLoad := sync.OnceFunc(func() { close(stop); load.Wait() })
		defer stopLoad()
		for _, path := range []string{enginePath, plainPath} {
			for n := range z.gateways {
				load.Go(func() {
					for attempt := 0; ; attempt++ {
						select {
						case <-stop:
							return
						case <-time.After(10 * time.Millisecond):
						}
						status, _ := z.sendToPath(path, n, fmt.Sprint("text-", attempt))
						mu.Lock()
						sent++
						if status != http.StatusOK {
							unserved++
						}
						mu.Unlock()
					}
				})
			}
		}
		var streams sync.WaitGroup
		results := make([]longStream, 24)
		for n := range results {
			streams.Go(func() { results[n] = z.sendLong(n) })
		}
		time.Sleep(longInterval * longEvents / 3)
		began := time.Now()
		before := z.leavingArrivals(began.Add(-time.Second), began)
		assert.Assert(t, before["e"] > 0 && before["p"] > 0, "the zone is in use: %v", before)

		evacuated := z.setEvacuated(true)
		time.Sleep(evacuateTimeout / 2)
		joined := net.JoinHostPort(strings.TrimSuffix(hostOf(t, z.gateways[0]), ".1")+".9", "8005")
		startGatewayOn(t, z.on(hostOf(t, joined)), hostOf(t, joined), z.storeAddress)
		startedAt := time.Now()
		newcomer := &engineDeployment{gateways: []string{joined}, client: z.client}
		for status := 0; status != http.StatusOK; {
			status, _ = newcomer.sendToPath(enginePath, newcomerID, "text")
			assert.Assert(t, time.Since(startedAt) < 10*time.Second, "the new gateway does not serve")
		}
		for range 50 {
			for _, path := range []string{enginePath, plainPath} {
				newcomer.sendToPath(path, newcomerID, "text")
			}
		}
		streams.Wait()
		time.Sleep(time.Until(evacuated.Add(2 * evacuateTimeout)))
		takenBack := z.setEvacuated(false)
		late := z.leavingArrivals(evacuated.Add(evacuateTimeout), takenBack)
		assert.Check(t, len(late) == 0, "requests in the evacuated zone: %v", late)
		newcomers := 0
		for _, e := range z.leaving {
			for _, a := range e.arrivals() {
				if a.gateway == strconv.Itoa(newcomerID) {
					newcomers++
				}
			}
		}
		assert.Check(t, newcomers == 0, "%d requests of the new gateway in the evacuated zone", newcomers)
		left := 0
		for n, s := range results {
			assert.Check(t, s.err == nil && s.events == longEvents, "stream %d: %d events, %v", n, s.events, s.err)
			for _, e := range z.leaving {
				if s.seal == "seal of "+e.id {
					left++
				}
			}
		}
		assert.Check(t, left > 0, "no stream ran in the zone")

		time.Sleep(evacuateTimeout)
		back := z.leavingArrivals(takenBack, time.Now())
		assert.Check(t, back["e"] > 0 && back["p"] > 0, "taken back: %v", back)
		stopLoad()
		last := time.Duration(0)
		for _, e := range z.leaving {
			for _, a := range e.arrivals() {
				if a.at.After(evacuated) && a.at.Before(takenBack) {
					last = max(last, a.at.Sub(evacuated))
				}
			}
		}
		t.Logf("last request %s after the evacuation; %d of %d streams ran in the zone; %d of %d requests not served", last, left, len(results), unserved, sent)
		assert.Check(t, unserved*100 <= sent, "%d of %d requests not served", unserved, sent)
	})
}

// hostOf returns the IP address of an IP:PORT.
func hostOf(t *testing.T, address string) string {
	t.Helper()
	host, _, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	return host
}
