// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/evacuation"
	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/tcpconn"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/quarantine"
	"github.com/mintlift/mintlift/readerset"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/sendbuffer"
	"github.com/mintlift/mintlift/slotgrant"
	"github.com/mintlift/mintlift/storerelay"
	"github.com/mintlift/mintlift/storewatch"
	"github.com/mintlift/mintlift/telemetry"
)

// gatewayOperator passes the operator's records from the store to a gateway's server.
type gatewayOperator struct{ *ingress.Server }

// HandleConfiguration implements platform.OperatorHandler.
func (o gatewayOperator) HandleConfiguration(c *routing.Configuration) { o.Apply(c) }

// HandleTargetVersion implements platform.OperatorHandler.
func (o gatewayOperator) HandleTargetVersion(n platform.TargetVersion, first bool) {
	o.SetTargetVersion(n.Model, n.Version, first, clock.Now())
}

// HandleEvacuation implements platform.OperatorHandler.
func (o gatewayOperator) HandleEvacuation(c evacuation.Change) {
	o.SetEvacuated(c.Zone, c.Evacuated, clock.Now())
}

// reportHandler handles the messages that sidecars send to a gateway. It passes reports
// to the gateway's server. A report may carry an echo, which relays the progress of
// other gateways; the handler passes it to the watcher and the recovery.
type reportHandler struct {
	ctx      context.Context // canceled when the daemon is closed
	server   *ingress.Server
	watcher  *platform.Watcher
	recovery *recordRecovery
}

// HandleReport implements loadreport.Handler. e is the rest of the sidecar's response to
// a subscription: the round-trip time, and what the sidecar knows from other gateways. It
// is nil if the report is not part of such a response.
func (h reportHandler) HandleReport(r fleet.Report, e *loadreport.Echo) {
	if e == nil {
		h.server.HandleReport(r, noRoundTrip)
		return
	}
	now := clock.Now()
	h.watcher.ObservePosition(e.Read, now)
	h.recovery.handleEcho(h.ctx, e, now)
	for _, v := range e.TargetVersions {
		if setAt := v.SetAt(now); !setAt.IsZero() {
			h.server.SetVersionTime(e.TargetModel, v.Version, setAt)
		}
	}
	h.server.HandleReport(r, e.RoundTrip)
}

// HandleSuspects implements loadreport.Handler. Suspects are requests suspected of
// crashing endpoints, as other gateways know them.
func (h reportHandler) HandleSuspects(suspects []quarantine.Record) {
	h.server.MergeSuspects(suspects, clock.Now())
}

// HandleGrant implements loadreport.Handler. A grant is a sidecar's response to a permit
// request of this gateway.
func (h reportHandler) HandleGrant(g backpressure.Grant) { h.server.HandleGrant(g) }

// HandleSlotGrant implements loadreport.Handler.
func (h reportHandler) HandleSlotGrant(g slotgrant.Grant) { h.server.HandleSlotGrant(g) }

// HandleEndpoints implements loadreport.Handler.
func (h reportHandler) HandleEndpoints(records []backpressure.Record) {
	h.server.MergeEndpointSignals(records)
}

// configCurrent reports whether the configuration in force can be taken as the newest:
// the store has confirmed it within the budget, and no newer records are known.
func configCurrent(p storewatch.Progress, budget freshness.Budget, now time.Time) bool {
	return !p.Behind && !p.Incomplete && !p.Confirmed.IsZero() && budget.Current(p.Age(now))
}

// noRoundTrip is the round-trip time passed for a report without a measurement.
const noRoundTrip = time.Duration(-1)

// assumedGateways is the number of gateways among which the retry budget is divided
// after this gateway has started, while their actual number is unknown.
const assumedGateways = 8

// Timeouts and limits of the server for callers.
const (
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// preDrainDelay is how long a stopping gateway still accepts new requests. The
	// platform's readiness probes must fail within this time.
	preDrainDelay = 2500 * time.Millisecond
	// maintainInterval is the interval of the server's periodic maintenance.
	maintainInterval = time.Second
)

// startPlatformGateway starts a gateway. The caller must stop or close the group. If it
// returns an error, it has closed the group itself.
func startPlatformGateway(ctx context.Context, p *platformProcess) (group *taskGroup, err error) {
	group = newTaskGroup(ctx, p.network)
	ctx = group.ctx
	defer func() {
		if err != nil {
			group.closeAll(ctx)
		}
	}()
	s := p.settings
	budget := s.RetryBudget()
	budget.Gateways = assumedGateways
	server := ingress.New(ingress.Settings{
		Place:           fleet.Place{Box: s.IP, Zone: s.Zone, Regions: s.Regions, StartedAt: clock.Now()},
		Headers:         platform.Headers(),
		DecodeSignal:    platform.DecodeSignal,
		Budget:          budget,
		VersionDeadline: s.VersionDeadline(),
		Current:         func() bool { return configCurrent(p.watcher.Progress(), s.ConfigBudget(), clock.Now()) },
		ConfigAge:       func() time.Duration { return p.watcher.Progress().Age(clock.Now()) },
		Network:         p.network,
		MemoryLimit:     s.MemoryLimit(),
	}, p.requestLog, p.log, p.metrics)
	group.addCloser(server.Close)
	front, err := p.network.Listen(ctx, "tcp4", s.Listen.Front, tcpconn.ProbeLater)
	if err != nil {
		return group, errors.Trace(err)
	}
	group.addCloser(func() { _ = front.Close() })
	unread := sendbuffer.NewPool(sendBufferBytes(s.MemoryLimit()), reportSlowReader(p, "buffers_full"))
	unread.OnStall(reportSlowReader(p, "nothing_read"))
	registerUnreadGauges(p.metrics, unread)
	ready, err := group.listen(s.Listen.Ready)
	if err != nil {
		return group, errors.Trace(err)
	}
	relays, err := group.listen(s.InternalAddress(s.IP, portRelay))
	if err != nil {
		return group, errors.Trace(err)
	}
	subscriber, err := loadreport.NewSubscriber(p.network, s.InternalAddress(s.IP, portSubscribe))
	if err != nil {
		return group, err
	}
	probes := http.NewServeMux()
	probes.HandleFunc("/ready", server.ServeReady)
	group.serve(unread.Listen(server.WatchAccepts(front)), &http.Server{
		Handler: server, ConnContext: ingress.ConnContext,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	group.serve(ready, &http.Server{Handler: probes})
	notices := newNotices(s, server, p.watcher)
	group.serve(relays, &http.Server{Handler: storerelay.Handler(server, operatorRecords{p.watcher}, notices)})
	p.serveMetrics(group, func(mux *http.ServeMux) { handleSuspects(mux, server) })

	operator := gatewayOperator{server}
	relayAddress := func(ip string) string { return s.InternalAddress(ip, portRelay) }
	timeout := readerset.RestartTimeout
	if s.Bootstrap {
		timeout = readerset.StartTimeout
	}
	recordReaders := storerelay.NewReaders(s.IP, relayAddress, timeout, p.network, p.log.WithValues("topic", "operator"))
	listReaders := storerelay.NewReaders(s.IP, relayAddress, timeout, p.network, p.log.WithValues("topic", "endpoints"))
	group.addCloser(recordReaders.Close)
	group.addCloser(listReaders.Close)
	group.addCloser(p.watcher.Close)
	members := newRegionMembers(p, server, recordReaders, listReaders)
	p.metrics.Gauge("mintlift_region_gateways", func() float64 { return float64(recordReaders.Members()) })
	p.metrics.Gauge("mintlift_region_reader", func() float64 {
		if recordReaders.Reader() {
			return 1
		}
		return 0
	})
	if s.Listen.Control != "" {
		control, err := group.listen(s.Listen.Control)
		if err != nil {
			return group, errors.Trace(err)
		}
		group.serve(control, &http.Server{Handler: storerelay.MembersHandler(members), ReadHeaderTimeout: headerTimeout})
	}
	group.spawn(func() { members.run(ctx, s.Bootstrap) })
	group.spawn(func() { members.askSeeds(ctx, p.network, s) })
	group.spawn(func() {
		p.watcher.WatchOperator(ctx, operator, recordRelay(storerelay.NewRecordFollower(recordReaders, s.ConfigBudget(), p.log)), recordReaders, s.ConfigBudget())
	})
	follower := storerelay.NewFollower(listReaders, server, s.DrainBudget(), p.log)
	group.spawn(func() { p.watchEndpoints(ctx, server, follower, listReaders) })
	recovery := &recordRecovery{watcher: p.watcher, operator: operator, readers: recordReaders, log: p.log}
	group.spawn(func() {
		subscriber.Run(ctx, func() []loadreport.SubscriptionGroup { return notices.groups(clock.Now()) }, server.NoticeDue(), reportHandler{ctx, server, p.watcher, recovery})
	})
	group.spawn(func() { sendPermitRequests(ctx, s, server, subscriber) })
	group.spawn(func() { sendSlotRequests(ctx, s, server, subscriber) })
	group.spawn(func() { maintain(ctx, server) })
	group.drain = func(ctx context.Context) { drainGateway(ctx, p, server, front, unread) }
	return group, nil
}

// sendPermitRequests sends the server's permit requests to the sidecars that
// allocate the permits, until ctx ends.
func sendPermitRequests(ctx context.Context, s *platform.Settings, server *ingress.Server, subscriber *loadreport.Subscriber) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-server.PermitRequestsPending():
		}
		for _, r := range server.TakePermitRequests() {
			subscriber.RequestPermits(r.PermitRequest, s.InternalAddress(r.Address, portPublish))
		}
	}
}

// sendSlotRequests sends the server's requests for slots to the sidecars of the engines,
// until ctx ends.
func sendSlotRequests(ctx context.Context, s *platform.Settings, server *ingress.Server, subscriber *loadreport.Subscriber) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-server.SlotRequestsPending():
		}
		for _, r := range server.TakeSlotRequests() {
			subscriber.RequestSlots(r.Request, s.InternalAddress(r.Address, portPublish))
		}
	}
}

// maintain runs the server's periodic maintenance until ctx ends.
func maintain(ctx context.Context, server *ingress.Server) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, maintainInterval)
		server.Maintain(clock.Now())
	}
}

// watchEndpoints passes the endpoint list to server until ctx ends. It waits for the
// first configuration, since that contains the models' numbers of layers.
func (p *platformProcess) watchEndpoints(ctx context.Context, server *ingress.Server, follower *storerelay.Follower, gate storewatch.Gate) {
	const pollInterval = 20 * time.Millisecond
	for server.Configuration() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
	p.watcher.WatchEndpoints(ctx, server, follower.Poll, gate, func(service string) int {
		if s := server.Configuration().Services[service]; s != nil && s.Engine != nil {
			return s.Engine.Layers
		}
		return 0
	})
}

// sendBufferShare is the share of the memory limit that may be used for responses that
// callers have not read yet, and defaultSendBufferBytes the bound without a memory limit.
const (
	sendBufferShare        = 8 // an eighth
	defaultSendBufferBytes = 16 << 20
)

// sendBufferBytes returns the bound of the send buffers of a process with a memory limit;
// both are in bytes, and the limit is 0 if there is none.
func sendBufferBytes(memoryLimit int64) int {
	if memoryLimit <= 0 {
		return defaultSendBufferBytes
	}
	return int(memoryLimit / sendBufferShare)
}

// registerUnreadGauges registers gauges of the responses that callers have not read yet.
func registerUnreadGauges(m *telemetry.Metrics, unread *sendbuffer.Pool) {
	m.Gauge("mintlift_gateway_slow_readers", func() float64 {
		connections, _ := unread.Buffered()
		return float64(connections)
	})
	m.Gauge("mintlift_gateway_unread_bytes", func() float64 {
		_, bytes := unread.Buffered()
		return float64(bytes)
	})
}

// reportSlowReader returns a function that logs and counts a caller whose connection was
// closed for a reason before it had read its response.
func reportSlowReader(p *platformProcess, reason string) func(caller string, buffered int, behind time.Duration) {
	return func(caller string, buffered int, behind time.Duration) {
		p.log.Info("slow reader closed", "caller", caller, "reason", reason, "buffered", buffered, "behind_ms", behind.Milliseconds())
		p.metrics.Counter("mintlift_gateway_slow_readers_closed_total", "reason", reason).Inc()
	}
}

// drainGateway makes the gateway unready, stops accepting requests after preDrainDelay,
// and waits until the requests in progress have ended and callers have read their
// responses, or ctx is done. It does not close
// idle connections, as http.Server.Shutdown does, because a request may be arriving on
// them.
func drainGateway(ctx context.Context, p *platformProcess, server *ingress.Server, front net.Listener, unread *sendbuffer.Pool) {
	server.StartStopping()
	select {
	case <-time.After(preDrainDelay):
	case <-ctx.Done():
	}
	for range maxDrainSteps {
		if sleepUnpaused(ctx, drainStep) {
			break
		}
	}
	server.Refuse()
	_ = front.Close()
	for idle := 0; ctx.Err() == nil && idle < idlePolls; idle++ {
		if slow, _ := unread.Buffered(); server.InFlight() > 0 || slow > 0 {
			idle = 0
		}
		if !sleepUnpaused(ctx, idlePollInterval) {
			idle = min(idle, idlePolls-minUnpausedPolls-1)
		}
	}
	if n := server.InFlight(); n > 0 {
		p.log.Info("requests aborted at the end of the grace period", "in_flight", n)
	}
}

// sleepUnpaused sleeps for d or until ctx is done. It returns false if that took more than
// twice as long: the process has been paused meanwhile, and connections and requests that
// arrived during the pause may not have been read yet.
func sleepUnpaused(ctx context.Context, d time.Duration) bool {
	began := clock.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	return clock.Since(began) <= 2*d
}

// A gateway is drained once idlePolls consecutive polls, idlePollInterval apart, have
// found no request in progress.
const (
	idlePollInterval = 30 * time.Millisecond
	idlePolls        = 8
	// minUnpausedPolls is the minimum number of polls after a pause of the process.
	minUnpausedPolls = 3
	// Before it stops accepting, drainGateway waits for a step of drainStep without a
	// pause of the process, but at most for maxDrainSteps steps: a gateway that gets
	// little processor time may have none.
	drainStep     = 50 * time.Millisecond
	maxDrainSteps = 10
)
