// SPDX-License-Identifier: Apache-2.0

// Package slotgrant decides which gateway may use a free slot of an engine. A slot is an
// engine's capacity for one concurrent request.
//
// A gateway whose request finds no engine clearly free wishes for slots at one or two of
// them (Requester). The sidecar of the engine, which reads the engine's state, grants
// each free slot to one gateway (Ledger). So gateways that see the same free slot in the
// engine's load reports do not all send a request to it.
//
// The package does no I/O and takes the current time as an argument. Its types are not
// safe for concurrent use.
package slotgrant

import (
	"cmp"
	"time"
)

// Parameters that the sidecar and the gateways share.
const (
	// MaxWishes is the maximum number of wishes in a Request.
	MaxWishes = 8
	// Validity is how long a gateway may use a grant.
	Validity = 20 * time.Millisecond
	// holdTime bounds the time for which the sidecar counts a grant against the slots,
	// unless it is returned: until the first reading of the engine's state that begins
	// arrivalTime after the grant. The sidecar reads it every 40 ms.
	holdTime = arrivalTime + 40*time.Millisecond
)

// Wish asks for a slot for one request.
type Wish struct {
	// Priority is the priority of the request; the lowest value is the most urgent.
	Priority int `json:"p"`
	// DueMS is the time until the response is due, in milliseconds. It is negative if
	// the response is overdue.
	DueMS int64 `json:"d"`
}

// Request is a message from a gateway to the sidecar of an engine. It replaces the
// wishes of the gateway's earlier requests.
type Request struct {
	// Number increases with each request of a gateway's process.
	Number int64 `json:"n"`
	// Slots is the number of slots of the engine, by the configuration.
	Slots int `json:"c"`
	// StartedMS is the start time of the engine's process, in Unix milliseconds, or 0 if
	// the gateway does not know it.
	StartedMS int64 `json:"i,omitempty"`
	// Wishes are at most MaxWishes, the most urgent first.
	Wishes []Wish `json:"w,omitempty"`
	// Returned holds the Grant.Number of each slot that the gateway does not use.
	Returned []int64 `json:"x,omitempty"`
}

// Grant is a message from the sidecar of an engine to a gateway.
type Grant struct {
	// Number increases with each grant of a sidecar's process.
	Number int64 `json:"n"`
	// Address is the address of the engine, IP:PORT.
	Address string `json:"a"`
	// Slots is the number of slots granted. With 0, the message confirms a request whose
	// wishes cannot be granted yet.
	Slots int `json:"g"`
	// FreeInMS is the time until the next slot is expected to be free, in milliseconds,
	// or 0 if unknown.
	FreeInMS int64 `json:"f,omitempty"`
}

// wish is a Wish with the time at which the response is due.
type wish struct {
	priority int
	due      time.Time
}

// compareWishes orders wishes; a negative result means that a is granted before b.
func compareWishes(a, b wish) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.due.Compare(b.due))
}
