// SPDX-License-Identifier: Apache-2.0

package capacity

import "time"

// Sizes and rates of the messages about slots (package slotgrant); sizes in bytes, with
// headers.
const (
	slotRequestBytes = 200 // with one or two wishes, as most have
	slotGrantBytes   = 200
	// slotTargets is the number of engines at which a request wishes for a slot, and
	// slotRepeatInterval the time after which a wish is repeated.
	slotTargets        = 2
	slotRepeatInterval = 100 * time.Millisecond
	// slotRequestRate limits the slot requests of a gateway to a sidecar, per second, and
	// slotRequestBurst those that may be sent at once.
	slotRequestRate  = 25
	slotRequestBurst = 4
)

// SlotMessages returns the highest numbers of messages per second that all gateways send
// to sidecars about slots, and of those that sidecars send back, if so many requests per
// second find no engine clearly free and wait for so long at most. In an idle fleet no
// request does.
func (c Control) SlotMessages(requests float64, wait time.Duration) (fromGateways, fromSidecars float64) {
	wishes := 1 + float64(wait/slotRepeatInterval)
	limit := float64(c.Gateways * c.Watched() * (slotRequestRate + slotRequestBurst))
	// Each wish is sent, repeated, and withdrawn or returned; each message with wishes is
	// answered, and a slot may be granted at each of the engines.
	fromGateways = min(requests*slotTargets*(wishes+1), limit)
	fromSidecars = min(requests*slotTargets*wishes, limit) + requests*slotTargets
	return fromGateways, fromSidecars
}

// SlotBytes returns the highest numbers of bytes per second for messages about slots at a
// gateway and at a sidecar, both ways. The arguments are those of SlotMessages.
func (c Control) SlotBytes(requests float64, wait time.Duration) (gateway, sidecar float64) {
	fromGateways, fromSidecars := c.SlotMessages(requests, wait)
	total := fromGateways*slotRequestBytes + fromSidecars*slotGrantBytes
	return total / float64(c.Gateways), total / float64(c.Engines)
}
