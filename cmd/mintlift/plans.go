// SPDX-License-Identifier: Apache-2.0

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/weights"
)

func intentCommand() *cli.Command {
	return &cli.Command{
		Name:  "intent",
		Usage: "request that a version serve workspaces; the result is a plan",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "request a plan; nothing changes until it is confirmed", ArgsUsage: "MODEL@VERSION",
				Description: "Example: mintlift intent create celeste-draft@v7 --workspace liceo-salto --zone salto",
				Flags: clientFlags(
					&cli.StringSliceFlag{Name: "workspace", Usage: "workspace to serve; repeatable", Required: true},
					&cli.StringSliceFlag{Name: "zone", Usage: "availability zone; repeatable; default all"},
					&cli.StringSliceFlag{Name: "box", Usage: "box; repeatable; default all"},
					&cli.IntFlag{Name: "replicas", Usage: "number of boxes, 0 for all that match"},
					&cli.IntFlag{Name: "priority", Usage: "override the workspaces' priority"},
					&cli.StringFlag{Name: "weighing", Usage: "time_to_replicas or origin_bytes; default is the deployment's setting"},
				),
				Action: clientAction(createIntent),
			},
			{Name: "list", Usage: "list the intents and their plans", Flags: clientFlags(), Action: clientAction(listPlans)},
			{
				Name: "show", Usage: "show the plan of an intent", ArgsUsage: "INTENT", Flags: clientFlags(),
				Action: clientAction(showIntent),
			},
		},
	}
}

func planCommand() *cli.Command {
	planAction := func(call func(*admin.Client, context.Context, string) (*intent.Plan, error)) cli.ActionFunc {
		return clientAction(func(ctx context.Context, c *cli.Command, api *admin.Client) error {
			id, err := singleArg(c, "plan")
			if err != nil {
				return err
			}
			p, err := call(api, ctx, id)
			if err != nil {
				return err
			}
			return printPlan(c, p)
		})
	}
	return &cli.Command{
		Name:  "plan",
		Usage: "show, confirm, end and watch plans",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the plans", Flags: clientFlags(), Action: clientAction(listPlans)},
			{Name: "show", Usage: "show a plan", ArgsUsage: "PLAN", Flags: clientFlags(), Action: planAction((*admin.Client).Plan)},
			{Name: "confirm", Usage: "confirm a proposed plan, so that it is carried out", ArgsUsage: "PLAN", Flags: clientFlags(), Action: planAction((*admin.Client).Confirm)},
			{Name: "reject", Usage: "reject a proposed plan", ArgsUsage: "PLAN", Flags: clientFlags(), Action: planAction((*admin.Client).Reject)},
			{Name: "cancel", Usage: "cancel a confirmed plan; the one before it takes effect again", ArgsUsage: "PLAN", Flags: clientFlags(), Action: planAction((*admin.Client).Cancel)},
			{
				Name: "watch", Usage: "show a plan's progress until it is done", ArgsUsage: "PLAN",
				Description: "Example: mintlift plan watch 5f0c... --timeout 10m",
				Flags:       clientFlags(&cli.DurationFlag{Name: "timeout", Value: 30 * time.Minute, Usage: "maximum time to wait"}, &cli.DurationFlag{Name: "every", Value: time.Second, Usage: "polling interval"}),
				Action:      clientAction(watchPlan),
			},
		},
	}
}

// createIntent submits the intent that the flags describe, and prints the plan that is
// proposed for it.
func createIntent(ctx context.Context, c *cli.Command, api *admin.Client) error {
	name, err := singleArg(c, "model@version")
	if err != nil {
		return err
	}
	ref, err := weights.ParseRef(name)
	if err != nil {
		return errors.WithType(err, errUsage)
	}
	p, err := api.CreateIntent(ctx, intent.Intent{
		Ref:        ref,
		Workspaces: c.StringSlice("workspace"),
		Zones:      c.StringSlice("zone"),
		Boxes:      c.StringSlice("box"),
		Replicas:   c.Int("replicas"),
		Priority:   c.Int("priority"),
		Weighing:   intent.Weighing(c.String("weighing")),
	})
	if err != nil {
		return err
	}
	return printPlan(c, p)
}

// listPlans prints one line for each plan.
func listPlans(ctx context.Context, c *cli.Command, api *admin.Client) error {
	plans, err := api.Plans(ctx)
	if err != nil {
		return err
	}
	return printResult(c, plans, func(w io.Writer) {
		printRow(w, "PLAN", "INTENT", "VERSION", "WORKSPACES", "BOXES", "PRIORITY", "STATUS", "REASON")
		for _, p := range plans {
			printRow(w, p.ID, p.Intent.ID, p.Intent.Ref, strings.Join(p.Intent.Workspaces, ","), len(p.Steps), p.Priority, p.Status, p.Reason)
		}
	})
}

// showIntent prints the last listed plan of an intent.
func showIntent(ctx context.Context, c *cli.Command, api *admin.Client) error {
	id, err := singleArg(c, "intent")
	if err != nil {
		return err
	}
	plans, err := api.Plans(ctx)
	if err != nil {
		return err
	}
	for _, p := range slices.Backward(plans) {
		if p.Intent.ID == id {
			return printPlan(c, p)
		}
	}
	return admin.Errorf(admin.CodeNotFound, "intent %q does not exist", id)
}

func printPlan(c *cli.Command, p *intent.Plan) error {
	return printResult(c, p, func(w io.Writer) {
		printRow(w, "plan", p.ID)
		printRow(w, "status", strings.TrimSpace(string(p.Status)+" "+p.Reason))
		printRow(w, "version", p.Intent.Ref)
		printRow(w, "manifest", fmt.Sprintf("%.12s", p.ManifestDigest))
		printRow(w, "size", fmt.Sprintf("%d bytes in %d chunks", p.Bytes, p.Chunks))
		printRow(w, "workspaces", strings.Join(p.Intent.Workspaces, ", "))
		printRow(w, "priority", p.Priority)
		printRow(w, "made from offset", p.Base)
		printRow(w, "expires", time.UnixMilli(p.ExpiresAt).UTC().Format(time.RFC3339))
		for _, f := range p.Forecasts {
			mark := ""
			if f.Weighing == p.Weighing {
				mark = " (chosen)"
			}
			printRow(w, "forecast "+string(f.Weighing), fmt.Sprintf("%v to all replicas, %d bytes from the origin%s", f.TimeToReplicas.Round(time.Millisecond), f.OriginBytes, mark))
		}
		for _, cap := range p.Capacities {
			printRow(w, "capacity "+cap.Workspace, fmt.Sprintf("%d boxes now, %d at the lowest, floor %d", cap.Now, cap.Lowest, cap.Floor))
		}
		for i, s := range p.Steps {
			evicts := ""
			for _, e := range s.Evicts {
				evicts += " evicts " + e.String()
			}
			printRow(w, fmt.Sprintf("box %d", i+1), fmt.Sprintf("%s in %s, first copy from %s, wave %d%s", s.Box, s.Zone, s.Source, s.Wave, evicts))
		}
	})
}

// zoneProgress is the progress of a plan in one availability zone, as sums over the
// zone's boxes.
type zoneProgress struct {
	zone                        string
	boxes, serving, unreachable int
	chunksHeld, chunksAll       int
}

// progressByZone returns the progress of each zone, sorted by zone.
func progressByZone(p *admin.Progress) []zoneProgress {
	sums := make(map[string]*zoneProgress)
	for _, b := range p.Boxes {
		zone := b.Step.Zone.String()
		z := sums[zone]
		if z == nil {
			z = &zoneProgress{zone: zone}
			sums[zone] = z
		}
		z.boxes++
		z.chunksAll += p.Plan.Chunks
		z.chunksHeld += b.Copy.Held
		if !b.Reached {
			z.unreachable++
		}
		if b.Copy.State == weights.Serving {
			z.serving++
		}
	}
	var out []zoneProgress
	for _, z := range sums {
		out = append(out, *z)
	}
	slices.SortFunc(out, func(a, b zoneProgress) int { return cmp.Compare(a.zone, b.zone) })
	return out
}

// format returns a line with a progress bar of the chunks held and the numbers of boxes.
func (z zoneProgress) format() string {
	const width = 30
	share := 0.0
	if z.chunksAll > 0 {
		share = float64(z.chunksHeld) / float64(z.chunksAll)
	}
	full := int(share * width)
	bar := strings.Repeat("#", full) + strings.Repeat(".", width-full)
	text := fmt.Sprintf("%-24s [%s] %3.0f%%  %d/%d serving", z.zone, bar, 100*share, z.serving, z.boxes)
	if z.unreachable > 0 {
		text += fmt.Sprintf(", %d silent", z.unreachable)
	}
	return text
}

// watchPlan prints a plan's progress until the plan is done. On a terminal it shows a
// progress bar for each zone, updated in place; otherwise it prints one line per poll.
func watchPlan(ctx context.Context, c *cli.Command, api *admin.Client) error {
	id, err := singleArg(c, "plan")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	out := c.Root().Writer
	terminal := isTerminal(out)
	lines := 0
	for {
		p, err := api.Progress(ctx, id)
		if err != nil {
			return err
		}
		if terminal && lines > 0 {
			fmt.Fprintf(out, "\x1b[%dA", lines)
		}
		lines = printProgress(out, p, terminal)
		if p.Done() {
			return nil
		}
		if p.Plan.Status != intent.Confirmed {
			return admin.Errorf(admin.CodeNotProposed, "plan %s is %s: nothing to watch", id, p.Plan.Status)
		}
		select {
		case <-ctx.Done():
			return admin.Errorf(admin.CodeUnavailable, "plan %s is not done after %v", id, c.Duration("timeout"))
		case <-time.After(c.Duration("every")):
		}
	}
}

// printProgress prints the progress once and returns the number of lines printed.
func printProgress(out io.Writer, p *admin.Progress, terminal bool) int {
	sum := fmt.Sprintf("%d/%d serving, origin %d bytes, peers %d bytes, bad chunks %d", p.Serving, len(p.Boxes), p.OriginBytes, p.PeerBytes, p.BadChunks)
	if !terminal {
		fmt.Fprintln(out, sum)
		return 1
	}
	zones := progressByZone(p)
	for _, z := range zones {
		fmt.Fprintf(out, "\x1b[2K%s\n", z.format())
	}
	fmt.Fprintf(out, "\x1b[2K%s\n", sum)
	return len(zones) + 1
}

// isTerminal reports whether out is a character device, such as a terminal.
func isTerminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
