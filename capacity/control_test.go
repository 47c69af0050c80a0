// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/readerset"
)

// controlSizes are deployments of 100 to 2,000 machines, of the proportions of the largest
// one of the users.
func controlSizes() (out []Control) {
	for _, machines := range []int{100, 300, 1000, 2000} {
		out = append(out, Control{Gateways: machines * 3 / 10, Engines: machines * 7 / 10, Endpoints: machines * 72 / 100, Regions: 5, Heartbeat: 5 * time.Second})
	}
	return out
}

// regionGateways returns the gateways of each region, with their addresses.
func (c Control) regionGateways() [][]readerset.Member {
	out := make([][]readerset.Member, c.Regions)
	for n := range c.Gateways {
		r := n % c.Regions
		out[r] = append(out[r], readerset.Member{IP: fmt.Sprintf("10.%d.%d.%d", r, n/250, n%250), LinkRate: 5e6})
	}
	return out
}

// newFleet returns the fleet of a gateway, with all engines listed.
func (c Control) newFleet(region int, gateway string, local []string) *fleet.Fleet {
	zones := make(map[string]string)
	for r := range c.Regions {
		zones[fmt.Sprint("z", r)] = fmt.Sprint("r", r)
	}
	f := fleet.New(fleet.Place{Box: gateway, Zone: fmt.Sprint("z", region), Regions: zones})
	f.SetLocalGateways(local)
	for n := range c.Engines {
		f.Put(fleet.Record{ID: fmt.Sprint("e", n), Service: "s", Address: fmt.Sprintf("10.9.%d.%d:1", n/250, n%250), Zone: fmt.Sprint("z", n%c.Regions)})
	}
	return f
}

// What the packages that decide make of a deployment must stay within the formulas of the
// page, at each size.
func TestControlStaysWithinFormulas(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range controlSizes() {
		t.Run(fmt.Sprint(c.Gateways, " gateways"), func(t *testing.T) {
			calm, _ := c.StoreReaders()
			border, watched := 0, 0
			for region, members := range c.regionGateways() {
				reading := 0
				var ips []string
				for _, m := range members {
					ips = append(ips, m.IP)
					set := readerset.New(m.IP, readerset.StartTimeout, now)
					set.Update(members)
					if set.MayRead(now) {
						reading++
					}
				}
				assert.Check(t, reading <= calm, "%d readers in a region", reading)
				if region > 0 {
					continue // the others are alike, and building their fleets takes long
				}
				for _, m := range members {
					f := c.newFleet(region, m.IP, ips)
					_, addresses := f.Addresses("s", 1, now) // no sidecar has reported this checksum
					watched += len(addresses)
					for _, e := range f.Endpoints("s") {
						if e.Zone != fmt.Sprint("z", region) && slices.Contains(addresses, e.Address) {
							border++
						}
					}
				}
				assert.Check(t, border <= c.BorderSubscriptions(), "%d subscriptions to other regions, formula %d", border, c.BorderSubscriptions())
				assert.Check(t, watched <= c.Watched()*len(members)+len(members), "%d engines watched by %d gateways, formula %d each", watched, len(members), c.Watched())
			}
			t.Logf("%d border subscriptions (%d), %d watched a gateway (%d), %.0f store calls/s, %.0f B/s into a region, %.0f B/s a gateway",
				border, c.BorderSubscriptions(), watched/c.perRegion(c.Gateways), c.Watched(), c.StoreCalls(), c.BorderBytes(), c.GatewayBytes())
		})
	}
}

// Control between regions must take less than a third of a link of 27 Mbit/s each way, at
// twice the size of the largest deployment.
func TestControlFitsLinksAtTwiceTheSize(t *testing.T) {
	const linkBytes = 27e6 / 8
	c := controlSizes()[3]
	perLink := c.BorderBytes() / float64(c.Regions-1)
	assert.Assert(t, perLink < linkBytes/3, "%.0f bytes a second", perLink)
}
