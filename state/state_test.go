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

// startTime is the time of the first record in tests.
var startTime = time.UnixMilli(1_000_000)

// newEntry returns an entry at offset 0 with a record of the given id and body.
func newEntry(t interface{ Fatalf(string, ...any) }, kind eventlog.Kind, id string, at time.Time, body any) eventlog.Entry {
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

// setOffsets numbers the entries from offset 0 in place and returns them.
func setOffsets(entries []eventlog.Entry) []eventlog.Entry {
	for i := range entries {
		entries[i].Offset = int64(i)
	}
	return entries
}

// newPlan returns a plan for version "v"+id of model "m" that expires an hour after
// startTime.
func newPlan(id string, base int64, boxes []string, workspaces ...string) intent.Plan {
	p := intent.Plan{ID: id, Base: base, Intent: intent.Intent{ID: "i" + id, Ref: weights.Ref{Model: "m", Version: "v" + id}, Workspaces: workspaces}, ExpiresAt: startTime.Add(time.Hour).UnixMilli()}
	for _, b := range boxes {
		p.Steps = append(p.Steps, intent.Step{Box: b})
	}
	return p
}

// workspaceSet returns the body of a record that adds a workspace.
func workspaceSet(name string) WorkspaceSet {
	return WorkspaceSet{Workspace: workspace.Workspace{Name: name, KeyHash: workspace.HashKey(name), Priority: 10}}
}

// TestSecondConfirmationForBoxConflicts guards against two plans for the same box taking
// effect: only the one that is confirmed first in the log does.
func TestSecondConfirmationForBoxConflicts(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(setOffsets([]eventlog.Entry{
		newEntry(t, KindWorkspaceSet, "w", startTime, workspaceSet("a")),
		newEntry(t, KindPlanProposed, "p1", startTime, PlanProposed{Plan: newPlan("1", 1, []string{"b1", "b2"}, "a")}),
		newEntry(t, KindPlanProposed, "p2", startTime, PlanProposed{Plan: newPlan("2", 1, []string{"b2", "b3"}, "a")}),
		newEntry(t, KindPlanConfirmed, "c2", startTime, PlanRef{Plan: "2"}),
		newEntry(t, KindPlanConfirmed, "c1", startTime, PlanRef{Plan: "1"}),
	})))
	r.View(func(s *State) {
		assert.Equal(t, s.Plans["2"].Status, intent.Confirmed)
		assert.Equal(t, s.Plans["2"].ConfirmID, "c2")
		assert.Equal(t, s.Plans["1"].Status, intent.Conflicted)
		assert.Assert(t, s.Plans["1"].Reason != "")
		assert.Equal(t, s.Route("a", "m")[0].ID, "2")
	})
}

// TestPlanConflictsWithWorkspaceChange guards against confirming a plan that was computed
// before its workspace changed.
func TestPlanConflictsWithWorkspaceChange(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(setOffsets([]eventlog.Entry{
		newEntry(t, KindWorkspaceSet, "w", startTime, workspaceSet("a")),
		newEntry(t, KindPlanProposed, "p1", startTime, PlanProposed{Plan: newPlan("1", 1, []string{"b1"}, "a")}),
		newEntry(t, KindWorkspaceSet, "w2", startTime, workspaceSet("a")),
		newEntry(t, KindPlanConfirmed, "c1", startTime, PlanRef{Plan: "1"}),
	})))
	r.View(func(s *State) { assert.Equal(t, s.Plans["1"].Status, intent.Conflicted) })
}

// TestExpiredPlanIsNotConfirmed guards against confirming a plan after its ExpiresAt.
func TestExpiredPlanIsNotConfirmed(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(setOffsets([]eventlog.Entry{
		newEntry(t, KindPlanProposed, "p1", startTime, PlanProposed{Plan: newPlan("1", 1, []string{"b1"}, "a")}),
		newEntry(t, KindPlanConfirmed, "c1", startTime.Add(2*time.Hour), PlanRef{Plan: "1"}),
	})))
	r.View(func(s *State) { assert.Equal(t, s.Plans["1"].Status, intent.Expired) })
}

// TestCancelRestoresSupersededPlan checks that after a plan is cancelled the plan that it
// superseded is confirmed again, with a higher fence.
func TestCancelRestoresSupersededPlan(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(setOffsets([]eventlog.Entry{
		newEntry(t, KindPlanProposed, "p1", startTime, PlanProposed{Plan: newPlan("1", 0, []string{"b1"}, "a")}),
		newEntry(t, KindPlanConfirmed, "c1", startTime, PlanRef{Plan: "1"}),
		newEntry(t, KindPlanProposed, "p2", startTime, PlanProposed{Plan: newPlan("2", 2, []string{"b1"}, "a")}),
		newEntry(t, KindPlanConfirmed, "c2", startTime, PlanRef{Plan: "2"}),
	})))
	r.View(func(s *State) {
		assert.Equal(t, s.Plans["1"].Status, intent.Superseded)
		assert.Equal(t, s.Desired("b1")[0].ID, "2")
	})
	e := newEntry(t, KindPlanCancelled, "x", startTime, PlanRef{Plan: "2"})
	e.Offset = 4
	assert.NilError(t, r.Apply([]eventlog.Entry{e}))
	r.View(func(s *State) {
		assert.Equal(t, s.Plans["1"].Status, intent.Confirmed)
		assert.Equal(t, s.Desired("b1")[0].ID, "1")
		assert.Equal(t, s.Plans["1"].Fence, int64(4), "the fence of a restored plan must increase")
	})
}

// TestOldEntriesAndGaps guards against applying an entry twice and against skipping a
// missing entry.
func TestOldEntriesAndGaps(t *testing.T) {
	r := NewReplica()
	entries := setOffsets([]eventlog.Entry{
		newEntry(t, KindWorkspaceSet, "1", startTime, workspaceSet("a")),
		newEntry(t, KindWorkspaceRemove, "2", startTime, Name{Name: "a"}),
		newEntry(t, KindWorkspaceSet, "3", startTime, workspaceSet("b")),
	})
	assert.NilError(t, r.Apply(entries[:2]))
	assert.NilError(t, r.Apply(entries[:1]), "entries that were applied before must be skipped")
	r.View(func(s *State) { assert.Equal(t, len(s.Workspaces), 0, "a removed workspace was restored") })
	assert.Equal(t, r.Offset(), int64(2))
	gap := entries[2]
	gap.Offset = 5
	assert.Assert(t, errors.Is(r.Apply([]eventlog.Entry{gap}), ErrOutOfOrder))
	assert.Equal(t, r.Offset(), int64(2))
}

// TestCheckpoint checks that a valid checkpoint restores the state, and guards against
// restoring a damaged or an older one.
func TestCheckpoint(t *testing.T) {
	r := NewReplica()
	assert.NilError(t, r.Apply(setOffsets([]eventlog.Entry{newEntry(t, KindWorkspaceSet, "1", startTime, workspaceSet("a")), newEntry(t, KindWorkspaceSet, "2", startTime, workspaceSet("b"))})))
	c := r.Checkpoint()
	fresh := NewReplica()
	truncated := c
	truncated.State = c.State[:len(c.State)-3]
	assert.Assert(t, errors.Is(fresh.Restore(truncated), ErrBadCheckpoint))
	altered := c
	altered.State = bytes.Replace(c.State, []byte(`"priority":10`), []byte(`"priority":99`), 1)
	assert.Assert(t, errors.Is(fresh.Restore(altered), ErrBadCheckpoint), "an altered checkpoint was accepted")
	assert.Equal(t, fresh.Offset(), int64(0))
	assert.NilError(t, fresh.Restore(c))
	assert.Equal(t, fresh.Offset(), int64(2))
	assert.Assert(t, fresh.Applied("2"))
	assert.Equal(t, fresh.Checkpoint().Digest, c.Digest)
	older := NewReplica()
	assert.NilError(t, older.Apply(setOffsets([]eventlog.Entry{newEntry(t, KindWorkspaceSet, "1", startTime, workspaceSet("a"))})))
	assert.NilError(t, fresh.Restore(older.Checkpoint()), "an older checkpoint must be ignored without an error")
	assert.Equal(t, fresh.Offset(), int64(2), "an older checkpoint replaced a newer state")
}

// drawEntry returns a random entry. Names and ids come from small sets, so that some
// records conflict and some ids repeat.
func drawEntry(t *rapid.T, i int) eventlog.Entry {
	id := fmt.Sprintf("id-%d", rapid.IntRange(0, i).Draw(t, "id"))
	pick := func(what string, n int) string { return fmt.Sprintf("%s%d", what, rapid.IntRange(0, n).Draw(t, what)) }
	at := startTime.Add(time.Duration(rapid.IntRange(0, 7200).Draw(t, "at")) * time.Second)
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return newEntry(t, KindWorkspaceSet, id, at, workspaceSet(pick("w", 2)))
	case 1:
		return newEntry(t, KindWorkspaceRemove, id, at, Name{Name: pick("w", 2)})
	case 2, 3:
		p := newPlan(pick("p", 4), int64(rapid.IntRange(0, i).Draw(t, "base")), []string{pick("b", 3), pick("b", 3)}, pick("w", 2))
		return newEntry(t, KindPlanProposed, id, at, PlanProposed{Plan: p})
	case 4, 5:
		return newEntry(t, KindPlanConfirmed, id, at, PlanRef{Plan: pick("p", 4)})
	case 6:
		return newEntry(t, KindPlanCancelled, id, at, PlanRef{Plan: pick("p", 4)})
	case 7:
		return newEntry(t, KindHomesChanged, id, at, HomesChanged{Add: []Home{{Box: pick("b", 3), Incarnation: pick("n", 3)}}, Remove: []string{pick("b", 3)}})
	default:
		return eventlog.Entry{Data: json.RawMessage(`"not a record"`)}
	}
}

// TestApplyIsDeterministic checks that the state has the same digest whether random
// records are applied at once, in overlapping pieces, or after restoring a checkpoint.
func TestApplyIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "records")
		var entries []eventlog.Entry
		for i := range n {
			entries = append(entries, drawEntry(t, i))
		}
		setOffsets(entries)
		uninterrupted := NewReplica()
		if err := uninterrupted.Apply(entries); err != nil {
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
		writer := NewReplica()
		_ = writer.Apply(entries[:cut])
		restored := NewReplica()
		if err := restored.Restore(writer.Checkpoint()); err != nil {
			t.Fatal(err)
		}
		if err := restored.Apply(entries); err != nil {
			t.Fatal(err)
		}
		want := uninterrupted.Checkpoint().Digest
		if got := pieces.Checkpoint().Digest; got != want {
			t.Fatalf("digest of records applied in pieces is %s, at once %s", got, want)
		}
		if got := restored.Checkpoint().Digest; got != want {
			t.Fatalf("digest after restoring a checkpoint is %s, without %s", got, want)
		}
	})
}

// TestDesiredFenceDecreasesOnlyOnCancel guards against a box that returns to an older
// plan, one with a lower fence, for any other reason than a cancelled plan.
func TestDesiredFenceDecreasesOnlyOnCancel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		last := map[string]int64{"b0": -1, "b1": -1, "b2": -1, "b3": -1}
		n := rapid.IntRange(1, 60).Draw(t, "records")
		for i := range n {
			e := drawEntry(t, i)
			e.Offset = int64(i)
			if err := r.Apply([]eventlog.Entry{e}); err != nil {
				t.Fatal(err)
			}
			kind := decodeRecord(e).Kind
			r.View(func(s *State) {
				for _, box := range []string{"b0", "b1", "b2", "b3"} {
					fence := int64(-1)
					if d := s.Desired(box); len(d) > 0 {
						fence = d[0].Fence
					}
					if fence < last[box] && kind != KindPlanCancelled {
						t.Fatalf("box %s: fence decreased to %d from %d at a record of kind %s", box, fence, last[box], kind)
					}
					last[box] = fence
				}
			})
		}
	})
}
