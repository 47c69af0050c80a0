// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/readerset"
	"github.com/mintlift/mintlift/storerelay"
)

const (
	// gatewayTimeout is the time without a gateway's message after which a sidecar asks
	// gateways for a notice.
	gatewayTimeout = 2 * time.Second
	// gatewayTimeoutJitter is the maximum of a random time that is added to
	// gatewayTimeout, so that not all sidecars ask at once.
	gatewayTimeoutJitter = 2 * time.Second
	// askInterval is the minimum time between two attempts.
	askInterval = 1500 * time.Millisecond
	// sidecarGatewaysTTL is how long a sidecar uses the list of its region's gateways.
	sidecarGatewaysTTL = 10 * time.Second
	// gatewaysPerStoreRead lengthens, in a large region, the time between two reads of the
	// store by one sidecar that no gateway answers: it is askInterval for each such number
	// of gateways. The region's reads then do not grow with the number of its boxes.
	gatewaysPerStoreRead = 2
)

// fallback gets the operator's records for a sidecar while no gateway sends notices: from
// a gateway that it asks or, if none answers, from the store. Sidecars normally get what
// they need of the records in notices, because reads by hundreds of sidecars would
// saturate the links between regions.
type fallback struct {
	process       *platformProcess
	operator      platform.OperatorHandler
	onNotice      func(loadreport.Notice)
	publisher     *loadreport.Publisher
	client        *storerelay.Client
	announcements *storerelay.Announcements
	// gateways are those of the region, read at gatewaysAt.
	gateways   []readerset.Member
	gatewaysAt time.Time
	// askedAt is when gateways were last asked, answeredAt when one last answered, and
	// readAt when the store was last read.
	askedAt, answeredAt, readAt time.Time
}

// newFallback returns the fallback of a sidecar. Notices of gateways are passed to
// onNotice, and records of the store to o.
func newFallback(p *platformProcess, o platform.OperatorHandler, onNotice func(loadreport.Notice), publisher *loadreport.Publisher, client *storerelay.Client) *fallback {
	return &fallback{
		process: p, operator: o, onNotice: onNotice, publisher: publisher, client: client, answeredAt: clock.Now(),
		announcements: storerelay.NewAnnouncements(p.watcher.Store().OwnTopic(storerelay.AnnouncementsTopic), p.settings.Region, p.settings.Store.Parts),
	}
}

// run asks gateways, or reads the store, when no gateway has sent a notice for
// gatewayTimeout, until ctx ends.
func (f *fallback) run(ctx context.Context) {
	const pollInterval = 250 * time.Millisecond
	reader := f.process.watcher.OperatorReader(f.operator)
	timeout := gatewayTimeout + rand.N(gatewayTimeoutJitter)
	unavailable := false
	for ctx.Err() == nil {
		clock.Sleep(ctx, pollInterval)
		now := clock.Now()
		if now.Sub(f.publisher.LastSubscribed()) < timeout || now.Sub(f.answeredAt) < timeout || now.Sub(f.askedAt) < askInterval {
			continue
		}
		f.askedAt = now
		if f.askGateways(ctx, now) {
			f.answeredAt = clock.Now()
			continue
		}
		if now.Sub(f.readAt) < f.readInterval() {
			continue
		}
		f.readAt = now
		err := reader.Read(ctx)
		switch {
		case err == nil && unavailable:
			f.process.log.Info("store available again", "topic", "operator")
		case err != nil && !unavailable:
			f.process.log.Info("store unavailable", "topic", "operator", "error", err.Error())
		}
		unavailable = err != nil
	}
}

// askGateways requests a notice from up to maxGatewaysQueried random gateways of the
// region and applies it. It returns false if none answers.
func (f *fallback) askGateways(ctx context.Context, now time.Time) bool {
	if f.gatewaysAt.IsZero() || now.Sub(f.gatewaysAt) >= sidecarGatewaysTTL {
		all, err := f.announcements.Read(ctx)
		if err != nil {
			f.process.log.Info("gateways of the region not read", "error", err.Error())
		} else {
			f.gateways, f.gatewaysAt = currentMembers(all), now
		}
	}
	s := f.process.settings
	for n, at := range rand.Perm(len(f.gateways)) {
		if n == maxGatewaysQueried {
			break
		}
		ip := f.gateways[at].IP
		notice, err := f.client.Notice(ctx, s.InternalAddress(ip, portRelay), s.Service)
		if err != nil {
			f.process.log.Info("request to gateway failed", "gateway", ip, "path", "notice", "error", err.Error())
			continue
		}
		f.onNotice(notice)
		return true
	}
	return false
}

// readInterval returns the time between two reads of the store.
func (f *fallback) readInterval() time.Duration {
	return askInterval * time.Duration(max(1, len(f.gateways)/gatewaysPerStoreRead))
}
