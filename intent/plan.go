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

// Errors returned by NewPlan.
const (
	// ErrNoBoxes means that no available box matches the intent.
	ErrNoBoxes = errors.ConstError("no live box matches the intent")
	// ErrUnknownWorkspace means that the intent contains a workspace that does not
	// exist.
	ErrUnknownWorkspace = errors.ConstError("workspace does not exist")
	// ErrFloor means that a workspace would have fewer boxes than its floor even if
	// each wave stopped a single box.
	ErrFloor = errors.ConstError("plan cannot keep a workspace above its floor")
	// ErrNoMemory means that the version is larger than the memory of an engine.
	ErrNoMemory = errors.ConstError("version does not fit into the engine's memory")
)

// Links holds the bandwidths that forecasts assume, in bytes per second; 0 means
// unknown.
type Links struct {
	// Origin is the download bandwidth of the origin, shared by all boxes.
	Origin float64 `json:"origin"`
	// Box is the bandwidth of each box.
	Box float64 `json:"box"`
}

// Candidate is a box that may be part of a plan.
type Candidate struct {
	membership.Box
	// MemoryBytes is the size of the engine's memory; 0 means no limit.
	MemoryBytes int64
	// Loaded lists the versions in the engine's memory.
	Loaded []LoadedVersion
}

// LoadedVersion is a version in an engine's memory.
type LoadedVersion struct {
	weights.Ref
	Bytes int64
	// Workspaces lists the workspaces whose requests are routed to the version.
	Workspaces []string
}

// Snapshot is the state of the cluster from which NewPlan computes a plan.
type Snapshot struct {
	// Base is the log offset of the snapshot.
	Base int64
	Now  time.Time
	// Workspaces holds the workspaces by name.
	Workspaces map[string]workspace.Workspace
	// Boxes lists the boxes that are available.
	Boxes []Candidate
	Links Links
	// Weighing is used for intents that have none.
	Weighing Weighing
	// TTL is the time after Now during which the plan can be confirmed.
	TTL time.Duration
}

// NewPlan computes a plan for an intent, with the status Proposed. Apart from the
// plan's random id, it is a pure function of its arguments.
func NewPlan(in Intent, m *weights.Manifest, snap Snapshot) (*Plan, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	priority, err := priorityOf(in, snap)
	if err != nil {
		return nil, err
	}
	boxes := matchingBoxes(in, snap.Boxes)
	if len(boxes) == 0 {
		return nil, errors.WithType(errors.Errorf("intent for %s", in.Ref), ErrNoBoxes)
	}
	p := &Plan{
		ID:             uuid.NewString(),
		Intent:         in,
		Base:           snap.Base,
		ManifestDigest: m.Digest(),
		Bytes:          m.Bytes,
		Chunks:         len(m.Chunks),
		Priority:       priority,
		Weighing:       cmp.Or(in.Weighing, snap.Weighing, TimeToReplicas),
		ExpiresAt:      snap.Now.Add(snap.TTL).UnixMilli(),
		Status:         Proposed,
	}
	p.ExtraCopies = extraCopies(p.Weighing)
	if err := p.addSteps(boxes, m, snap); err != nil {
		return nil, err
	}
	p.Forecasts = []Forecast{
		forecast(TimeToReplicas, boxes, m, snap.Links),
		forecast(OriginBytes, boxes, m, snap.Links),
	}
	return p, nil
}

// priorityOf returns the priority of an intent: its own, or else the highest of its
// workspaces. It returns ErrUnknownWorkspace for a workspace that does not exist.
func priorityOf(in Intent, snap Snapshot) (int, error) {
	highest := 0
	for _, name := range in.Workspaces {
		ws, ok := snap.Workspaces[name]
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

// matchingBoxes returns the boxes that an intent selects, spread evenly over the
// zones. It returns at most in.Replicas boxes, or all if that is 0.
func matchingBoxes(in Intent, all []Candidate) []Candidate {
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

// interleave returns the boxes of all zones in round-robin order of the zones: at most
// limit boxes, or all if limit is 0. It sorts its arguments, so that the result does
// not depend on their order.
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

// addSteps adds one step per box and divides the steps into waves. Steps in the region
// that originRegion returns have the Source FromOrigin; the Source of all others is that
// region. It returns ErrNoMemory if the version is larger than the memory of a box's
// engine.
func (p *Plan) addSteps(boxes []Candidate, m *weights.Manifest, snap Snapshot) error {
	firstRegion := originRegion(boxes)
	var evicting []int // indices of the steps that evict a version
	for _, c := range boxes {
		if c.MemoryBytes > 0 && m.Bytes > c.MemoryBytes {
			return errors.WithType(errors.Errorf("%s on box %s: %d bytes of %d", m.Ref, c.ID, m.Bytes, c.MemoryBytes), ErrNoMemory)
		}
		s := Step{Box: c.ID, Zone: c.Zone, Source: FromOrigin, Evicts: evictions(c, m)}
		if c.Zone.Region != firstRegion {
			s.Source = firstRegion
		}
		p.Steps = append(p.Steps, s)
		if len(s.Evicts) > 0 {
			evicting = append(evicting, len(p.Steps)-1)
		}
	}
	return p.addWaves(evicting, boxes, snap)
}

// originRegion returns the region that reads its first copy from the origin: the first
// one by name. The other regions read their first copy from that region.
func originRegion(boxes []Candidate) string {
	region := boxes[0].Zone.Region
	for _, c := range boxes {
		region = min(region, c.Zone.Region)
	}
	return region
}

// evictions returns the versions that must be unloaded from a box's engine before
// m fits into its memory. Other versions of the same model are evicted first.
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
		return cmp.Compare(boolOrder(a.Model != m.Model), boolOrder(b.Model != m.Model))
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

// boolOrder returns the sort key of b: false comes before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// addWaves assigns the steps that evict a version to waves of equal size. The size is
// the largest at which every affected workspace keeps its floor while the boxes of one
// wave do not serve. evicting holds the indices of these steps in p.Steps; boxes has the
// same indices.
func (p *Plan) addWaves(evicting []int, boxes []Candidate, snap Snapshot) error {
	serving := servingBoxes(snap.Boxes)
	size := len(evicting)
	for _, name := range affectedWorkspaces(evicting, p, boxes, snap) {
		ws := snap.Workspaces[name]
		spare := serving[name] - ws.Floor
		if spare < 1 {
			return errors.WithType(errors.Errorf("workspace %q: %d boxes serve it, floor %d", name, serving[name], ws.Floor), ErrFloor)
		}
		size = min(size, spare)
	}
	for i, index := range evicting {
		p.Steps[index].Wave = i / size
	}
	p.addCapacities(evicting, boxes, size, serving, snap)
	return nil
}

// servingBoxes returns the number of boxes that serve each workspace.
func servingBoxes(boxes []Candidate) map[string]int {
	n := make(map[string]int)
	for _, c := range boxes {
		for name := range servedWorkspaces(c, c.Loaded) {
			n[name]++
		}
	}
	return n
}

// servedWorkspaces returns the set of workspaces that are routed to the loaded versions.
func servedWorkspaces(c Candidate, loaded []LoadedVersion) map[string]bool {
	names := make(map[string]bool)
	for _, l := range loaded {
		for _, name := range l.Workspaces {
			names[name] = true
		}
	}
	return names
}

// affectedWorkspaces returns the workspaces that are routed to versions that the plan
// evicts, sorted.
func affectedWorkspaces(evicting []int, p *Plan, boxes []Candidate, snap Snapshot) []string {
	names := make(map[string]bool)
	for _, index := range evicting {
		for _, l := range boxes[index].Loaded {
			if !slices.Contains(p.Steps[index].Evicts, l.Ref) {
				continue
			}
			for _, name := range l.Workspaces {
				names[name] = true
			}
		}
	}
	var out []string
	for name := range names {
		if _, ok := snap.Workspaces[name]; ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// addCapacities sets p.Capacities: the capacity of each affected workspace and of each
// workspace of the intent. waveSize is the largest number of boxes in a wave.
func (p *Plan) addCapacities(evicting []int, boxes []Candidate, waveSize int, serving map[string]int, snap Snapshot) {
	names := affectedWorkspaces(evicting, p, boxes, snap)
	for _, name := range p.Intent.Workspaces {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		stopping := 0
		for _, index := range evicting {
			if servedWorkspaces(boxes[index], boxes[index].Loaded)[name] {
				stopping++
			}
		}
		p.Capacities = append(p.Capacities, Capacity{
			Workspace: name,
			Now:       serving[name],
			Lowest:    serving[name] - min(stopping, waveSize),
			Floor:     snap.Workspaces[name].Floor,
		})
	}
}

// extraCopies returns how many copies of the weights all boxes together may read
// from the origin beyond the first.
func extraCopies(w Weighing) float64 {
	if w == TimeToReplicas {
		return 1
	}
	return 0
}

// Parameters of forecasts for a transfer without faults.
const (
	// timeOverhead is the ratio of the expected time to its lower bound.
	// timeOverheadExtraCopy is the ratio with an extra copy from the origin.
	timeOverhead          = 1.10
	timeOverheadExtraCopy = 1.03
	// copyOverhead is the expected number of copies read from the origin if no extra
	// copy is permitted.
	copyOverhead = 1.03
	// maxBoxesExtraCopy is the largest number of boxes for which an extra copy is
	// expected to shorten the transfer.
	maxBoxesExtraCopy = 15
)

// forecast estimates the time and the origin bytes of a plan. For M bytes to N boxes,
// a bandwidth u of each box and a bandwidth o of the origin, the lower bound on the
// time is max(M/u, M/o, N·M/(o + N·u)).
func forecast(weighing Weighing, boxes []Candidate, m *weights.Manifest, l Links) Forecast {
	size, n := float64(m.Bytes), float64(len(boxes))
	overhead, copies := timeOverhead, copyOverhead
	if extraCopies(weighing) > 0 && len(boxes) <= maxBoxesExtraCopy {
		overhead, copies = timeOverheadExtraCopy, 1+extraCopies(weighing)
	}
	f := Forecast{Weighing: weighing, OriginBytes: int64(copies * size)}
	if l.Origin <= 0 || l.Box <= 0 {
		return f
	}
	lowerBound := max(size/l.Box, size/l.Origin, n*size/(l.Origin+n*l.Box))
	f.TimeToReplicas = time.Duration(lowerBound * overhead * float64(time.Second))
	return f
}

// NextWaveKeepsFloor reports whether every workspace keeps its floor if the boxes of
// p's next wave stop serving now. boxes lists the boxes that are available now.
func NextWaveKeepsFloor(p *Plan, boxes []Candidate, workspaces map[string]workspace.Workspace) bool {
	serving := servingBoxes(boxes)
	leaving := make(map[string]int)
	for _, c := range boxes {
		step, ok := p.Step(c.ID)
		if !ok || step.Wave != p.Wave+1 {
			continue
		}
		for name := range servedWorkspaces(c, c.Loaded) {
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
