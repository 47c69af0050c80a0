// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/installer"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/retrybudget"
	"github.com/mintlift/mintlift/telemetry"
)

// validConfig is a valid configuration, from which the tests derive malformed ones.
const validConfig = `{"version":7,"routes":[
 {"name":"r1","host":"h.example","path_prefix":"/s/","kind":"streaming","timeout_ms":50,"target_latency_ms":40,"priority":1,"service":"e","max_attempts":2,"resumable":true,"target_gap_ms":30,"public":true},
 {"name":"r2","host":"h.example","path_prefix":"/p/","kind":"safe","timeout_ms":50,"target_latency_ms":40,"traffic_split":[{"service":"e","weight":90},{"service":"p","weight":10}],"public":true}],
 "services":[{"name":"e","max_connections":374,"engine":{"slots":16,"models":[{"name":"m"}],"step_ms":8.87,"stride":5,"read_per_s":19100.0,"layers":16,"chunks":64,"chunk_bytes":32768,"usual":{"prompt":977,"answer":94}}},
 {"name":"p","max_connections":20},
 {"name":"o","origin":"127.0.0.1:9","zone":"z","link_mbps":8}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["k1"],"priority":2}]}`

// invalidValues returns JSON values that are invalid or extreme for most fields.
func invalidValues() []any {
	return []any{0.0, -1.0, 1e18, -1e18, 1e308, 0.5, "", "text", nil, true, []any{}, map[string]any{}, []any{nil}, []any{[]any{}}}
}

// mutate replaces one randomly chosen value within the JSON value v, at any depth, and
// returns the result.
func mutate(t *rapid.T, v any) any {
	switch v := v.(type) {
	case map[string]any:
		if rapid.IntRange(0, 9).Draw(t, "here") == 0 || len(v) == 0 {
			break
		}
		key := rapid.SampledFrom(slices.Sorted(maps.Keys(v))).Draw(t, "key")
		v[key] = mutate(t, v[key])
		return v
	case []any:
		if rapid.IntRange(0, 9).Draw(t, "here") == 0 || len(v) == 0 {
			break
		}
		at := rapid.IntRange(0, len(v)-1).Draw(t, "at")
		v[at] = mutate(t, v[at])
		return v
	}
	values := invalidValues()
	return values[rapid.IntRange(0, len(values)-1).Draw(t, "value")]
}

// Guards against a malformed configuration that crashes gateways and sidecars. They
// would crash again after each restart, since the configuration stays in the store.
func TestMalformedConfigurationDoesNotPanic(t *testing.T) {
	settings := &platform.Settings{IP: "127.0.0.1", Service: "e", InternalPorts: [2]int{17730, 17740}}
	rapid.Check(t, func(t *rapid.T) {
		var config any
		assert.NilError(t, json.Unmarshal([]byte(validConfig), &config))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			config = mutate(t, config)
		}
		text, err := json.Marshal(config)
		assert.NilError(t, err)
		c, err := platform.ParseConfig(text)
		if err != nil {
			return // rejected: the configuration in force stays
		}
		server := ingress.New(ingress.Settings{
			Headers: platform.Headers(), Budget: retrybudget.Params{Ratio: 0.2, Slack: 200, Window: 10 * time.Second, Gateways: 1}, VersionDeadline: time.Second,
		}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
		server.Apply(c)
		server.SetEndpoints([]fleet.Record{
			{ID: "a", Service: "e", Address: "127.0.0.1:1", Models: map[string]int{"m": 1}},
			{ID: "b", Service: "p", Address: "127.0.0.1:2"},
		})
		server.HandleReport(fleet.Report{Address: "127.0.0.1:1", Model: "m", Version: 1}, 0)
		for _, path := range []string{"/s/x", "/p/x"} {
			r := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("body"))
			r.Header.Set(platform.Headers().Deadline, "30")
			server.ServeHTTP(httptest.NewRecorder(), r)
		}
		state := &sidecarState{settings: settings}
		state.installer = installer.New(installer.Settings{Box: "127.0.0.1", LinkRate: 1e6}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
		state.HandleConfiguration(c)
		for _, g := range newNotices(settings, server, platform.NewWatcher(platform.NewStore(network.System{}, "127.0.0.1:1"), logr.Discard(), telemetry.NewMetrics())).groups(time.Now()) {
			state.handleNotice(g.Notice)
		}
	})
}

// Guards against malformed notices that crash a sidecar or a gateway. Notices, with which
// gateways send sidecars the configuration, are datagrams and may come from any sender.
func TestMalformedNoticeDoesNotPanic(t *testing.T) {
	settings := &platform.Settings{IP: "127.0.0.1", Service: "e", InternalPorts: [2]int{17730, 17740}}
	valid := `{"model":"m","region":"r","named":[{"version":2,"age_ms":5,"overdue":true}],"read":4,"demand":3.5,
		"weights":{"version":3,"model":"m","layers":4,"chunks":8,"chunk_bytes":64,"origin":"127.0.0.1:9","origin_zone":"z","origin_rate":1e6},
		"suspects":[{"i":"00112233445566778899aabbccddeeff","e":1,"c":[{"k":1,"a":5,"r":6}]}]}`
	rapid.Check(t, func(t *rapid.T) {
		var notice any
		assert.NilError(t, json.Unmarshal([]byte(valid), &notice))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			notice = mutate(t, notice)
		}
		text, err := json.Marshal(notice)
		assert.NilError(t, err)
		var n loadreport.Notice
		if json.Unmarshal(text, &n) != nil {
			return
		}
		state := &sidecarState{settings: settings}
		state.installer = installer.New(installer.Settings{Box: "127.0.0.1", LinkRate: 1e6}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
		state.handleNotice(n)
		server := ingress.New(ingress.Settings{}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
		server.MergeSuspects(n.Suspects, time.Now())
		_ = server.Suspects(time.Now())
	})
}
