// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/routing"
	"github.com/mintlift/mintlift/telemetry"
)

// Guards against a service that counts as contended although each gateway can have a
// slot of each engine, or before the number of gateways is known.
func TestContendedService(t *testing.T) {
	engines := &routing.Service{Engine: &routing.Engine{Slots: 12}}
	for _, test := range []struct {
		name     string
		gateways int
		service  *routing.Service
		want     bool
	}{
		{"unknown number of gateways", 0, engines, false},
		{"a slot per gateway", 12, engines, false},
		{"a gateway more than slots", 13, engines, true},
		{"unknown number of slots", 13, &routing.Service{Engine: &routing.Engine{}}, false},
		{"plain endpoints", 13, &routing.Service{}, false},
		{"not configured", 13, nil, false},
	} {
		s := New(Settings{VersionDeadline: 8 * time.Second}, logr.Discard(), logr.Discard(), telemetry.NewMetrics())
		s.mu.Lock()
		s.recordGateways(test.gateways, clock.Now())
		assert.Equal(t, s.contendedLocked(test.service), test.want, test.name)
		s.recordGateways(test.gateways-5, clock.Now())
		assert.Equal(t, s.contendedLocked(test.service), test.want, "%s: a smaller number is ignored", test.name)
		s.mu.Unlock()
	}
}
