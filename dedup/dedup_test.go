// SPDX-License-Identifier: Apache-2.0

package dedup

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/state"
)

// epoch is the time at which the simulated clocks start.
var epoch = time.UnixMilli(1_800_000_000_000)

// keyAt returns a UUIDv7 with the given creation time; each n gives a different one.
func keyAt(at time.Time, n int) string {
	u := uuid.UUID{}
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6] = 0x70
	u[8] = 0x80
	u[14], u[15] = byte(n>>8), byte(n)
	return u.String()
}

// logModel is an event log with records that change the homes of idempotency keys. A home
// is the sidecar process that stores what is known of a key.
type logModel struct {
	entries []eventlog.Entry
}

// appendChange appends a record that adds or removes homes, the sidecar processes among
// which the idempotency keys are distributed. at is the record's time.
func (log *logModel) appendChange(at time.Time, c state.HomesChanged) {
	r, err := eventlog.NewRecord(state.KindHomesChanged, "test", at, c)
	if err != nil {
		panic(err)
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	log.entries = append(log.entries, eventlog.Entry{Offset: int64(len(log.entries)), Data: b})
}

// stateAt returns the state of a replica that has read the log up to offset.
func (log *logModel) stateAt(offset int) *state.State {
	r := state.NewReplica()
	if err := r.Apply(log.entries[:offset]); err != nil {
		panic(err)
	}
	var out *state.State
	r.View(func(s *state.State) { out = s })
	return out
}

// home returns the sidecar process with the given numbers of box and incarnation, as a
// home of keys.
func home(box int, incarnation int) state.Home {
	return state.Home{Box: fmt.Sprintf("b%d", box), Incarnation: fmt.Sprintf("n%d", incarnation)}
}

// self returns the home h as the Self argument of Admit.
func self(h state.Home) Self { return Self{Box: h.Box, Incarnation: h.Incarnation} }

// TestAdmit checks the verdicts for the current home of a key and for other sidecars,
// before and after the key's home changes.
func TestAdmit(t *testing.T) {
	var log logModel
	log.appendChange(epoch, state.HomesChanged{Add: []state.Home{home(1, 1), home(2, 2)}})
	s := log.stateAt(1)
	key := ""
	for n := range 100 { // find a key whose home is b1
		if h, _ := HomeOf(keyAt(epoch, n), s.HomesOf("")); h.Box == "b1" {
			key = keyAt(epoch, n)
			break
		}
	}
	now := epoch.Add(time.Minute)
	assert.Equal(t, Admit(key, self(home(1, 1)), s, now, now), Run)
	assert.Equal(t, Admit(key, self(home(2, 2)), s, now, now), NotHome)
	assert.Equal(t, Admit(key, self(home(1, 9)), s, now, now), NotHome, "another incarnation")
	assert.Equal(t, Admit(key, self(home(1, 1)), s, now.Add(-Lease-time.Second), now), LeaseExpired)

	log.appendChange(now, state.HomesChanged{Remove: []string{"b1"}})
	s = log.stateAt(2)
	afterChange := now.Add(time.Minute)
	assert.Equal(t, Admit(key, self(home(2, 2)), s, afterChange, afterChange), Unknown, "b1 may have run a key that is older than the change")
	newKey := ""
	for n := range 1000 {
		if h, _ := HomeOf(keyAt(afterChange, n), log.stateAt(1).HomesOf("")); h.Box == "b1" {
			newKey = keyAt(afterChange, n)
			break
		}
	}
	assert.Equal(t, Admit(newKey, self(home(2, 2)), s, afterChange, afterChange), Run, "b1 cannot have run a key that was created after the change")
	early := now.Add(Lease) // b1 may not have read its removal by then
	for n := range 1000 {
		if homeBox(keyAt(early, n), log.stateAt(1)) == "b1" {
			assert.Equal(t, Admit(keyAt(early, n), self(home(2, 2)), s, afterChange, afterChange), Unknown, "the key was created when the lease of b1 may not have expired")
			break
		}
	}
	formerlyAtB1 := homeBox("plain-key-of-unknown-age", log.stateAt(1)) == "b1"
	assert.Equal(t, Admit("plain-key-of-unknown-age", self(home(2, 2)), s, afterChange, afterChange) == Run, !formerlyAtB1)

	log.appendChange(afterChange, state.HomesChanged{Add: []state.Home{home(2, 3)}})
	s = log.stateAt(3)
	assert.Equal(t, Admit(newKey, self(home(2, 3)), s, afterChange, afterChange), Unknown, "a new incarnation on the same box has no record of the keys")
}

// homeBox returns the box of the sidecar process that is the key's home in state s.
func homeBox(key string, s *state.State) string {
	h, _ := HomeOf(key, s.HomesOf(""))
	return h.Box
}

// processModel is a simulated sidecar with its table of keys. offset is the log offset
// up to which it has read, and contact the time of that read.
type processModel struct {
	home    state.Home
	table   Table
	offset  int
	contact time.Time
	running bool
}

// TestAtMostOnce guards against two runs of a request with the same key. Homes
// change at random, sidecars restart and read the log late or not at all, and
// retries reach any sidecar.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log logModel
		now := epoch
		var processes []*processModel
		incarnation := 0
		start := func(box int) {
			incarnation++
			for _, p := range processes {
				if p.home.Box == home(box, 0).Box {
					p.running = p.running && rapid.Bool().Draw(t, "former process keeps running, partitioned")
				}
			}
			p := &processModel{home: home(box, incarnation), running: true, contact: now}
			processes = append(processes, p)
			log.appendChange(now, state.HomesChanged{Add: []state.Home{p.home}})
		}
		for box := range 3 {
			start(box)
		}
		ran := make(map[string]int)
		created := make(map[string]time.Time)
		var keys []string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				start(rapid.IntRange(0, 3).Draw(t, "box"))
			case 1:
				log.appendChange(now, state.HomesChanged{Remove: []string{home(rapid.IntRange(0, 3).Draw(t, "box"), 0).Box}})
			case 2: // a process reads the log
				p := rapid.SampledFrom(processes).Draw(t, "process")
				p.offset, p.contact = len(log.entries), now
			default:
				key := ""
				if len(keys) > 0 && rapid.Bool().Draw(t, "again") {
					key = rapid.SampledFrom(keys).Draw(t, "key")
				} else {
					key = fmt.Sprintf("opaque-%d", len(keys))
					if rapid.Bool().Draw(t, "dated") {
						key = keyAt(now, len(keys))
					}
					keys = append(keys, key)
					created[key] = now
				}
				if _, hasTime := KeyTime(key); !hasTime && now.Sub(created[key]) > KeyTTL {
					continue // keys without a creation time are covered for KeyTTL only
				}
				p := rapid.SampledFrom(processes).Draw(t, "asked") // any: the gateway may have an outdated state
				if !p.running {
					continue
				}
				if _, seen := p.table.Lookup(key, now); seen {
					continue
				}
				if Admit(key, self(p.home), log.stateAt(p.offset), p.contact, now) != Run {
					continue
				}
				if p.table.Begin(key, "attempt", now).Status == New {
					ran[key]++
				}
			}
			for key, n := range ran {
				if n > 1 {
					t.Fatalf("key %s ran %d times", key, n)
				}
			}
		}
	})
}

// TestHomeAddedAfterAllRemoved guards against treating a home that is added after all
// homes were removed as the first home ever, which has no predecessor that may have
// granted a key.
func TestHomeAddedAfterAllRemoved(t *testing.T) {
	var log logModel
	log.appendChange(epoch, state.HomesChanged{Add: []state.Home{home(1, 1)}})
	assert.Equal(t, Admit("opaque", self(home(1, 1)), log.stateAt(1), epoch, epoch), Run, "no key can have run before the first home")
	log.appendChange(epoch, state.HomesChanged{Remove: []string{"b1"}})
	log.appendChange(epoch, state.HomesChanged{Add: []state.Home{home(1, 2)}})
	assert.Equal(t, Admit("opaque", self(home(1, 2)), log.stateAt(3), epoch, epoch), Unknown)
}

// TestTable checks the results of Begin for keys in each status and for a full table.
func TestTable(t *testing.T) {
	table := Table{Capacity: 2}
	assert.Equal(t, table.Begin("a", "1", epoch).Status, New)
	assert.Equal(t, table.Begin("a", "1", epoch).Status, New, "a repeated call of the same attempt")
	assert.Equal(t, table.Begin("a", "2", epoch).Status, Running)
	table.Finish("a", "2", false, nil)
	assert.Equal(t, table.Begin("a", "2", epoch).Status, Running, "another attempt must not finish the key")
	table.Finish("a", "1", false, &Response{Status: 200, Body: []byte("x")})
	e := table.Begin("a", "2", epoch)
	assert.Equal(t, e.Status, Done)
	assert.Equal(t, string(e.Response.Body), "x")

	assert.Equal(t, table.Begin("b", "1", epoch).Status, New)
	table.Refuse("b", "1", epoch)
	assert.Equal(t, table.Begin("b", "2", epoch.Add(RefusalTTL/2)).Status, Refused, "a delayed attempt must not run after not run was reported")
	assert.Equal(t, table.Begin("b", "2", epoch.Add(2*RefusalTTL)).Status, New)

	assert.Equal(t, table.Begin("c", "1", epoch).Status, Full, "a full table rejects new keys and evicts none")
	assert.Equal(t, table.Begin("c", "1", epoch.Add(KeyTTL+time.Second)).Status, New)
}

// TestKeyTime checks that only UUIDv7 keys have a creation time.
func TestKeyTime(t *testing.T) {
	at, ok := KeyTime(keyAt(epoch, 1))
	assert.Assert(t, ok)
	assert.Equal(t, at.UnixMilli(), epoch.UnixMilli())
	_, ok = KeyTime(uuid.NewString())
	assert.Assert(t, !ok)
}
