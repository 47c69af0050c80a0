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

// fakeStore is a store whose calls for other topics are late if othersLate is set.
type fakeStore struct {
	storewatch.Store
	othersLate bool
}

// OthersLate implements storewatch.Store.
func (l *fakeStore) OthersLate(string, time.Time) bool { return l.othersLate }

// Era implements storewatch.Store.
func (l *fakeStore) Era() int64 { return 0 }

// Guards against changes that take effect too late after an outage: the retry delay and
// the next read together must take less than the bound. That also holds if only one
// topic was unresponsive.
func TestRetryDelaysAreUnderTheBound(t *testing.T) {
	const manyFailures = 9
	budget := freshness.New(2 * time.Second)
	for range 100 {
		assert.Assert(t, storewatch.RetryDelay(manyFailures, false)+budget.ResponseTime() < budget.Bound())
		assert.Assert(t, platform.StoreStallTimeout+storewatch.RetryDelay(manyFailures, true)+budget.ResponseTime() < budget.Bound())
	}
	store := &fakeStore{}
	w := storewatch.New(store, logr.Discard(), telemetry.NewMetrics())
	read := history.Position{Offset: 5}
	assert.Assert(t, storewatch.TopicUnresponsive(w, "list", read, stall.ErrStalled))
	assert.Assert(t, !storewatch.TopicUnresponsive(w, "list", read, platform.ErrStore), "refused")
	assert.Assert(t, !storewatch.TopicUnresponsive(w, "list", history.Unread, stall.ErrStalled), "newest records may saturate the link")
	store.othersLate = true
	assert.Assert(t, !storewatch.TopicUnresponsive(w, "list", read, stall.ErrStalled), "the link is saturated")
}
