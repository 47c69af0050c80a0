// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/telemetry"
)

// drainCase is an update of an engine with version 1 to version 2, which starts when a
// number of requests run and are queued there.
type drainCase struct {
	running, queued int
	// endsAfter is when the last request ends, from the start of the update; 0 for never.
	endsAfter time.Duration
	// deadlineIn is the time from the start of the update to the version's deadline.
	deadlineIn time.Duration
	// completed is how long before the start of the update the replica was completed.
	completed time.Duration
	// requestTimeout is Params.RequestTimeout.
	requestTimeout time.Duration
	ageUnknown     bool
	// queueEndsAfter is when the queue is empty, if before endsAfter; 0 for no such time.
	queueEndsAfter time.Duration
	// newerAfter is when version 3 is complete, too; 0 for never.
	newerAfter time.Duration
	// reportsEndAfter is when the reports of the engine's state end; 0 for never.
	reportsEndAfter time.Duration
}

// run carries out the update. It returns the time until the engine had version 2 loaded
// (3 if that was complete by then) and the number of requests that this aborted.
func (c drainCase) run(t *testing.T) (took time.Duration, aborted int) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		e.load(1)
		e.running, e.state.Queued = c.running, c.queued
		i := New(Settings{Box: "box0"}, e, &fakeOrigin{}, nil, logr.Discard(), telemetry.NewMetrics())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		i.params = Params{Model: testModel, Chunks: testChunks, Deadline: testDeadline, RequestTimeout: c.requestTimeout}
		i.targets = []target{{version: 2, setAt: began.Add(c.deadlineIn - testDeadline), ageUnknown: c.ageUnknown}}
		i.replicas = []*replica{completeReplica(2, began.Add(-c.completed))}
		reports := make(chan struct{})
		reporting, stopReports := context.WithCancel(ctx)
		defer stopReports()
		if c.reportsEndAfter > 0 {
			time.AfterFunc(c.reportsEndAfter, stopReports)
		}
		go func() {
			defer close(reports)
			reportState(reporting, i, e)
		}()
		at := func(after time.Duration, do func()) {
			if after > 0 {
				time.AfterFunc(after, func() {
					e.mu.Lock()
					defer e.mu.Unlock()
					do()
				})
			}
		}
		at(c.endsAfter, func() { e.running, e.state.Queued = 0, 0 })
		at(c.newerAfter, func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.targets = append(i.targets, target{version: 3, setAt: time.Now()})
			i.replicas = append(i.replicas, completeReplica(3, time.Now()))
		})
		at(c.queueEndsAfter, func() { e.state.Queued = 0 })
		synctest.Wait()
		s, _ := i.nextUpdate(began)
		assert.Assert(t, s != nil && !s.startAt.After(began), "no update is due")
		i.execute(ctx, s)
		want := 2
		if c.newerAfter > 0 {
			want = 3
		}
		assert.DeepEqual(t, e.started, []int{want})
		assert.Assert(t, !i.Draining())
		took, aborted = time.Since(began), e.cut
		cancel()
		<-reports
	})
	return took, aborted
}

// completeReplica returns a replica of a version with all its chunks.
func completeReplica(version int, completedAt time.Time) *replica {
	r := newReplica(manifestOf(version), "box0")
	for n := range testChunks {
		r.chunks[n] = chunkOf(version, n)
		r.held.Set(uint(n))
	}
	r.completedAt = completedAt
	return r
}

// reportState reports the engine's state to i, as a sidecar does, until ctx ends.
func reportState(ctx context.Context, i *Installer, e *fakeEngine) {
	for ctx.Err() == nil {
		s, _ := e.State(ctx)
		i.UpdateEngineState(s)
		time.Sleep(40 * time.Millisecond)
	}
}

// testSlack is the time from the end of a drain until the engine has loaded the version,
// with the reports and polls in between.
const testSlack = 300 * time.Millisecond

// Guards against streams that are cut by the update of their engine although they would
// end in time: they began before the version's deadline and may go on after it.
func TestUpdateWaitsForRunningRequests(t *testing.T) {
	for name, c := range map[string]drainCase{
		"long before the deadline":       {running: 12, endsAfter: 2500 * time.Millisecond, deadlineIn: 5 * time.Second},
		"with a queue, before it":        {running: 12, queued: 2, endsAfter: 2500 * time.Millisecond, deadlineIn: 5 * time.Second},
		"beyond the deadline":            {running: 3, endsAfter: 4 * time.Second, deadlineIn: 2 * time.Second, requestTimeout: 6 * time.Second, completed: time.Second},
		"complete after the cutoff":      {running: 3, endsAfter: 2 * time.Second, deadlineIn: time.Second, requestTimeout: 6 * time.Second},
		"complete after the deadline":    {running: 3, endsAfter: 2 * time.Second, deadlineIn: -time.Second, requestTimeout: 6 * time.Second},
		"no route's timeout is known":    {running: 3, endsAfter: 4 * time.Second, deadlineIn: 5 * time.Second},
		"the version's age is not known": {running: 3, endsAfter: 4 * time.Second, deadlineIn: 5 * time.Second, requestTimeout: 6 * time.Second, ageUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			took, aborted := c.run(t)
			assert.Equal(t, aborted, 0)
			assert.Assert(t, took >= c.endsAfter && took < c.endsAfter+testSlack, "%s", took)
		})
	}
}

// Guards against an engine that loads a version that a newer one has replaced while its
// requests ended, and is out of service twice.
func TestUpdateTakesNewestVersionAfterWait(t *testing.T) {
	c := drainCase{running: 3, endsAfter: 2 * time.Second, deadlineIn: 3 * time.Second, requestTimeout: 6 * time.Second, newerAfter: time.Second}
	_, aborted := c.run(t)
	assert.Equal(t, aborted, 0)
}

// Guards against a load that aborts requests by a report of a queue that is empty by now:
// the sidecar was suspended, or its reads of the engine's state failed for a while.
func TestUpdateDoesNotTrustOldReport(t *testing.T) {
	c := drainCase{
		running: 12, queued: 1, queueEndsAfter: time.Second, endsAfter: 4 * time.Second, reportsEndAfter: 500 * time.Millisecond,
		deadlineIn: 3 * time.Second, requestTimeout: 6 * time.Second, completed: 2 * time.Second,
	}
	took, aborted := c.run(t)
	assert.Equal(t, aborted, 0)
	// After the load, reportTimeout passes without a report.
	assert.Assert(t, took >= c.endsAfter && took < c.endsAfter+reportTimeout+testSlack, "%s", took)
}

// Guards against a request that never ends and keeps its engine from the new version.
func TestUpdateWaitIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		drainCase
		want time.Duration
	}{
		"the longest timeout of a route":                                   {drainCase{running: 3, deadlineIn: 5 * time.Second, requestTimeout: 10 * time.Second}, 10 * time.Second},
		"a shorter timeout, which requests that run already need not have": {drainCase{running: 3, deadlineIn: 5 * time.Second, requestTimeout: 3 * time.Second}, testDeadline},
		"the timeouts are not known":                                       {drainCase{running: 3, deadlineIn: 5 * time.Second}, testDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			took, aborted := c.run(t)
			assert.Equal(t, aborted, 3)
			assert.Assert(t, took >= c.want && took < c.want+testSlack, "%s", took)
		})
	}
}

// Guards against a queued request that begins on the old version after the deadline of the
// new one.
func TestUpdateDropsQueueBeforeDeadline(t *testing.T) {
	for name, c := range map[string]drainCase{
		"deadline known":     {running: 12, queued: 1, deadlineIn: 3 * time.Second, requestTimeout: 6 * time.Second, completed: 2 * time.Second},
		"deadline not known": {running: 12, queued: 1, deadlineIn: 3 * time.Second, requestTimeout: 6 * time.Second, completed: 2 * time.Second, ageUnknown: true},
	} {
		t.Run(name, func(t *testing.T) {
			took, aborted := c.run(t)
			assert.Equal(t, aborted, 12)
			assert.Assert(t, took < c.deadlineIn, "%s", took)
			if c.ageUnknown {
				assert.Assert(t, took < drainTimeout+testSlack, "%s", took)
			}
		})
	}
}

// lateRequestEngine is a fakeEngine that a request reaches right before each Start.
type lateRequestEngine struct{ *fakeEngine }

// Start implements Engine.
func (e lateRequestEngine) Start(ctx context.Context, s Start) (Outcome, error) {
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	return e.fakeEngine.Start(ctx, s)
}

// Guards against a request that is cut because it reaches its engine after the last look at
// the engine's state: a gateway sent it before it received the report of the drain.
func TestLoadAfterDrainAbortsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		state EngineState
		s     updateStep
		want  int
	}{
		"the engine was drained":               {state: EngineState{Version: 1}, want: 0},
		"the drain ended by its limit":         {state: EngineState{Version: 1}, s: updateStep{abortRunning: true}, want: 1},
		"the engine has an unverified version": {state: EngineState{Version: 1}, s: updateStep{engineEmpty: true}, want: 1},
		"the engine has no version":            {s: updateStep{engineEmpty: true}, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := &fakeEngine{state: c.state}
			i := New(Settings{Box: "box0"}, lateRequestEngine{e}, &fakeOrigin{}, nil, logr.Discard(), telemetry.NewMetrics())
			c.s.replica = newReplica(manifestOf(2), "box0")
			i.sendStart(t.Context(), &c.s, c.state, time.Now())
			assert.DeepEqual(t, e.started, []int{2})
			assert.Equal(t, e.cut, c.want)
		})
	}
}
