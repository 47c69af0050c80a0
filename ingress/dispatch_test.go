// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/internal/clock"
)

// newFullServer returns a server on which requests wait because all engines are at
// capacity. It also returns the engines' load reports.
func newFullServer(t testing.TB, engines, waiters int) (*Server, []fleet.Report) {
	g := newTestGateway(t)
	g.configure(1)
	reports := make([]fleet.Report, engines)
	records := make([]fleet.Record, engines)
	for n := range engines {
		address := fmt.Sprintf("10.0.%d.%d:1", n/200, n%200)
		records[n] = fleet.Record{ID: fmt.Sprint("e", n), Service: "engine", Address: address, Zone: "z", Models: map[string]int{testModel: 1}}
		reports[n] = fleet.Report{Address: address, Model: testModel, Version: 1, Running: 4, Queued: 3, Gateways: 13}
	}
	s := g.server
	s.SetEndpoints(records)
	for _, r := range reports {
		s.HandleReport(r, -1)
	}
	c := s.Configuration()
	q := &queue{}
	for range waiters {
		x := &exchange{server: s, config: c, service: "engine", model: testModel, start: time.Now(), route: c.Match("h.example", "/stream/1"), prefillMS: 50, meanPrefillMS: 50}
		q.add(&waiter{exchange: x, assigned: make(chan *attempt, 1)})
	}
	s.queues["engine"] = q
	return s, reports
}

// BenchmarkReportWhileRequestsWait measures the processing of a load report while
// requests wait.
func BenchmarkReportWhileRequestsWait(b *testing.B) {
	for _, waiters := range []int{0, 10, 100} {
		b.Run(fmt.Sprint(waiters, " wait"), func(b *testing.B) {
			s, reports := newFullServer(b, 76, waiters)
			n := 0
			for b.Loop() {
				s.HandleReport(reports[n%len(reports)], -1)
				n++
			}
		})
	}
}

// BenchmarkStream measures a stream of 21 events, including endpoint and caller.
func BenchmarkStream(b *testing.B) {
	g := newTestGateway(b)
	g.configure(1)
	g.startEndpoint("a", "engine", respondEvents(21, 21))
	for b.Loop() {
		response, err := g.send(b.Context(), "POST", "/stream/1", "x")
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
		assert.NilError(b, response.Body.Close())
	}
}

// BenchmarkRefusal measures the Retry-After of a refused request by the number of engines,
// all of which are full.
func BenchmarkRefusal(b *testing.B) {
	for _, engines := range []int{34, 340, 3400} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			s, _ := newFullServer(b, engines, 0)
			for b.Loop() {
				_, _ = s.retryAfter(newRefused(s, 4*time.Second, clock.Now()))
			}
		})
	}
}
