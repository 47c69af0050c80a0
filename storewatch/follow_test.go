// SPDX-License-Identifier: Apache-2.0

package storewatch_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/internal/stall"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/storewatch"
	"github.com/mintlift/mintlift/telemetry"
)

// lateLog is a store whose other topics are late, or not.
type lateLog struct {
	storewatch.Log
	late bool
}

func (l *lateLog) OthersLate(string, time.Time) bool { return l.late }
func (l *lateLog) Era() int64                        { return 0 }

// After an outage in which reads were refused, or a topic alone was silent, the
// pause and the next read take less than the bound of changes.
func TestPausesAreUnderTheBound(t *testing.T) {
	const manyFailures = 9
	budget := freshness.New(2 * time.Second)
	for range 100 {
		assert.Assert(t, storewatch.RetryPause(manyFailures, false)+budget.Answer() < budget.Bound())
		assert.Assert(t, platform.StoreStall+storewatch.RetryPause(manyFailures, true)+budget.Answer() < budget.Bound())
	}
	log := &lateLog{}
	w := storewatch.New(log, logr.Discard(), telemetry.NewMetrics())
	read := history.Position{Offset: 5}
	assert.Assert(t, storewatch.PartSilent(w, "list", read, stall.Err))
	assert.Assert(t, !storewatch.PartSilent(w, "list", read, platform.ErrStore), "refused")
	assert.Assert(t, !storewatch.PartSilent(w, "list", history.Unread, stall.Err), "newest records fill links")
	log.late = true
	assert.Assert(t, !storewatch.PartSilent(w, "list", read, stall.Err), "the link is full")
}
