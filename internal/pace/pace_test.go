// SPDX-License-Identifier: Apache-2.0

package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// OthersLate must report another topic whose last response was late, or that has a
// call which is late or ended late without a response. A response in time must end the
// lateness of its topic.
func TestOthersLate(t *testing.T) {
	now := time.Now()
	p := New()
	unanswered := p.Begin("one", time.Second, now)
	assert.Assert(t, !p.OthersLate("one", now.Add(time.Minute)), "the topic itself counted")
	assert.Assert(t, !p.OthersLate("other", now.Add(time.Second)), "late while it waits at the store")
	assert.Assert(t, p.OthersLate("other", now.Add(time.Second+2*lateThreshold)))
	unanswered.End(now.Add(2 * time.Second))
	assert.Assert(t, p.OthersLate("other", now.Add(3*time.Second)), "ended unanswered while late")
	assert.Assert(t, !p.OthersLate("other", now.Add(2*time.Second+lateTTL)), "late after lateTTL")

	late := p.Begin("other", 0, now)
	late.Responded(now.Add(2 * lateThreshold))
	assert.Assert(t, p.OthersLate("one", now.Add(2*lateThreshold)))
	prompt := p.Begin("other", 0, now.Add(time.Second))
	prompt.Responded(now.Add(time.Second + lateThreshold/2))
	prompt.End(now.Add(time.Minute))
	assert.Assert(t, !p.OthersLate("one", now.Add(time.Second+lateThreshold)))
}
