// SPDX-License-Identifier: Apache-2.0

// Package loadreport carries engines' load from the sidecars beside them to
// the gateways, by datagrams.
//
// A gateway subscribes at each sidecar now and then; a sidecar sends its
// report to those that did so lately, when it changes and now and then
// otherwise. A lost datagram costs one report's age, a restart on either
// side SubscribeEvery.
//
// A subscription carries a Notice: what a sidecar needs to know of the
// operator's records, so that it need not read them from the store.
package loadreport

import (
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
)

// Timing.
const (
	// SubscribeEvery is how often a gateway subscribes.
	SubscribeInterval = 500 * time.Millisecond
	// subscription is how long one subscription lasts.
	subscriptionTTL = 3500 * time.Millisecond
	// repeatEvery is how often an unchanged report is sent.
	repeatInterval = 300 * time.Millisecond
	// eagerEvery is the same while a version changes, when a gateway must
	// know at once that an engine stands still.
	updateRepeatInterval = 80 * time.Millisecond
	// soonPause is the least time between two rounds of subscriptions.
	minRoundInterval   = 100 * time.Millisecond
	maxDatagram = 2048
)

// Notice is what a gateway tells the sidecars of a service.
type Notice struct {
	Model string `json:"model,omitempty"`
	// Region is where the gateway is.
	Region string `json:"region,omitempty"`
	// Named are the newest named versions of the model, the newest last.
	Named []Named `json:"named,omitempty"`
	// Read is the offset up to which the gateway has read the operator's records,
	// or -1, and Era the era of that offset.
	Read int64 `json:"read"`
	Era  int64 `json:"era,omitempty"`
	// Knowledge is how much the gateway knows of what the operator wrote, as
	// platform.Watcher counts it.
	Knowledge int64 `json:"known,omitempty"`
	// Demand is how many requests a second for the service the gateway got
	// lately.
	Demand float64 `json:"demand"`
	// Weights are left out for sidecars whose reports show that they know
	// them.
	Weights *routing.Weights `json:"weights,omitempty"`
	// Suspects are requests under which endpoints crashed. They are told to
	// the sidecars that all gateways watch, which pass them on.
	Suspects []quarantine.Record `json:"suspects,omitempty"`
}

// Named is a version that the operator named.
type Named struct {
	Version int `json:"version"`
	// AgeMS is how long ago the gateway learned of it, in milliseconds, or
	// UnknownAge if it was named before the gateway started.
	AgeMS int64 `json:"age_ms"`
	// Overdue says that the gateway sends nothing to older versions any more.
	Overdue bool `json:"overdue,omitempty"`
}

// UnknownAge is the age of a version that was named at an unknown time.
const UnknownAge = -1

// Since returns when the version was named, seen from now; zero if that is
// not known.
func (n Named) Since(now time.Time) time.Time {
	if n.AgeMS < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
}

// Audience are sidecars of one service and what they are told.
type Audience struct {
	Sidecars []string // IP:PORT of their publishers
	Notice   Notice
}

// subscribe is the datagram of a subscription.
type gatewayDatagram struct {
	Notice
	// Stamp is the sender's own time, in microseconds; the answer echoes it.
	Stamp int64 `json:"stamp"`
	// Ask is a wish for permits. It comes alone: such a datagram is no
	// subscription.
	PermitRequest *backpressure.Ask `json:"ask,omitempty"`
}

// message is the datagram of a report.
type sidecarDatagram struct {
	fleet.Report
	// Echo is the stamp of the subscription that is answered, or 0.
	Echo int64 `json:"e,omitempty"`
	// Read and Readers are, in such an answer, those of an Echo.
	Read    int64    `json:"o,omitempty"`
	Era     int64    `json:"h,omitempty"`
	Readers []string `json:"l,omitempty"`
	// Knowledge and Knower are those of an Echo.
	VersionSum int64  `json:"k,omitempty"`
	VersionSumGateway    string `json:"i,omitempty"`
	// Suspects are what gateways told. They come in such an answer, and alone
	// when there is news.
	Suspects []quarantine.Record `json:"x,omitempty"`
	// Grant answers an Ask. It comes alone.
	Grant *backpressure.Grant `json:"grant,omitempty"`
	// Endpoints is what gateways heard of endpoints. It comes as Suspects do.
	Endpoints []backpressure.Record `json:"endpoints,omitempty"`
}

func listen(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", at)
	return conn, errors.Trace(err)
}
