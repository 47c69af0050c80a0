// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against streams that count as resumable although one route of the service, on
// any host, is not, and against routes of other kinds or services that decide.
func TestStreamsResumable(t *testing.T) {
	shares := func(services ...string) (out []Share) {
		for _, s := range services {
			out = append(out, Share{Service: s, Weight: 1})
		}
		return out
	}
	c := New(1, []*Route{
		{Host: "a", PathPrefix: "/1", Kind: Streaming, Resumable: true, Shares: shares("all", "some")},
		{Host: "b", PathPrefix: "/2", Kind: Streaming, Shares: shares("none", "some")},
		{Host: "b", PathPrefix: "/3", Kind: Unsafe, Shares: shares("all", "plain")},
	}, nil, nil, Limits{})
	for service, want := range map[string]bool{"all": true, "some": false, "none": false, "plain": false, "absent": false} {
		assert.Equal(t, c.StreamsResumable(service), want, service)
	}
}
