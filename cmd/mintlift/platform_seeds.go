// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/readerset"
	"github.com/mintlift/mintlift/storerelay"
	"github.com/mintlift/mintlift/storewatch"
)

// Timing of questions to the seeds, the gateways that the settings name.
const (
	// seedDelay and bootstrapSeedDelay are how long a gateway waits for the store to tell
	// it the others before it asks the seeds: after a restart, and at the first start of the
	// whole deployment, when the seeds do not know the others yet either.
	seedDelay          = 80 * time.Millisecond
	bootstrapSeedDelay = time.Second
	// minSeedPause and maxSeedPause bound the pause between two questions, which doubles.
	// A random part of it is added.
	minSeedPause = 150 * time.Millisecond
	maxSeedPause = 4 * time.Second
	// membersMaxAge is how long a seed uses what it has read of another region. It limits
	// its reads of the store, whatever number of gateways ask.
	membersMaxAge = 2 * time.Second
)

// askSeeds asks the seeds for gateways of the region until the store has told them or ctx
// ends. Each question goes to all seeds, since any of them may be down.
func (m *regionMembers) askSeeds(ctx context.Context, n network.Network, s *platform.Settings) {
	seeds := slices.DeleteFunc(slices.Clone(s.Seeds), func(address string) bool { return address == s.Listen.Control })
	if len(seeds) == 0 {
		return
	}
	client := storerelay.NewClient(n)
	defer client.Close()
	if s.Bootstrap {
		clock.Sleep(ctx, bootstrapSeedDelay)
	} else {
		clock.Sleep(ctx, seedDelay)
	}
	for pause := minSeedPause; ctx.Err() == nil && !m.known(); pause = min(2*pause, maxSeedPause) {
		found, err := client.Members(ctx, seeds, s.Region)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			m.log.Info("no seed knows gateways of the region", "seeds", len(seeds), "error", err.Error())
		default:
			m.useSeeded(found)
		}
		clock.Sleep(ctx, pause+rand.N(pause))
	}
}

// useSeeded sets the gateways that a seed knows, unless the store has told them. They are
// a few of the region, enough to get what they have read.
func (m *regionMembers) useSeeded(members []readerset.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fromStore {
		return
	}
	if !m.seeded {
		m.log.Info("gateways of the region known from a seed", "gateways", len(members))
	}
	for _, r := range m.readers {
		r.SetMembers(members)
		if !m.seeded {
			// The store has not told this gateway the others, so it asks these first even
			// if it is a reader.
			r.ReadDone(false)
		}
	}
	m.members, m.seeded = members, true
}

// known reports whether the store has told the gateways of the region.
func (m *regionMembers) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fromStore
}

// Members implements storerelay.MembersSource. The gateways of another region are read from
// the store when a gateway asks for them, once in membersMaxAge. A region that is not in
// the settings has none.
func (m *regionMembers) Members(ctx context.Context, region string) []readerset.Member {
	if region == m.own.Region {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.members
	}
	if other := m.others[region]; other != nil {
		return other.current(ctx, m.log)
	}
	return nil
}

// otherRegion holds what a seed has read of the gateways of a region that is not its own.
type otherRegion struct {
	announcements *storerelay.Announcements
	mu            sync.Mutex // held while the store is read
	readAt        time.Time
	members       []readerset.Member
}

// newOtherRegions returns the regions of a deployment other than a gateway's own, by name.
func newOtherRegions(s *platform.Settings, topic storewatch.Topic) map[string]*otherRegion {
	out := make(map[string]*otherRegion)
	for _, region := range s.Regions {
		if region != s.Region && out[region] == nil {
			out[region] = &otherRegion{announcements: storerelay.NewAnnouncements(topic, region, s.Store.Parts)}
		}
	}
	return out
}

// otherReadTimeout bounds the read of another region's gateways, so that those that ask get
// a response before they give up.
const otherReadTimeout = 200 * time.Millisecond

// current returns the gateways of the region, and reads them first if that was last done
// longer than membersMaxAge ago. After a failed read it returns the older ones.
func (o *otherRegion) current(ctx context.Context, log logr.Logger) []readerset.Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.readAt.IsZero() && clock.Since(o.readAt) < membersMaxAge {
		return o.members
	}
	o.readAt = clock.Now()
	ctx, cancel := context.WithTimeout(ctx, otherReadTimeout)
	defer cancel()
	all, err := o.announcements.Read(ctx)
	if err != nil {
		log.Info("gateways of another region not read", "error", err.Error())
		return o.members
	}
	o.members = currentMembers(all)
	return o.members
}
