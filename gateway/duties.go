// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
)

// Timing of the duties. Any gateway may do them; the random wait makes it
// rare that two do the same, and the fold counts it once when they do.
const (
	dutyEvery  = time.Second
	dutyWithin = 20 * time.Second
	// firstHomesWait is how long after a gateway's start the first homes of a
	// service wait for each other.
	firstHomesWait = 5 * time.Second
	// homesEvery spaces the sweeps for new incarnations.
	homesEvery = 2 * time.Second
)

// duties does for all gateways what one of them has to do.
func (d *Daemon) duties(ctx context.Context) {
	var swept time.Time
	for ctx.Err() == nil {
		clock.Sleep(ctx, dutyEvery/2+rand.N(dutyEvery))
		if d.Requests.Draining() || time.Since(d.Replica.Contact()) > dutyWithin {
			continue
		}
		d.openWaves(ctx)
		if time.Since(swept) > homesEvery {
			swept = time.Now()
			d.recordHomes(ctx)
		}
	}
}

// recordHomes writes the difference between the homes in the log and the
// sidecars as they are: new incarnations that answer, and boxes that have
// left the box list. Silence alone removes no home: a region that is cut
// off is not gone.
func (d *Daemon) recordHomes(ctx context.Context) {
	listed, _ := d.endpoints()
	if len(listed) == 0 {
		return
	}
	known := make(map[string]state.Home)
	d.Replica.View(func(s *state.State) {
		for box, h := range s.Homes {
			known[box] = h
		}
	})
	change := d.homeChanges(ctx, listed, known)
	change.Add = d.holdFirst(change.Add, listed, known)
	if len(change.Add)+len(change.Remove) == 0 {
		return
	}
	d.commit(ctx, state.KindHomesChanged, change)
}

// holdFirst holds a service's very first homes back until all its listed
// boxes are ready, or firstHomesWait has passed: each later addition moves
// keys, and keys that have just moved cannot be run for a while.
func (d *Daemon) holdFirst(add []state.Home, listed []membership.Box, known map[string]state.Home) []state.Home {
	missing := make(map[string]int) // by service: listed boxes less those ready
	for _, b := range listed {
		missing[b.Service]++
	}
	for _, h := range add {
		missing[h.Service]--
	}
	for _, h := range known {
		missing[h.Service] = 0 // homes there are: nothing is first any more
	}
	late := time.Since(d.started) > firstHomesWait
	return slices.DeleteFunc(add, func(h state.Home) bool { return missing[h.Service] > 0 && !late })
}

func (d *Daemon) homeChanges(ctx context.Context, listed []membership.Box, known map[string]state.Home) state.HomesChanged {
	var change state.HomesChanged
	present := make(map[string]bool, len(listed))
	var unknown []membership.Box
	d.view.mu.Lock()
	for _, b := range listed {
		present[b.ID] = true
		s, heard := d.view.statuses[b.ID]
		switch {
		case !heard && known[b.ID].Incarnation == "":
			unknown = append(unknown, b)
		case heard && s.Incarnation != known[b.ID].Incarnation && s.Ready && !s.Draining:
			change.Add = append(change.Add, state.Home{Box: b.ID, Incarnation: s.Incarnation, Service: b.Service})
		}
	}
	d.view.mu.Unlock()
	for _, b := range unknown {
		if s, err := d.ask(ctx, b); err == nil && s.Ready && !s.Draining {
			change.Add = append(change.Add, state.Home{Box: b.ID, Incarnation: s.Incarnation, Service: b.Service})
		}
	}
	for box := range known {
		if !present[box] {
			change.Remove = append(change.Remove, box)
		}
	}
	return change
}

// openWaves opens the next wave of each plan whose boxes up to now all
// serve, or are gone, and whose workspaces keep their floors.
func (d *Daemon) openWaves(ctx context.Context) {
	var rolling []*intent.Plan
	d.Replica.View(func(s *state.State) {
		for _, p := range s.Plans {
			if p.Status == intent.Confirmed && p.Wave+1 < p.Waves() {
				rolling = append(rolling, p)
			}
		}
	})
	if len(rolling) == 0 {
		return
	}
	boxes := d.Sweep(ctx)
	for _, p := range rolling {
		if d.waveDone(p, boxes) && d.floorKept(p, boxes) {
			d.commit(ctx, state.KindPlanAdvanced, state.PlanAdvanced{Plan: p.ID, Wave: p.Wave + 1})
		}
	}
}

// waveDone reports whether every box of the open waves serves the plan's
// version. A box that does not answer is not done: its capacity is missing,
// so it counts against the floor, unless it has left the box list.
func (d *Daemon) waveDone(p *intent.Plan, boxes []admin.BoxStatus) bool {
	byID := make(map[string]admin.BoxStatus, len(boxes))
	for _, b := range boxes {
		byID[b.Box.ID] = b
	}
	for _, step := range p.Steps {
		b, listed := byID[step.Box]
		if step.Wave > p.Wave || !listed {
			continue
		}
		if !b.Reached || !serves(b, p.Intent.Ref) {
			return false
		}
	}
	return true
}

// floorKept reports whether the next wave leaves every workspace its floor.
func (d *Daemon) floorKept(p *intent.Plan, boxes []admin.BoxStatus) bool {
	kept := false
	d.Replica.View(func(s *state.State) {
		kept = intent.NextWaveKeepsFloor(p, admin.Candidates(s, boxes), s.Workspaces)
	})
	return kept
}

func serves(b admin.BoxStatus, ref weights.Ref) bool {
	for _, r := range b.Status.Serving() {
		if r == ref {
			return true
		}
	}
	return false
}

func (d *Daemon) commit(ctx context.Context, kind eventlog.Kind, body any) {
	ctx, cancel := context.WithTimeout(ctx, dutyWithin)
	defer cancel()
	r, err := eventlog.NewRecord(kind, d.settings.Node.Box, time.Now(), body)
	if err != nil {
		panic("gateway: record does not marshal: " + err.Error()) // plain fields always marshal
	}
	if err := eventlog.Commit(ctx, d.Journal, d.Replica, r); err != nil {
		d.Log.Info("duties: record not committed", "kind", string(kind), "error", err.Error())
		return
	}
	d.Log.Info("duties: record committed", "kind", string(kind))
}
