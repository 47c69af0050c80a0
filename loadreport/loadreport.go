// SPDX-License-Identifier: Apache-2.0

// Package loadreport sends load reports of engines from their sidecars to the
// gateways, in UDP datagrams.
//
// A gateway renews its subscription at each sidecar every SubscribeInterval. A sidecar
// sends its report to all current subscribers when the report changes, and repeats it
// at intervals. Neither side acknowledges: a lost report is superseded by the next
// one, and a restart on either side is recovered by the next subscription.
//
// A subscription carries a Notice. It holds the parts of the operator's records that a
// sidecar needs, so that the sidecar does not read them from the store.
//
// Sidecars also relay two kinds of state between the gateways that subscribe to them:
// suspects, which are requests during which endpoints crashed (see package
// quarantine), and the backpressure signals of endpoints (see package backpressure).
//
// If an engine's slots are scarce, gateways request them from its sidecar, which grants
// them (see package slotgrant).
package loadreport

import (
	"time"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/slotgrant"
)

// Timing of subscriptions and reports, and the size of datagrams.
const (
	// SubscribeInterval is the time between two subscriptions of a gateway.
	SubscribeInterval = 500 * time.Millisecond
	// UnwatchedInterval is the time between two subscriptions to a sidecar whose engine
	// the gateway does not watch, unless there is a new target version.
	UnwatchedInterval = 1500 * time.Millisecond
	// subscriptionTTL is the time after which a subscription expires.
	subscriptionTTL = 3500 * time.Millisecond
	// repeatInterval is the time after which an unchanged report is sent again.
	repeatInterval = 300 * time.Millisecond
	// updateRepeatInterval replaces repeatInterval during a version update, when
	// gateways must soon notice an engine that does not respond.
	updateRepeatInterval = 80 * time.Millisecond
	// minRoundInterval is the minimum time between two rounds of subscriptions.
	minRoundInterval = 100 * time.Millisecond
	// maxDatagram is the maximum size of a datagram, in bytes.
	maxDatagram = 2560
)

// Notice is sent by a gateway to the sidecars of a service, with each subscription.
type Notice struct {
	// Model is the model of the service.
	Model string `json:"model,omitempty"`
	// Region is the gateway's region.
	Region string `json:"region,omitempty"`
	// TargetVersions are the model's newest target versions, the newest last.
	TargetVersions []TargetVersion `json:"named,omitempty"`
	// Read is the offset up to which the gateway has read the operator's records, or
	// -1 if it has read none. Era is the era of that offset; it increases each time
	// the store is restored from an older copy.
	Read int64 `json:"read"`
	Era  int64 `json:"era,omitempty"`
	// VersionSum is the sum of the versions of all operator's records that the gateway
	// holds. Versions only increase, so a gateway with a higher sum holds newer
	// records. See storewatch.Watcher.VersionSum.
	VersionSum int64 `json:"known,omitempty"`
	// Demand is the gateway's recent rate of requests for the service, per second.
	Demand float64 `json:"demand"`
	// Weights describes where and how to load the model's weights. It is nil for
	// sidecars that have it already, as the checksum in their reports shows.
	Weights *routing.WeightsConfig `json:"weights,omitempty"`
	// CutoffMarginMS is the time from the routing cutoff of a target version to its
	// deadline, in milliseconds, or 0 for the usual time. Gateways of the former release
	// do not send it.
	CutoffMarginMS int64 `json:"cutoff_ms,omitempty"`
	// NoWeights is set if the gateway's configuration has no weights for the service: no
	// sidecar loads its engines.
	NoWeights bool `json:"no_weights,omitempty"`
	// Unwatched is set if the gateway sends the engine no requests. It then gets the
	// responses to its subscriptions, and no other reports.
	Unwatched bool `json:"unwatched,omitempty"`
	// Suspects are requests during which endpoints crashed. They are sent only to the
	// sidecars that all gateways subscribe to. These sidecars relay them to the
	// gateways.
	Suspects []quarantine.Record `json:"suspects,omitempty"`
}

// TargetVersion is a version of a model that the operator has set to be served.
type TargetVersion struct {
	Version int `json:"version"`
	// AgeMS is the time in milliseconds since the gateway read that the version was
	// set, or UnknownAge if it was set before the gateway started.
	AgeMS int64 `json:"age_ms"`
	// PastCutoff is set once the version's routing cutoff has passed: the gateway
	// sends no more requests to older versions.
	PastCutoff bool `json:"overdue,omitempty"`
}

// UnknownAge is the AgeMS of a target version that was set at an unknown time.
const UnknownAge = -1

// SetAt returns when the target version was set. now is the time at which it had the
// age AgeMS. SetAt returns the zero time if the age is unknown.
func (n TargetVersion) SetAt(now time.Time) time.Time {
	if n.AgeMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
}

// SubscriptionGroup is a set of sidecars of one service, and the notice sent to them.
type SubscriptionGroup struct {
	Sidecars []string // IP:PORT of their Publishers
	Notice   Notice
}

// gatewayDatagram is a datagram from a gateway to a sidecar: a subscription, a request
// for permits, or one for slots of the engine.
type gatewayDatagram struct {
	Notice
	// Stamp is the sender's clock in microseconds since it started. The response
	// echoes it.
	Stamp int64 `json:"stamp"`
	// PermitRequest is a request for permits. A datagram with one is no subscription
	// and carries nothing else.
	PermitRequest *backpressure.PermitRequest `json:"ask,omitempty"`
	// SlotRequest is a request for slots of the engine. A datagram with one is no
	// subscription and carries nothing else.
	SlotRequest *slotgrant.Request `json:"slot_wish,omitempty"`
}

// sidecarDatagram is a datagram from a sidecar to a gateway: a report, the response to
// a subscription or a permit request, granted slots, or changed Suspects or Endpoints.
// Address is empty if the datagram contains no report.
type sidecarDatagram struct {
	fleet.Report
	// Epoch and Number order the reports of a sidecar; see reportNumber.
	Epoch  int64 `json:"j,omitempty"`
	Number int64 `json:"z,omitempty"`
	// Echo is the stamp of the subscription that this responds to, or 0 if this is no
	// response to a subscription.
	Echo int64 `json:"e,omitempty"`
	// Read and Era are set in a response; see type Echo.
	Read int64 `json:"o,omitempty"`
	Era  int64 `json:"h,omitempty"`
	// VersionSum and VersionSumGateway are set in a response; see type Echo.
	VersionSum        int64  `json:"k,omitempty"`
	VersionSumGateway string `json:"i,omitempty"`
	// TargetModel and TargetVersions are set in a response; see type Echo.
	TargetModel    string          `json:"l,omitempty"`
	TargetVersions []TargetVersion `json:"t,omitempty"`
	// Suspects are the suspect requests reported by gateways. They are sent in
	// responses, and alone when they change.
	Suspects []quarantine.Record `json:"x,omitempty"`
	// Grant is the response to a PermitRequest. It is sent alone.
	Grant *backpressure.Grant `json:"grant,omitempty"`
	// SlotGrant grants slots of the engine, or confirms a SlotRequest. It is sent alone.
	SlotGrant *slotgrant.Grant `json:"slot_grant,omitempty"`
	// Endpoints are the backpressure signals of endpoints that gateways have reported.
	// They are sent in responses, and alone when they change.
	Endpoints []backpressure.Record `json:"endpoints,omitempty"`
}
