// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/mintlift/mintlift/gateway"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/sidecar"
	"github.com/mintlift/mintlift/telemetry"
)

// daemon is a started gateway or sidecar.
type daemon interface {
	// Stop drains the daemon, then closes it.
	Stop(ctx context.Context) error
}

// settingsFlag returns the required flag for a daemon's settings file.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "JSON settings `FILE`", Required: true}
}

// gatewayCommand returns the command that runs a gateway until it is stopped by a signal.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:        "gateway",
		Usage:       "run the gateway process of an entry box",
		Description: "Example: mintlift gateway --settings /etc/mintlift/gateway.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.LoadGateway(c.String("settings"))
			if err != nil {
				return err
			}
			return runDaemon(ctx, "gateway", s.Trace, s.DrainTimeout, func() (daemon, error) {
				return gateway.Start(s, telemetry.NamedLogger(telemetry.NewLogger(os.Stderr, s.Log), "gateway"))
			})
		},
	}
}

// sidecarCommand returns the command that runs a sidecar until it is stopped by a signal.
func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:        "sidecar",
		Usage:       "run the sidecar process of an endpoint",
		Description: "Example: mintlift sidecar --settings /etc/mintlift/sidecar.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.LoadSidecar(c.String("settings"))
			if err != nil {
				return err
			}
			return runDaemon(ctx, "sidecar", s.Trace, s.DrainTimeout, func() (daemon, error) {
				return sidecar.Start(s, telemetry.NamedLogger(telemetry.NewLogger(os.Stderr, s.Log), "sidecar"))
			})
		},
	}
}

// runDaemon starts a daemon and stops it on SIGTERM, SIGINT or the end of ctx. It sets
// the time after which go-zero forces an exit after a signal to more than drainTimeout,
// so that requests in progress can end.
func runDaemon(ctx context.Context, name string, t telemetry.TraceSettings, drainTimeout time.Duration, start func() (daemon, error)) error {
	const forceQuitMargin = 10 * time.Second
	proc.SetTimeToForceQuit(drainTimeout + forceQuitMargin)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stopTraces, err := telemetry.StartTraces("mintlift-"+name, t)
	if err != nil {
		return err
	}
	defer stopTraces()
	d, err := start()
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	return d.Stop(context.WithoutCancel(ctx))
}
