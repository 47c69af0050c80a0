// SPDX-License-Identifier: Apache-2.0

package main

import "github.com/urfave/cli/v3"

func benchCommand() *cli.Command {
	return &cli.Command{Name: "bench", Usage: "measure mintlift in virtual time"}
}
