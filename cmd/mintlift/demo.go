// SPDX-License-Identifier: Apache-2.0

package main

import "github.com/urfave/cli/v3"

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "show the whole path in one process on stand-ins"}
}
