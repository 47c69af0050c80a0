// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net"
	"runtime/pprof"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/storetest"
)

// moduleGoroutines returns the stacks of the goroutines that run code of this module,
// except the goroutines of tests and test helpers.
func moduleGoroutines(t *testing.T) []string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, pprof.Lookup("goroutine").WriteTo(&text, 2))
	var out []string
	for _, stack := range strings.Split(text.String(), "\n\n") {
		own := strings.Contains(stack, "github.com/mintlift/mintlift/")
		if own && !strings.Contains(stack, "main.moduleGoroutines(") && !strings.Contains(stack, "storetest") && !strings.Contains(stack, "_test.go") {
			out = append(out, stack)
		}
	}
	return out
}

// Checks that a closed daemon has no goroutines left, and that its addresses can be
// bound again. The test must not run in parallel with others, since it counts the
// goroutines of the whole process.
func TestClosedDaemonReleasesResources(t *testing.T) {
	before := len(moduleGoroutines(t))
	for range 2 {
		d := startWeightsOnLoopback(t, 1)
		d.boxes[0].engine.StageAndLoad(1)
		for began := time.Now(); d.request() != 1; time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Since(began) < 15*time.Second, "the gateway does not serve")
		}
		d.store.Change(func(f *storetest.Faults) { f.Unresponsive = map[string]bool{"": true} }) // so that a read is in progress
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		began := time.Now()
		for _, group := range d.daemons {
			group.closeAll(ctx)
		}
		cancel()
		assert.Assert(t, time.Since(began) < time.Second, "closed after %s", time.Since(began))
		var stacks []string
		for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
			if stacks = moduleGoroutines(t); len(stacks) <= before {
				break
			}
		}
		assert.Assert(t, len(stacks) <= before, "%d goroutines, %d before:\n%s", len(stacks), before, strings.Join(stacks, "\n\n"))
		for _, address := range []string{".1:8005", ".1:8002", ".1:7700", ".1:7703", ".100:7700", ".100:7703"} {
			listener, err := net.Listen("tcp4", d.network+address)
			assert.NilError(t, err)
			assert.NilError(t, listener.Close())
		}
		for _, address := range []string{".1:7702", ".100:7701"} {
			conn, err := net.ListenPacket("udp4", d.network+address)
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
		}
	}
}
