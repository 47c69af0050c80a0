// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"crypto/sha256"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/weights"
)

// measureCopyEnv is the environment variable that enables TestMeasureCopy. CI
// does not set it.
const measureCopyEnv = "MINTLIFT_MEASURE_COPY"

// cpuTime returns the process's CPU time so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for RUSAGE_SELF
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestMeasureCopy measures the CPU time per GB of a rollout to 48 sidecars over
// loopback. For comparison, it measures a TCP copy that only computes the same
// digest.
func TestMeasureCopy(t *testing.T) {
	if os.Getenv(measureCopyEnv) == "" {
		t.Skip("set " + measureCopyEnv + "=1 to measure")
	}
	const sidecars, size, chunk = 48, 256 << 20, 1 << 20
	l, ctx := startLab(t, Config{Gateways: 1, Engines: sidecars})
	for _, b := range l.Boxes {
		b.Engine.DiscardChunks = true
	}
	ref := weights.Ref{Model: "big", Version: "v1"}
	l.Store.Publish(standin.NewManifest(ref, size, chunk))
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	cpu, began := cpuTime(), time.Now()
	p, err := l.Rollout(ctx, intent.Intent{Ref: ref, Workspaces: []string{"liceo"}, Weighing: intent.OriginBytes})
	assert.NilError(t, err)
	done, err := l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	took, used := time.Since(began), cpuTime()-cpu
	moved := float64(done.OriginBytes+done.PeerBytes) / 1e9
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	t.Logf("%d sidecars, %.2f GB transferred in %.1f s: %.2f GB/s, %.2f s of CPU per GB (stand-ins included), %.0f MB of heap in use in total, %.3f origin copies", sidecars, moved, took.Seconds(), moved/took.Seconds(), used.Seconds()/moved, float64(mem.HeapInuse)/1e6, float64(l.Store.OriginBytes())/size)

	plainMoved, plainTook, plainUsed := plainCopy(t, int64(size)*4)
	t.Logf("plain copy over TCP with the same digest, one connection: %.2f GB/s, %.2f s of CPU per GB", plainMoved/plainTook.Seconds(), plainUsed.Seconds()/plainMoved)
}

// plainCopy sends n bytes over one TCP connection and computes their digest. It
// returns the GB sent, the elapsed time and the CPU time used.
func plainCopy(t *testing.T, n int64) (gb float64, took, used time.Duration) {
	ln, err := net.Listen("tcp", anyLoopbackPort)
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buf := make([]byte, 64<<10)
		for sent := int64(0); sent < n; sent += int64(len(buf)) {
			if _, err := conn.Write(buf); err != nil {
				return
			}
		}
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	cpu, began := cpuTime(), time.Now()
	hash := sha256.New()
	_, err = io.Copy(hash, conn)
	assert.NilError(t, err)
	return float64(n) / 1e9, time.Since(began), cpuTime() - cpu
}
