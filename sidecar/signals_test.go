// SPDX-License-Identifier: Apache-2.0

package sidecar

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/internal/clock"
)

// responseWithLimit returns a response of an endpoint with a rate limit in its header, or
// without one if limit is empty.
func responseWithLimit(limit string) *http.Response {
	r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	if limit != "" {
		r.Header.Set(engine.HeaderLimit, limit)
	}
	return r
}

// TestLimitAnnouncedRepeatedly guards against refusing all requests when an endpoint
// announces a rate limit again after an earlier limit has ended.
func TestLimitAnnouncedRepeatedly(t *testing.T) {
	s := newEndpointState()
	now := clock.Now()
	for range 3 {
		for _, limit := range []string{"2", ""} {
			s.observe(responseWithLimit(limit), now, now)
			admitted := 0
			for range 80 { // 4 s
				now = now.Add(50 * time.Millisecond)
				if s.admit(now) == nil {
					admitted++
				}
			}
			if limit == "" {
				assert.Equal(t, admitted, 80)
				continue
			}
			assert.Assert(t, admitted >= 6 && admitted <= 17, "%d of 80 admitted", admitted)
		}
	}
}
