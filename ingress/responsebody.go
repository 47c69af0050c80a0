// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"bytes"
	"io"

	"github.com/mintlift/mintlift/eventstream"
	"github.com/mintlift/mintlift/membudget"
	"github.com/mintlift/mintlift/upstream"
)

// Responses are buffered here: plain ones whole, and streams an event at a time. An endpoint in
// trouble may send bytes without end, on many connections at once. So large responses take
// their memory from a budget of the process. A response that finds the budget used up is left
// unread until others have been delivered, and not refused, as its endpoint has run the request.

const (
	// maxResponseBytes limits the body of a plain response, which is buffered until it
	// is complete.
	maxResponseBytes = 8 << 20
	// smallResponseBytes is the size up to which a response, or an event of a stream, takes
	// nothing from the budget.
	smallResponseBytes = 64 << 10
	// unknownLengthBytes is what a large response of unknown length takes from the budget.
	// While a buffer grows, its old and its new memory are in use.
	unknownLengthBytes = maxResponseBytes * 5 / 2
	// largeEventBytes is what an exchange with a large event takes from the budget.
	largeEventBytes = eventstream.MaxEventBytes * 5 / 2
	// responseMemoryShare is the share of the memory limit that large responses may use, and
	// defaultResponseMemory the bound without a memory limit.
	responseMemoryShare   = 4 // a quarter
	defaultResponseMemory = 256 << 20
)

// newResponseBudget returns the budget of a process with a memory limit, in bytes; 0 means that
// there is no limit. The budget is enough for one response of any size.
func newResponseBudget(memoryLimit int64) *membudget.Budget {
	if memoryLimit <= 0 {
		return membudget.New(defaultResponseMemory)
	}
	return membudget.New(max(memoryLimit/responseMemoryShare, unknownLengthBytes))
}

// readBody reads a body of at most maxResponseBytes. The budget's bytes are held until the
// exchange ends.
func (a *attempt) readBody(response *upstream.Response) ([]byte, error) {
	if response.Length > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	if response.Length > smallResponseBytes {
		if err := a.exchange.memory.Reserve(a.ctx, response.Length); err != nil {
			return nil, err
		}
		body := make([]byte, response.Length)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			a.exchange.memory.Release(response.Length)
			return nil, err
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, smallResponseBytes+1))
	if err != nil || len(body) <= smallResponseBytes {
		return body, err
	}
	if err := a.exchange.memory.Reserve(a.ctx, unknownLengthBytes); err != nil {
		return nil, err
	}
	rest := io.LimitReader(response.Body, int64(maxResponseBytes+1-len(body)))
	if body, err = io.ReadAll(io.MultiReader(bytes.NewReader(body), rest)); err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		a.exchange.memory.Release(unknownLengthBytes)
		return nil, err
	}
	return body, nil
}

// newEventReader returns a reader of the events of a response. An exchange with a large event
// takes bytes from the budget until it ends.
func (a *attempt) newEventReader(response *upstream.Response) *eventstream.Reader {
	events := eventstream.NewReader(response.Body)
	events.OnLarge(smallResponseBytes, func() error { return a.exchange.memory.Reserve(a.ctx, largeEventBytes) })
	return events
}
