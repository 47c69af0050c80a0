// SPDX-License-Identifier: Apache-2.0

package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/weights"
	"github.com/mintlift/mintlift/workspace"
)

var epoch = time.UnixMilli(1_000_000)

func rec(t interface{ Fatalf(string, ...any) }, kind eventlog.Kind, id string, at time.Time, body any) eventlog.Entry {
	r, err := eventlog.NewRecord(kind, "test", at, body)
	if err != nil {
		t.Fatalf("%v", err)
	}
	r.ID = id
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return eventlog.Entry{Data: b}
}

func number(entries []eventlog.Entry) []eventlog.Entry {
	for i := range entries {
		entries[i].Offset = int64(i)
	}
	return entries
}

func plan(id string, base int64, boxes []string, workspaces ...string) intent.Plan {
	p := intent.Plan{ID: id, Base: base, Intent: intent.Intent{ID: "i" + id, Ref: weights.Ref{Model: "m", Version: "v" + id}, Workspaces: workspaces}, ExpiresAt: epoch.Add(time.Hour).UnixMilli()}
	for _, b := range boxes {
		p.Steps = append(p.Steps, intent.Step{Box: b})
	}
	return p
}

func set(name string) WorkspaceSet {
	return WorkspaceSet{Workspace: workspace.Workspace{Name: name, KeyHash: workspace.HashKey(name), Priority: 10}}
}

// TestTwoOperatorsOneWinner confirms two plans over the same box: the log's
// order alone decides.
func TestTwoOperatorsOneWinner(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(number([]eventlog.Entry{
		rec(t, KindWorkspaceSet, "w", epoch, set("a")),
		rec(t, KindPlanProposed, "p1", epoch, PlanProposed{Plan: plan("1", 1, []string{"b1", "b2"}, "a")}),
		rec(t, KindPlanProposed, "p2", epoch, PlanProposed{Plan: plan("2", 1, []string{"b2", "b3"}, "a")}),
		rec(t, KindPlanConfirmed, "c2", epoch, PlanRef{Plan: "2"}),
		rec(t, KindPlanConfirmed, "c1", epoch, PlanRef{Plan: "1"}),
	})))
	r.View(func(s *State) {
		assert.Equal(t, s.Plans["2"].Status, intent.Confirmed)
		assert.Equal(t, s.Plans["2"].ConfirmID, "c2")
		assert.Equal(t, s.Plans["1"].Status, intent.Conflicted)
		assert.Assert(t, s.Plans["1"].Reason != "")
		assert.Equal(t, s.Route("a", "m")[0].ID, "2")
	})
}

func TestWorkspaceChangeConflicts(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(number([]eventlog.Entry{
		rec(t, KindWorkspaceSet, "w", epoch, set("a")),
		rec(t, KindPlanProposed, "p1", epoch, PlanProposed{Plan: plan("1", 1, []string{"b1"}, "a")}),
		rec(t, KindWorkspaceSet, "w2", epoch, set("a")),
		rec(t, KindPlanConfirmed, "c1", epoch, PlanRef{Plan: "1"}),
	})))
	r.View(func(s *State) { assert.Equal(t, s.Plans["1"].Status, intent.Conflicted) })
}

func TestExpiredPlanIsNotConfirmed(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(number([]eventlog.Entry{
		rec(t, KindPlanProposed, "p1", epoch, PlanProposed{Plan: plan("1", 1, []string{"b1"}, "a")}),
		rec(t, KindPlanConfirmed, "c1", epoch.Add(2*time.Hour), PlanRef{Plan: "1"}),
	})))
	r.View(func(s *State) { assert.Equal(t, s.Plans["1"].Status, intent.Expired) })
}

// TestCancelRestoresFormer rolls back to the plan before.
func TestCancelRestoresFormer(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(number([]eventlog.Entry{
		rec(t, KindPlanProposed, "p1", epoch, PlanProposed{Plan: plan("1", 0, []string{"b1"}, "a")}),
		rec(t, KindPlanConfirmed, "c1", epoch, PlanRef{Plan: "1"}),
		rec(t, KindPlanProposed, "p2", epoch, PlanProposed{Plan: plan("2", 2, []string{"b1"}, "a")}),
		rec(t, KindPlanConfirmed, "c2", epoch, PlanRef{Plan: "2"}),
	})))
	r.View(func(s *State) {
		assert.Equal(t, s.Plans["1"].Status, intent.Superseded)
		assert.Equal(t, s.Desired("b1")[0].ID, "2")
	})
	e := rec(t, KindPlanCancelled, "x", epoch, PlanRef{Plan: "2"})
	e.Offset = 4
	assert.NilError(t, r.Apply([]eventlog.Entry{e}))
	r.View(func(s *State) {
		assert.Equal(t, s.Plans["1"].Status, intent.Confirmed)
		assert.Equal(t, s.Desired("b1")[0].ID, "1")
		assert.Equal(t, s.Plans["1"].Fence, int64(4), "a fence never falls, also when an older version comes back")
	})
}

func TestOffsetsNeverFallAndGapsAreNotSkipped(t *testing.T) {
	r := NewReplica()
	entries := number([]eventlog.Entry{
		rec(t, KindWorkspaceSet, "1", epoch, set("a")),
		rec(t, KindWorkspaceRemove, "2", epoch, Name{Name: "a"}),
		rec(t, KindWorkspaceSet, "3", epoch, set("b")),
	})
	assert.NilError(t, r.Apply(entries[:2]))
	assert.NilError(t, r.Apply(entries[:1]), "an older answer is passed over")
	r.View(func(s *State) { assert.Equal(t, len(s.Workspaces), 0, "a removed workspace came back") })
	assert.Equal(t, r.Offset(), int64(2))
	gap := entries[2]
	gap.Offset = 5
	assert.Assert(t, errors.Is(r.Apply([]eventlog.Entry{gap}), ErrOffset))
	assert.Equal(t, r.Offset(), int64(2))
}

func TestCheckpoint(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(number([]eventlog.Entry{rec(t, KindWorkspaceSet, "1", epoch, set("a")), rec(t, KindWorkspaceSet, "2", epoch, set("b"))})))
	c := r.Checkpoint()
	fresh := NewReplica()
	torn := c
	torn.State = c.State[:len(c.State)-3]
	assert.Assert(t, errors.Is(fresh.Restore(torn), ErrBadCheckpoint))
	altered := c
	altered.State = bytes.Replace(c.State, []byte(`"priority":10`), []byte(`"priority":99`), 1)
	assert.Assert(t, errors.Is(fresh.Restore(altered), ErrBadCheckpoint), "a checkpoint that was altered is taken")
	assert.Equal(t, fresh.Offset(), int64(0))
	assert.NilError(t, fresh.Restore(c))
	assert.Equal(t, fresh.Offset(), int64(2))
	assert.Assert(t, fresh.Applied("2"))
	assert.Equal(t, fresh.Checkpoint().Digest, c.Digest)
	older := NewReplica()
	assert.NilError(t, older.Apply(number([]eventlog.Entry{rec(t, KindWorkspaceSet, "1", epoch, set("a"))})))
	assert.NilError(t, fresh.Restore(older.Checkpoint()), "an older checkpoint is no error")
	assert.Equal(t, fresh.Offset(), int64(2), "an older checkpoint took the state back")
}

// draw makes a random record out of a small world, so that records collide.
func draw(t *rapid.T, i int) eventlog.Entry {
	id := fmt.Sprintf("id-%d", rapid.IntRange(0, i).Draw(t, "id"))
	pick := func(what string, n int) string { return fmt.Sprintf("%s%d", what, rapid.IntRange(0, n).Draw(t, what)) }
	at := epoch.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "at")) * time.Second)
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return rec(t, KindWorkspaceSet, id, at, set(pick("w", 2)))
	case 1:
		return rec(t, KindWorkspaceRemove, id, at, Name{Name: pick("w", 2)})
	case 2, 3:
		p := plan(pick("p", 4), int64(rapid.IntRange(0, i).Draw(t, "base")), []string{pick("b", 3), pick("b", 3)}, pick("w", 2))
		return rec(t, KindPlanProposed, id, at, PlanProposed{Plan: p})
	case 4, 5:
		return rec(t, KindPlanConfirmed, id, at, PlanRef{Plan: pick("p", 4)})
	case 6:
		return rec(t, KindPlanCancelled, id, at, PlanRef{Plan: pick("p", 4)})
	case 7:
		return rec(t, KindHomesChanged, id, at, HomesChanged{Add: []Home{{Box: pick("b", 3), Incarnation: pick("n", 3)}}, Remove: []string{pick("b", 3)}})
	default:
		return eventlog.Entry{Data: json.RawMessage(`"not a record"`)}
	}
}

// TestFoldIsPure folds drawn records in one go, in pieces with repeated
// reads, and through a checkpoint: the digests must agree, and confirmed
// plans must never overlap a conflict.
func TestFoldIsPure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "records")
		var entries []eventlog.Entry
		for i := range n {
			entries = append(entries, draw(t, i))
		}
		number(entries)
		whole := NewReplica()
		if err := whole.Apply(entries); err != nil {
			t.Fatal(err)
		}
		pieces := NewReplica()
		for pieces.Offset() < int64(n) {
			at := int(pieces.Offset())
			from := rapid.IntRange(0, at).Draw(t, "from")
			to := rapid.IntRange(at, n).Draw(t, "to")
			if err := pieces.Apply(entries[from:to]); err != nil {
				t.Fatal(err)
			}
		}
		cut := rapid.IntRange(0, n).Draw(t, "cut")
		first := NewReplica()
		_ = first.Apply(entries[:cut])
		second := NewReplica()
		if err := second.Restore(first.Checkpoint()); err != nil {
			t.Fatal(err)
		}
		if err := second.Apply(entries); err != nil {
			t.Fatal(err)
		}
		want := whole.Checkpoint().Digest
		if got := pieces.Checkpoint().Digest; got != want {
			t.Fatalf("in pieces %s, in one go %s", got, want)
		}
		if got := second.Checkpoint().Digest; got != want {
			t.Fatalf("through a checkpoint %s, in one go %s", got, want)
		}
	})
}

// TestNothingReverts checks that what a box is told to serve goes back to
// an earlier plan only at a record that cancels the later one.
func TestNothingReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		last := map[string]int64{"b0": -1, "b1": -1, "b2": -1, "b3": -1}
		n := rapid.IntRange(1, 60).Draw(t, "records")
		for i := range n {
			e := draw(t, i)
			e.Offset = int64(i)
			if err := r.Apply([]eventlog.Entry{e}); err != nil {
				t.Fatal(err)
			}
			kind := record(e).Kind
			r.View(func(s *State) {
				for _, box := range []string{"b0", "b1", "b2", "b3"} {
					fence := int64(-1)
					if d := s.Desired(box); len(d) > 0 {
						fence = d[0].Fence
					}
					if fence < last[box] && kind != KindPlanCancelled {
						t.Fatalf("box %s: fence %d after %d at a %s record", box, fence, last[box], kind)
					}
					last[box] = fence
				}
			})
		}
	})
}
