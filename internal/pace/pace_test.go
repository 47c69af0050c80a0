// SPDX-License-Identifier: Apache-2.0

package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A link counts as full while another topic is late: answered late, silent now,
// or given up. A prompt answer of the other one ends that.
func TestFullLinkIsToldFromASilentTopic(t *testing.T) {
	now := time.Now()
	p := New()
	silent := p.Begin("one", time.Second, now)
	assert.Assert(t, !p.OthersLate("one", now.Add(time.Minute)), "the topic itself does not count")
	assert.Assert(t, !p.OthersLate("other", now.Add(time.Second)), "it waits")
	assert.Assert(t, p.OthersLate("other", now.Add(time.Second+2*promptAnswer)))
	silent.End(now.Add(2 * time.Second))
	assert.Assert(t, p.OthersLate("other", now.Add(3*time.Second)), "given up")
	assert.Assert(t, !p.OthersLate("other", now.Add(2*time.Second+lateFor)), "long ago")

	late := p.Begin("other", 0, now)
	late.Answered(now.Add(2 * promptAnswer))
	assert.Assert(t, p.OthersLate("one", now.Add(2*promptAnswer)))
	prompt := p.Begin("other", 0, now.Add(time.Second))
	prompt.Answered(now.Add(time.Second + promptAnswer/2))
	prompt.End(now.Add(time.Minute))
	assert.Assert(t, !p.OthersLate("one", now.Add(time.Second+promptAnswer)))
}
