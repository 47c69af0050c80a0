// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"fmt"
	"io"
	"math"
)

// Row is one figure of one role, extrapolated to the deployment size Sizes. Its
// field names are part of the output of "mintlift capacity --json".
type Row struct {
	Role, What string
	// Value is the figure and Bound its upper limit, both in Unit. Bound is 0
	// if the figure has no limit.
	Value, Bound float64
	Unit         string
	// Source describes how Value was extrapolated and names the test or file
	// with the measurements.
	Source string
	// Mechanism names the code that keeps the figure small.
	Mechanism string
}

// Verdict returns the text of the table cell in docs/CAPACITY.md that says
// whether Value is within Bound. It is empty if there is no bound.
func (r Row) Verdict() string {
	switch {
	case r.Bound == 0:
		return ""
	case r.Value <= r.Bound:
		return "within"
	default:
		return "**over**"
	}
}

const (
	secondsPerDay = 86400
	megabyte      = 1e6
	// subsetCover and subsetMin repeat constants of package route. subsetCover
	// gateways select each endpoint for probes, and each gateway selects
	// subsetMin endpoints in addition.
	subsetCover = 3
	subsetMin   = 8
	// transferRowName is the name of the rows of docs/transfer.json from which
	// docs/CAPACITY.md takes its transfer figures.
	transferRowName = "swarm"
)

// Transfer is one row of docs/transfer.json.
type Transfer struct {
	Name               string  `json:"name"`
	Boxes              int     `json:"boxes"`
	Duration           float64 `json:"all"`
	OriginCopies       float64 `json:"origin_copies"`
	CrossRegionCopies  float64 `json:"cross_copies"`
	ControlBytesPerBox float64 `json:"control_bytes_a_box"`
}

// probedEndpoints returns how many endpoints a gateway probes at the deployment
// size s.
func (s Sizes) probedEndpoints() float64 {
	return float64(subsetCover*s.Sidecars)/float64(s.Gateways) + subsetMin
}

// Rows returns the rows of docs/CAPACITY.md.
func Rows(d Data, transfers []Transfer) []Row {
	rows := append(d.controlRows("gateway", d.Sizes.probedEndpoints()), d.controlRows("sidecar", float64(d.Sizes.Sidecars))...)
	rows = append(rows, d.stateRow())
	rows = append(rows, d.requestRows()...)
	rows = append(rows, d.logRows()...)
	return append(rows, d.transferRows(transfers)...)
}

// controlRows returns the rows on a role's idle CPU, memory and control traffic,
// extrapolated to n endpoints.
func (d *Data) controlRows(role string, n float64) []Row {
	cpu := d.fitIdle(role, func(i IdleMeasurement) float64 { return i.CPUPercent })
	mb := d.fitIdle(role, func(i IdleMeasurement) float64 { return i.ResidentMB })
	net := d.fitIdle(role, func(i IdleMeasurement) float64 { return i.ReceivedBytesPerSecond + i.SentBytesPerSecond })
	mechanism := map[string]string{
		"gateway": "`route.Subset` bounds whom it probes, `gateway.probeCycleFactor` how often",
		"sidecar": "`relay`: one long poll of one gateway; no call to other sidecars when idle",
	}[role]
	source := func(l Line, unit string) string {
		if l.Slope < 0 {
			return fmt.Sprintf("falls with size, as probes get rarer: the highest measurement is taken (%d to %d sidecars); TestMeasureIdle", d.Idle[0].Sidecars, d.Idle[len(d.Idle)-1].Sidecars)
		}
		return fmt.Sprintf("%.3g + %.3g %s an endpoint, at %.0f (%s); TestMeasureIdle", l.Intercept, l.Slope, unit, n, l.Summary())
	}
	traffic := Row{Role: role, What: "control traffic, both ways", Value: net.UpperEstimate(n), Bound: d.Bounds.BytesPerSecond, Unit: "bytes/s", Source: source(net, "B/s"), Mechanism: mechanism}
	if role == "gateway" {
		traffic.Value, traffic.Source = d.gatewayTraffic(n)
	}
	return []Row{
		{Role: role, What: "processor, idle control", Value: cpu.UpperEstimate(n), Bound: d.Bounds.CPUPercent, Unit: "% of a core", Source: source(cpu, "%"), Mechanism: mechanism},
		{Role: role, What: "resident memory, idle", Value: mb.UpperEstimate(n), Bound: d.Bounds.ResidentMB, Unit: "MB", Source: source(mb, "MB"), Mechanism: mechanism},
		traffic,
	}
}

// measuredGateways is the number of gateways in TestMeasureIdle. Each sidecar
// reads the event log from one of them.
const measuredGateways = 2

// probesPerSecond returns how many probes a gateway sends per second to n
// endpoints. Its constants repeat those of package gateway.
func probesPerSecond(n float64) float64 {
	const square, minCycle, maxCycle = 0.0016, 0.5, 30.0 // seconds
	return n / min(max(n*n*square, minCycle), maxCycle)
}

// gatewayTraffic estimates the control traffic in bytes per second of a gateway
// that probes the given number of endpoints, and describes the fit. The probe
// rate is not linear in the number of endpoints, so it fits two coefficients:
// bytes per probe, and bytes per second for each sidecar that reads the event
// log from the gateway.
func (d *Data) gatewayTraffic(probed float64) (float64, string) {
	// Sums of the normal equations: p is the probe rate, r the number of
	// sidecars that read from the gateway, y the traffic.
	var pp, pr, rr, py, ry float64
	for _, i := range d.Idle {
		if i.Role != "gateway" {
			continue
		}
		p, r, y := probesPerSecond(float64(i.Sidecars)), float64(i.Sidecars)/measuredGateways, i.ReceivedBytesPerSecond+i.SentBytesPerSecond
		pp, pr, rr = pp+p*p, pr+p*r, rr+r*r
		py, ry = py+p*y, ry+r*y
	}
	det := pp*rr - pr*pr
	probeBytes, sidecarBytes := (py*rr-ry*pr)/det, (ry*pp-py*pr)/det
	maxError := 0.0
	for _, i := range d.Idle {
		if i.Role != "gateway" {
			continue
		}
		y := i.ReceivedBytesPerSecond + i.SentBytesPerSecond
		maxError = max(maxError, abs(probeBytes*probesPerSecond(float64(i.Sidecars))+sidecarBytes*float64(i.Sidecars)/measuredGateways-y)/y)
	}
	sidecars := float64(d.Sizes.Sidecars) / float64(d.Sizes.Gateways)
	source := fmt.Sprintf("%.0f B a probe, %.1f of them a second for %.0f endpoints; %.0f B/s a sidecar that reads the log here, %.0f of them (two slopes through three sizes, off by up to %.0f%%); TestMeasureIdle", probeBytes, probesPerSecond(probed), probed, sidecarBytes, sidecars, 100*maxError)
	return probeBytes*probesPerSecond(probed) + sidecarBytes*sidecars, source
}

// stateRow returns the row for the size of a process's copy of the cluster state, computed
// from the measured bytes per workspace, per box of a plan and per home. A home is
// a sidecar process that stores what is known of idempotency keys.
func (d *Data) stateRow() Row {
	perWorkspace := d.fitState(func(s StateMeasurement) int { return s.Workspaces })
	perPlanBox := d.fitState(func(s StateMeasurement) int { return s.PlanBoxes })
	perHome := d.fitState(func(s StateMeasurement) int { return s.Homes })
	s := d.Sizes
	bytes := perWorkspace.Intercept + perWorkspace.Slope*float64(s.Workspaces) +
		perPlanBox.Slope*float64(s.PlansInForce*s.Sidecars) + perHome.Slope*float64(s.Sidecars)
	return Row{
		Role: "every process", What: "state, as a checkpoint", Value: bytes / megabyte, Unit: "MB",
		Source:    fmt.Sprintf("%.0f B a workspace, %.0f a box of a plan in force, %.0f a home (bytes, the same every run; TestStateSlopes)", perWorkspace.Slope, perPlanBox.Slope, perHome.Slope),
		Mechanism: "`state` keeps plans in force, 64 others, 4,096 record ids",
	}
}

// requestRows returns the rows for the CPU use of a gateway and of a sidecar at the
// peak request rate.
func (d *Data) requestRows() []Row {
	gateway := d.fitRequests(func(r RequestMeasurement) float64 { return r.GatewayCPUMS })
	sidecar := d.fitRequests(func(r RequestMeasurement) float64 { return r.SidecarCPUMS })
	s := d.Sizes
	tokens := s.TokensPerSecond / s.RequestsPerSecond
	row := func(role string, l Line, processes int) Row {
		rate := s.RequestsPerSecond / float64(processes)
		return Row{
			Role: role, What: "processor, requests at the peak", Value: rate * l.At(tokens) / 1000, Unit: "cores a process",
			Source:    fmt.Sprintf("%.2f ms + %.4f ms a token (%s); %.0f requests/s of %.0f tokens each; TestMeasureRequests", l.Intercept, l.Slope, l.Summary(), rate, tokens),
			Mechanism: "event by event, no buffer beyond 16 KB a stream",
		}
	}
	return []Row{row("gateway", gateway, s.Gateways), row("sidecar", sidecar, s.Sidecars)}
}

// recordsPerDay returns the number of records appended to the log per day,
// checkpoints included.
func (s Sizes) recordsPerDay() float64 {
	plans := 2*s.RolloutsPerDay + s.RolloutsPerDay*s.WavesPerRollout
	homes := 2 * (s.BoxesReplacedPerDay + s.BoxesFailedPerDay)
	n := float64(s.ChangesPerDay + plans + homes)
	return n + n/float64(s.RecordsPerCheckpoint)
}

// logRows returns the rows for the load on the event log, the box list and the weight
// store, and for the delay until a configuration change is in force.
func (d *Data) logRows() []Row {
	s, sim := d.Sizes, d.Simulation
	perGateway := sim.IdleLogReads / float64(s.Gateways)
	return []Row{
		{Role: "log service", What: "appends, mean over a day", Value: s.recordsPerDay() / secondsPerDay, Bound: d.Bounds.AppendsPerSecond, Unit: "a second",
			Source:    fmt.Sprintf("%.0f records a day: %d changes, 2 a rollout and its waves, 2 a replaced or failed box, a checkpoint in %d", s.recordsPerDay(), s.ChangesPerDay, s.RecordsPerCheckpoint),
			Mechanism: "`eventlog.Commit`; homes are batched"},
		{Role: "log service", What: "reads, idle", Value: sim.IdleLogReads, Bound: d.Bounds.ReadsPerSecond, Unit: "a second",
			Source: fmt.Sprintf("%.2f a gateway, none a sidecar; TestChangeReachesAllProcessesInTime, %d processes", perGateway, sim.Processes), Mechanism: "`relay`: gateways read, sidecars ask gateways"},
		{Role: "log service", What: "reads, all processes start at once", Value: float64(sim.PeakLogReads), Bound: d.Bounds.ReadsPerSecond, Unit: "a second at the peak",
			Source: fmt.Sprintf("%d reads of checkpoints in all; TestSimultaneousStart", sim.CheckpointsRead), Mechanism: "`state.Follower.PeersFirst`: sidecars take their checkpoint from a gateway"},
		{Role: "log service", What: "reads, all start while the log is down", Value: float64(sim.PeakLogReadsInOutage), Bound: d.Bounds.ReadsPerSecond, Unit: "a second at the peak",
			Source: "TestSimultaneousStart", Mechanism: "`relay.Directory`: a sidecar turns to the log once in 30 s at most"},
		{Role: "every process", What: "configuration in force, calm", Value: sim.InForceNormal, Bound: d.Bounds.InForceSeconds, Unit: "s", Source: "worst of 30 changes, virtual time; TestChangeReachesAllProcessesInTime", Mechanism: "long polls"},
		{Role: "every process", What: "configuration in force, a gateway frozen", Value: sim.InForceGatewayFrozen, Bound: d.Bounds.InForceSeconds, Unit: "s", Source: "TestChangeReachesAllProcessesInTime", Mechanism: "a read that hangs ends after 4.5 s, then the next gateway"},
		{Role: "every process", What: "configuration in force, after a log outage", Value: sim.InForceAfterOutage, Bound: d.Bounds.InForceSeconds, Unit: "s", Source: "10 minutes of outage and a gateway still frozen, worst of 12 runs; TestChangeReachesAllProcessesInTime", Mechanism: "pauses of 1.5 s at most"},
		{Role: "box list", What: "reads", Value: float64(s.Gateways) / boxListPollSeconds, Unit: "a second",
			Source: fmt.Sprintf("each gateway every %.0f s; sidecars read a gateway's copy", boxListPollSeconds), Mechanism: "`relay.Directory`"},
		{Role: "weight store", What: "requests for a manifest, a rollout", Value: float64(s.Gateways + 1), Unit: "requests",
			Source: "one a gateway, one for the plan", Mechanism: "`gateway.manifestCache`"},
	}
}

// boxListPollSeconds is the mean time between a gateway's reads of the box list
// in package relay.
const boxListPollSeconds = 2.0

// transferRows returns the rows for a rollout to 410 boxes, taken from the simulated
// transfers.
func (d *Data) transferRows(transfers []Transfer) []Row {
	var out []Row
	for _, t := range transfers {
		if t.Name != transferRowName || t.Boxes != 410 {
			continue
		}
		out = append(out,
			Row{Role: "origin", What: "bytes, a rollout to 410 boxes", Value: t.OriginCopies, Bound: 1.05, Unit: "copies", Source: "docs/transfer.json, virtual time", Mechanism: "`transfer`: one reader a chunk, by rendezvous"},
			Row{Role: "regions", What: "bytes across the border, a rollout", Value: t.CrossRegionCopies, Unit: "copies for the second region", Source: "docs/transfer.json", Mechanism: "`transfer`: one crossing a chunk and region"},
			Row{Role: "sidecar", What: "time to 410 replicas", Value: t.Duration, Bound: 1.15, Unit: "T*", Source: "docs/transfer.json", Mechanism: "`transfer`"},
			Row{Role: "sidecar", What: "control bytes of a transfer, a box", Value: math.Round(t.ControlBytesPerBox/megabyte*10) / 10, Unit: "MB a rollout", Source: "docs/transfer.json; 400 bytes of heads and 3 bitmaps a pull", Mechanism: "bitmaps travel with the chunks"},
		)
	}
	return out
}

// Markdown writes the rows as a Markdown table.
func Markdown(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "| role | what | at full size | bound | | slope and source | carried by |")
	fmt.Fprintln(w, "|---|---|---:|---:|---|---|---|")
	for _, r := range rows {
		bound := ""
		if r.Bound > 0 {
			bound = fmt.Sprintf("%g", r.Bound)
		}
		fmt.Fprintf(w, "| %s | %s | %s %s | %s | %s | %s | %s |\n", r.Role, r.What, formatValue(r.Value), r.Unit, bound, r.Verdict(), r.Source, r.Mechanism)
	}
}

// formatValue formats a value of the table with fewer decimals the larger it is.
func formatValue(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}
