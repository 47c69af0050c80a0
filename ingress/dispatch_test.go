// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
)

// crowded is a gateway whose engines are all full, and requests that wait
// there.
func newFullServer(t testing.TB, engines, waiters int) (*Server, []fleet.Report) {
	w := newTestGateway(t)
	w.configure(1)
	reports := make([]fleet.Report, engines)
	records := make([]fleet.Record, engines)
	for n := range engines {
		address := fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
		records[n] = fleet.Record{ID: fmt.Sprint("e", n), Service: "engine", Address: address, Zone: "z", Models: map[string]int{testModel: 1}}
		reports[n] = fleet.Report{Address: address, Model: testModel, Version: 1, Running: 4, Queued: 3, Gateways: 13}
	}
	s := w.server
	s.SetEndpoints(records)
	for _, r := range reports {
		s.Heard(r, -1)
	}
	c := s.Configuration()
	q := &queue{}
	for range waiters {
		x := &exchange{server: s, config: c, service: "engine", model: testModel, start: time.Now(), route: c.Match("h.example", "/stream/1"), prefillMS: 50, meanPrefillMS: 50}
		q.add(&waiter{exchange: x, assigned: make(chan *fleet.Endpoint, 1)})
	}
	s.queues["engine"] = q
	return s, reports
}

// BenchmarkHeardWhileRequestsWait is what a report costs a gateway whose
// callers wait for room.
func BenchmarkReportWhileRequestsWait(b *testing.B) {
	for _, waiters := range []int{0, 10, 100} {
		b.Run(fmt.Sprint(waiters, " wait"), func(b *testing.B) {
			s, reports := newFullServer(b, 76, waiters)
			n := 0
			for b.Loop() {
				s.Heard(reports[n%len(reports)], -1)
				n++
			}
		})
	}
}

// BenchmarkStream is what a stream of 21 events costs, endpoint and caller
// included.
func BenchmarkStream(b *testing.B) {
	w := newTestGateway(b)
	w.configure(1)
	w.startEndpoint("a", "engine", respondEvents(21, 21))
	for b.Loop() {
		response, err := w.send(b.Context(), "POST", "/stream/1", "x")
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
		assert.NilError(b, response.Body.Close())
	}
}
