// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bytes"
	"io"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventstream"
	"github.com/mintlift/mintlift/membudget"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/upstream"
)

// Bodies of requests are buffered here, since they may be sent again; plain responses whole, and
// streams an event at a time. Each has a bound, but an endpoint in trouble may send bytes without
// end on many connections at once, and many callers may send large bodies. So large ones take
// their memory from budgets of the process. A response that finds its budget used up is left
// unread until others have been delivered, as its endpoint has run the request. A request is
// refused, unread: memory is held until the others' responses have come, and another gateway may
// have some.

const (
	// maxResponseBytes limits the body of a plain response, which is buffered until it
	// is complete.
	maxResponseBytes = 8 << 20
	// smallBodyBytes is the size up to which a body, or an event of a stream, takes nothing
	// from the budgets.
	smallBodyBytes = 64 << 10
	// requestMemoryShare and responseMemoryShare are the shares of the memory limit that large
	// requests and large responses may use, and defaultBodyMemory the bound of each without a
	// memory limit.
	requestMemoryShare  = 2 // half
	responseMemoryShare = 4 // a quarter
	defaultBodyMemory   = 256 << 20
)

// errResponseTooLarge is the error for a response that is longer than its limit. Readers of
// requests have an error of their own.
const errResponseTooLarge = errors.ConstError("the answer is too large")

// bufferGrowth returns the memory that a buffer takes while it grows to size bytes, when its old
// and its new memory are in use.
func bufferGrowth(size int64) int64 { return size * 5 / 2 }

// newResponseBudget returns the budget of responses for a memory limit of the process, in bytes;
// 0 means that there is no limit. The budget is enough for one response of any size.
func newResponseBudget(memoryLimit int64) *membudget.Budget {
	if memoryLimit <= 0 {
		return membudget.New(defaultBodyMemory)
	}
	return membudget.New(max(memoryLimit/responseMemoryShare, bufferGrowth(maxResponseBytes)))
}

// newRequestBudget is like newResponseBudget, for requests of the default size.
func newRequestBudget(memoryLimit int64) *membudget.Budget {
	if memoryLimit <= 0 {
		return membudget.New(defaultBodyMemory)
	}
	return membudget.New(max(memoryLimit/requestMemoryShare, bufferGrowth(defaultMaxBodyBytes)))
}

// registerBodyGauges registers gauges of the memory that bodies hold.
func (s *Server) registerBodyGauges(m *telemetry.Metrics) {
	m.Gauge("mintlift_ingress_request_memory_bytes", func() float64 { return float64(s.requestMemory.Held()) })
	m.Gauge("mintlift_ingress_request_memory_refusals", func() float64 { return float64(s.requestMemory.Failures()) })
	m.Gauge("mintlift_ingress_response_memory_bytes", func() float64 { return float64(s.responseMemory.Held()) })
	m.Gauge("mintlift_ingress_response_memory_waits", func() float64 { return float64(s.responseMemory.Waits()) })
}

// readBody reads a body of at most maxResponseBytes. The budget's bytes are held until the
// exchange ends.
func (a *attempt) readBody(response *upstream.Response) ([]byte, error) {
	memory := a.exchange.responseMemory
	return readBuffered(response.Body, response.Length, maxResponseBytes, memory, func(n int64) error { return memory.Reserve(a.ctx, n) })
}

// readBuffered reads a body of at most limit bytes; length is -1 if it is not known. If the body
// is large, its memory is reserved first, and given back to the account if it can't be read.
func readBuffered(from io.Reader, length, limit int64, memory *membudget.Account, reserve func(n int64) error) ([]byte, error) {
	if length > limit {
		return nil, errResponseTooLarge
	}
	if length > smallBodyBytes {
		if err := reserve(length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(from, body); err != nil {
			memory.Release(length)
			return nil, err
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(from, smallBodyBytes+1))
	if err != nil || len(body) <= smallBodyBytes {
		return body, err
	}
	growing := bufferGrowth(limit)
	if err := reserve(growing); err != nil {
		return nil, err
	}
	rest := io.LimitReader(from, limit+1-int64(len(body)))
	if body, err = io.ReadAll(io.MultiReader(bytes.NewReader(body), rest)); err == nil && int64(len(body)) > limit {
		err = errResponseTooLarge
	}
	if err != nil {
		memory.Release(growing)
		return nil, err
	}
	return body, nil
}

// newEventReader returns a reader of the events of a response. An exchange with a large event
// takes bytes from the budget until it ends.
func (a *attempt) newEventReader(response *upstream.Response) *eventstream.Reader {
	events := eventstream.NewReader(response.Body)
	events.OnLarge(smallBodyBytes, func() error { return a.exchange.responseMemory.Reserve(a.ctx, bufferGrowth(eventstream.MaxEventBytes)) })
	return events
}
