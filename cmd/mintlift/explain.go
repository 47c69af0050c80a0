// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show the log lines about a request, all its attempts, an endpoint or a version",
		ArgsUsage:   "[ID] FILE...",
		Description: "Examples: mintlift explain 9c41d07be2a35f68 gateway-*.log\n          mintlift explain --endpoint i-7f3a91c2 *.log\n          mintlift explain --causes 2s gateway-*.log",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "endpoint", Usage: "lines about the endpoint with this `ID`"},
			&cli.StringFlag{Name: "identity", Usage: "lines about all attempts of the request with this `IDENTITY`"},
			&cli.StringFlag{Name: "version", Usage: "lines about this `VERSION` of the weights"},
			&cli.DurationFlag{Name: "causes", Usage: "count outcomes and causes of requests in windows of this `LENGTH`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if window := c.Duration("causes"); window > 0 {
				return explainCauses(c, window)
			}
			filter, files, err := explainArguments(c)
			if err != nil {
				return err
			}
			lines, err := readLogs(files, filter)
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.NotFoundf("%q in %d files", filter.Value, len(files))
			}
			if !c.Bool("json") {
				return explain.Write(c.Root().Writer, lines)
			}
			return writeJSONLines(c.Root().Writer, lines)
		},
	}
}

// explainCauses counts the outcomes and causes of the requests in the log files and
// prints the counts for each window of time.
func explainCauses(c *cli.Command, window time.Duration) error {
	files := c.Args().Slice()
	if len(files) == 0 {
		return errors.WithType(errors.New("say which log files to read"), errUsage)
	}
	causes := explain.NewCauses(window)
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Trace(err)
		}
		err = causes.Add(file)
		_ = file.Close() // read only
		if err != nil {
			return errors.Annotate(err, name)
		}
	}
	list := causes.List()
	if len(list) == 0 {
		return errors.NotFoundf("ends of requests in %d files", len(files))
	}
	if !c.Bool("json") {
		return explain.WriteCauses(c.Root().Writer, list)
	}
	return writeJSONLines(c.Root().Writer, list)
}

// writeJSONLines prints each item as a line of JSON.
func writeJSONLines[T any](w io.Writer, items []T) error {
	encoder := json.NewEncoder(w)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// explainArguments returns the filter and the log files from the command line.
func explainArguments(c *cli.Command) (explain.Filter, []string, error) {
	files := c.Args().Slice()
	var filter explain.Filter
	switch {
	case c.String("endpoint") != "":
		filter = explain.Endpoint(c.String("endpoint"))
	case c.String("identity") != "":
		filter = explain.Identity(c.String("identity"))
	case c.String("version") != "":
		filter = explain.Version(c.String("version"))
	case len(files) > 0:
		filter, files = explain.Request(files[0]), files[1:]
	}
	if filter.Value == "" || len(files) == 0 {
		return filter, nil, errors.WithType(errors.New("say what to explain, and the log files to read"), errUsage)
	}
	return filter, files, nil
}

// readLogs returns the matching lines of all files, sorted.
func readLogs(files []string, filter explain.Filter) ([]explain.Line, error) {
	var out []explain.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		lines, err := explain.Read(file, name, filter)
		_ = file.Close()
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		out = append(out, lines...)
	}
	explain.Sort(out)
	return out, nil
}
