// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/clock"
)

// pauseInDrain drains an engine without requests while the process pauses early in the
// drain. read is called after the pause, and every 20 ms from then on, if it is not nil. It
// returns how long the drain lasted without the pause.
func pauseInDrain(t *testing.T, limit, pause time.Duration, read func(i *Installer)) time.Duration {
	var lasted time.Duration
	synctest.Test(t, func(t *testing.T) {
		i := newLoadedInstaller(nil)
		i.engineStateAt = clock.Now()
		time.AfterFunc(20*time.Millisecond, func() { clock.SuspendForTest(t, pause) })
		start, done := time.Now(), make(chan struct{})
		go func() {
			defer close(done)
			i.drain(t.Context(), limit)
			lasted = time.Since(start)
		}()
		time.Sleep(25 * time.Millisecond)
		for drained := false; !drained; {
			if read != nil {
				i.mu.Lock()
				i.engineStateAt = clock.Now()
				read(i)
				i.mu.Unlock()
			}
			select {
			case <-done:
				drained = true
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return lasted
}

// Guards against requests that are aborted because the sidecar paused at the beginning of a
// drain: the drain was over by the clock before a gateway had been told of it.
func TestPauseDoesNotShortenDrain(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		for _, limit := range []time.Duration{drainTimeout, earlyDrainTimeout} {
			lasted := pauseInDrain(t, limit, pause, func(*Installer) {})
			assert.Check(t, lasted >= drainPropagation && lasted < drainPropagation+200*time.Millisecond, "limit %s, pause %s: %s", limit, pause, lasted)
		}
	}
}

// Guards against a drain that ends early by a report of the engine that is older than the
// requests that gateways sent before they were told.
func TestDrainIgnoresOlderReports(t *testing.T) {
	lasted := pauseInDrain(t, drainTimeout, 0, nil)
	assert.Assert(t, lasted >= drainTimeout, "%s", lasted)
}

// Guards against a drain that is as long as its limit although the engine has ended its
// requests.
func TestDrainEndsWithRequests(t *testing.T) {
	start := time.Time{}
	lasted := pauseInDrain(t, drainTimeout, 0, func(i *Installer) {
		if start.IsZero() {
			start = clock.Now()
		}
		i.engineState.Running = 0
		if clock.Since(start) < 600*time.Millisecond {
			i.engineState.Running = 2
		}
	})
	assert.Assert(t, lasted > 600*time.Millisecond && lasted < 750*time.Millisecond, "%s", lasted)
}
