// SPDX-License-Identifier: Apache-2.0

package slotgrant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// send returns the number of wishes in the message that is due at a time, or -1 if none
// is.
func (r *Requester) send(ms int) int {
	message, ok := r.Message(int64(ms), at(ms))
	if !ok {
		return -1
	}
	return len(message.Wishes)
}

// Guards against wishes that are sent again at each event, and against ones that are lost
// for longer than the interval of repetition.
func TestWishIsRepeatedIfLost(t *testing.T) {
	var r Requester
	r.Want(wishes(2, 300), at(0))
	assert.Equal(t, r.send(0), 2)
	for ms := 1; ms < 100; ms++ {
		r.Want(wishes(2, int64(300-ms)), at(ms))
		assert.Equal(t, r.send(ms), -1, "%d ms", ms)
	}
	assert.Equal(t, r.NextAt(at(99)), at(100))
	assert.Equal(t, r.send(100), 2)
	r.Apply(Grant{Number: 1}, at(101))
	assert.Assert(t, !r.ByReports(at(160)))
	r.Want(nil, at(170))
	assert.Equal(t, r.send(170), 0)
	assert.Assert(t, r.Idle())
}

// Guards against requests that wait for the grants of a sidecar that does not answer: the
// engine must be used by its reports after answerTimeout, for reportsTime.
func TestSilentSidecarIsNotWaitedFor(t *testing.T) {
	var r Requester
	for ms := 0; ms < 150; ms += 10 {
		r.Want(wishes(1, 100), at(ms))
		r.send(ms)
		assert.Assert(t, !r.ByReports(at(ms)))
		assert.Assert(t, !r.NextAt(at(ms)).After(at(150)))
	}
	assert.Assert(t, r.ByReports(at(150)))
	assert.Assert(t, r.TakeSilent(at(150)) && !r.TakeSilent(at(151)))
	r.Apply(Grant{Number: 1}, at(200)) // late
	assert.Assert(t, r.ByReports(at(1149)))
	assert.Assert(t, !r.ByReports(at(1150)))
	r.Want(wishes(1, 100), at(1150))
	assert.Equal(t, r.send(1150), 1)
	r.Apply(Grant{Number: 2}, at(1151))
	assert.Assert(t, !r.ByReports(at(1400)))
}

// Guards against a gateway that sends its sidecar more messages than the limit.
func TestMessagesAreLimited(t *testing.T) {
	var r Requester
	sent := 0
	for ms := range 10_000 {
		r.Want(wishes(ms%8, 100), at(ms))
		if r.send(ms) >= 0 {
			sent++
			r.Apply(Grant{Number: 1}, at(ms))
		}
	}
	assert.Assert(t, sent <= 10*maxRate+maxBurst, "%d messages in 10 s", sent)
	assert.Assert(t, sent >= 9*maxRate, "%d messages in 10 s", sent)
}

// Guards against a grant that is used after its validity, or that the sidecar keeps for a
// gateway which has no use for it.
func TestUnusedGrantIsReturned(t *testing.T) {
	var r Requester
	r.Apply(Grant{Number: 6, Slots: 1}, at(0))
	assert.Assert(t, !r.Granted(at(0)), "meant for an earlier incarnation")
	r.Want(wishes(3, 100), at(0))
	assert.Equal(t, r.send(0), 3)
	r.Apply(Grant{Number: 7, Slots: 2}, at(1))
	assert.Assert(t, r.Take(at(2)) && r.Granted(at(20)) && !r.Granted(at(21)) && !r.Take(at(21)))
	r.ReturnUnused()
	r.Want(wishes(1, 99), at(1))
	message, ok := r.Message(9, at(22))
	assert.Assert(t, ok)
	assert.DeepEqual(t, message.Returned, []int64{7})
	assert.Equal(t, r.send(23), -1)
	r.Apply(Grant{Number: 8, Slots: 1}, at(30))
	r.ReturnUnused()
	r.Want(nil, at(30))
	assert.Equal(t, r.send(30+int(holdTime.Milliseconds())), -1, "the sidecar no longer counts it")
}

// Guards against a second message for a wish that has been granted.
func TestGrantedWishIsNotWithdrawn(t *testing.T) {
	var r Requester
	r.Want(wishes(2, 100), at(0))
	assert.Equal(t, r.send(0), 2)
	r.Apply(Grant{Number: 1, Slots: 2}, at(1))
	for range 2 {
		assert.Assert(t, r.Take(at(1)))
	}
	r.Want(nil, at(1))
	assert.Equal(t, r.send(1), -1)
}

// Guards against a gateway that spins: when NextAt says that a message is due, Message must
// return it, or NextAt must then be in the future.
func TestNextAtPassesWithoutSpinning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Requester
		now := start
		for number := range int64(40) {
			r.Want(wishes(rapid.IntRange(0, 3).Draw(t, "wishes"), 100), now)
			if _, sent := r.Message(number, now); sent && rapid.Bool().Draw(t, "answered") {
				r.Apply(Grant{Number: number, Slots: rapid.IntRange(0, 2).Draw(t, "slots")}, now)
				r.ReturnUnused()
			}
			r.Message(number, now)
			next := r.NextAt(now)
			if !next.IsZero() {
				_, sent := r.Message(number, now)
				assert.Assert(t, sent || next.After(now))
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 60e6).Draw(t, "ns")))
			if rapid.Bool().Draw(t, "at the time due") && next.After(now) {
				now = next
			}
		}
	})
}
