// SPDX-License-Identifier: Apache-2.0

package loadreport

import (
	"maps"
	"time"
)

// maxDatagramDelay is the maximum time by which a datagram is assumed to be overtaken. An
// older number after that is of a sidecar that has restarted after its box's clock was set
// back.
const maxDatagramDelay = 3 * time.Second

// minReportAge is the age of a report from which the sidecar tells it. Younger reports count
// as new: a sidecar reads its engine's state every 40 ms, and a changed state is sent at
// once.
const minReportAge = 100 * time.Millisecond

// reportNumber orders the reports of a sidecar. Epoch is the start of the sidecar's process
// in Unix milliseconds, and number counts its changes and repetitions of the report.
type reportNumber struct{ epoch, number int64 }

// before reports whether n is of an older report than other.
func (n reportNumber) before(other reportNumber) bool {
	return n.epoch < other.epoch || n.epoch == other.epoch && n.number < other.number
}

// reportOrder detects reports that newer ones of the same sidecar have overtaken.
type reportOrder struct {
	last map[string]receivedReport // by the sidecar's address
	// prunedAt is when old entries were last removed.
	prunedAt time.Time
}

// receivedReport is the newest report received from a sidecar.
type receivedReport struct {
	number reportNumber
	at     time.Time
}

// newReportOrder returns the order of a subscriber that has received no report.
func newReportOrder() *reportOrder { return &reportOrder{last: make(map[string]receivedReport)} }

// accept returns false if a newer report of the sidecar was received before this one.
// Reports without a number are accepted.
func (o *reportOrder) accept(sidecar string, n reportNumber, now time.Time) bool {
	if n.epoch == 0 {
		return true
	}
	if last, ok := o.last[sidecar]; ok && n.before(last.number) && now.Sub(last.at) < maxDatagramDelay {
		return false
	}
	o.last[sidecar] = receivedReport{n, now}
	if now.Sub(o.prunedAt) >= maxDatagramDelay {
		o.prunedAt = now
		maps.DeleteFunc(o.last, func(_ string, r receivedReport) bool { return now.Sub(r.at) >= maxDatagramDelay })
	}
	return true
}
