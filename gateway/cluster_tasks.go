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

// Timing of the cluster tasks, which every gateway runs for the whole cluster. The
// random interval makes it rare that two gateways write the same change. If they
// do, it does no harm, since a change applied twice has the same effect as once.
const (
	// taskInterval is the mean time between two runs of the tasks.
	taskInterval = time.Second
	// taskTimeout bounds each commit. The tasks do not run if the replica's last
	// contact with the log is longer ago than taskTimeout.
	taskTimeout = 20 * time.Second
	// initialHomesTimeout bounds the time after a gateway's start during which the
	// first homes of a service are not recorded until all of them are ready.
	initialHomesTimeout = 5 * time.Second
	// recordHomesInterval is the time between two comparisons of the recorded
	// homes with the sidecars.
	recordHomesInterval = 2 * time.Second
)

// runClusterTasks runs the cluster tasks until ctx ends: it advances rollouts and
// records the homes of idempotency keys. The home of a key is the sidecar process
// that stores what is known of the key; see package dedup.
func (d *Daemon) runClusterTasks(ctx context.Context) {
	var lastRecorded time.Time
	for ctx.Err() == nil {
		clock.Sleep(ctx, taskInterval/2+rand.N(taskInterval))
		if d.Requests.Draining() || time.Since(d.Replica.Contact()) > taskTimeout {
			continue
		}
		d.advanceWaves(ctx)
		if time.Since(lastRecorded) > recordHomesInterval {
			lastRecorded = time.Now()
			d.recordHomes(ctx)
		}
	}
}

// recordHomes compares the homes of idempotency keys in the log with the sidecars and
// writes the changes to the log. It adds new incarnations of sidecars that are ready, and
// removes the homes of boxes that are no longer in the box list. An unresponsive box that
// is still listed keeps its home, because there may only be a network partition.
func (d *Daemon) recordHomes(ctx context.Context) {
	listed, _ := d.endpoints()
	if len(listed) == 0 {
		return
	}
	recorded := make(map[string]state.Home)
	d.Replica.View(func(s *state.State) {
		for box, h := range s.Homes {
			recorded[box] = h
		}
	})
	change := d.homeChanges(ctx, listed, recorded)
	change.Add = d.delayInitialHomes(change.Add, listed, recorded)
	if len(change.Add)+len(change.Remove) == 0 {
		return
	}
	d.commit(ctx, state.KindHomesChanged, change)
}

// delayInitialHomes delays the first homes of a service, by removing them from
// add, until all listed boxes of the service are ready or initialHomesTimeout has
// passed. If they were added one after the other, each addition would give keys a
// new home, and requests with these keys would be refused for a while.
func (d *Daemon) delayInitialHomes(add []state.Home, listed []membership.Box, recorded map[string]state.Home) []state.Home {
	missing := make(map[string]int) // number of listed boxes that are not ready, by service
	for _, b := range listed {
		missing[b.Service]++
	}
	for _, h := range add {
		missing[h.Service]--
	}
	for _, h := range recorded {
		missing[h.Service] = 0 // the service already has homes
	}
	timedOut := time.Since(d.startedAt) > initialHomesTimeout
	return slices.DeleteFunc(add, func(h state.Home) bool { return missing[h.Service] > 0 && !timedOut })
}

// homeChanges compares the recorded homes of idempotency keys, by box, with the statuses
// of the listed boxes, and returns the homes to add and to remove. It fetches the status
// of boxes for which there is neither a status nor a recorded home.
func (d *Daemon) homeChanges(ctx context.Context, listed []membership.Box, recorded map[string]state.Home) state.HomesChanged {
	var change state.HomesChanged
	present := make(map[string]bool, len(listed))
	var unprobed []membership.Box
	d.view.mu.Lock()
	for _, b := range listed {
		present[b.ID] = true
		status, reported := d.view.statuses[b.ID]
		switch {
		case !reported && recorded[b.ID].Incarnation == "":
			unprobed = append(unprobed, b)
		case reported && status.Incarnation != recorded[b.ID].Incarnation && status.Ready && !status.Draining:
			change.Add = append(change.Add, state.Home{Box: b.ID, Incarnation: status.Incarnation, Service: b.Service})
		}
	}
	d.view.mu.Unlock()
	for _, b := range unprobed {
		if status, err := d.fetchStatus(ctx, b); err == nil && status.Ready && !status.Draining {
			change.Add = append(change.Add, state.Home{Box: b.ID, Incarnation: status.Incarnation, Service: b.Service})
		}
	}
	for box := range recorded {
		if !present[box] {
			change.Remove = append(change.Remove, box)
		}
	}
	return change
}

// advanceWaves starts the next wave of each confirmed plan if two conditions hold:
// all listed boxes of the waves started so far serve the plan's version, and the
// workspaces keep their floors, the least numbers of boxes that must serve them.
func (d *Daemon) advanceWaves(ctx context.Context) {
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
	boxes := d.ProbeEndpoints(ctx)
	for _, p := range rolling {
		if d.wavesDone(p, boxes) && d.keepsFloors(p, boxes) {
			d.commit(ctx, state.KindPlanAdvanced, state.PlanAdvanced{Plan: p.ID, Wave: p.Wave + 1})
		}
	}
}

// wavesDone reports whether every listed box of the waves started so far serves
// the plan's version. An unresponsive box counts as not serving it, since its capacity
// is missing.
func (d *Daemon) wavesDone(p *intent.Plan, boxes []admin.BoxStatus) bool {
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

// keepsFloors reports whether every workspace keeps its floor during the plan's
// next wave.
func (d *Daemon) keepsFloors(p *intent.Plan, boxes []admin.BoxStatus) bool {
	ok := false
	d.Replica.View(func(s *state.State) {
		ok = intent.NextWaveKeepsFloor(p, admin.Candidates(s, boxes), s.Workspaces)
	})
	return ok
}

// serves reports whether the box serves the version ref.
func serves(b admin.BoxStatus, ref weights.Ref) bool {
	for _, r := range b.Status.Serving() {
		if r == ref {
			return true
		}
	}
	return false
}

// commit appends a record to the log and waits until the replica has applied it.
// Errors are logged only: the next run of the tasks retries.
func (d *Daemon) commit(ctx context.Context, kind eventlog.Kind, body any) {
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	record, err := eventlog.NewRecord(kind, d.settings.Node.Box, time.Now(), body)
	if err != nil {
		panic("gateway: cannot marshal record: " + err.Error()) // plain fields always marshal
	}
	if err := eventlog.Commit(ctx, d.EventLog, d.Replica, record); err != nil {
		d.Log.Info("duties: record not committed", "kind", string(kind), "error", err.Error())
		return
	}
	d.Log.Info("duties: record committed", "kind", string(kind))
}
