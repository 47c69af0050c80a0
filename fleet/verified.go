// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

// VerifiedLoad is a load of an engine that its sidecar has reported as verified. A sidecar
// that has restarted asks gateways for it, as it cannot tell which weights are loaded.
type VerifiedLoad struct {
	// StartedMS, Orders and Version are the fields of the report.
	StartedMS int64 `json:"started_ms,omitempty"`
	Orders    int64 `json:"orders"`
	Version   int   `json:"version"`
	// ReportedMS is the time from the first report for the endpoint's id to the last one
	// that called this load verified, in milliseconds.
	ReportedMS int64 `json:"reported_ms"`
}

// recordVerified keeps the load in r if r calls it verified. A later report that calls the
// same load unverified does not remove it: that is of a restarted sidecar, which does not
// know.
func (e *Endpoint) recordVerified(r *Report, now time.Time) {
	if e.firstReportAt.IsZero() {
		e.firstReportAt = now
	}
	if r.Unverified || r.Version == 0 || r.Orders == 0 {
		return
	}
	e.verified = VerifiedLoad{StartedMS: r.StartedMS, Orders: r.Orders, Version: r.Version, ReportedMS: now.Sub(e.firstReportAt).Milliseconds()}
}

// VerifiedLoad returns the last load that was reported as verified for the id that is
// listed at an address, or false if there is none.
func (f *Fleet) VerifiedLoad(address string) (VerifiedLoad, bool) {
	e := f.byAddress[address]
	if e == nil || e.verified.Orders == 0 {
		return VerifiedLoad{}, false
	}
	return e.verified, true
}
