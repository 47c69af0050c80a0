// SPDX-License-Identifier: Apache-2.0

// Package capacity works out what each role costs at a given size from
// slopes that were measured. The measurements and the sizes are data
// (docs/capacity.json); the page docs/CAPACITY.md is made from them, and a
// test fails when the two disagree.
package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// Data is what docs/capacity.json holds.
type Data struct {
	// Machine says on what the measurements ran, and Commands how.
	Machine  string    `json:"machine"`
	Commands []string  `json:"commands"`
	Sizes    Sizes     `json:"sizes"`
	Bounds   Bounds    `json:"bounds"`
	Idle     []Idle    `json:"idle"`
	Requests []Request `json:"requests"`
	State    []State   `json:"state"`
	Herd     Herd      `json:"herd"`
}

// Sizes are those expected within two years.
type Sizes struct {
	Gateways       int     `json:"gateways"`
	Sidecars       int     `json:"sidecars"`
	Runners        int     `json:"runners"`
	Requests       float64 `json:"requests_a_second"`
	Tokens         float64 `json:"tokens_a_second"`
	Changes        int     `json:"changes_a_day"`
	Replaced       int     `json:"boxes_replaced_a_day"`
	Failed         int     `json:"boxes_failed_a_day"`
	Workspaces     int     `json:"workspaces"`
	PlansInForce   int     `json:"plans_in_force"`
	Rollouts       int     `json:"rollouts_a_day"`
	WavesARollout  int     `json:"waves_a_rollout"`
	CheckpointEach int     `json:"records_a_checkpoint"`
}

// Bounds are the users' bounds on control for each daemon, and the rates that
// their store bears, of the smallest deployment: all daemons together.
type Bounds struct {
	CPUPercent float64 `json:"cpu_percent_of_a_core"`
	MB         float64 `json:"resident_mb"`
	BytesRate  float64 `json:"bytes_a_second"`
	Appends    float64 `json:"appends_a_second"`
	Reads      float64 `json:"reads_a_second"`
	InForce    float64 `json:"in_force_seconds"`
}

// Idle is the measured cost of idle control of one process.
type Idle struct {
	Sidecars int     `json:"sidecars"`
	Role     string  `json:"role"`
	CPU      float64 `json:"cpu_percent_of_a_core"`
	MB       float64 `json:"resident_mb"`
	InRate   float64 `json:"received_bytes_a_second"`
	OutRate  float64 `json:"sent_bytes_a_second"`
}

// Request is the measured cost of requests at one rate.
type Request struct {
	Rate      float64 `json:"requests_a_second"`
	Tokens    float64 `json:"tokens_a_request"`
	GatewayMS float64 `json:"gateway_cpu_ms_a_request"`
	SidecarMS float64 `json:"sidecar_cpu_ms_a_request"`
}

// State is the size of a checkpoint of a state with so many parts.
type State struct {
	Workspaces int `json:"workspaces"`
	PlanBoxes  int `json:"plan_boxes"`
	Homes      int `json:"homes"`
	Bytes      int `json:"bytes"`
}

// Herd is what the start-up test saw, in virtual time.
type Herd struct {
	Processes       int     `json:"processes"`
	LogPeak         int     `json:"log_reads_a_second_peak"`
	LogPeakDown     int     `json:"log_reads_a_second_peak_log_down"`
	Checkpoints     int     `json:"checkpoints_read"`
	IdleReads       float64 `json:"log_reads_a_second_idle"`
	InForceCalm     float64 `json:"in_force_seconds_calm"`
	InForceFrozen   float64 `json:"in_force_seconds_gateway_frozen"`
	InForceAfterOut float64 `json:"in_force_seconds_after_outage"`
}

// Parse reads the data strictly enough to notice a wrong file.
func Parse(b []byte) (Data, error) {
	var d Data
	if err := json.Unmarshal(b, &d); err != nil {
		return d, errors.NewNotValid(err, "capacity data")
	}
	if len(d.Idle) == 0 || len(d.Requests) == 0 || len(d.State) == 0 {
		return d, errors.NotValidf("capacity data without measurements")
	}
	return d, nil
}

// Line is a straight line fitted to measurements.
type Line struct {
	At0, Slope float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	// Worst is the largest distance of a measurement from the line, as a
	// share of the measurement.
	Worst float64
	// Highest is the highest measurement.
	Highest float64
}

// Fit fits a line by least squares.
func Fit(x, y []float64) Line {
	at0, slope := stat.LinearRegression(x, y, nil, false)
	l := Line{At0: at0, Slope: slope, R2: stat.RSquared(x, y, nil, at0, slope)}
	for i := range x {
		l.Highest = max(l.Highest, y[i])
		if y[i] != 0 {
			l.Worst = max(l.Worst, abs(l.At(x[i])-y[i])/y[i])
		}
	}
	return l
}

// At is the line's value at x.
func (l Line) At(x float64) float64 { return l.At0 + l.Slope*x }

// Upper is the line's value at x, or the highest measurement where the line
// falls: what gets cheaper with size is not reckoned below what was seen.
func (l Line) Upper(x float64) float64 {
	if l.Slope < 0 {
		return l.Highest
	}
	return l.At(x)
}

// Quality is the fit in words.
func (l Line) Quality() string {
	if l.Worst > 0.15 {
		return fmt.Sprintf("not straight: R² %.2f, off by up to %.0f%%", l.R2, 100*l.Worst)
	}
	return fmt.Sprintf("R² %.2f, off by up to %.0f%%", l.R2, 100*l.Worst)
}

func abs(v float64) float64 { return max(v, -v) }

// idle fits one figure of a role over the number of sidecars.
func (d *Data) idle(role string, of func(Idle) float64) Line {
	var x, y []float64
	for _, r := range d.Idle {
		if r.Role == role {
			x = append(x, float64(r.Sidecars))
			y = append(y, of(r))
		}
	}
	return Fit(x, y)
}

// requests fits processor time a request over the tokens of its answer.
func (d *Data) requests(of func(Request) float64) Line {
	var x, y []float64
	for _, r := range d.Requests {
		x = append(x, r.Tokens)
		y = append(y, of(r))
	}
	return Fit(x, y)
}

// Committed works the page out from the two committed files.
func Committed(data, transfer []byte) ([]Row, error) {
	d, err := Parse(data)
	if err != nil {
		return nil, err
	}
	var t []Transfer
	if err := json.Unmarshal(transfer, &t); err != nil {
		return nil, errors.NewNotValid(err, "transfer data")
	}
	return Rows(d, t), nil
}
