// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/readerset"
	"github.com/mintlift/mintlift/storerelay"
)

// Timing of announcements.
const (
	// announceSettle is the time from a gateway's announcement to its read of the others'.
	// At a common start, the others have announced themselves by then.
	announceSettle = 350 * time.Millisecond
	// announceRetry is the pause after a failed call.
	announceRetry = 300 * time.Millisecond
	// readerRefresh is the time after which a reader reads the announcements again after
	// its start. Gateways that started late may rank before it.
	readerRefresh = 2 * time.Second
	// memberRefresh is the time between two reads of the announcements.
	memberRefresh = 30 * time.Second
	// announceInterval is the time between two announcements of a gateway, and
	// announceTTL the age from which one is ignored.
	announceInterval = 2 * time.Minute
	announceTTL      = 10 * time.Minute
)

// regionMembers announces a gateway to the other gateways of its region, and keeps the
// views of these up to date that decide who reads the store.
type regionMembers struct {
	announcements *storerelay.Announcements
	own           storerelay.Announcement
	readers       []*storerelay.Readers
	server        *ingress.Server
	log           logr.Logger
	announcedAt   time.Time
	// others are the other regions of the deployment, by name.
	others map[string]*otherRegion

	mu sync.Mutex
	// members are the gateways of the region, as far as they are known. fromStore reports
	// that the store has told them all, and seeded that a seed has told some.
	members           []readerset.Member
	fromStore, seeded bool
}

// newRegionMembers returns the members of a gateway's region.
func newRegionMembers(p *platformProcess, server *ingress.Server, readers ...*storerelay.Readers) *regionMembers {
	s := p.settings
	topic := p.watcher.Store().OwnTopic(storerelay.AnnouncementsTopic)
	return &regionMembers{
		announcements: storerelay.NewAnnouncements(topic, s.Region, s.Store.Parts),
		others:        newOtherRegions(s, topic),
		own:           storerelay.Announcement{IP: s.IP, Region: s.Region, LinkRate: s.LinkRate()},
		readers:       readers, server: server, log: p.log,
	}
}

// run announces the gateway and follows the announcements until ctx ends. bootstrap
// reports that the whole deployment starts, so that there are no announcements yet.
func (m *regionMembers) run(ctx context.Context, bootstrap bool) {
	listed := false
	if !bootstrap {
		listed, _ = m.refresh(ctx)
	}
	if listed {
		// The announcement of the process before it still counts.
		clock.Sleep(ctx, memberRefresh+rand.N(memberRefresh/4))
	} else {
		m.announce(ctx)
		clock.Sleep(ctx, announceSettle)
	}
	for ctx.Err() == nil {
		listed, ok := m.refresh(ctx)
		switch {
		case !ok:
			clock.Sleep(ctx, announceRetry+rand.N(announceRetry))
			continue
		case !listed, clock.Since(m.announcedAt) >= announceInterval:
			m.announce(ctx)
		}
		pause := memberRefresh + rand.N(memberRefresh/4)
		if m.readers[0].Reader() && clock.Since(m.announcedAt) < readerRefresh {
			pause = readerRefresh
		}
		clock.Sleep(ctx, pause)
	}
}

// announce announces the gateway, and repeats that until it succeeds or ctx ends.
func (m *regionMembers) announce(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		m.own.AtMS = clock.UnixMilli()
		err := m.announcements.Write(ctx, m.own)
		if err == nil {
			m.announcedAt = clock.Now()
			return
		}
		if failures == 0 {
			m.log.Info("gateway not announced", "error", err.Error())
		}
		clock.Sleep(ctx, announceRetry+rand.N(announceRetry))
	}
}

// refresh reads the announcements. listed reports whether this gateway's own is among
// them; ok is false if the read failed.
func (m *regionMembers) refresh(ctx context.Context) (listed, ok bool) {
	all, err := m.announcements.Read(ctx)
	if err != nil {
		m.log.Info("gateways of the region not read", "error", err.Error())
		return false, false
	}
	members := currentMembers(all)
	ips := make([]string, len(members))
	for n, member := range members {
		ips[n] = member.IP
		listed = listed || member.IP == m.own.IP
	}
	if len(members) == 0 {
		return false, true
	}
	m.mu.Lock()
	m.members, m.fromStore = members, true
	for _, r := range m.readers {
		r.SetMembers(members)
	}
	m.mu.Unlock()
	m.server.SetLocalGateways(ips)
	return listed, true
}

// currentMembers returns the gateways whose announcements are not too old.
func currentMembers(all []storerelay.Announcement) []readerset.Member {
	var out []readerset.Member
	for _, a := range all {
		if clock.SinceUnixMilli(a.AtMS) < announceTTL {
			out = append(out, readerset.Member{IP: a.IP, LinkRate: a.LinkRate})
		}
	}
	return out
}
