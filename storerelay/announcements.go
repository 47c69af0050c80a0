// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/storewatch"
)

// AnnouncementsTopic is the name of the topic in which gateways announce themselves.
const AnnouncementsTopic = "gateways"

// Announcement is what a gateway tells the other processes of its region of itself.
type Announcement struct {
	IP     string `json:"-"` // the key of the record
	Region string `json:"region"`
	// LinkRate is the bandwidth of the gateway's box in bytes a second.
	LinkRate float64 `json:"rate"`
	// AtMS is when the gateway announced itself, in Unix milliseconds.
	AtMS int64 `json:"at"`
}

// Announcements are the announcements of a region's gateways. Regions are spread over the
// partitions of the topic, so that a process reads little of other regions.
type Announcements struct {
	topic  storewatch.Topic
	part   int
	region string
}

// NewAnnouncements returns the announcements of a region. parts is the number of
// partitions of the topic.
func NewAnnouncements(topic storewatch.Topic, region string, parts int) *Announcements {
	return &Announcements{topic: topic, region: region, part: int(xxhash.Sum64String(region) % uint64(max(parts, 1)))}
}

// Write announces a gateway of the region.
func (a *Announcements) Write(ctx context.Context, m Announcement) error {
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	return a.topic.Append(ctx, a.part, storewatch.AnyOffset, m.IP, value)
}

// Read returns the gateways of the region that have announced themselves. Invalid records
// are left out.
func (a *Announcements) Read(ctx context.Context) ([]Announcement, error) {
	newest, err := a.topic.Newest(ctx, a.part)
	if err != nil {
		return nil, err
	}
	var out []Announcement
	for _, r := range newest.Records {
		m := Announcement{IP: r.Key}
		if json.Unmarshal(r.Value, &m) == nil && m.Region == a.region {
			out = append(out, m)
		}
	}
	return out, nil
}
