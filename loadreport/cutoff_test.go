// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/routing"
)

// Guards against a sidecar that plans with a cutoff that a gateway may still send after,
// or with that of a gateway that has gone.
func TestCutoffMarginOfSubscribers(t *testing.T) {
	now := time.Now()
	at := func(n uint8) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	p := &Publisher{subs: map[netip.AddrPort]subscriber{at(1): {subscribedAt: now}}}
	assert.Equal(t, p.CutoffMargin(now), time.Duration(0), "the usual time")
	p.subs[at(2)] = subscriber{subscribedAt: now, cutoffMargin: 800 * time.Millisecond}
	p.subs[at(3)] = subscriber{subscribedAt: now.Add(-time.Second), cutoffMargin: 770 * time.Millisecond}
	assert.Equal(t, p.CutoffMargin(now), 770*time.Millisecond)
	assert.Equal(t, p.CutoffMargin(now.Add(subscriptionTTL)), 800*time.Millisecond)
	assert.Equal(t, p.CutoffMargin(now.Add(subscriptionTTL+time.Second)), time.Duration(0))
}

// Guards against a margin that is lost on the way, and against datagrams that differ from
// those of the former release where the margin is the usual one.
func TestCutoffMarginEncoding(t *testing.T) {
	data, err := json.Marshal(gatewayDatagram{Notice: Notice{Model: "m", CutoffMarginMS: 770}})
	assert.NilError(t, err)
	var got gatewayDatagram
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.Equal(t, got.CutoffMarginMS, int64(770))
	data, err = json.Marshal(gatewayDatagram{Notice: Notice{Model: "m"}})
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"model":"m","read":0,"demand":0,"stamp":0}`)
}

// Guards against a subscription with a margin that does not fit into a datagram, together
// with the largest values of the other fields; see TestLargestDatagramsFit.
func TestLargestSubscriptionWithCutoffMarginFits(t *testing.T) {
	table, _ := newSuspectTable(time.Now())
	notice := Notice{
		Model: "a-model-with-a-long-name", Region: "a-region", TargetVersions: []TargetVersion{{1 << 20, 1 << 30, true}, {1 << 20, 1 << 30, true}}, Read: 1 << 40, Demand: 1e6, Era: 1 << 40, VersionSum: 1 << 50,
		Weights:  &routing.WeightsConfig{Version: 1 << 40, Model: "a-model-with-a-long-name", Layers: 1000, Chunks: 1 << 20, ChunkBytes: 1 << 30, Origin: "255.255.255.255:65535", OriginZone: "an-availability-zone", OriginRate: 1e9},
		Suspects: table.Records(time.Now()),
	}
	without, err := json.Marshal(notice)
	assert.NilError(t, err)
	notice.CutoffMarginMS = 1 << 20
	with, err := json.Marshal(notice)
	assert.NilError(t, err)
	assert.Assert(t, len(with)-len(without) <= 24, "%d bytes", len(with)-len(without))
	assert.Assert(t, len(with) < maxDatagram, "%d bytes", len(with))
}

// Guards against a gateway that learned of a version later than others and goes by its own
// time, which a late cutoff has no room for. Other gateways get no such ages.
func TestEarlierVersionAgeForLateCutoff(t *testing.T) {
	now := time.Now()
	var times versionTimes
	times.merge(Notice{Model: "m", TargetVersions: []TargetVersion{{Version: 2, AgeMS: 3000}}}, now)
	notice := func(age, margin int64) Notice {
		return Notice{Model: "m", CutoffMarginMS: margin, TargetVersions: []TargetVersion{{Version: 2, AgeMS: age}}}
	}
	assert.DeepEqual(t, times.missing(notice(2000, 800), now), []TargetVersion{{Version: 2, AgeMS: 3000}})
	assert.Equal(t, len(times.missing(notice(2000, 0), now)), 0, "usual cutoff")
	assert.Equal(t, len(times.missing(notice(2990, 800), now)), 0, "the transmission takes longer")
	assert.Equal(t, len(times.missing(notice(4000, 800), now)), 0, "it knows an earlier time")
}

// Guards against a gateway that has read only the newest of several versions, as after its
// restart, and with a late cutoff sends requests to engines that the deadline of an older
// one forbids. Other gateways, and those that have them, get no such versions.
func TestVersionsThatGatewayLacks(t *testing.T) {
	now := time.Now()
	var times versionTimes
	known := []TargetVersion{{Version: 2, AgeMS: 5000}, {Version: 3, AgeMS: 3000}, {Version: 4, AgeMS: 1000}}
	times.merge(Notice{Model: "m", TargetVersions: known}, now)
	for _, test := range []struct {
		margin int64
		listed []TargetVersion
		want   []TargetVersion
	}{
		{800, known[2:], known[:2]},
		{800, known[1:2], known[:1]}, // it reads version 4 by itself
		{800, []TargetVersion{known[0], known[2]}, known[1:2]},
		{800, known[1:], nil}, // gateways list the two newest only
		{800, nil, nil},
		{0, known[2:], nil},
	} {
		got := times.missing(Notice{Model: "m", CutoffMarginMS: test.margin, TargetVersions: test.listed}, now)
		assert.DeepEqual(t, got, test.want)
	}
	assert.Equal(t, len(times.missing(Notice{Model: "other", CutoffMarginMS: 800, TargetVersions: known[2:]}, now)), 0)
}
