// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "generate open-loop load from a mix of requests and report the results",
		Description: "Example: mintlift load --mix examples/mixes/derby-night.json --target 127.0.0.1:8080",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "mix", Usage: "JSON `FILE` with the mix", Required: true},
			&cli.StringSliceFlag{Name: "target", Usage: "gateway's caller IP:port; repeatable", Required: true},
			&cli.Float64Flag{Name: "rate", Usage: "override the mix's rate, in requests per second"},
			&cli.Float64Flag{Name: "seconds", Usage: "override the mix's duration, in seconds"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			m, err := load.ReadMix(c.String("mix"))
			if err != nil {
				return err
			}
			m.Targets = c.StringSlice("target")
			if c.IsSet("rate") {
				m.Rate = c.Float64("rate")
			}
			if c.IsSet("seconds") {
				m.Seconds = c.Float64("seconds")
			}
			r, err := load.Run(ctx, m)
			if err != nil {
				return err
			}
			if !c.Bool("json") {
				return r.Print(c.Root().Writer)
			}
			enc := json.NewEncoder(c.Root().Writer)
			enc.SetIndent("", "  ")
			return enc.Encode(r)
		},
	}
}
