// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/weights"
)

// v2 is the version that replaces v1 in the tests of a version change.
var v2 = weights.Ref{Model: v1.Model, Version: "v2"}

// TestRolloverKeepsFloor checks a version change under traffic on engines whose
// memory holds one version: no request fails, and the number of serving boxes
// never falls below the floor. Cancelling the plan restores the former version.
func TestRolloverKeepsFloor(t *testing.T) {
	const size, floor = 1 << 20, 2
	l, ctx := startLab(t, Config{Gateways: 2, Engines: 4, EngineMemory: size * 3 / 2, TokenTime: 2 * time.Millisecond})
	for _, ref := range []weights.Ref{v1, v2} {
		l.Store.Publish(standin.NewManifest(ref, size, 64<<10))
	}
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, floor))
	p, err := l.Rollout(ctx, intent.Intent{Ref: v1, Workspaces: []string{"liceo"}})
	assert.NilError(t, err)
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	l.awaitServing(t)

	stop, stopTraffic := context.WithCancel(ctx)
	var callers sync.WaitGroup
	var mu sync.Mutex
	failed := []string{}
	responses := map[string]int{} // by version
	for g := range l.Gateways {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for stop.Err() == nil {
				resp, err := openChat(ctx, l, g, 20, nil)
				if err != nil {
					panic(err)
				}
				text, done, _ := readStream(resp.Body)
				_ = resp.Body.Close()
				mu.Lock()
				if resp.StatusCode != http.StatusOK || !done {
					failed = append(failed, resp.Status+" "+text)
				}
				responses[resp.Header.Get("Mintlift-Version")]++
				mu.Unlock()
			}
		}()
	}

	p, err = l.Admin(0).CreateIntent(ctx, intent.Intent{Ref: v2, Workspaces: []string{"liceo"}})
	assert.NilError(t, err)
	assert.Equal(t, p.Waves(), 2, "4 boxes, floor 2")
	assert.Equal(t, p.Capacities[0].Lowest, floor)
	_, err = l.Admin(0).Confirm(ctx, p.ID)
	assert.NilError(t, err)
	lowest := len(l.Boxes)
	for {
		boxes, err := l.Admin(0).Boxes(ctx)
		assert.NilError(t, err)
		serving := 0
		for _, b := range boxes {
			if len(b.Status.Serving()) > 0 {
				serving++
			}
		}
		lowest = min(lowest, serving)
		progress, err := l.Admin(0).Progress(ctx, p.ID)
		assert.NilError(t, err)
		if progress.Done() {
			break
		}
		assert.NilError(t, ctx.Err(), "wave %d of %d", progress.Plan.Wave, p.Waves())
	}
	stopTraffic()
	callers.Wait()
	assert.Equal(t, len(failed), 0, "%s", strings.Join(failed[:min(len(failed), 3)], "\n"))
	assert.Assert(t, lowest >= floor, "only %d boxes served", lowest)
	assert.Assert(t, responses[v1.String()] > 0 && responses[v2.String()] > 0, "%v", responses)
	t.Logf("at least %d boxes served, responses %v", lowest, responses)

	_, err = l.Admin(1).Cancel(ctx, p.ID)
	assert.NilError(t, err)
	for {
		resp, text := chat(t, l, 0, "liceo", v1.Model)
		if resp.StatusCode == http.StatusOK && resp.Header.Get("Mintlift-Version") == v1.String() {
			break
		}
		assert.NilError(t, ctx.Err(), text)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestFloorRefusesPlan checks that an intent is refused if fewer boxes than the
// workspace's floor would serve during its rollout.
func TestFloorRefusesPlan(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	l, ctx := startLab(t, Config{Gateways: 1, Engines: 2, EngineMemory: size * 3 / 2})
	for _, ref := range []weights.Ref{v1, v2} {
		l.Store.Publish(standin.NewManifest(ref, size, 64<<10))
	}
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 2))
	p, err := l.Rollout(ctx, intent.Intent{Ref: v1, Workspaces: []string{"liceo"}})
	assert.NilError(t, err)
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	_, err = l.Admin(0).CreateIntent(ctx, intent.Intent{Ref: v2, Workspaces: []string{"liceo"}})
	assert.Equal(t, errorCode(err), admin.CodeFloor, "%v", err)
}

// TestSupersededInFlight checks that a plan confirmed during the transfer of
// another version supersedes that transfer: the engines load only the newer
// version, and no box keeps a copy of the other.
func TestSupersededInFlight(t *testing.T) {
	const size = 4 << 20
	l, ctx := startLab(t, Config{Gateways: 1, Engines: 3})
	for _, ref := range []weights.Ref{v1, v2} {
		l.Store.Publish(standin.NewManifest(ref, size, 64<<10))
	}
	l.Store.Faults.Set(standin.FaultSettings{DelayMS: 100})
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	in := intent.Intent{Ref: v1, Workspaces: []string{"liceo"}}
	_, err := l.Rollout(ctx, in)
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	in.Ref = v2
	p, err := l.Rollout(ctx, in)
	assert.NilError(t, err)
	l.Store.Faults.Set(standin.FaultSettings{})
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	for _, b := range l.Boxes {
		assert.DeepEqual(t, b.Engine.Orders(), []string{"load " + v2.String()})
	}
	boxes, err := l.Admin(0).Boxes(ctx)
	assert.NilError(t, err)
	for _, b := range boxes {
		for _, c := range b.Status.Copies {
			assert.Equal(t, c.Ref, v2, "box %s still has %s", b.Box.ID, c.Ref)
		}
	}
}
