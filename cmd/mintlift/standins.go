// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/weights"
)

// standinCommand returns the command that runs stand-ins, simple replacements of the
// platform's services and of endpoints, for tests and trials only.
func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "IP:port", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a platform service (tests and trials only)",
		Commands: []*cli.Command{
			{
				Name: "log", Usage: "the log service", Flags: []cli.Flag{listen, &cli.IntFlag{Name: "keep", Usage: "records kept per stream, 0 for all"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					l := standin.NewLog()
					l.Keep = c.Int("keep")
					return runStandin(ctx, c, l.Handler())
				},
			},
			{
				Name: "store", Usage: "the weight store and the origin",
				Flags: []cli.Flag{
					listen,
					&cli.FloatFlag{Name: "rate", Usage: "origin's rate in bytes per second, 0 for no limit"},
					&cli.StringSliceFlag{Name: "publish", Usage: "model@version to publish"},
					&cli.StringSliceFlag{Name: "broken", Usage: "model@version to publish with an invalid manifest"},
					&cli.Int64Flag{Name: "bytes", Usage: "size of each version", Value: 16 << 20},
					&cli.Int64Flag{Name: "chunk", Usage: "size of a chunk", Value: 256 << 10},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					s := standin.NewStore(c.Float("rate"))
					for _, name := range c.StringSlice("publish") {
						ref, err := weights.ParseRef(name)
						if err != nil {
							return err
						}
						s.Publish(standin.NewManifest(ref, c.Int64("bytes"), c.Int64("chunk")))
					}
					for _, name := range c.StringSlice("broken") {
						ref, err := weights.ParseRef(name)
						if err != nil {
							return err
						}
						s.PublishRaw(ref, []byte(`{"model":"`+ref.Model+`","version":"`+ref.Version+`","bytes":10,"chunk_bytes":4,"chunks":[]}`))
					}
					return runStandin(ctx, c, s.Handler())
				},
			},
			{
				Name: "boxes", Usage: "the box list", Flags: []cli.Flag{listen, &cli.StringFlag{Name: "list", Usage: "JSON `FILE` with the boxes"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					l := new(standin.BoxList)
					if file := c.String("list"); file != "" {
						boxes, err := readBoxes(file)
						if err != nil {
							return err
						}
						l.Set(boxes)
					}
					return runStandin(ctx, c, l.Handler())
				},
			},
			{
				Name: "engine", Usage: "one or more model engines, each on its own port",
				Flags: []cli.Flag{
					listen,
					&cli.IntFlag{Name: "count", Usage: "number of engines", Value: 1},
					&cli.BoolFlag{Name: "check-fences", Usage: "reject orders with a stale fence"},
					&cli.Int64Flag{Name: "memory", Usage: "bytes for loaded versions, 0 for no limit"},
					&cli.DurationFlag{Name: "token-time", Usage: "time to generate a token", Value: 5 * time.Millisecond},
					&cli.BoolFlag{Name: "forget", Usage: "discard the bytes of staged chunks"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					engines := make([]http.Handler, c.Int("count"))
					for i := range engines {
						e := standin.NewEngine()
						e.ChecksFences, e.MemoryBytes, e.DiscardChunks = c.Bool("check-fences"), c.Int64("memory"), c.Bool("forget")
						e.TokenTime, e.FirstTokenTime = c.Duration("token-time"), c.Duration("token-time")
						engines[i] = e.Handler()
					}
					return runStandin(ctx, c, engines...)
				},
			},
			{
				Name: "service", Usage: "a service without model weights", Flags: []cli.Flag{listen},
				Action: func(ctx context.Context, c *cli.Command) error {
					return runStandin(ctx, c, new(standin.Service).Handler())
				},
			},
		},
	}
}

// readBoxes returns the boxes of a JSON file.
func readBoxes(file string) ([]membership.Box, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var boxes []membership.Box
	return boxes, json.Unmarshal(b, &boxes)
}

// runStandin serves each handler on its own port, prints the addresses on one
// line, separated by commas, and runs until SIGTERM or SIGINT.
func runStandin(ctx context.Context, c *cli.Command, handlers ...http.Handler) error {
	var addresses []string
	for _, h := range handlers {
		s, err := standin.Serve(c.String("listen"), h)
		if err != nil {
			return err
		}
		defer s.Close()
		addresses = append(addresses, s.Address())
	}
	fmt.Fprintln(c.Root().Writer, strings.Join(addresses, ","))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	return nil
}
