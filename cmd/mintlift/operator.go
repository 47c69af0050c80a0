// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/internal/call"
)

// clientFlags returns the flags of a command that calls a gateway, followed by
// more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "gateway", Usage: "gateway's administration `IP:PORT`", Value: "127.0.0.1:8081", Sources: cli.EnvVars("MINTLIFT_GATEWAY")},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the operator's key", Sources: cli.EnvVars("MINTLIFT_KEY_FILE")},
		&cli.StringFlag{Name: "ca-file", Usage: "use TLS and trust the CA certificates in `FILE`", Sources: cli.EnvVars("MINTLIFT_CA_FILE")},
		&cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"},
	}, more...)
}

// newClient returns a client configured by the flags of clientFlags.
func newClient(c *cli.Command) (*admin.Client, error) {
	key := ""
	if file := c.String("key-file"); file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.WithType(err, errUsage)
		}
		key = strings.TrimSpace(string(b))
	}
	var o call.Options
	if file := c.String("ca-file"); file != "" {
		pem, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.WithType(err, errUsage)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.WithType(errors.Errorf("%s holds no certificate", file), errUsage)
		}
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	return admin.NewClient(c.String("gateway"), key, o), nil
}

// clientAction returns an action that makes a client from the command's flags and calls
// f with it.
func clientAction(f func(ctx context.Context, c *cli.Command, api *admin.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		api, err := newClient(c)
		if err != nil {
			return err
		}
		return f(ctx, c, api)
	}
}

// singleArg returns the command's only argument, or an error if the number of arguments
// is not 1. what is the argument's name in the error.
func singleArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.WithType(errors.Errorf("%s wants one argument, the %s", c.FullName(), what), errUsage)
	}
	return c.Args().First(), nil
}

// printResult prints v as JSON if --json is set. Otherwise it prints the output of
// table, with the columns aligned.
func printResult(c *cli.Command, v any, table func(w io.Writer)) error {
	out := c.Root().Writer
	if c.Bool("json") {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printRow prints the cells of one line, separated by tabs.
func printRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

// statusCommand returns the command that prints the status of one gateway.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the status of a gateway",
		Description: "Example: mintlift status --gateway 10.0.0.7:8081 --key-file operator.key",
		Flags:       clientFlags(),
		Action: clientAction(func(ctx context.Context, c *cli.Command, api *admin.Client) error {
			s, err := api.Status(ctx)
			if err != nil {
				return err
			}
			return printResult(c, s, func(w io.Writer) {
				printRow(w, "box", s.Gateway.Box)
				printRow(w, "incarnation", s.Gateway.Incarnation)
				printRow(w, "log offset", s.Gateway.Offset)
				printRow(w, "log heard", fmt.Sprintf("%d ms ago", s.Gateway.ContactMS))
				printRow(w, "log silent", s.LogUnresponsive)
				printRow(w, "state digest", fmt.Sprintf("%.12s", s.Digest))
				printRow(w, "workspaces", s.Workspaces)
				printRow(w, "plans", s.Plans)
				printRow(w, "in flight", s.Gateway.Load)
				printRow(w, "draining", s.Gateway.Draining)
			})
		}),
	}
}

// boxesCommand returns the command that lists the boxes and what they serve.
func boxesCommand() *cli.Command {
	return &cli.Command{
		Name:        "boxes",
		Usage:       "list the boxes and what they serve",
		Description: "Example: mintlift boxes --json",
		Flags:       clientFlags(),
		Action: clientAction(func(ctx context.Context, c *cli.Command, api *admin.Client) error {
			boxes, err := api.Boxes(ctx)
			if err != nil {
				return err
			}
			return printResult(c, boxes, func(w io.Writer) {
				printRow(w, "BOX", "ZONE", "LIST", "ANSWERS", "DRAINING", "OFFSET", "LOAD", "COPIES")
				for _, b := range boxes {
					printRow(w, b.Box.ID, b.Box.Zone, b.Box.State, b.Reached, b.Status.Draining, b.Status.Offset, b.Status.Load, formatCopies(b))
				}
			})
		}),
	}
}

// formatCopies returns the states of a box's copies of versions. For an incomplete copy
// it includes the number of chunks held.
func formatCopies(b admin.BoxStatus) string {
	var out []string
	for _, c := range b.Status.Copies {
		text := fmt.Sprintf("%s %s", c.Ref, c.State)
		if c.Held < c.Chunks {
			text += fmt.Sprintf(" %d/%d", c.Held, c.Chunks)
		}
		if c.Blocked != "" {
			text += " (" + c.Blocked + ")"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

func workspacesCommand() *cli.Command {
	list := clientAction(func(ctx context.Context, c *cli.Command, api *admin.Client) error {
		all, err := api.Workspaces(ctx)
		if err != nil {
			return err
		}
		return printResult(c, all, func(w io.Writer) {
			printRow(w, "WORKSPACE", "PRIORITY", "MAX IN FLIGHT", "FLOOR")
			for _, ws := range all {
				printRow(w, ws.Name, ws.Priority, ws.MaxInFlight, ws.Floor)
			}
		})
	})
	return &cli.Command{
		Name:   "workspaces",
		Usage:  "list, change and remove workspaces",
		Flags:  clientFlags(),
		Action: list,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the workspaces", Flags: clientFlags(), Action: list},
			{
				Name: "set", Usage: "add or change a workspace", ArgsUsage: "NAME",
				Description: "Example: mintlift workspaces set liceo-salto --workspace-key-file liceo.key --priority 40 --floor 2",
				Flags: clientFlags(
					&cli.StringFlag{Name: "workspace-key-file", Usage: "`FILE` with the workspace's key"},
					&cli.IntFlag{Name: "priority", Usage: "price class, 1 to 100"},
					&cli.IntFlag{Name: "max-in-flight", Usage: "maximum number of requests in progress at one gateway, 0 for no limit"},
					&cli.IntFlag{Name: "floor", Usage: "minimum number of boxes that must keep serving it"},
				),
				Action: clientAction(setWorkspace),
			},
			{
				Name: "remove", Usage: "remove a workspace", ArgsUsage: "NAME", Flags: clientFlags(),
				Action: clientAction(func(ctx context.Context, c *cli.Command, api *admin.Client) error {
					name, err := singleArg(c, "workspace")
					if err != nil {
						return err
					}
					return api.RemoveWorkspace(ctx, name)
				}),
			},
		},
	}
}

// setWorkspace applies the changes that the flags describe to the workspace named by the
// argument.
func setWorkspace(ctx context.Context, c *cli.Command, api *admin.Client) error {
	name, err := singleArg(c, "workspace")
	if err != nil {
		return err
	}
	var change admin.WorkspaceChange
	if file := c.String("workspace-key-file"); file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return errors.WithType(err, errUsage)
		}
		key := strings.TrimSpace(string(b))
		change.Key = &key
	}
	for flag, field := range map[string]**int{"priority": &change.Priority, "max-in-flight": &change.MaxInFlight, "floor": &change.Floor} {
		if c.IsSet(flag) {
			v := c.Int(flag)
			*field = &v
		}
	}
	ws, err := api.SetWorkspace(ctx, name, change)
	if err != nil {
		return err
	}
	return printResult(c, ws, func(w io.Writer) {
		printRow(w, "workspace", ws.Name)
		printRow(w, "priority", ws.Priority)
		printRow(w, "max in flight", ws.MaxInFlight)
		printRow(w, "floor", ws.Floor)
	})
}

func operatorsCommand() *cli.Command {
	return &cli.Command{
		Name:  "operators",
		Usage: "manage operators",
		Commands: []*cli.Command{{
			Name: "set", Usage: "add an operator or change its key", ArgsUsage: "NAME",
			Description: "Example: mintlift operators set ana --operator-key-file ana.key",
			Flags:       clientFlags(&cli.StringFlag{Name: "operator-key-file", Usage: "`FILE` with the new key", Required: true}),
			Action: clientAction(func(ctx context.Context, c *cli.Command, api *admin.Client) error {
				name, err := singleArg(c, "operator")
				if err != nil {
					return err
				}
				b, err := os.ReadFile(c.String("operator-key-file"))
				if err != nil {
					return errors.WithType(err, errUsage)
				}
				return api.SetOperator(ctx, name, strings.TrimSpace(string(b)))
			}),
		}},
	}
}
