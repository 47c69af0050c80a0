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
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/telemetry"
)

// Internal ports of our processes, counted from the first of the settings.
const (
	portSidecars  = 0 // TCP: between sidecars
	portRelay     = 0 // TCP: what a gateway has read from the store
	portPublish   = 1 // UDP: subscriptions at a sidecar
	portSubscribe = 2 // UDP: reports to a gateway
	portMetrics   = 3 // TCP: metrics
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform, by the settings that it hands out",
		Commands: []*cli.Command{
			{
				Name:  "gateway",
				Usage: "serve callers on an entry box",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return runPlatformDaemon(ctx, "gateway", startPlatformGateway)
				},
			},
			{
				Name:  "sidecar",
				Usage: "bring the engine of this box to the named version",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return runPlatformDaemon(ctx, "sidecar", startPlatformSidecar)
				},
			},
			clearSuspectCommand(),
		},
	}
}

// platformProcess is what the two daemons on the platform start from.
type platformProcess struct {
	settings *platform.Settings
	requestLog logr.Logger // lines about single requests
	log   logr.Logger // lines about what the process believes
	metrics  *telemetry.Metrics
	watcher  *platform.Watcher
}

// stopMargin is kept of the grace for closing logs.
const logCloseTimeout = 400 * time.Millisecond

// collectAt is how much garbage may gather, in percent of what lives. With 75,
// and with a third copy of versions (installer.keptCopies), memory took a
// hundredth more of a day's worth where it is dear.
const gcPercent = 50

// runPlatform runs a daemon until SIGTERM.
func runPlatformDaemon(ctx context.Context, part string, start func(context.Context, *platformProcess) (*taskGroup, error)) error {
	debug.SetGCPercent(gcPercent)
	sink := telemetry.NewSink(os.Stdout)
	defer sink.Close(logCloseTimeout / 2)
	level := telemetry.LogSettings{Level: telemetry.LevelInfo}
	events := telemetry.Part(telemetry.NewLogger(sink.Rare(), level), part)
	settings, err := platform.LoadSettings()
	if err != nil {
		events.Error(err, "settings not usable")
		return err
	}
	metrics := telemetry.NewMetrics()
	p := &platformProcess{
		settings: settings,
		requestLog: telemetry.Part(telemetry.NewLogger(sink, level), part),
		log:   events,
		metrics:  metrics,
		watcher:  platform.NewWatcher(platform.NewStore(settings.Store.Address), events, metrics),
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	all, err := start(ctx, p)
	if err != nil {
		events.Error(err, "start failed")
		return err
	}
	go clock.Watch(ctx, func(suspended time.Duration) {
		events.Info("woken", "suspended_ms", suspended.Milliseconds())
	})
	events.Info("started", "release", version, "node", settings.Node, "zone", settings.Zone, "ip", settings.IP)
	for {
		s := <-signals
		if s != syscall.SIGHUP {
			break
		}
		// Settings are read at the start only: none of those in use changes
		// within a life.
		events.Info("reload without effect")
	}
	grace := settings.Grace() - logCloseTimeout
	events.Info("stopping", "grace_ms", grace.Milliseconds())
	ending, done := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer done()
	all.stop(ending)
	events.Info("stopped")
	return nil
}

// serveMetrics serves metrics, and the calls that more adds if it is not nil, until
// all ends; a process without them works on.
func (p *platformProcess) serveMetrics(all *taskGroup, more func(*http.ServeMux)) {
	listener, err := all.listen(p.settings.Internal(p.settings.IP, portMetrics))
	if err != nil {
		p.log.Error(err, "metrics not served")
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", p.metrics.Handler)
	if more != nil {
		more(mux)
	}
	all.serve(listener, &http.Server{Handler: mux})
}
