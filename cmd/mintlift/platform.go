// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/telemetry"
)

// Internal ports of the daemons, as offsets from the first port of the range in the
// settings. A gateway and a sidecar may use the same offset.
const (
	portSidecars  = 0 // TCP: chunks, between sidecars
	portRelay     = 0 // TCP: store records and lists, from a gateway to other processes
	portPublish   = 1 // UDP: subscriptions and permit requests, at a sidecar
	portSubscribe = 2 // UDP: reports, at a gateway
	portMetrics   = 3 // TCP: metrics; at a gateway also calls of clear-suspect
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the daemons of a platform, with the settings that it provides",
		Commands: []*cli.Command{
			{
				Name:  "gateway",
				Usage: "run the gateway of an entry box",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return runPlatformDaemon(ctx, "gateway", startPlatformGateway)
				},
			},
			{
				Name:  "sidecar",
				Usage: "run the sidecar that installs the named versions on this box's engine",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return runPlatformDaemon(ctx, "sidecar", startPlatformSidecar)
				},
			},
			clearSuspectCommand(),
			suspectsCommand(),
		},
	}
}

// platformProcess holds what both daemons of the platform need to start: settings,
// loggers, metrics and a watcher of the platform's store.
type platformProcess struct {
	settings   *platform.Settings
	network    network.Network
	requestLog logr.Logger // one line per request
	log        logr.Logger // events of the process and changes of its state
	metrics    *telemetry.Metrics
	watcher    *platform.Watcher
}

// shutdownMargin is the part of the grace period reserved for closing logs.
const shutdownMargin = 400 * time.Millisecond

// gcPercent is the GOGC value of the daemons. It is below Go's default to use less
// memory.
const gcPercent = 50

// gcLimitPercent is the share of the process's memory limit from which the garbage
// collector runs more often. The rest is for memory outside of the heap, such as the
// buffers of sockets, which count towards the limit.
const gcLimitPercent = 75

// runPlatformDaemon runs a daemon until SIGTERM or SIGINT, then drains and closes it
// within the grace period. SIGHUP is logged and otherwise ignored. component is the name
// of the daemon in log lines.
func runPlatformDaemon(ctx context.Context, component string, start func(context.Context, *platformProcess) (*taskGroup, error)) error {
	debug.SetGCPercent(gcPercent)
	sink := telemetry.NewSink(os.Stdout)
	defer sink.Close(shutdownMargin / 2)
	level := telemetry.LogSettings{Level: telemetry.LevelInfo}
	log := telemetry.NamedLogger(telemetry.NewLogger(sink.PriorityWriter(), level), component)
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Error(err, "cannot load settings")
		return err
	}
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit * gcLimitPercent / 100)
	}
	metrics := telemetry.NewMetrics()
	system := network.System{}
	p := &platformProcess{
		settings:   settings,
		network:    system,
		requestLog: telemetry.NamedLogger(telemetry.NewLogger(sink, level), component),
		log:        log,
		metrics:    metrics,
		watcher:    platform.NewWatcher(platform.NewStore(system, settings.Store.Address), log, metrics),
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, err := start(ctx, p)
	if err != nil {
		log.Error(err, "start failed")
		return err
	}
	go clock.Watch(ctx, func(suspended time.Duration) {
		log.Info("resumed after suspension", "suspended_ms", suspended.Milliseconds())
	})
	log.Info("started", "release", version, "node", settings.Node, "zone", settings.Zone, "ip", settings.IP)
	for {
		s := <-signals
		if s != syscall.SIGHUP {
			break
		}
		// Settings are read only when the process starts.
		log.Info("reload signal ignored")
	}
	grace := settings.Grace() - shutdownMargin
	log.Info("stopping", "grace_ms", grace.Milliseconds())
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancelStop()
	group.stop(stopCtx)
	log.Info("stopped")
	return nil
}

// serveMetrics serves the metrics until group is closed. register, if not nil, adds
// further handlers to the server. If the address is not available, serveMetrics logs an
// error and the process runs without this server.
func (p *platformProcess) serveMetrics(group *taskGroup, register func(*http.ServeMux)) {
	listener, err := group.listen(p.settings.InternalAddress(p.settings.IP, portMetrics))
	if err != nil {
		p.log.Error(err, "cannot serve metrics")
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", p.metrics.Handler)
	if register != nil {
		register(mux)
	}
	group.serve(listener, &http.Server{Handler: mux})
}
