// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a timeout that a request of the service may outlast.
func TestLongestTimeout(t *testing.T) {
	route := func(prefix, service string, timeout time.Duration) *Route {
		return &Route{Host: "h", PathPrefix: prefix, Timeout: timeout, Shares: []Share{{Service: service, Weight: 1}}}
	}
	routes := []*Route{route("/a/", "s", 3*time.Second), route("/b/", "s", 6*time.Second), route("/c/", "other", time.Minute), route("/d/", "unbounded", 0), route("/e/", "unbounded", time.Second)}
	c := New(1, routes, []*Service{{Name: "s"}, {Name: "other"}, {Name: "unbounded"}}, nil, Limits{})
	assert.Equal(t, c.LongestTimeout("s"), 6*time.Second)
	assert.Equal(t, c.LongestTimeout("unbounded"), time.Duration(0))
	assert.Equal(t, c.LongestTimeout("none"), time.Duration(0))
}
