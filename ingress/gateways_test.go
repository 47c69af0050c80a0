// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/retrybudget"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/telemetry"
)

// newGatewayOf returns a server that assumes a number of gateways until a report tells it,
// with a slack of 80 retries in 10 s.
func newGatewayOf(assumed int) *Server {
	return New(Settings{
		VersionDeadline: 8 * time.Second,
		Budget:          retrybudget.Params{Slack: 80, Window: 10 * time.Second, Gateways: assumed},
	}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
}

// Guards against a gateway that takes the shared limits for itself until the first load
// report arrives, which never happens in a deployment without engines.
func TestSharedLimitsBeforeFirstReport(t *testing.T) {
	service := &routing.Service{MaxConnections: 80}
	s := newGatewayOf(8)
	s.mu.Lock()
	defer s.mu.Unlock()
	retries := func() (n int) {
		now := clock.Now()
		b := s.budget("plain", now)
		for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
			for b.Take(at) {
				n++
			}
		}
		return n
	}
	assert.Assert(t, retries() <= 80/8)
	assert.Equal(t, s.connectionLimit(service), 9)
	s.raiseGateways(2)
	assert.Equal(t, s.connectionLimit(service), 36, "the reported number replaces the assumed one")
}
