// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/weights"
)

// errorCode returns the code of an administration API error, or "".
func errorCode(err error) admin.Code {
	var e *admin.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// TestConcurrentConfirm checks that, of two plans for the same boxes confirmed
// concurrently through two gateways, only one is confirmed, and the other
// caller gets a conflict with a new proposed plan. Log responses are lost
// meanwhile.
func TestConcurrentConfirm(t *testing.T) {
	t.Parallel()
	l, ctx := startLab(t, Config{Gateways: 2, Engines: 2})
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	for round := range 5 {
		var plans []*intent.Plan
		for i := range 2 {
			ref := weights.Ref{Model: v1.Model, Version: fmt.Sprintf("r%d-%d", round, i)}
			l.Store.Publish(standin.NewManifest(ref, 256<<10, 64<<10))
			p, err := l.Admin(i).CreateIntent(ctx, intent.Intent{Ref: ref, Workspaces: []string{"liceo"}})
			assert.NilError(t, err)
			plans = append(plans, p)
		}
		l.Log.Faults.Set(standin.FaultSettings{DropResponses: 2})
		errs := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := l.Admin(i).Confirm(ctx, plans[i].ID)
				errs <- err
			}()
		}
		a, b := <-errs, <-errs
		if a != nil {
			a, b = b, a
		}
		assert.NilError(t, a, "neither plan was confirmed")
		assert.Equal(t, errorCode(b), admin.CodeConflict, "%v", b)
		var conflict *admin.Error
		assert.Assert(t, errors.As(b, &conflict))
		assert.Assert(t, conflict.Plan != nil && conflict.Plan.Status == intent.Proposed, "no new plan")
	}
	for i := range 2 {
		s, err := l.Admin(i).Plans(ctx)
		assert.NilError(t, err)
		confirmed := 0
		for _, p := range s {
			if p.Status == intent.Confirmed {
				confirmed++
			}
		}
		assert.Equal(t, confirmed, 1, "later plans must supersede earlier ones")
	}
}

// TestPlanErrors checks the error codes of invalid intents and confirmations,
// and that a refused intent creates no plan.
func TestPlanErrors(t *testing.T) {
	t.Parallel()
	l, ctx := startLab(t, Config{Gateways: 1, Engines: 2, EngineMemory: 1 << 20})
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	l.Store.Publish(standin.NewManifest(v1, 256<<10, 64<<10))
	broken := weights.Ref{Model: "m", Version: "broken"}
	l.Store.PublishRaw(broken, []byte(`{"model":"m","version":"broken","bytes":10,"chunk_bytes":4,"chunks":["00"]}`))
	huge := weights.Ref{Model: "m", Version: "huge"}
	l.Store.Publish(standin.NewManifest(huge, 2<<20, 256<<10))
	client := l.Admin(0)
	create := func(ref weights.Ref, workspace string, zones ...string) error {
		_, err := client.CreateIntent(ctx, intent.Intent{Ref: ref, Workspaces: []string{workspace}, Zones: zones})
		return err
	}
	assert.Equal(t, errorCode(create(weights.Ref{Model: "none", Version: "v1"}, "liceo")), admin.CodeNotFound)
	assert.Equal(t, errorCode(create(v1, "nobody")), admin.CodeNotFound)
	assert.Equal(t, errorCode(create(broken, "liceo")), admin.CodeBadManifest)
	assert.Equal(t, errorCode(create(huge, "liceo")), admin.CodeMemory)
	assert.Equal(t, errorCode(create(v1, "liceo", "no-such-zone")), admin.CodeNoBoxes)
	assert.Equal(t, errorCode(create(weights.Ref{}, "liceo")), admin.CodeInvalid)
	p, err := client.CreateIntent(ctx, intent.Intent{Ref: v1, Workspaces: []string{"liceo"}})
	assert.NilError(t, err)
	_, err = client.Confirm(ctx, p.ID)
	assert.NilError(t, err)
	_, err = client.Confirm(ctx, p.ID)
	assert.Equal(t, errorCode(err), admin.CodeNotProposed)
	_, err = client.Plan(ctx, "no-such-plan")
	assert.Equal(t, errorCode(err), admin.CodeNotFound)
	plans, err := client.Plans(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(plans), 1, "a refused intent created a plan")
}

// TestLogOutage checks an outage of the event log: requests are served, changes
// are refused as unavailable, and a restarted sidecar gets the state from its
// peers. Changes succeed once the log is available again.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	l, ctx := startServing(t, Config{Gateways: 2, Engines: 3})
	l.Log.Faults.Set(standin.FaultSettings{Down: true})
	resp, text := chat(t, l, 0, "liceo", v1.Model)
	assert.Equal(t, resp.StatusCode, http.StatusOK, text)

	changeCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	err := l.AddWorkspace(changeCtx, "otro", 10, 0)
	assert.Equal(t, errorCode(err), admin.CodeUnavailable, "%v", err)

	b := l.Boxes[2]
	b.Sidecar.Kill()
	assert.NilError(t, l.StartSidecar(b))
	for {
		boxes, err := l.Admin(0).Boxes(ctx)
		assert.NilError(t, err)
		status := boxes[2]
		if status.Reached && len(status.Status.Serving()) == 1 && status.Status.Incarnation != "" {
			break
		}
		assert.NilError(t, ctx.Err(), "the restarted sidecar does not serve: %+v", status)
		time.Sleep(50 * time.Millisecond)
	}
	assert.DeepEqual(t, b.Engine.Orders(), []string{"load " + v1.String()})
	l.awaitServing(t)

	l.Log.Faults.Set(standin.FaultSettings{})
	for l.AddWorkspace(ctx, "otro", 10, 0) != nil {
		assert.NilError(t, ctx.Err())
		time.Sleep(100 * time.Millisecond)
	}
	resp, text = chat(t, l, 1, "liceo", v1.Model)
	assert.Equal(t, resp.StatusCode, http.StatusOK, text)
}

// TestStaleLogReads checks that the gateways keep serving the newer state that
// they have read when the event log's reads become stale.
func TestStaleLogReads(t *testing.T) {
	l, ctx := startServing(t, Config{Gateways: 2, Engines: 2})
	l.Log.Faults.Set(standin.FaultSettings{EndOffset: 1})
	for range 20 {
		for g := range 2 {
			resp, text := chat(t, l, g, "liceo", v1.Model)
			assert.Equal(t, resp.StatusCode, http.StatusOK, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for i := range 2 {
		s, err := l.Admin(i).Status(ctx)
		assert.NilError(t, err)
		assert.Assert(t, s.Gateway.Offset > 1)
		assert.Equal(t, s.Plans, 1)
	}
}

// TestStartAfterLogTruncation checks that a gateway started after the event log
// has deleted its first records reads the complete state from a checkpoint.
func TestStartAfterLogTruncation(t *testing.T) {
	t.Parallel()
	l, ctx := startLab(t, Config{Gateways: 1, Engines: 1})
	for i := range state.CheckpointEvery + 50 {
		assert.NilError(t, l.AddWorkspace(ctx, fmt.Sprintf("w%d", i%40), 1+i%100, 0))
		time.Sleep(11 * time.Millisecond) // the log accepts 100 appends per second
	}
	for len(l.Log.Entries("mintlift-checkpoints")) == 0 {
		assert.NilError(t, ctx.Err(), "no checkpoint was written")
		time.Sleep(50 * time.Millisecond)
	}
	l.Log.Keep = 60
	assert.NilError(t, l.AddWorkspace(ctx, "last", 7, 0))
	assert.NilError(t, l.AddGateway("entry-2"))
	var first, second admin.Status
	for {
		var err error
		first, err = l.Admin(0).Status(ctx)
		assert.NilError(t, err)
		second, err = l.Admin(1).Status(ctx)
		assert.NilError(t, err)
		if second.Gateway.Offset == first.Gateway.Offset {
			break
		}
		assert.NilError(t, ctx.Err(), "the new gateway is at offset %d, the first one at %d", second.Gateway.Offset, first.Gateway.Offset)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Equal(t, second.Digest, first.Digest)
	assert.Equal(t, second.Workspaces, 41)
}

// TestKeysAreRequired checks that callers and operators without a valid key are
// refused, and that a request for an unknown model gets status 404.
func TestKeysAreRequired(t *testing.T) {
	t.Parallel()
	l, ctx := startServing(t, Config{Gateways: 1, Engines: 1})
	for key, want := range map[string]int{"": http.StatusUnauthorized, "Bearer wrong-key-of-nobody": http.StatusForbidden} {
		for _, address := range []string{l.Gateways[0].CallerAddress() + "/v1/models", l.Gateways[0].AdminAddress() + "/admin/v1/status"} {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
			assert.NilError(t, err)
			if key != "" {
				req.Header.Set("Authorization", key)
			}
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			assert.Equal(t, resp.StatusCode, want, address)
		}
	}
	resp, _ := chat(t, l, 0, "liceo", "unknown-model")
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, resp.Header.Get("Mintlift-Outcome"), string(outcome.NotRun))
}
