// SPDX-License-Identifier: Apache-2.0

package main

import (
	"math"
	"time"

	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
)

// operatorProgress is how far a gateway has read the operator's records.
type operatorProgress struct {
	position history.Position // of the next record to read
	// versionSum is the sum of the versions of all operator records that the gateway
	// has. Versions only rise, so the gateway with the higher sum has newer records.
	versionSum int64
}

// operatorProgressOf returns how far w has read the operator's records, and the sum of
// the versions of the records that it holds. The sum tells which of two gateways has newer
// records where their read positions cannot, as after a restore of the store.
func operatorProgressOf(w *platform.Watcher) operatorProgress {
	return operatorProgress{w.Progress().Read, w.VersionSum()}
}

// notices makes the notices that a gateway sends to sidecars with its subscriptions, and
// on request.
type notices struct {
	settings *platform.Settings
	server   *ingress.Server
	watcher  *platform.Watcher
	// unwatchedAt is when the sidecars of unwatched engines were last notified, and
	// unwatchedNewest the newest target version of each model then. Only groups uses them.
	unwatchedAt     time.Time
	unwatchedNewest map[string]int
}

// newNotices returns the notices of a gateway.
func newNotices(s *platform.Settings, server *ingress.Server, watcher *platform.Watcher) *notices {
	return &notices{settings: s, server: server, watcher: watcher, unwatchedNewest: make(map[string]int)}
}

// Notice implements storerelay.NoticeSource.
func (n *notices) Notice(service string) (loadreport.Notice, bool) {
	c := n.server.Configuration()
	if c == nil || c.Services[service] == nil || c.Services[service].Engine == nil {
		return loadreport.Notice{}, false
	}
	out := n.notice(c, service, clock.Now())
	if weights, ok := c.Weights(service); ok {
		out.Weights = &weights
	}
	return out, true
}

// notice returns the notice for the sidecars of a service of engines, without the weights
// configuration.
func (n *notices) notice(c *routing.Configuration, service string, now time.Time) loadreport.Notice {
	progress := operatorProgressOf(n.watcher)
	model := c.Services[service].Engine.Model
	_, hasWeights := c.Weights(service)
	return loadreport.Notice{
		NoWeights: !hasWeights,
		Model:     model, Region: n.settings.Region, Read: progress.position.Offset, Era: progress.position.Era, VersionSum: progress.versionSum,
		Demand: math.Round(n.server.Demand(service, now)), TargetVersions: targetVersions(n.server, model, now),
		CutoffMarginMS: n.server.CutoffMargin(model).Milliseconds(),
	}
}

// groups returns the sidecars to subscribe to, grouped by the notice that they get.
// Sidecars without the current weights configuration get it in their notice. Sidecars that
// relay suspects between gateways get the gateway's suspects: requests suspected of
// crashing endpoints. It returns nil while there is no configuration.
func (n *notices) groups(now time.Time) []loadreport.SubscriptionGroup {
	c, s, server := n.server.Configuration(), n.settings, n.server
	if c == nil {
		return nil
	}
	var out []loadreport.SubscriptionGroup
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		notice := n.notice(c, name, now)
		weights, ok := c.Weights(name)
		current, outdated := server.EngineAddresses(name, weights.Checksum(), now)
		out = append(out, loadreport.SubscriptionGroup{Sidecars: publisherAddresses(s, current), Notice: notice})
		if ok {
			notice.Weights = &weights
		}
		out = append(out, loadreport.SubscriptionGroup{Sidecars: publisherAddresses(s, outdated), Notice: notice})
		if n.unwatchedDue(notice, now) {
			notice.Unwatched = true
			out = append(out, loadreport.SubscriptionGroup{Sidecars: publisherAddresses(s, server.UnwatchedAddresses(name)), Notice: notice})
		}
	}
	suspects := server.Suspects(now)
	if len(suspects) == 0 {
		return out
	}
	return addSuspects(out, suspects, suspectRelays(s, server, c, now))
}

// unwatchedDue reports whether the sidecars of unwatched engines are to be notified now:
// after loadreport.UnwatchedInterval, or because of a new target version.
func (n *notices) unwatchedDue(notice loadreport.Notice, now time.Time) bool {
	newest := 0
	for _, v := range notice.TargetVersions {
		newest = max(newest, v.Version)
	}
	if newest <= n.unwatchedNewest[notice.Model] && now.Sub(n.unwatchedAt) < loadreport.UnwatchedInterval {
		return false
	}
	n.unwatchedAt, n.unwatchedNewest[notice.Model] = now, newest
	return true
}

// suspectRelays returns the addresses of the sidecars that relay suspects, requests
// suspected of crashing endpoints, between gateways.
func suspectRelays(s *platform.Settings, server *ingress.Server, c *routing.Configuration, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for name := range c.Services {
		for _, relay := range publisherAddresses(s, server.Relays(name, now)) {
			out[relay] = true
		}
	}
	return out
}

// addSuspects splits each group in two: the sidecars that relay suspects, which get the
// suspects (requests suspected of crashing endpoints) in their notice, and the others.
// The keys of relays are addresses.
func addSuspects(groups []loadreport.SubscriptionGroup, suspects []quarantine.Record, relays map[string]bool) []loadreport.SubscriptionGroup {
	var out []loadreport.SubscriptionGroup
	for _, a := range groups {
		relaying := loadreport.SubscriptionGroup{Notice: a.Notice}
		relaying.Notice.Suspects = suspects
		rest := loadreport.SubscriptionGroup{Notice: a.Notice}
		for _, sidecar := range a.Sidecars {
			if relays[sidecar] {
				relaying.Sidecars = append(relaying.Sidecars, sidecar)
			} else {
				rest.Sidecars = append(rest.Sidecars, sidecar)
			}
		}
		out = append(out, relaying, rest)
	}
	return out
}

// publisherAddresses returns the addresses at which the sidecars of engines accept
// subscriptions.
func publisherAddresses(s *platform.Settings, engines []string) []string {
	out := make([]string, len(engines))
	for i, address := range engines {
		out[i] = s.InternalAddress(address, portPublish)
	}
	return out
}

// targetVersions returns the target versions of a model, those that the operator has
// set to be served, as sent to sidecars in notices.
func targetVersions(server *ingress.Server, model string, now time.Time) []loadreport.TargetVersion {
	var out []loadreport.TargetVersion
	for _, n := range server.TargetVersions(model) {
		version := loadreport.TargetVersion{Version: n.Version, AgeMS: loadreport.UnknownAge, PastCutoff: n.PastCutoff(now)}
		if !n.AgeUnknown {
			version.AgeMS = now.Sub(n.LearnedAt).Milliseconds()
		}
		out = append(out, version)
	}
	return out
}
