// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/invariant"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/load"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/settings"
)

// measureEnv is the environment variable that enables TestMeasureLoad. CI does
// not set it.
const measureEnv = "MINTLIFT_MEASURE_LOAD"

// Parameters of the load tests.
const (
	loadEngines  = 2
	loadSlots    = 8                            // concurrent requests per engine
	loadTokens   = 20                           // per response, which takes 100 ms
	loadCapacity = loadEngines * loadSlots * 10 // requests per second
)

// priorities holds the load tests' workspaces and their priorities.
var priorities = map[string]int{"high": 90, "middle": 50, "low": 10}

// startForLoad starts a lab that serves v1 to liceo and to three workspaces of
// different priorities.
func startForLoad(t *testing.T) (*Lab, context.Context) {
	t.Helper()
	l, ctx := startLab(t, Config{
		Gateways:        2,
		Engines:         loadEngines,
		TokenTime:       5 * time.Millisecond,
		SidecarSettings: func(s *settings.Sidecar) { s.MaxInFlight, s.Queue = loadSlots, 2*loadSlots },
	})
	l.Store.Publish(standin.NewManifest(v1, 256<<10, 64<<10))
	names := []string{"liceo"}
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	for name, priority := range priorities {
		assert.NilError(t, l.AddWorkspace(ctx, name, priority, 0))
		names = append(names, name)
	}
	p, err := l.Rollout(ctx, intent.Intent{Ref: v1, Workspaces: names})
	assert.NilError(t, err)
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	l.awaitServing(t)
	return l, ctx
}

// loadMix returns a load of rate requests per second, divided among the
// workspaces by shares, through all gateways.
func (l *Lab) loadMix(rate, seconds float64, shares map[string]float64) load.Mix {
	m := load.Mix{Name: "lab", Rate: rate, Seconds: seconds, Seed: 7}
	for _, g := range l.Gateways {
		m.Targets = append(m.Targets, g.CallerAddress())
	}
	for _, name := range []string{"high", "middle", "low"} {
		if shares[name] == 0 {
			continue
		}
		c := load.Class{Name: name, Share: shares[name], Model: v1.Model, Tokens: loadTokens, Prefixes: 50}
		c.SetKey(WorkspaceKey(name))
		m.Classes = append(m.Classes, c)
	}
	return m
}

// engineRuns returns the concatenated journals of the engines.
func (l *Lab) engineRuns() []standin.Run {
	var out []standin.Run
	for _, b := range l.Boxes {
		if b.Engine != nil {
			out = append(out, b.Engine.Journal()...)
		}
	}
	return out
}

// mixedShares holds the workspaces' shares of the load, relative to each other.
var mixedShares = map[string]float64{"high": 2, "middle": 3, "low": 5}

// TestOverloadShedsLowestPriority checks that at twice the engines' capacity
// requests of the lowest priority are refused and those of the highest are
// served. No request reported as not run may have run.
func TestOverloadShedsLowestPriority(t *testing.T) {
	l, ctx := startForLoad(t)
	r, err := load.Run(ctx, l.loadMix(2*loadCapacity, 4, mixedShares))
	assert.NilError(t, err)
	assert.NilError(t, r.Print(os.Stdout))
	high, low := r.Classes[0], r.Classes[2]
	assert.Assert(t, low.Outcomes[outcome.NotRun] > low.Sent/3, "too few requests of the lowest priority were shed: %v", low.Outcomes)
	assert.Assert(t, high.Outcomes[outcome.Completed] >= high.Sent*95/100, "requests of the highest priority were shed: %v of %d", high.Outcomes, high.Sent)
	for _, c := range r.Classes {
		assert.Equal(t, c.Broken, 0)
		assert.Equal(t, c.Outcomes[outcome.Unknown]+c.Outcomes[outcome.Failed], 0, "%s: %v", c.Name, c.Outcomes)
	}
	assert.Equal(t, len(invariant.CheckNotRun(r.NotRun, l.engineRuns())), 0)
}

// loadRow is a row of the table that TestMeasureLoad logs: its results at one
// load.
type loadRow struct {
	Load    float64            `json:"load"`    // relative to capacity
	Goodput float64            `json:"goodput"` // relative to capacity
	P95     map[string]float64 `json:"first_token_p95_ms"`
	Refused map[string]float64 `json:"refused_share"`
	Classes []load.ClassReport `json:"-"`
}

// TestMeasureLoad measures goodput, and first-token times by priority, at
// increasing load. It also measures the first-token time of a workspace with
// little load while another workspace sends twice the capacity.
func TestMeasureLoad(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + "=1 to measure")
	}
	const seconds = 8
	l, ctx := startForLoad(t)
	var rows []loadRow
	for _, factor := range []float64{0.5, 0.8, 1.2, 2} {
		r, err := load.Run(ctx, l.loadMix(factor*loadCapacity, seconds, mixedShares))
		assert.NilError(t, err)
		row := loadRow{Load: factor, P95: map[string]float64{}, Refused: map[string]float64{}}
		done := 0
		for _, c := range r.Classes {
			row.P95[c.Name] = c.FirstToken.P95
			row.Refused[c.Name] = float64(c.Outcomes[outcome.NotRun]) / float64(c.Sent)
			done += c.Outcomes[outcome.Completed]
		}
		row.Goodput = float64(done) / seconds / loadCapacity
		rows = append(rows, row)
	}
	b, err := json.MarshalIndent(rows, "", "  ")
	assert.NilError(t, err)
	t.Logf("load\n%s", b)

	alone, err := load.Run(ctx, l.loadMix(20, seconds, map[string]float64{"middle": 1}))
	assert.NilError(t, err)
	overload := make(chan load.Report, 1)
	go func() {
		r, _ := load.Run(ctx, l.loadMix(2*loadCapacity, seconds, map[string]float64{"low": 1}))
		overload <- r
	}()
	contended, err := load.Run(ctx, l.loadMix(20, seconds, map[string]float64{"middle": 1}))
	assert.NilError(t, err)
	<-overload
	t.Logf("workspace with little load, first token p95: alone %.1f ms, beside a load of 2x capacity %.1f ms (total p95 %.1f and %.1f ms)", alone.Classes[0].FirstToken.P95, contended.Classes[0].FirstToken.P95, alone.Classes[0].Total.P95, contended.Classes[0].Total.P95)
}
