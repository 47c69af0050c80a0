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

// gatewayOperator gives what the store tells to a gateway.
type gatewayOperator struct{ *ingress.Server }

// Configured implements platform.Operator.
func (v gatewayOperator) Configured(c *routing.Configuration) { v.Apply(c) }

// Named implements platform.Operator.
func (v gatewayOperator) Named(n platform.Naming, first bool) {
	v.NameVersion(n.Model, n.Version, first, clock.Now())
}

// reportHandler gives what sidecars tell to a gateway.
type reportHandler struct {
	ctx      context.Context // of the process
	server   *ingress.Server
	watcher  *platform.Watcher
	readers  *storerelay.Readers
	recovery *recordRecovery
}

// Heard implements loadreport.Handler.
func (v reportHandler) Heard(r fleet.Report, e *loadreport.Echo) {
	if e == nil {
		v.server.Heard(r, noRoundTrip)
		return
	}
	now := clock.Now()
	v.watcher.OthersRead(e.Read, now)
	v.readers.Heard(e.Readers, now)
	v.recovery.handleEcho(v.ctx, e, now)
	v.server.Heard(r, e.RoundTrip)
}

// HeardSuspects implements loadreport.Handler.
func (v reportHandler) HeardSuspects(suspects []quarantine.Record) {
	v.server.HeardSuspects(suspects, clock.Now())
}

// Granted implements loadreport.Handler.
func (v reportHandler) Granted(g backpressure.Grant) { v.server.Granted(g) }

// HeardEndpoints implements loadreport.Handler.
func (v reportHandler) HeardEndpoints(records []backpressure.Record) {
	v.server.HeardEndpoints(records)
}

// configCurrent reports whether the configuration in force is known to be the
// newest.
func configCurrent(p storewatch.Progress, budget freshness.Budget, now time.Time) bool {
	return !p.Behind && !p.Lacks && !p.Confirmed.IsZero() && budget.Current(p.Age(now))
}

// noRoundTrip says that a report measured none.
const noRoundTrip = time.Duration(-1)

// assumedGateways divides what all gateways may do together; the settings
// do not tell how many there are.
const assumedGateways = 8

// Limits of the callers' server.
const (
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// preDrainDelay is how long a stopping gateway takes new requests, until the
	// platform has seen that it is not ready.
	preDrainDelay    = 2500 * time.Millisecond
	maintainInterval = time.Second
)

func startPlatformGateway(ctx context.Context, p *platformProcess) (all *taskGroup, err error) {
	all = newTaskGroup(ctx)
	ctx = all.ctx
	defer func() {
		if err != nil {
			all.close(ctx)
		}
	}()
	s := p.settings
	budget := s.RetryBudget()
	budget.Gateways = assumedGateways
	server := ingress.New(ingress.Settings{
		Place:           fleet.Place{Box: s.IP, Zone: s.Zone, Regions: s.Regions},
		Headers:         platform.Headers(),
		Signal:          platform.Signal,
		Budget:          budget,
		VersionDeadline: s.VersionDeadline(),
		Current:         func() bool { return configCurrent(p.watcher.Progress(), s.ConfigBudget(), clock.Now()) },
		ConfigAge:       func() time.Duration { return p.watcher.Progress().Age(clock.Now()) },
	}, p.requestLog, p.log, p.metrics)
	all.addCloser(server.Close)
	front, err := tcpconn.Listen(ctx, s.Listen.Front, tcpconn.ProbeLater)
	if err != nil {
		return all, errors.Trace(err)
	}
	all.addCloser(func() { _ = front.Close() })
	ready, err := all.listen(s.Listen.Ready)
	if err != nil {
		return all, errors.Trace(err)
	}
	relays, err := all.listen(s.Internal(s.IP, portRelay))
	if err != nil {
		return all, errors.Trace(err)
	}
	subscriber, err := loadreport.NewSubscriber(s.Internal(s.IP, portSubscribe))
	if err != nil {
		return all, err
	}
	probes := http.NewServeMux()
	probes.HandleFunc("/ready", server.ServeReady)
	all.serve(server.Accepting(front), &http.Server{
		Handler: server, ConnContext: ingress.ConnContext,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	all.serve(ready, &http.Server{Handler: probes})
	all.serve(relays, &http.Server{Handler: storerelay.Handler(server, operatorRecords{p.watcher})})
	p.serveMetrics(all, func(mux *http.ServeMux) { handleClearSuspect(mux, server) })

	view := gatewayOperator{server}
	readers := storerelay.NewReaders(s.IP, func(ip string) string { return s.Internal(ip, portRelay) }, p.log)
	all.addCloser(readers.Close)
	all.addCloser(p.watcher.Close)
	all.spawn(func() {
		p.watcher.WatchOperator(ctx, view, recordRelay(storerelay.NewRecordFollower(readers, s.ConfigBudget(), p.log)), s.ConfigBudget())
	})
	follower := storerelay.NewFollower(readers, server, s.DrainBudget(), p.log)
	all.spawn(func() { p.watchEndpoints(ctx, server, follower) })
	told := func() []loadreport.Audience {
		return subscriptionGroups(s, server, operatorProgressOf(p.watcher), clock.Now())
	}
	learner := &recordRecovery{watcher: p.watcher, operator: view, readers: readers, log: p.log}
	all.spawn(func() {
		subscriber.Run(ctx, told, server.TellSoon(), reportHandler{ctx, server, p.watcher, readers, learner})
	})
	all.spawn(func() { sendPermitRequests(ctx, s, server, subscriber) })
	all.spawn(func() { maintain(ctx, server) })
	all.drain = func(ending context.Context) { drainGateway(ending, p, server, front) }
	return all, nil
}

// sendPermitRequests sends what the server asks of sidecars, until ctx ends.
func sendPermitRequests(ctx context.Context, s *platform.Settings, server *ingress.Server, subscriber *loadreport.Subscriber) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-server.AskSoon():
		}
		for _, a := range server.Asks() {
			subscriber.Ask(a.Ask, s.Internal(a.Address, portPublish))
		}
	}
}

// maintain lets the server forget what has grown old, until ctx ends.
func maintain(ctx context.Context, server *ingress.Server) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, maintainInterval)
		server.Maintain(clock.Now())
	}
}

// operatorProgress is how much a gateway knows of what the operator wrote.
type operatorProgress struct {
	position   history.Position
	versionSum int64
}

func operatorProgressOf(w *platform.Watcher) operatorProgress {
	return operatorProgress{w.Progress().Read, w.Knowledge()}
}

// subscriptionGroups are the sidecars of each service of engines, and what they are
// told.
func subscriptionGroups(s *platform.Settings, server *ingress.Server, k operatorProgress, now time.Time) []loadreport.Audience {
	c := server.Configuration()
	if c == nil {
		return nil
	}
	var out []loadreport.Audience
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		notice := loadreport.Notice{
			Model: service.Engine.Model, Region: s.Region, Read: k.position.Offset, Era: k.position.Era, Knowledge: k.versionSum,
			Demand: math.Round(server.Demand(name, now)), Named: namedVersions(server, service.Engine.Model, now),
		}
		weights, ok := c.Weights(name)
		knowing, others := server.EngineAddresses(name, weights.Sum(), now)
		out = append(out, loadreport.Audience{Sidecars: publisherAddresses(s, knowing), Notice: notice})
		if ok {
			notice.Weights = &weights
		}
		out = append(out, loadreport.Audience{Sidecars: publisherAddresses(s, others), Notice: notice})
	}
	suspects := server.Suspects(now)
	if len(suspects) == 0 {
		return out
	}
	return addSuspects(out, suspects, suspectRelays(s, server, c, now))
}

// suspectRelays are the sidecars that pass on what gateways tell each other.
func suspectRelays(s *platform.Settings, server *ingress.Server, c *routing.Configuration, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for name := range c.Services {
		for _, relay := range publisherAddresses(s, server.Relays(name, now)) {
			out[relay] = true
		}
	}
	return out
}

// addSuspects divides audiences into the relays, which are told suspects, and
// the others.
func addSuspects(audiences []loadreport.Audience, suspects []quarantine.Record, relays map[string]bool) []loadreport.Audience {
	var out []loadreport.Audience
	for _, a := range audiences {
		told := loadreport.Audience{Notice: a.Notice}
		told.Notice.Suspects = suspects
		rest := loadreport.Audience{Notice: a.Notice}
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

// publisherAddresses are the addresses of the sidecars beside engines.
func publisherAddresses(s *platform.Settings, engines []string) []string {
	out := make([]string, len(engines))
	for i, address := range engines {
		out[i] = s.Internal(address, portPublish)
	}
	return out
}

// namedVersions are the named versions of a model as sidecars are told.
func namedVersions(server *ingress.Server, model string, now time.Time) []loadreport.Named {
	var out []loadreport.Named
	for _, n := range server.Named(model) {
		told := loadreport.Named{Version: n.Version, AgeMS: loadreport.UnknownAge, Overdue: n.Overdue(now)}
		if !n.First {
			told.AgeMS = now.Sub(n.Learned).Milliseconds()
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
	p.watcher.WatchEndpoints(ctx, server, follower.Follow, func(service string) int {
		if named := server.Configuration().Services[service]; named != nil && named.Engine != nil {
			return named.Engine.Layers
		}
		return 0
	})
}

// drainGateway lets requests in progress end. Resting connections are left
// to the end of the process: net/http's Shutdown closes them also while a
// request on one of them is being read, and so loses the request.
func drainGateway(ending context.Context, p *platformProcess, server *ingress.Server, front net.Listener) {
	server.StartStopping()
	select {
	case <-time.After(preDrainDelay):
	case <-ending.Done():
	}
	server.Refuse()
	_ = front.Close()
	for quiet := 0; ending.Err() == nil && quiet < idlePolls; quiet++ {
		if server.InFlight() > 0 {
			quiet = 0
		}
		time.Sleep(idlePollInterval)
	}
	if n := server.InFlight(); n > 0 {
		p.log.Info("requests cut off at the end of the grace", "in_flight", n)
	}
}

// A stopping gateway ends once quietLooks looks in a row, quietLook apart,
// have found no request in progress.
const (
	idlePollInterval = 30 * time.Millisecond
	idlePolls        = 8
)
