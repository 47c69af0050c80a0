// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/load"
	"github.com/mintlift/mintlift/outcome"
)

// measureRequestsEnv is the environment variable that enables TestMeasureRequests. CI
// does not set it.
const measureRequestsEnv = "MINTLIFT_MEASURE_REQUESTS"

// requestRow is the cost of requests at one rate and one number of tokens per request.
type requestRow struct {
	Rate   float64 `json:"requests_a_second"`
	Tokens float64 `json:"tokens_a_request"`
	// GatewayMS and SidecarMS are the processor time per request, summed over the
	// processes of the role.
	GatewayMS float64 `json:"gateway_cpu_ms_a_request"`
	SidecarMS float64 `json:"sidecar_cpu_ms_a_request"`
	GatewayMB float64 `json:"gateway_resident_mb"`
	SidecarMB float64 `json:"sidecar_resident_mb"`
}

// TestMeasureRequests measures the processor time and memory that requests cost.
func TestMeasureRequests(t *testing.T) {
	if os.Getenv(measureRequestsEnv) == "" {
		t.Skip("set " + measureRequestsEnv + "=1 to measure")
	}
	const seconds = 10
	s := newSystem(t, 1, 4, 0.01)
	s.prepare()
	s.deploy("v1")
	s.awaitChat(0)
	var rows []requestRow
	for _, tokens := range []int{1, 32, 128} {
		for _, rate := range []float64{25, 50, 100} {
			m := load.Mix{Name: "cost", Rate: rate, Seconds: seconds, Seed: 3, Targets: []string{s.gateways[0].CallerListen}}
			c := load.Class{Name: "all", Share: 1, Model: "draft", Tokens: tokens, Prefixes: 50}
			c.SetKey("workspace-key-liceo-1")
			m.Classes = []load.Class{c}
			gateway, sidecars := s.procs["entry-0"].cpuTime(t), s.sidecarTime(t)
			r, err := load.Run(context.Background(), m)
			assert.NilError(t, err)
			done := float64(r.Classes[0].Outcomes[outcome.Completed])
			assert.Equal(t, int(done), r.Classes[0].Sent)
			rows = append(rows, requestRow{
				Rate:      rate,
				Tokens:    float64(tokens),
				GatewayMS: 1000 * (s.procs["entry-0"].cpuTime(t) - gateway).Seconds() / done,
				SidecarMS: 1000 * (s.sidecarTime(t) - sidecars).Seconds() / done,
				GatewayMB: s.procs["entry-0"].residentMB(t),
				SidecarMB: s.procs["engine-0"].residentMB(t),
			})
		}
	}
	b, err := json.MarshalIndent(rows, "", "  ")
	assert.NilError(t, err)
	t.Logf("requests\n%s", b)
}

// sidecarTime returns the processor time of all sidecars together.
func (s *system) sidecarTime(t *testing.T) time.Duration {
	var sum time.Duration
	for _, c := range s.sidecars {
		sum += s.procs[c.Node.Box].cpuTime(t)
	}
	return sum
}
