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

var epoch = time.UnixMilli(1_800_000_000_000)

// keyAt makes a UUIDv7 of the given time.
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

// world is a log of home changes and the states that processes hold.
type world struct {
	entries []eventlog.Entry
}

func (w *world) change(at time.Time, c state.HomesChanged) {
	r, err := eventlog.NewRecord(state.KindHomesChanged, "test", at, c)
	if err != nil {
		panic(err)
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	w.entries = append(w.entries, eventlog.Entry{Offset: int64(len(w.entries)), Data: b})
}

func (w *world) at(offset int) *state.State {
	r := state.NewReplica()
	if err := r.Apply(w.entries[:offset]); err != nil {
		panic(err)
	}
	var out *state.State
	r.View(func(s *state.State) { out = s })
	return out
}

func home(box int, incarnation int) state.Home {
	return state.Home{Box: fmt.Sprintf("b%d", box), Incarnation: fmt.Sprintf("n%d", incarnation)}
}

func self(h state.Home) Self { return Self{Box: h.Box, Incarnation: h.Incarnation} }

func TestAdmit(t *testing.T) {
	var w world
	w.change(epoch, state.HomesChanged{Add: []state.Home{home(1, 1), home(2, 2)}})
	s := w.at(1)
	key := ""
	for n := range 100 { // a key whose home is b1
		if h, _ := HomeOf(keyAt(epoch, n), s.HomesOf("")); h.Box == "b1" {
			key = keyAt(epoch, n)
			break
		}
	}
	now := epoch.Add(time.Minute)
	assert.Equal(t, Admit(key, self(home(1, 1)), s, now, now), Run)
	assert.Equal(t, Admit(key, self(home(2, 2)), s, now, now), NotHome)
	assert.Equal(t, Admit(key, self(home(1, 9)), s, now, now), NotHome, "another incarnation")
	assert.Equal(t, Admit(key, self(home(1, 1)), s, now.Add(-Lease-time.Second), now), Silent)

	w.change(now, state.HomesChanged{Remove: []string{"b1"}})
	s = w.at(2)
	later := now.Add(time.Minute)
	assert.Equal(t, Admit(key, self(home(2, 2)), s, later, later), Unknowable, "a key older than the change may have run at b1")
	fresh := ""
	for n := range 1000 {
		if h, _ := HomeOf(keyAt(later, n), w.at(1).HomesOf("")); h.Box == "b1" {
			fresh = keyAt(later, n)
			break
		}
	}
	assert.Equal(t, Admit(fresh, self(home(2, 2)), s, later, later), Run, "a key made after the change cannot have run at b1")
	early := now.Add(Lease) // b1 may not have heard of its removal by then
	for n := range 1000 {
		if movedFrom(keyAt(early, n), w.at(1)) == "b1" {
			assert.Equal(t, Admit(keyAt(early, n), self(home(2, 2)), s, later, later), Unknowable, "a key made while b1 may still have held its lease")
			break
		}
	}
	moved := movedFrom("plain-key-of-unknown-age", w.at(1)) == "b1"
	assert.Equal(t, Admit("plain-key-of-unknown-age", self(home(2, 2)), s, later, later) == Run, !moved)

	w.change(later, state.HomesChanged{Add: []state.Home{home(2, 3)}})
	s = w.at(3)
	assert.Equal(t, Admit(fresh, self(home(2, 3)), s, later, later), Unknowable, "the same box, started again empty")
}

func movedFrom(key string, s *state.State) string {
	h, _ := HomeOf(key, s.HomesOf(""))
	return h.Box
}

// process is a sidecar of the model: its own memory, its own lagging state.
type process struct {
	home    state.Home
	memory  Memory
	offset  int
	contact time.Time
	alive   bool
}

// TestAtMostOnce draws changes of homes, lagging and silent processes,
// restarts under the same box and resends through gateways that lag as
// well, and counts the runs of every key.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w world
		now := epoch
		var procs []*process
		incarnation := 0
		start := func(box int) {
			incarnation++
			for _, p := range procs {
				if p.home.Box == home(box, 0).Box {
					p.alive = p.alive && rapid.Bool().Draw(t, "old one lives on, cut off")
				}
			}
			p := &process{home: home(box, incarnation), alive: true, contact: now}
			procs = append(procs, p)
			w.change(now, state.HomesChanged{Add: []state.Home{p.home}})
		}
		for box := range 3 {
			start(box)
		}
		ran := make(map[string]int)
		made := make(map[string]time.Time)
		var keys []string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				start(rapid.IntRange(0, 3).Draw(t, "box"))
			case 1:
				w.change(now, state.HomesChanged{Remove: []string{home(rapid.IntRange(0, 3).Draw(t, "box"), 0).Box}})
			case 2: // a process hears the log
				p := rapid.SampledFrom(procs).Draw(t, "process")
				p.offset, p.contact = len(w.entries), now
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
					made[key] = now
				}
				if _, dated := KeyTime(key); !dated && now.Sub(made[key]) > Window {
					continue // the promise for keys of unknown age ends with Window
				}
				p := rapid.SampledFrom(procs).Draw(t, "asked") // whichever a stale gateway believes in
				if !p.alive {
					continue
				}
				if _, seen := p.memory.Lookup(key, now); seen {
					continue
				}
				if Admit(key, self(p.home), w.at(p.offset), p.contact, now) != Run {
					continue
				}
				if p.memory.Begin(key, "attempt", now).Status == New {
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

// TestAllHomesGoneAndBack was found by TestAtMostOnce: every home left, and
// one came back as if it were the first ever.
func TestAllHomesGoneAndBack(t *testing.T) {
	var w world
	w.change(epoch, state.HomesChanged{Add: []state.Home{home(1, 1)}})
	assert.Equal(t, Admit("opaque", self(home(1, 1)), w.at(1), epoch, epoch), Run, "the very first home knows that nothing ran")
	w.change(epoch, state.HomesChanged{Remove: []string{"b1"}})
	w.change(epoch, state.HomesChanged{Add: []state.Home{home(1, 2)}})
	assert.Equal(t, Admit("opaque", self(home(1, 2)), w.at(3), epoch, epoch), Unknowable)
}

func TestMemory(t *testing.T) {
	m := Memory{Keys: 2}
	assert.Equal(t, m.Begin("a", "1", epoch).Status, New)
	assert.Equal(t, m.Begin("a", "1", epoch).Status, New, "the same attempt asks again")
	assert.Equal(t, m.Begin("a", "2", epoch).Status, Running)
	m.Finish("a", "2", false, nil)
	assert.Equal(t, m.Begin("a", "2", epoch).Status, Running, "another attempt cannot end it")
	m.Finish("a", "1", false, &Answer{Status: 200, Body: []byte("x")})
	e := m.Begin("a", "2", epoch)
	assert.Equal(t, e.Status, Done)
	assert.Equal(t, string(e.Answer.Body), "x")

	assert.Equal(t, m.Begin("b", "1", epoch).Status, New)
	m.Refuse("b", "1", epoch)
	assert.Equal(t, m.Begin("b", "2", epoch.Add(RefuseHold/2)).Status, Refused, "an attempt on its way must not run after not run was said")
	assert.Equal(t, m.Begin("b", "2", epoch.Add(2*RefuseHold)).Status, New)

	assert.Equal(t, m.Begin("c", "1", epoch).Status, Full, "a full memory takes no key rather than forget one")
	assert.Equal(t, m.Begin("c", "1", epoch.Add(Window+time.Second)).Status, New)
}

func TestKeyTime(t *testing.T) {
	at, ok := KeyTime(keyAt(epoch, 1))
	assert.Assert(t, ok)
	assert.Equal(t, at.UnixMilli(), epoch.UnixMilli())
	_, ok = KeyTime(uuid.NewString())
	assert.Assert(t, !ok)
}
