// SPDX-License-Identifier: Apache-2.0

package outcome

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOutcomesAndRetries(t *testing.T) {
	for stage, want := range map[Stage]Outcome{Waiting: NotRun, Sending: Unknown, Refused: NotRun, Responding: Unknown, ErrorResponse: Failed, Done: Completed} {
		assert.Equal(t, Of(stage), want)
	}
	for _, o := range []Outcome{Completed, Failed} {
		assert.Assert(t, !Retry(o, true, false), "%s was retried", o)
	}
	assert.Assert(t, Retry(NotRun, false, false))
	assert.Assert(t, Retry(Unknown, true, false))
	assert.Assert(t, !Retry(Unknown, true, true), "retried after a response to the caller had started")
	assert.Assert(t, !Retry(Unknown, false, false), "a non-idempotent request was retried")
}
