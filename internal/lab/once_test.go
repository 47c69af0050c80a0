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

// startServices starts a lab of plain services, adds the workspace liceo and
// waits until the gateways route its calls.
func startServices(t *testing.T, c Config) (*Lab, context.Context) {
	t.Helper()
	l, ctx := startLab(t, c)
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	l.awaitRouting(t, ctx, c.Services)
	return l, ctx
}

// serviceRuns returns the concatenated journals of the plain services.
func (l *Lab) serviceRuns() []standin.Run {
	var out []standin.Run
	for _, b := range l.Boxes {
		if b.Service != nil {
			out = append(out, b.Service.Journal()...)
		}
	}
	return out
}

// runsWithKey returns the number of runs with an idempotency key.
func runsWithKey(runs []standin.Run, key string) int {
	n := 0
	for _, r := range runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

// homeOf returns the box of an idempotency key's home, or nil if there is none.
// The home is the sidecar process that stores what is known of the key; the
// records in the event log determine it.
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

// newKey returns a new idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestSameKeyThroughAllGateways checks that a request runs once if it is sent
// concurrently through several gateways with one idempotency key.
func TestSameKeyThroughAllGateways(t *testing.T) {
	t.Parallel()
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
		_, retried, text := l.callService(t, 0, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
		assert.Equal(t, retried, outcome.Completed, text)
		assert.Equal(t, runsWithKey(l.serviceRuns(), key), 1, "a retry ran")
	}
	assert.Equal(t, len(invariant.CheckRuns(l.serviceRuns())), 0)
}

// TestLostResponseIsNotRetried checks that a request does not run again if its
// response was lost after the run and the caller sends it again with the same
// idempotency key.
func TestLostResponseIsNotRetried(t *testing.T) {
	t.Parallel()
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

// TestRetryAfterHomeCrash checks that a request is not run again, and has outcome
// unknown, after the key's home was killed, both before and after the event log
// assigns another home. The home is the sidecar that stores what is known of the
// request's idempotency key.
func TestRetryAfterHomeCrash(t *testing.T) {
	t.Parallel()
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
		assert.NilError(t, ctx.Err(), "by the log, the killed box is still the key's home")
		time.Sleep(50 * time.Millisecond)
	}
	for g := range 2 {
		_, o, text = l.callService(t, g, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
		assert.Equal(t, o, outcome.Unknown, text)
	}
	assert.Equal(t, runsWithKey(l.serviceRuns(), key), before, "the new home ran the request again")
	home.Sidecar = nil
}

// TestRetryAfterHomeRestart checks that a request is not run again after the
// home of its idempotency key, the sidecar that stored it, has restarted and lost it.
func TestRetryAfterHomeRestart(t *testing.T) {
	t.Parallel()
	l, ctx := startServices(t, Config{Gateways: 2, Services: 2})
	key := newKey()
	_, o, text := l.callService(t, 0, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
	assert.Equal(t, o, outcome.Completed, text)
	home := l.homeOf(key)
	home.Sidecar.Kill()
	assert.NilError(t, l.StartSidecar(home))
	l.awaitIncarnation(t, ctx, home)
	for range 30 { // both before and after the log has the sidecar's new incarnation
		_, o, text = l.callService(t, 1, http.MethodPost, "caption", map[string]string{"Idempotency-Key": key})
		assert.Equal(t, o, outcome.Unknown, text)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, runsWithKey(l.serviceRuns(), key), 1)
}

// TestReplayGuard checks that a non-idempotent request is not sent again when
// the endpoint reads it and then closes a reused connection. By default,
// net/http retries some of these requests.
func TestReplayGuard(t *testing.T) {
	t.Parallel()
	f := newFaultyService(t)
	f.setCut(cutsNever)
	l, _ := startServices(t, Config{Gateways: 1, Services: 1, SidecarSettings: func(s *settings.Sidecar) { s.Endpoint = f.ln.Addr().String() }})
	for _, header := range []map[string]string{{"Mintlift-Repeatable": "false"}, {"Idempotency-Key": newKey()}} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			f.setCut(cutsNever)
			for range 3 { // opens idle connections
				_, o, text := l.callService(t, 0, http.MethodGet, "", nil)
				assert.Equal(t, o, outcome.Completed, text)
			}
			f.setCut(cutsAfterRequest)
			if header["Idempotency-Key"] != "" {
				header["Idempotency-Key"] = newKey()
			}
			_, o, text := l.callService(t, 0, method, "", header)
			assert.Equal(t, o, outcome.Unknown, text)
			assert.Equal(t, f.requestCount(), 1, fmt.Sprintf("%s was sent again", method))
		}
	}
}

// TestRefusedRequestsDidNotRun checks that an overloaded service ran none of
// the requests reported as not run, and that these get a Retry-After header.
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
					t.Error("refused without Retry-After")
				}
			}
		}()
	}
	wg.Wait()
	assert.Assert(t, counts[outcome.NotRun] > 0, "nothing was refused: %v", counts)
	assert.Equal(t, counts[outcome.Unknown], 0, "%v", counts)
	assert.Equal(t, len(invariant.CheckNotRun(refused, l.serviceRuns())), 0)
	assert.Equal(t, len(l.serviceRuns())-before, counts[outcome.Completed], "%v", counts)
	t.Logf("outcomes %v", counts)
}
