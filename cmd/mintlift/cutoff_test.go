// SPDX-License-Identifier: Apache-2.0

package main

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/installer"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/telemetry"
)

// Guards against sidecars that plan with another cutoff than the gateways', and against a
// late cutoff in notices of a service that is not contended.
func TestNoticeCarriesCutoffMargin(t *testing.T) {
	settings := &platform.Settings{IP: "127.0.0.1", Service: "s"}
	c := routing.New(1, []*routing.Route{{Host: "h", PathPrefix: "/", Kind: routing.Streaming, Resumable: true, Shares: []routing.Share{{Service: "s", Weight: 1}}}},
		[]*routing.Service{{Name: "s", Engine: &routing.Engine{Model: "m", Slots: 12, PrefillRate: 19100, MeanPromptTokens: 955}}}, nil, routing.Limits{})
	server := ingress.New(ingress.Settings{VersionDeadline: 13400 * time.Millisecond}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
	server.Apply(c)
	server.SetEndpoints([]fleet.Record{{ID: "e", Service: "s", Address: "127.0.0.1:9"}})
	watcher := platform.NewWatcher(platform.NewStore(network.System{}, "127.0.0.1:1"), logr.Discard(), telemetry.NewMetrics())
	margin := func(gateways int) int64 {
		server.HandleReport(fleet.Report{Address: "127.0.0.1:9", Model: "m", Version: 1, Gateways: gateways}, noRoundTrip)
		notice, ok := newNotices(settings, server, watcher).Notice("s")
		assert.Assert(t, ok)
		return notice.CutoffMarginMS
	}
	assert.Equal(t, margin(12), int64(0))
	late := margin(26)
	assert.Assert(t, late > 700 && late < 1000, "%d ms", late)

	state := &sidecarState{settings: settings}
	state.installer = installer.New(installer.Settings{Box: "127.0.0.1"}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
	state.setCutoffMargin(time.Duration(late) * time.Millisecond)
	state.apply(routing.WeightsConfig{Version: 1, Model: "m", Chunks: 4, ChunkBytes: 64})
	assert.Equal(t, state.cutoffMargin, time.Duration(late)*time.Millisecond, "it must outlast a new weights configuration")
}
