// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/internal/linksim"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "run benchmarks of the scheduling decisions in simulated time",
		Commands: []*cli.Command{{
			Name:        "transfer",
			Usage:       "simulate transfers: time to N replicas and origin bytes; deterministic",
			Description: "Example: mintlift bench transfer --boxes 64 --boxes 410",
			Flags: []cli.Flag{
				&cli.IntSliceFlag{Name: "boxes", Usage: "number of boxes; repeatable", Value: linksim.Sizes},
				&cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				rows := linksim.Table(c.IntSlice("boxes"))
				out := c.Root().Writer
				if !c.Bool("json") {
					linksim.Markdown(out, rows)
					return nil
				}
				enc := json.NewEncoder(out)
				enc.SetIndent("", "  ")
				return enc.Encode(rows)
			},
		}},
	}
}
