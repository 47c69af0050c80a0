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

// answers makes the answer of an endpoint that names a limit, or none if it is empty.
func responseWithLimit(limit string) *http.Response {
	r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	if limit != "" {
		r.Header.Set(engine.HeaderLimit, limit)
	}
	return r
}

// An endpoint may name a limit again after one has ended: it is not closed for good.
func TestLimitAnnouncedRepeatedly(t *testing.T) {
	w := newEndpointState()
	now := clock.Now()
	for range 3 {
		for _, limit := range []string{"2", ""} {
			w.observe(responseWithLimit(limit), now, now)
			taken := 0
			for range 80 { // 4 s
				now = now.Add(50 * time.Millisecond)
				if w.admit(now) == nil {
					taken++
				}
			}
			if limit == "" {
				assert.Equal(t, taken, 80)
				continue
			}
			assert.Assert(t, taken >= 6 && taken <= 17, "%d of 80 taken", taken)
		}
	}
}
