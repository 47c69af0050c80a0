// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/tcpconn"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/storerelay"
	"github.com/mintlift/mintlift/storewatch"
)

// gatewayView gives what the store tells to a gateway.
type gatewayView struct{ *ingress.Server }

// Configured implements platform.Operator.
func (v gatewayView) HandleConfiguration(c *routing.Configuration) { v.Apply(c) }

// Named implements platform.Operator.
func (v gatewayView) HandleNamedVersion(n platform.NamedVersion, first bool) {
	v.NameVersion(n.Model, n.Version, first, clock.Now())
}

// sidecarsView gives what sidecars tell to a gateway.
type sidecarsView struct {
	ctx     context.Context // of the process
	server  *ingress.Server
	watcher *platform.Watcher
	readers *storerelay.Readers
	learner *learner
}

// Heard implements loadreport.Handler.
func (v sidecarsView) HandleReport(r fleet.Report, e *loadreport.Echo) {
	if e == nil {
		v.server.HandleReport(r, noRoundTrip)
		return
	}
	now := clock.Now()
	v.watcher.ObservePosition(e.Read, now)
	v.readers.Add(e.Readers, now)
	v.learner.heard(v.ctx, e, now)
	v.server.HandleReport(r, e.RoundTrip)
}

// HeardSuspects implements loadreport.Handler.
func (v sidecarsView) HandleSuspects(suspects []quarantine.Record) {
	v.server.MergeSuspects(suspects, clock.Now())
}

// Granted implements loadreport.Handler.
func (v sidecarsView) HandleGrant(g backpressure.Grant) { v.server.HandleGrant(g) }

// HeardEndpoints implements loadreport.Handler.
func (v sidecarsView) HandleEndpoints(records []backpressure.Record) {
	v.server.MergeEndpointSignals(records)
}

// current reports whether the configuration in force is known to be the
// newest.
func current(p storewatch.Progress, budget freshness.Budget, now time.Time) bool {
	return !p.Behind && !p.Incomplete && !p.Confirmed.IsZero() && budget.Current(p.Age(now))
}

// noRoundTrip says that a report measured none.
const noRoundTrip = time.Duration(-1)

// assumedGateways divides what all gateways may do together; the settings
// do not tell how many there are.
const assumedGateways = 8

// Limits of the callers' server.
const (
	headerTimeout  = 10 * time.Second
	callerIdle     = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// drainLead is how long a stopping gateway takes new requests, until the
	// platform has seen that it is not ready.
	drainLead     = 2500 * time.Millisecond
	maintainEvery = time.Second
)

func startPlatformGateway(ctx context.Context, p *platformProcess) (all *running, err error) {
	all = newRunning(ctx)
	ctx = all.ctx
	defer func() {
		if err != nil {
			all.end(ctx)
		}
	}()
	s := p.settings
	budget := s.RetryBudget()
	budget.Gateways = assumedGateways
	server := ingress.New(ingress.Settings{
		Place:           fleet.Place{Box: s.IP, Zone: s.Zone, Regions: s.Regions},
		Headers:         platform.Headers(),
		DecodeSignal:    platform.DecodeSignal,
		Budget:          budget,
		VersionDeadline: s.VersionDeadline(),
		Current:         func() bool { return current(p.watcher.Progress(), s.ConfigBudget(), clock.Now()) },
		ConfigAge:       func() time.Duration { return p.watcher.Progress().Age(clock.Now()) },
	}, p.requests, p.events, p.metrics)
	all.onEnd(server.Close)
	front, err := tcpconn.Listen(ctx, s.Listen.Front, tcpconn.ProbeLater)
	if err != nil {
		return all, errors.Trace(err)
	}
	all.onEnd(func() { _ = front.Close() })
	ready, err := all.listen(s.Listen.Ready)
	if err != nil {
		return all, errors.Trace(err)
	}
	relays, err := all.listen(s.InternalAddress(s.IP, portRelay))
	if err != nil {
		return all, errors.Trace(err)
	}
	subscriber, err := loadreport.NewSubscriber(s.InternalAddress(s.IP, portSubscribe))
	if err != nil {
		return all, err
	}
	probes := http.NewServeMux()
	probes.HandleFunc("/ready", server.ServeReady)
	all.serve(server.WatchAccepts(front), &http.Server{
		Handler: server, ConnContext: ingress.ConnContext,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes,
	})
	all.serve(ready, &http.Server{Handler: probes})
	all.serve(relays, &http.Server{Handler: storerelay.Handler(server, operatorRecords{p.watcher})})
	p.serveMetrics(all, func(mux *http.ServeMux) { handleClearSuspect(mux, server) })

	view := gatewayView{server}
	readers := storerelay.NewReaders(s.IP, func(ip string) string { return s.InternalAddress(ip, portRelay) }, p.events)
	all.onEnd(readers.Close)
	all.onEnd(p.watcher.Close)
	all.spawn(func() {
		p.watcher.WatchOperator(ctx, view, relay(storerelay.NewRecordFollower(readers, s.ConfigBudget(), p.events)), s.ConfigBudget())
	})
	follower := storerelay.NewFollower(readers, server, s.DrainBudget(), p.events)
	all.spawn(func() { p.watchEndpoints(ctx, server, follower) })
	told := func() []loadreport.SubscriptionGroup {
		return audiences(s, server, knownOf(p.watcher), clock.Now())
	}
	learner := &learner{watcher: p.watcher, operator: view, readers: readers, log: p.events}
	all.spawn(func() {
		subscriber.Run(ctx, told, server.NoticeDue(), sidecarsView{ctx, server, p.watcher, readers, learner})
	})
	all.spawn(func() { askPermits(ctx, s, server, subscriber) })
	all.spawn(func() { maintain(ctx, server) })
	all.drain = func(ending context.Context) { stopGateway(ending, p, server, front) }
	return all, nil
}

// askPermits sends what the server asks of sidecars, until ctx ends.
func askPermits(ctx context.Context, s *platform.Settings, server *ingress.Server, subscriber *loadreport.Subscriber) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-server.PermitRequestsPending():
		}
		for _, a := range server.TakePermitRequests() {
			subscriber.RequestPermits(a.PermitRequest, s.InternalAddress(a.Address, portPublish))
		}
	}
}

// maintain lets the server forget what has grown old, until ctx ends.
func maintain(ctx context.Context, server *ingress.Server) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, maintainEvery)
		server.Maintain(clock.Now())
	}
}

// known is how much a gateway knows of what the operator wrote.
type known struct {
	read      history.Position
	knowledge int64
}

func knownOf(w *platform.Watcher) known { return known{w.Progress().Read, w.VersionSum()} }

// audiences are the sidecars of each service of engines, and what they are
// told.
func audiences(s *platform.Settings, server *ingress.Server, k known, now time.Time) []loadreport.SubscriptionGroup {
	c := server.Configuration()
	if c == nil {
		return nil
	}
	var out []loadreport.SubscriptionGroup
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		notice := loadreport.Notice{
			Model: service.Engine.Model, Region: s.Region, Read: k.read.Offset, Era: k.read.Era, VersionSum: k.knowledge,
			Demand: math.Round(server.Demand(name, now)), NamedVersions: named(server, service.Engine.Model, now),
		}
		weights, ok := c.Weights(name)
		knowing, others := server.EngineAddresses(name, weights.Checksum(), now)
		out = append(out, loadreport.SubscriptionGroup{Sidecars: publishers(s, knowing), Notice: notice})
		if ok {
			notice.Weights = &weights
		}
		out = append(out, loadreport.SubscriptionGroup{Sidecars: publishers(s, others), Notice: notice})
	}
	suspects := server.Suspects(now)
	if len(suspects) == 0 {
		return out
	}
	return tellSuspects(out, suspects, relaysOf(s, server, c, now))
}

// relaysOf are the sidecars that pass on what gateways tell each other.
func relaysOf(s *platform.Settings, server *ingress.Server, c *routing.Configuration, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for name := range c.Services {
		for _, relay := range publishers(s, server.Relays(name, now)) {
			out[relay] = true
		}
	}
	return out
}

// tellSuspects divides audiences into the relays, which are told suspects, and
// the others.
func tellSuspects(audiences []loadreport.SubscriptionGroup, suspects []quarantine.Record, relays map[string]bool) []loadreport.SubscriptionGroup {
	var out []loadreport.SubscriptionGroup
	for _, a := range audiences {
		told := loadreport.SubscriptionGroup{Notice: a.Notice}
		told.Notice.Suspects = suspects
		rest := loadreport.SubscriptionGroup{Notice: a.Notice}
		for _, sidecar := range a.Sidecars {
			if relays[sidecar] {
				told.Sidecars = append(told.Sidecars, sidecar)
			} else {
				rest.Sidecars = append(rest.Sidecars, sidecar)
			}
		}
		out = append(out, told, rest)
	}
	return out
}

// publishers are the addresses of the sidecars beside engines.
func publishers(s *platform.Settings, engines []string) []string {
	out := make([]string, len(engines))
	for i, address := range engines {
		out[i] = s.InternalAddress(address, portPublish)
	}
	return out
}

// named are the named versions of a model as sidecars are told.
func named(server *ingress.Server, model string, now time.Time) []loadreport.NamedVersion {
	var out []loadreport.NamedVersion
	for _, n := range server.NamedVersions(model) {
		told := loadreport.NamedVersion{Version: n.Version, AgeMS: loadreport.UnknownAge, PastCutoff: n.Overdue(now)}
		if !n.AgeUnknown {
			told.AgeMS = now.Sub(n.LearnedAt).Milliseconds()
		}
		out = append(out, told)
	}
	return out
}

// watchEndpoints reads the list once the configuration, which says how many
// layers a model has, is known.
func (p *platformProcess) watchEndpoints(ctx context.Context, server *ingress.Server, follower *storerelay.Follower) {
	const look = 20 * time.Millisecond
	for server.Configuration() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(look):
		}
	}
	p.watcher.WatchEndpoints(ctx, server, follower.Poll, func(service string) int {
		if named := server.Configuration().Services[service]; named != nil && named.Engine != nil {
			return named.Engine.Layers
		}
		return 0
	})
}

// stopGateway lets requests in progress end. Resting connections are left
// to the end of the process: net/http's Shutdown closes them also while a
// request on one of them is being read, and so loses the request.
func stopGateway(ending context.Context, p *platformProcess, server *ingress.Server, front net.Listener) {
	server.StartStopping()
	select {
	case <-time.After(drainLead):
	case <-ending.Done():
	}
	server.Refuse()
	_ = front.Close()
	for quiet := 0; ending.Err() == nil && quiet < quietLooks; quiet++ {
		if server.InFlight() > 0 {
			quiet = 0
		}
		time.Sleep(quietLook)
	}
	if n := server.InFlight(); n > 0 {
		p.events.Info("requests cut off at the end of the grace", "in_flight", n)
	}
}

// A stopping gateway ends once quietLooks looks in a row, quietLook apart,
// have found no request in progress.
const (
	quietLook  = 30 * time.Millisecond
	quietLooks = 8
)
