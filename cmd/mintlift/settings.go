// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/examples"
	"github.com/mintlift/mintlift/settings"
)

func settingsCommand() *cli.Command {
	role := &cli.StringFlag{Name: "role", Usage: "gateway or sidecar", Value: "gateway"}
	return &cli.Command{
		Name:  "settings",
		Usage: "validate settings files and print examples",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "list every error in a settings file", ArgsUsage: "FILE",
				Description: "Example: mintlift settings check --role sidecar sidecar.json",
				Flags:       []cli.Flag{role, &cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"}},
				Action:      checkSettings,
			},
			{
				Name: "example", Usage: "print an example settings file",
				Description: "Example: mintlift settings example --role gateway --deployment marcador-andino",
				Flags:       []cli.Flag{role, &cli.StringFlag{Name: "deployment", Usage: "anuario-celeste or marcador-andino", Value: "anuario-celeste"}},
				Action: func(_ context.Context, c *cli.Command) error {
					b, err := examples.Files.ReadFile(c.String("deployment") + "-" + c.String("role") + ".json")
					if err != nil {
						return errors.WithType(errors.Errorf("no example for role %q of deployment %q", c.String("role"), c.String("deployment")), errUsage)
					}
					_, err = c.Root().Writer.Write(b)
					return err
				},
			},
		},
	}
}

// checkSettings prints every error in a settings file. It returns an error of type
// errUsage if there is any.
func checkSettings(_ context.Context, c *cli.Command) error {
	file, err := singleArg(c, "settings file")
	if err != nil {
		return err
	}
	switch c.String("role") {
	case "gateway":
		_, err = settings.LoadGateway(file)
	case "sidecar":
		_, err = settings.LoadSidecar(file)
	default:
		return errors.WithType(errors.Errorf("role %q (want gateway or sidecar)", c.String("role")), errUsage)
	}
	var problems settings.Problems
	if err != nil && !errors.As(err, &problems) {
		return errors.WithType(err, errUsage)
	}
	if printErr := printResult(c, problems, func(w io.Writer) {
		for _, p := range problems {
			printRow(w, p.Path, p.Value, "want "+p.Want)
		}
		if len(problems) == 0 {
			fmt.Fprintln(w, "ok")
		}
	}); printErr != nil {
		return printErr
	}
	if len(problems) > 0 {
		return errors.WithType(errors.Errorf("%d mistakes in %s", len(problems), file), errUsage)
	}
	return nil
}
