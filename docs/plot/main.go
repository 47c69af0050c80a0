// SPDX-License-Identifier: Apache-2.0

// Command plot draws the worth of a test day's requests over time, before and
// after a change. Worth is the share of the credit for the requests that was
// earned. The data are two reports of the benchmark (fleetbench run --report):
//
//	go run ./docs/plot -title "litoral scale-1" -out docs/plot/scale-1.svg before.json after.json
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"image/color"
	"os"
	"strconv"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	width  = 18 * vg.Centimeter
	height = 7 * vg.Centimeter
)

// report holds the fields of a benchmark report that are plotted.
type report struct {
	// Windows are consecutive periods of two seconds. Name is the start of the
	// window in seconds. Worth is the share of the window's credit that was
	// earned, or nil if there was no credit to earn.
	Windows []struct {
		Name  string   `json:"name"`
		Worth *float64 `json:"worth"`
	} `json:"windows"`
}

// main plots the reports of two benchmark runs, before and after a change.
func main() {
	title := flag.String("title", "", "title of the plot")
	out := flag.String("out", "worth.svg", "file to write; its suffix chooses the format")
	flag.Parse()
	if flag.NArg() != 2 {
		fmt.Fprintln(os.Stderr, "usage: plot [-title TITLE] [-out FILE] BEFORE.json AFTER.json")
		os.Exit(2)
	}
	if err := draw(*title, *out, flag.Arg(0), flag.Arg(1)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// draw reads the reports before and after and writes their plot to the file out.
func draw(title, out, before, after string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second of the day"
	p.Y.Label.Text = "worth"
	p.Y.Min, p.Y.Max = 0, 1
	for _, series := range []struct {
		name, file string
		color      color.Color
	}{
		{"before", before, color.Gray{Y: 150}},
		{"after", after, color.RGBA{B: 180, A: 255}},
	} {
		points, err := read(series.file)
		if err != nil {
			return errors.Annotate(err, series.file)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = series.color
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	return errors.Trace(p.Save(width, height, out))
}

// read returns the points of a report's plot: the start of each window in seconds
// and its worth. Windows without worth are left out.
func read(file string) (plotter.XYs, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Trace(err)
	}
	var out plotter.XYs
	for _, w := range r.Windows {
		second, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, errors.Annotatef(err, "window %q", w.Name)
		}
		if w.Worth != nil {
			out = append(out, plotter.XY{X: second, Y: *w.Worth})
		}
	}
	if len(out) == 0 {
		return nil, errors.NotFoundf("windows")
	}
	return out, nil
}
