// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
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
	s.recordGateways(2, clock.Now())
	assert.Equal(t, s.connectionLimit(service), 36, "the reported number replaces the assumed one")
}

// reportGateways processes a report of the engine "a", with a number of gateways, each
// second for a time.
func reportGateways(s *Server, gateways int, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		s.HandleReport(fleet.Report{Address: "a:1", Model: testModel, Version: 1, StartedMS: 1, Gateways: gateways}, 0)
	}
}

// Load: gateways are replaced at new addresses, and sidecars count both for some seconds.
// Guards against a service that stays contended for ever after that, against one that
// changes with each low number of a sidecar that has restarted or while no report arrives,
// and against shared limits that become larger again.
func TestContendedServiceAfterReplacedGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newContendedServer(1)
		service := s.Configuration().Services["engine"]
		contended := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.contendedLocked(service)
		}
		reportGateways(s, contendedSlots, time.Minute)
		assert.Assert(t, !contended())
		reportGateways(s, 2*contendedSlots, 4*time.Second)
		assert.Assert(t, contended())
		reportGateways(s, contendedSlots, gatewayCountPeriod-4*time.Second)
		assert.Assert(t, contended(), "after less than a period")
		time.Sleep(time.Hour)
		assert.Assert(t, contended(), "no reports")
		reportGateways(s, contendedSlots, gatewayCountPeriod+time.Second)
		assert.Assert(t, !contended())
		assert.Equal(t, s.sharingGateways(), 2*contendedSlots)
		for range 20 {
			reportGateways(s, contendedSlots+1, 5*time.Second)
			assert.Assert(t, contended())
			reportGateways(s, 1, 10*time.Second)
			assert.Assert(t, contended(), "a sidecar has restarted")
		}
	})
}

// Guards against a late cutoff that becomes a usual one while attempts that were sent after
// the usual one are in progress: they are withdrawn without a reset then, and may begin
// after the deadline.
func TestLateCutoffOutlastsGateways(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	s, now := g.server, clock.Now()
	at := func(d time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordGateways(testSlots, now.Add(d))
	}
	s.recordGateways(testSlots+1, now)
	s.SetTargetVersion(testModel, 2, false, now.Add(2*gatewayCountPeriod))
	deadline := s.settings.VersionDeadline
	at(2*gatewayCountPeriod + deadline - 1)
	at(3*gatewayCountPeriod + deadline - 1)
	assert.Assert(t, s.targetVersions[testModel][0].late)
	assert.Assert(t, s.CutoffMargin(testModel) > 0)
	at(3*gatewayCountPeriod + deadline)
	at(4*gatewayCountPeriod + deadline)
	assert.Equal(t, s.CutoffMargin(testModel), time.Duration(0))
}
