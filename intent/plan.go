// SPDX-License-Identifier: Apache-2.0

package intent

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

// Errors that Make reports.
const (
	// ErrNoBoxes says that no live box matches the intent.
	ErrNoBoxes = errors.ConstError("no live box matches the intent")
	// ErrUnknownWorkspace says that an intent names a workspace that is not
	// in the log.
	ErrUnknownWorkspace = errors.ConstError("workspace does not exist")
	// ErrFloor says that no order of boxes keeps a workspace's floor.
	ErrFloor = errors.ConstError("plan cannot keep a workspace above its floor")
	// ErrNoMemory says that a box's engine cannot hold the version at all.
	ErrNoMemory = errors.ConstError("version does not fit into the engine's memory")
)

// Links are the rates that a forecast reckons with, in bytes a second.
type Links struct {
	Origin float64 `json:"origin"`
	Box    float64 `json:"box"`
}

// Candidate is a box as the planner sees it.
type Candidate struct {
	membership.Box
	// MemoryBytes is the engine's memory; 0 means that it is not bounded.
	MemoryBytes int64
	// Loaded are the versions in the engine's memory with their sizes.
	Loaded []LoadedVersion
}

// LoadedVersion is a version in an engine's memory.
type LoadedVersion struct {
	weights.Ref
	Bytes int64
	// Workspaces that are routed to the version.
	Workspaces []string
}

// World is what a plan is made from.
type World struct {
	Base       int64
	Now        time.Time
	Workspaces map[string]workspace.Workspace
	Boxes      []Candidate
	Links      Links
	// Weighing is the deployment's setting.
	Weighing Weighing
	// TTL is how long a plan can be confirmed.
	TTL time.Duration
}

// Make answers an intent with a plan. It is pure but for the fresh id.
func Make(in Intent, m *weights.Manifest, w World) (*Plan, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	priority, err := priorityOf(in, w)
	if err != nil {
		return nil, err
	}
	boxes := match(in, w.Boxes)
	if len(boxes) == 0 {
		return nil, errors.WithType(errors.Errorf("intent for %s", in.Ref), ErrNoBoxes)
	}
	p := &Plan{
		ID:             uuid.NewString(),
		Intent:         in,
		Base:           w.Base,
		ManifestDigest: m.Digest(),
		Bytes:          m.Bytes,
		Chunks:         len(m.Chunks),
		Priority:       priority,
		Weighing:       cmp.Or(in.Weighing, w.Weighing, TimeToReplicas),
		ExpiresAt:      w.Now.Add(w.TTL).UnixMilli(),
		Status:         Proposed,
	}
	p.ExtraCopies = extraCopies(p.Weighing)
	if err := p.addSteps(boxes, m, w); err != nil {
		return nil, err
	}
	p.Forecasts = []Forecast{
		forecast(TimeToReplicas, boxes, m, w.Links),
		forecast(OriginBytes, boxes, m, w.Links),
	}
	return p, nil
}

func priorityOf(in Intent, w World) (int, error) {
	highest := 0
	for _, name := range in.Workspaces {
		ws, ok := w.Workspaces[name]
		if !ok {
			return 0, errors.WithType(errors.Errorf("workspace %q", name), ErrUnknownWorkspace)
		}
		highest = max(highest, ws.Priority)
	}
	if in.Priority != 0 {
		return in.Priority, nil
	}
	return highest, nil
}

// match returns the boxes that an intent means, spread over the zones so
// that the first replicas do not all stand in one.
func match(in Intent, all []Candidate) []Candidate {
	byZone := make(map[membership.AvailabilityZone][]Candidate)
	var zones []membership.AvailabilityZone
	for _, c := range all {
		if c.Role != membership.Endpoint || c.Service != "" {
			continue
		}
		if len(in.Zones) > 0 && !slices.Contains(in.Zones, c.Zone.Zone) {
			continue
		}
		if len(in.Boxes) > 0 && !slices.Contains(in.Boxes, c.ID) {
			continue
		}
		if len(byZone[c.Zone]) == 0 {
			zones = append(zones, c.Zone)
		}
		byZone[c.Zone] = append(byZone[c.Zone], c)
	}
	return interleave(in.Replicas, zones, byZone)
}

func interleave(limit int, zones []membership.AvailabilityZone, byZone map[membership.AvailabilityZone][]Candidate) []Candidate {
	slices.SortFunc(zones, func(a, b membership.AvailabilityZone) int { return cmp.Compare(a.String(), b.String()) })
	for _, z := range zones {
		slices.SortFunc(byZone[z], func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	}
	var out []Candidate
	for i, more := 0, true; more; i++ {
		more = false
		for _, z := range zones {
			if i >= len(byZone[z]) {
				continue
			}
			more = true
			if limit > 0 && len(out) == limit {
				return out
			}
			out = append(out, byZone[z][i])
		}
	}
	return out
}

func (p *Plan) addSteps(boxes []Candidate, m *weights.Manifest, w World) error {
	origin := originRegion(boxes)
	var rolling []int
	for _, c := range boxes {
		if c.MemoryBytes > 0 && m.Bytes > c.MemoryBytes {
			return errors.WithType(errors.Errorf("%s on box %s: %d bytes of %d", m.Ref, c.ID, m.Bytes, c.MemoryBytes), ErrNoMemory)
		}
		s := Step{Box: c.ID, Zone: c.Zone, Source: FromOrigin, Evicts: evictions(c, m)}
		if c.Zone.Region != origin {
			s.Source = origin
		}
		p.Steps = append(p.Steps, s)
		if len(s.Evicts) > 0 {
			rolling = append(rolling, len(p.Steps)-1)
		}
	}
	return p.addWaves(rolling, boxes, w)
}

// originRegion is the region that reads from the origin; the others cross
// from it, once each.
func originRegion(boxes []Candidate) string {
	region := boxes[0].Zone.Region
	for _, c := range boxes {
		region = min(region, c.Zone.Region)
	}
	return region
}

// evictions are the versions that must leave a box's memory before m fits:
// former versions of the same model first.
func evictions(c Candidate, m *weights.Manifest) []weights.Ref {
	if c.MemoryBytes == 0 {
		return nil
	}
	used := m.Bytes
	for _, l := range c.Loaded {
		if l.Ref == m.Ref {
			return nil
		}
		used += l.Bytes
	}
	loaded := slices.Clone(c.Loaded)
	slices.SortStableFunc(loaded, func(a, b LoadedVersion) int {
		return cmp.Compare(rank(a.Model != m.Model), rank(b.Model != m.Model))
	})
	var out []weights.Ref
	for _, l := range loaded {
		if used <= c.MemoryBytes {
			break
		}
		used -= l.Bytes
		out = append(out, l.Ref)
	}
	return out
}

func rank(later bool) int {
	if later {
		return 1
	}
	return 0
}

// addWaves spreads the boxes that must stop serving before they load over
// waves, each small enough that every workspace keeps its floor.
func (p *Plan) addWaves(rolling []int, boxes []Candidate, w World) error {
	serving := servingNow(w.Boxes)
	size := len(rolling)
	for _, name := range touchedWorkspaces(rolling, p, boxes, w) {
		ws := w.Workspaces[name]
		room := serving[name] - ws.Floor
		if room < 1 {
			return errors.WithType(errors.Errorf("workspace %q: %d boxes serve it, floor %d", name, serving[name], ws.Floor), ErrFloor)
		}
		size = min(size, room)
	}
	for i, at := range rolling {
		p.Steps[at].Wave = i / size
	}
	p.addCapacities(rolling, boxes, size, serving, w)
	return nil
}

func servingNow(boxes []Candidate) map[string]int {
	n := make(map[string]int)
	for _, c := range boxes {
		for name := range workspacesOn(c, c.Loaded) {
			n[name]++
		}
	}
	return n
}

func workspacesOn(c Candidate, loaded []LoadedVersion) map[string]bool {
	names := make(map[string]bool)
	for _, l := range loaded {
		for _, name := range l.Workspaces {
			names[name] = true
		}
	}
	return names
}

// touchedWorkspaces are those that lose a box while a wave is under way.
func touchedWorkspaces(rolling []int, p *Plan, boxes []Candidate, w World) []string {
	names := make(map[string]bool)
	for _, at := range rolling {
		for _, l := range boxes[at].Loaded {
			if !slices.Contains(p.Steps[at].Evicts, l.Ref) {
				continue
			}
			for _, name := range l.Workspaces {
				names[name] = true
			}
		}
	}
	var out []string
	for name := range names {
		if _, ok := w.Workspaces[name]; ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (p *Plan) addCapacities(rolling []int, boxes []Candidate, size int, serving map[string]int, w World) {
	names := touchedWorkspaces(rolling, p, boxes, w)
	for _, name := range p.Intent.Workspaces {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		lost := 0
		for _, at := range rolling {
			if workspacesOn(boxes[at], boxes[at].Loaded)[name] {
				lost++
			}
		}
		p.Capacities = append(p.Capacities, Capacity{
			Workspace: name,
			Now:       serving[name],
			Lowest:    serving[name] - min(lost, size),
			Floor:     w.Workspaces[name].Floor,
		})
	}
}

// extraCopies is what a weighing lets boxes read from the origin beyond the
// one copy that the rules need.
func extraCopies(w Weighing) float64 {
	if w == TimeToReplicas {
		return 1
	}
	return 0
}

// Factors over the floor on time, and copies over one, that forecasts
// allow: rounded up from the table of docs/TRANSFER.md without faults.
const (
	timeSlack      = 1.10
	timeSlackExtra = 1.03
	copySlack      = 1.03
	// extraHelps is the largest number of boxes that an extra copy has been
	// seen to help.
	extraHelps = 15
)

// forecast works out the floor on time to N replicas,
// max(M/u, M/o, N·M/(o + N·u)), and adds what the benchmark measured.
func forecast(weighing Weighing, boxes []Candidate, m *weights.Manifest, l Links) Forecast {
	size, n := float64(m.Bytes), float64(len(boxes))
	slack, copies := timeSlack, copySlack
	if extraCopies(weighing) > 0 && len(boxes) <= extraHelps {
		slack, copies = timeSlackExtra, 1+extraCopies(weighing)
	}
	f := Forecast{Weighing: weighing, OriginBytes: int64(copies * size)}
	if l.Origin <= 0 || l.Box <= 0 {
		return f
	}
	floor := max(size/l.Box, size/l.Origin, n*size/(l.Origin+n*l.Box))
	f.TimeToReplicas = time.Duration(floor * slack * float64(time.Second))
	return f
}

// NextWaveKeepsFloor reports whether the boxes of p's next wave can stop
// serving now: every workspace that they serve must keep its floor with the
// boxes that answer.
func NextWaveKeepsFloor(p *Plan, boxes []Candidate, workspaces map[string]workspace.Workspace) bool {
	serving := servingNow(boxes)
	leaving := make(map[string]int)
	for _, c := range boxes {
		step, ok := p.Step(c.ID)
		if !ok || step.Wave != p.Wave+1 {
			continue
		}
		for name := range workspacesOn(c, c.Loaded) {
			leaving[name]++
		}
	}
	for name, n := range leaving {
		if ws, ok := workspaces[name]; ok && serving[name]-n < ws.Floor {
			return false
		}
	}
	return true
}
