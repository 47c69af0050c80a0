// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/capacity"
	"github.com/mintlift/mintlift/docs"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:        "capacity",
		Usage:       "compute the cost of each role at full size from the committed measurements",
		Description: "Example: mintlift capacity --json",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"}},
		Action: func(_ context.Context, c *cli.Command) error {
			rows, err := capacity.RowsFromJSON(docs.Capacity, docs.Transfer)
			if err != nil {
				return err
			}
			sweeps, err := capacity.Sweeps(docs.Sweeps)
			if err != nil {
				return err
			}
			if !c.Bool("json") {
				capacity.Markdown(c.Root().Writer, rows)
				for _, s := range sweeps {
					s.Markdown(c.Root().Writer)
				}
				return nil
			}
			enc := json.NewEncoder(c.Root().Writer)
			enc.SetIndent("", "  ")
			return enc.Encode(struct {
				Rows   []capacity.Row
				Sweeps []capacity.Sweep
			}{rows, sweeps})
		},
	}
}
