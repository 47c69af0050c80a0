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

// measureEnv turns on the measurements that depend on the machine; CI does
// not run them.
const measureEnv = "MINTLIFT_MEASURE_LOAD"

// The engines of the load tests: 2 with 8 slots and answers of 20 tokens of
// 5 ms run 160 requests a second.
const (
	loadEngines  = 2
	loadSlots    = 8
	loadTokens   = 20
	loadCapacity = loadEngines * loadSlots * 10
)

var priorities = map[string]int{"high": 90, "middle": 50, "low": 10}

// loaded starts a lab with three workspaces of different prices.
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
	for name, price := range priorities {
		assert.NilError(t, l.AddWorkspace(ctx, name, price, 0))
		names = append(names, name)
	}
	p, err := l.Rollout(ctx, intent.Intent{Ref: v1, Workspaces: names})
	assert.NilError(t, err)
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	l.awaitServing(t)
	return l, ctx
}

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

// engineRuns joins the journals of the engines.
func (l *Lab) engineRuns() []standin.Run {
	var out []standin.Run
	for _, b := range l.Boxes {
		if b.Engine != nil {
			out = append(out, b.Engine.Journal()...)
		}
	}
	return out
}

var mixedShares = map[string]float64{"high": 2, "middle": 3, "low": 5}

// TestOverloadShedsTheLowestPrice sends twice what the engines can do: the
// lowest price is shed, the highest goes through, every refusal is true.
func TestOverloadShedsLowestPriority(t *testing.T) {
	l, ctx := startForLoad(t)
	r, err := load.Run(ctx, l.loadMix(2*loadCapacity, 4, mixedShares))
	assert.NilError(t, err)
	assert.NilError(t, r.Print(os.Stdout))
	high, low := r.Classes[0], r.Classes[2]
	assert.Assert(t, low.Outcomes[outcome.NotRun] > low.Sent/3, "the lowest price was hardly shed: %v", low.Outcomes)
	assert.Assert(t, high.Outcomes[outcome.Completed] >= high.Sent*95/100, "the highest price was shed: %v of %d", high.Outcomes, high.Sent)
	for _, c := range r.Classes {
		assert.Equal(t, c.Broken, 0)
		assert.Equal(t, c.Outcomes[outcome.Unknown]+c.Outcomes[outcome.Failed], 0, "%s: %v", c.Name, c.Outcomes)
	}
	assert.Equal(t, len(invariant.NotRun(r.NotRun, l.engineRuns())), 0)
}

// loadRow is a line of the measured table.
type loadRow struct {
	Load    float64            `json:"load"` // over capacity
	Goodput float64            `json:"goodput"`
	P95     map[string]float64 `json:"first_token_p95_ms"`
	Refused map[string]float64 `json:"refused_share"`
	Classes []load.ClassReport `json:"-"`
}

// TestMeasureLoad measures first-token times by price and goodput under
// growing load, and a quiet workspace beside another's flood.
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

	quiet, err := load.Run(ctx, l.loadMix(20, seconds, map[string]float64{"middle": 1}))
	assert.NilError(t, err)
	flood := make(chan load.Report, 1)
	go func() {
		r, _ := load.Run(ctx, l.loadMix(2*loadCapacity, seconds, map[string]float64{"low": 1}))
		flood <- r
	}()
	beside, err := load.Run(ctx, l.loadMix(20, seconds, map[string]float64{"middle": 1}))
	assert.NilError(t, err)
	<-flood
	t.Logf("quiet workspace, first token p95: alone %.1f ms, beside a flood of 2x capacity %.1f ms (total p95 %.1f and %.1f ms)", quiet.Classes[0].FirstToken.P95, beside.Classes[0].FirstToken.P95, quiet.Classes[0].Total.P95, beside.Classes[0].Total.P95)
}
