// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run a demonstration of the whole request path in one process, on stand-ins",
		Description: "Example: mintlift demo --logs",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "logs", Usage: "print the processes' logs to standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			var logs io.Writer
			if c.Bool("logs") {
				logs = os.Stderr
			}
			err := demo.Run(ctx, c.Root().Writer, logs)
			if errors.Is(err, demo.ErrViolated) {
				return errors.WithType(err, errInvariant)
			}
			return err
		},
	}
}
