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
	Machine  string               `json:"machine"`
	Commands []string             `json:"commands"`
	Sizes    Sizes                `json:"sizes"`
	Bounds   Bounds               `json:"bounds"`
	Idle     []IdleMeasurement    `json:"idle"`
	Requests []RequestMeasurement `json:"requests"`
	State    []StateMeasurement   `json:"state"`
	StartUp  StartUp              `json:"herd"`
}

// Sizes are those expected within two years.
type Sizes struct {
	Gateways             int     `json:"gateways"`
	Sidecars             int     `json:"sidecars"`
	Runners              int     `json:"runners"`
	RequestsPerSecond    float64 `json:"requests_a_second"`
	TokensPerSecond      float64 `json:"tokens_a_second"`
	ChangesPerDay        int     `json:"changes_a_day"`
	BoxesReplacedPerDay  int     `json:"boxes_replaced_a_day"`
	BoxesFailedPerDay    int     `json:"boxes_failed_a_day"`
	Workspaces           int     `json:"workspaces"`
	PlansInForce         int     `json:"plans_in_force"`
	RolloutsPerDay       int     `json:"rollouts_a_day"`
	WavesPerRollout      int     `json:"waves_a_rollout"`
	RecordsPerCheckpoint int     `json:"records_a_checkpoint"`
}

// Bounds are the users' bounds on control for each daemon, and the rates that
// their store bears, of the smallest deployment: all daemons together.
type Bounds struct {
	CPUPercent       float64 `json:"cpu_percent_of_a_core"`
	ResidentMB       float64 `json:"resident_mb"`
	BytesPerSecond   float64 `json:"bytes_a_second"`
	AppendsPerSecond float64 `json:"appends_a_second"`
	ReadsPerSecond   float64 `json:"reads_a_second"`
	InForceSeconds   float64 `json:"in_force_seconds"`
}

// IdleMeasurement is the measured cost of idle control of one process.
type IdleMeasurement struct {
	Sidecars               int     `json:"sidecars"`
	Role                   string  `json:"role"`
	CPUPercent             float64 `json:"cpu_percent_of_a_core"`
	ResidentMB             float64 `json:"resident_mb"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_a_second"`
	SentBytesPerSecond     float64 `json:"sent_bytes_a_second"`
}

// RequestMeasurement is the measured cost of requests at one rate.
type RequestMeasurement struct {
	RequestsPerSecond float64 `json:"requests_a_second"`
	TokensPerRequest  float64 `json:"tokens_a_request"`
	GatewayCPUMS      float64 `json:"gateway_cpu_ms_a_request"`
	SidecarCPUMS      float64 `json:"sidecar_cpu_ms_a_request"`
}

// StateMeasurement is the size of a checkpoint of a state with so many parts.
type StateMeasurement struct {
	Workspaces int `json:"workspaces"`
	PlanBoxes  int `json:"plan_boxes"`
	Homes      int `json:"homes"`
	Bytes      int `json:"bytes"`
}

// StartUp is what the start-up test saw, in virtual time.
type StartUp struct {
	Processes            int     `json:"processes"`
	PeakLogReads         int     `json:"log_reads_a_second_peak"`
	PeakLogReadsInOutage int     `json:"log_reads_a_second_peak_log_down"`
	CheckpointsRead      int     `json:"checkpoints_read"`
	IdleLogReads         float64 `json:"log_reads_a_second_idle"`
	InForceNormal        float64 `json:"in_force_seconds_calm"`
	InForceGatewayFrozen float64 `json:"in_force_seconds_gateway_frozen"`
	InForceAfterOutage   float64 `json:"in_force_seconds_after_outage"`
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
	Intercept, Slope float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	// MaxRelativeError is the largest distance of a measurement from the line, as a
	// share of the measurement.
	MaxRelativeError float64
	// MaxMeasured is the highest measurement.
	MaxMeasured float64
}

// Fit fits a line by least squares.
func Fit(x, y []float64) Line {
	at0, slope := stat.LinearRegression(x, y, nil, false)
	l := Line{Intercept: at0, Slope: slope, R2: stat.RSquared(x, y, nil, at0, slope)}
	for i := range x {
		l.MaxMeasured = max(l.MaxMeasured, y[i])
		if y[i] != 0 {
			l.MaxRelativeError = max(l.MaxRelativeError, abs(l.At(x[i])-y[i])/y[i])
		}
	}
	return l
}

// At is the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// UpperEstimate is the line's value at x, or the highest measurement where the line
// falls: what gets cheaper with size is not reckoned below what was seen.
func (l Line) UpperEstimate(x float64) float64 {
	if l.Slope < 0 {
		return l.MaxMeasured
	}
	return l.At(x)
}

// Summary is the fit in words.
func (l Line) Summary() string {
	if l.MaxRelativeError > 0.15 {
		return fmt.Sprintf("not straight: R² %.2f, off by up to %.0f%%", l.R2, 100*l.MaxRelativeError)
	}
	return fmt.Sprintf("R² %.2f, off by up to %.0f%%", l.R2, 100*l.MaxRelativeError)
}

func abs(v float64) float64 { return max(v, -v) }

// fitIdle fits one figure of a role over the number of sidecars.
func (d *Data) fitIdle(role string, of func(IdleMeasurement) float64) Line {
	var x, y []float64
	for _, r := range d.Idle {
		if r.Role == role {
			x = append(x, float64(r.Sidecars))
			y = append(y, of(r))
		}
	}
	return Fit(x, y)
}

// fitRequests fits processor time a request over the tokens of its answer.
func (d *Data) fitRequests(of func(RequestMeasurement) float64) Line {
	var x, y []float64
	for _, r := range d.Requests {
		x = append(x, r.TokensPerRequest)
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
