// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/telemetry"
)

const testDeadline = 8 * time.Second

// decided is an installer that holds version 1 of the engine and copies of
// the versions given.
func decided(targets []target, whole ...int) *Installer {
	i := New(Settings{Box: "box0"}, nil, nil, nil, logr.Discard(), telemetry.NewMetrics())
	i.params = Params{Model: testModel, Chunks: testChunks, Deadline: testDeadline}
	i.state = EngineState{Model: testModel, Version: 1}
	i.heard = time.Now()
	i.targets = targets
	for _, version := range whole {
		r := newReplica(manifestOf(version), "box0")
		for n := range testChunks {
			r.held.Set(uint(n))
		}
		i.copies = append(i.copies, r)
	}
	return i
}

func next(i *Installer, now time.Time) int {
	s, _ := i.nextStart(now)
	if s == nil {
		return 0
	}
	return s.copy.manifest.Version
}

func TestOlderVersionFirstWhenItsDeadlineComesFirst(t *testing.T) {
	now := time.Now()
	far := []target{{2, now}, {3, now.Add(4 * time.Second)}}
	assert.Equal(t, next(decided(far, 2), now), 2, "version 3 comes too late for 2's deadline")
	assert.Equal(t, next(decided(far, 2, 3), now), 3, "both are here")
	near := []target{{2, now}, {3, now.Add(time.Second)}}
	assert.Equal(t, next(decided(near, 2), now), 0, "version 3 will be here in time")
	assert.Equal(t, next(decided(far), now), 0, "nothing is here")
	busy := decided(far, 2)
	busy.state.Busy = true
	assert.Equal(t, next(busy, now), 0, "an order is under way")
}

// Turns are spread, and all end before the deadline.
func TestTurnsAreSpread(t *testing.T) {
	now := time.Now()
	var first, latest time.Time
	for k := range 20 {
		i := decided([]target{{2, now}}, 2)
		i.settings.Box = fmt.Sprint("box", k)
		for n := range 20 {
			i.known = append(i.known, Peer{Box: fmt.Sprint("box", n)})
		}
		s, _ := i.nextStart(now)
		if first.IsZero() || s.at.Before(first) {
			first = s.at
		}
		if s.at.After(latest) {
			latest = s.at
		}
	}
	assert.Assert(t, latest.Sub(first) > 2*time.Second, "spread over %s", latest.Sub(first))
	assert.Assert(t, latest.Add(changeTime).Before(now.Add(testDeadline-dueMargin)))
}

func TestEmptyEngineStartsAtOnce(t *testing.T) {
	now := time.Now()
	i := decided([]target{{2, now}}, 2)
	i.state = EngineState{}
	s, _ := i.nextStart(now)
	assert.Assert(t, s.empty)
	assert.Assert(t, !s.at.After(now))
}

func TestNearlyWholeCopyIsFinishedFirst(t *testing.T) {
	now := time.Now()
	i := decided([]target{{2, now}, {3, now}}, 2)
	part := i.copies[0]
	part.held.ClearAll()
	for n := range testChunks * 3 / 4 {
		part.held.Set(uint(n))
	}
	w, _ := i.wanted()
	assert.Equal(t, w.version, 2)
	for n := range testChunks / 2 {
		part.held.Clear(uint(n))
	}
	w, _ = i.wanted()
	assert.Equal(t, w.version, 3)
}
