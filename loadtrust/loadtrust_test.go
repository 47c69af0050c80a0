// SPDX-License-Identifier: Apache-2.0

package loadtrust

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start   = time.Unix(1000, 0)
	dated   = Load{StartedMS: 900_000, Orders: 2, Version: 3}
	undated = Load{Orders: 2, Version: 3}
)

// Guards against a load that is trusted because an engine's former process had one of the
// same version, or the same process an earlier one.
func TestOnlyTheSameLoadIsConfirmed(t *testing.T) {
	for name, m := range map[string]Load{
		"former process":  {StartedMS: 800_000, Orders: 2, Version: 3},
		"earlier order":   {StartedMS: 900_000, Orders: 1, Version: 3},
		"another version": {StartedMS: 900_000, Orders: 2, Version: 2},
		"unknown start":   undated,
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReview(dated, start)
			assert.Assert(t, !r.ObserveMemory(Memory{Load: m, ReportedFor: time.Hour, ListConfirmed: start.Add(time.Hour)}))
			assert.Equal(t, r.Status(start.Add(DecisionTime)), Untrusted)
		})
	}
	r := NewReview(dated, start)
	assert.Assert(t, r.ObserveMemory(Memory{Load: dated}))
	assert.Equal(t, r.Status(start), Trusted)
}

// Guards against a load of a restarted engine without a start time that is trusted
// because the list, or a delayed report, still shows the former process.
func TestFormerProcessWithoutStartTimeConfirmsNothing(t *testing.T) {
	enough := Memory{Load: undated, ReportedFor: listLag, ListConfirmed: start.Add(listLag)}
	r := NewReview(undated, start)
	laggingList := enough
	laggingList.ListConfirmed = start.Add(listLag - time.Millisecond)
	assert.Assert(t, !r.ObserveMemory(laggingList))
	delayedReport := enough
	delayedReport.ReportedFor = listLag - time.Millisecond
	assert.Assert(t, !r.ObserveMemory(delayedReport))
	assert.Equal(t, r.Status(start.Add(DecisionTime)), Untrusted)
	assert.Assert(t, !r.MayReload(start.Add(listLag+time.Second)), "a gateway may still confirm it")
	assert.Assert(t, r.MayReload(start.Add(reloadDelayUnknownStart)))
	assert.Assert(t, r.ObserveMemory(enough))
	assert.Equal(t, r.Status(start.Add(reloadDelayUnknownStart)), Trusted, "a load that is confirmed late counts from then on")
	assert.Assert(t, !r.MayReload(start.Add(time.Minute)))
}

// Guards against sidecars that stay silent while no gateway answers, and against an engine
// that is loaded again although its staged chunks show its weights.
func TestStageDecidesIfNoGatewayAnswers(t *testing.T) {
	r := NewReview(dated, start)
	assert.Equal(t, r.Status(start.Add(DecisionTime-time.Millisecond)), Undecided)
	assert.Assert(t, !r.MayReload(start.Add(DecisionTime-time.Millisecond)))
	r.ObserveStage(StageDiffers)
	assert.Equal(t, r.Status(start.Add(DecisionTime)), Untrusted)
	assert.Assert(t, r.MayReload(start.Add(DecisionTime)))
	r = NewReview(dated, start)
	r.ObserveStage(StageMatches)
	assert.Equal(t, r.Status(start), Trusted)
}
