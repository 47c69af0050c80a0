// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/invariant"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/load"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/settings"
)

// failure is a failure that a test injects and then recovers from.
type failure struct {
	name    string
	inject  func(l *Lab)
	recover func(l *Lab) error
}

// noRecovery is the recover function of failures that need no recovery.
func noRecovery(*Lab) error { return nil }

// failures returns the failures that can be injected in one process.
func failures() []failure {
	logFault := func(f standin.FaultSettings) (func(*Lab), func(*Lab) error) {
		return func(l *Lab) { l.Log.Faults.Set(f) }, func(l *Lab) error { l.Log.Faults.Set(standin.FaultSettings{}); return nil }
	}
	storeFault := func(f standin.FaultSettings) (func(*Lab), func(*Lab) error) {
		return func(l *Lab) { l.Store.Faults.Set(f) }, func(l *Lab) error { l.Store.Faults.Set(standin.FaultSettings{}); return nil }
	}
	newFailure := func(name string, inject func(*Lab), restore func(*Lab) error) failure {
		return failure{name, inject, restore}
	}
	logDown, logUp := logFault(standin.FaultSettings{Down: true})
	logStale, logCurrent := logFault(standin.FaultSettings{EndOffset: 2})
	storeDown, storeUp := storeFault(standin.FaultSettings{Down: true})
	storeCorrupt, storeCorrect := storeFault(standin.FaultSettings{CorruptEvery: 3})
	return []failure{
		newFailure("log down", logDown, logUp),
		newFailure("stale log reads", logStale, logCurrent),
		newFailure("origin down", storeDown, storeUp),
		newFailure("chunks corrupt", storeCorrupt, storeCorrect),
		newFailure("box list lags", func(l *Lab) { l.BoxList.Faults.Set(standin.FaultSettings{LagMS: 3000}) }, func(l *Lab) error { l.BoxList.Faults.Set(standin.FaultSettings{}); return nil }),
		newFailure("responses to orders lost", func(l *Lab) {
			for _, b := range l.Boxes[:3] {
				b.Engine.Faults.Set(standin.FaultSettings{DropResponses: 1})
			}
		}, noRecovery),
		newFailure("box crash", func(l *Lab) { l.KillBox(l.Boxes[3], true) }, noRecovery),
		newFailure("sidecar restart", func(l *Lab) { l.Boxes[0].Sidecar.Kill() }, func(l *Lab) error { return l.StartSidecar(l.Boxes[0]) }),
		newFailure("gateway crash", func(l *Lab) { l.Gateways[1].Kill() }, noRecovery),
	}
}

// TestPairsOfFailures checks the invariants after each pair of failures that
// overlap during a version change under traffic.
func TestPairsOfFailures(t *testing.T) {
	t.Parallel()
	all := failures()
	for i, a := range all {
		for _, b := range all[i+1:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				t.Parallel()
				testFailurePair(t, a, b)
			})
		}
	}
}

// testFailurePair injects two failures during a version change under traffic,
// recovers from them and checks the invariants.
func testFailurePair(t *testing.T, a, b failure) {
	const size = 1 << 20
	l, ctx := startLab(t, Config{Gateways: 2, Engines: 4, Services: 2, ChecksFences: true, TokenTime: time.Millisecond, Links: settings.Links{Origin: 2 * size, Box: size}})
	l.Store.Publish(standin.NewManifest(v1, size, 32<<10))
	l.Store.Publish(standin.NewManifest(v2, size, 32<<10))
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	in := intent.Intent{Ref: v1, Workspaces: []string{"liceo"}}
	p, err := l.Rollout(ctx, in)
	assert.NilError(t, err)
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	l.awaitServing(t)

	report := make(chan load.Report, 1)
	mix := load.Mix{Name: "pair", Rate: 40, Seconds: 6, Seed: 5, Targets: []string{l.Gateways[0].CallerAddress(), l.Gateways[1].CallerAddress()}}
	mix.Classes = []load.Class{{Name: "model", Share: 1, Model: v1.Model, Tokens: 10}, {Name: "once", Share: 1, Service: ServiceName, NotRepeatable: 1}}
	for i := range mix.Classes {
		mix.Classes[i].SetKey(WorkspaceKey("liceo"))
	}
	go func() {
		r, _ := load.Run(ctx, mix)
		report <- r
	}()
	in.Ref = v2
	p, err = l.Rollout(ctx, in)
	assert.NilError(t, err)
	time.Sleep(200 * time.Millisecond)
	a.inject(l)
	b.inject(l)
	time.Sleep(3 * time.Second)
	assert.NilError(t, a.recover(l))
	assert.NilError(t, b.recover(l))
	assert.NilError(t, l.awaitRollout(ctx, p.ID))
	r := <-report
	assert.NilError(t, l.resend(ctx))

	runs := append(l.engineRuns(), l.serviceRuns()...)
	violations := invariant.CheckRuns(runs)
	violations = append(violations, invariant.CheckNotRun(r.NotRun, runs)...)
	for _, c := range r.Classes {
		if c.Broken > 0 && !cutsCallers(a) && !cutsCallers(b) {
			violations = append(violations, invariant.Violation{Name: invariant.CompleteAnswer, Detail: fmt.Sprintf("%s: %d broken responses", c.Name, c.Broken)})
		}
	}
	assert.Equal(t, len(violations), 0, "%v", violations)
	model := r.Classes[0]
	assert.Assert(t, model.Outcomes[outcome.Completed] > model.Sent/4, "too few requests completed: %v of %d", model.Outcomes, model.Sent)
	assert.Equal(t, len(invariant.CheckNonDecreasing(invariant.FenceOrder, l.fences())), 0)
}

// cutsCallers reports whether a failure closes connections to callers.
func cutsCallers(f failure) bool { return f.name == "gateway crash" }

// awaitRollout waits at most 40 s until a plan is done.
func (l *Lab) awaitRollout(ctx context.Context, plan string) error {
	ctx, cancel := context.WithTimeout(ctx, 40*time.Second)
	defer cancel()
	_, err := l.AwaitDone(ctx, plan)
	return err
}

// resend sends several concurrent requests with one key through the first
// gateway. It returns an error if more than one of them ran.
func (l *Lab) resend(ctx context.Context) error {
	key := newKey()
	mix := load.Mix{Name: "resend", Rate: 1, Seconds: 1, Targets: []string{l.Gateways[0].CallerAddress()}, Classes: []load.Class{{Name: "once", Share: 1, Service: ServiceName}}}
	mix.Classes[0].SetKey(WorkspaceKey("liceo"))
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			mix.Classes[0].SendKey(ctx, mix.Targets[0], key)
		}()
	}
	wg.Wait()
	if n := runsWithKey(l.serviceRuns(), key); n > 1 {
		return fmt.Errorf("key %s ran %d times", key, n)
	}
	return nil
}

// fences returns the fences of the orders that the first engine has accepted,
// in order.
func (l *Lab) fences() []int64 { return l.Boxes[0].Engine.Fences() }
