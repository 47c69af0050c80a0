// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"net/netip"

	"github.com/juju/errors"
)

// Bounds on the numbers of a record. Larger ones can't be true, and would overflow the sums and
// times that they are part of.
const (
	maxSlots        = 1 << 20
	maxColdMS       = 24 * 60 * 60 * 1000
	maxModelVersion = math.MaxInt32
	maxStartedMS    = 253_402_300_800_000 // the year 10000
)

// Validate returns an error if a field of the record can't be that of an endpoint. Processes
// other than the endpoint may have written the entry that the record is of.
func (r *Record) Validate() error {
	switch {
	case r.Service == "", r.Zone == "":
		return errors.NotValidf("service %q, zone %q", r.Service, r.Zone)
	case r.Slots < 0, r.Slots > maxSlots:
		return errors.NotValidf("slots %d", r.Slots)
	case r.ColdMS < 0, r.ColdMS > maxColdMS:
		return errors.NotValidf("%d ms until warm", r.ColdMS)
	case r.StartedMS < 0, r.StartedMS >= maxStartedMS:
		return errors.NotValidf("start at %d ms", r.StartedMS)
	}
	for model, version := range r.Models {
		if version < 0 || version > maxModelVersion {
			return errors.NotValidf("version %d of model %q", version, model)
		}
	}
	return validateAddress(r.Address)
}

// validateAddress returns an error if no process can listen at an address, IP:PORT.
func validateAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Trace(err)
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return errors.NotValidf("address %q", text)
	}
	return nil
}
