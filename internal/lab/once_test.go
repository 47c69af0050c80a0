// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/internal/invariant"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/state"
)

// services starts a lab of plain services that workspace liceo may call.
func startServices(t *testing.T, c Config) (*Lab, context.Context) {
	t.Helper()
	l, ctx := startLab(t, c)
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	l.awaitRouting(t, ctx, c.Services)
	return l, ctx
}

// runs joins the journals of the plain services.
func (l *Lab) serviceRuns() []standin.Run {
	var out []standin.Run
	for _, b := range l.Boxes {
		if b.Service != nil {
			out = append(out, b.Service.Journal()...)
		}
	}
	return out
}

func runsWithKey(runs []standin.Run, key string) int {
	n := 0
	for _, r := range runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

// homeOf returns the box that is the home of a key by the log.
func (l *Lab) homeOf(key string) *Box {
	replica := state.NewReplica()
	if err := replica.Apply(l.Log.Entries("mintlift-config")); err != nil {
		panic(err)
	}
	var home state.Home
	replica.View(func(s *state.State) { home, _ = dedup.HomeOf(key, s.HomesOf(ServiceName)) })
	for _, b := range l.Boxes {
		if b.Entry.ID == home.Box {
			return b
		}
	}
	return nil
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestSameKeyThroughAllGateways sends each key many times at once.
func TestSameKeyThroughAllGateways(t *testing.T) {
	l, _ := startServices(t, Config{Gateways: 3, Services: 3})
	for range 20 {
		key := newKey()
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.callService(t, i%3, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
			}()
		}
		wg.Wait()
		assert.Equal(t, runsWithKey(l.serviceRuns(), key), 1)
		_, again, text := l.callService(t, 0, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
		assert.Equal(t, again, outcome.Completed, text)
		assert.Equal(t, runsWithKey(l.serviceRuns(), key), 1, "a resend ran")
	}
	assert.Equal(t, len(invariant.Journal(l.serviceRuns())), 0)
}

// TestLostAnswerIsNotRepeated loses the service's answer after the effect,
// and resends the key.
func TestLostResponseIsNotRetried(t *testing.T) {
	l, _ := startServices(t, Config{Gateways: 2, Services: 2})
	for _, b := range l.Boxes {
		b.Service.Faults.Set(standin.FaultSettings{DropResponses: 10})
	}
	key := newKey()
	for g := range 2 {
		_, o, text := l.callService(t, g, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
		assert.Equal(t, o, outcome.Unknown, text)
	}
	assert.Equal(t, runsWithKey(l.serviceRuns(), key), 1)
}

// TestHomeDies kills a key's home after the request ran: nobody can know
// any more, and it must not run again.
func TestHomeDies(t *testing.T) {
	l, ctx := startServices(t, Config{Gateways: 2, Services: 3})
	key := newKey()
	_, o, text := l.callService(t, 0, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
	assert.Equal(t, o, outcome.Completed, text)
	before := runsWithKey(l.serviceRuns(), key)
	home := l.homeOf(key)
	home.Sidecar.Kill()
	_, o, text = l.callService(t, 1, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
	assert.Equal(t, o, outcome.Unknown, text)

	l.BoxList.Remove(home.Entry.ID)
	for l.homeOf(key) == home {
		assert.NilError(t, ctx.Err(), "the dead home stays in the log")
		time.Sleep(50 * time.Millisecond)
	}
	for g := range 2 {
		_, o, text = l.callService(t, g, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
		assert.Equal(t, o, outcome.Unknown, text)
	}
	assert.Equal(t, runsWithKey(l.serviceRuns(), key), before, "the new home ran what the dead one had run")
	home.Sidecar = nil
}

// TestHomeStartedAgain restarts a key's home empty on the same box.
func TestHomeRestarts(t *testing.T) {
	l, ctx := startServices(t, Config{Gateways: 2, Services: 2})
	key := newKey()
	_, o, text := l.callService(t, 0, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
	assert.Equal(t, o, outcome.Completed, text)
	home := l.homeOf(key)
	home.Sidecar.Kill()
	assert.NilError(t, l.StartSidecar(home))
	l.awaitIncarnation(t, ctx, home)
	for range 30 { // until the log names the new incarnation, and after
		_, o, text = l.callService(t, 1, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
		assert.Equal(t, o, outcome.Unknown, text)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, runsWithKey(l.serviceRuns(), key), 1)
}

// TestReplayGuard kills a reused connection after the endpoint has read a
// GET that is marked as not repeatable: net/http would send it again by
// itself.
func TestReplayGuard(t *testing.T) {
	d := newFaultyService(t)
	d.setCut(cutsNever)
	l, _ := startServices(t, Config{Gateways: 1, Services: 1, SidecarSettings: func(s *settings.Sidecar) { s.Endpoint = d.ln.Addr().String() }})
	for _, header := range []map[string]string{{"Mintlift-Repeatable": "false"}, {"Idempotency-Key": newKey()}} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			d.setCut(cutsNever)
			for range 3 { // idle connections to be reused
				_, o, text := l.callService(t, 0, http.MethodGet, "", nil)
				assert.Equal(t, o, outcome.Completed, text)
			}
			d.setCut(cutsAfterRequest)
			if header["Idempotency-Key"] != "" {
				header["Idempotency-Key"] = newKey()
			}
			_, o, text := l.callService(t, 0, method, "", header)
			assert.Equal(t, o, outcome.Unknown, text)
			assert.Equal(t, d.requestCount(), 1, fmt.Sprintf("%s was sent again", method))
		}
	}
}

// TestRefusedIsTrue floods one slow service and checks each "not run"
// against the service's own count, and that it came at once with a time to
// come back.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	l, ctx := startServices(t, Config{Gateways: 2, Services: 1, SidecarSettings: func(s *settings.Sidecar) { s.MaxInFlight, s.Queue = 2, 2 }})
	l.Boxes[0].Service.Latency = 200 * time.Millisecond
	before := len(l.serviceRuns())
	var mu sync.Mutex
	var refused []string
	counts := map[outcome.Outcome]int{}
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Gateways[i%2].CallerAddress()+"/v1/services/"+ServiceName+"/x", http.NoBody)
			if err != nil {
				panic(err)
			}
			req.Header.Set("Authorization", "Bearer "+WorkspaceKey("liceo"))
			if i%3 == 0 {
				req.Header.Set("Idempotency-Key", newKey())
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				panic(err)
			}
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			o := outcome.Outcome(resp.Header.Get("Mintlift-Outcome"))
			counts[o]++
			if o == outcome.NotRun {
				refused = append(refused, resp.Header.Get("Mintlift-Request-Id"))
				if resp.Header.Get("Retry-After") == "" {
					t.Error("refused without a time to come back")
				}
			}
		}()
	}
	wg.Wait()
	assert.Assert(t, counts[outcome.NotRun] > 0, "nothing was refused: %v", counts)
	assert.Equal(t, counts[outcome.Unknown], 0, "%v", counts)
	assert.Equal(t, len(invariant.NotRun(refused, l.serviceRuns())), 0)
	assert.Equal(t, len(l.serviceRuns())-before, counts[outcome.Completed], "%v", counts)
	t.Logf("outcomes %v", counts)
}
