// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/standin"
)

// startTwoEngines starts two gateways and two engines that serve v1.
func startTwoEngines(t *testing.T) *Lab {
	t.Helper()
	l, ctx := startLab(t, Config{Gateways: 2, Engines: 2})
	l.Store.Publish(standin.NewManifest(v1, 1<<20, 64<<10))
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 1))
	p, err := l.Rollout(ctx, intent.Intent{Ref: v1, Workspaces: []string{"liceo"}, Weighing: intent.OriginBytes})
	assert.NilError(t, err)
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	for g := range l.Gateways {
		for status := 0; status != http.StatusOK; time.Sleep(20 * time.Millisecond) {
			resp, _ := chat(t, l, g, "liceo", v1.Model)
			status = resp.StatusCode
			assert.NilError(t, ctx.Err())
		}
	}
	return l
}

// sendRequests sends requests through both gateways alternately for a duration.
// It returns how many it sent, how many of them engine e ran, and how many got status 200.
func sendRequests(t *testing.T, l *Lab, e *standin.Engine, duration time.Duration) (sent, ran, succeeded int) {
	t.Helper()
	before := len(e.Journal())
	for began := time.Now(); time.Since(began) < duration; sent++ {
		if resp, _ := chat(t, l, sent%2, "liceo", v1.Model); resp.StatusCode == http.StatusOK {
			succeeded++
		}
		time.Sleep(40 * time.Millisecond) // leaves CPU time to parallel tests
	}
	return sent, len(e.Journal()) - before, succeeded
}

// TestEngineBackpressure checks that an engine that reports a rate limit, a
// drain or a backoff gets no more requests than it allows, and that the other
// engine serves the rest.
func TestEngineBackpressure(t *testing.T) {
	t.Parallel()
	const duration = 4 * time.Second
	for _, test := range []struct {
		name    string
		signals standin.FaultSettings
		maxRuns int // bound on the requests run within duration
	}{
		{"limit", standin.FaultSettings{Limited: true, LimitRate: 2}, 17},
		{"draining", standin.FaultSettings{Draining: true}, 1},
		{"backoff", standin.FaultSettings{BackoffSeconds: 60}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := startTwoEngines(t)
			e := l.Boxes[0].Engine
			sendRequests(t, l, e, time.Second)
			e.Faults.Set(test.signals)
			sendRequests(t, l, e, time.Second/2) // until the sidecar has read the signals
			sent, ran, succeeded := sendRequests(t, l, e, duration)
			t.Logf("%d sent, %d ran, %d succeeded", sent, ran, succeeded)
			assert.Assert(t, ran <= test.maxRuns, "%d ran", ran)
			assert.Assert(t, sent > 0 && succeeded*100 > sent*60, "only %d of %d requests succeeded", succeeded, sent)
		})
	}
}

// TestEngineReturnsAfterDraining checks that an engine gets requests again once
// it no longer reports that it is draining.
func TestEngineReturnsAfterDraining(t *testing.T) {
	t.Parallel()
	l := startTwoEngines(t)
	e := l.Boxes[0].Engine
	e.Faults.Set(standin.FaultSettings{Draining: true})
	sendRequests(t, l, e, time.Second)
	e.Faults.Set(standin.FaultSettings{})
	_, ran, _ := sendRequests(t, l, e, 14*time.Second)
	assert.Assert(t, ran > 5, "%d ran", ran)
}
