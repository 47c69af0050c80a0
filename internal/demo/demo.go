// SPDX-License-Identifier: Apache-2.0

// Package demo runs a demonstration in one process, on stand-ins for the
// platform. It shows an intent and its plan, the transfer of the chunks, the
// first response, a version change under traffic, the crash of a box during a
// transfer, and a non-idempotent request that is sent several times. It prints
// each step and checks the invariants of package invariant at the end.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/invariant"
	"github.com/mintlift/mintlift/internal/lab"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/settings"
	"github.com/mintlift/mintlift/weights"
)

// ErrViolated is the error of a run in which an invariant was violated.
const ErrViolated = errors.ConstError("invariant does not hold")

// Parameters of the demo.
const (
	engineCount  = 6
	gatewayCount = 2
	model        = "celeste-draft"
	workspace    = "liceo-salto"
	modelBytes   = 24 << 20
	chunkBytes   = 128 << 10
	originRate   = 12 << 20 // bytes per second
	boxRate      = 6 << 20  // bytes per second
	corruptEvery = 60       // one in this many chunks is corrupted
	callerCount  = 4        // concurrent callers during the version change
	stepTimeout  = 40 * time.Second
)

// demo is the state of a run.
type demo struct {
	out        io.Writer
	lab        *lab.Lab
	started    time.Time
	violations []invariant.Violation
	figures    []string // lines of the summary
	fences     map[string][]int64
}

// Run runs the demo and prints its steps to out. The processes' logs are
// written to logOutput, or discarded if it is nil. The error matches
// ErrViolated if an invariant was violated.
func Run(ctx context.Context, out, logOutput io.Writer) error {
	d := &demo{out: out, started: time.Now(), fences: make(map[string][]int64)}
	if err := d.start(logOutput); err != nil {
		return err
	}
	defer d.lab.Close()
	steps := []func(context.Context) error{d.prepare, d.firstVersion, d.firstResponse, d.versionChange, d.boxCrash, d.sameKey, d.plainService}
	for _, step := range steps {
		ctx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step(ctx)
		cancel()
		if err != nil {
			return err
		}
	}
	return d.printSummary()
}

// printf prints a line with the time since the start.
func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// addFigure adds a line to the figures of the summary.
func (d *demo) addFigure(format string, args ...any) {
	d.figures = append(d.figures, fmt.Sprintf(format, args...))
}

// start starts the lab and publishes the three versions of the model.
func (d *demo) start(logOutput io.Writer) error {
	l, err := lab.Start(lab.Config{
		Gateways:     gatewayCount,
		Engines:      engineCount,
		Services:     2,
		ChecksFences: true,
		EngineMemory: 3 * modelBytes,
		TokenTime:    2 * time.Millisecond,
		Zones: []membership.AvailabilityZone{
			{Region: "montevideo", Zone: "montevideo-1"},
			{Region: "salto", Zone: "salto-1"},
			{Region: "maldonado", Zone: "maldonado-1"},
		},
		Links:     settings.Links{Origin: originRate, Box: boxRate},
		LogOutput: logOutput,
	})
	if err != nil {
		return err
	}
	d.lab = l
	for _, version := range []string{"v1", "v2", "v3"} {
		l.Store.Publish(standin.NewManifest(modelRef(version), modelBytes, chunkBytes))
	}
	return nil
}

// modelRef returns the given version of the demo's model.
func modelRef(version string) weights.Ref { return weights.Ref{Model: model, Version: version} }

// prepare waits for the boxes and adds the workspace.
func (d *demo) prepare(ctx context.Context) error {
	d.printf("%d gateways, %d model engines and 2 plain services in 3 regions, each with its sidecar, on 127.0.0.1", gatewayCount, engineCount)
	if err := d.lab.AwaitBoxes(ctx, engineCount+2); err != nil {
		return err
	}
	if err := d.lab.AddWorkspace(ctx, workspace, 40, 2); err != nil {
		return err
	}
	d.printf("workspace %s added: priority 40, floor 2", workspace)
	return nil
}

// rollout creates an intent through one gateway and confirms its plan through
// the other.
func (d *demo) rollout(ctx context.Context, version string) (*intent.Plan, error) {
	client := d.lab.Admin(0)
	in := intent.Intent{Ref: modelRef(version), Workspaces: []string{workspace}, Weighing: intent.OriginBytes}
	d.printf("intent: %s shall serve %s", in.Ref, workspace)
	p, err := client.CreateIntent(ctx, in)
	if err != nil {
		return nil, err
	}
	for _, f := range p.Forecasts {
		d.printf("plan %.8s, %s: %v to %d replicas, %.2f copies from the origin", p.ID, f.Weighing, f.TimeToReplicas.Round(10*time.Millisecond), len(p.Steps), float64(f.OriginBytes)/float64(p.Bytes))
	}
	p, err = d.lab.Admin(1).Confirm(ctx, p.ID)
	if err != nil {
		return nil, err
	}
	d.printf("confirmed through the other gateway, fence %d", p.Fence)
	return p, nil
}

// awaitPlan polls a plan's progress until the plan is done; see poll.
func (d *demo) awaitPlan(ctx context.Context, p *intent.Plan, onProgress func(*admin.Progress)) (*admin.Progress, error) {
	fetch := func(ctx context.Context) (*admin.Progress, error) { return d.lab.Admin(0).Progress(ctx, p.ID) }
	return d.poll(ctx, fetch, onProgress)
}

// poll fetches and prints a plan's progress until the plan is done. Failed
// requests are retried, since they may time out on a busy machine. onProgress,
// if not nil, is called with each result.
func (d *demo) poll(ctx context.Context, fetch func(context.Context) (*admin.Progress, error), onProgress func(*admin.Progress)) (*admin.Progress, error) {
	const interval = 250 * time.Millisecond
	last := ""
	for {
		progress, err := fetch(ctx)
		line := progressLine(progress, err)
		if line != last {
			d.printf("%s", line)
			last = line
		}
		if err == nil && onProgress != nil {
			onProgress(progress)
		}
		if err == nil && progress.Done() {
			return progress, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Annotatef(ctx.Err(), "rollout not done: %s", line)
		case <-time.After(interval):
		}
	}
}

// progressLine formats a progress. If the request for it failed, it formats the
// error.
func progressLine(p *admin.Progress, err error) string {
	if err != nil {
		return "progress not available: " + err.Error()
	}
	return fmt.Sprintf("progress: %d/%d serving, %.2f copies from the origin, %.2f from peers, %d corrupt chunks discarded",
		p.Serving, len(p.Boxes), copies(p.OriginBytes), copies(p.PeerBytes), p.BadChunks)
}

// copies converts bytes to multiples of the model's size.
func copies(n int64) float64 { return float64(n) / modelBytes }

// firstVersion rolls the first version out to all engines.
func (d *demo) firstVersion(ctx context.Context) error {
	before := d.lab.Store.OriginBytes()
	p, err := d.rollout(ctx, "v1")
	if err != nil {
		return err
	}
	began := time.Now()
	done, err := d.awaitPlan(ctx, p, nil)
	if err != nil {
		return err
	}
	sent := d.lab.Store.OriginBytes() - before
	d.violations = append(d.violations, invariant.CheckOriginBytes(sent, modelBytes, 1.5)...)
	d.addFigure("first version: %d replicas in %.2f s; origin %.3f copies, across regions %.3f copies", done.Serving, time.Since(began).Seconds(), copies(sent), copies(done.CrossBytes))
	return nil
}

// callerAddresses returns the gateways' addresses for callers.
func (d *demo) callerAddresses() []string {
	var out []string
	for _, g := range d.lab.Gateways {
		out = append(out, g.CallerAddress())
	}
	return out
}

// firstResponse sends requests until one has outcome completed, and prints its
// response.
func (d *demo) firstResponse(ctx context.Context) error {
	for {
		r, err := chat(ctx, d.callerAddresses()[0], lab.WorkspaceKey(workspace), model, "")
		if err != nil {
			return err
		}
		if r.outcome == outcome.Completed {
			d.printf("first streamed response by %s, first token after %v: %.60s...", r.version, r.firstToken.Round(time.Millisecond), r.text)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// versionChange rolls out the second version under traffic, while the origin
// and one box send corrupt chunks.
func (d *demo) versionChange(ctx context.Context) error {
	d.lab.Store.Faults.Set(standin.FaultSettings{CorruptEvery: corruptEvery})
	d.lab.Boxes[0].Engine.Faults.Set(standin.FaultSettings{CorruptEvery: corruptEvery})
	d.printf("from now on every %dth chunk of the origin and of box %s is corrupted", corruptEvery, d.lab.Boxes[0].Entry.ID)
	t := startTraffic(d.callerAddresses(), lab.WorkspaceKey(workspace), model, callerCount)
	p, err := d.rollout(ctx, "v2")
	if err != nil {
		return err
	}
	done, err := d.awaitPlan(ctx, p, nil)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	t.stopAndWait()
	d.printf("version change under traffic: %d requests, %d failed, by version %v", t.sent, len(t.failed), t.versions)
	d.addFigure("version change under traffic: %d requests, %d failed, %d corrupt chunks discarded", t.sent, len(t.failed), done.BadChunks)
	d.checkTraffic(t)
	if t.versions[modelRef("v2").String()] == 0 {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.NoRevert, Detail: "v2 served no request"})
	}
	return nil
}

// checkTraffic adds the violations that the callers observed. Each failed
// request is a violation, too.
func (d *demo) checkTraffic(t *traffic) {
	d.violations = append(d.violations, t.violations...)
	for _, f := range t.failed {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.CompleteAnswer, Detail: f})
	}
}

// boxCrash rolls out the third version and kills a box during the transfer.
func (d *demo) boxCrash(ctx context.Context) error {
	d.lab.Store.Faults.Set(standin.FaultSettings{})
	d.lab.Boxes[0].Engine.Faults.Set(standin.FaultSettings{})
	p, err := d.rollout(ctx, "v3")
	if err != nil {
		return err
	}
	b := d.lab.Boxes[engineCount-1]
	killed := false
	began := time.Now()
	done, err := d.awaitPlan(ctx, p, func(progress *admin.Progress) {
		if !killed && progress.PeerBytes > modelBytes {
			killed = true
			d.printf("box %s is killed", b.Entry.ID)
			d.lab.KillBox(b, true)
		}
	})
	if err != nil {
		return err
	}
	d.printf("all %d remaining engines serve %s", done.Serving, modelRef("v3"))
	d.addFigure("box killed during the transfer: %d remaining replicas in %.2f s", done.Serving, time.Since(began).Seconds())
	if !killed {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.CompleteWeights, Detail: "not checked: the transfer ended before the box was killed"})
	}
	return nil
}

// sameKey sends a non-idempotent request several times concurrently, through
// all gateways and with one idempotency key, and checks that it ran once.
func (d *demo) sameKey(ctx context.Context) error {
	key := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	responses := make([]response, 2*gatewayCount)
	errs := make([]error, len(responses))
	for i := range responses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i], errs[i] = chat(ctx, d.callerAddresses()[i%gatewayCount], lab.WorkspaceKey(workspace), model, key)
		}()
	}
	wg.Wait()
	if err := errors.Trace(firstError(errs)); err != nil {
		return err
	}
	var outcomes []string
	for _, r := range responses {
		outcomes = append(outcomes, string(r.outcome))
	}
	slices.Sort(outcomes)
	runs := 0
	for _, r := range d.journal() {
		if r.Key == key {
			runs++
		}
	}
	d.printf("one request that must not run twice, sent %d times at once through %d gateways: ran %d times, outcomes %v", len(responses), gatewayCount, runs, outcomes)
	d.addFigure("non-repeatable request sent %d times: ran %d times", len(responses), runs)
	if runs != 1 {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.AtMostOnce, Detail: fmt.Sprintf("ran %d times, want once", runs)})
	}
	return nil
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// plainService calls a plain service and checks that the outcome is completed.
func (d *demo) plainService(ctx context.Context) error {
	r, err := callService(ctx, d.callerAddresses()[0], lab.WorkspaceKey(workspace), lab.ServiceName, `{"page":12}`)
	if err != nil {
		return err
	}
	d.printf("plain service %s: outcome %s, response %s", lab.ServiceName, r.outcome, r.text)
	if r.outcome != outcome.Completed {
		d.violations = append(d.violations, invariant.Violation{Name: invariant.CompleteAnswer, Detail: "service: " + r.text})
	}
	return nil
}

// journal returns the concatenated journals of all endpoints.
func (d *demo) journal() []standin.Run {
	var out []standin.Run
	for _, b := range d.lab.Boxes {
		if b.Engine != nil {
			out = append(out, b.Engine.Journal()...)
		} else {
			out = append(out, b.Service.Journal()...)
		}
	}
	return out
}

// printSummary prints the figures of the run and the violated invariants.
func (d *demo) printSummary() error {
	runs := d.journal()
	d.violations = append(d.violations, invariant.CheckRuns(runs)...)
	fmt.Fprintln(d.out, "\nfigures of this run")
	for _, f := range d.figures {
		fmt.Fprintln(d.out, "  "+f)
	}
	appends, reads := d.lab.Log.Counts()
	fmt.Fprintf(d.out, "  endpoints ran %d requests; log: %d appends, %d reads\n", len(runs), appends, reads)
	if len(d.violations) == 0 {
		fmt.Fprintln(d.out, "all invariants hold")
		return nil
	}
	const maxPrinted = 10
	for _, v := range d.violations[:min(len(d.violations), maxPrinted)] {
		fmt.Fprintln(d.out, "VIOLATED "+v.String())
	}
	return errors.WithType(errors.Errorf("%d violations", len(d.violations)), ErrViolated)
}
