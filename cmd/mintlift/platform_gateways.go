// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/storerelay"
)

const (
	// maxGatewaysQueried is the maximum number of gateways that a sidecar asks at a time.
	maxGatewaysQueried = 2
	// announcedDelay is the time without a subscription after which a sidecar reads which
	// gateways have announced themselves. After a common start, gateways subscribe sooner.
	// A random part of announcedJitter is added.
	announcedDelay  = 6 * time.Second
	announcedJitter = 2 * time.Second
	// announcedMaxAge is how long a sidecar uses the announced gateways before it reads
	// the announcements again, if it still hears from none.
	announcedMaxAge = 10 * time.Second
	// storeReadInterval is the time between two reads of the store by a sidecar that no
	// gateway answers, for each gatewaysPerStoreRead gateways of its region. The region's
	// reads then do not grow with the number of its boxes.
	storeReadInterval    = 1500 * time.Millisecond
	gatewaysPerStoreRead = 2
	// unknownReadInterval is that time while the gateways of the region are unknown.
	unknownReadInterval = 10 * time.Second
)

// sidecarGateways finds gateways for a sidecar, and limits its reads of the store. It is
// safe for concurrent use.
type sidecarGateways struct {
	process       *platformProcess
	publisher     *loadreport.Publisher
	announcements *storerelay.Announcements
	started       time.Time
	// delay is announcedDelay with its random part.
	delay time.Duration

	mu sync.Mutex
	// announced are the announced gateways of the region, read at announcedAt; known
	// reports whether a read has succeeded.
	announced   []string
	announcedAt time.Time
	known       bool
	// storeReadAt is when the store may be read next.
	storeReadAt time.Time
}

// newSidecarGateways returns the gateways of a sidecar's region.
func newSidecarGateways(p *platformProcess, publisher *loadreport.Publisher) *sidecarGateways {
	now := clock.Now()
	return &sidecarGateways{
		process: p, publisher: publisher, started: now, delay: announcedDelay + rand.N(announcedJitter), storeReadAt: now.Add(announcedDelay + rand.N(announcedJitter)),
		announcements: storerelay.NewAnnouncements(p.watcher.Store().OwnTopic(storerelay.AnnouncementsTopic), p.settings.Region, p.settings.Store.Parts),
	}
}

// pick returns the addresses, IP:PORT, of up to maxGatewaysQueried gateways to ask: those
// that subscribe to the sidecar or, if there are none, those that have announced
// themselves. A sidecar that has just started waits for subscriptions.
func (g *sidecarGateways) pick(ctx context.Context) []string {
	s, now := g.process.settings, clock.Now()
	ips := g.publisher.Gateways(s.Region, maxGatewaysQueried, now)
	if len(ips) == 0 && now.Sub(g.started) >= g.delay && now.Sub(g.publisher.LastSubscribed()) >= g.delay {
		ips = g.pickAnnounced(ctx, now)
	}
	out := make([]string, len(ips))
	for n, ip := range ips {
		out[n] = s.InternalAddress(ip, portRelay)
	}
	return out
}

// pickAnnounced returns the IP addresses of random announced gateways.
func (g *sidecarGateways) pickAnnounced(ctx context.Context, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.announcedAt.IsZero() || now.Sub(g.announcedAt) >= announcedMaxAge {
		g.announcedAt = now
		all, err := g.announcements.Read(ctx)
		if err != nil {
			g.process.log.Info("gateways of the region not read", "error", err.Error())
		} else {
			g.announced, g.known = nil, true
			for _, member := range currentMembers(all) {
				g.announced = append(g.announced, member.IP)
			}
		}
	}
	var out []string
	for _, at := range rand.Perm(len(g.announced))[:min(maxGatewaysQueried, len(g.announced))] {
		out = append(out, g.announced[at])
	}
	return out
}

// takeStoreRead reports whether the sidecar may read the store now, and if so, counts the
// read.
func (g *sidecarGateways) takeStoreRead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	if now.Before(g.storeReadAt) {
		return false
	}
	interval := unknownReadInterval
	if g.known {
		interval = storeReadInterval * time.Duration(max(1, len(g.announced)/gatewaysPerStoreRead))
	}
	g.storeReadAt = now.Add(interval)
	return true
}
