// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"fmt"
	"io"
	"io/fs"
	"path"
	"regexp"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Sweep is a report of the users' benchmark, which replays the same test day at
// several sizes of a deployment. The field names of Sweep, SweepDay and SweepRow
// are part of the output of "mintlift capacity --json".
type Sweep struct {
	// Site is the deployment's name.
	Site string
	// Sizes are numbers of machines that run mintlift. Target is the number to
	// which the figures are extrapolated, or 0 if there is none.
	Sizes  []int
	Target int
	Days   []SweepDay
	Rows   []SweepRow
}

// SweepDay is the benchmark's result at one size of the deployment.
type SweepDay struct {
	Name string
	// Worth is the share of the credit for the day's requests that was earned.
	// Served is the share of requests served.
	Worth, Served float64
	// Broken lists the benchmark's rules that were violated; empty means none.
	Broken string
}

// SweepRow is one measured quantity at each size of the deployment.
type SweepRow struct {
	Name string
	// Busiest is the value of the most loaded machine, or the longest time,
	// at each of Sweep.Sizes, as printed in the report.
	Busiest []string
	// Power is the exponent with which the value grows with the number of
	// machines. AtTarget is the value extrapolated to Sweep.Target. Both are
	// as printed in the report.
	Power, AtTarget string
}

// Patterns of the report's lines: the header of the table, the line of a test day,
// and the space between two cells of a row.
var (
	sweepHeaderPattern = regexp.MustCompile(`^((?:\s+\d+)+)\s+power\s+at (\d+|null)\s*$`)
	sweepDayPattern    = regexp.MustCompile(`^(sweep-\d+)\s+\d+/\d+\s+-?[\d.]+\s+(-?[\d.]+)\s+([\d.]+)\s`)
	cellSeparator      = regexp.MustCompile(`\s{2,}`)
)

// ParseSweep parses a report. A report without sizes or figures, or without a
// day for each size, is an errors.NotValid error.
func ParseSweep(site, report string) (Sweep, error) {
	s := Sweep{Site: site}
	for _, line := range strings.Split(report, "\n") {
		switch {
		case sweepDayPattern.MatchString(line):
			if err := s.addDay(line); err != nil {
				return s, err
			}
		case sweepHeaderPattern.MatchString(line):
			if err := s.addHeader(line); err != nil {
				return s, err
			}
		case len(s.Sizes) > 0:
			s.addRow(line)
		}
	}
	if len(s.Sizes) == 0 || len(s.Rows) == 0 || len(s.Days) != len(s.Sizes) {
		return s, errors.NotValidf("sweep of %s with %d sizes, %d days and %d figures", site, len(s.Sizes), len(s.Days), len(s.Rows))
	}
	return s, nil
}

// addDay parses the line of one size of the deployment and appends it to s.Days. The
// line has the worth, the share of requests served (see SweepDay) and, after
// "BROKEN: ", the rules of the benchmark that were violated. It must match
// sweepDayPattern.
func (s *Sweep) addDay(line string) error {
	m := sweepDayPattern.FindStringSubmatch(line)
	worth, err := strconv.ParseFloat(m[2], 64)
	if err != nil {
		return errors.Trace(err)
	}
	served, err := strconv.ParseFloat(m[3], 64)
	if err != nil {
		return errors.Trace(err)
	}
	_, broken, _ := strings.Cut(line, "BROKEN: ")
	s.Days = append(s.Days, SweepDay{Name: m[1], Worth: worth, Served: served, Broken: strings.TrimSpace(broken)})
	return nil
}

// addHeader parses the header line of the table, which has the sizes of the deployment
// and the target size, or "null" if there is no target. It must match
// sweepHeaderPattern.
func (s *Sweep) addHeader(line string) error {
	m := sweepHeaderPattern.FindStringSubmatch(line)
	for _, field := range strings.Fields(m[1]) {
		size, err := strconv.Atoi(field)
		if err != nil {
			return errors.Trace(err)
		}
		s.Sizes = append(s.Sizes, size)
	}
	if m[2] == "null" {
		return nil
	}
	target, err := strconv.Atoi(m[2])
	s.Target = target
	return errors.Trace(err)
}

// addRow parses a row of the table. Lines whose number of cells does not fit
// the table are ignored.
func (s *Sweep) addRow(line string) {
	parts := cellSeparator.Split(strings.TrimSpace(line), -1)
	if len(parts) != len(s.Sizes)+3 {
		return
	}
	row := SweepRow{Name: parts[0], Power: parts[len(parts)-2], AtTarget: parts[len(parts)-1]}
	for _, cell := range parts[1 : len(parts)-2] {
		if _, busiest, ok := strings.Cut(cell, " / "); ok {
			cell = busiest
		}
		row.Busiest = append(row.Busiest, cell)
	}
	s.Rows = append(s.Rows, row)
}

// Markdown writes the sweep as a section of docs/CAPACITY.md.
func (s *Sweep) Markdown(w io.Writer) {
	_, _ = fmt.Fprintf(w, "### %s\n\n|", s.Site)
	for _, size := range s.Sizes {
		_, _ = fmt.Fprintf(w, " | %d machines", size)
	}
	target := "no target"
	if s.Target > 0 {
		target = fmt.Sprintf("at %d", s.Target)
	}
	_, _ = fmt.Fprintf(w, " | power | %s |\n|---|%s\n", target, strings.Repeat("---:|", len(s.Sizes)+2))
	_, _ = fmt.Fprint(w, "| served, worth, rules broken")
	for _, d := range s.Days {
		broken := d.Broken
		if broken == "" {
			broken = "none"
		}
		_, _ = fmt.Fprintf(w, " | %.3f, %.3f, %s", d.Served, d.Worth, broken)
	}
	_, _ = fmt.Fprint(w, " | | |\n")
	for _, r := range s.Rows {
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s |\n", r.Name, strings.Join(r.Busiest, " | "), r.Power, r.AtTarget)
	}
	_, _ = fmt.Fprintln(w)
}

// Sweeps parses the benchmark reports in the directory sweeps of files, sorted by
// file name. A report's file name is the name of its deployment with suffix ".txt".
func Sweeps(files fs.FS) ([]Sweep, error) {
	names, err := fs.Glob(files, "sweeps/*.txt")
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out []Sweep
	for _, name := range names {
		report, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		s, err := ParseSweep(strings.TrimSuffix(path.Base(name), ".txt"), string(report))
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}
