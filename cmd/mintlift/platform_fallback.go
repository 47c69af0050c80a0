// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
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
)

// fallback gets the operator's records for a sidecar while no gateway sends notices: from
// a gateway that it asks or, if none answers, from the store. Sidecars normally get what
// they need of the records in notices, because reads by hundreds of sidecars would
// saturate the links between regions.
type fallback struct {
	process  *platformProcess
	operator platform.OperatorHandler
	onNotice func(loadreport.Notice)
	gateways *sidecarGateways
	client   *storerelay.Client
	// askedAt is when gateways were last asked, and answeredAt when one last answered.
	askedAt, answeredAt time.Time
}

// newFallback returns the fallback of a sidecar. Notices of gateways are passed to
// onNotice, and records of the store to o.
func newFallback(p *platformProcess, o platform.OperatorHandler, onNotice func(loadreport.Notice), gateways *sidecarGateways, client *storerelay.Client) *fallback {
	return &fallback{process: p, operator: o, onNotice: onNotice, gateways: gateways, client: client, answeredAt: clock.Now()}
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
		if now.Sub(f.gateways.publisher.LastSubscribed()) < timeout || now.Sub(f.answeredAt) < timeout || now.Sub(f.askedAt) < askInterval {
			continue
		}
		f.askedAt = now
		if f.askGateways(ctx) {
			f.answeredAt = clock.Now()
			continue
		}
		if !f.gateways.takeStoreRead() {
			continue
		}
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

// askGateways requests a notice from gateways of the region and applies it. It returns
// false if none answers.
func (f *fallback) askGateways(ctx context.Context) bool {
	for _, address := range f.gateways.pick(ctx) {
		notice, err := f.client.Notice(ctx, address, f.process.settings.Service)
		if err != nil {
			f.process.log.Info("request to gateway failed", "gateway", address, "path", "notice", "error", err.Error())
			continue
		}
		f.onNotice(notice)
		return true
	}
	return false
}
