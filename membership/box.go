// SPDX-License-Identifier: Apache-2.0

// Package membership says which boxes there are. The platform's box list
// lags, so a View joins it with what processes say about themselves: a
// process that says it drains is believed at once, a process that answers
// is live although the list does not name it yet, and a box under a known
// address but with another incarnation is another box.
//
// The package does no I/O and takes time as a value.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is what a box is for.
type Role string

// The roles.
const (
	// Gateway boxes take the callers' requests.
	Gateway Role = "gateway"
	// Endpoint boxes hold a model engine or a plain service.
	Endpoint Role = "endpoint"
)

// ListState is a box's state in the platform's box list.
type ListState string

// The states of the box list.
const (
	Live    ListState = "live"
	Leaving ListState = "leaving"
)

// AvailabilityZone names a zone and the region that it stands in.
type AvailabilityZone struct {
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// String returns "region/zone".
func (z AvailabilityZone) String() string { return z.Region + "/" + z.Zone }

// Box is an entry of the platform's box list.
type Box struct {
	ID   string           `json:"id"`
	Zone AvailabilityZone `json:"availability_zone"`
	Role Role             `json:"role"`
	// Address is the IP and port of mintlift's process on the box.
	Address string    `json:"address"`
	State   ListState `json:"state"`
	// Service is the plain service beside the box's sidecar; it is empty
	// where a model engine runs.
	Service string `json:"service,omitempty"`
}

// Report is what a process last said about itself.
type Report struct {
	Box         string
	Incarnation string
	Draining    bool
	At          time.Time
}

// Bounds of a view's patience.
const (
	// SilenceAfter is a view's patience by default.
	SilenceAfter = 3 * time.Second
)

// Member is a box as a View sees it.
type Member struct {
	Box
	Incarnation string
	// Usable says that new work may be sent to the box.
	Usable bool
	// Heard says that the box has answered within SilenceAfter.
	Heard bool
}

// View joins the box list with the processes' own reports. The zero value
// is empty and ready for use; it is not safe for concurrent use.
type View struct {
	// Patience is how long a process may be silent before it counts as
	// unreachable; 0 is SilenceAfter.
	Patience time.Duration

	listed  map[string]Box
	reports map[string]Report
}

// SetList takes a newly read box list.
func (v *View) SetList(boxes []Box) {
	v.listed = make(map[string]Box, len(boxes))
	for _, b := range boxes {
		v.listed[b.ID] = b
	}
	for id := range v.reports {
		if _, ok := v.listed[id]; !ok {
			delete(v.reports, id)
		}
	}
}

// Heard takes a process's report about itself. A report that is older than
// the one already held changes nothing.
func (v *View) Heard(r Report) {
	if v.reports == nil {
		v.reports = make(map[string]Report)
	}
	if old, ok := v.reports[r.Box]; ok && old.At.After(r.At) {
		return
	}
	v.reports[r.Box] = r
}

// Members returns the boxes with the given role, ordered by identity.
func (v *View) Members(role Role, now time.Time) []Member {
	var out []Member
	for _, b := range v.listed {
		if b.Role == role {
			out = append(out, v.member(b, now))
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Member returns one box.
func (v *View) Member(id string, now time.Time) (Member, bool) {
	b, ok := v.listed[id]
	if !ok {
		return Member{}, false
	}
	return v.member(b, now), true
}

func (v *View) member(b Box, now time.Time) Member {
	m := Member{Box: b}
	r, ok := v.reports[b.ID]
	if !ok {
		return m
	}
	m.Incarnation = r.Incarnation
	m.Heard = now.Sub(r.At) < cmp.Or(v.Patience, SilenceAfter)
	m.Usable = m.Heard && !r.Draining && b.State != Leaving
	return m
}
