// SPDX-License-Identifier: Apache-2.0

// Package membership tracks which boxes exist and which of them may receive work.
// The platform's box list may be out of date, so a View combines it with the reports
// of the processes on the boxes. A listed box is usable only while its process reports
// and is not draining.
//
// The package does no I/O and takes the current time as a parameter.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is the role of a box.
type Role string

// The roles.
const (
	// Gateway boxes run a gateway, which receives the requests of callers.
	Gateway Role = "gateway"
	// Endpoint boxes run a model engine or a plain service beside a sidecar.
	Endpoint Role = "endpoint"
)

// ListState is the state of a box in the platform's box list.
type ListState string

// The states of a listed box.
const (
	// Live boxes may get new work.
	Live ListState = "live"
	// Leaving boxes get no new work.
	Leaving ListState = "leaving"
)

// AvailabilityZone identifies an availability zone by its region and name.
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
	// Service is the name of the plain service on the box; it is empty if a model
	// engine runs there.
	Service string `json:"service,omitempty"`
}

// Report is a state report of the process on a box.
type Report struct {
	Box         string // ID of the box
	Incarnation string // identifies this run of the process
	Draining    bool
	At          time.Time
}

// Defaults of a View.
const (
	// DefaultReportTimeout is the default of View.ReportTimeout.
	DefaultReportTimeout = 3 * time.Second
)

// Member is a listed box with the state that its process reported.
type Member struct {
	Box
	// Incarnation identifies the run of the process that reported last; it is empty if
	// there is no report.
	Incarnation string
	// Usable is true if new work may be sent to the box: it is responsive, not
	// draining and not listed as Leaving.
	Usable bool
	// Responsive is true if the last report is newer than the view's ReportTimeout.
	Responsive bool
}

// View combines the box list with the reports of the processes. The zero value is
// empty and ready for use; it is not safe for concurrent use.
type View struct {
	// ReportTimeout is the time after the last report of a process until the process
	// counts as unresponsive; 0 means DefaultReportTimeout.
	ReportTimeout time.Duration

	listed  map[string]Box    // by box ID
	reports map[string]Report // the newest, by box ID
}

// SetList replaces the box list and discards the reports of boxes that are no longer
// listed.
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

// ApplyReport stores the report of a process, unless the view has a newer report of
// the same box.
func (v *View) ApplyReport(r Report) {
	if v.reports == nil {
		v.reports = make(map[string]Report)
	}
	if old, ok := v.reports[r.Box]; ok && old.At.After(r.At) {
		return
	}
	v.reports[r.Box] = r
}

// Members returns the listed boxes with the given role, ordered by ID.
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

// Member returns the box with the given ID, and false if it is not listed.
func (v *View) Member(id string, now time.Time) (Member, bool) {
	b, ok := v.listed[id]
	if !ok {
		return Member{}, false
	}
	return v.member(b, now), true
}

// member combines a box's entry with its last report, if any. A box is responsive if that
// report is more recent than the report timeout.
func (v *View) member(b Box, now time.Time) Member {
	m := Member{Box: b}
	r, ok := v.reports[b.ID]
	if !ok {
		return m
	}
	m.Incarnation = r.Incarnation
	m.Responsive = now.Sub(r.At) < cmp.Or(v.ReportTimeout, DefaultReportTimeout)
	m.Usable = m.Responsive && !r.Draining && b.State != Leaving
	return m
}
