// SPDX-License-Identifier: Apache-2.0

// Package capacity extrapolates the resource usage of each role to a given
// deployment size from measurements. The measurements and sizes are read from
// docs/capacity.json; docs/CAPACITY.md is generated from them.
package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// Data is the content of docs/capacity.json.
type Data struct {
	// Machine describes the hardware of the measurements; Commands are the
	// command lines that produced them.
	Machine    string               `json:"machine"`
	Commands   []string             `json:"commands"`
	Sizes      Sizes                `json:"sizes"`
	Bounds     Bounds               `json:"bounds"`
	Idle       []IdleMeasurement    `json:"idle"`
	Requests   []RequestMeasurement `json:"requests"`
	State      []StateMeasurement   `json:"state"`
	Simulation Simulation           `json:"herd"`
}

// Sizes is the deployment size to extrapolate to.
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
	PlansInForce         int     `json:"plans_in_force"` // confirmed plans
	RolloutsPerDay       int     `json:"rollouts_a_day"`
	WavesPerRollout      int     `json:"waves_a_rollout"`      // steps in which the boxes change
	RecordsPerCheckpoint int     `json:"records_a_checkpoint"` // log records between two checkpoints
}

// Bounds are the users' limits on the control plane: CPU, memory and traffic
// of each daemon, the request rates that the store of the smallest deployment
// supports for all daemons together, and the time until a change is in force.
type Bounds struct {
	CPUPercent       float64 `json:"cpu_percent_of_a_core"`
	ResidentMB       float64 `json:"resident_mb"`
	BytesPerSecond   float64 `json:"bytes_a_second"`
	AppendsPerSecond float64 `json:"appends_a_second"`
	ReadsPerSecond   float64 `json:"reads_a_second"`
	InForceSeconds   float64 `json:"in_force_seconds"`
}

// IdleMeasurement is the resource usage of one process of the given role, in a
// deployment of that many sidecars, while no requests are sent.
type IdleMeasurement struct {
	Sidecars               int     `json:"sidecars"`
	Role                   string  `json:"role"`
	CPUPercent             float64 `json:"cpu_percent_of_a_core"`
	ResidentMB             float64 `json:"resident_mb"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_a_second"`
	SentBytesPerSecond     float64 `json:"sent_bytes_a_second"`
}

// RequestMeasurement is the CPU time per request of a gateway and of a sidecar, in
// milliseconds, at one request rate and response length (in tokens). In the JSON
// names, "a" stands for "per".
type RequestMeasurement struct {
	RequestsPerSecond float64 `json:"requests_a_second"`
	TokensPerRequest  float64 `json:"tokens_a_request"`
	GatewayCPUMS      float64 `json:"gateway_cpu_ms_a_request"`
	SidecarCPUMS      float64 `json:"sidecar_cpu_ms_a_request"`
}

// StateMeasurement is the size in bytes of the checkpoint of a state with the
// given numbers of workspaces, boxes of one plan, and homes. A home is a
// sidecar process that stores what is known of idempotency keys.
type StateMeasurement struct {
	Workspaces int `json:"workspaces"`
	PlanBoxes  int `json:"plan_boxes"`
	Homes      int `json:"homes"`
	Bytes      int `json:"bytes"`
}

// Simulation holds the results of the tests in virtual time. These are reads of
// the event log per second, with the peaks while all processes start at once,
// and the duration, in seconds, until a configuration change is in force at all
// processes.
type Simulation struct {
	Processes            int     `json:"processes"`
	PeakLogReads         int     `json:"log_reads_a_second_peak"`
	PeakLogReadsInOutage int     `json:"log_reads_a_second_peak_log_down"` // while the log is down
	CheckpointsRead      int     `json:"checkpoints_read"`                 // from the log, at the start
	IdleLogReads         float64 `json:"log_reads_a_second_idle"`
	InForceNormal        float64 `json:"in_force_seconds_calm"` // without faults
	InForceGatewayFrozen float64 `json:"in_force_seconds_gateway_frozen"`
	InForceAfterOutage   float64 `json:"in_force_seconds_after_outage"` // of the log
}

// Parse decodes the content of docs/capacity.json. Data without measurements
// of each kind is an errors.NotValid error.
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

// Line is a linear fit of measurements.
type Line struct {
	Intercept, Slope float64
	// R2 is the coefficient of determination.
	R2 float64
	// MaxRelativeError is the largest error of the line at a measurement,
	// relative to that measurement.
	MaxRelativeError float64
	// MaxMeasured is the largest y of the measurements.
	MaxMeasured float64
}

// Fit returns the least-squares line through the points (x[i], y[i]).
func Fit(x, y []float64) Line {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	l := Line{Intercept: intercept, Slope: slope, R2: stat.RSquared(x, y, nil, intercept, slope)}
	for i := range x {
		l.MaxMeasured = max(l.MaxMeasured, y[i])
		if y[i] != 0 {
			l.MaxRelativeError = max(l.MaxRelativeError, abs(l.At(x[i])-y[i])/y[i])
		}
	}
	return l
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// UpperEstimate returns the line's value at x, or MaxMeasured if the slope is
// negative, so that nothing is extrapolated below the measurements.
func (l Line) UpperEstimate(x float64) float64 {
	if l.Slope < 0 {
		return l.MaxMeasured
	}
	return l.At(x)
}

// Summary describes the quality of the fit.
func (l Line) Summary() string {
	if l.MaxRelativeError > 0.15 {
		return fmt.Sprintf("not straight: R² %.2f, off by up to %.0f%%", l.R2, 100*l.MaxRelativeError)
	}
	return fmt.Sprintf("R² %.2f, off by up to %.0f%%", l.R2, 100*l.MaxRelativeError)
}

func abs(v float64) float64 { return max(v, -v) }

// fitIdle fits a value of a role's idle measurements over the number of
// sidecars.
func (d *Data) fitIdle(role string, value func(IdleMeasurement) float64) Line {
	var x, y []float64
	for _, r := range d.Idle {
		if r.Role == role {
			x = append(x, float64(r.Sidecars))
			y = append(y, value(r))
		}
	}
	return Fit(x, y)
}

// fitRequests fits a CPU time per request over the number of tokens of the
// response.
func (d *Data) fitRequests(value func(RequestMeasurement) float64) Line {
	var x, y []float64
	for _, r := range d.Requests {
		x = append(x, r.TokensPerRequest)
		y = append(y, value(r))
	}
	return Fit(x, y)
}

// RowsFromJSON returns the rows of docs/CAPACITY.md, given the contents of
// docs/capacity.json (data) and docs/transfer.json (transfer).
func RowsFromJSON(data, transfer []byte) ([]Row, error) {
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
